//! The clocks of a process, in the time that the state machines of
//! `latchwheel-core` take as a value.

pub mod planned_stop;
pub mod process;

use latchwheel_core::time::{Instant, WallTime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The clock's first reading: so much later than the origin that subtracting
/// the times that decisions look back never reaches the origin.
const FIRST_READING: Duration = Duration::from_secs(60);

/// Monotonic time since the process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: std::time::Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { started: std::time::Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        Instant::default() + FIRST_READING + self.started.elapsed()
    }

    /// The present time of day.
    pub fn wall_time(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since.as_millis() as u64)
    }
}
