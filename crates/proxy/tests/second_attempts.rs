//! Second attempts beside a first one whose answer is overdue, over real connections.

mod support;

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use latchwheel_core::dispatch::{FirstPiece, Prompt, RouteKey, ServerKey, ServerLoad};
use latchwheel_core::fingerprint::RequestContent;
use latchwheel_core::quarantine::QuarantineEntry;
use latchwheel_core::routes::RequestKind;
use latchwheel_core::second_attempt::ANSWERS_PER_SECOND_ATTEMPT;
use latchwheel_http::{full, Client};
use latchwheel_proxy::{Shared, VerdictSource};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{event_text, node, route, Act, TestDialect, TestServer, HOST, SERVICE};
use tokio::sync::{watch, Notify};

const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
/// A server is given up after twice this time, a second attempt begins after half of it:
/// so long that a machine that is busy with other things makes no difference.
const TARGET: Duration = Duration::from_secs(5);
/// What most answers take, and what late ones do.
const USUAL: Duration = Duration::from_millis(1);
const LATE: Duration = TARGET.checked_div(2).expect("not by zero");
/// More than enough answers to learn both.
const LEARNED: u32 = 4000;

/// A node with two servers that share their acts.
struct Fleet {
    address: String,
    shared: Arc<Shared<TestDialect>>,
    first: TestServer,
    second: TestServer,
    _stop: watch::Sender<bool>,
}

impl Fleet {
    async fn start(kind: RequestKind, attempts: u32, acts: Vec<Act>) -> Self {
        let (first, second) = TestServer::start_pair(acts).await;
        let mut route = route(kind, attempts);
        route.latency_target = TARGET;
        // Silence within a stream is not what ends an attempt here.
        route.gap_target = Some(TARGET * 10);
        let shared = node(route, &[&first, &second]);
        let (address, stop) = support::serve_node(&shared).await;
        Self { address, shared, first, second, _stop: stop }
    }

    /// One whose servers tell their pace, and that has learned when an answer is overdue and
    /// can pay for a second attempt.
    async fn ready(kind: RequestKind, attempts: u32, acts: Vec<Act>) -> Self {
        let fleet = Self::start(kind, attempts, acts).await;
        fleet.tell_pace();
        fleet.learn();
        fleet.pay();
        fleet
    }

    fn tell_pace(&self) {
        let load = ServerLoad { running: 0, waiting: 0, slots: 8, slowdown: Some(100) };
        for server in [&self.first, &self.second] {
            self.shared.dispatcher().note_load(self.shared.clock.now(), &server.name, load);
        }
    }

    /// One answer in ten was late, whatever was expected of it.
    fn learn(&self) {
        let (route, expected) = (RouteKey::of("route"), self.expected());
        for number in 0..LEARNED {
            let time = if number.is_multiple_of(10) { LATE } else { USUAL };
            self.shared.second_attempts().note_overtaken(route, expected, time);
        }
    }

    fn pay(&self) {
        for _ in 0..ANSWERS_PER_SECOND_ATTEMPT {
            self.shared.second_attempts().note_answered(RouteKey::of("route"), self.expected(), USUAL);
        }
    }

    fn expected(&self) -> Duration {
        let kind = self.shared.table().named("route").unwrap().kind;
        let piece = match kind {
            RequestKind::Stream { .. } => FirstPiece::OfStream,
            _ => FirstPiece::WholeAnswer,
        };
        let now = self.shared.clock.now();
        let dispatcher = self.shared.dispatcher();
        let placement = dispatcher.place_at(now, ServerKey::of("first"), 0, Duration::ZERO, false).unwrap();
        dispatcher.expected_first_piece(now, &placement, piece).unwrap_or_default()
    }

    fn request(&self) -> Request<latchwheel_http::Body> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/path/a", self.address))
            .header("host", HOST)
            .header("t-id", "id-1")
            .header("t-deadline", 20_000)
            .body(full(Bytes::from_static(b"question")))
            .unwrap()
    }

    /// Status, and the body or `None` if it broke.
    async fn ask(&self) -> (u16, Option<String>) {
        self.send(self.request()).await
    }

    async fn send(&self, request: Request<latchwheel_http::Body>) -> (u16, Option<String>) {
        let response = Client::http1().send(request).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok();
        (status, body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()))
    }

    /// Asks; `told` is told to go on once so many attempts have reached servers.
    async fn ask_and_tell(&self, attempts: usize, told: &Notify) -> (u16, Option<String>) {
        let tell = async {
            until(|| self.sent() >= attempts).await;
            told.notify_one();
        };
        tokio::join!(self.ask(), tell).0
    }

    /// Attempts that the node knows to be in progress.
    fn in_progress(&self) -> u32 {
        let reports = self.shared.dispatcher().reports(self.shared.clock.now());
        reports.iter().map(|report| report.own).sum()
    }

    fn sent(&self) -> usize {
        self.first.seen().len() + self.second.seen().len()
    }

    fn abandoned(&self) -> usize {
        self.first.abandoned() + self.second.abandoned()
    }

    /// The first answer comes long after a second attempt was due, and no second attempt was made.
    async fn assert_makes_one_attempt(&self, told: &Notify) {
        assert_eq!(self.send_without_second(self.request(), told).await, (200, Some("first".into())));
    }

    /// Sends a request whose answer comes long after a second attempt was due, and asserts that
    /// none was made.
    async fn send_without_second(
        &self,
        request: Request<latchwheel_http::Body>,
        told: &Notify,
    ) -> (u16, Option<String>) {
        let before = self.sent();
        let late = async {
            until(|| self.sent() > before).await;
            // Whatever time this takes, a node that does right makes one attempt.
            tokio::time::sleep(LATE + LATE / 2).await;
            told.notify_one();
        };
        let (answer, ()) = tokio::join!(self.send(request), late);
        assert_eq!(self.sent(), before + 1);
        answer
    }
}

