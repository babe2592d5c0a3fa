//! Connections to servers, kept for further requests.
//!
//! A connection carries one request at a time. It is kept only after a whole
//! answer, and dropped before the server would close it.

use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use latchwheel_http::Body;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time in which a server must take a connection.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time that a connection is kept where the server tells none.
const KEEP_TIME: Duration = Duration::from_secs(4);
/// A connection is dropped this much earlier than the server would close it.
const KEEP_MARGIN: Duration = Duration::from_millis(1200);
/// Connections kept idle for each server.
const IDLE_LIMIT: usize = 32;

/// A connection that carries a request now.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    until: Instant,
}

/// Idle connections by the identity of their server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// An idle connection to the server, or a new one to its address; `None`
    /// if none comes up in time.
    pub(crate) async fn take(&self, server: &str, address: &str) -> Option<Connection> {
        if let Some(sender) = self.take_idle(server) {
            return Some(Connection { sender });
        }
        let sender = tokio::time::timeout(CONNECT_TIME, connect(address)).await.ok()??;
        Some(Connection { sender })
    }

    /// Keeps a connection whose answer was whole, for as long as the answer's
    /// headers allow.
    pub(crate) fn put(&self, server: &Arc<str>, connection: Connection, keep: Option<Duration>) {
        let Some(keep) = keep.filter(|_| !connection.sender.is_closed()) else { return };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.entry(server.clone()).or_default();
        if of_server.len() < IDLE_LIMIT {
            of_server.push(Idle { sender: connection.sender, until: Instant::now() + keep });
        }
    }

    /// Drops the connections to all servers but those that are ready.
    pub(crate) fn retain(&self, is_ready: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, _| is_ready(server));
    }

    fn take_idle(&self, server: &str) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.get_mut(server)?;
        let now = Instant::now();
        of_server.retain(|idle| idle.until > now && !idle.sender.is_closed());
        let position = of_server.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(of_server.remove(position).sender)
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

async fn connect(address: &str) -> Option<SendRequest<Body>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // Its end shows in the requests that it carries.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}
