//! Predicts the wait of a new request from observed service times.

use std::time::Duration;

/// Weight of a new sample in the smoothed service time.
const SMOOTHING: f64 = 0.05;

/// Smoothed time for which one online request occupies a slot.
#[derive(Debug, Default)]
pub(super) struct WaitEstimate {
    service_seconds: Option<f64>,
}

impl WaitEstimate {
    pub(super) fn note_service_time(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        let old = self.service_seconds.unwrap_or(sample);
        self.service_seconds = Some(old + (sample - old) * SMOOTHING);
    }

    /// Predicted wait at a queue position, counted from one, with `slots` slots in use.
    pub(super) fn predict(&self, position: u32, slots: u32) -> Duration {
        let seconds = self.service_seconds.unwrap_or(0.0) * f64::from(position) / f64::from(slots.max(1));
        Duration::from_secs_f64(seconds)
    }
}
