//! A site for tests: headers, a server that does what it is told, and the
//! shared state of a node that knows it.

#![allow(dead_code)]

use hyper::header::{HeaderMap, HeaderName};
use latchwheel_core::directory::ServerRecord;
use latchwheel_core::dispatch::{Prompt, PromptPart, ServerLoad};
use latchwheel_core::identity::stable_hash;
use latchwheel_core::routes::{ClientLimits, RequestKind, Route, RoutingTable, WeightedService};
use latchwheel_core::tenants::Tenants;
use latchwheel_proxy::{Clock, Dialect, HeaderNames, Shared};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

pub mod endless;
pub mod fleet;

pub const SERVICE: &str = "service";
pub const HOST: &str = "host.example";

/// Headers of the tests' site.
#[derive(Debug)]
pub struct TestDialect(HeaderNames);

impl Default for TestDialect {
    fn default() -> Self {
        Self(HeaderNames {
            request_id: HeaderName::from_static("t-id"),
            deadline: HeaderName::from_static("t-deadline"),
            expected_server: HeaderName::from_static("t-server"),
            not_run: HeaderName::from_static("t-not-run"),
            last_event: HeaderName::from_static("t-last-event"),
            resumes: HeaderName::from_static("t-resumes"),
            tenant: HeaderName::from_static("t-tenant"),
            prompt: vec![HeaderName::from_static("model"), HeaderName::from_static("prefix")],
        })
    }
}

impl Dialect for TestDialect {
    fn names(&self) -> &HeaderNames {
        &self.0
    }

    fn prompt(&self, headers: &HeaderMap) -> Prompt {
        let listed = headers.get("parts").and_then(|value| value.to_str().ok()).unwrap_or_default();
        let names = listed.split(',').filter(|name| !name.is_empty());
        let parts = names.map(|name| PromptPart { key: stable_hash(name.as_bytes()), tokens: 10 }).collect();
        Prompt { parts, output_tokens: 10 }
    }

    fn load(&self, _headers: &HeaderMap) -> Option<ServerLoad> {
        None
    }
}

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// A whole answer with this status and body.
    Answer(u16, String),
    /// Says that it did not run the request.
    Reject,
    /// Says that another server was meant.
    Misdirected,
    /// Closes the connection without an answer.
    Close,
    /// Says nothing more and keeps the connection.
    Silence,
    /// Answers with another request's identity.
    WrongIdentity,
    /// Sends the events of these numbers, then part of one, and closes.
    CutStream(Vec<u64>),
    /// Sends the events that follow the last one of the asker, up to this
    /// number, and ends the stream.
    StreamTo(u64),
    /// Sends one event, then nothing.
    StallAfterFirst,
    /// Sends the events that follow the last one of the asker, up to the first number; once it
    /// is told to, those up to the second one, and ends the stream.
    PauseAfter(u64, Arc<Notify>, u64),
    /// Sends the head of a stream, then nothing.
    StallAfterHead,
    /// Sends this body with neither a length nor chunks, and closes.
    UntilClose(String),
    /// Does it once it is told to.
    Await(Arc<Notify>, Box<Act>),
}

/// A request as the server saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<String> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key.eq_ignore_ascii_case(name)).then(|| value.trim().to_owned())
        })
    }
}

/// A server on loopback that does what it is told, one act a request; with
/// none left it answers 200.
#[derive(Clone, Debug)]
pub struct TestServer {
    pub name: String,
    pub address: String,
    acts: Arc<Mutex<VecDeque<Act>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    closed: Arc<Mutex<usize>>,
}

impl TestServer {
    pub async fn start(name: &str, acts: Vec<Act>) -> Self {
        Self::start_sharing(name, Arc::new(Mutex::new(acts.into()))).await
    }

    /// Two servers that share their acts: whichever gets a request first does the first one.
    pub async fn start_pair(acts: Vec<Act>) -> (Self, Self) {
        let acts = Arc::new(Mutex::new(VecDeque::from(acts)));
        (Self::start_sharing("first", acts.clone()).await, Self::start_sharing("second", acts).await)
    }

