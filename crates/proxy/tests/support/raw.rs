//! Both raw sides of a node: bytes as a client writes them, and bytes as servers get
//! them, connection by connection.

#![allow(dead_code)]

use crate::support::{route, serve_node, TestDialect, HOST};
use latchwheel_core::directory::ServerRecord;
use latchwheel_core::routes::{ClientLimits, RequestKind, RoutingTable};
use latchwheel_core::tenants::Tenants;
use latchwheel_proxy::{Clock, Shared};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};

/// Longest time that anything is waited for; running into it fails a test.
const LIMIT: Duration = Duration::from_secs(20);
/// Bytes that a server's side of a connection holds unread: the rest of a long body
/// stays with the node.
const RECEIVE_BUFFER: u32 = 4096;

/// A kind that no server is asked for twice.
pub const ONCE: RequestKind = RequestKind::AtMostOnce;
/// A request that must never be one: it stands where a body or its rest is due.
pub const INNER: &str = "POST /path/inner HTTP/1.1\r\nhost: host.example\r\nt-id: inner\r\ncontent-length: 0\r\n\r\n";
/// A long body.
pub const LONG: usize = 1 << 20;
/// A body that is longer than what the system takes from a sender and holds for a
/// receiver that doesn't read: its rest stays with the node.
pub const BEYOND_BUFFERS: usize = 12 << 20;

/// A request as it stands on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRequest {
    pub line: Vec<u8>,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Values of the header in their order.
    pub fn values(&self, name: &str) -> Vec<Vec<u8>> {
        let named = self.headers.iter().filter(|(key, _)| key == name);
        named.map(|(_, value)| value.clone()).collect()
    }
}

/// What a server does with a request; `ID` in its bytes stands for the request's identity.
#[derive(Clone, Debug)]
pub enum RawAct {
    /// Reads the whole request, then writes these bytes.
    Write(String),
    /// Writes these bytes as soon as the head is there, and reads on when it is told to.
    WriteEarly(String, Arc<Notify>),
    /// As `Write`, and these further bytes when it is told to.
    WriteLater(String, Arc<Notify>, String),
    /// Reads the whole request, writes these bytes and closes.
    WriteAndClose(String),
    /// As `WriteAndClose` once it is told to.
    WriteAndCloseLater(String, Arc<Notify>),
    /// As `WriteAndClose` once it is told to, and accepts no connection any more, as a process
    /// that crashes.
    WriteAndCrash(String, Arc<Notify>),
    /// As `Write`, and the same bytes once more in place of the next answer on the connection,
    /// before whatever is done with the next request.
    WriteAndRepeat(String),
    /// Closes once the head is there.
    CloseEarly,
}

