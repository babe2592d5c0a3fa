//! Streams of servers that run several versions of their software side by side.

mod support;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response};
use latchwheel_core::directory::{DirectoryChange, ServerRecord};
use latchwheel_core::identity::stable_hash;
use latchwheel_core::routes::RequestKind;
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::time::Instant as CoreInstant;
use latchwheel_http::{empty, Client};
use latchwheel_proxy::{exchange_shares, Peer, PeerDuties, Peers, Shared};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{event_text, node, route, serve_node, Act, TestDialect, TestServer, HOST};
use tokio::net::UdpSocket;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
/// Streams of one test, so that a server of another version would be chosen for one of them.
const STREAMS: usize = 12;
const LIMIT: Duration = Duration::from_secs(20);
/// Seconds of a node's clock up to which it is told that its list of servers is complete: later
/// than any test ends.
const COMPLETE_UNTIL: u64 = 3600;

/// A node that serves clients and exchanges messages with the others.
struct Node {
    shared: Arc<Shared<TestDialect>>,
    address: String,
    exchange: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.exchange.abort();
    }
}

impl Node {
    fn add(&self, records: &[ServerRecord]) {
        records.iter().for_each(|record| self.shared.dispatcher().set_one_ready(record));
    }
}

/// Starts nodes that reach each other and have these servers.
async fn start_nodes(count: usize, records: &[ServerRecord]) -> Vec<Node> {
    let names: Vec<String> = (0..count).map(|number| format!("node-{number}")).collect();
    let (peers, mut sockets) = (Peers::default(), Vec::new());
    for (number, name) in names.iter().enumerate() {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        peers.put(name, Peer { address: socket.local_addr().unwrap(), aggregates: number == 0, defers: false });
        sockets.push(socket);
    }
    let mut nodes = Vec::new();
    for (number, (name, socket)) in names.into_iter().zip(sockets).enumerate() {
        let shared = node(route(RESUMABLE, 3), &[]);
        let others = Peers::default();
        peers.copy_to(&others, &name);
        let duties = PeerDuties { sends_heartbeat: false, aggregates: number == 0, sum_bytes_per_second: 1e6 };
        let telling = shared.clone();
        let exchange = tokio::spawn(async move { exchange_shares(telling, socket, &name, duties, others).await });
        let (address, stop) = serve_node(&shared).await;
        let node = Node { shared, address, exchange, _stop: stop };
        node.add(records);
        nodes.push(node);
    }
    nodes
}

/// An answer as far as it came.
#[derive(Debug)]
struct Answer {
    status: u16,
    has_retry_time: bool,
    text: String,
    whole: bool,
}

/// Where a client continues a stream.
struct Continued<'a> {
    first_request: &'a str,
    last_event: u64,
}

async fn send(node: &Node, id: &str, continued: Option<Continued<'_>>) -> Answer {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/path/x", node.address))
        .header("host", HOST)
        .header("t-id", id)
        .header("t-deadline", 8000);
    if let Some(continued) = continued {
        request = request.header("t-resumes", continued.first_request).header("t-last-event", continued.last_event);
    }
    read(Client::http1().send(request.body(empty()).unwrap()).await.unwrap()).await
}

async fn read(response: Response<hyper::body::Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let (mut text, mut whole) = (String::new(), false);
    loop {
        match tokio::time::timeout(LIMIT, body.frame()).await.unwrap() {
            Some(Ok(frame)) => text.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap_or(Bytes::new()))),
            Some(Err(_)) => break,
            None => {
                whole = true;
                break;
            }
        }
    }
    Answer { status: head.status.as_u16(), has_retry_time: head.headers.contains_key("retry-after"), text, whole }
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event_text).collect()
}

