//! Quarantine entries, as stored by every node.

use super::holds::Holds;
use crate::dispatch::ServerKey;
use crate::fingerprint::{Fingerprint, RequestKey, RequestShape};
use crate::identity::stable_pair_hash;
use crate::time::{Instant, WallTime};
use std::collections::HashMap;
use std::time::Duration;

/// Length of the first quarantine of a request. With the factor below, a request that crashes
/// every server runs at most three more times within a day. These runs follow after 10, 70 and
/// 430 minutes; operators allow three retries.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
/// Ratio of the lengths of consecutive quarantines of a request.
const QUARANTINE_FACTOR: u32 = 6;
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 3600);
/// Time for which an expired entry is retained, so that one more crash is enough to
/// quarantine the request again.
pub const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of entries. Lifted entries are dropped first, then those that expire first.
pub const QUARANTINE_LIMIT: usize = 1024;
/// Maximum number of watched requests.
const WATCH_LIMIT: usize = 1024;
/// Time for which a request is watched after the last report about it.
const WATCH_TTL: Duration = Duration::from_secs(3600);
const MAX_SERVERS_PER_ENTRY: usize = 8;

/// Quarantine of one request. Of two entries for the same request, the one changed last
/// applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Quarantined request.
    pub request: RequestKey,
    /// Time at which the request was quarantined or the quarantine was lifted.
    pub changed_at: WallTime,
    /// End of the quarantine.
    pub until: WallTime,
    /// Number of times the request was quarantined.
    pub offences: u32,
    /// Whether the request has succeeded since, or an operator released it.
    pub lifted: bool,
    /// Servers that the request crashed. Their crashes count against no other request.
    pub servers: Vec<ServerKey>,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request has no entry, or its entry was lifted.
    Free,
    /// The request must not be sent to any server.
    Quarantined,
    /// The quarantine has expired, and the request has not succeeded since.
    OnProbation,
}

/// State that a successful run of a request cleared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClearedState {
    /// The request was watched.
    Suspicion,
    /// The request was quarantined; contains the lifted entry.
    Lifted(QuarantineEntry),
}

/// The quarantine entries of a node, and the requests that it watches.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, QuarantineEntry>,
    /// Requests whose success must be reported, with the time of the last report.
    watched: HashMap<Fingerprint, (RequestKey, Instant)>,
    /// Requests held while a crash is evaluated. Each of them is watched.
    holds: Holds,
    /// Number of entries and watched requests by shape.
    shapes: HashMap<RequestShape, u32>,
}

impl Quarantine {
    /// Whether any entry or watched request has this shape.
    pub fn has_shape(&self, shape: RequestShape) -> bool {
        self.shapes.contains_key(&shape)
    }

    /// Returns the quarantine status of a request.
    pub fn status(&self, request: Fingerprint, now: WallTime) -> QuarantineStatus {
        match self.entries.get(&request) {
            Some(entry) if entry.lifted => QuarantineStatus::Free,
            Some(entry) if now < entry.until => QuarantineStatus::Quarantined,
            Some(_) => QuarantineStatus::OnProbation,
            None => QuarantineStatus::Free,
        }
    }

    /// Remaining time of the quarantine of a request; `None` if it may be sent.
    pub fn quarantine_remaining(&self, request: Fingerprint, now: WallTime) -> Option<Duration> {
        let entry = self.entries.get(&request).filter(|entry| !entry.lifted)?;
        Some(entry.until.left_at(now)).filter(|left| !left.is_zero())
    }

    /// Holds a request that was running at `crashes` crashed servers until the last crash
    /// is evaluated. Returns whether this starts or extends a hold.
    pub fn hold(&mut self, request: RequestKey, crashes: usize, now: Instant) -> bool {
        self.watch(request, now);
        self.holds.note_crashes(request.fingerprint, crashes, now)
    }

    /// Records that this node sends a copy of a request. Returns `true` if the request was
    /// held recently: all other copies wait then, and the other nodes must be notified.
    pub fn begin_run(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.holds.begin_run(request, now)
    }

    /// Records that another node has sent a copy of a held request.
    pub fn note_run(&mut self, request: RequestKey, now: Instant) {
        self.watch(request, now);
        self.holds.note_run(request.fingerprint, now);
    }

    /// Remaining time for which a request is held; `None` if it is not held.
    pub fn hold_remaining(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        self.holds.remaining(request, now)
    }

