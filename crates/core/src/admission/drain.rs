//! Rate at which a queue drains, and retry times of refused callers.

use crate::time::Instant;
use std::time::Duration;

/// Time with waiting claims after which the rate is updated. Long enough for some slots to come
/// free, and short against the seconds for which callers wait.
const RATE_WINDOW: Duration = Duration::from_millis(200);
/// Weight of a new window in the running mean where the rate falls.
const FALL_WEIGHT: f64 = 0.2;
/// The same where the rate rises. It is higher, since callers that are refused because of an
/// outdated low rate can't raise it.
const RISE_WEIGHT: f64 = 0.5;
/// Idle time after which the rate is reset, since servers may have recovered meanwhile.
const MAX_IDLE: Duration = Duration::from_millis(500);
/// Upper bound of an expected wait.
const MAX_ESTIMATE: Duration = Duration::from_secs(3600);
/// Retry time while no slot comes free or no rate is measured yet. Callers that returned at once
/// would be refused again; one that returns a second after an outage loses little.
const RETRY_AFTER_WITHOUT_RATE: Duration = Duration::from_secs(1);
/// Lower bound of a retry time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Upper bound of a retry time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Slots granted to a queue per second, measured while claims wait.
#[derive(Debug)]
pub(super) struct DrainRate {
    per_second: Option<f64>,
    /// Time with waiting claims since the last update of the rate.
    waited: Duration,
    /// Slots granted since the last update of the rate.
    granted: u32,
    /// Time of the last call of [`Self::tick`].
    ticked_at: Instant,
    is_idle: bool,
    /// Refused callers that are expected to retry before later ones.
    expected_retries: f64,
    retries_updated_at: Instant,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            per_second: None,
            waited: Duration::ZERO,
            granted: 0,
            ticked_at: Instant::default(),
            is_idle: true,
            expected_retries: 0.0,
            retries_updated_at: Instant::default(),
        }
    }
}

impl DrainRate {
    /// Counts the time since the last call as waiting time, unless the queue was idle.
    pub(super) fn tick(&mut self, now: Instant) {
        let passed = now.since(self.ticked_at);
        self.ticked_at = now;
        if !std::mem::replace(&mut self.is_idle, false) {
            self.waited += passed;
        } else if passed >= MAX_IDLE {
            *self = Self { ticked_at: now, is_idle: false, ..Self::default() };
        }
        if self.waited >= RATE_WINDOW {
            self.update_rate();
        }
    }

    fn update_rate(&mut self) {
        let measured = f64::from(self.granted) / self.waited.as_secs_f64();
        let mean = |rate: f64| {
            let weight = if measured > rate { RISE_WEIGHT } else { FALL_WEIGHT };
            rate + (measured - rate) * weight
        };
        self.per_second = Some(self.per_second.map_or(measured, mean));
        (self.waited, self.granted) = (Duration::ZERO, 0);
    }

    /// Records that a claim got a slot.
    pub(super) fn note_granted(&mut self) {
        self.granted += 1;
    }

    /// Records that no claim waits: the time until the next one isn't counted.
    pub(super) fn set_idle(&mut self) {
        self.is_idle = true;
    }

    /// As [`Self::time_for`], but a measured rate of zero gives the longest wait instead of `None`.
    pub(super) fn time_with_competition(&self, claims: f64) -> Option<Duration> {
        if self.per_second == Some(0.0) {
            return Some(MAX_ESTIMATE);
        }
        self.time_for(claims)
    }

    /// Expected time until this number of claims have a slot; `None` without a positive rate.
    pub(super) fn time_for(&self, claims: f64) -> Option<Duration> {
        let rate = self.per_second.filter(|rate| *rate > 0.0)?;
        Some(Duration::from_secs_f64((claims / rate).min(MAX_ESTIMATE.as_secs_f64())))
    }

    /// Time after which a caller that is refused now should retry, behind `claims` waiting
    /// claims and the callers that were refused before it.
    pub(super) fn schedule_retry(&mut self, now: Instant, claims: usize) -> Duration {
        let Some(rate) = self.per_second.filter(|rate| *rate > 0.0) else { return RETRY_AFTER_WITHOUT_RATE };
        self.expected_retries =
            (self.expected_retries - now.since(self.retries_updated_at).as_secs_f64() * rate).max(0.0);
        self.retries_updated_at = now;
        let wait = self.time_for(claims as f64 + self.expected_retries).unwrap_or(MAX_RETRY_AFTER);
        if wait < MAX_RETRY_AFTER {
            self.expected_retries += 1.0;
        }
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
