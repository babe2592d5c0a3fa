//! Verdicts as every node keeps them.

use super::holds::Holds;
use crate::dispatch::ServerKey;
use crate::fingerprint::{Fingerprint, RequestKey, RequestShape};
use crate::identity::stable_pair_hash;
use crate::time::{Instant, WallTime};
use std::collections::HashMap;
use std::time::Duration;

/// Length of a first quarantine; each further one of the same request is so many times
/// as long. A request that ends every server runs three more times in a day so, after
/// 10, 70 and 430 minutes: operators allow three retries (rule BUDGET).
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
const QUARANTINE_FACTOR: u32 = 6;
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 3600);
/// Time after its end for which a verdict is remembered, so that a request that goes on
/// to end servers is known at once.
pub const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Verdicts that are kept at most; beyond it those that end first are dropped.
pub const QUARANTINE_LIMIT: usize = 1024;
/// Requests that are watched at most, and for how long.
const WATCH_LIMIT: usize = 1024;
const WATCH_TTL: Duration = Duration::from_secs(3600);
/// Servers that are named in a verdict at most.
const MAX_SERVERS_PER_ENTRY: usize = 8;

/// What was decided about a request. Of two verdicts on one request the one that was
/// changed last holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub request: RequestKey,
    /// When it was decided or lifted.
    pub changed_at: WallTime,
    /// End of the quarantine.
    pub until: WallTime,
    /// How often the request was quarantined.
    pub offences: u32,
    /// The request ran to its end after all, or an operator let it go.
    pub lifted: bool,
    /// Servers that ended under it: no other request is held to have ended these.
    pub servers: Vec<ServerKey>,
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing was decided about it, or the verdict was lifted.
    Free,
    /// It is not to be sent to any server.
    Quarantined,
    /// Its quarantine is over, and nothing has shown that it is harmless now.
    OnProbation,
}

/// What ended because a request ran to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClearedState {
    /// It had been suspected.
    Suspicion,
    /// It had been quarantined; this verdict lifts that.
    Lifted(QuarantineEntry),
}

/// The verdicts that a node knows, and the requests that are suspected.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, QuarantineEntry>,
    /// Requests whose good end has to be told, and since when.
    watched: HashMap<Fingerprint, (RequestKey, Instant)>,
    /// Requests that wait for a verdict; each of them is watched.
    holds: Holds,
    /// Number of verdicts and watched requests by shape.
    shapes: HashMap<RequestShape, u32>,
}

impl Quarantine {
    /// Whether anything is known of requests of this shape. Costs one look-up.
    pub fn has_shape(&self, shape: RequestShape) -> bool {
        self.shapes.contains_key(&shape)
    }

    /// How a request stands.
    pub fn status(&self, request: Fingerprint, now: WallTime) -> QuarantineStatus {
        match self.entries.get(&request) {
            Some(entry) if entry.lifted => QuarantineStatus::Free,
            Some(entry) if now < entry.until => QuarantineStatus::Quarantined,
            Some(_) => QuarantineStatus::OnProbation,
            None => QuarantineStatus::Free,
        }
    }

    /// Time for which a request is still not to be sent; `None` if it may be.
    pub fn quarantine_remaining(&self, request: Fingerprint, now: WallTime) -> Option<Duration> {
        let entry = self.entries.get(&request).filter(|entry| !entry.lifted)?;
        Some(entry.until.left_at(now)).filter(|left| !left.is_zero())
    }

    /// Holds a request under which so many servers have ended until the last end is
    /// weighed; `true` if that is news.
    pub fn hold(&mut self, request: RequestKey, crashes: usize, now: Instant) -> bool {
        self.watch(request, now);
        self.holds.note_crashes(request.fingerprint, crashes, now)
    }

    /// A copy of a request that was held is to be sent now; `true` if all other copies
    /// have to wait for its fate, so that other nodes are to be told.
    pub fn begin_run(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.holds.begin_run(request, now)
    }

    /// Another node has sent a copy of a request that was held.
    pub fn note_run(&mut self, request: RequestKey, now: Instant) {
        self.watch(request, now);
        self.holds.note_run(request.fingerprint, now);
    }

    /// Time for which a request waits for a verdict; `None` if it doesn't.
    pub fn hold_remaining(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        self.holds.remaining(request, now)
    }

    /// Quarantines a request under which these servers ended.
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

    /// Takes a verdict of another node or the store over if it is news.
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

    /// An operator lets a request go; gives back the verdict that says so.
    pub fn lift(&mut self, request: Fingerprint, now: WallTime) -> Option<QuarantineEntry> {
        let changed_at = self.next_change_time(request, now);
        let entry = self.entries.get_mut(&request).filter(|entry| !entry.lifted)?;
        entry.lifted = true;
        entry.changed_at = changed_at;
        Some(entry.clone())
    }

    /// A time for a change that comes after the last one that is known, also where this
    /// node's clock is behind the one that made it.
    fn next_change_time(&self, request: Fingerprint, now: WallTime) -> WallTime {
        let latest = self.entries.get(&request).map(|entry| WallTime(entry.changed_at.0 + 1));
        latest.map_or(now, |latest| latest.max(now))
    }

    /// The good end of this request has to be told; `true` if that is news.
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

    /// A request ran to its end: whatever was held against it ends.
    pub fn note_success(&mut self, request: Fingerprint, now: WallTime) -> Option<ClearedState> {
        let suspected = self.unwatch(request);
        match self.lift(request, now) {
            Some(entry) => Some(ClearedState::Lifted(entry)),
            None => suspected.then_some(ClearedState::Suspicion),
        }
    }

    /// A request is not suspected any more; `true` if it was.
    pub fn unwatch(&mut self, request: Fingerprint) -> bool {
        self.holds.remove(request);
        let Some((key, _)) = self.watched.remove(&request) else { return false };
        self.remove_shape(key.shape);
        true
    }

    /// All verdicts that are to be remembered.
    pub fn entries(&self, now: WallTime) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values().filter(move |entry| is_retained(entry, now))
    }

    /// One verdict.
    pub fn entry(&self, request: Fingerprint) -> Option<&QuarantineEntry> {
        self.entries.get(&request)
    }

    /// A number that is the same at nodes with the same verdicts to remember; zero
    /// without any.
    pub fn digest(&self, now: WallTime) -> u64 {
        let each = self.entries(now).map(|entry| {
            let Fingerprint(fingerprint) = entry.request.fingerprint;
            let folded = (fingerprint >> 64) as u64 ^ fingerprint as u64;
            stable_pair_hash(folded, entry.changed_at.0)
        });
        each.fold(0, |sum, part| sum ^ part)
    }

    /// Drops verdicts that are not to be remembered any more, and where there are too
    /// many the one that ends first.
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

    /// Drops what has been watched for long, or the oldest.
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
