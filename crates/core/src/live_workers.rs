//! The workers among which jobs are divided.
//!
//! A job that goes to another worker runs again from its last listed result, so
//! that no worker is given up for a registration that an outage of the store
//! made lapse: it stays for a grace after the store's return.

use crate::lapse_grace::LapseGrace;
use crate::time::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after the store's return in which every live worker has registered
/// itself again: it hears of the return within a probe of an upstream (250 ms)
/// and calls within 200 ms; the rest is for a call that hangs (1.5 s at most).
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// The workers that live, as far as the store tells.
#[derive(Debug)]
pub struct LiveWorkers {
    /// All of them, the vanished ones among them.
    names: BTreeSet<String>,
    /// Those whose registration vanished around an outage.
    vanished: BTreeSet<String>,
    lapse: LapseGrace,
}

impl Default for LiveWorkers {
    /// None is known yet.
    fn default() -> Self {
        Self { names: BTreeSet::new(), vanished: BTreeSet::new(), lapse: LapseGrace::new(RETURN_GRACE) }
    }
}

impl LiveWorkers {
    /// Their names.
    pub fn names(&self) -> &BTreeSet<String> {
        &self.names
    }

    /// The store does not answer, or has answered for that time.
    pub fn note_store(&mut self, now: Instant, answering_for: Option<Duration>) {
        self.lapse.note_store(now, answering_for);
    }

    /// A worker is registered; tells whether that is news.
    pub fn note_registered(&mut self, worker: &str) -> bool {
        self.vanished.remove(worker);
        self.names.insert(worker.to_owned())
    }

    /// A worker took its registration back, or it lapsed; tells whether the
    /// worker is given up.
    pub fn note_missing(&mut self, now: Instant, worker: &str) -> bool {
        if !self.names.contains(worker) {
            return false;
        }
        if self.lapse.may_have_lapsed(now) {
            self.vanished.insert(worker.to_owned());
            return false;
        }
        self.vanished.remove(worker);
        self.names.remove(worker)
    }

    /// These are all that are registered; tells whether any worker is given up.
    pub fn note_all(&mut self, now: Instant, registered: &BTreeSet<&str>) -> bool {
        let missing: Vec<String> =
            self.names.iter().filter(|worker| !registered.contains(worker.as_str())).cloned().collect();
        missing.iter().filter(|worker| self.note_missing(now, worker)).count() > 0
    }

    /// When workers are given up whose registration does not return.
    pub fn next_end(&self) -> Option<Instant> {
        self.lapse.end().filter(|_| !self.vanished.is_empty())
    }

    /// Time passes; tells whether any worker is given up.
    pub fn tick(&mut self, now: Instant) -> bool {
        if self.lapse.may_have_lapsed(now) {
            return false;
        }
        let vanished = std::mem::take(&mut self.vanished);
        vanished.iter().filter(|worker| self.names.remove(*worker)).count() > 0
    }
}
