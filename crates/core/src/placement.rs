//! Fenced orders to servers: load a model, change a role.
//!
//! An order carries the fencing epoch of the lease under which it was made.
//! A holder may be paused between its check and the order, so the receiver
//! refuses any epoch lower than the highest it has seen.

use crate::time::Instant;
use std::time::Duration;

/// A lease ends this much earlier for its holder than for its grantor.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// The right to give orders, held until a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLease {
    epoch: u64,
    expires_at: Instant,
}

impl OrderLease {
    /// A lease whose request was sent at `requested_at`: it counts from there.
    pub fn new(epoch: u64, requested_at: Instant, length: Duration) -> Self {
        Self { epoch, expires_at: requested_at + length.saturating_sub(LEASE_MARGIN) }
    }

    /// The epoch to put on an order, or `None` once the lease has lapsed.
    pub fn epoch_at(&self, now: Instant) -> Option<u64> {
        (now < self.expires_at).then_some(self.epoch)
    }
}

/// The receiver's side: the highest epoch that was accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Takes an order's epoch; `false` means that the order is refused.
    pub fn admit(&mut self, epoch: u64) -> bool {
        if epoch < self.highest {
            return false;
        }
        self.highest = epoch;
        true
    }
}

/// Paces loads by the weight store's rate: one token per byte.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    bytes_per_second: f64,
    free_at: Instant,
}

impl LoadPacer {
    /// A pacer for a rate in bytes a second.
    pub fn new(bytes_per_second: f64) -> Self {
        Self { bytes_per_second, free_at: Instant::default() }
    }

    /// When a load of this size may start; reserves the rate for it.
    pub fn reserve(&mut self, now: Instant, bytes: u64) -> Instant {
        let start = self.free_at.max(now);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        start
    }
}
