//! Requests that can't be in time any more: held until a slot is free, or refused.
//!
//! Where more requests come than can be served in time, first come first served makes
//! nearly all of them late. So those that would be late wait apart until a slot is
//! free, and those that can be in time go before them. On average nobody waits
//! longer, and nobody is sent away only to come back. That is worth something only
//! where the rush ends soon: where held requests were mostly refused in the end,
//! others are refused at once, but for a few that find out whether it is over.

use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Part of its latency target that a request waits for a slot at most and can be in
/// time: the rest is for reading the prompt and the ways, and for slots that are free
/// later than expected.
const TIMELY_WAIT_PART: f64 = 0.6;
/// Part of the time that a request has left in which it is held at most: it has to be
/// served after that, or to ask again.
const HOLD_PART: f64 = 0.5;
/// Weight of one outcome in the share of held requests that were served.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Held requests are worth while if at least this share of the last ones was served.
const MIN_SERVED_SHARE: f64 = 0.5;
/// Where they are not, so many in a hundred are held still, to find out.
const PROBE_PERCENT: f64 = 10.0;
/// Time after which former outcomes prove nothing.
const OUTCOME_TTL: Duration = Duration::from_secs(5);

/// Longest wait for a slot with which a request can be in time.
pub fn timely_wait(latency_target: Duration) -> Duration {
    latency_target.mul_f64(TIMELY_WAIT_PART)
}

/// Longest time to hold a request that has so much time left, and whose caller stays
/// for `caller_timeout` more without an answer, if that is known.
pub fn max_hold(left: Duration, caller_timeout: Option<Duration>) -> Duration {
    caller_timeout.map_or(left, |caller_timeout| left.min(caller_timeout)).mul_f64(HOLD_PART)
}

#[derive(Clone, Copy, Debug)]
struct Outcomes {
    served: f64,
    at: Instant,
}

/// How requests ended that were held, by service.
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

    /// A held request was served in the end, or refused.
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
