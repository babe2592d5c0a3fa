//! Decides when a request with a slow or unresponsive server is sent to a second server.
//!
//! A first piece that takes longer than nearly all others, relative to its expected time, is
//! overdue. A second attempt begins then, but not before the last time at which it is likely
//! to meet the latency target, since most overdue answers still arrive. The slower attempt is
//! withdrawn.
//!
//! Answered first attempts earn the budget for second ones. Each node counts only its own
//! answers, which bounds the share of second attempts over all nodes without messages.

use crate::dispatch::RouteKey;
use std::collections::HashMap;
use std::time::Duration;

/// Number of answered first attempts that allow one second attempt.
pub const ANSWERS_PER_SECOND_ATTEMPT: u32 = 20;
/// Maximum number of saved second attempts: about the number of requests that one node has
/// at a server. It bounds the burst of second attempts after a quiet period.
pub const MAX_SAVED_ATTEMPTS: u32 = 8;
/// Quantile of the ratio of measured to expected time beyond which an answer is overdue. The
/// share of overdue answers equals the share of second attempts allowed.
const OVERDUE_QUANTILE: f64 = 1.0 - 1.0 / ANSWERS_PER_SECOND_ATTEMPT as f64;
/// Quantile used to estimate the time at a second server.
const MEDIAN_QUANTILE: f64 = 0.5;
/// Number of answers of a route after which its quantiles are used.
const MIN_ANSWERS: u32 = ANSWERS_PER_SECOND_ATTEMPT;
/// Minimum step of the quantile estimates. The first answers have larger steps.
const MIN_STEP: f64 = 0.05;
/// Lower bound applied to expected times.
const MIN_EXPECTED: Duration = Duration::from_millis(1);
/// Maximum number of routes with stored quantiles.
const ROUTE_LIMIT: usize = 1024;

/// Estimated quantiles of ln(measured time / expected time) over the answers of a route.
#[derive(Clone, Copy, Debug, Default)]
struct RatioQuantiles {
    answers: u32,
    median: f64,
    overdue: f64,
}

impl RatioQuantiles {
    /// Records the ratio of measured to expected time of a first piece, or of the time waited
    /// by an overtaken attempt. Only comparisons with the estimate matter, so such a lower
    /// bound counts like a measured time.
    fn note(&mut self, ratio: f64) {
        let log_ratio = ratio.ln();
        if self.answers == 0 {
            (self.median, self.overdue) = (log_ratio, log_ratio);
        }
        self.answers = self.answers.saturating_add(1);
        let step = MIN_STEP.max(1.0 / f64::from(self.answers));
        update_quantile(&mut self.median, log_ratio, MEDIAN_QUANTILE, step);
        update_quantile(&mut self.overdue, log_ratio, OVERDUE_QUANTILE, step);
    }

    fn is_reliable(&self) -> bool {
        self.answers >= MIN_ANSWERS
    }
}

/// Moves an estimated quantile by one step. In equilibrium, the share `quantile` of the values
/// does not exceed the estimate.
fn update_quantile(estimate: &mut f64, log_ratio: f64, quantile: f64, step: f64) {
    let below = if log_ratio <= *estimate { 1.0 } else { 0.0 };
    *estimate += step * (quantile - below);
}

/// Times of an attempt that is being sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTime {
    /// Expected time until the first piece.
    pub expected: Duration,
    /// Time since the request was received.
    pub spent: Duration,
    /// Time since the request was received within which the first piece is in time.
    pub latency_target: Duration,
}

/// Quantiles of the routes of a node, and its budget for second attempts.
#[derive(Clone, Debug, Default)]
pub struct SecondAttempts {
    routes: HashMap<RouteKey, RatioQuantiles>,
    /// Answers not yet spent on a second attempt.
    saved_answers: u32,
}

impl SecondAttempts {
    /// Time after the start of a first attempt at which a second one is due; `None` until the
    /// route has enough answers.
    pub fn due_after(&self, route: RouteKey, first: &AttemptTime) -> Option<Duration> {
        let quantiles = self.reliable_quantiles(route)?;
        let overdue = first.expected.max(MIN_EXPECTED).mul_f64(quantiles.overdue.exp());
        // Assumes that the second server is as fast as the first.
        let last_in_time = first.latency_target.saturating_sub(first.spent + overdue);
        Some(overdue.max(last_in_time))
    }

    /// Whether the budget allows a second attempt.
    pub fn has_budget(&self) -> bool {
        self.saved_answers >= ANSWERS_PER_SECOND_ATTEMPT
    }

    /// Whether a second attempt may begin now: the budget allows it, and its first piece is
    /// expected in time. If so, the budget is charged.
    pub fn begin(&mut self, route: RouteKey, second: &AttemptTime) -> bool {
        let Some(quantiles) = self.reliable_quantiles(route) else { return false };
        let estimated = second.expected.max(MIN_EXPECTED).mul_f64(quantiles.median.exp());
        if !self.has_budget() || second.spent + estimated > second.latency_target {
            return false;
        }
        self.saved_answers -= ANSWERS_PER_SECOND_ATTEMPT;
        true
    }

    /// Records that the first piece of a first attempt arrived after `time`.
    pub fn note_answered(&mut self, route: RouteKey, expected: Duration, time: Duration) {
        self.saved_answers = (self.saved_answers + 1).min(ANSWERS_PER_SECOND_ATTEMPT * MAX_SAVED_ATTEMPTS);
        self.note(route, expected, time);
    }

    /// Records that a first attempt had no first piece after `waited`, when that of the second
    /// attempt arrived.
    pub fn note_overtaken(&mut self, route: RouteKey, expected: Duration, waited: Duration) {
        self.note(route, expected, waited);
    }

    fn note(&mut self, route: RouteKey, expected: Duration, time: Duration) {
        if self.routes.len() >= ROUTE_LIMIT && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        let expected = expected.max(MIN_EXPECTED).as_secs_f64();
        let ratio = (time.as_secs_f64() / expected).max(f64::MIN_POSITIVE);
        self.routes.entry(route).or_default().note(ratio);
    }

    fn reliable_quantiles(&self, route: RouteKey) -> Option<&RatioQuantiles> {
        self.routes.get(&route).filter(|quantiles| quantiles.is_reliable())
    }
}
