//! Limit on the bytes per second that a node sends for one purpose.
//!
//! A message may overdraw the budget once; the next one waits until the balance is no longer
//! negative. So a message larger than one second's bytes is delayed, not lost.

use crate::time::Instant;

/// Token bucket of bytes that holds at most one second's worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ByteBudget {
    bytes_per_second: f64,
    left: f64,
    updated_at: Instant,
}

impl ByteBudget {
    /// Creates a budget that is full at `now`.
    pub fn new(bytes_per_second: f64, now: Instant) -> Self {
        Self { bytes_per_second, left: bytes_per_second, updated_at: now }
    }

    /// Whether a message may be sent now.
    pub fn allows(&mut self, now: Instant) -> bool {
        let gained = now.since(self.updated_at).as_secs_f64() * self.bytes_per_second;
        self.updated_at = now;
        self.left = (self.left + gained).min(self.bytes_per_second);
        self.left >= 0.0
    }

    /// Deducts the bytes of a sent message.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
