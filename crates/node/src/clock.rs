//! The node's monotonic clock.

use latchwheel_core::time::Instant;
use std::time::Duration;

/// Monotonic time since the node's start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { origin: std::time::Instant::now() }
    }

    /// The present time; starts at one second, so that subtracting short
    /// times never reaches the origin.
    pub(crate) fn now(&self) -> Instant {
        Instant::default() + Duration::from_secs(1) + self.origin.elapsed()
    }
}
