//! Speed of a server compared with the others of its service.
//!
//! Servers differ lastingly in speed, and slow down for short times when they share a machine
//! with other processes. The estimate combines two measurements. A server reports its slowdown
//! with each response; the weight of a report depends on how well earlier slowdowns of the
//! service predicted later ones. And nodes measure the time between the pieces of an answer,
//! which does not depend on what the server reports.

use crate::time::Instant;
use std::time::Duration;

/// Weight of a new slowdown or step time in a server's exponential moving averages.
const MEAN_WEIGHT: f64 = 0.05;
/// Bounds on the relative time of one server: a single wrong value must neither keep all work
/// away nor attract all of it.
const MIN_RELATIVE_TIME: f64 = 0.25;
const MAX_RELATIVE_TIME: f64 = 10.0;
/// Upper bound of the age of reports in each age class; older reports have no weight.
const AGE_CLASSES: [Duration; 7] = [
    Duration::from_millis(25),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1600),
];
/// Squared deviations without correlation that each class starts with, so that a few pairs of
/// slowdowns have little weight.
const PRIOR_SQUARES: f64 = 0.5;
/// Decay factor applied to earlier pairs at each new one.
const DECAY: f64 = 0.999;

/// Slowdown that a server reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown {
    /// Time that work takes at the server, in percent of the usual.
    pub percent: u32,
    /// Time since the server reported it.
    pub age: Duration,
}

/// Speed data that a node sends to the tracker of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedUpdate {
    /// Last slowdown that the server reported.
    pub slowdown: Option<Slowdown>,
    /// Time between two pieces of the last answer that ended.
    pub step: Option<Duration>,
}

/// Validity of the reported slowdowns of a service by age: the correlation of two slowdowns of
/// one server by the time between them, which gives the best linear estimate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowdownValidity {
    classes: [Correlation; AGE_CLASSES.len()],
}

#[derive(Clone, Copy, Debug, Default)]
struct Correlation {
    products: f64,
    squares: f64,
}

impl SlowdownValidity {
    /// Records two slowdowns of a server, as deviations from its mean, reported `apart` from
    /// each other.
    fn note(&mut self, apart: Duration, former: f64, later: f64) {
        let Some(class) = class_of(apart) else { return };
        let correlation = &mut self.classes[class];
        correlation.products = correlation.products * DECAY + former * later;
        correlation.squares = correlation.squares * DECAY + (former * former + later * later) / 2.0;
    }

    /// Weight, 0 to 1, of a slowdown reported `age` ago.
    fn weight_at(&self, age: Duration) -> f64 {
        let Some(class) = class_of(age) else { return 0.0 };
        let correlation = &self.classes[class];
        (correlation.products / (correlation.squares + PRIOR_SQUARES)).clamp(0.0, 1.0)
    }
}

fn class_of(age: Duration) -> Option<usize> {
    AGE_CLASSES.iter().position(|oldest| age <= *oldest)
}

/// Estimated speed of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerSpeed {
    /// Last reported slowdown, relative to the usual time, and when it was reported.
    reported: Option<(Instant, f64)>,
    /// Moving average of the reported slowdowns.
    mean: f64,
    /// Step time without the slowdown, relative to the mean of the service.
    relative_step: f64,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self { reported: None, mean: 1.0, relative_step: 1.0 }
    }
}

impl ServerSpeed {
    /// Records a slowdown that the server reported at `at`; ignored if it is older than the
    /// last one.
    pub(super) fn note_slowdown(&mut self, at: Instant, percent: u32, validity: &mut SlowdownValidity) {
        let slowdown = (f64::from(percent) / 100.0).clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME);
        match self.reported {
            Some((former_at, _)) if at <= former_at => return,
            Some((former_at, former)) => validity.note(at.since(former_at), former - self.mean, slowdown - self.mean),
            None => self.mean = slowdown,
        }
        self.mean += (slowdown - self.mean) * MEAN_WEIGHT;
        self.reported = Some((at, slowdown));
    }

    /// Records a step time without the slowdown, relative to the mean of the service.
    pub(super) fn note_step(&mut self, ratio: f64) {
        let bounded = ratio.clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME);
        self.relative_step += (bounded - self.relative_step) * MEAN_WEIGHT;
    }

    /// Estimated present slowdown, relative to the usual time.
    pub(super) fn slowdown(&self, now: Instant, validity: &SlowdownValidity) -> f64 {
        let Some((at, reported)) = self.reported else { return 1.0 };
        self.mean + validity.weight_at(now.since(at)) * (reported - self.mean)
    }

    /// Estimated time that work takes now, relative to the usual of the service.
    pub(super) fn time_factor(&self, now: Instant, validity: &SlowdownValidity) -> f64 {
        (self.relative_step * self.slowdown(now, validity)).clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME)
    }

    /// Last reported slowdown, for other nodes.
    pub(super) fn reported(&self, now: Instant) -> Option<Slowdown> {
        let (at, slowdown) = self.reported?;
        Some(Slowdown { percent: (slowdown * 100.0).round() as u32, age: now.since(at) })
    }
}