    /// Quarantines a request that crashed `servers`.
    pub fn impose(&mut self, request: RequestKey, mut servers: Vec<ServerKey>, now: WallTime) -> QuarantineEntry {
        let before = self.entries.get(&request.fingerprint).filter(|entry| !entry.lifted);
        let offences = before.map_or(0, |entry| entry.offences) + 1;
        let factor = QUARANTINE_FACTOR.checked_pow(offences - 1).unwrap_or(u32::MAX);
        let length = FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE);
        servers.truncate(MAX_SERVERS_PER_ENTRY);
        let changed_at = self.next_change_time(request.fingerprint, now);
        let entry = QuarantineEntry { request, changed_at, until: now + length, offences, lifted: false, servers };
        self.merge(entry.clone(), now);
        entry
    }

    /// Stores an entry from another node or the record store. Returns `false` if it has
    /// expired or is not newer than the stored entry.
    pub fn merge(&mut self, mut entry: QuarantineEntry, now: WallTime) -> bool {
        let key = entry.request.fingerprint;
        if !is_retained(&entry, now) {
            return false;
        }
        if self.entries.get(&key).is_some_and(|present| present.changed_at >= entry.changed_at) {
            return false;
        }
        entry.servers.truncate(MAX_SERVERS_PER_ENTRY);
        if self.entries.len() >= QUARANTINE_LIMIT && !self.entries.contains_key(&key) {
            self.prune(now);
        }
        let shape = entry.request.shape;
        if self.entries.insert(key, entry).is_none() {
            self.add_shape(shape);
        }
        true
    }

    /// Lifts the quarantine of a request. Returns the lifted entry, or `None` if the request
    /// has no entry or the entry is already lifted.
    pub fn lift(&mut self, request: Fingerprint, now: WallTime) -> Option<QuarantineEntry> {
        let changed_at = self.next_change_time(request, now);
        let entry = self.entries.get_mut(&request).filter(|entry| !entry.lifted)?;
        entry.lifted = true;
        entry.changed_at = changed_at;
        Some(entry.clone())
    }

    /// Time for the next change of an entry. It is later than the last change even if the
    /// clock of this node is behind that of the node that made the last change.
    fn next_change_time(&self, request: Fingerprint, now: WallTime) -> WallTime {
        let latest = self.entries.get(&request).map(|entry| WallTime(entry.changed_at.0 + 1));
        latest.map_or(now, |latest| latest.max(now))
    }

    /// Watches a request, so that its success is reported. Returns `false` if it was
    /// already watched.
    pub fn watch(&mut self, request: RequestKey, now: Instant) -> bool {
        if let Some((_, since)) = self.watched.get_mut(&request.fingerprint) {
            *since = now;
            return false;
        }
        if self.watched.len() >= WATCH_LIMIT {
            self.prune_watched(now);
        }
        self.watched.insert(request.fingerprint, (request, now));
        self.add_shape(request.shape);
        true
    }

    /// Records that a request succeeded: ends its hold and watch, and lifts its entry.
    pub fn note_success(&mut self, request: Fingerprint, now: WallTime) -> Option<ClearedState> {
        let suspected = self.unwatch(request);
        match self.lift(request, now) {
            Some(entry) => Some(ClearedState::Lifted(entry)),
            None => suspected.then_some(ClearedState::Suspicion),
        }
    }

    /// Ends the hold and watch of a request. Returns whether it was watched.
    pub fn unwatch(&mut self, request: Fingerprint) -> bool {
        self.holds.remove(request);
        let Some((key, _)) = self.watched.remove(&request) else { return false };
        self.remove_shape(key.shape);
        true
    }

    /// All entries within their retention time.
    pub fn entries(&self, now: WallTime) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values().filter(move |entry| is_retained(entry, now))
    }

    /// The entry of a request.
    pub fn entry(&self, request: Fingerprint) -> Option<&QuarantineEntry> {
        self.entries.get(&request)
    }

    /// Digest of the retained entries, equal at nodes with the same entries; zero without
    /// any.
    pub fn digest(&self, now: WallTime) -> u64 {
        let each = self.entries(now).map(|entry| {
            let Fingerprint(fingerprint) = entry.request.fingerprint;
            let folded = (fingerprint >> 64) as u64 ^ fingerprint as u64;
            stable_pair_hash(folded, entry.changed_at.0)
        });
        each.fold(0, |sum, part| sum ^ part)
    }

    /// Drops entries past their retention time. At the limit, also drops one more: a lifted
    /// one if any, otherwise the one that expires first.
    pub fn prune(&mut self, now: WallTime) {
        let expired: Vec<Fingerprint> =
            self.entries.values().filter(|entry| !is_retained(entry, now)).map(key_of).collect();
        expired.into_iter().for_each(|key| self.remove_entry(key));
        if self.entries.len() >= QUARANTINE_LIMIT {
            let first = self.entries.values().min_by_key(|entry| (!entry.lifted, entry.until)).map(key_of);
            first.into_iter().for_each(|key| self.remove_entry(key));
        }
    }

    fn remove_entry(&mut self, key: Fingerprint) {
        if let Some(entry) = self.entries.remove(&key) {
            self.remove_shape(entry.request.shape);
        }
    }

    /// Drops requests watched for longer than [`WATCH_TTL`], or the oldest if there are none.
    fn prune_watched(&mut self, now: Instant) {
        let old = |since: &Instant| now.since(*since) > WATCH_TTL;
        let mut expired: Vec<Fingerprint> =
            self.watched.iter().filter(|(_, (_, since))| old(since)).map(|(key, _)| *key).collect();
        if expired.is_empty() {
            expired.extend(self.watched.iter().min_by_key(|(_, (_, since))| *since).map(|(key, _)| *key));
        }
        for key in expired {
            self.unwatch(key);
        }
    }

    fn add_shape(&mut self, shape: RequestShape) {
        *self.shapes.entry(shape).or_default() += 1;
    }

    fn remove_shape(&mut self, shape: RequestShape) {
        let Some(count) = self.shapes.get_mut(&shape) else { return };
        *count -= 1;
        if *count == 0 {
            self.shapes.remove(&shape);
        }
    }
}

fn is_retained(entry: &QuarantineEntry, now: WallTime) -> bool {
    now <= entry.until + QUARANTINE_RETENTION
}

fn key_of(entry: &QuarantineEntry) -> Fingerprint {
    entry.request.fingerprint
}