async fn until(holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "it never came to that");
        tokio::task::yield_now().await;
    }
}

fn answer(body: &str) -> Act {
    Act::Answer(200, body.into())
}

fn once_told(act: Act) -> (Arc<Notify>, Act) {
    let told = Arc::new(Notify::new());
    (told.clone(), Act::Await(told, Box::new(act)))
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event_text).collect()
}

#[tokio::test]
async fn a_second_server_answers_for_a_silent_one_whose_connection_is_closed() {
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![Act::Silence, answer("second")]).await;
    assert_eq!(fleet.ask().await, (200, Some("second".into())));
    assert_eq!((fleet.first.seen().len(), fleet.second.seen().len()), (1, 1));
    until(|| fleet.abandoned() == 1).await;
}

#[tokio::test]
async fn the_head_of_a_stream_is_not_its_first_piece() {
    let fleet = Fleet::ready(RESUMABLE, 2, vec![Act::StallAfterHead, Act::StreamTo(3)]).await;
    assert_eq!(fleet.ask().await, (200, Some(events(1..=3))));
    assert_eq!(fleet.sent(), 2);
    until(|| fleet.abandoned() == 1).await;
}

#[tokio::test]
async fn the_first_answer_is_delivered_if_it_comes_first_after_all() {
    let (told, first) = once_told(answer("first"));
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first, Act::Silence]).await;
    assert_eq!(fleet.ask_and_tell(2, &told).await, (200, Some("first".into())));
    until(|| fleet.abandoned() == 1).await;
}

#[tokio::test]
async fn a_first_attempt_that_fails_leaves_the_second_one() {
    let (fails, first) = once_told(Act::Close);
    let (answers, second) = once_told(answer("second"));
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first, second]).await;
    let tell = async {
        until(|| fleet.sent() == 2).await;
        fails.notify_one();
        until(|| fleet.in_progress() == 1).await;
        answers.notify_one();
    };
    let (answer, ()) = tokio::join!(fleet.ask(), tell);
    assert_eq!(answer, (200, Some("second".into())));
}

#[tokio::test]
async fn a_second_attempt_that_fails_leaves_the_first_one() {
    let acts = [Act::Close, Act::Reject, Act::Misdirected, Act::WrongIdentity];
    join_all(acts.map(assert_leaves_the_first_one)).await;
}

async fn assert_leaves_the_first_one(second: Act) {
    let (answers, first) = once_told(answer("first"));
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first, second.clone()]).await;
    let tell = async {
        until(|| fleet.sent() == 2 && fleet.in_progress() == 1).await;
        answers.notify_one();
    };
    let (answer, ()) = tokio::join!(fleet.ask(), tell);
    assert_eq!(answer, (200, Some("first".into())), "{second:?}");
}

#[tokio::test]
async fn a_server_that_fails_at_once_does_not_win() {
    join_all([500, 502, 503, 429].map(assert_does_not_win)).await;
}

async fn assert_does_not_win(status: u16) {
    let (answers, first) = once_told(answer("first"));
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first, Act::Answer(status, "fault".into())]).await;
    let tell = async {
        until(|| fleet.sent() == 2).await;
        // A node that does wrong passes the fault on meanwhile.
        tokio::time::sleep(LATE / 10).await;
        answers.notify_one();
    };
    let (answer, ()) = tokio::join!(fleet.ask(), tell);
    assert_eq!(answer, (200, Some("first".into())), "{status}");
}

#[tokio::test]
async fn a_stream_that_ends_before_its_first_event_does_not_win() {
    let (answers, first) = once_told(Act::StreamTo(2));
    let fleet = Fleet::ready(RESUMABLE, 2, vec![first, Act::UntilClose(String::new())]).await;
    let tell = async {
        until(|| fleet.sent() == 2 && fleet.in_progress() <= 1).await;
        answers.notify_one();
    };
    let (answer, ()) = tokio::join!(fleet.ask(), tell);
    assert_eq!(answer, (200, Some(events(1..=2))));
}

/// Nothing better comes: the server's own answer is the caller's.
#[tokio::test]
async fn the_answer_of_a_server_that_fails_is_passed_on_where_the_other_attempt_failed() {
    let (fails, first) = once_told(Act::Close);
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first, Act::Answer(500, "fault".into())]).await;
    assert_eq!(fleet.ask_and_tell(2, &fails).await, (500, Some("fault".into())));
}