    async fn start_sharing(name: &str, acts: Arc<Mutex<VecDeque<Act>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            name: name.into(),
            address: listener.local_addr().unwrap().to_string(),
            acts,
            seen: Arc::default(),
            closed: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        server
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Connections that the other side closed while a request was unanswered.
    pub fn abandoned(&self) -> usize {
        *self.closed.lock().unwrap()
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(seen) = read_request(&mut stream).await {
            self.seen.lock().unwrap().push(seen.clone());
            let act = self.acts.lock().unwrap().pop_front().unwrap_or(Act::Answer(200, "ok".into()));
            let act = match act {
                Act::Await(told, act) => {
                    told.notified().await;
                    *act
                }
                act => act,
            };
            if !self.act(&mut stream, &seen, act).await {
                return;
            }
        }
    }

    /// Whether the connection is kept.
    async fn act(&self, stream: &mut TcpStream, seen: &Seen, act: Act) -> bool {
        let id = seen.header("t-id").unwrap_or_default();
        let answer = match act {
            Act::Answer(status, body) => whole(&id, status, "t-stamp: stamp\r\n", &body),
            Act::Reject => whole(&id, 503, "t-not-run: 1\r\n", ""),
            Act::Misdirected => whole(&id, 421, "", ""),
            Act::WrongIdentity => whole("another", 200, "", "ok"),
            Act::Close => return false,
            Act::Silence => return self.wait_for_close(stream).await,
            Act::CutStream(events) => {
                let mut bytes = stream_head(&id);
                events.iter().for_each(|event| bytes.push_str(&chunk(&event_text(*event))));
                bytes.push_str(&chunk("id: 99\ndata: pa"));
                let _ = stream.write_all(bytes.as_bytes()).await;
                return false;
            }
            Act::StreamTo(last) => {
                let after = seen.header("t-last-event").and_then(|event| event.parse().ok()).unwrap_or(0);
                let mut bytes = stream_head(&id);
                (after + 1..=last).for_each(|event| bytes.push_str(&chunk(&event_text(event))));
                bytes + "0\r\n\r\n"
            }
            Act::UntilClose(body) => {
                let answer = format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\nt-stamp: stamp\r\n\r\n{body}");
                let _ = stream.write_all(answer.as_bytes()).await;
                return false;
            }
            Act::Await(..) => return false,
            Act::PauseAfter(paused, told, last) => {
                let after = seen.header("t-last-event").and_then(|event| event.parse().ok()).unwrap_or(0);
                let chunks = |from, to| (from..=to).map(|event| chunk(&event_text(event))).collect::<String>();
                let _ = stream.write_all((stream_head(&id) + &chunks(after + 1, paused)).as_bytes()).await;
                tokio::select! {
                    () = told.notified() => {}
                    kept = self.wait_for_close(stream) => return kept,
                }
                chunks(after.max(paused) + 1, last) + "0\r\n\r\n"
            }
            Act::StallAfterHead => {
                let _ = stream.write_all(stream_head(&id).as_bytes()).await;
                return self.wait_for_close(stream).await;
            }
            Act::StallAfterFirst => {
                let bytes = stream_head(&id) + &chunk(&event_text(1));
                let _ = stream.write_all(bytes.as_bytes()).await;
                return self.wait_for_close(stream).await;
            }
        };
        stream.write_all(answer.as_bytes()).await.is_ok()
    }

    async fn wait_for_close(&self, stream: &mut TcpStream) -> bool {
        let mut rest = [0; 64];
        while stream.read(&mut rest).await.is_ok_and(|length| length > 0) {}
        *self.closed.lock().unwrap() += 1;
        false
    }

    /// Its registration with a version of its software.
    pub fn record_at(&self, version: &str) -> ServerRecord {
        ServerRecord { version: version.into(), ..self.record() }
    }

    pub fn record(&self) -> ServerRecord {
        server_record(&self.name, &self.address)
    }
}

/// The registration of a server that accepts work.
pub fn server_record(name: &str, address: &str) -> ServerRecord {
    ServerRecord {
        id: name.into(),
        name: name.into(),
        started_ms: 0,
        service: SERVICE.into(),
        address: address.into(),
        zone: "zone".into(),
        version: "1".into(),
        slots: 8,
        draining: false,
        sequence: 1,
    }
}

pub fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: part {event}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole(id: &str, status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nt-id: {id}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

fn stream_head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\nt-stamp: stamp\r\ntransfer-encoding: chunked\r\n\r\n")
}

async fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(position) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let length = Seen { head: head.clone(), body: String::new() }.header("content-length");
    let length = head_end + length.and_then(|length| length.parse::<usize>().ok()).unwrap_or(0);
    while bytes.len() < length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(Seen { head, body: String::from_utf8_lossy(&bytes[head_end..length]).into_owned() })
}

/// A route of this kind for all paths under `/path/`.
pub fn route(kind: RequestKind, max_attempts: u32) -> Route {
    Route {
        name: "route".into(),
        host: HOST.into(),
        prefix: "/path/".into(),
        kind,
        timeout: Duration::from_secs(20),
        latency_target: Duration::from_millis(100),
        precedence: 0,
        public: false,
        targets: vec![WeightedService { service: SERVICE.into(), weight: 1.0 }],
        max_attempts,
        gap_target: Some(Duration::from_millis(100)),
        caller_timeout: None,
        due: Duration::from_secs(20),
        retention: Duration::from_secs(60),
        queued_token_limit: 0,
    }
}

/// A node that knows these servers and the route.
pub fn node(route: Route, servers: &[&TestServer]) -> Arc<Shared<TestDialect>> {
    let shared = Shared::new(TestDialect::default(), Clock::start());
    let table = RoutingTable::new(1, ClientLimits::default(), HashMap::new(), Tenants::default(), [route]);
    assert_eq!(shared.put_in_force(table), Some(0));
    let records: Vec<ServerRecord> = servers.iter().map(|server| server.record()).collect();
    shared.dispatcher().set_ready(records.iter());
    shared
}

/// Times of a planned stop that begins now, after which clients are sent elsewhere in
/// `clients_leave` and all is to be answered in `last_answer`.
pub fn stop_times(
    shared: &Shared<TestDialect>,
    clients_leave: Duration,
    last_answer: Duration,
) -> latchwheel_core::planned_stop::StopTimes {
    let now = shared.clock.now();
    latchwheel_core::planned_stop::StopTimes { clients_leave: now + clients_leave, last_answer: now + last_answer }
}

/// Serves a node's callers on loopback; gives back the address, and what stops it when
/// it is dropped.
pub async fn serve_node(shared: &Arc<Shared<TestDialect>>) -> (String, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (stop, stopped) = watch::channel(false);
    let serving = shared.clone();
    tokio::spawn(latchwheel_http::serve(listener, latchwheel_http::Version::Http1, stopped, move |request| {
        let received = serving.clock.now();
        latchwheel_proxy::forward(serving.clone(), request, received)
    }));
    (address, stop)
}
