//! Requests that can't meet their latency target any more: held until a slot is free,
//! or refused.
//!
//! Under overload, first come first served makes nearly all requests late. So late
//! requests are held, and those that can be in time are served first. Holding helps only
//! where the overload ends soon: while most held requests of a service are refused in
//! the end, new ones are refused at once, except for a few probes.

use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Part of the latency target that a request may wait for a slot and still be in time; the
/// rest is for prefill, the network and slots that come free later than expected.
const TIMELY_WAIT_PART: f64 = 0.6;
/// Part of a request's remaining time for which it is held at most: the rest is for serving
/// or retrying it.
const HOLD_PART: f64 = 0.5;
/// Weight of one outcome in the running share of held requests that were served.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Requests are held while at least this share of the held ones was served.
const MIN_SERVED_SHARE: f64 = 0.5;
/// Percentage of requests that are held as probes while the share is lower.
const PROBE_PERCENT: f64 = 10.0;
/// Time after which outcomes are no longer used.
const OUTCOME_TTL: Duration = Duration::from_secs(5);

/// Longest wait for a slot with which a request can meet its latency target.
pub fn timely_wait(latency_target: Duration) -> Duration {
    latency_target.mul_f64(TIMELY_WAIT_PART)
}

/// Longest time to hold a request with `left` until its deadline, whose caller waits for
/// another `caller_timeout`, if that is set.
pub fn max_hold(left: Duration, caller_timeout: Option<Duration>) -> Duration {
    caller_timeout.map_or(left, |caller_timeout| left.min(caller_timeout)).mul_f64(HOLD_PART)
}

#[derive(Clone, Copy, Debug)]
struct Outcomes {
    served: f64,
    at: Instant,
}

/// Share of held requests that were served, by service.
#[derive(Debug, Default)]
pub struct HoldOutcomes {
    services: HashMap<Arc<str>, Outcomes>,
}

impl HoldOutcomes {
    /// Whether to hold a request; `draw` is a random number from 0 to 1.
    pub fn should_hold(&self, now: Instant, service: &str, draw: f64) -> bool {
        let recent = self.services.get(service).filter(|outcomes| now.since(outcomes.at) < OUTCOME_TTL);
        recent.is_none_or(|outcomes| outcomes.served >= MIN_SERVED_SHARE || draw * 100.0 < PROBE_PERCENT)
    }

    /// Records whether a held request was served or refused.
    pub fn note(&mut self, now: Instant, service: &Arc<str>, served: bool) {
        let outcomes = self.services.entry(service.clone()).or_insert(Outcomes { served: 1.0, at: now });
        if now.since(outcomes.at) >= OUTCOME_TTL {
            outcomes.served = 1.0;
        }
        let outcome = if served { 1.0 } else { 0.0 };
        outcomes.served += (outcome - outcomes.served) * OUTCOME_WEIGHT;
        outcomes.at = now;
    }
}
