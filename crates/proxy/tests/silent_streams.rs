//! A resumable stream whose server is silent, over real connections: it goes on there unless
//! another server has taken it.

mod support;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use latchwheel_core::dispatch::{Prompt, ServerKey};
use latchwheel_core::routes::{RequestKind, Route};
use latchwheel_http::{full, Client};
use latchwheel_proxy::Shared;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{event_text, node, route, serve_node, stop_times, Act, TestDialect, TestServer, HOST};
use tokio::sync::{watch, Notify};

/// Longest time that anything is waited for; running into it fails a test.
const LIMIT: Duration = Duration::from_secs(15);
/// Many of the pauses after which a stream goes on elsewhere.
const SILENCE: Duration = Duration::from_secs(2);
/// The time of most requests here.
const LONG: Duration = Duration::from_secs(20);
/// A server that takes a stream over is given up after twice this time without an answer.
const TARGET: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: u32 = 3;

struct Fleet {
    address: String,
    shared: Arc<Shared<TestDialect>>,
    servers: [TestServer; 2],
    _stop: watch::Sender<bool>,
}

impl Fleet {
    /// A node with two servers that share their acts.
    async fn start(acts: Vec<Act>) -> Self {
        Self::start_with_route(route(RequestKind::Stream { resumable: true }, MAX_ATTEMPTS), acts).await
    }

    async fn start_with_route(route: Route, acts: Vec<Act>) -> Self {
        let (first, second) = TestServer::start_pair(acts).await;
        let shared = node(route, &[&first, &second]);
        let (address, stop) = serve_node(&shared).await;
        Self { address, shared, servers: [first, second], _stop: stop }
    }

    /// Status, and the body or `None` if it broke.
    async fn ask(&self, time: Duration) -> (u16, Option<String>) {
        let request = Request::post(format!("http://{}/path/a", self.address))
            .header("host", HOST)
            .header("t-id", "id-1")
            .header("t-deadline", time.as_millis() as u64)
            .body(full(Bytes::from_static(b"question")))
            .unwrap();
        let response = Client::http1().send(request).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok();
        (status, body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()))
    }

    fn sent(&self) -> usize {
        self.servers.iter().map(|server| server.seen().len()).sum()
    }

    fn abandoned(&self) -> usize {
        self.servers.iter().map(TestServer::abandoned).sum()
    }

    fn fill_servers(&self) {
        let now = self.shared.clock.now();
        let mut dispatcher = self.shared.dispatcher();
        for server in &self.servers {
            let placement = dispatcher.place_at(now, ServerKey::of(&server.name), 0, Duration::ZERO, false).unwrap();
            (0..100).for_each(|_| dispatcher.note_sent(now, &placement, &Prompt::default()));
        }
    }
}

async fn until(holds: impl Fn() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "it never came to that");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn whole_stream() -> (u16, Option<String>) {
    (200, Some((1..=3).map(event_text).collect()))
}

#[tokio::test]
async fn a_silent_stream_goes_on_at_its_server_where_all_others_are_full() {
    let told = Arc::new(Notify::new());
    let fleet = Fleet::start(vec![Act::PauseAfter(1, told.clone(), 3)]).await;
    let tell = async {
        until(|| fleet.sent() == 1).await;
        fleet.fill_servers();
        tokio::time::sleep(SILENCE).await;
        told.notify_one();
    };
    assert_eq!(tokio::join!(fleet.ask(LONG), tell).0, whole_stream());
    assert_eq!((fleet.sent(), fleet.abandoned()), (1, 0));
}

#[tokio::test]
async fn a_silent_stream_goes_on_at_its_server_at_a_node_that_stops() {
    let told = Arc::new(Notify::new());
    let fleet = Fleet::start(vec![Act::PauseAfter(1, told.clone(), 3)]).await;
    let tell = async {
        until(|| fleet.sent() == 1).await;
        fleet.fill_servers();
        fleet.shared.leave(stop_times(&fleet.shared, Duration::ZERO, LONG));
        tokio::time::sleep(SILENCE).await;
        told.notify_one();
    };
    assert_eq!(tokio::join!(fleet.ask(LONG), tell).0, whole_stream());
    assert_eq!((fleet.sent(), fleet.abandoned()), (1, 0));
}

#[tokio::test]
async fn a_silent_stream_goes_on_at_its_server_where_others_refuse_it() {
    let told = Arc::new(Notify::new());
    let acts = [vec![Act::PauseAfter(1, told.clone(), 3)], vec![Act::Reject; 99]].concat();
    let fleet = Fleet::start(acts).await;
    let tell = async {
        until(|| fleet.sent() >= 2).await;
        tokio::time::sleep(SILENCE).await;
        told.notify_one();
    };
    assert_eq!(tokio::join!(fleet.ask(LONG), tell).0, whole_stream());
    assert_eq!(fleet.abandoned(), 0);
}

#[tokio::test]
async fn a_silent_stream_goes_on_at_its_server_where_another_one_fails_at_it() {
    for failure in [Act::Close, Act::Answer(500, "fault".into()), Act::WrongIdentity] {
        let told = Arc::new(Notify::new());
        let fleet = Fleet::start(vec![Act::PauseAfter(1, told.clone(), 3), failure.clone(), failure.clone()]).await;
        let tell = async {
            until(|| fleet.sent() >= 2).await;
            tokio::time::sleep(SILENCE).await;
            told.notify_one();
        };
        assert_eq!(tokio::join!(fleet.ask(LONG), tell).0, whole_stream(), "{failure:?}");
        assert!(fleet.sent() <= MAX_ATTEMPTS as usize, "{failure:?}");
    }
}

#[tokio::test]
async fn a_silent_server_is_left_once_another_one_answers() {
    let fleet = Fleet::start(vec![Act::StallAfterFirst, Act::StreamTo(3)]).await;
    assert_eq!(fleet.ask(LONG).await, whole_stream());
    until(|| fleet.abandoned() == 1).await;
    assert_eq!(fleet.sent(), 2);
}

/// A stream must not run on for long at one server while it continues at another one.
#[tokio::test]
async fn a_silent_server_is_left_once_another_one_works_on_its_stream() {
    let told = Arc::new(Notify::new());
    let acts = vec![Act::StallAfterFirst, Act::Await(told.clone(), Box::new(Act::StreamTo(3)))];
    let route = route(RequestKind::Stream { resumable: true }, MAX_ATTEMPTS);
    let fleet = Fleet::start_with_route(Route { latency_target: TARGET, ..route }, acts).await;
    let tell = async {
        until(|| fleet.sent() == 2 && fleet.abandoned() == 1).await;
        told.notify_one();
    };
    assert_eq!(tokio::join!(fleet.ask(LONG), tell).0, whole_stream());
}

#[tokio::test]
async fn an_event_that_two_servers_send_is_passed_on_once() {
    let (first, second) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let acts = vec![Act::PauseAfter(1, first.clone(), 3), Act::PauseAfter(2, second.clone(), 3)];
    let fleet = Fleet::start(acts).await;
    let tell = async {
        until(|| fleet.sent() == 2).await;
        first.notify_one();
        second.notify_one();
    };
    assert_eq!(tokio::join!(fleet.ask(LONG), tell).0, whole_stream());
}

#[tokio::test]
async fn a_silent_stream_that_nobody_takes_does_not_look_complete_at_its_end() {
    let fleet = Fleet::start([vec![Act::StallAfterFirst], vec![Act::Reject; 99]].concat()).await;
    assert_eq!(fleet.ask(SILENCE).await, (200, None));
}
