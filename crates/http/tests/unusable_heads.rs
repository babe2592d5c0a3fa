//! Answers whose head can't be used, at the client of the store, of other nodes and of engines.

#[path = "../../proxy/tests/support/heads.rs"]
mod heads;

use bytes::Bytes;
use heads::Heads;
use hyper::Method;
use latchwheel_http::{CallFault, Client};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_secs(20);
const SOUND: &str = "{\"text\":\"sound\"}";

fn heads() -> Heads {
    Heads { lines: "", body: "{\"text\":\"spoilt\"}".into() }
}

/// A server whose first answer on each connection has these bytes.
struct Server {
    address: String,
    connections: Arc<AtomicUsize>,
}

impl Server {
    /// Its first connection has this answer, all later ones a sound one.
    async fn start(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let is_first = count.fetch_add(1, Ordering::SeqCst) == 0;
                let sound = heads::Heads { lines: "", body: SOUND.into() }.with_length("200 OK");
                tokio::spawn(serve(stream, if is_first { answer.clone() } else { sound }));
            }
        });
        Self { address, connections }
    }

    async fn ask(&self, client: &Client) -> Result<Bytes, CallFault> {
        client.call(Method::GET, &self.address, "/", Bytes::new(), LIMIT).await
    }
}

/// Writes the answer to each request, and leaves the connection open.
async fn serve(mut stream: TcpStream, answer: String) {
    let mut request = Vec::new();
    loop {
        while !request.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
                return;
            }
        }
        request.clear();
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn an_answer_whose_head_cannot_be_used_is_a_fault() {
    for (case, bytes) in heads().unusable() {
        for client in [Client::http1(), Client::http1_reconnecting()] {
            let server = Server::start(bytes.clone()).await;
            assert_eq!(server.ask(&client).await, Err(CallFault::MaybeSent), "{case}");
            assert_eq!(server.ask(&client).await.as_deref(), Ok(SOUND.as_bytes()), "{case}, the next call");
            assert_eq!(server.connections.load(Ordering::SeqCst), 2, "{case}: its connection is not used again");
        }
    }
}

#[tokio::test]
async fn sound_answers_that_look_odd_are_read() {
    let heads = heads();
    let length = heads.body.len();
    let answers = [
        heads.with_coding("Transfer-Encoding: CHUNKED\r\n"),
        heads.with_lines(&format!("content-length: {length}\r\ncontent-length: {length}\r\n")),
        heads.with_lines(&format!("content-length: {length}, {length}\r\n")),
        format!("HTTP/1.1 100 Continue\r\n\r\n{}", heads.with_length("200 OK")),
    ];
    for bytes in answers {
        let server = Server::start(bytes.clone()).await;
        let client = Client::http1();
        for _ in 0..2 {
            assert_eq!(server.ask(&client).await.as_deref(), Ok(heads.body.as_bytes()), "{bytes:?}");
        }
        assert_eq!(server.connections.load(Ordering::SeqCst), 1, "{bytes:?}: its connection is used again");
    }
}

#[tokio::test]
async fn a_status_without_success_keeps_its_meaning() {
    for status in [304, 404, 412, 503, 599] {
        let server = Server::start(heads().answer(&format!("{status} Status"), "content-length: 0\r\n", "")).await;
        let answer = server.ask(&Client::http1()).await;
        assert_eq!(answer, Err(CallFault::BadAnswer(status, Bytes::new())));
    }
}

const FRAME_DATA: u8 = 0;
const FRAME_HEADERS: u8 = 1;
const FRAME_SETTINGS: u8 = 4;
const FLAG_ACK: u8 = 1;
const FLAG_END_STREAM: u8 = 1;
const FLAG_END_HEADERS: u8 = 4;
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Fields as literals that are neither indexed nor compressed (RFC 7541, section 6.2.2).
fn field_block(fields: &[(&str, &str)]) -> Vec<u8> {
    let literal = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
    fields.iter().flat_map(|(name, value)| [vec![0], literal(name), literal(value)].concat()).collect()
}

