//! Grace period for registrations that are missing in the record store.
//!
//! Leases expire during an outage, and each live process needs some time after it to
//! register again. Until then a missing registration may belong to a live process.
//! The grace period starts when the store answers again, not when this node detects it.

use crate::time::Instant;
use std::time::Duration;

/// Reachability of the record store.
#[derive(Clone, Copy, Debug)]
enum StoreState {
    /// The store does not answer, or has not answered yet.
    Unreachable,
    /// The store has answered since this time.
    Answering(Instant),
}

/// Decides whether a missing registration may have expired because of an outage.
#[derive(Clone, Debug)]
pub struct LapseGrace {
    grace: Duration,
    store: StoreState,
}

impl LapseGrace {
    /// Creates the state for processes that register again within `grace` after the
    /// store returns.
    pub fn new(grace: Duration) -> Self {
        Self { grace, store: StoreState::Unreachable }
    }

    /// Records for how long the store has answered; `None` if it does not answer.
    pub fn note_store(&mut self, now: Instant, answering_for: Option<Duration>) {
        self.store = match answering_for {
            Some(time) => StoreState::Answering(now - time),
            None => StoreState::Unreachable,
        };
    }

    /// Whether a missing registration may belong to a live process.
    pub fn may_have_lapsed(&self, now: Instant) -> bool {
        match self.store {
            StoreState::Unreachable => true,
            StoreState::Answering(_) => self.end().is_some_and(|end| now < end),
        }
    }

    /// End of the grace period; `None` while the store is unreachable.
    pub fn end(&self) -> Option<Instant> {
        match self.store {
            StoreState::Unreachable => None,
            StoreState::Answering(since) => Some(since + self.grace),
        }
    }
}
