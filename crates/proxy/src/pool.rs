//! Connections to servers, kept for further requests.
//!
//! A connection carries one request at a time. It is kept only after a whole
//! answer, and dropped before the server would close it. One that is dropped
//! while it carries a request is reset: nothing more of the request is sent.
//!
//! A server may send an answer twice, the second one in place of the next answer on the
//! connection. Where the next request is a retry, both have the same identity. So a retry never
//! uses a connection on which its request was refused or has failed.

use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderMap, HeaderValue};
use hyper_util::rt::TokioIo;
use latchwheel_http::{AnswerBudget, Body, ReadAllowance, ResetFlag, ResetStream};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time in which a server must take a connection.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time that a connection is kept where the server tells none.
const KEEP_TIME: Duration = Duration::from_secs(4);
/// A connection is dropped this much earlier than the server would close it.
const KEEP_MARGIN: Duration = Duration::from_millis(1200);
/// Bytes that a server may send before the head of its answer is complete, interim answers
/// included. A head alone may have a little less.
const HEAD_BYTES: usize = 512 << 10;
/// Most bytes that are read of a server at a time: what a connection keeps of an answer that is
/// passed on is a few times that.
const READ_BYTES: usize = 16 << 10;
/// Connections kept idle for each server.
const IDLE_LIMIT: usize = 32;
/// Requests that were refused or have failed on a connection, after which it is not kept.
const UNSERVED_LIMIT: usize = 16;

/// Whether a connection has carried requests before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionUse {
    /// There was no connection.
    #[default]
    None,
    /// The connection was opened for the attempt.
    New,
    /// The connection was kept from an earlier request.
    Kept,
}

impl ConnectionUse {
    /// A word for the log.
    pub(crate) fn word(self) -> &'static str {
        match self {
            ConnectionUse::None => "none",
            ConnectionUse::New => "new",
            ConnectionUse::Kept => "kept",
        }
    }
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) used: ConnectionUse,
    /// Identities of the requests that were refused or have failed on it.
    unserved: Vec<HeaderValue>,
    allowance: ReadAllowance,
    driver: Driver,
}

impl Connection {
    /// The head of an answer is complete.
    pub(crate) fn note_head(&self) {
        self.allowance.lift();
    }

    /// Whether the server has sent more than the head of an answer may have.
    pub(crate) fn is_flooded(&self) -> bool {
        self.allowance.is_exceeded()
    }

    /// Records that a request was refused or has failed, so that it may be sent again.
    pub(crate) fn note_unserved(&mut self, request: HeaderValue) {
        self.unserved.push(request);
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The task that moves the bytes of a connection. Left to itself it would go on with
/// what it holds of a request that was given up.
#[derive(Debug)]
struct Driver {
    task: AbortHandle,
    reset: ResetFlag,
    carries_request: bool,
}

impl Drop for Driver {
    fn drop(&mut self) {
        if self.carries_request {
            self.reset.set();
        }
        self.task.abort();
    }
}

/// Idle connections by the identity of their server.
#[derive(Debug)]
pub(crate) struct Pool {
    answers: AnswerBudget,
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// A pool without connections, whose heads of answers are held in this budget.
    pub(crate) fn new(answers: AnswerBudget) -> Self {
        Self { answers, idle: Mutex::default() }
    }

    /// An idle connection to the server for a request of this identity, or a new one to the
    /// server's address; `None` if none comes up in time.
    pub(crate) async fn take(&self, server: &str, address: &str, request: &HeaderValue) -> Option<Connection> {
        let idle = self.take_idle(server, request);
        let mut connection = match idle {
            Some(connection) => Connection { used: ConnectionUse::Kept, ..connection },
            None => tokio::time::timeout(CONNECT_TIME, connect(address, &self.answers)).await.ok()??,
        };
        connection.driver.carries_request = true;
        connection.allowance.limit(HEAD_BYTES);
        Some(connection)
    }

    /// Keeps a connection whose answer was whole, for as long as the answer's
    /// headers allow.
    pub(crate) fn put(&self, server: &Arc<str>, mut connection: Connection, keep: Option<Duration>) {
        connection.driver.carries_request = false;
        connection.allowance.release();
        if connection.sender.is_closed() || connection.unserved.len() >= UNSERVED_LIMIT {
            return;
        }
        let Some(keep) = keep else { return };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.entry(server.clone()).or_default();
        if of_server.len() < IDLE_LIMIT {
            of_server.push(Idle { connection, until: Instant::now() + keep });
        }
    }

    /// Drops the connections to all servers but those that are ready.
    pub(crate) fn retain(&self, is_ready: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, _| is_ready(server));
    }

    fn take_idle(&self, server: &str, request: &HeaderValue) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.get_mut(server)?;
        let now = Instant::now();
        of_server.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let is_usable =
            |connection: &Connection| connection.sender.is_ready() && !connection.unserved.contains(request);
        let position = of_server.iter().rposition(|idle| is_usable(&idle.connection))?;
        Some(of_server.remove(position).connection)
    }
}

/// How long a connection may be kept after an answer with these headers;
/// `None` if the server closes it.
pub(crate) fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(hyper::header::CONNECTION).is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let told = text(hyper::header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    match told {
        Some(time) => time.checked_sub(KEEP_MARGIN),
        None => Some(KEEP_TIME),
    }
}

async fn connect(address: &str, answers: &AnswerBudget) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let reset = ResetFlag::default();
    let allowance = ReadAllowance::new(answers.share());
    let stream = ResetStream::new(stream, reset.clone()).with_allowance(allowance.clone()).with_read_limit(READ_BYTES);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // Its end shows in the requests that it carries.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    let driver = Driver { task: task.abort_handle(), reset, carries_request: false };
    Some(Connection { sender, used: ConnectionUse::New, unserved: Vec::new(), allowance, driver })
}
