//! Requests that arrive while a process starts.

mod support;

use hyper::header::HeaderMap;
use latchwheel_clock::Clock;
use latchwheel_core::planned_stop::StopTimes;
use latchwheel_core::routes::{ClientLimits, RequestKind, RoutingTable};
use latchwheel_core::startup_hold::StartupHold;
use latchwheel_core::tenants::Tenants;
use latchwheel_proxy::Shared;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use support::{route, Act, TestDialect, TestServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{advance, timeout};

type Node = Arc<Shared<TestDialect>>;

fn starting_node() -> Node {
    Shared::new(TestDialect::default(), Clock::start())
}

fn put_table_in_force(shared: &Node) {
    let routes = [route(RequestKind::Idempotent, 1)];
    let table = RoutingTable::new(1, ClientLimits::default(), HashMap::new(), Tenants::default(), routes);
    assert_eq!(shared.put_in_force(table), Some(0));
}

fn headers(deadline_ms: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("t-deadline", deadline_ms.parse().unwrap());
    headers
}

fn hold(shared: &Node, headers: HeaderMap) -> tokio::task::JoinHandle<bool> {
    let shared = shared.clone();
    tokio::spawn(async move { shared.hold_at_start(&headers).await })
}

/// They wait for a table and the servers to be known, and go on at once when they are.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_the_first_table_and_the_first_list_of_servers() {
    for table_first in [true, false] {
        let shared = starting_node();
        let waiting = hold(&shared, HeaderMap::new());
        advance(Duration::from_millis(300)).await;
        assert!(!waiting.is_finished());
        if table_first {
            put_table_in_force(&shared);
        } else {
            shared.note_servers_known();
        }
        advance(Duration::from_millis(300)).await;
        assert!(!waiting.is_finished(), "one of both is not enough");
        if table_first {
            shared.note_servers_known();
        } else {
            put_table_in_force(&shared);
        }
        assert!(waiting.await.unwrap(), "it was held");
        let later = timeout(Duration::ZERO, shared.hold_at_start(&HeaderMap::new())).await;
        assert_eq!(later, Ok(false), "later ones don't wait");
    }
}

