//! The process's monotonic clock.

use latchwheel_core::time::Instant;
use std::time::Duration;

/// Monotonic time since the process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { origin: std::time::Instant::now() }
    }

    /// The present time; starts at one minute, so that subtracting short
    /// times never reaches the origin.
    pub fn now(&self) -> Instant {
        Instant::default() + Duration::from_secs(60) + self.origin.elapsed()
    }
}
