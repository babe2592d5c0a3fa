//! Forwarding over real connections: what the caller gets, what servers see.

mod support;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response};
use latchwheel_core::client_budget::BudgetLimits;
use latchwheel_core::dispatch::{Prompt, ServerKey};
use latchwheel_core::routes::ClientLimits;
use latchwheel_core::routes::RequestKind;
use latchwheel_http::{empty, full, serve_clients, Client, ClientGuard, ClientPort, Version};
use latchwheel_proxy::{forward, Shared};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{event_text, node, route, Act, TestDialect, TestServer, HOST};
use tokio::net::TcpListener;
use tokio::sync::watch;

const MEMORY: usize = 64 << 20;
const DESCRIPTORS: usize = 1024;
const STREAM: RequestKind = RequestKind::Stream { resumable: false };
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };

/// A node that serves on loopback; dropping it stops it.
struct Node {
    address: String,
    shared: Arc<Shared<TestDialect>>,
    _stop: watch::Sender<bool>,
}

/// An answer: status, the server's stamp, and the body or `None` if it broke.
#[derive(Debug, PartialEq)]
struct Answer {
    status: u16,
    stamp: bool,
    retry_after: Option<f64>,
    body: Option<String>,
}

async fn serve_node(shared: Arc<Shared<TestDialect>>) -> Node {
    let (address, stop) = support::serve_node(&shared).await;
    Node { address, shared, _stop: stop }
}

fn request(node: &Node, path: &str, deadline_ms: u64) -> Request<latchwheel_http::Body> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", node.address))
        .header("host", HOST)
        .header("t-id", "id-1")
        .header("t-deadline", deadline_ms)
        .header("other", "kept")
        .header("connection", "hop")
        .header("hop", "dropped")
        .body(full(Bytes::from_static(b"question")))
        .unwrap()
}

async fn ask(node: &Node, path: &str, deadline_ms: u64) -> Answer {
    let response = Client::http1().send(request(node, path, deadline_ms)).await.unwrap();
    let status = response.status().as_u16();
    let stamp = response.headers().contains_key("t-stamp");
    let retry_after = response.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.into_body().collect().await.ok();
    let body = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
    Answer { status, stamp, retry_after, body }
}

async fn start(kind: RequestKind, attempts: u32, first: Vec<Act>, second: Vec<Act>) -> (Node, TestServer, TestServer) {
    let first = TestServer::start("first", first).await;
    let second = TestServer::start("second", second).await;
    let node = serve_node(node(route(kind, attempts), &[&first, &second])).await;
    (node, first, second)
}

/// Both servers do the same with their first request.
async fn start_alike(kind: RequestKind, attempts: u32, act: Act) -> (Node, TestServer, TestServer) {
    start(kind, attempts, vec![act.clone()], vec![act]).await
}

#[tokio::test]
async fn a_request_arrives_unaltered_and_its_answer_too() {
    let (node, first, second) = start_alike(RequestKind::Idempotent, 2, Act::Answer(404, "of the server".into())).await;
    let answer = ask(&node, "/path/a?b=c", 4000).await;
    assert_eq!((answer.status, answer.stamp, answer.body.as_deref()), (404, true, Some("of the server")));
    let seen = [first.seen(), second.seen()].concat();
    assert_eq!(seen.len(), 1);
    assert!(seen[0].head.starts_with("POST /path/a?b=c HTTP/1.1\r\n"), "{}", seen[0].head);
    assert_eq!(seen[0].body, "question");
    assert_eq!(seen[0].header("t-id").as_deref(), Some("id-1"));
    assert_eq!(seen[0].header("other").as_deref(), Some("kept"));
    assert_eq!(seen[0].header("hop"), None);
    let expected = if first.seen().is_empty() { "second" } else { "first" };
    assert_eq!(seen[0].header("t-server").as_deref(), Some(expected));
    let left: u64 = seen[0].header("t-deadline").unwrap().parse().unwrap();
    assert!(left <= 4000, "{left}");
}

#[tokio::test]
async fn a_rejected_request_goes_to_another_server_whatever_its_kind() {
    for act in [Act::Reject, Act::Misdirected] {
        let (node, first, second) = start(STREAM, 1, vec![act.clone(); 9], vec![act; 9]).await;
        let answer = ask(&node, "/path/a", 4000).await;
        assert_eq!((answer.status, answer.stamp), (503, false));
        assert!(answer.retry_after.is_some());
        assert!(!first.seen().is_empty() && !second.seen().is_empty());
        let (node, first, second) = start(STREAM, 1, vec![Act::Reject], vec![]).await;
        assert_eq!(ask(&node, "/path/a", 4000).await.status, 200);
        assert!(first.seen().len() <= 1 && second.seen().len() == 1);
    }
}

