//! Lease under which a worker starts items of a job.
//!
//! A cancelled job must not start items forever because the cancellation did not reach its
//! worker. Without renewal the lease expires and nothing of the job starts, so lost messages
//! delay work but don't break the guarantee.
//!
//! Invariant: an item that starts under a lease reaches its server within the cancellation
//! deadline, counted from the time at which the job was last confirmed open.

use crate::time::Instant;
use std::time::Duration;

/// Time from the lease check until the request reaches its server on an open connection. Covers
/// a one-way delay of some milliseconds and the scheduling of two busy processes.
const SEND_ALLOWANCE: Duration = Duration::from_millis(500);
/// The allowance is at most the cancellation deadline divided by this.
const ALLOWANCE_DIVISOR: u32 = 2;
/// Share of the lease after which it is due for renewal; the rest leaves time for a read of the
/// store. A lease of 2.5 s leaves one second for a read that takes some milliseconds.
const RENEW_AFTER_SHARE: f64 = 0.6;

/// The right to start items of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartLease {
    length: Duration,
    known_open_at: Option<Instant>,
}

impl StartLease {
    /// Creates a lease that is not held yet. `cancel_deadline` is the time after its
    /// acknowledgement in which a cancellation has to take effect.
    pub fn new(cancel_deadline: Duration) -> Self {
        let allowance = SEND_ALLOWANCE.min(cancel_deadline / ALLOWANCE_DIVISOR);
        Self { length: cancel_deadline.saturating_sub(allowance), known_open_at: None }
    }

    /// Records that the job was open at that time.
    pub fn note_open(&mut self, at: Instant) {
        self.known_open_at = self.known_open_at.max(Some(at));
    }

    /// Whether items may start now.
    pub fn allows(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.length)
    }

    /// Whether the lease is due for renewal.
    pub fn is_due(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= self.length.mul_f64(RENEW_AFTER_SHARE))
    }

    /// Time since the job was last confirmed open; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known_open_at.map(|at| now.since(at))
    }
}
