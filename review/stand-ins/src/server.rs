//! A model server by the users' pages: it keeps itself in the platform's store, runs requests
//! in slots, and answers with events.

use crate::http::{read_message, RawMessage};
use crate::record::Record;
use latchwheel_stand_in::StoreStandIn;
use serde_json::json;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

/// Time between two writes of a server's entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// An entry goes after so many heartbeats of silence.
const SILENT_HEARTBEATS: u32 = 3;
const SLOTS: usize = 19;

/// How a server answers items and streams.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Events of an output.
    pub events: u64,
    /// Events of the output of a job's first item.
    pub first_events: u64,
    /// Pause between two events.
    pub gap: Duration,
    /// Whether the answer has neither a length nor chunks and ends with its connection.
    pub ends_with_connection: bool,
}

impl Pace {
    /// Events of an item's output.
    pub fn events_of(&self, item: &str) -> u64 {
        if item.ends_with("0000") {
            self.first_events
        } else {
            self.events
        }
    }
}

/// The whole output of a request, as its events' data.
pub fn whole_output(id: &str, events: u64) -> String {
    (1..=events).map(|event| data_of(id, event)).collect::<Vec<_>>().join("\n")
}

fn data_of(id: &str, event: u64) -> String {
    format!("piece {event} of {id}")
}

/// A machine on which a server runs, again and again.
#[derive(Debug)]
pub struct Server {
    /// Its identity.
    pub id: String,
    address: String,
    service: String,
    store: StoreStandIn,
    record: Record,
    pace: Pace,
    /// Times that it was started, and its present process.
    process: Mutex<Option<AbortHandle>>,
    sequence: Arc<AtomicU64>,
    born: AtomicU64,
    state: watch::Sender<&'static str>,
    running: Arc<AtomicUsize>,
    zone: String,
}