/// The connection broke after the request had been sent: it may have run.
#[tokio::test]
async fn what_may_have_run_is_repeated_only_if_its_kind_allows() {
    for act in [Act::Close, Act::WrongIdentity] {
        let (node, first, second) = start_alike(RequestKind::AtMostOnce, 3, act.clone()).await;
        let answer = ask(&node, "/path/a", 4000).await;
        assert_eq!((answer.status, answer.stamp, answer.retry_after), (502, false, None));
        assert_eq!(first.seen().len() + second.seen().len(), 1);
        let (node, first, second) = start(RequestKind::Idempotent, 2, vec![act], vec![]).await;
        assert_eq!(ask(&node, "/path/a", 4000).await.status, 200);
        assert!(first.seen().len() <= 1 && second.seen().len() == 1);
    }
}

#[tokio::test]
async fn a_silent_server_is_given_up_for_another_and_its_connection_closed() {
    let (node, first, second) = start(RequestKind::Idempotent, 2, vec![Act::Silence], vec![Act::Silence]).await;
    let answer = ask(&node, "/path/a", 1500).await;
    assert_eq!(answer.status, 502);
    assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
    let until = Instant::now() + Duration::from_secs(10);
    while first.abandoned() + second.abandoned() < 2 && Instant::now() < until {
        tokio::task::yield_now().await;
    }
    assert_eq!(first.abandoned() + second.abandoned(), 2);
}

/// A refusal promises that the request has not run; a server had this one.
#[tokio::test]
async fn what_may_have_run_is_not_refused_for_want_of_a_slot() {
    let (node, first, second) = start(RequestKind::Idempotent, 2, vec![Act::Silence], vec![Act::Silence]).await;
    let fill = async {
        while first.seen().len() + second.seen().len() == 0 {
            tokio::task::yield_now().await;
        }
        for server in [&first, &second] {
            fill(&node.shared, server);
        }
    };
    let (answer, ()) = tokio::join!(ask(&node, "/path/a", 4000), fill);
    assert_eq!((answer.status, answer.retry_after), (502, None));
    assert_eq!(first.seen().len() + second.seen().len(), 1, "no slot is free for a second attempt");
    assert_eq!(ask(&node, "/path/a", 4000).await.status, 429, "what reached no server is refused");
}

/// Many requests run at a server, as far as the node knows.
fn fill(shared: &Shared<TestDialect>, server: &TestServer) {
    let mut dispatcher = shared.dispatcher();
    let now = shared.clock.now();
    let key = ServerKey::of(&server.name);
    let placement = dispatcher.place_at(now, key, 0, Duration::ZERO, false).unwrap();
    for _ in 0..100 {
        dispatcher.note_sent(now, &placement, &Prompt::default());
    }
}

#[tokio::test]
async fn a_cut_stream_goes_on_at_another_server_after_the_last_whole_event() {
    let (node, first, second) = start(RESUMABLE, 2, vec![Act::CutStream(vec![1, 2])], vec![Act::StreamTo(4); 9]).await;
    // Ask until the first server got a request: then it is the one that cuts.
    while first.seen().is_empty() {
        let answer = ask(&node, "/path/a", 4000).await;
        let expected: String = (1..=4).map(event_text).collect();
        assert_eq!((answer.status, answer.stamp, answer.body), (200, true, Some(expected)));
    }
    let resumed = second.seen().into_iter().find(|seen| seen.header("t-last-event").is_some()).unwrap();
    assert_eq!(resumed.header("t-last-event").as_deref(), Some("2"));
    assert_eq!(resumed.header("t-id").as_deref(), Some("id-1"));
}

#[tokio::test]
async fn a_stalled_stream_goes_on_elsewhere_after_its_connection_was_closed() {
    let (node, first, second) = start(RESUMABLE, 2, vec![Act::StallAfterFirst], vec![Act::StreamTo(3); 9]).await;
    // Ask until the first server got a request: then it is the one that stalls.
    while first.seen().is_empty() {
        let answer = ask(&node, "/path/a", 20_000).await;
        let expected: String = (1..=3).map(event_text).collect();
        assert_eq!((answer.status, answer.body), (200, Some(expected)));
    }
    let resumed = second.seen().into_iter().find(|seen| seen.header("t-last-event").is_some()).unwrap();
    assert_eq!(resumed.header("t-last-event").as_deref(), Some("1"));
    let until = Instant::now() + Duration::from_secs(10);
    while first.abandoned() == 0 && Instant::now() < until {
        tokio::task::yield_now().await;
    }
    assert_eq!(first.abandoned(), 1);
}

