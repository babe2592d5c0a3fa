//! Prediction of the wait of a new request from the observed service time.

use std::time::Duration;

const SMOOTHING: f64 = 0.05;

/// Smoothed time that a slot is taken by one online request.
#[derive(Debug, Default)]
pub(super) struct WaitEstimate {
    service_seconds: Option<f64>,
}

impl WaitEstimate {
    pub(super) fn note_service_time(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        let present = self.service_seconds.unwrap_or(sample);
        self.service_seconds = Some(present + (sample - present) * SMOOTHING);
    }

    /// Wait of the request at this place of the queue, with so many slots
    /// that each take the next request after one service time.
    pub(super) fn predict(&self, place: u32, slots: u32) -> Duration {
        let seconds = self.service_seconds.unwrap_or(0.0) * f64::from(place) / f64::from(slots.max(1));
        Duration::from_secs_f64(seconds)
    }
}
