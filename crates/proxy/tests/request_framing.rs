//! Where requests begin and end: nothing that a client wrote as part of one request
//! reaches a server as another, and nothing of a body that was cut reaches one as whole.

#[path = "support/raw.rs"]
mod raw;
mod support;

use raw::{identities, post_open, request, send, split_requests, start, statuses, until, with_length, INNER, LONG};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Bytes that two readers may frame differently: either the request is refused and the
/// connection closed, or nothing that follows it there is read as another request.
#[tokio::test]
async fn nothing_is_smuggled_inside_a_request() {
    let both =
        |first: &str, second: &str| post_open("1", &format!("{first}\r\n{second}\r\n"), &inner_after("0\r\n\r\n"));
    let length = format!("content-length: {}", inner_after("0\r\n\r\n").len());
    let chunked = "transfer-encoding: chunked";
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("length and chunks", both(&length, chunked)),
        ("chunks and length", both(chunked, &length)),
        ("chunks and no length", both(chunked, "content-length: 0")),
        ("two lengths", post_open("1", "content-length: 0\r\ncontent-length: 5\r\n", &inner_after("12345"))),
        ("a list of lengths", post_open("1", "content-length: 0, 5\r\n", &inner_after("12345"))),
        ("a signed length", post_open("1", "content-length: +5\r\n", &inner_after("12345"))),
        ("a negative length", post_open("1", "content-length: -1\r\n", &inner_after(""))),
        ("a length in hex", post_open("1", "content-length: 0x5\r\n", &inner_after("12345"))),
        ("a length with a blank", post_open("1", "content-length: 1 5\r\n", &inner_after("12345"))),
        ("an empty length", post_open("1", "content-length:\r\n", &inner_after(""))),
        ("a length too long", post_open("1", "content-length: 99999999999999999999\r\n", &inner_after(""))),
        ("a blank before the colon", post_open("1", "content-length : 5\r\n", &inner_after("12345"))),
        ("a folded line", post_open("1", "folded: a\r\n content-length: 5\r\n", &inner_after("12345"))),
        ("chunks not last", post_open("1", "transfer-encoding: chunked, identity\r\n", &inner_after("0\r\n\r\n"))),
        ("an unknown coding", post_open("1", "transfer-encoding: xchunked\r\n", &inner_after("0\r\n\r\n"))),
        ("a quoted coding", post_open("1", "transfer-encoding: \"chunked\"\r\n", &inner_after("0\r\n\r\n"))),
        (
            "a control byte in the coding",
            post_open("1", "transfer-encoding: \x0bchunked\r\n", &inner_after("0\r\n\r\n")),
        ),
        ("a NUL in a header", post_open("1", "other: a\0b\r\n", &inner_after(""))),
        ("a CR in a header", post_open("1", "other: a\rb: c\r\n", &inner_after(""))),
        ("a control byte in a name", post_open("1", "oth\x01er: a\r\n", &inner_after(""))),
        ("a bad chunk size", chunked_open("g\r\n", "")),
        ("a signed chunk size", chunked_open("+1\r\nx\r\n", "0\r\n\r\n")),
        ("a chunk size in 0x", chunked_open("0x1\r\nx\r\n", "0\r\n\r\n")),
        ("a chunk size too long", chunked_open("11111111111111111\r\nx\r\n", "0\r\n\r\n")),
        ("an empty chunk size", chunked_open("\r\nx\r\n", "0\r\n\r\n")),
        ("a chunk longer than told", chunked_open("1\r\nxy\r\n", "0\r\n\r\n")),
        ("a line feed in an extension", chunked_open("1;a\nb\r\nx\r\n", "0\r\n\r\n")),
        ("chunks in an older version", old_version("transfer-encoding: chunked\r\n", "0\r\n\r\n")),
    ];
    for (case, bytes) in cases {
        let (statuses, requests) = send(&bytes).await;
        assert!(statuses.len() <= 1, "{case}: {statuses:?}");
        assert!(!identities(&requests).contains(&"inner".to_owned()), "{case}");
        assert!(requests.len() <= 1, "{case}: {requests:?}");
        if let [request] = &requests[..] {
            assert_eq!((identities(&requests), &request.line[..]), (vec!["1".into()], &b"POST /path/a HTTP/1.1"[..]));
            assert!(request.body.is_empty(), "{case}: {request:?}");
        }
    }
}

