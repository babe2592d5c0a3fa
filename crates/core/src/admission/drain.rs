//! How fast a queue drains, and when a refused caller finds room.

use crate::time::Instant;
use std::time::Duration;

/// Time with waiting claims over which slots are counted before the rate is renewed: long
/// enough for some slots to come free, short against the seconds that callers stay.
const RATE_WINDOW: Duration = Duration::from_millis(200);
/// Weight of a new window in the running mean: a change shows within five windows.
const FALL_WEIGHT: f64 = 0.2;
/// The same where more slots come free than expected. Callers who are refused by a rate of
/// a time without slots can't show that it is over.
const RISE_WEIGHT: f64 = 0.5;
/// A rate that was measured before a rest of this time tells nothing: servers may have come
/// back meanwhile.
const MAX_IDLE: Duration = Duration::from_millis(500);
/// A wait beyond this is told as this.
const MAX_ESTIMATE: Duration = Duration::from_secs(3600);
/// Told while no slot comes free, or none was counted yet: callers that came back at once
/// would be refused again, and one that comes a second after an outage loses little.
const RETRY_AFTER_WITHOUT_RATE: Duration = Duration::from_secs(1);
/// Bounds on the time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Slots that a queue is given in a second, measured while claims wait.
#[derive(Debug)]
pub(super) struct DrainRate {
    per_second: Option<f64>,
    /// Time with waiting claims, and the slots that were given, since the last renewal.
    waited: Duration,
    granted: u32,
    /// When time passed last while claims waited.
    ticked_at: Instant,
    /// No claim waits.
    is_idle: bool,
    /// Refused callers that will be back and for which room is counted.
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
    /// Time passes while claims wait, or the first one comes.
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

    /// A claim got a slot.
    pub(super) fn note_granted(&mut self) {
        self.granted += 1;
    }

    /// No claim waits any more: the time until the next one tells nothing.
    pub(super) fn set_idle(&mut self) {
        self.is_idle = true;
    }

    /// As [`Self::time_for`], where other claims do get slots: those of which none got one
    /// wait for ever.
    pub(super) fn time_with_competition(&self, claims: f64) -> Option<Duration> {
        if self.per_second == Some(0.0) {
            return Some(MAX_ESTIMATE);
        }
        self.time_for(claims)
    }

    /// Expected time until so many claims have a slot; `None` if it can't be told yet.
    pub(super) fn time_for(&self, claims: f64) -> Option<Duration> {
        let rate = self.per_second.filter(|rate| *rate > 0.0)?;
        Some(Duration::from_secs_f64((claims / rate).min(MAX_ESTIMATE.as_secs_f64())))
    }

    /// When a caller that is refused now should come back, behind so many claims and those
    /// that were told to come back before it.
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