/// Where nothing comes they get their answer while their callers still wait, however
/// long ago the start was.
#[tokio::test(start_paused = true)]
async fn requests_do_not_wait_for_longer_than_their_callers() {
    let shared = starting_node();
    for _ in 0..2 {
        let bound = Duration::from_millis(900);
        assert_eq!(timeout(bound, shared.hold_at_start(&HeaderMap::new())).await, Ok(true));
        let waiting = hold(&shared, headers("5000"));
        advance(Duration::from_millis(4400)).await;
        assert!(!waiting.is_finished(), "its caller waits on");
        advance(Duration::from_millis(200)).await;
        assert!(waiting.await.unwrap());
        advance(Duration::from_secs(2)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn requests_beyond_the_bound_of_memory_do_not_wait() {
    let shared = starting_node();
    let held: Vec<_> = (0..StartupHold::LIMIT).map(|_| hold(&shared, headers("5000"))).collect();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(timeout(Duration::ZERO, shared.hold_at_start(&headers("5000"))).await, Ok(false));
    // A caller that leaves makes room.
    held[0].abort();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(timeout(Duration::ZERO, shared.hold_at_start(&headers("5000"))).await.is_err(), "it waits");
    put_table_in_force(&shared);
    shared.note_servers_known();
    for held in held.into_iter().skip(1) {
        assert!(held.await.unwrap());
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_leaves_holds_nothing() {
    let shared = starting_node();
    shared.leave(StopTimes::default());
    assert_eq!(timeout(Duration::ZERO, shared.hold_at_start(&headers("5000"))).await, Ok(false));
}

/// A stop is not held up by what is held: it goes on at once, to be refused.
#[tokio::test(start_paused = true)]
async fn what_is_held_goes_on_when_the_node_leaves() {
    let shared = starting_node();
    let waiting = hold(&shared, headers("5000"));
    advance(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished());
    shared.leave(StopTimes::default());
    let was_held = timeout(Duration::from_millis(1), waiting).await.unwrap().unwrap();
    assert!(was_held);
}

/// The store answers, and there is no table: nobody is held until there is one.
#[tokio::test(start_paused = true)]
async fn nobody_is_held_where_there_is_no_table() {
    let shared = starting_node();
    let waiting = hold(&shared, headers("5000"));
    advance(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished(), "nothing is known yet");
    shared.note_table_confirmed(shared.clock.now());
    assert!(timeout(Duration::from_millis(1), waiting).await.unwrap().unwrap());
    assert_eq!(timeout(Duration::ZERO, shared.hold_at_start(&headers("5000"))).await, Ok(false));
    put_table_in_force(&shared);
    assert!(timeout(Duration::ZERO, shared.hold_at_start(&headers("5000"))).await.is_err(), "servers may come");
}

/// Serves callers from the start on; gives back the address, and what stops it when it is
/// dropped.
async fn serve_starting_node(shared: &Node) -> (String, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (stop, stopped) = watch::channel(false);
    let serving = shared.clone();
    tokio::spawn(latchwheel_http::serve(listener, latchwheel_http::Version::Http1, stopped, move |mut request| {
        let (serving, received) = (serving.clone(), serving.clock.now());
        async move {
            serving.hold_request_at_start(&mut request).await;
            latchwheel_proxy::forward(serving, request, received).await
        }
    }));
    (address, stop)
}

const REQUEST: &[u8] =
    b"POST /path/a HTTP/1.1\r\nhost: host.example\r\nt-id: one\r\nt-deadline: 5000\r\ncontent-length: 2\r\n\r\nab";

/// A caller that leaves before the node knows enough is not served any more, although
/// its request was sent whole.
#[tokio::test]
async fn a_caller_that_has_left_is_not_served() {
    let server = TestServer::start("one", vec![]).await;
    let shared = starting_node();
    let (address, _stop) = serve_starting_node(&shared).await;
    let mut leaves = TcpStream::connect(&address).await.unwrap();
    leaves.write_all(REQUEST).await.unwrap();
    let mut stays = TcpStream::connect(&address).await.unwrap();
    stays.write_all(REQUEST).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(leaves);
    tokio::time::sleep(Duration::from_millis(100)).await;
    shared.dispatcher().set_ready([server.record()].iter());
    shared.note_servers_known();
    put_table_in_force(&shared);
    let mut answer = vec![0; 12];
    stays.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, b"HTTP/1.1 200");
    assert_eq!(server.seen().len(), 1, "only who stayed is served");
}

/// Its callers are told that the node leaves, and that nothing was run.
#[tokio::test]
async fn a_held_request_is_refused_when_the_node_leaves() {
    let shared = starting_node();
    let (address, _stop) = serve_starting_node(&shared).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    let no_answer = timeout(Duration::from_millis(100), caller.read_u8()).await;
    assert!(no_answer.is_err(), "it is held");
    put_table_in_force(&shared);
    shared.leave(StopTimes::default());
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("3004") && answer.to_lowercase().contains("connection: close"), "{answer}");
}

/// Eight nodes share a server of eight slots: until keepers are known, one request of each
/// is sent at a time.
#[tokio::test]
async fn before_keepers_are_known_a_node_sends_its_share() {
    let server = TestServer::start("one", vec![Act::Silence]).await;
    let shared = starting_node();
    let (address, _stop) = serve_starting_node(&shared).await;
    shared.note_senders(8);
    shared.dispatcher().set_ready([server.record()].iter());
    shared.note_servers_known();
    put_table_in_force(&shared);
    let mut first = TcpStream::connect(&address).await.unwrap();
    first.write_all(REQUEST).await.unwrap();
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut second = TcpStream::connect(&address).await.unwrap();
    second.write_all(REQUEST).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(server.seen().len(), 1, "the second one waits");
    drop(first);
    let mut answer = vec![0; 12];
    second.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, b"HTTP/1.1 200");
}
