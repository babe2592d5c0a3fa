//! How often a server fails at what it runs.
//!
//! A server may take requests, look sound and fail at part of them. It answers
//! such requests fast, and so looks idle and would be chosen more often. A few
//! failures prove nothing: some requests fail at any server.

use crate::time::Instant;
use std::time::Duration;

/// Time in which the memory of outcomes falls to a third.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Successes that are taken for granted, so that one failure means little.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Share of failures, in percent, up to which a server counts as sound.
const TOLERATED_PERCENT: u32 = 25;
/// Seconds by which a server that always fails is worse than any other.
const ALWAYS_FAILING_COST: f64 = 2.0;

/// Outcomes at a server, old ones forgotten.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    failures: f64,
    successes: f64,
    noted_at: Instant,
}

impl FailureRate {
    /// The server failed at a request, or did not.
    pub(super) fn note(&mut self, now: Instant, failed: bool) {
        let decay = self.decay(now);
        self.failures = self.failures * decay + f64::from(u8::from(failed));
        self.successes = self.successes * decay + f64::from(u8::from(!failed));
        self.noted_at = now;
    }

    /// Share of failures in percent; zero where it is tolerated.
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

/// Seconds by which a server is worse that fails at so many in a hundred.
pub(super) fn failure_rate_cost(percent: u32) -> f64 {
    f64::from(percent.min(100)) / 100.0 * ALWAYS_FAILING_COST
}
