//! Failure rate of a server.
//!
//! A server may accept requests, appear healthy and fail part of them. It answers failed
//! requests fast, so that it looks idle and would be selected more often. A few failures are
//! tolerated, since some requests fail at any server.

use crate::time::Instant;
use std::time::Duration;

/// Time constant of the exponential decay of outcomes.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Successes added to the counted ones, so that a single failure has little effect.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Failure rate, in percent, up to which a server counts as healthy.
const TOLERATED_PERCENT: u32 = 25;
/// Cost in seconds of a server that fails all requests.
const ALWAYS_FAILING_COST: f64 = 2.0;

/// Exponentially decayed outcomes at a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    failures: f64,
    successes: f64,
    noted_at: Instant,
}

impl FailureRate {
    pub(super) fn note(&mut self, now: Instant, failed: bool) {
        let decay = self.decay(now);
        self.failures = self.failures * decay + f64::from(u8::from(failed));
        self.successes = self.successes * decay + f64::from(u8::from(!failed));
        self.noted_at = now;
    }

    /// Failure rate in percent; zero if it is tolerated.
    pub(super) fn percent(&self, now: Instant) -> u32 {
        let decay = self.decay(now);
        let failures = self.failures * decay;
        let all = failures + self.successes * decay + PRIOR_SUCCESSES;
        let percent = (failures / all * 100.0) as u32;
        if percent > TOLERATED_PERCENT {
            percent
        } else {
            0
        }
    }

    fn decay(&self, now: Instant) -> f64 {
        (-now.since(self.noted_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Cost in seconds of a server with this failure rate.
pub(super) fn failure_rate_cost(percent: u32) -> f64 {
    f64::from(percent.min(100)) / 100.0 * ALWAYS_FAILING_COST
}
