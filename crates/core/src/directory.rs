//! The directory of model servers: what a node believes of each.
//!
//! Servers register themselves in a shared record store and write their
//! registration anew at each heartbeat. Two facts bind the directory:
//!
//! - A server that is told to be draining never becomes ready again: every
//!   start of a server has an identity of its own.
//! - A registration that vanishes means a server that is leaving, but only
//!   while the record store is sound: an outage can make registrations lapse
//!   although their servers serve on. Such a server is kept until the store
//!   has answered for [`LAPSE_GRACE`], in which a live one writes its
//!   registration again.
//!
//! The grace counts from the time at which the store is known to answer again,
//! not from the time at which this node noticed: no pause of a node and no
//! upstream on the way lengthens it.

use crate::lapse_grace::LapseGrace;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after the return of the record store in which a live server registers
/// itself again: about two seconds by the platform's word, and half a second
/// until its registration is heard of at every node.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// Identities of ended servers that are remembered, so that a late heartbeat
/// doesn't bring them back.
const MAX_REMOVED_IDS: usize = 4096;

/// A server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Identity of this start of the server.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address, IP and port.
    pub address: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Number of the registration, rising.
    pub sequence: u64,
}

/// A change of what is believed of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// It takes work.
    Ready(ServerRecord),
    /// It takes no new work, but serves what it has.
    Draining(Arc<str>),
    /// Its registration is gone.
    Gone(Arc<str>),
    /// Its registration vanished in an outage; it is kept for now.
    Unconfirmed(Arc<str>),
}

#[derive(Debug)]
struct Entry {
    record: ServerRecord,
    vanished: bool,
}

/// What is believed of all servers.
#[derive(Debug)]
pub struct Directory {
    entries: HashMap<Arc<str>, Entry>,
    removed: HashMap<Arc<str>, u64>,
    lapse: LapseGrace,
}

impl Default for Directory {
    fn default() -> Self {
        Self { entries: HashMap::new(), removed: HashMap::new(), lapse: LapseGrace::new(LAPSE_GRACE) }
    }
}

impl Directory {
    /// The record store does not answer, or has answered for that time.
    pub fn note_store(&mut self, now: Instant, answering_for: Option<Duration>) {
        self.lapse.note_store(now, answering_for);
    }

    /// A server's registration was seen.
    pub fn note_record(&mut self, record: ServerRecord) -> Option<DirectoryChange> {
        if self.removed.get(&record.id).is_some_and(|sequence| record.sequence <= *sequence) {
            return None;
        }
        let Some(entry) = self.entries.get_mut(&record.id) else {
            let change = match record.draining {
                true => DirectoryChange::Draining(record.id.clone()),
                false => DirectoryChange::Ready(record.clone()),
            };
            self.entries.insert(record.id.clone(), Entry { record, vanished: false });
            return Some(change);
        };
        if record.sequence < entry.record.sequence {
            return None;
        }
        entry.vanished = false;
        let was_draining = entry.record.draining;
        let changed = ServerRecord { sequence: entry.record.sequence, ..record.clone() } != entry.record;
        entry.record = ServerRecord { draining: record.draining || was_draining, ..record };
        match (was_draining, entry.record.draining) {
            (false, true) => Some(DirectoryChange::Draining(entry.record.id.clone())),
            (false, false) if changed => Some(DirectoryChange::Ready(entry.record.clone())),
            _ => None,
        }
    }

    /// A server's registration has vanished.
    pub fn note_vanished(&mut self, now: Instant, id: &str) -> Option<DirectoryChange> {
        let entry = self.entries.get_mut(id)?;
        if self.lapse.may_have_lapsed(now) && !entry.record.draining {
            entry.vanished = true;
            return Some(DirectoryChange::Unconfirmed(entry.record.id.clone()));
        }
        self.remove(id)
    }

    /// All registrations at one moment.
    pub fn replace_all(&mut self, now: Instant, records: Vec<ServerRecord>) -> Vec<DirectoryChange> {
        let present: std::collections::HashSet<Arc<str>> = records.iter().map(|record| record.id.clone()).collect();
        let missing: Vec<Arc<str>> = self.entries.keys().filter(|id| !present.contains(*id)).cloned().collect();
        let mut changes: Vec<DirectoryChange> =
            records.into_iter().filter_map(|record| self.note_record(record)).collect();
        changes.extend(missing.iter().filter_map(|id| self.note_vanished(now, id)));
        changes
    }

    /// When a server is to be given up whose vanished registration does not
    /// return; `None` while there is none, or while the store is away.
    pub fn next_removal(&self) -> Option<Instant> {
        let vanished = self.entries.values().any(|entry| entry.vanished);
        self.lapse.end().filter(|_| vanished)
    }

    /// Time passes: ends servers whose vanished registration did not return.
    pub fn tick(&mut self, now: Instant) -> Vec<DirectoryChange> {
        if self.lapse.may_have_lapsed(now) {
            return Vec::new();
        }
        let vanished: Vec<Arc<str>> =
            self.entries.values().filter(|entry| entry.vanished).map(|entry| entry.record.id.clone()).collect();
        vanished.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Servers that take new work.
    pub fn ready(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().map(|entry| &entry.record).filter(|record| !record.draining)
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
