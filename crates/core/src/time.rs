//! Monotonic time and wall time as plain values.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in monotonic time, in microseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Wall time in milliseconds since the Unix epoch, for values that are shared between
/// nodes or outlive a restart. Clocks of nodes may differ by seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Time from `now` until this time, or zero if it has passed.
    pub fn left_at(self, now: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(now.0))
    }
}

impl Add<Duration> for WallTime {
    type Output = WallTime;

    fn add(self, duration: Duration) -> WallTime {
        WallTime(self.0.saturating_add(duration.as_millis() as u64))
    }
}

impl Sub<Duration> for WallTime {
    type Output = WallTime;

    fn sub(self, duration: Duration) -> WallTime {
        WallTime(self.0.saturating_sub(duration.as_millis() as u64))
    }
}
