//! A planned stop: what the node takes is answered before it ends, and a refusal is true.

mod support;

use http_body_util::BodyExt;
use hyper::Request;
use latchwheel_core::routes::{RequestKind, Route};
use latchwheel_http::{full, Client};
use latchwheel_proxy::Shared;
use std::sync::Arc;
use std::time::Duration;
use support::endless::{Endless, EndlessServer};
use support::{node, route, serve_node, stop_times, Act, TestDialect, TestServer, HOST};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const STREAM: RequestKind = RequestKind::Stream { resumable: true };
/// Longer than any test, and than the time of a request.
const FOREVER: Duration = Duration::from_secs(3600);
/// Less than the time of a request, and longer than any answer of these tests.
const LONG: Duration = Duration::from_secs(10);
const NONE: Duration = Duration::ZERO;
/// Time for a request to reach a server, before a node that must not wait for it is stopped.
const SHORT: Duration = Duration::from_millis(300);

struct Node {
    shared: Arc<Shared<TestDialect>>,
    address: String,
    server: TestServer,
    _stop: watch::Sender<bool>,
}

impl Node {
    async fn start(kind: RequestKind, acts: Vec<Act>) -> Self {
        let server = TestServer::start("server", acts).await;
        let shared = node(Route { latency_target: LONG, ..route(kind, 1) }, &[&server]);
        let (address, stop) = serve_node(&shared).await;
        Self { shared, address, server, _stop: stop }
    }

    fn leave(&self, clients_leave: Duration, last_answer: Duration) {
        self.shared.leave(stop_times(&self.shared, clients_leave, last_answer));
    }

    /// Status of the complete answer to a request with that deadline; `None` if there is none.
    async fn ask(&self, deadline: Duration) -> Option<u16> {
        ask(self.address.clone(), deadline).await
    }

    fn ask_later(&self) -> tokio::task::JoinHandle<Option<u16>> {
        tokio::spawn(ask(self.address.clone(), FOREVER))
    }