impl Server {
    /// Starts a server whose entry was written `beats` times before.
    pub async fn start(
        id: &str,
        zone: &str,
        service: &str,
        store: &StoreStandIn,
        record: &Record,
        pace: Pace,
        beats: u64,
    ) -> std::io::Result<Arc<Self>> {
        let address = TcpListener::bind("127.0.0.1:0").await?.local_addr()?.to_string();
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            store: store.clone(),
            record: record.clone(),
            pace,
            process: Mutex::default(),
            sequence: Arc::new(AtomicU64::new(beats)),
            born: AtomicU64::default(),
            state: watch::channel("ready").0,
            running: Arc::default(),
            zone: zone.to_owned(),
        });
        server.clone().run(beats).await?;
        Ok(server)
    }

    /// Starts the process: its counts go on from `beats`.
    async fn run(self: Arc<Self>, beats: u64) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address.parse().map_err(std::io::Error::other)?)?;
        let listener = socket.listen(256)?;
        self.sequence.store(beats, Ordering::SeqCst);
        self.state.send_replace("ready");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born = now.as_millis() as u64 - beats * HEARTBEAT.as_millis() as u64;
        self.born.store(born, Ordering::SeqCst);
        self.record.line(format!("server {} starts at {}, born {born}, seq {beats}", self.id, self.address));
        let serving = self.clone();
        let task = tokio::spawn(async move {
            let mut tasks = JoinSet::new();
            tasks.spawn(serving.clone().keep_entry());
            loop {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let _ = stream.set_nodelay(true);
                        tasks.spawn(serving.clone().serve(stream));
                    },
                    Some(_) = tasks.join_next() => {}
                }
            }
        });
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(task.abort_handle());
        Ok(())
    }

    /// The process ends at once: its sockets are closed, and its entry goes after some silence.
    pub fn crash(self: &Arc<Self>) {
        let running = self.running.swap(0, Ordering::SeqCst);
        self.record.line(format!("server {} crashes with {running} requests", self.id));
        if let Some(process) = self.process.lock().unwrap_or_else(PoisonError::into_inner).take() {
            process.abort();
        }
        let (server, sequence) = (self.clone(), self.sequence.load(Ordering::SeqCst));
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT * SILENT_HEARTBEATS).await;
            if server.sequence.load(Ordering::SeqCst) == sequence {
                server.store.remove(&server.key()).await;
                server.record.line(format!("server {}: its entry is gone", server.id));
            }
        });
    }

    /// The server starts again under its identity.
    pub async fn start_again(self: &Arc<Self>) -> std::io::Result<()> {
        self.clone().run(1).await
    }

    /// The server is to be taken away: it says so and serves on.
    pub async fn drain(&self) {
        self.state.send_replace("draining");
        self.write_entry().await;
        self.record.line(format!("server {} is draining (the store has taken it)", self.id));
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    async fn keep_entry(self: Arc<Self>) {
        loop {
            self.write_entry().await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    async fn write_entry(&self) {
        let born = self.born.load(Ordering::SeqCst);
        let seq = self.sequence.fetch_add(1, Ordering::SeqCst);
        let state = *self.state.borrow();
        let entry = json!({ "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": SLOTS, "state": state, "cold-left-ms": 0, "stage": "mixed",
            "models": [{ "name": "m", "version": 1, "adapters": [] }], "seq": seq, "born": born });
        self.store.write(&self.key(), &entry).await;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            let keeps = self.answer(&mut stream, &request).await;
            if keeps.is_none() {
                return;
            }
        }
    }

    /// Answers a request; `None` if the connection is to be closed.
    async fn answer(&self, stream: &mut TcpStream, request: &RawMessage) -> Option<()> {
        let id = request.header("x-request-id").to_owned();
        if request.target == "/report" {
            let born = self.born.load(Ordering::SeqCst);
            let report = json!({ "stage": "mixed", "models": [{ "name": "m", "version": 1, "adapters": [] }],
                "busy": false, "seq": 1, "waiting": 0, "running": self.running(), "kv-used": 0,
                "kv-total": 171_000, "handles": 0, "born": born });
            return write_whole(stream, 200, "", report.to_string().as_bytes()).await;
        }
        if request.target == "/health" {
            let headers = format!("X-Instance-Id: {}\r\n", self.id);
            return write_whole(stream, 200, &headers, b"").await;
        }
        let load = format!("X-Server-Load: {},0,{SLOTS}\r\n", self.running());
        let headers = format!("X-Request-Id: {id}\r\nX-Weight-Versions: 1\r\n{load}");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return write_whole(stream, 421, &headers, b"").await;
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return write_whole(stream, 503, &format!("{headers}X-Not-Executed: 1\r\n"), b"").await;
        }
        let _slot = Slot(&self.running);
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.record.line(format!("server {} runs {id} after event {after}", self.id));
        let headers = format!("{headers}X-Response-Stamp: stamp-{id}\r\n");
        self.write_events(stream, &id, &headers, after).await
    }

    async fn write_events(&self, stream: &mut TcpStream, id: &str, headers: &str, after: u64) -> Option<()> {
        let framing =
            if self.pace.ends_with_connection { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}{framing}\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let events = self.pace.events_of(id);
        for event in after + 1..=events {
            tokio::time::sleep(self.pace.gap).await;
            let text = format!("id: {event}\ndata: {}\n\n", data_of(id, event));
            let text = match self.pace.ends_with_connection {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                self.record.line(format!("server {}: the connection of {id} is closed at event {event}", self.id));
                return None;
            }
        }
        self.record.line(format!("server {} has ended {id} with event {events}", self.id));
        if self.pace.ends_with_connection {
            return None;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }
}

/// Frees a slot when a request ends or is dropped.
struct Slot<'a>(&'a AtomicUsize);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        // A crash has set the count to zero.
        let _ = self.0.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |running| running.checked_sub(1));
    }
}

pub async fn write_whole(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Option<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body).await.ok()
}