#[tokio::test]
async fn two_attempts_that_fail_are_what_the_route_allows() {
    let (fails, first) = once_told(Act::Close);
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first, Act::Close]).await;
    assert_eq!(fleet.ask_and_tell(2, &fails).await.0, 502);
    assert_eq!(fleet.sent(), 2);
}

/// The server of an attempt that was withdrawn is one of those that a route allows.
#[tokio::test]
async fn a_stream_that_breaks_after_the_other_attempt_was_withdrawn_goes_on_if_a_server_is_left() {
    let acts = vec![Act::Silence, Act::CutStream(vec![1, 2]), Act::StreamTo(4)];
    let fleet = Fleet::ready(RESUMABLE, 2, acts.clone()).await;
    assert_eq!(fleet.ask().await, (200, None));
    assert_eq!(fleet.sent(), 2);
    let fleet = Fleet::ready(RESUMABLE, 3, acts).await;
    assert_eq!(fleet.ask().await, (200, Some(events(1..=4))));
    assert_eq!(fleet.sent(), 3);
}

#[tokio::test]
async fn what_may_run_once_is_sent_once() {
    for (kind, attempts) in [(RequestKind::AtMostOnce, 3), (RequestKind::Idempotent, 1)] {
        let (told, first) = once_told(answer("first"));
        Fleet::ready(kind, attempts, vec![first]).await.assert_makes_one_attempt(&told).await;
    }
}

#[tokio::test]
async fn a_second_attempt_that_is_not_paid_for_is_not_made() {
    let (told, first) = once_told(answer("first"));
    let fleet = Fleet::start(RequestKind::Idempotent, 2, vec![first]).await;
    fleet.tell_pace();
    fleet.learn();
    fleet.assert_makes_one_attempt(&told).await;
}

#[tokio::test]
async fn where_no_server_tells_its_load_there_are_no_second_attempts() {
    let (told, first) = once_told(answer("first"));
    let fleet = Fleet::start(RequestKind::Idempotent, 2, vec![first]).await;
    fleet.learn();
    fleet.pay();
    fleet.assert_makes_one_attempt(&told).await;
}

#[tokio::test]
async fn there_are_no_second_attempts_while_requests_are_refused() {
    let (told, first) = once_told(answer("first"));
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first]).await;
    // As late as a second attempt would be due.
    let refused_at = fleet.shared.clock.now() + TARGET;
    fleet.shared.dispatcher().note_refused(refused_at, &SERVICE.into());
    fleet.assert_makes_one_attempt(&told).await;
}

#[tokio::test]
async fn a_request_like_one_that_ended_servers_is_sent_to_one_at_a_time() {
    let (told, first) = once_told(answer("first"));
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first]).await;
    let (host, body) = (HOST.as_bytes(), b"response");
    let content = RequestContent { method: "POST", host, target: "/path/a", caller: b"", body, shared_parts: &[] };
    let now = fleet.shared.clock.wall_time();
    let verdict = QuarantineEntry {
        request: content.key(),
        changed_at: now,
        until: now + Duration::from_secs(60),
        offences: 1,
        lifted: false,
        servers: Vec::new(),
    };
    fleet.shared.crashes.take_verdict(verdict, VerdictSource::Node);
    fleet.assert_makes_one_attempt(&told).await;
}

#[tokio::test]
async fn a_second_attempt_keeps_to_the_version_of_the_stream() {
    let (told, late) = once_told(Act::StreamTo(4));
    let fleet = Fleet::ready(RESUMABLE, 2, vec![Act::StreamTo(2), late, Act::StreamTo(4)]).await;
    fleet.shared.dispatcher().set_draining(&fleet.second.name);
    assert_eq!(fleet.ask().await, (200, Some(events(1..=2))));
    fleet.shared.dispatcher().set_one_ready(&fleet.second.record_at("2"));
    fleet.tell_pace();
    let mut request = fleet.request();
    request.headers_mut().insert("t-resumes", "id-1".parse().unwrap());
    request.headers_mut().insert("t-last-event", 2.into());
    assert_eq!(fleet.send_without_second(request, &told).await, (200, Some(events(3..=4))));
    assert!(fleet.second.seen().is_empty());
}

#[tokio::test]
async fn there_is_no_second_attempt_where_no_other_slot_is_free() {
    let (told, first) = once_told(answer("first"));
    let fleet = Fleet::ready(RequestKind::Idempotent, 2, vec![first]).await;
    let fill = async {
        until(|| fleet.sent() == 1).await;
        let now = fleet.shared.clock.now();
        let mut dispatcher = fleet.shared.dispatcher();
        for server in [&fleet.first, &fleet.second] {
            let key = ServerKey::of(&server.name);
            let placement = dispatcher.place_at(now, key, 0, Duration::ZERO, false).unwrap();
            (0..100).for_each(|_| dispatcher.note_sent(now, &placement, &Prompt::default()));
        }
    };
    tokio::join!(fleet.assert_makes_one_attempt(&told), fill);
}