fn inner_after(bytes: &str) -> String {
    format!("{bytes}{INNER}")
}

fn chunked_open(chunk: &str, end: &str) -> Vec<u8> {
    post_open("1", "transfer-encoding: chunked\r\n", &inner_after(&format!("{chunk}{end}")))
}

fn old_version(lines: &str, after: &str) -> Vec<u8> {
    String::from_utf8(post_open("1", lines, &inner_after(after)))
        .unwrap()
        .replacen("HTTP/1.1", "HTTP/1.0", 1)
        .into_bytes()
}

/// Requests that a client sent one after the other without waiting are its own.
#[tokio::test]
async fn requests_that_come_at_once_arrive_each_as_it_was_sent() {
    let first = post_open("1", "content-length: 3\r\n", "one");
    let second = post_open("2", "transfer-encoding: chunked\r\n", "3\r\ntwo\r\n0\r\n\r\n");
    let third = with_length("3", b"three");
    let (statuses, requests) = send(&[first, second, third].concat()).await;
    assert_eq!(statuses, [200, 200, 200]);
    assert_eq!(identities(&requests), ["1", "2", "3"]);
    let bodies: Vec<&[u8]> = requests.iter().map(|request| &request.body[..]).collect();
    assert_eq!(bodies, [&b"one"[..], b"two", b"three"]);
}

/// What is refused before its body was read: no part of the body is another request.
#[tokio::test]
async fn the_body_of_a_refused_request_is_no_request() {
    let heads = [
        "POST /elsewhere/a HTTP/1.1\r\nhost: host.example\r\nt-id: 1\r\n",
        "POST /path/a HTTP/1.1\r\nhost: host.example\r\n",
        "POST /path/a HTTP/1.1\r\nhost: host.example\r\nt-id: 1\r\nt-deadline: 0\r\n",
    ];
    for head in heads {
        for expects in ["", "expect: 100-continue\r\n"] {
            let (node, server) = start().await;
            let length = LONG + INNER.len();
            let mut stream = node.connect().await;
            let start = format!("{head}{expects}content-length: {length}\r\n\r\n");
            stream.write_all(start.as_bytes()).await.unwrap();
            let mut answer = Vec::new();
            while !statuses(&answer).iter().any(|status| *status >= 400) {
                assert!(stream.read_buf(&mut answer).await.unwrap() > 0, "{head}");
            }
            // The node may have closed the connection by now.
            let _ = stream.write_all(&vec![b'x'; LONG]).await;
            let _ = stream.write_all(INNER.as_bytes()).await;
            while stream.read_buf(&mut answer).await.is_ok_and(|length| length > 0) {}
            assert_eq!(server.requests(), [], "{head}{expects}");
        }
    }
}

/// A client leaves before its body was whole: no server gets a part of it.
#[tokio::test]
async fn a_body_that_was_cut_reaches_no_server() {
    let chunked = "transfer-encoding: chunked\r\n";
    let cases = [
        ("a length", post_open("1", "content-length: 10\r\n", "123456789")),
        ("no byte", post_open("1", "content-length: 1\r\n", "")),
        ("in a chunk", post_open("1", chunked, "5\r\n1234")),
        ("after a chunk", post_open("1", chunked, "5\r\n12345\r\n")),
        ("in the last chunk", post_open("1", chunked, "5\r\n12345\r\n0\r\n")),
        ("in the trailers", post_open("1", chunked, "5\r\n12345\r\n0\r\nmore: a\r\n")),
    ];
    for (case, bytes) in cases {
        for resets in [false, true] {
            let (node, server) = start().await;
            let mut stream = node.connect().await;
            stream.write_all(&bytes).await.unwrap();
            until(|| node.shared.in_progress() == 1).await;
            if resets {
                stream.set_zero_linger().unwrap();
            }
            drop(stream);
            until(|| node.shared.in_progress() == 0).await;
            assert_eq!(statuses(&node.write_and_read(&with_length("2", b"x")).await), [200]);
            assert_eq!(identities(&server.requests()), ["2"], "{case}");
            assert!(server.received().iter().all(|bytes| split_requests(bytes).1.is_empty()), "{case}");
        }
    }
}