/// A whole answer.
pub fn whole(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nt-id: ID\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// A server that keeps every byte it gets. With no act left it answers 200.
#[derive(Clone, Debug)]
pub struct RawServer {
    pub name: String,
    pub address: String,
    acts: Arc<Mutex<VecDeque<RawAct>>>,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
    ended: Arc<Mutex<usize>>,
    crashed: watch::Sender<bool>,
}

impl RawServer {
    pub async fn start(name: &str, acts: Vec<RawAct>) -> Self {
        Self::start_sharing(name, Arc::new(Mutex::new(acts.into()))).await
    }

    /// A server for each act; whichever gets a request first does the first one.
    pub async fn start_for_each(acts: Vec<RawAct>) -> Vec<Self> {
        let acts = Arc::new(Mutex::new(VecDeque::from(acts)));
        let count = acts.lock().unwrap().len();
        let mut servers = Vec::new();
        for number in 0..count {
            servers.push(Self::start_sharing(&format!("server-{number}"), acts.clone()).await);
        }
        servers
    }

    async fn start_sharing(name: &str, acts: Arc<Mutex<VecDeque<RawAct>>>) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        let server = Self {
            name: name.into(),
            address: listener.local_addr().unwrap().to_string(),
            acts,
            received: Arc::default(),
            ended: Arc::default(),
            crashed: watch::channel(false).0,
        };
        tokio::spawn(server.clone().accept(listener));
        server
    }

    /// Bytes of each connection, in the order in which they came up.
    pub fn received(&self) -> Vec<Vec<u8>> {
        self.received.lock().unwrap().clone()
    }

    /// Connections that have ended, after all of their bytes.
    pub fn ended(&self) -> usize {
        *self.ended.lock().unwrap()
    }

    /// All whole requests.
    pub fn requests(&self) -> Vec<RawRequest> {
        self.received().iter().flat_map(|bytes| split_requests(bytes).0).collect()
    }

    pub fn record(&self) -> ServerRecord {
        crate::support::server_record(&self.name, &self.address)
    }

    async fn accept(self, listener: TcpListener) {
        let mut crashed = self.crashed.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = crashed.wait_for(|crashed| *crashed) => return,
            };
            let Ok((stream, _)) = accepted else { return };
            let number = {
                let mut received = self.received.lock().unwrap();
                received.push(Vec::new());
                received.len() - 1
            };
            let server = self.clone();
            tokio::spawn(async move {
                server.clone().serve(stream, number).await;
                *server.ended.lock().unwrap() += 1;
            });
        }
    }

    async fn serve(self, mut stream: TcpStream, number: usize) {
        let mut served = 0;
        let mut surplus: Option<Vec<u8>> = None;
        loop {
            let (head, start) = loop {
                match head_of(&self.bytes_after(number, served)) {
                    Some(found) => break found,
                    None if self.read(&mut stream, number).await => {}
                    None => return,
                }
            };
            let id = head.values("t-id").first().cloned().unwrap_or_default();
            let fill = |text: &str| text.replace("ID", &String::from_utf8_lossy(&id)).into_bytes();
            let act = self.acts.lock().unwrap().pop_front();
            let act = act.unwrap_or_else(|| RawAct::Write(whole(200, "", "ok")));
            match &act {
                RawAct::CloseEarly => return,
                RawAct::WriteEarly(bytes, go_on) => {
                    if stream.write_all(&fill(bytes)).await.is_err() {
                        return;
                    }
                    go_on.notified().await;
                }
                RawAct::Write(_)
                | RawAct::WriteAndRepeat(_)
                | RawAct::WriteLater(..)
                | RawAct::WriteAndClose(_)
                | RawAct::WriteAndCloseLater(..)
                | RawAct::WriteAndCrash(..) => {}
            }
            let end = served + start + body_length(&head);
            while self.received.lock().unwrap()[number].len() < end {
                if !self.read(&mut stream, number).await {
                    return;
                }
            }
            served = end;
            if let Some(surplus) = surplus.take() {
                let _ = stream.write_all(&surplus).await;
            }
            let kept = match &act {
                RawAct::Write(bytes) => stream.write_all(&fill(bytes)).await.is_ok(),
                RawAct::WriteAndRepeat(bytes) => {
                    let bytes = fill(bytes);
                    let written = stream.write_all(&bytes).await.is_ok();
                    surplus = Some(bytes);
                    written
                }
                RawAct::WriteAndClose(bytes) => {
                    let _ = stream.write_all(&fill(bytes)).await;
                    false
                }
                RawAct::WriteAndCloseLater(bytes, close) => {
                    close.notified().await;
                    let _ = stream.write_all(&fill(bytes)).await;
                    false
                }
                RawAct::WriteAndCrash(bytes, crash) => {
                    crash.notified().await;
                    self.crashed.send_replace(true);
                    until(|| std::net::TcpStream::connect(&self.address).is_err()).await;
                    let _ = stream.write_all(&fill(bytes)).await;
                    false
                }
                RawAct::WriteLater(bytes, later, more) => {
                    let _ = stream.write_all(&fill(bytes)).await;
                    later.notified().await;
                    stream.write_all(&fill(more)).await.is_ok()
                }
                RawAct::WriteEarly(..) | RawAct::CloseEarly => true,
            };
            if !kept {
                return;
            }
        }
    }

    fn bytes_after(&self, number: usize, served: usize) -> Vec<u8> {
        self.received.lock().unwrap()[number][served..].to_vec()
    }

    async fn read(&self, stream: &mut TcpStream, number: usize) -> bool {
        let mut bytes = vec![0; 64 << 10];
        let Ok(length) = stream.read(&mut bytes).await else { return false };
        self.received.lock().unwrap()[number].extend_from_slice(&bytes[..length]);
        length > 0
    }
}

/// The requests on a connection by a strict reading, and the bytes after the last whole one.
pub fn split_requests(bytes: &[u8]) -> (Vec<RawRequest>, Vec<u8>) {
    let (mut requests, mut rest) = (Vec::new(), bytes);
    while let Some((request, length)) = first_request(rest) {
        requests.push(request);
        rest = &rest[length..];
    }
    (requests, rest.to_vec())
}

