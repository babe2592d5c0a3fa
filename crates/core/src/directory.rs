//! Directory of the registered model servers.
//!
//! Servers register in a shared record store and renew the registration at each heartbeat.
//!
//! - Each start of a server has an identity of its own, also under the same name. Of two
//!   starts under one name the later one counts: the earlier start has ended, and its late
//!   registrations are ignored.
//! - A draining start never becomes ready again.
//! - A missing registration means that the server has left, unless it may have expired
//!   during an outage of the record store. Such a server is kept until the store has
//!   answered for [`LAPSE_GRACE`], within which a live server registers again.
//!
//! The grace period starts when the store answers again, not when this node detects it, so
//! delays in the node or an upstream don't extend it.

use crate::lapse_grace::LapseGrace;
use crate::time::Instant;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after an outage of the record store within which every node receives the new
/// registration of a live server: two seconds to register, half a second to propagate.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// Maximum number of removed servers whose last heartbeat is stored to reject late ones.
const MAX_REMOVED_NAMES: usize = 4096;

/// Registration of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Identity, unique to each start of the server; see [`ServerRecord::identity`].
    pub id: Arc<str>,
    /// Name under which the server registers.
    pub name: Arc<str>,
    /// Start of the server in milliseconds since 1970; zero if it states none. Such a server has
    /// a new name at each start.
    pub started_ms: u64,
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

impl ServerRecord {
    /// Returns the identity of the start of a server.
    pub fn identity(name: &str, started_ms: u64) -> Arc<str> {
        match started_ms {
            0 => name.into(),
            _ => format!("{name}@{started_ms}").into(),
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat { started_ms: self.started_ms, sequence: self.sequence }
    }
}

/// Whether an address has a host and a port to connect to.
pub fn is_host_and_port(address: &str) -> bool {
    let Some((host, port)) = address.rsplit_once(':') else { return false };
    let is_host = host.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte));
    let is_port = port.bytes().all(|byte| byte.is_ascii_digit()) && port.parse::<u16>().is_ok_and(|port| port > 0);
    !host.is_empty() && is_host && is_port
}

/// Position of a registration among all of its name: each start counts its renewals anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Heartbeat {
    /// Start of the server in milliseconds since 1970.
    pub started_ms: u64,
    /// Sequence number since that start.
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
    /// The server ended without draining: a later start registered under its name.
    Restarted(Arc<str>),
    /// The registration is missing after an outage; the server is kept for the grace period.
    Unconfirmed(Arc<str>),
}

#[derive(Debug)]
struct Entry {
    record: ServerRecord,
    missing: bool,
}

impl Entry {
    fn new(record: ServerRecord) -> Self {
        Self { record, missing: false }
    }

    /// The change by which this start becomes known.
    fn appearance(&self) -> DirectoryChange {
        match self.record.draining {
            true => DirectoryChange::Draining(self.record.id.clone()),
            false => DirectoryChange::Ready(self.record.clone()),
        }
    }

    /// The change by which a later start replaces this one.
    fn replacement(&self) -> DirectoryChange {
        match self.record.draining {
            true => DirectoryChange::Gone(self.record.id.clone()),
            false => DirectoryChange::Restarted(self.record.id.clone()),
        }
    }

    /// Takes a renewal of this start; returns the change, if any.
    fn renew(&mut self, record: ServerRecord) -> Option<DirectoryChange> {
        self.missing = false;
        let was_draining = self.record.draining;
        let changed = ServerRecord { sequence: self.record.sequence, ..record.clone() } != self.record;
        self.record = ServerRecord { draining: record.draining || was_draining, ..record };
        match (was_draining, self.record.draining) {
            (false, true) => Some(DirectoryChange::Draining(self.record.id.clone())),
            (false, false) if changed => Some(DirectoryChange::Ready(self.record.clone())),
            _ => None,
        }
    }
}

/// A record that was ignored, since a later one of the server is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredRecord {
    /// The record.
    pub record: ServerRecord,
    /// The later one.
    pub known: Heartbeat,
}

/// Registered servers of all services.
#[derive(Debug)]
pub struct Directory {
    /// The latest start under each name.
    entries: HashMap<Arc<str>, Entry>,
    /// Last heartbeats under names that were removed.
    removed: HashMap<Arc<str>, Heartbeat>,
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

    /// Adds or updates a server from its registration; returns the changes.
    pub fn note_record(&mut self, record: ServerRecord) -> Vec<DirectoryChange> {
        let heartbeat = record.heartbeat();
        if let Some(known) = self.removed.get(&record.name).copied().filter(|known| heartbeat <= *known) {
            return self.ignore(record, known);
        }
        let Some(entry) = self.entries.get_mut(&record.name) else {
            let entry = Entry::new(record);
            let change = entry.appearance();
            self.entries.insert(entry.record.name.clone(), entry);
            return vec![change];
        };
        let known = entry.record.heartbeat();
        if heartbeat < known {
            return self.ignore(record, known);
        }
        if heartbeat.started_ms > known.started_ms {
            let former = std::mem::replace(entry, Entry::new(record));
            return vec![former.replacement(), entry.appearance()];
        }
        entry.renew(record).into_iter().collect()
    }

    /// Handles a missing registration: removes the server, or keeps it for the grace period.
    pub fn note_missing(&mut self, now: Instant, name: &str) -> Option<DirectoryChange> {
        let entry = self.entries.get_mut(name)?;
        if self.lapse.may_have_lapsed(now) && !entry.record.draining {
            entry.missing = true;
            return Some(DirectoryChange::Unconfirmed(entry.record.id.clone()));
        }
        self.remove(name)
    }

    /// Replaces the registrations by a full list and returns the changes.
    pub fn replace_all(&mut self, now: Instant, records: Vec<ServerRecord>) -> Vec<DirectoryChange> {
        let present: HashSet<Arc<str>> = records.iter().map(|record| record.name.clone()).collect();
        let missing: Vec<Arc<str>> = self.entries.keys().filter(|name| !present.contains(*name)).cloned().collect();
        let mut changes: Vec<DirectoryChange> =
            records.into_iter().flat_map(|record| self.note_record(record)).collect();
        changes.extend(missing.iter().filter_map(|name| self.note_missing(now, name)));
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
            self.entries.values().filter(|entry| entry.missing).map(|entry| entry.record.name.clone()).collect();
        missing.iter().filter_map(|name| self.remove(name)).collect()
    }

    /// Servers that accept new work.
    pub fn ready(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().map(|entry| &entry.record).filter(|record| !record.draining)
    }

    /// Returns the records that were ignored since the last call.
    pub fn take_ignored(&mut self) -> Vec<IgnoredRecord> {
        std::mem::take(&mut self.ignored)
    }

    fn ignore(&mut self, record: ServerRecord, known: Heartbeat) -> Vec<DirectoryChange> {
        self.ignored.push(IgnoredRecord { record, known });
        Vec::new()
    }

    fn remove(&mut self, name: &str) -> Option<DirectoryChange> {
        let Entry { record, .. } = self.entries.remove(name)?;
        if self.removed.len() >= MAX_REMOVED_NAMES {
            self.removed.clear();
        }
        self.removed.insert(record.name.clone(), record.heartbeat());
        Some(DirectoryChange::Gone(record.id))
    }
}