/// A client that stalls in its body is answered at its deadline; what comes of the
/// body afterwards is no request.
#[tokio::test]
async fn a_body_that_stalls_reaches_no_server() {
    let (node, server) = start().await;
    let mut stream = node.connect().await;
    let start = post_open("1", &format!("t-deadline: 50\r\ncontent-length: {}\r\n", INNER.len() + 2), "12");
    stream.write_all(&start).await.unwrap();
    let mut answer = Vec::new();
    while statuses(&answer).is_empty() {
        assert!(stream.read_buf(&mut answer).await.unwrap() > 0);
    }
    assert_eq!(statuses(&answer), [408]);
    let _ = stream.write_all(INNER.as_bytes()).await;
    while stream.read_buf(&mut answer).await.is_ok_and(|length| length > 0) {}
    assert_eq!(server.requests(), []);
}

#[tokio::test]
async fn a_caller_whose_body_was_too_slow_is_told_when_to_come_back() {
    let (node, _server) = start().await;
    let mut stream = node.connect().await;
    let start = post_open("1", &format!("t-deadline: 50\r\ncontent-length: {}\r\n", INNER.len()), "");
    stream.write_all(&start).await.unwrap();
    let mut answer = Vec::new();
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        assert!(stream.read_buf(&mut answer).await.unwrap() > 0);
    }
    assert_eq!(statuses(&answer), [408]);
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.contains("retry-after: "), "{answer}");
}

/// A line that ends in a bare line feed is a line as any other here: what goes on to a
/// server has no such end, so that the server can't read other lines out of it.
#[tokio::test]
async fn a_bare_line_feed_reaches_no_server() {
    let lines = b"other: a\nmore: b\nempty:\n\r\n";
    let (statuses, requests) = send(&request(b"POST /path/a HTTP/1.1", "1", lines, b"")).await;
    assert_eq!((statuses, requests.len()), (vec![200], 1));
    assert!(requests[0].headers.iter().all(|(_, value)| !value.contains(&b'\n')));
    assert_eq!((requests[0].values("other"), requests[0].values("more")), (vec![b"a".to_vec()], vec![b"b".to_vec()]));
}

/// Two identities or hosts, of which a server may take another one than the node, and
/// bodies in a coding that ends with the connection to the node.
#[tokio::test]
async fn a_request_that_a_server_may_read_otherwise_reaches_none() {
    let coded = |coding: &str| request(b"POST /path/a HTTP/1.1", "1", coding.as_bytes(), b"1\r\nx\r\n0\r\n\r\n");
    let with = |lines: &[u8]| request(b"POST /path/a HTTP/1.1", "1", lines, b"");
    let cases = [
        ("another identity", with(b"t-id: inner\r\n")),
        ("the same identity twice", with(b"T-Id: 1\r\n")),
        ("another identity in a line of its own end", with(b"other: a\nt-id: inner\r\n")),
        ("another host", with(b"host: other.example\r\n")),
        ("the same host twice", with(b"host: host.example\r\n")),
        ("a compressed body", coded("transfer-encoding: gzip, chunked\r\n")),
        ("a compressed body in two lines", coded("transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n")),
        ("chunks twice", coded("transfer-encoding: chunked, chunked\r\n")),
    ];
    for (case, bytes) in cases {
        let (statuses, requests) = send(&bytes).await;
        assert_eq!((statuses, requests), (vec![400], Vec::new()), "{case}");
    }
}
