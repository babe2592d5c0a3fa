//! Directory of the registered model servers.
//!
//! Servers register in a shared record store and renew the registration at each heartbeat.
//!
//! - A draining server never becomes ready again: each start of a server has a new identity.
//! - A missing registration means that the server has left, unless it may have expired
//!   during an outage of the record store. Such a server is kept until the store has
//!   answered for [`LAPSE_GRACE`], within which a live server registers again.
//!
//! The grace period starts when the store answers again, not when this node detects it, so
//! delays in the node or an upstream don't extend it.

use crate::lapse_grace::LapseGrace;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after an outage of the record store within which every node receives the new
/// registration of a live server: two seconds to register, half a second to propagate.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// Maximum number of removed servers whose sequence is stored to reject late heartbeats.
const MAX_REMOVED_IDS: usize = 4096;

/// Registration of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Identity, unique to each start of the server.
    pub id: Arc<str>,
    /// Service that the server belongs to.
    pub service: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Version of the server's software. Versions have no order.
    pub version: Arc<str>,
    /// Number of requests that the server handles concurrently.
    pub slots: u32,
    /// Whether the server accepts no new work.
    pub draining: bool,
    /// Sequence number of the registration; rises with each renewal.
    pub sequence: u64,
}

/// A change in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The server accepts work.
    Ready(ServerRecord),
    /// The server accepts no new work and finishes its running requests.
    Draining(Arc<str>),
    /// The server was removed.
    Gone(Arc<str>),
    /// The registration is missing after an outage; the server is kept for the grace period.
    Unconfirmed(Arc<str>),
}

#[derive(Debug)]
struct Entry {
    record: ServerRecord,
    missing: bool,
}

/// A record that was ignored, since a later one of the server is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredRecord {
    /// The record.
    pub record: ServerRecord,
    /// Sequence number of the later one.
    pub known_sequence: u64,
}

/// Registered servers of all services.
#[derive(Debug)]
pub struct Directory {
    entries: HashMap<Arc<str>, Entry>,
    removed: HashMap<Arc<str>, u64>,
    ignored: Vec<IgnoredRecord>,
    lapse: LapseGrace,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            removed: HashMap::new(),
            ignored: Vec::new(),
            lapse: LapseGrace::new(LAPSE_GRACE),
        }
    }
}

impl Directory {
    /// Records for how long the store has answered; `None` if it does not answer.
    pub fn note_store(&mut self, now: Instant, answering_for: Option<Duration>) {
        self.lapse.note_store(now, answering_for);
    }

    /// Adds or updates a server from its registration; returns the change, if any.
    pub fn note_record(&mut self, record: ServerRecord) -> Option<DirectoryChange> {
        if let Some(sequence) = self.removed.get(&record.id).copied().filter(|known| record.sequence <= *known) {
            return self.ignore(record, sequence);
        }
        let Some(entry) = self.entries.get_mut(&record.id) else {
            let change = match record.draining {
                true => DirectoryChange::Draining(record.id.clone()),
                false => DirectoryChange::Ready(record.clone()),
            };
            self.entries.insert(record.id.clone(), Entry { record, missing: false });
            return Some(change);
        };
        if record.sequence < entry.record.sequence {
            let sequence = entry.record.sequence;
            return self.ignore(record, sequence);
        }
        entry.missing = false;
        let was_draining = entry.record.draining;
        let changed = ServerRecord { sequence: entry.record.sequence, ..record.clone() } != entry.record;
        entry.record = ServerRecord { draining: record.draining || was_draining, ..record };
        match (was_draining, entry.record.draining) {
            (false, true) => Some(DirectoryChange::Draining(entry.record.id.clone())),
            (false, false) if changed => Some(DirectoryChange::Ready(entry.record.clone())),
            _ => None,
        }
    }

    /// Handles a missing registration: removes the server, or keeps it for the grace period.
    pub fn note_missing(&mut self, now: Instant, id: &str) -> Option<DirectoryChange> {
        let entry = self.entries.get_mut(id)?;
        if self.lapse.may_have_lapsed(now) && !entry.record.draining {
            entry.missing = true;
            return Some(DirectoryChange::Unconfirmed(entry.record.id.clone()));
        }
        self.remove(id)
    }

    /// Replaces the registrations by a full list and returns the changes.
    pub fn replace_all(&mut self, now: Instant, records: Vec<ServerRecord>) -> Vec<DirectoryChange> {
        let present: std::collections::HashSet<Arc<str>> = records.iter().map(|record| record.id.clone()).collect();
        let missing: Vec<Arc<str>> = self.entries.keys().filter(|id| !present.contains(*id)).cloned().collect();
        let mut changes: Vec<DirectoryChange> =
            records.into_iter().filter_map(|record| self.note_record(record)).collect();
        changes.extend(missing.iter().filter_map(|id| self.note_missing(now, id)));
        changes
    }

    /// Time at which servers with a missing registration are removed; `None` if there are
    /// none, or while the store is unreachable.
    pub fn next_removal(&self) -> Option<Instant> {
        let missing = self.entries.values().any(|entry| entry.missing);
        self.lapse.end().filter(|_| missing)
    }

    /// Removes servers whose registration is still missing after the grace period.
    pub fn tick(&mut self, now: Instant) -> Vec<DirectoryChange> {
        if self.lapse.may_have_lapsed(now) {
            return Vec::new();
        }
        let missing: Vec<Arc<str>> =
            self.entries.values().filter(|entry| entry.missing).map(|entry| entry.record.id.clone()).collect();
        missing.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Servers that accept new work.
    pub fn ready(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().map(|entry| &entry.record).filter(|record| !record.draining)
    }

    /// Returns the records that were ignored since the last call.
    pub fn take_ignored(&mut self) -> Vec<IgnoredRecord> {
        std::mem::take(&mut self.ignored)
    }

    fn ignore(&mut self, record: ServerRecord, known_sequence: u64) -> Option<DirectoryChange> {
        self.ignored.push(IgnoredRecord { record, known_sequence });
        None
    }

    fn remove(&mut self, id: &str) -> Option<DirectoryChange> {
        let entry = self.entries.remove(id)?;
        if self.removed.len() >= MAX_REMOVED_IDS {
            self.removed.clear();
        }
        self.removed.insert(entry.record.id.clone(), entry.record.sequence);
        Some(DirectoryChange::Gone(entry.record.id))
    }
}
