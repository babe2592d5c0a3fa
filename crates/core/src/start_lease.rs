//! For how long a worker may start items of a job after it last knew the job to be open.
//!
//! A client that was told of the end of its job must not see items start for ever because
//! the news of the end does not get through. What a worker knows of a job counts as a lease:
//! without a renewal by newer knowledge it runs out, and nothing of the job starts, whatever
//! the reason for the silence. Whether messages come then decides only how much is done, not
//! what is promised.
//!
//! Invariant: an item that starts under a lease is at its server no later than the time in
//! which the end of a job has to be in force after the moment at which the job was last
//! known to be open.

use crate::time::Instant;
use std::time::Duration;

/// Time from the last look at the lease until the request is at its server, on a connection
/// that is open: a one-way delay of some milliseconds and the turns of two busy processes.
const SEND_ALLOWANCE: Duration = Duration::from_millis(500);
/// The way takes no more than this part of the time in which an end has to be in force.
const ALLOWANCE_DIVISOR: u32 = 2;
/// A lease is due for renewal once this share of it has passed: of 2.5 s that leaves one
/// for a read of the store, which takes some milliseconds and is given up after 1.5 s.
const RENEW_AFTER_SHARE: f64 = 0.6;

/// The right to start items of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartLease {
    length: Duration,
    known_open_at: Option<Instant>,
}

impl StartLease {
    /// A lease that is not held yet, where the end of a job has to be in force within this
    /// time after it was acknowledged.
    pub fn new(cancel_deadline: Duration) -> Self {
        let allowance = SEND_ALLOWANCE.min(cancel_deadline / ALLOWANCE_DIVISOR);
        Self { length: cancel_deadline.saturating_sub(allowance), known_open_at: None }
    }

    /// The job was open at that moment.
    pub fn note_open(&mut self, at: Instant) {
        self.known_open_at = self.known_open_at.max(Some(at));
    }

    /// Whether items may start now.
    pub fn allows(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.length)
    }

    /// Whether it is time to find out whether the job is still open.
    pub fn is_due(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= self.length.mul_f64(RENEW_AFTER_SHARE))
    }

    /// Time since the job was last known to be open; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known_open_at.map(|at| now.since(at))
    }
}
