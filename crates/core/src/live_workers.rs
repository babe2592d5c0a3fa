//! Live workers, among which jobs are divided.
//!
//! A job that moves to another worker resumes from its last listed result. To avoid
//! such moves, a worker whose registration expired during an outage of the record
//! store stays live for a grace period after the return of the store.

use crate::lapse_grace::LapseGrace;
use crate::time::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after the return of the store within which every live worker registers again:
/// one upstream probe (250 ms), the delay of the call (200 ms) and its timeout (1.5 s).
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Workers that are registered in the store, or whose registration may be missing
/// because of an outage.
#[derive(Debug)]
pub struct LiveWorkers {
    /// All live workers, including `vanished`.
    names: BTreeSet<String>,
    /// Workers whose registration disappeared during an outage or its grace period.
    vanished: BTreeSet<String>,
    lapse_grace: LapseGrace,
}

impl Default for LiveWorkers {
    /// No workers.
    fn default() -> Self {
        Self { names: BTreeSet::new(), vanished: BTreeSet::new(), lapse_grace: LapseGrace::new(RETURN_GRACE) }
    }
}

impl LiveWorkers {
    /// Names of the live workers.
    pub fn names(&self) -> &BTreeSet<String> {
        &self.names
    }

    /// Records for how long the store has answered; `None` if it does not answer.
    pub fn note_store(&mut self, now: Instant, answering_for: Option<Duration>) {
        self.lapse_grace.note_store(now, answering_for);
    }

    /// Records a registered worker; returns whether it is new.
    pub fn note_registered(&mut self, worker: &str) -> bool {
        self.vanished.remove(worker);
        self.names.insert(worker.to_owned())
    }

    /// Records that a registration was removed or expired; returns whether the worker
    /// is removed.
    pub fn note_missing(&mut self, now: Instant, worker: &str) -> bool {
        if !self.names.contains(worker) {
            return false;
        }
        if self.lapse_grace.may_have_lapsed(now) {
            self.vanished.insert(worker.to_owned());
            return false;
        }
        self.vanished.remove(worker);
        self.names.remove(worker)
    }

    /// Records the complete set of registered workers; returns whether any worker is
    /// removed. Does not add new ones.
    pub fn note_all(&mut self, now: Instant, registered: &BTreeSet<&str>) -> bool {
        let missing: Vec<String> =
            self.names.iter().filter(|worker| !registered.contains(worker.as_str())).cloned().collect();
        missing.iter().filter(|worker| self.note_missing(now, worker)).count() > 0
    }

    /// Time at which workers without a registration are removed, if there are any.
    pub fn grace_end(&self) -> Option<Instant> {
        self.lapse_grace.end().filter(|_| !self.vanished.is_empty())
    }

    /// Removes vanished workers after the grace period; returns whether any were removed.
    pub fn tick(&mut self, now: Instant) -> bool {
        if self.lapse_grace.may_have_lapsed(now) {
            return false;
        }
        let vanished = std::mem::take(&mut self.vanished);
        vanished.iter().filter(|worker| self.names.remove(*worker)).count() > 0
    }
}
