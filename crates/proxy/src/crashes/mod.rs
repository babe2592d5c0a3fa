//! Servers that end while they work on requests.
//!
//! A connection that is lost may have been reset on the way, or its server may have
//! ended. Only the second can be a request's doing, so the server's address is tried
//! before anything is concluded.

mod probe;

use crate::dialect::Dialect;
use crate::exchange::ServerWork;
use crate::shared::Shared;
use latchwheel_core::fingerprint::{RequestContent, RequestKey};
use latchwheel_events::{emit, Event};
use probe::has_ended;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Servers that are tried at a time; connections to others that are lost meanwhile are
/// only logged.
const PROBE_LIMIT: usize = 256;
/// Requests that are kept of one server.
const REQUEST_LIMIT: usize = 64;

/// A connection that was lost while its server worked on a request.
#[derive(Clone, Copy, Debug)]
pub struct LostConnection<'a> {
    /// Identity of the request or item, for the log.
    pub id: &'a str,
    /// What it consists of.
    pub content: RequestContent<'a>,
    /// The server that worked on it.
    pub work: &'a ServerWork,
}

/// What a node knows of servers that ended.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// Requests that ran at servers which are being tried now.
    probed: Mutex<HashMap<Arc<str>, Vec<RequestKey>>>,
}

impl CrashWatch {
    /// Adds a request to those of a server; `true` if the server has to be tried.
    fn put(&self, server: &Arc<str>, request: RequestKey) -> bool {
        let mut probed = self.lock();
        if let Some(requests) = probed.get_mut(server) {
            if requests.len() < REQUEST_LIMIT && !requests.contains(&request) {
                requests.push(request);
            }
            return false;
        }
        if probed.len() >= PROBE_LIMIT {
            return false;
        }
        probed.insert(server.clone(), vec![request]);
        true
    }

    /// Takes the requests of a server that was tried.
    fn take(&self, server: &Arc<str>) -> Vec<RequestKey> {
        self.lock().remove(server).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<RequestKey>>> {
        self.probed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<D: Dialect> Shared<D> {
    /// A connection was lost while its server worked on a request.
    pub fn note_connection_lost(self: &Arc<Self>, lost: &LostConnection<'_>) {
        let work = lost.work;
        let request = lost.content.key();
        let after_ms = self.clock.now().since(work.sent_at).as_millis() as u64;
        let fingerprint = request.fingerprint.to_string();
        emit(lost.id, &Event::ConnectionLost { id: lost.id, server: &work.server, request: &fingerprint, after_ms });
        // A server that was told to leave, or whose registration is gone, ends as planned.
        if !self.dispatcher().is_ready(&work.server) {
            return;
        }
        if self.crashes.put(&work.server, request) {
            tokio::spawn(try_server(self.clone(), work.server.clone(), work.address.clone()));
        }
    }
}

async fn try_server<D: Dialect>(shared: Arc<Shared<D>>, server: Arc<str>, address: Arc<str>) {
    let ended = has_ended(&address).await;
    let requests = shared.crashes.take(&server);
    if ended {
        emit("", &Event::ServerEnded { server: &server, requests: requests.len() });
    }
}