/// Begins a stream at a server of version 1, which cuts it after two events once servers of
/// other versions have been added; returns the answer.
async fn begin_and_cut(node: &Node, id: &str, added: &[ServerRecord]) -> (Answer, TestServer) {
    let cut = Arc::new(Notify::new());
    let act = Act::Await(cut.clone(), Box::new(Act::CutStream(vec![1, 2])));
    let first = TestServer::start(&format!("first-{id}"), vec![act]).await;
    let record = first.record_at("1");
    let present: Vec<Arc<str>> =
        node.shared.dispatcher().ready_of(&record.service).into_iter().map(|(server, _)| server).collect();
    present.iter().for_each(|server| node.shared.dispatcher().set_draining(server));
    node.add(&[record]);
    let cutting = async {
        let end = Instant::now() + LIMIT;
        while first.seen().is_empty() {
            assert!(Instant::now() < end, "the stream does not begin");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        node.shared.dispatcher().set_draining(&first.name);
        node.add(added);
        cut.notify_one();
    };
    let (answer, ()) = tokio::join!(send(node, id, None), cutting);
    (answer, first)
}

async fn server(name: &str) -> TestServer {
    TestServer::start(name, vec![Act::StreamTo(4); 4 * STREAMS]).await
}

#[tokio::test]
async fn a_broken_stream_does_not_continue_at_another_version() {
    let other = server("other").await;
    let nodes = start_nodes(1, &[]).await;
    let (answer, _) = begin_and_cut(&nodes[0], "id", &[other.record_at("2")]).await;
    assert_eq!((answer.status, answer.whole, answer.text), (200, false, events(1..=2)));
    assert!(other.seen().is_empty(), "{:?}", other.seen());
}

#[tokio::test]
async fn a_broken_stream_continues_at_its_version_beside_others() {
    let (same, other, third) = (server("same").await, server("other").await, server("third").await);
    let records = [same.record_at("1"), other.record_at("2"), third.record_at("3")];
    let nodes = start_nodes(1, &[]).await;
    for number in 0..STREAMS {
        let (answer, _) = begin_and_cut(&nodes[0], &format!("id-{number}"), &records).await;
        assert_eq!((answer.whole, answer.text), (true, events(1..=4)));
    }
    assert_eq!((same.seen().len(), other.seen().len(), third.seen().len()), (STREAMS, 0, 0));
}

#[tokio::test]
async fn a_client_continues_its_stream_at_another_node_at_the_version_that_began_it() {
    let (same, other) = (server("same").await, server("other").await);
    let nodes = start_nodes(3, &[same.record_at("1"), other.record_at("2")]).await;
    for number in 0..STREAMS {
        let id = format!("id-{number}");
        let (answer, _) = begin_and_cut(&nodes[0], &id, &[]).await;
        assert!(!answer.whole);
        let continued = Continued { first_request: &id, last_event: 2 };
        let answer = send(&nodes[1 + number % 2], &format!("{id}-again"), Some(continued)).await;
        assert_eq!((answer.status, answer.whole, answer.text), (200, true, events(3..=4)));
    }
    assert_eq!((same.seen().len(), other.seen().len()), (STREAMS, 0));
}

#[tokio::test]
async fn a_client_continues_its_stream_after_the_death_of_the_node_that_began_it() {
    let (same, other) = (server("same").await, server("other").await);
    let mut nodes = start_nodes(4, &[same.record_at("1"), other.record_at("2")]).await;
    for number in 0..STREAMS {
        let (answer, _) = begin_and_cut(&nodes[0], &format!("id-{number}"), &[]).await;
        assert!(!answer.whole);
    }
    drop(nodes.remove(0));
    for number in 0..STREAMS {
        let first_request = format!("id-{number}");
        let continued = Continued { first_request: &first_request, last_event: 2 };
        let answer = send(&nodes[number % 3], &format!("{first_request}-again"), Some(continued)).await;
        assert_eq!((answer.status, answer.whole, answer.text), (200, true, events(3..=4)));
    }
    assert_eq!((same.seen().len(), other.seen().len()), (STREAMS, 0));
}

#[tokio::test]
async fn a_stream_whose_version_has_left_is_refused_at_once() {
    let other = server("other").await;
    let nodes = start_nodes(2, &[other.record_at("2")]).await;
    let (answer, _) = begin_and_cut(&nodes[0], "id", &[]).await;
    assert!(!answer.whole);
    let answer = send(&nodes[1], "again", Some(Continued { first_request: "id", last_event: 2 })).await;
    assert_eq!((answer.status, answer.has_retry_time), (503, true));
    assert!(other.seen().is_empty(), "{:?}", other.seen());
}

#[tokio::test]
async fn a_stream_that_nobody_recorded_is_refused_where_its_version_is_unknown() {
    let (same, other) = (server("same").await, server("other").await);
    let nodes = start_nodes(3, &[same.record_at("1"), other.record_at("2")]).await;
    let answer = send(&nodes[1], "again", Some(Continued { first_request: "lost", last_event: 2 })).await;
    assert_eq!((answer.status, answer.has_retry_time), (503, true));
    assert_eq!((same.seen().len(), other.seen().len()), (0, 0));
}

#[tokio::test]
async fn a_stream_that_continued_elsewhere_continues_once_more_under_its_first_request() {
    let same = TestServer::start("same", vec![Act::CutStream(vec![3]), Act::StreamTo(4), Act::StreamTo(4)]).await;
    let other = server("other").await;
    let nodes = start_nodes(3, &[same.record_at("1"), other.record_at("2")]).await;
    let (answer, _) = begin_and_cut(&nodes[0], "id", &[]).await;
    assert!(!answer.whole);
    let answer = send(&nodes[1], "second", Some(Continued { first_request: "id", last_event: 2 })).await;
    assert_eq!((answer.whole, answer.text), (true, events(3..=4)));
    let answer = send(&nodes[2], "third", Some(Continued { first_request: "id", last_event: 3 })).await;
    assert_eq!((answer.status, answer.whole, answer.text), (200, true, events(4..=4)));
    assert_eq!((same.seen().len(), other.seen().len()), (3, 0));
}

/// Has a node know for longer than any stream lasts that only servers of this record's version
/// served.
fn observe_alone(node: &Node, record: &ServerRecord) {
    let present = [(stable_hash(record.service.as_bytes()), SoftwareKey::of(&record.service, &record.version))];
    let origins = &node.shared.stream_origins;
    origins.observe(CoreInstant::default(), &present);
    (0..=COMPLETE_UNTIL).for_each(|second| origins.note_complete(CoreInstant::default() + Duration::from_secs(second)));
}

#[tokio::test]
async fn one_node_that_saw_one_version_does_not_speak_for_nodes_that_just_started() {
    let other = server("other").await;
    let nodes = start_nodes(3, &[other.record_at("2")]).await;
    observe_alone(&nodes[2], &other.record_at("2"));
    for number in 0..STREAMS {
        let continued = Continued { first_request: &format!("lost-{number}"), last_event: 2 };
        let answer = send(&nodes[number % 2], &format!("again-{number}"), Some(continued)).await;
        assert_eq!((answer.status, answer.has_retry_time), (503, true));
    }
    assert!(other.seen().is_empty(), "{:?}", other.seen());
}

#[tokio::test]
async fn a_stream_continues_where_two_nodes_saw_the_only_version() {
    let same = server("same").await;
    let nodes = start_nodes(8, &[same.record_at("1")]).await;
    nodes[6..].iter().for_each(|node| observe_alone(node, &same.record_at("1")));
    for number in 0..STREAMS {
        let continued = Continued { first_request: &format!("lost-{number}"), last_event: 2 };
        let answer = send(&nodes[number % 6], &format!("again-{number}"), Some(continued)).await;
        assert_eq!((answer.status, answer.whole, answer.text), (200, true, events(3..=4)));
    }
}

#[tokio::test]
async fn a_version_that_came_and_left_at_once_may_have_begun_a_stream() {
    let (short, other) = (server("short").await, server("other").await);
    let nodes = start_nodes(3, &[other.record_at("2")]).await;
    nodes.iter().for_each(|node| observe_alone(node, &other.record_at("2")));
    let came_and_left =
        [DirectoryChange::Ready(short.record_at("1")), DirectoryChange::Gone(short.record_at("1").id.clone())];
    nodes[2].shared.note_servers(&came_and_left);
    let answer = send(&nodes[0], "again", Some(Continued { first_request: "lost", last_event: 2 })).await;
    assert_eq!((answer.status, answer.has_retry_time), (503, true));
    assert_eq!((short.seen().len(), other.seen().len()), (0, 0));
}

/// Begins a stream at servers of version 2, which the second of these nodes knows nothing of: it
/// knows for longer than any stream lasts that only this other server, of version 1, served.
async fn begin_at_unknown_version(nodes: &[Node], known: &TestServer, id: &str) {
    let cut = TestServer::start(&format!("new-{id}"), vec![Act::CutStream(vec![1, 2])]).await;
    nodes[0].add(&[cut.record_at("2")]);
    let answer = send(&nodes[0], id, None).await;
    assert_eq!((answer.whole, answer.text), (false, events(1..=2)));
    nodes[0].shared.dispatcher().set_draining(&cut.name);
    nodes[1].add(&[known.record_at("1")]);
    observe_alone(&nodes[1], &known.record_at("1"));
}

/// Waits until a node has told another one of a request at a server that both know.
async fn until_heard(node: &Node, by: &Node) {
    let end_request = Arc::new(Notify::new());
    let act = Act::Await(end_request.clone(), Box::new(Act::StreamTo(1)));
    let busy = TestServer::start("busy", vec![act]).await;
    [node, by].iter().for_each(|node| node.add(&[busy.record_at("1")]));
    let heard = async {
        let end = Instant::now() + LIMIT;
        while by.shared.dispatcher().reports(by.shared.clock.now()).iter().all(|report| report.load < 1.0) {
            assert!(Instant::now() < end, "the node is not heard");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        end_request.notify_one();
    };
    tokio::join!(send(node, "busy", None), heard);
    [node, by].iter().for_each(|node| node.shared.dispatcher().set_draining(&busy.name));
}

/// A client takes a stream up at a node that knows no server of its version yet.
#[tokio::test]
async fn a_node_that_missed_a_release_refuses_its_streams() {
    let old = server("old").await;
    let nodes = start_nodes(4, &[]).await;
    for number in 0..STREAMS {
        let id = format!("id-{number}");
        begin_at_unknown_version(&nodes, &old, &id).await;
        for last_event in [2, 1] {
            let continued = Continued { first_request: &id, last_event };
            let answer = send(&nodes[1], &format!("{id}-again-{last_event}"), Some(continued)).await;
            assert_eq!((answer.status, answer.has_retry_time), (503, true));
        }
    }
    assert!(old.seen().is_empty(), "{:?}", old.seen());
}

/// The same at a node that no other one reaches, by clients that name the stream and by others.
#[tokio::test]
async fn a_node_that_is_cut_off_during_a_release_refuses_its_streams() {
    let old = server("old").await;
    let nodes = start_nodes(4, &[]).await;
    until_heard(&nodes[1], &nodes[0]).await;
    nodes[1].exchange.abort();
    for number in 0..STREAMS {
        let id = format!("id-{number}");
        begin_at_unknown_version(&nodes, &old, &id).await;
        for first_request in [id.as_str(), ""] {
            let continued = Continued { first_request, last_event: 2 };
            let answer = send(&nodes[1], &format!("{id}-again-{first_request}"), Some(continued)).await;
            assert_eq!((answer.status, answer.has_retry_time), (503, true), "{id} {first_request:?} {answer:?}");
        }
    }
    assert!(old.seen().is_empty(), "{:?}", old.seen());
}
