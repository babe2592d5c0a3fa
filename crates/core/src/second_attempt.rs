//! When a request whose server is slow or silent is sent to a second server.
//!
//! The load that it answers: servers that differ in speed for good and for half a second
//! at a time, and servers that stop answering without closing a connection. A first piece
//! that takes longer, in proportion to what was expected, than nearly all others did is
//! overdue. A second attempt begins then, but not before the last time at which it would
//! nearly surely be in time: an answer that is in time gains nothing by coming sooner, and
//! most that are overdue come by themselves. The attempt that is overtaken is withdrawn.
//!
//! A second attempt is paid for by first attempts that brought their answer. Each node
//! earns by its own answers alone, so that over all nodes second attempts stay below that
//! fraction of the answers without a message.

use crate::dispatch::RouteKey;
use std::collections::HashMap;
use std::time::Duration;

/// Answered first attempts that pay for a second one.
pub const ANSWERS_PER_SECOND_ATTEMPT: u32 = 20;
/// Most second attempts that are saved up: about as many as a server that falls silent holds
/// of one node. What a node saves in calm hours must not meet its servers at once.
pub const MAX_SAVED_ATTEMPTS: u32 = 8;
/// Share of the answers that take less time, in parts of the expected, than an overdue one:
/// those beyond it are as many as second attempts are paid for.
const OVERDUE_QUANTILE: f64 = 1.0 - 1.0 / ANSWERS_PER_SECOND_ATTEMPT as f64;
/// What the time at a second server is taken to be.
const MEDIAN_QUANTILE: f64 = 0.5;
/// Answers of a route before the late quantile is known: one in so many is beyond it.
const MIN_ANSWERS: u32 = ANSWERS_PER_SECOND_ATTEMPT;
/// Least part of an answer's news in an estimate. The first ones count by their number.
const MIN_STEP: f64 = 0.05;
/// Shortest expected time: less than this is not told apart.
const MIN_EXPECTED: Duration = Duration::from_millis(1);
/// Routes whose scatter is kept.
const ROUTE_LIMIT: usize = 1024;

/// How answers of a route scatter round the time that was expected: logarithms of ratios.
#[derive(Clone, Copy, Debug, Default)]
struct RatioQuantiles {
    answers: u32,
    median: f64,
    overdue: f64,
}

impl RatioQuantiles {
    /// A first piece took so many times the expected time, or was not there by then. Only
    /// the order matters, so that an attempt that was overtaken tells as much as another.
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

/// One step of an estimated quantile: at rest, the share `quantile` of what is told is not
/// above it.
fn update_quantile(estimate: &mut f64, log_ratio: f64, quantile: f64, step: f64) {
    let below = if log_ratio <= *estimate { 1.0 } else { 0.0 };
    *estimate += step * (quantile - below);
}

/// An attempt that is sent now, within the time that its request has.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTime {
    /// Time in which its first piece is expected.
    pub expected: Duration,
    /// Time since the request was received.
    pub spent: Duration,
    /// Time since then within which an answer is in time.
    pub latency_target: Duration,
}

/// Second attempts of a node: how its routes' answers scatter, and what is paid for.
#[derive(Clone, Debug, Default)]
pub struct SecondAttempts {
    routes: HashMap<RouteKey, RatioQuantiles>,
    /// Answers that paid for no second attempt so far.
    saved_answers: u32,
}

impl SecondAttempts {
    /// Time after a first attempt at which a second one is due; `None` until answers of the
    /// route told how they scatter.
    pub fn due_after(&self, route: RouteKey, first: &AttemptTime) -> Option<Duration> {
        let quantiles = self.reliable_quantiles(route)?;
        let overdue = first.expected.max(MIN_EXPECTED).mul_f64(quantiles.overdue.exp());
        // A second server is taken to be as fast as the first one.
        let last_in_time = first.latency_target.saturating_sub(first.spent + overdue);
        Some(overdue.max(last_in_time))
    }

    /// Whether a second attempt is paid for.
    pub fn has_budget(&self) -> bool {
        self.saved_answers >= ANSWERS_PER_SECOND_ATTEMPT
    }

    /// Whether a second attempt begins now: it is paid for and can bring its first piece
    /// in time. If so it is taken from what is saved.
    pub fn begin(&mut self, route: RouteKey, second: &AttemptTime) -> bool {
        let Some(quantiles) = self.reliable_quantiles(route) else { return false };
        let estimated = second.expected.max(MIN_EXPECTED).mul_f64(quantiles.median.exp());
        if !self.has_budget() || second.spent + estimated > second.latency_target {
            return false;
        }
        self.saved_answers -= ANSWERS_PER_SECOND_ATTEMPT;
        true
    }

    /// A first attempt brought its first piece after `time`.
    pub fn note_answered(&mut self, route: RouteKey, expected: Duration, time: Duration) {
        self.saved_answers = (self.saved_answers + 1).min(ANSWERS_PER_SECOND_ATTEMPT * MAX_SAVED_ATTEMPTS);
        self.note(route, expected, time);
    }

    /// A first attempt had no first piece after `waited`, when a second one brought its own.
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
