//! What servers get is what clients sent: method, target, headers, body and identity
//! byte by byte, and nothing else. Both sides are raw sockets.

#[path = "support/raw.rs"]
mod raw;
mod support;

use latchwheel_core::routes::RequestKind;
use raw::{
    binary, identities, post, request, send, statuses, whole, with_length, RawAct, RawNode, RawRequest, RawServer,
    INNER, LONG,
};
use std::collections::BTreeMap;
use support::HOST;

/// Headers that the node sets itself.
const OWN_HEADERS: [&str; 3] = ["t-deadline", "t-server", "content-length"];

#[tokio::test]
async fn a_target_arrives_as_it_was_sent() {
    let long = format!("/path/{}?{}", "l".repeat(3000), "q=%2F&".repeat(500));
    let targets: [&[u8]; 14] = [
        b"/path/a",
        b"/path/a?",
        b"/path/a??&&=",
        b"/path/a?b=c&b=d&B=%c3%A9+%20",
        b"/path//a///",
        b"/path/%2e%2E/%2F%00%0d%0A/%20%C3%A9",
        b"/path/a/../../b/./c",
        b"/path/a;b=c,d:e@f!$'()*~",
        b"/path/a?x=/../?y&z=http://other/path",
        b"/path/%zz",
        b"/path/\xc3\xa9?\xc3\xa9",
        b"/path/{a}|\"b\"",
        b"/path/",
        long.as_bytes(),
    ];
    for target in targets {
        let line = [b"POST ", target, b" HTTP/1.1"].concat();
        let (statuses, requests) = send(&request(&line, "1", b"content-length: 1\r\n", b"x")).await;
        assert_eq!((statuses, requests.len()), (vec![200], 1), "{}", String::from_utf8_lossy(target));
        assert_eq!(requests[0].line, line);
    }
}

/// A server is always asked in the form for servers.
#[tokio::test]
async fn a_whole_address_as_target_arrives_as_its_path_and_query() {
    for (target, expected) in
        [("http://host.example/path/a?b=%20", "/path/a?b=%20"), ("http://host.example:80/path//a?", "/path//a?")]
    {
        let line = format!("POST {target} HTTP/1.1");
        let (statuses, requests) = send(&request(line.as_bytes(), "1", b"", b"")).await;
        assert_eq!((statuses, requests.len()), (vec![200], 1), "{target}");
        assert_eq!(requests[0].line, format!("POST {expected} HTTP/1.1").into_bytes());
        assert_eq!(requests[0].values("host"), [HOST.as_bytes()]);
    }
}

/// None of these is a target under the route's path, or a target at all.
#[tokio::test]
async fn what_is_no_target_of_the_route_reaches_no_server() {
    let lines: [&[u8]; 10] = [
        b"OPTIONS * HTTP/1.1",
        b"POST path/a HTTP/1.1",
        b"CONNECT host.example:80 HTTP/1.1",
        b"POST /path/a b HTTP/1.1",
        b"POST /path/a\tb HTTP/1.1",
        b"POST /path/a\x00b HTTP/1.1",
        b"POST /path/a\x01 HTTP/1.1",
        b"POST /path/a\rb HTTP/1.1",
        b"POST /path/a",
        b"PO ST /path/a HTTP/1.1",
    ];
    for line in lines {
        let (statuses, requests) = send(&request(line, "1", b"", b"")).await;
        assert!(matches!(statuses[..], [400 | 404]), "{}: {statuses:?}", String::from_utf8_lossy(line));
        assert_eq!(requests, [], "{}", String::from_utf8_lossy(line));
    }
}

#[tokio::test]
async fn any_method_arrives_as_it_was_sent() {
    for method in ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "BREW", "post", "M-SEARCH"] {
        for body in ["", "x"] {
            let line = format!("{method} /path/a HTTP/1.1");
            let length = format!("content-length: {}\r\n", body.len());
            let (_, requests) = send(&request(line.as_bytes(), "1", length.as_bytes(), body.as_bytes())).await;
            assert_eq!(requests.len(), 1, "{method}");
            assert_eq!((&requests[0].line[..], &requests[0].body[..]), (line.as_bytes(), body.as_bytes()));
        }
    }
}

