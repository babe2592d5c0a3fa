//! Fenced orders to servers: load a model, change a role.
//!
//! An order carries the fencing epoch of the lease under which it was issued. The lease may
//! expire between the check and the order, so the receiver rejects any epoch lower than
//! the highest one it has accepted.

use crate::time::Instant;
use std::time::Duration;

/// Time by which a lease expires earlier at its holder than at its grantor.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// A lease that permits its holder to send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLease {
    epoch: u64,
    expires_at: Instant,
}

impl OrderLease {
    /// Creates a lease of this length, counted from the time at which it was requested.
    pub fn new(epoch: u64, requested_at: Instant, length: Duration) -> Self {
        Self { epoch, expires_at: requested_at + length.saturating_sub(LEASE_MARGIN) }
    }

    /// Epoch for an order; `None` after the lease has expired.
    pub fn epoch_at(&self, now: Instant) -> Option<u64> {
        (now < self.expires_at).then_some(self.epoch)
    }
}

/// Highest epoch that a receiver of orders has accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Accepts an order unless a higher epoch was accepted before; `false` if rejected.
    pub fn admit(&mut self, epoch: u64) -> bool {
        if epoch < self.highest {
            return false;
        }
        self.highest = epoch;
        true
    }
}

/// Schedules model loads within the bandwidth of the weight store.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    bytes_per_second: f64,
    free_at: Instant,
}

impl LoadPacer {
    /// Creates a pacer with a rate in bytes per second.
    pub fn new(bytes_per_second: f64) -> Self {
        Self { bytes_per_second, free_at: Instant::default() }
    }

    /// Reserves bandwidth for a load of `bytes` and returns its start time.
    pub fn reserve(&mut self, now: Instant, bytes: u64) -> Instant {
        let start = self.free_at.max(now);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        start
    }
}