    async fn server_gets(&self, requests: usize) {
        while self.server.seen().len() < requests {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Complete answers of a server to requests of this kind.
fn answers(kind: RequestKind) -> Vec<Act> {
    match kind {
        RequestKind::Stream { .. } => vec![Act::StreamTo(3); 4],
        _ => vec![Act::Answer(200, "whole".into()); 4],
    }
}

async fn ask(address: String, deadline: Duration) -> Option<u16> {
    let request = Request::post(format!("http://{address}/path/a"))
        .header("host", HOST)
        .header("t-id", "1")
        .header("t-deadline", deadline.as_millis() as u64)
        .body(full("body"))
        .unwrap();
    let response = Client::http1().send(request).await.ok()?;
    let status = response.status().as_u16();
    if status == 503 {
        assert!(response.headers().contains_key("retry-after"), "a refusal says when to come back");
    }
    response.into_body().collect().await.ok()?;
    Some(status)
}

#[tokio::test]
async fn a_request_without_time_to_end_is_refused_unsent() {
    for kind in [RequestKind::Idempotent, RequestKind::AtMostOnce, STREAM] {
        let node = Node::start(kind, answers(kind)).await;
        node.leave(FOREVER, LONG);
        assert_eq!(node.ask(FOREVER).await, Some(503), "no answer of the route is known");
        assert_eq!(node.server.seen().len(), 0);
    }
}

#[tokio::test]
async fn a_request_whose_deadline_comes_first_is_served() {
    for kind in [RequestKind::Idempotent, RequestKind::AtMostOnce, STREAM] {
        let node = Node::start(kind, answers(kind)).await;
        node.leave(NONE, FOREVER);
        assert_eq!(node.ask(LONG).await, Some(200));
    }
}

#[tokio::test]
async fn a_request_that_is_likely_to_end_is_served_and_told_the_time_that_is_left() {
    for kind in [RequestKind::Idempotent, RequestKind::AtMostOnce, STREAM] {
        let node = Node::start(kind, answers(kind)).await;
        assert_eq!(node.ask(FOREVER).await, Some(200));
        node.leave(LONG, LONG);
        assert_eq!(node.ask(FOREVER).await, Some(200));
        let deadline: u64 = node.server.seen()[1].header("t-deadline").unwrap().parse().unwrap();
        assert!(deadline <= LONG.as_millis() as u64, "{deadline}");
    }
}

#[tokio::test]
async fn what_can_not_be_answered_again_is_refused_once_clients_go_elsewhere() {
    for (kind, status) in [(RequestKind::Idempotent, 200), (RequestKind::AtMostOnce, 503), (STREAM, 503)] {
        let node = Node::start(kind, answers(kind)).await;
        assert_eq!(node.ask(FOREVER).await, Some(200));
        node.leave(NONE, LONG);
        assert_eq!(node.ask(FOREVER).await, Some(status), "{kind:?}");
    }
}

/// A server that does not answer held requests until the process ended, and their connections
/// were closed without an answer.
#[tokio::test]
async fn a_request_in_progress_at_the_end_is_answered_that_it_may_have_run() {
    for kind in [RequestKind::Idempotent, RequestKind::AtMostOnce] {
        let node = Node::start(kind, vec![Act::Silence]).await;
        let asked = node.ask_later();
        node.server_gets(1).await;
        node.leave(NONE, NONE);
        assert_eq!(asked.await.unwrap(), Some(502));
    }
}

#[tokio::test]
async fn a_stream_in_progress_at_the_end_does_not_look_complete() {
    let node = Node::start(STREAM, vec![Act::StallAfterFirst]).await;
    let asked = node.ask_later();
    node.server_gets(1).await;
    tokio::time::sleep(SHORT).await;
    node.leave(NONE, NONE);
    assert_eq!(asked.await.unwrap(), None);
}

#[tokio::test]
async fn a_request_that_waits_for_a_slot_is_refused_when_it_is_too_late_for_it() {
    for kind in [RequestKind::Idempotent, RequestKind::AtMostOnce] {
        let node = Node::start(kind, vec![Act::Silence; 64]).await;
        let asked: Vec<_> = (0..64).map(|_| node.ask_later()).collect();
        node.server_gets(8).await;
        tokio::time::sleep(SHORT).await;
        node.leave(NONE, NONE);
        let mut refused = 0;
        for asked in asked {
            let status = asked.await.unwrap();
            assert!(matches!(status, Some(502 | 503 | 429)), "{status:?}");
            refused += usize::from(status != Some(502));
        }
        assert_eq!(refused + node.server.seen().len(), 64, "who was sent is not told that nothing has run");
    }
}

#[tokio::test]
async fn a_request_whose_body_is_late_is_refused_before_the_end() {
    let node = Node::start(RequestKind::AtMostOnce, vec![]).await;
    let mut caller = TcpStream::connect(&node.address).await.unwrap();
    let head = format!("POST /path/a HTTP/1.1\r\nhost: {HOST}\r\nt-id: 1\r\ncontent-length: 10\r\n\r\nhalf");
    caller.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(SHORT).await;
    node.leave(NONE, NONE);
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("3004"), "{answer}");
    assert_eq!(node.server.seen().len(), 0);
}

/// An answer that is passed on before it is whole.
#[tokio::test]
async fn a_long_answer_is_in_progress_until_it_is_broken_off_at_the_end() {
    let server = EndlessServer::start("server", Endless::Chunks).await;
    let shared = node(route(RequestKind::Idempotent, 1), &[]);
    shared.dispatcher().set_ready([&server.record()].into_iter());
    let (address, _stop) = serve_node(&shared).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let head = format!("POST /path/a HTTP/1.1\r\nhost: {HOST}\r\nt-id: 1\r\ncontent-length: 0\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut start = [0; 12];
    caller.read_exact(&mut start).await.unwrap();
    assert_eq!(&start, b"HTTP/1.1 200");
    assert_eq!(shared.in_progress(), 1);
    shared.leave(stop_times(&shared, NONE, NONE));
    let mut rest = Vec::new();
    let _ = caller.read_to_end(&mut rest).await;
    assert!(!rest.ends_with(b"0\r\n\r\n"), "it looks complete");
    while shared.in_progress() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
