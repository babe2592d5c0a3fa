//! Servers that crash and start again under their name before a node notices the crash.

#[path = "support/raw.rs"]
mod raw;
mod support;

use bytes::Bytes;
use hyper::Request;
use latchwheel_core::directory::{DirectoryChange, ServerRecord};
use latchwheel_core::routes::RequestKind;
use latchwheel_events::metrics_text;
use latchwheel_http::{full, Client};
use raw::{RawAct, RawNode, RawServer};
use std::sync::Arc;
use support::HOST;
use tokio::sync::Notify;

/// Crashes of servers under requests that this process has noted.
fn noted_crashes() -> usize {
    let text = metrics_text();
    let count = text.lines().find_map(|line| line.strip_prefix("latchwheel_events_total{name=\"ServerEnded\"} "));
    count.map_or(0, |count| count.parse().unwrap())
}

/// Guards against a request that crashes one server after the other and is not suspected, since
/// each has started again at its address when the node looks whether it crashed.
#[tokio::test]
async fn a_server_that_has_started_again_counts_as_crashed() {
    let crash = Arc::new(Notify::new());
    let server = RawServer::start("server", vec![RawAct::WriteAndCloseLater(String::new(), crash.clone())]).await;
    let node = RawNode::start(RequestKind::AtMostOnce, 1, &[&server]).await;
    let client = Client::http1();
    let request = Request::post(format!("http://{}/path/x", node.address))
        .header("host", HOST)
        .header("t-id", "1")
        .body(full(Bytes::from_static(b"crashes servers")))
        .unwrap();
    let start_again = async {
        raw::until(|| !server.requests().is_empty()).await;
        node.shared.note_servers(&[DirectoryChange::Restarted("server".into())]);
        crash.notify_one();
    };
    let (answer, ()) = tokio::join!(client.send(request), start_again);
    assert_eq!(answer.unwrap().status().as_u16(), 502);
    assert_eq!(noted_crashes(), 1);
}

/// Guards against requests that name a start of a server, which the server doesn't know: it
/// would refuse them all.
#[tokio::test]
async fn a_request_names_its_server_as_it_registers() {
    let server = RawServer::start("server", Vec::new()).await;
    let node = RawNode::start(RequestKind::AtMostOnce, 1, &[&server]).await;
    let started_again = ServerRecord { id: ServerRecord::identity("server", 5), started_ms: 5, ..server.record() };
    let changes = [DirectoryChange::Restarted("server".into()), DirectoryChange::Ready(started_again)];
    node.shared.note_servers(&changes);
    let request = Request::post(format!("http://{}/path/x", node.address))
        .header("host", HOST)
        .header("t-id", "2")
        .body(full(Bytes::from_static(b"body")))
        .unwrap();
    assert_eq!(Client::http1().send(request).await.unwrap().status().as_u16(), 200);
    assert_eq!(server.requests()[0].values("t-server"), [b"server".to_vec()]);
}
