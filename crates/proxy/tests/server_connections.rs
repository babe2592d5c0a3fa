//! Connections to servers that answer early, too much, or at the wrong time: where the
//! rest of a body or a request is due, a server gets that and nothing else.

#[path = "support/raw.rs"]
mod raw;
mod support;

use latchwheel_core::routes::RequestKind;
use raw::{
    binary, head_of, identities, post, split_requests, statuses, until, whole, with_length, RawAct, RawNode,
    RawRequest, RawServer, BEYOND_BUFFERS, LONG, ONCE,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// On each connection stand whole requests as they were sent; one that was given up ends
/// within the body that is due there.
fn assert_as_sent(server: &RawServer, sent: &[(&str, &[u8])]) {
    let body_of = |request: &RawRequest| {
        let id = String::from_utf8(request.values("t-id").concat()).unwrap();
        sent.iter().find(|(sent, _)| *sent == id).expect("an identity that was sent").1
    };
    for bytes in server.received() {
        let (requests, rest) = split_requests(&bytes);
        for request in requests {
            assert!(request.body == body_of(&request), "other bytes in a body");
        }
        if let Some((request, length)) = head_of(&rest) {
            assert!(body_of(&request).starts_with(&rest[length..]), "other bytes where a body's rest is due");
        }
    }
}

/// A server answers a long body early, keeps the connection and reads on later. What it
/// reads then is the body's rest, also if the next request is there already.
#[tokio::test]
async fn after_an_early_answer_the_rest_of_the_body_follows() {
    let go_on = Arc::new(Notify::new());
    let server = RawServer::start("server", vec![RawAct::WriteEarly(whole(200, "", "early"), go_on.clone())]).await;
    let node = RawNode::start(ONCE, 1, &[&server]).await;
    let body = binary(BEYOND_BUFFERS);
    assert_eq!(statuses(&node.write_and_read(&with_length("1", &body)).await), [200]);
    let (second, asked) = (with_length("2", b"second"), AtomicBool::new(false));
    let (second, ()) = tokio::join!(
        async {
            let answer = node.write_and_read(&second).await;
            asked.store(true, Ordering::Relaxed);
            answer
        },
        async {
            until(|| node.shared.in_progress() == 1 || asked.load(Ordering::Relaxed)).await;
            go_on.notify_one();
        }
    );
    assert_eq!(statuses(&second), [200]);
    assert_as_sent(&server, &[("1", &body), ("2", b"second")]);
}

/// The same where the early answer says that the request was not run.
#[tokio::test]
async fn after_an_early_rejection_the_rest_of_the_body_follows() {
    let go_on = Arc::new(Notify::new());
    let early = RawAct::WriteEarly(whole(503, "t-not-run: 1\r\n", ""), go_on.clone());
    let server = RawServer::start("server", vec![early]).await;
    let node = RawNode::start(ONCE, 1, &[&server]).await;
    let body = binary(BEYOND_BUFFERS);
    go_on.notify_one();
    let first = node.write_and_read(&with_length("1", &body)).await;
    assert_eq!(statuses(&first), [200], "it is asked again");
    assert_eq!(statuses(&node.write_and_read(&with_length("2", b"second")).await), [200]);
    assert_as_sent(&server, &[("1", &body), ("2", b"second")]);
}

/// A request is given up while its body is on the way: by its deadline, by the client,
/// or by the server. The rest of it never arrives, whether the node or its system holds
/// it, and its connection carries no other request.
#[tokio::test]
async fn nothing_more_is_sent_of_a_request_that_was_given_up() {
    for length in [LONG, BEYOND_BUFFERS] {
        for way in ["deadline", "client", "server"] {
            give_up(way, &binary(length)).await;
        }
    }
}

async fn give_up(way: &str, body: &[u8]) {
    let go_on = Arc::new(Notify::new());
    let act = match way {
        "server" => RawAct::CloseEarly,
        _ => RawAct::WriteEarly(String::new(), go_on.clone()),
    };
    let server = RawServer::start("server", vec![act]).await;
    let node = RawNode::start(ONCE, 1, &[&server]).await;
    let time = if way == "deadline" { 100 } else { 20_000 };
    let lines = format!("t-deadline: {time}\r\ncontent-length: {}\r\n", body.len());
    let first = post("1", &lines, body);
    if way == "client" {
        let mut stream = node.connect().await;
        stream.write_all(&first).await.unwrap();
        until(|| server.received().iter().any(|bytes| head_of(bytes).is_some())).await;
        drop(stream);
        until(|| node.shared.in_progress() == 0).await;
    } else {
        assert_eq!(statuses(&node.write_and_read(&first).await), [502], "{way}");
    }
    assert_eq!(statuses(&node.write_and_read(&with_length("2", b"second")).await), [200], "{way}");
    go_on.notify_one();
    until(|| server.ended() == 1).await;
    assert_as_sent(&server, &[("1", body), ("2", b"second")]);
    assert_eq!(identities(&server.requests()), ["2"], "{way}, {} bytes", body.len());
    // What the server's own side had taken by then, and no more.
    let arrived = server.received()[0].len();
    assert!(arrived < body.len() / 2, "{way}: {arrived} of {} bytes", body.len());
}

/// A connection on which more came than the answer is used for nothing else, or shows
/// by the identity that the answer isn't the one that is due.
#[tokio::test]
async fn a_surplus_answer_changes_no_other_request() {
    let surplus = whole(200, "", "ok") + &whole(200, "", "surplus");
    let server = RawServer::start("server", vec![RawAct::Write(surplus); 4]).await;
    let node = RawNode::start(RequestKind::Idempotent, 3, &[&server]).await;
    for number in 1..=4 {
        let id = format!("id-{number}");
        let answer = node.write_and_read(&with_length(&id, id.as_bytes())).await;
        let text = String::from_utf8_lossy(&answer).into_owned();
        if statuses(&answer) == [200] {
            assert!(text.contains(&format!("t-id: {id}\r\n")) && text.ends_with("\r\n\r\nok"), "{text}");
        }
    }
    for request in server.requests() {
        assert!(request.values("t-id") == [&request.body[..]]);
        assert_eq!(request.line, b"POST /path/a HTTP/1.1");
    }
    assert!(server.received().iter().all(|bytes| split_requests(bytes).1.is_empty()));
}

/// A server writes on a connection that rests: the next request arrives whole, or not
/// on that connection.
#[tokio::test]
async fn bytes_on_a_resting_connection_change_no_other_request() {
    for later in [whole(200, "", "late"), "noise".into(), "HTTP/1.1 100 Continue\r\n\r\n".into()] {
        let go_on = Arc::new(Notify::new());
        let act = RawAct::WriteLater(whole(200, "", "ok"), go_on.clone(), later);
        let server = RawServer::start("server", vec![act]).await;
        let node = RawNode::start(RequestKind::Idempotent, 3, &[&server]).await;
        assert_eq!(statuses(&node.write_and_read(&with_length("1", b"one")).await), [200]);
        go_on.notify_one();
        let answer = node.write_and_read(&with_length("2", b"two")).await;
        if statuses(&answer) == [200] {
            assert!(String::from_utf8_lossy(&answer).contains("t-id: 2\r\n"));
        }
        for request in server.requests() {
            let expected: &[u8] = if request.values("t-id") == [b"1"] { b"one" } else { b"two" };
            assert_eq!(request.body, expected);
        }
    }
}

#[tokio::test]
async fn interim_answers_of_a_server_are_no_answers() {
    let interim =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    let act = RawAct::Write(interim.to_owned() + &whole(200, "", "ok"));
    let server = RawServer::start("server", vec![act; 2]).await;
    let node = RawNode::start(ONCE, 1, &[&server]).await;
    for id in ["1", "2"] {
        let body = binary(BEYOND_BUFFERS);
        let length = format!("expect: 100-continue\r\ncontent-length: {BEYOND_BUFFERS}\r\n");
        let answer = node.write_and_read(&post(id, &length, &body)).await;
        assert_eq!(statuses(&answer).last(), Some(&200));
        assert!(server.requests().last().unwrap().body == body);
    }
    assert_eq!(identities(&server.requests()), ["1", "2"]);
}

/// A server that lost a connection is tried, to tell whether it has ended: it gets a
/// connection, and no byte on it.
#[tokio::test]
async fn a_server_that_is_tried_gets_no_request() {
    let server = RawServer::start("server", vec![RawAct::CloseEarly]).await;
    let node = RawNode::start(ONCE, 1, &[&server]).await;
    assert_eq!(statuses(&node.write_and_read(&with_length("1", &binary(LONG))).await), [502]);
    // The first connection, and the tries, of which each has ended.
    until(|| server.received().len() > 1 && server.ended() == server.received().len()).await;
    assert!(server.received()[1..].iter().all(Vec::is_empty));
}

/// A refusal that a server sends twice must not stand for the retry that it then runs.
#[tokio::test]
async fn a_repeated_refusal_is_not_the_answer_to_a_retry() {
    let refusal = whole(503, "t-not-run: 1\r\n", "");
    let acts = vec![
        RawAct::WriteAndRepeat(refusal.clone()),
        RawAct::Write(whole(200, "", "ok")),
        RawAct::Write(refusal.clone()),
        RawAct::Write(refusal),
    ];
    let server = RawServer::start("server", acts).await;
    let node = RawNode::start(ONCE, 1, &[&server]).await;
    let answer = node.write_and_read(&with_length("1", b"one")).await;
    assert_eq!(statuses(&answer), [200], "the second attempt ran");
    assert_eq!(identities(&server.requests()), ["1", "1"], "refused once and run once");
}

/// Only the server's mark says that a request was not run; a status alone does not.
#[tokio::test]
async fn a_refusal_without_the_mark_promises_nothing() {
    for status in [408, 429, 503] {
        let server = RawServer::start("server", vec![RawAct::Write(whole(status, "", ""))]).await;
        let node = RawNode::start(ONCE, 3, &[&server]).await;
        let answer = node.write_and_read(&with_length("1", b"one")).await;
        assert_eq!(statuses(&answer), [502], "{status}");
        assert_eq!(identities(&server.requests()), ["1"], "sent once");
    }
}

/// A server that closes a kept connection after the head of a request may have run it.
#[tokio::test]
async fn a_request_on_a_kept_connection_that_is_closed_is_not_sent_again() {
    let acts = vec![RawAct::Write(whole(200, "", "ok")), RawAct::CloseEarly];
    let server = RawServer::start("server", acts).await;
    let node = RawNode::start(ONCE, 3, &[&server]).await;
    assert_eq!(statuses(&node.write_and_read(&with_length("1", b"one")).await), [200]);
    assert_eq!(statuses(&node.write_and_read(&with_length("2", b"two")).await), [502]);
    let sent = server.received().concat();
    let sent = String::from_utf8_lossy(&sent).into_owned();
    assert_eq!(sent.matches("t-id: 2").count(), 1, "{sent}");
}
