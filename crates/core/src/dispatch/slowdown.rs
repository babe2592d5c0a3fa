//! How fast a server works now, next to the others of its service.
//!
//! The load that it answers: servers that differ by a factor of two for good, and by
//! as much again for half a second at a time, since they share their machines. Two
//! figures tell of it. A server tells its pace with each answer; that is worth as much
//! as paces of its service were seen to last. And the time between pieces of an answer,
//! as nodes measure it, tells how fast the server is whatever it says.

use crate::time::Instant;
use std::time::Duration;

/// Weight of a new pace or step in a server's running means. A server that answers five
/// times a second is known after some four seconds.
const MEAN_WEIGHT: f64 = 0.05;
/// Bounds of what is believed of one server, next to the usual: one wrong figure must
/// not keep all work away or draw all of it.
const MIN_RELATIVE_TIME: f64 = 0.25;
const MAX_RELATIVE_TIME: f64 = 10.0;
/// Oldest told pace of each class of ages; older ones are worth nothing.
const AGE_CLASSES: [Duration; 7] = [
    Duration::from_millis(25),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1600),
];
/// Squared deviations, in parts of the usual pace, that are taken to have agreed with
/// nothing: few pairs of paces prove nothing.
const PRIOR_SQUARES: f64 = 0.5;
/// What is kept of former pairs at each new one: some thousand pairs count.
const DECAY: f64 = 0.999;

/// How fast a server works, as it tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown {
    /// Time that work takes there at present, in percent of the usual.
    pub percent: u32,
    /// How long ago the server told it.
    pub age: Duration,
}

/// What a node tells the keeper of a server about its speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedUpdate {
    /// The last pace that the server told.
    pub slowdown: Option<Slowdown>,
    /// Time between two pieces of the last answer that ended.
    pub step: Option<Duration>,
}

/// For how long told paces of a service hold: the correlation of two paces of one server
/// by the time between them. With it the belief is the best linear one.
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
    /// Two paces of a server so far apart deviated so much from its mean.
    fn note(&mut self, apart: Duration, former: f64, later: f64) {
        let Some(class) = class_of(apart) else { return };
        let correlation = &mut self.classes[class];
        correlation.products = correlation.products * DECAY + former * later;
        correlation.squares = correlation.squares * DECAY + (former * former + later * later) / 2.0;
    }

    /// What a pace is worth at that age, 0 to 1.
    fn weight_at(&self, age: Duration) -> f64 {
        let Some(class) = class_of(age) else { return 0.0 };
        let correlation = &self.classes[class];
        (correlation.products / (correlation.squares + PRIOR_SQUARES)).clamp(0.0, 1.0)
    }
}

fn class_of(age: Duration) -> Option<usize> {
    AGE_CLASSES.iter().position(|oldest| age <= *oldest)
}

/// The speed of one server. Of constant size, and gone with the server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerSpeed {
    /// The last told pace, in parts of the usual, and when it was told.
    reported: Option<(Instant, f64)>,
    /// Mean of the told ones.
    mean: f64,
    /// Time that a step takes in parts of the service's, at the usual pace.
    relative_step: f64,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self { reported: None, mean: 1.0, relative_step: 1.0 }
    }
}

impl ServerSpeed {
    /// The server told a pace at that time; an older one than the last changes nothing.
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

    /// A step took so long in parts of the service's usual one, at the pace believed.
    pub(super) fn note_step(&mut self, ratio: f64) {
        let bounded = ratio.clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME);
        self.relative_step += (bounded - self.relative_step) * MEAN_WEIGHT;
    }

    /// Pace in parts of the usual, as believed now.
    pub(super) fn slowdown(&self, now: Instant, validity: &SlowdownValidity) -> f64 {
        let Some((at, reported)) = self.reported else { return 1.0 };
        self.mean + validity.weight_at(now.since(at)) * (reported - self.mean)
    }

    /// Time that work takes here now, in parts of the usual of the service.
    pub(super) fn time_factor(&self, now: Instant, validity: &SlowdownValidity) -> f64 {
        (self.relative_step * self.slowdown(now, validity)).clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME)
    }

    /// The last told pace, for other nodes.
    pub(super) fn reported(&self, now: Instant) -> Option<Slowdown> {
        let (at, slowdown) = self.reported?;
        Some(Slowdown { percent: (slowdown * 100.0).round() as u32, age: now.since(at) })
    }
}
