//! Deferrable work: how much of it a node starts, and how much gives way.
//!
//! Several nodes place deferrable work on the same servers, each by what it
//! heard of the others a moment ago. If each took all the room that it sees,
//! they would fill it as many times as there are nodes, and then all give way
//! at once. So a node starts no more than its share of the room in the time in
//! which the others hear of it, and gives way only by its share of the excess.

use crate::time::Instant;
use std::time::Duration;

/// Time in which other nodes hear of what was started. Longer ones leave slots
/// unused, with shorter ones more runs are broken off (tests/deferrable.rs
/// prints both).
const REPORT_DELAY: Duration = Duration::from_millis(450);
/// Share of every server's slots that new work leaves to urgent requests.
const EARLY_RESERVE: f64 = 0.12;
/// The share that work leaves which is in danger of being late: some, since a
/// request that finds no free slot waits until work has given way.
const LATE_RESERVE: f64 = 0.05;
/// The reserve shrinks until this share of the time to the due time is over.
const LATE_SHARE: f64 = 0.6;

/// Share of every server's slots that work leaves free which can't be in time any more:
/// as much as new work, so that at all nodes what is urgent goes before it.
pub fn reserve_of_overdue() -> f64 {
    EARLY_RESERVE
}

/// Share of every server's slots that work leaves free, of whose time to its
/// due time `passed` (0 to 1, or more) is over.
pub fn reserve_of(passed: f64) -> f64 {
    let progress = (passed / LATE_SHARE).clamp(0.0, 1.0);
    EARLY_RESERVE + (LATE_RESERVE - EARLY_RESERVE) * progress
}

/// How much a node may start.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartBudget {
    allowance: f64,
    filled_at: Option<Instant>,
    /// When it was filled again after a pause.
    resumed_at: Instant,
}

impl StartBudget {
    /// Time passed; there is `free_slots` for so many runs, of which this node may
    /// take a `share` of 0 to 1 by what others told. After a pause they may
    /// have work too that isn't heard of yet: then `even` is the share, the one
    /// of a node of equals.
    pub fn refill(&mut self, now: Instant, free_slots: f64, share: f64, even: f64) {
        let passed = self.filled_at.map_or(Duration::MAX, |at| now.since(at));
        self.filled_at = Some(now);
        if passed > REPORT_DELAY {
            self.resumed_at = now;
        }
        let has_reports = now.since(self.resumed_at) >= REPORT_DELAY;
        let share = (free_slots * if has_reports { share } else { share.min(even) }).max(1.0);
        let gained = share * passed.min(REPORT_DELAY).as_secs_f64() / REPORT_DELAY.as_secs_f64();
        self.allowance = (self.allowance + gained).min(share);
    }

    /// Takes one start; `false` if none is left.
    pub fn take(&mut self) -> bool {
        let left = self.allowance >= 1.0;
        if left {
            self.allowance -= 1.0;
        }
        left
    }
}

/// Deferrable runs at one server, and the room that they take from others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Congestion {
    /// Requests beyond the slots; negative where some are free.
    pub excess: f64,
    /// Deferrable runs of all nodes.
    pub deferrable: u32,
}

impl Congestion {
    pub(super) fn new(free_slots: f64, deferrable: u32) -> Self {
        Self { excess: -free_slots, deferrable }
    }

    /// How many of `own` runs a node breaks off. `draw` is a random number
    /// from 0 to 1: a part of a run is broken off as often as it is large.
    pub fn runs_to_preempt(&self, own: u32, draw: f64) -> u32 {
        if self.excess <= 0.0 || self.deferrable == 0 {
            return 0;
        }
        let share = self.excess * f64::from(own) / f64::from(self.deferrable.max(own));
        let whole = share.floor();
        let rest = if draw < share - whole { 1.0 } else { 0.0 };
        (whole + rest).min(f64::from(own)) as u32
    }
}

/// When work gave way at a server last: what it did is heard of by others, and
/// seen here, only after a while.
#[derive(Clone, Debug, Default)]
pub struct RecentPreemptions {
    at: std::collections::HashMap<std::sync::Arc<str>, Instant>,
}

impl RecentPreemptions {
    /// Whether work may give way again at a server.
    pub fn is_due(&self, now: Instant, server: &str) -> bool {
        self.at.get(server).is_none_or(|at| now.since(*at) >= REPORT_DELAY)
    }

    /// Work gave way at a server.
    pub fn note(&mut self, now: Instant, server: std::sync::Arc<str>) {
        self.at.retain(|_, at| now.since(*at) < REPORT_DELAY);
        self.at.insert(server, now);
    }
}
