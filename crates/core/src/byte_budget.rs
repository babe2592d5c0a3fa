//! A bound on the bytes that a node sends in a second for one purpose.
//!
//! What is sent may overdraw the budget once: nothing is sent then until as much
//! was gained. So a message larger than a second's bytes is delayed, not lost.

use crate::time::Instant;

/// Bytes that may be sent now; at most a second's worth is saved up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ByteBudget {
    bytes_per_second: f64,
    left: f64,
    updated_at: Instant,
}

impl ByteBudget {
    /// A budget that is full at `now`.
    pub fn new(bytes_per_second: f64, now: Instant) -> Self {
        Self { bytes_per_second, left: bytes_per_second, updated_at: now }
    }

    /// Whether something may be sent now.
    pub fn allows(&mut self, now: Instant) -> bool {
        let gained = now.since(self.updated_at).as_secs_f64() * self.bytes_per_second;
        self.updated_at = now;
        self.left = (self.left + gained).min(self.bytes_per_second);
        self.left >= 0.0
    }

    /// So many bytes were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
