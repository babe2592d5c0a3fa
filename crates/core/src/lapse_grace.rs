//! Whether a registration that is missing in the record store may belong to a
//! live process: an outage can make leases run out, and after it each live
//! process needs a while to register itself again.
//!
//! The grace counts from the time at which the store is known to answer again,
//! not from the time at which this node noticed.

use crate::time::Instant;
use std::time::Duration;

/// What is known of the record store.
#[derive(Clone, Copy, Debug)]
enum StoreState {
    /// It does not answer, or never did.
    Away,
    /// It has answered since that time.
    Answering(Instant),
}

/// Time after an outage in which missing registrations prove nothing.
#[derive(Clone, Debug)]
pub struct LapseGrace {
    grace: Duration,
    store: StoreState,
}

impl LapseGrace {
    /// Live processes are registered again so long after the store's return.
    pub fn new(grace: Duration) -> Self {
        Self { grace, store: StoreState::Away }
    }

    /// The store does not answer, or has answered for that time.
    pub fn note_store(&mut self, now: Instant, answering_for: Option<Duration>) {
        self.store = match answering_for {
            Some(time) => StoreState::Answering(now - time),
            None => StoreState::Away,
        };
    }

    /// Whether a registration that is missing may belong to a live process.
    pub fn may_have_lapsed(&self, now: Instant) -> bool {
        match self.store {
            StoreState::Away => true,
            StoreState::Answering(_) => self.end().is_some_and(|end| now < end),
        }
    }

    /// When the grace ends or ended; `None` while the store is away.
    pub fn end(&self) -> Option<Instant> {
        match self.store {
            StoreState::Away => None,
            StoreState::Answering(since) => Some(since + self.grace),
        }
    }
}