/// The first request and its length, if it is whole.
fn first_request(bytes: &[u8]) -> Option<(RawRequest, usize)> {
    let (head, start) = head_of(bytes)?;
    let length = body_length(&head);
    let body = bytes.get(start..start + length)?.to_vec();
    Some((RawRequest { body, ..head }, start + length))
}

fn body_length(head: &RawRequest) -> usize {
    let lengths = head.values("content-length");
    assert!(lengths.len() <= 1 && head.values("transfer-encoding").is_empty(), "{head:?}");
    lengths.first().map_or(0, |length| std::str::from_utf8(length).unwrap().parse().unwrap())
}

/// A head that is there, with an empty body, and its length.
pub fn head_of(bytes: &[u8]) -> Option<(RawRequest, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let mut lines = split_lines(&bytes[..end]).into_iter();
    let line = lines.next().unwrap();
    let headers = lines.map(|line| {
        let colon = line.iter().position(|byte| *byte == b':').unwrap();
        let name = std::str::from_utf8(&line[..colon]).unwrap().to_ascii_lowercase();
        (name, line[colon + 1..].trim_ascii().to_vec())
    });
    Some((RawRequest { line, headers: headers.collect(), body: Vec::new() }, end + 4))
}

fn split_lines(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut lines = vec![Vec::new()];
    let mut rest = bytes;
    while let Some((first, after)) = rest.split_first() {
        if rest.starts_with(b"\r\n") {
            lines.push(Vec::new());
            rest = &rest[2..];
        } else {
            lines.last_mut().unwrap().push(*first);
            rest = after;
        }
    }
    lines
}

/// A node that knows these servers, and its address for clients.
pub struct RawNode {
    pub address: String,
    pub shared: Arc<Shared<TestDialect>>,
    _stop: watch::Sender<bool>,
}

impl RawNode {
    pub async fn start(kind: RequestKind, max_attempts: u32, servers: &[&RawServer]) -> Self {
        let shared = Shared::new(TestDialect::default(), Clock::start());
        let route = route(kind, max_attempts);
        let limits = ClientLimits { body_bytes: 2 * BEYOND_BUFFERS, ..ClientLimits::default() };
        let table = RoutingTable::new(1, limits, HashMap::new(), Tenants::default(), [route]);
        assert_eq!(shared.put_in_force(table), Some(0));
        let records: Vec<ServerRecord> = servers.iter().map(|server| server.record()).collect();
        shared.dispatcher().set_ready(records.iter());
        let (address, stop) = serve_node(&shared).await;
        Self { address, shared, _stop: stop }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.unwrap()
    }

    /// Writes these bytes on a connection of their own; gives back all bytes of the
    /// answers, up to the end of the connection.
    pub async fn write_and_read(&self, bytes: &[u8]) -> Vec<u8> {
        let mut stream = self.connect().await;
        // The node may close before it has read all.
        let _ = stream.write_all(bytes).await;
        let mut answers = Vec::new();
        let read = tokio::time::timeout(LIMIT, async {
            while stream.read_buf(&mut answers).await.is_ok_and(|length| length > 0) {}
        });
        read.await.expect("the node closes the connection");
        answers
    }
}

impl RawNode {
    /// Writes these bytes on a connection of their own; whether the connection ends with a
    /// reset after the answer has begun.
    pub async fn ends_with_reset(&self, bytes: &[u8]) -> bool {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.unwrap();
        let mut answer = Vec::new();
        let read = tokio::time::timeout(LIMIT, async {
            loop {
                match stream.read_buf(&mut answer).await {
                    Ok(0) => return false,
                    Ok(_) => {}
                    Err(_) => return true,
                }
            }
        });
        read.await.expect("the node closes the connection")
    }
}

/// Statuses of the answers among these bytes.
pub fn statuses(answers: &[u8]) -> Vec<u16> {
    let text = String::from_utf8_lossy(answers);
    let heads = text.match_indices("HTTP/1.1 ").filter_map(|(position, mark)| {
        let from = position + mark.len();
        text.get(from..from + 3)?.parse().ok()
    });
    heads.collect()
}