#[tokio::test]
async fn a_body_arrives_as_it_was_sent_however_it_was_framed() {
    let binary = binary(LONG);
    for body in [&b""[..], b"\x00", b"\r\n\r\n", INNER.as_bytes(), &binary] {
        let chunk = |part: &[u8], extension: &str| {
            [format!("{:X}{extension}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat()
        };
        let half = body.len() / 2;
        let pieces = [&body[..half], &body[half..]].into_iter().filter(|part| !part.is_empty());
        let chunks: Vec<u8> = pieces.flat_map(|part| chunk(part, ";name=\"a;b\";other")).collect();
        let trailed = [&chunks[..], b"0;last\r\nt-id: trailer\r\nmore: trailer\r\n\r\n"].concat();
        let ways = [
            ("length", with_length("1", body)),
            ("twice the same length", post("1", &format!("content-length: {0}\r\n", body.len()).repeat(2), body)),
            ("expecting", post("1", &format!("expect: 100-continue\r\ncontent-length: {}\r\n", body.len()), body)),
            ("chunks", post("1", "transfer-encoding: chunked\r\n", &[&chunks[..], b"0\r\n\r\n"].concat())),
            ("trailers", post("1", "transfer-encoding: Chunked\r\ntrailer: more\r\n", &trailed)),
        ];
        for (way, bytes) in ways {
            let (statuses, requests) = send(&bytes).await;
            assert_eq!(statuses.last(), Some(&200), "{way}");
            assert_eq!(requests.len(), 1, "{way}");
            assert!(requests[0].body == body, "{way}: {} bytes for {}", requests[0].body.len(), body.len());
            assert_eq!(identities(&requests), ["1"], "{way}");
            assert!(requests[0].values("more").is_empty(), "{way}");
        }
    }
}

/// Values of each header, without those that the node sets.
fn passed_on(request: &RawRequest) -> BTreeMap<String, Vec<Vec<u8>>> {
    let names = request.headers.iter().map(|(name, _)| name.clone());
    let names = names.filter(|name| !OWN_HEADERS.contains(&name.as_str()));
    names.map(|name| (name.clone(), request.values(&name))).collect()
}

/// All but what concerns one connection: those that the connection names, and no more.
#[tokio::test]
async fn headers_arrive_as_they_were_sent() {
    let lines = b"Model: m\r\nPrefix: 5c1e07a2:800,91bd3f06:410\r\nlist: b, a\r\nempty:\r\nblank:   \r\n\
        trimmed: \t a  b \t\r\nobs: caf\xe9 \xff\r\nutf: caf\xc3\xa9\r\nLIST: a\r\nlist: b, a\r\nt-last-event: 7\r\n\
        authorization: Bearer key\r\ncookie: a=b\r\nforwarded: for=a\r\nvia: 1.1 a\r\naccept-encoding: gzip\r\n\
        keep-alive: timeout=5\r\nte: trailers\r\nproxy-connection: close\r\nupgrade: other\r\nhop: dropped\r\n\
        connection: Hop , upgrade\r\n";
    let (statuses, requests) = send(&request(b"GET /path/a HTTP/1.1", "Id-1", lines, b"")).await;
    assert_eq!((statuses, requests.len()), (vec![200], 1));
    let expected: [(&str, &[&[u8]]); 16] = [
        ("host", &[HOST.as_bytes()]),
        ("t-id", &[b"Id-1"]),
        ("model", &[b"m"]),
        ("prefix", &[b"5c1e07a2:800,91bd3f06:410"]),
        ("list", &[b"b, a", b"a", b"b, a"]),
        ("empty", &[b""]),
        ("blank", &[b""]),
        ("trimmed", &[b"a  b"]),
        ("obs", &[b"caf\xe9 \xff"]),
        ("utf", &[b"caf\xc3\xa9"]),
        ("t-last-event", &[b"7"]),
        ("authorization", &[b"Bearer key"]),
        ("cookie", &[b"a=b"]),
        ("forwarded", &[b"for=a"]),
        ("via", &[b"1.1 a"]),
        ("accept-encoding", &[b"gzip"]),
    ];
    let expected: BTreeMap<String, Vec<Vec<u8>>> = expected
        .into_iter()
        .map(|(name, values)| (name.to_owned(), values.iter().map(|value| value.to_vec()).collect()))
        .collect();
    assert_eq!(passed_on(&requests[0]), expected);
}

/// The deadline and the server that is meant are the node's to tell; each stands there
/// once, whatever the client wrote. Nothing else is added.
#[tokio::test]
async fn headers_of_the_node_replace_those_of_the_client() {
    let lines = b"t-server: other\r\nt-server: more\r\nt-deadline: 4000\r\nt-deadline: 9000\r\nt-tenant: other\r\n";
    let (_, requests) = send(&request(b"GET /path/a HTTP/1.1", "1", lines, b"")).await;
    assert_eq!(requests[0].values("t-server"), [b"server"]);
    let deadlines = requests[0].values("t-deadline");
    let deadline: u64 = std::str::from_utf8(&deadlines[0]).unwrap().parse().unwrap();
    assert!(deadlines.len() == 1 && deadline <= 4000, "{deadline}");
    let names: Vec<String> = passed_on(&requests[0]).into_keys().collect();
    assert_eq!(names, ["host", "t-id"]);
}

/// What says which request it is, and what it asks for, is no matter of one connection,
/// whatever a client names there.
#[tokio::test]
async fn a_connection_can_not_take_out_what_is_meant_for_the_server() {
    let lines = b"Model: m\r\nprefix: a:1\r\nt-last-event: 7\r\nhop: dropped\r\n\
        connection: T-Id, host, model\r\nconnection: prefix, hop, t-last-event, content-length\r\ncontent-length: 1\r\n";
    let (statuses, requests) = send(&request(b"POST /path/a HTTP/1.1", "1", lines, b"x")).await;
    assert_eq!(requests.len(), 1);
    let expected: [(&str, &[u8]); 5] =
        [("host", HOST.as_bytes()), ("model", b"m"), ("prefix", b"a:1"), ("t-id", b"1"), ("t-last-event", b"7")];
    let expected: BTreeMap<String, Vec<Vec<u8>>> =
        expected.into_iter().map(|(name, value)| (name.to_owned(), vec![value.to_vec()])).collect();
    assert_eq!(passed_on(&requests[0]), expected);
    assert_eq!((statuses, &requests[0].body[..]), (vec![200], &b"x"[..]));
}

/// Each attempt carries what the client sent, and nothing of the attempt before.
#[tokio::test]
async fn a_further_attempt_carries_the_same_request() {
    for first in [
        RawAct::WriteAndClose(String::new()),
        RawAct::Write(whole(503, "t-not-run: 1\r\n", "")),
        RawAct::Write(whole(421, "", "")),
    ] {
        let one = RawServer::start("one", vec![first.clone()]).await;
        let other = RawServer::start("other", vec![first]).await;
        let node = RawNode::start(RequestKind::Idempotent, 3, &[&one, &other]).await;
        let body = binary(5000);
        let lines = format!("model: m\r\nt-last-event: 3\r\nlist: b\r\nlist: a\r\ncontent-length: {}\r\n", body.len());
        assert!(!statuses(&node.write_and_read(&post("1", &lines, &body)).await).is_empty());
        let requests = [one.requests(), other.requests()].concat();
        assert!(!requests.is_empty());
        for request in &requests {
            assert_eq!(request.line, b"POST /path/a HTTP/1.1");
            assert!(request.body == body);
            assert_eq!(passed_on(request), passed_on(&requests[0]));
            assert_eq!(request.values("list"), [b"b", b"a"]);
            assert_eq!(request.values("t-last-event"), [b"3"]);
        }
        for (server, name) in [(&one, "one"), (&other, "other")] {
            assert!(server.requests().iter().all(|request| request.values("t-server") == [name.as_bytes()]));
        }
    }
}

/// A stream goes on elsewhere with the same request; only the last event is told.
#[tokio::test]
async fn a_resumed_stream_carries_the_same_request_and_the_last_event() {
    let stream = |end: &str| {
        let event = "id: 4\ndata: a\n\n";
        let head = "HTTP/1.1 200 OK\r\nt-id: ID\r\ntransfer-encoding: chunked\r\n\r\n";
        format!("{head}{:x}\r\n{event}\r\n{end}", event.len())
    };
    let acts = || vec![RawAct::WriteAndClose(stream("")), RawAct::Write(stream("0\r\n\r\n"))];
    let one = RawServer::start("one", acts()).await;
    let other = RawServer::start("other", acts()).await;
    let began = RawServer::start("began", vec![RawAct::Write(stream("0\r\n\r\n"))]).await;
    let node = RawNode::start(RequestKind::Stream { resumable: true }, 3, &[&began]).await;
    let body = binary(5000);
    let lines = format!("model: m\r\ncontent-length: {}\r\n", body.len());
    assert_eq!(statuses(&node.write_and_read(&post("first", &lines, &body)).await), [200]);
    node.shared.dispatcher().set_ready([one.record(), other.record()].iter());
    let lines = format!("{lines}t-resumes: first\r\nt-last-event: 3\r\nt-last-event: 2\r\n");
    assert_eq!(statuses(&node.write_and_read(&post("1", &lines, &body)).await), [200]);
    let mut requests = [one.requests(), other.requests()].concat();
    requests.sort_by_key(|request| request.values("t-last-event").len() == 1);
    assert!(requests.len() >= 2);
    assert_eq!(requests[0].values("t-last-event"), [b"3", b"2"]);
    assert_eq!(requests[0].values("t-resumes"), [b"first"]);
    for resumed in &requests[1..] {
        assert_eq!(resumed.values("t-last-event"), [b"4"]);
        let (mut first, mut resumed) = (requests[0].clone(), resumed.clone());
        for request in [&mut first, &mut resumed] {
            request.headers.retain(|(name, _)| !["t-last-event", "t-server", "t-deadline"].contains(&name.as_str()));
        }
        assert_eq!(first, resumed);
    }
}
