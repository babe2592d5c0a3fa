//! Servers that end while they work on requests, and the requests that end them.
//!
//! A connection that is lost may have been reset on the way, or its server may have
//! ended. Only the second can be a request's doing, so the server's address is tried
//! before anything is concluded. [`latchwheel_core::quarantine`] decides; here lost
//! connections are noted, servers tried and news exchanged with other nodes.

mod messages;
mod outbox;
mod probe;
mod watch;

pub(crate) use outbox::Audience;
pub(crate) use watch::DecidingRank;
pub use watch::{CrashWatch, VerdictSource};

use crate::dialect::Dialect;
use crate::exchange::{Outgoing, ServerWork};
use crate::shared::Shared;
use latchwheel_core::dispatch::{Placement, ServerKey};
use latchwheel_core::fingerprint::Fingerprint;
use latchwheel_events::{emit, Event};
use messages::RunningRequest;
use probe::has_ended;
pub(crate) use probe::has_just_ended;
use std::sync::Arc;
use std::time::Duration;

impl<D: Dialect> Shared<D> {
    /// Time for which a request is not to be sent to any server; `None` if it may be.
    pub(crate) fn quarantined_for(&self, outgoing: &Outgoing) -> Option<Duration> {
        let content = outgoing.content(self.dialect.names());
        let (request, left) = self.crashes.quarantine_remaining(&content)?;
        let left_ms = left.as_millis() as u64;
        let id = outgoing.id.to_str().unwrap_or_default();
        let kind = request.kind();
        emit(id, &Event::RequestKeptBack { id, request: &request.to_string(), kind, left_ms });
        Some(left)
    }

    /// Whether a request's content or a part of its prompt is quarantined.
    pub fn is_quarantined(&self, outgoing: &Outgoing) -> bool {
        self.crashes.quarantine_remaining(&outgoing.content(self.dialect.names())).is_some()
    }

    /// Whether something is known of requests of its shape that end servers.
    pub(crate) fn is_suspected(&self, outgoing: &Outgoing) -> bool {
        self.crashes.concerns(&outgoing.content(self.dialect.names()))
    }

    /// Time for which a request waits until the ends of servers under it are weighed;
    /// `None` if it may be sent.
    pub(crate) fn hold_remaining(&self, outgoing: &Outgoing) -> Option<Duration> {
        let content = outgoing.content(self.dialect.names());
        let (request, left) = self.crashes.hold_remaining(&content)?;
        log_wait(outgoing, request, left);
        Some(left)
    }

    /// A request is to be sent to a server now. `None` if it may be; copies of a suspected
    /// one wait for its fate then, at all nodes. Otherwise the time for which it waits.
    pub(crate) fn begin_run(&self, outgoing: &Outgoing) -> Option<Duration> {
        let content = outgoing.content(self.dialect.names());
        let (request, left) = self.crashes.begin_run(&content)?;
        log_wait(outgoing, request, left);
        Some(left)
    }

    /// A connection was lost while its server worked on a request or an item. An item never
    /// counts as the cause of a crash.
    pub(crate) fn note_connection_lost(self: &Arc<Self>, outgoing: &Outgoing, work: &ServerWork<'_>) {
        let Placement { server, address, deferrable, .. } = work.placement;
        let content = outgoing.content(self.dialect.names());
        let request = RunningRequest::of(&content);
        let parts: Vec<String> = request.parts.iter().map(|part| part.fingerprint.to_string()).collect();
        let after_ms = self.clock.now().since(work.sent_at).as_millis() as u64;
        let (id, fingerprint) = (outgoing.id.to_str().unwrap_or_default(), request.key.fingerprint.to_string());
        let parts = parts.join(" ");
        emit(id, &Event::ConnectionLost { id, server, request: &fingerprint, parts: &parts, after_ms });
        let suspect = (!deferrable).then_some(request);
        if self.crashes.has_restarted(server) {
            // Whoever listens at its address now is not the process that was lost.
            return self.note_server_ended(server, suspect.as_slice());
        }
        // A server that was told to leave, or whose registration is gone, ends as planned.
        if !self.dispatcher().is_ready(server) {
            return;
        }
        if self.crashes.put_probed(server, suspect) {
            tokio::spawn(try_server(self.clone(), server.clone(), address.clone()));
        }
    }

    fn note_server_ended(&self, server: &str, requests: &[RunningRequest]) {
        let key = ServerKey::of(server).to_string();
        emit("", &Event::ServerEnded { server, key: &key, requests: requests.len() });
        self.crashes.note_ended(server, requests);
    }
}

fn log_wait(outgoing: &Outgoing, request: Fingerprint, left: Duration) {
    let left_ms = left.as_millis() as u64;
    let id = outgoing.id.to_str().unwrap_or_default();
    emit(id, &Event::RequestAwaitsVerdict { id, request: &request.to_string(), left_ms });
}

async fn try_server<D: Dialect>(shared: Arc<Shared<D>>, server: Arc<str>, address: Arc<str>) {
    let ended = has_ended(&address).await || shared.crashes.has_restarted(&server);
    let requests = shared.crashes.take_probed(&server);
    if ended {
        shared.note_server_ended(&server, &requests);
    }
}