/// Completes once a condition holds.
pub async fn until(holds: impl Fn() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A request that ends its connection, with these header lines after the usual ones.
pub fn request(line: &[u8], id: &str, lines: &[u8], body: &[u8]) -> Vec<u8> {
    let start = format!("\r\nhost: {HOST}\r\nt-id: {id}\r\nconnection: close\r\n");
    [line, start.as_bytes(), lines, b"\r\n", body].concat()
}

/// The same to the usual target.
pub fn post(id: &str, lines: &str, body: &[u8]) -> Vec<u8> {
    request(b"POST /path/a HTTP/1.1", id, lines.as_bytes(), body)
}

/// The same with a body of told length.
pub fn with_length(id: &str, body: &[u8]) -> Vec<u8> {
    post(id, &format!("content-length: {}\r\n", body.len()), body)
}

/// A request that leaves its connection open.
pub fn post_open(id: &str, lines: &str, after: &str) -> Vec<u8> {
    format!("POST /path/a HTTP/1.1\r\nhost: {HOST}\r\nt-id: {id}\r\n{lines}\r\n{after}").into_bytes()
}

/// Bytes that repeat late and include line ends.
pub fn binary(length: usize) -> Vec<u8> {
    (0..length).map(|number| (number * 7 + number / 251) as u8).collect()
}

/// Identities that these requests carry.
pub fn identities(requests: &[RawRequest]) -> Vec<String> {
    let identities = requests.iter().flat_map(|request| request.values("t-id"));
    identities.map(|id| String::from_utf8_lossy(&id).into_owned()).collect()
}

/// A node with one server.
pub async fn start() -> (RawNode, RawServer) {
    let server = RawServer::start("server", Vec::new()).await;
    (RawNode::start(ONCE, 1, &[&server]).await, server)
}

/// Sends the bytes; gives back the statuses of the answers and what the server got.
pub async fn send(bytes: &[u8]) -> (Vec<u16>, Vec<RawRequest>) {
    let (node, server) = start().await;
    let answers = node.write_and_read(bytes).await;
    for received in server.received() {
        assert_eq!(split_requests(&received).1, b"", "only whole requests");
    }
    (statuses(&answers), server.requests())
}

/// An answer as a client with a strict reading takes it.
#[derive(Clone, Debug)]
pub struct StrictAnswer {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl StrictAnswer {
    /// Values of the header in their order.
    pub fn values(&self, name: &str) -> Vec<String> {
        let named = self.headers.iter().filter(|(key, _)| key == name);
        named.map(|(_, value)| String::from_utf8_lossy(value).into_owned()).collect()
    }
}

/// The one answer that these bytes of a connection are, with nothing before or after it.
pub fn strict_answer(method: &str, bytes: &[u8]) -> StrictAnswer {
    let shown = String::from_utf8_lossy(bytes);
    let (head, start) = head_of(bytes).unwrap_or_else(|| panic!("no whole head: {shown:?}"));
    let line = String::from_utf8(head.line.clone()).unwrap();
    let status = line.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    let status: u16 = status.unwrap_or_else(|| panic!("no status line: {shown:?}"));
    assert!((200..600).contains(&status), "{shown:?}");
    for (name, _) in &head.headers {
        let is_token = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
        assert!(is_token, "{shown:?}");
    }
    let (lengths, codings) = (head.values("content-length"), head.values("transfer-encoding"));
    assert!(lengths.len() + codings.len() <= 1 || method == "HEAD", "{shown:?}");
    let rest = &bytes[start..];
    let (body, after) = if method == "HEAD" || matches!(status, 204 | 304) {
        (Vec::new(), rest)
    } else if let [length] = lengths.as_slice() {
        let length: usize = std::str::from_utf8(length).unwrap().parse().unwrap();
        assert!(rest.len() >= length, "the body is cut: {shown:?}");
        (rest[..length].to_vec(), &rest[length..])
    } else {
        assert_eq!(codings, [b"chunked"], "no end is marked: {shown:?}");
        chunked_body(rest).unwrap_or_else(|| panic!("the body is cut: {shown:?}"))
    };
    assert_eq!(after, b"", "bytes after the answer: {shown:?}");
    StrictAnswer { status, headers: head.headers, body }
}

/// A body in chunks and the bytes after it; `None` if it is not whole.
fn chunked_body(bytes: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let (mut body, mut rest) = (Vec::new(), bytes);
    loop {
        let end = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..end]).ok()?, 16).ok()?;
        let chunk = rest.get(end + 2..end + 2 + size)?;
        let after = rest[end + 2 + size..].strip_prefix(b"\r\n")?;
        if size == 0 {
            return Some((body, after));
        }
        body.extend_from_slice(chunk);
        rest = after;
    }
}
