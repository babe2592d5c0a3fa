//! Which records that were kept before a start are believed, and for what.
//!
//! The load: all nodes lose power while the record store is away. Nothing is known then
//! but what nodes with a disk kept of what the store told them: the operator's table, the
//! servers, the other nodes. Each prefix of records is kept apart, whole or not at all.
//!
//! A snapshot is believed only while the store is known to answer neither this node nor an
//! upstream that it hears, and it never replaces what a source told this process. Of two
//! snapshots the one of the newer revision counts. What is believed so is as old as it
//! would be at a node that has been cut off since then: servers are still asked by their
//! identity, and a table binds only until the store, or another node, tells a newer one.

use crate::record_source::AGE_LIMIT;
use crate::time::{Instant, WallTime};
use std::collections::HashMap;
use std::time::Duration;

/// Time after a start in which the store, or an upstream that it answers, is waited for:
/// a list comes within some 20 ms where the store is there.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Oldest snapshot that is believed. A tenant's key that was taken away is accepted for so
/// long at most by a node that the store doesn't answer. An hour is more than a power cut
/// with a restart takes, and less than a working day.
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(3600);
/// Least time between two calls for the same records: a snapshot of 10,000 servers takes
/// 64 ms of a link of 200 Mbit/s.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// What is known of the records under a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// Nothing.
    Nothing,
    /// What was kept before a start, up to this revision.
    Stored(u64),
    /// What a source told that could be relied on.
    Received,
}

/// What a node knows of its contact with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReachability {
    /// Time since the store was last known to answer this node; `None` if it never did.
    pub own_age: Option<Duration>,
    /// Whether an upstream that can be relied on told lately that the store answers it.
    pub upstream_reaches_store: bool,
}

impl StoreReachability {
    fn is_unreachable(&self) -> bool {
        !self.upstream_reaches_store && self.own_age.is_none_or(|age| age > AGE_LIMIT)
    }
}

/// Whether a snapshot of this revision, confirmed by the store at that time, is believed
/// rather than what is known.
pub fn replaces(present_state: RecordState, revision: u64, confirmed: WallTime, now: WallTime) -> bool {
    is_newer_revision(present_state, revision) && !is_too_old(confirmed, now)
}

/// Whether a snapshot that the store confirmed at that time is too old to be believed by
/// anybody who doesn't know it yet.
pub fn is_too_old(confirmed: WallTime, now: WallTime) -> bool {
    snapshot_age(confirmed, now) > MAX_SNAPSHOT_AGE
}

/// Whether records of this revision that a running node knows are believed rather than what
/// is known, however old they are: that node serves by them too.
pub fn is_newer_revision(present_state: RecordState, revision: u64) -> bool {
    match present_state {
        RecordState::Nothing => true,
        RecordState::Stored(present) => revision > present,
        RecordState::Received => false,
    }
}

/// Time since the store confirmed records; zero where the clock of the node that kept
/// them is ahead.
pub fn snapshot_age(confirmed: WallTime, now: WallTime) -> Duration {
    now.left_at(confirmed)
}

/// When a node that has started believes snapshots, and asks others for theirs.
#[derive(Debug)]
pub struct StartSnapshots {
    started: Instant,
    called: HashMap<String, Instant>,
}

impl StartSnapshots {
    /// A node that starts now.
    pub fn new(now: Instant) -> Self {
        Self { started: now, called: HashMap::new() }
    }

    /// Whether snapshots are believed now.
    pub fn may_use_snapshots(&self, now: Instant, contact: StoreReachability) -> bool {
        now.since(self.started) >= STORE_TIMEOUT && contact.is_unreachable()
    }

    /// Whether another node that knows a prefix up to a revision would be called for it.
    pub fn should_fetch(
        &self,
        now: Instant,
        contact: StoreReachability,
        prefix: &str,
        present_state: RecordState,
        offered: u64,
    ) -> bool {
        let is_newer = match present_state {
            RecordState::Nothing => offered > 0,
            RecordState::Stored(present) => offered > present,
            RecordState::Received => false,
        };
        let called_lately = self.called.get(prefix).is_some_and(|at| now.since(*at) < FETCH_INTERVAL);
        is_newer && !called_lately && self.may_use_snapshots(now, contact)
    }

    /// Another node is called for a prefix.
    pub fn note_call(&mut self, now: Instant, prefix: &str) {
        self.called.insert(prefix.to_owned(), now);
    }
}