#[tokio::test]
async fn a_cut_stream_that_can_not_go_on_never_looks_whole() {
    let (node, first, second) = start_alike(STREAM, 2, Act::CutStream(vec![1, 2])).await;
    let answer = ask(&node, "/path/a", 4000).await;
    assert_eq!((answer.status, answer.body), (200, None));
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}

#[tokio::test]
async fn a_request_without_a_route_or_a_table_is_refused_as_such() {
    let (node, ..) = start_alike(RequestKind::Idempotent, 1, Act::Close).await;
    assert_eq!(ask(&node, "/elsewhere/a", 4000).await.status, 404);
    let empty = serve_node(Shared::new(TestDialect::default(), latchwheel_proxy::Clock::start())).await;
    let answer = ask(&empty, "/path/a", 4000).await;
    assert_eq!(answer.status, 503, "a node without a table doesn't know that a route is missing");
    assert!(answer.retry_after.is_some());
}

#[tokio::test]
async fn a_client_that_leaves_takes_its_request_with_it() {
    let (node, first, second) = start_alike(STREAM, 1, Act::Silence).await;
    let asking = tokio::spawn({
        let request = request(&node, "/path/a", 20_000);
        async move { Client::http1().send(request).await.is_ok() }
    });
    while first.seen().len() + second.seen().len() == 0 {
        tokio::task::yield_now().await;
    }
    asking.abort();
    let until = Instant::now() + Duration::from_secs(10);
    while first.abandoned() + second.abandoned() == 0 && Instant::now() < until {
        tokio::task::yield_now().await;
    }
    assert_eq!(first.abandoned() + second.abandoned(), 1);
}

#[tokio::test]
async fn a_table_never_gives_way_to_an_older_one() {
    let (node, ..) = start_alike(RequestKind::Idempotent, 1, Act::Close).await;
    let older = latchwheel_core::routes::RoutingTable::default();
    assert_eq!(node.shared.put_in_force(older), None);
    assert_eq!(node.shared.table().version, 1);
}

/// A connection that got a whole answer and rests now.
struct Resting {
    connection: tokio::net::TcpStream,
    _stop: watch::Sender<bool>,
}

impl Resting {
    /// At a node that lets connections rest that long.
    async fn start(rest: Duration) -> Self {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let server = TestServer::start("server", Vec::new()).await;
        let shared = node(route(RequestKind::Idempotent, 1), &[&server]);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let handler = move |request| {
            let received = shared.clock.now();
            forward(shared.clone(), request, received)
        };
        let limits = ClientLimits { idle_timeout: rest, ..ClientLimits::default() };
        let port = ClientPort {
            guard: ClientGuard::new(BudgetLimits::of_machine(MEMORY, DESCRIPTORS)),
            limits: watch::channel(limits).1,
            no_room: || Response::new(empty()),
        };
        tokio::spawn(serve_clients(listener, Version::Http1, stopped, port, handler));
        let mut connection = tokio::net::TcpStream::connect(address).await.unwrap();
        let request = format!("GET /path/a HTTP/1.1\r\nhost: {HOST}\r\nt-id: 1\r\n\r\n");
        connection.write_all(request.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\nok") {
            assert!(connection.read_buf(&mut bytes).await.unwrap() > 0, "{}", String::from_utf8_lossy(&bytes));
        }
        Self { connection, _stop: stop }
    }

    async fn closed(&mut self) {
        use tokio::io::AsyncReadExt;
        assert_eq!(self.connection.read(&mut [0; 16]).await.unwrap(), 0);
    }
}

/// The rest that the operator allows decides which idle connection is closed
/// first: with a fixed time it would be the one that began to rest before.
#[tokio::test]
async fn an_idle_connection_is_closed_after_its_rest() {
    let mut long = Resting::start(Duration::from_secs(3600)).await;
    let mut short = Resting::start(Duration::from_millis(200)).await;
    tokio::select! {
        biased;
        () = long.closed() => panic!("the one that may rest longer was closed first"),
        () = short.closed() => {}
    }
}