/// A server over HTTP/2 that answers each request with these fields and this body.
async fn start_http2(fields: Vec<(&'static str, &'static str)>, body: Option<&'static str>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_http2(stream, fields.clone(), body));
        }
    });
    address
}

async fn serve_http2(
    mut stream: TcpStream,
    fields: Vec<(&'static str, &'static str)>,
    body: Option<&'static str>,
) -> std::io::Result<()> {
    stream.read_exact(&mut [0; PREFACE.len()]).await?;
    stream.write_all(&frame(FRAME_SETTINGS, 0, 0, &[])).await?;
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        stream.read_exact(&mut vec![0; length as usize]).await?;
        let (kind, flags, number) = (head[3], head[4], u32::from_be_bytes([head[5], head[6], head[7], head[8]]));
        if kind == FRAME_SETTINGS && flags & FLAG_ACK == 0 {
            stream.write_all(&frame(FRAME_SETTINGS, FLAG_ACK, 0, &[])).await?;
        }
        if flags & FLAG_END_STREAM == 0 || !matches!(kind, FRAME_DATA | FRAME_HEADERS) {
            continue;
        }
        let end = if body.is_none() { FLAG_END_STREAM } else { 0 };
        stream.write_all(&frame(FRAME_HEADERS, FLAG_END_HEADERS | end, number, &field_block(&fields))).await?;
        if let Some(body) = body {
            stream.write_all(&frame(FRAME_DATA, FLAG_END_STREAM, number, body.as_bytes())).await?;
        }
    }
}

async fn ask_http2(fields: &[(&'static str, &'static str)], body: Option<&'static str>) -> Result<Bytes, CallFault> {
    let address = start_http2(fields.to_vec(), body).await;
    Client::http2(None).call(Method::GET, &address, "/", Bytes::new(), LIMIT).await
}

#[tokio::test]
async fn an_http2_answer_whose_head_cannot_be_used_is_a_fault() {
    let cases: [&[(&str, &str)]; 17] = [
        &[(":status", "000")],
        &[(":status", "101")],
        &[(":status", "101"), ("content-length", "6")],
        &[(":status", "600")],
        &[(":status", "999")],
        &[(":status", "abc")],
        &[("a", "b")],
        &[(":status", "200"), ("content-length", "3")],
        &[(":status", "200"), ("content-length", "9")],
        &[(":status", "200"), ("content-length", "abc")],
        &[(":status", "200"), ("content-length", "6"), ("content-length", "3")],
        &[(":status", "200"), ("transfer-encoding", "chunked")],
        &[(":status", "200"), ("transfer-encoding", "gzip")],
        &[(":status", "200"), ("bla nk", "a")],
        &[(":status", "200"), ("cont\u{1}rol", "a")],
        &[(":status", "200"), ("", "a")],
        &[(":status", "200"), ("value", "a\0")],
    ];
    for fields in cases {
        assert_eq!(ask_http2(fields, Some("spoilt")).await, Err(CallFault::MaybeSent), "{fields:?}");
    }
}

#[tokio::test]
async fn sound_http2_answers_are_read() {
    let sound = Some("sound!");
    let cases: [&[(&str, &str)]; 3] = [
        &[(":status", "200")],
        &[(":status", "200"), ("content-length", "6")],
        &[(":status", "200"), ("content-length", "6"), ("content-length", "6")],
    ];
    for fields in cases {
        assert_eq!(ask_http2(fields, sound).await.as_deref(), Ok(&b"sound!"[..]), "{fields:?}");
    }
    assert_eq!(ask_http2(&[(":status", "204")], None).await.as_deref(), Ok(&b""[..]));
    assert_eq!(ask_http2(&[(":status", "404")], None).await, Err(CallFault::BadAnswer(404, Bytes::new())));
}
