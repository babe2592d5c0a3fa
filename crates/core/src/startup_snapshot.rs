//! Use of record snapshots that were stored before a start.
//!
//! If all nodes restart while the record store is unreachable, the only data left is what
//! nodes with a disk stored: the operator's table, the servers, the other nodes. Each
//! prefix of records is stored on its own, whole or not at all.
//!
//! A snapshot is used only while the store answers neither this node nor an upstream that
//! it receives reports from, and never replaces records received by this process. Of two
//! snapshots the newer revision is used. Servers are still checked by their identity, and a
//! table stays in force only until a newer one arrives.

use crate::record_source::AGE_LIMIT;
use crate::time::{Instant, WallTime};
use std::collections::HashMap;
use std::time::Duration;

/// Time after a start to wait for the store, or for an upstream that reaches it.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum age of a snapshot that is used. Bounds how long a revoked tenant key is accepted by a
/// node that cannot reach the store. An hour is longer than a power cut with a restart, and
/// shorter than a working day.
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(3600);
/// Minimum interval between two fetches of the same prefix.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// What a node holds of the records under a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// No records.
    Nothing,
    /// A snapshot stored before the start, up to this revision.
    Stored(u64),
    /// Records received from a reliable source.
    Received,
}

/// Reachability of the store, as seen by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReachability {
    /// Time since the store last answered this node; `None` if it never did.
    pub own_age: Option<Duration>,
    /// Whether a reliable upstream reported lately that it reaches the store.
    pub upstream_reaches_store: bool,
}

impl StoreReachability {
    fn is_unreachable(&self) -> bool {
        !self.upstream_reaches_store && self.own_age.is_none_or(|age| age > AGE_LIMIT)
    }
}

/// Whether a snapshot of this revision, confirmed by the store at `confirmed`, replaces the
/// records that the node holds.
pub fn replaces(present_state: RecordState, revision: u64, confirmed: WallTime, now: WallTime) -> bool {
    is_newer_revision(present_state, revision) && !is_too_old(confirmed, now)
}

/// Whether a snapshot confirmed at `confirmed` is too old for a node that does not use it yet.
pub fn is_too_old(confirmed: WallTime, now: WallTime) -> bool {
    snapshot_age(confirmed, now) > MAX_SNAPSHOT_AGE
}

/// Whether records of this revision at a running node replace those held here. Their age
/// does not matter, since that node serves by them too.
pub fn is_newer_revision(present_state: RecordState, revision: u64) -> bool {
    match present_state {
        RecordState::Nothing => true,
        RecordState::Stored(present) => revision > present,
        RecordState::Received => false,
    }
}

/// Time since the store confirmed records; zero if `confirmed` is in the future because
/// clocks differ.
pub fn snapshot_age(confirmed: WallTime, now: WallTime) -> Duration {
    now.left_at(confirmed)
}

/// Decides when a starting node uses snapshots and fetches them from other nodes.
#[derive(Debug)]
pub struct StartSnapshots {
    started: Instant,
    fetched_at: HashMap<String, Instant>,
}

impl StartSnapshots {
    /// Creates the state of a node that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { started: now, fetched_at: HashMap::new() }
    }

    /// Whether snapshots may be used now.
    pub fn may_use_snapshots(&self, now: Instant, contact: StoreReachability) -> bool {
        now.since(self.started) >= STORE_TIMEOUT && contact.is_unreachable()
    }

    /// Whether to fetch a prefix from another node that offers revision `offered`.
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
        let fetched_recently = self.fetched_at.get(prefix).is_some_and(|at| now.since(*at) < FETCH_INTERVAL);
        is_newer && !fetched_recently && self.may_use_snapshots(now, contact)
    }

    /// Records a fetch of a prefix from another node.
    pub fn note_fetch(&mut self, now: Instant, prefix: &str) {
        self.fetched_at.insert(prefix.to_owned(), now);
    }
}
