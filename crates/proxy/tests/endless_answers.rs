//! Answers without end: the caller gets a truthful answer, and the server is left.

mod support;

use latchwheel_core::routes::{ClientLimits, RequestKind, Route, RoutingTable};
use latchwheel_core::tenants::Tenants;
use latchwheel_proxy::{Clock, Shared};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::endless::{Endless, EndlessServer};
use support::{route, serve_node, TestDialect, HOST};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time that anything is waited for; running into it fails a test.
const LIMIT: Duration = Duration::from_secs(20);
/// Time that requests have.
const ROUTE_TIME: Duration = Duration::from_millis(700);
/// Most bytes of a failure of the node's own.
const OWN_ANSWER_BYTES: usize = 4096;

/// The beginning and the end of an answer, up to the end of its connection.
struct Answer {
    start: Vec<u8>,
    end: Vec<u8>,
    length: usize,
}

impl Answer {
    fn status(&self) -> u16 {
        let text = String::from_utf8_lossy(&self.start);
        text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
    }

    /// Whether the last chunk says that the answer is complete.
    fn is_complete(&self) -> bool {
        self.end.ends_with(b"0\r\n\r\n")
    }
}

async fn start_node(kind: RequestKind, server: &EndlessServer) -> Arc<Shared<TestDialect>> {
    let shared = Shared::new(TestDialect::default(), Clock::start());
    let route = Route { timeout: ROUTE_TIME, ..route(kind, 1) };
    let table = RoutingTable::new(1, ClientLimits::default(), HashMap::new(), Tenants::default(), [route]);
    assert_eq!(shared.put_in_force(table), Some(0));
    shared.dispatcher().set_ready([&server.record()].into_iter());
    shared
}

async fn send(callers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let request =
        format!("POST /path/a HTTP/1.1\r\nhost: {HOST}\r\nt-id: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

async fn read_to_end(mut stream: TcpStream) -> Answer {
    let (mut answer, mut buffer) = (Answer { start: Vec::new(), end: Vec::new(), length: 0 }, vec![0; 64 << 10]);
    let read = async {
        while let Ok(length @ 1..) = stream.read(&mut buffer).await {
            answer.length += length;
            if answer.start.len() < OWN_ANSWER_BYTES {
                answer.start.extend_from_slice(&buffer[..length]);
            }
            answer.end.extend_from_slice(&buffer[..length]);
            answer.end.drain(..answer.end.len().saturating_sub(16));
        }
    };
    tokio::time::timeout(LIMIT, read).await.expect("the connection ends");
    answer
}

async fn until_left(server: &EndlessServer, what: &str) {
    let end = Instant::now() + LIMIT;
    while server.answers() > 0 {
        assert!(Instant::now() < end, "{what}: the server is not left");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn assert_ends(kind: RequestKind, endless: Endless) {
    let what = format!("{kind:?}, {endless:?}");
    let server = EndlessServer::start("server", endless).await;
    let node = start_node(kind, &server).await;
    let (callers, _stop) = serve_node(&node).await;
    let answer = read_to_end(send(&callers).await).await;
    until_left(&server, &what).await;
    assert_eq!(server.asked(), 1, "{what}");
    if endless.is_in_head() {
        assert_eq!(answer.status(), 502, "{what}");
        assert!(answer.length < OWN_ANSWER_BYTES, "{what}");
        return;
    }
    let is_failure = answer.status() == 502 && answer.length < OWN_ANSWER_BYTES;
    assert!(is_failure || !answer.is_complete(), "{what}: an endless answer looks complete");
}

#[tokio::test]
async fn a_request_that_runs_once_ends_truthfully() {
    for endless in Endless::ALL {
        assert_ends(RequestKind::AtMostOnce, endless).await;
    }
}

#[tokio::test]
async fn a_request_that_may_be_repeated_ends_truthfully() {
    for endless in Endless::ALL {
        assert_ends(RequestKind::Idempotent, endless).await;
    }
}

#[tokio::test]
async fn streams_end_truthfully() {
    for resumable in [true, false] {
        for endless in Endless::ALL {
            assert_ends(RequestKind::Stream { resumable }, endless).await;
        }
    }
}
