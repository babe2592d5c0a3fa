//! Deferrable work: how much of it a node starts, and how much is preempted.
//!
//! Several nodes place deferrable work on the same servers, by reports that are some hundred
//! milliseconds old. If each node filled all free slots that it sees, they would overfill the
//! servers together, and then all preempt at once. So a node starts no more than its share of
//! the free slots within the delay of the reports, and preempts only its share of the excess.

use crate::time::Instant;
use std::time::Duration;

/// Time until other nodes have received a report of a started or preempted run. A longer time
/// leaves slots unused, a shorter one preempts more runs.
const REPORT_DELAY: Duration = Duration::from_millis(450);
/// Share of each server's slots that new deferrable work leaves free for online requests.
const EARLY_RESERVE: f64 = 0.12;
/// Share of the slots that deferrable work close to its due time leaves free: not zero, since
/// an online request without a free slot waits until the preemption is done.
const LATE_RESERVE: f64 = 0.05;
/// Share of the time from the acceptance of a job to its due time after which the reserve is
/// smallest.
const LATE_SHARE: f64 = 0.6;

/// Returns the share of each server's slots that overdue work leaves free: the same as new
/// work, so that work that can still be finished in time goes first.
pub fn reserve_of_overdue() -> f64 {
    EARLY_RESERVE
}

/// Returns the share of each server's slots that work leaves free after the part `passed` (0 to
/// 1, or more) of the time to its due time.
pub fn reserve_of(passed: f64) -> f64 {
    let progress = (passed / LATE_SHARE).clamp(0.0, 1.0);
    EARLY_RESERVE + (LATE_RESERVE - EARLY_RESERVE) * progress
}

/// Budget that limits how many deferrable runs a node starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartBudget {
    allowance: f64,
    filled_at: Option<Instant>,
    /// Time of the first refill after a gap longer than `REPORT_DELAY`.
    resumed_at: Instant,
}

impl StartBudget {
    /// Adds to the budget for the time since the last refill. `free_slots` is the number of
    /// runs that could start, and `share`, 0 to 1, this node's part according to the reports of
    /// other nodes. After a gap in refills these reports may be incomplete; `share` is then
    /// limited to `even`, the part of a node if all nodes get equal parts.
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

    /// Takes one start from the budget; `false` if none is left.
    pub fn take(&mut self) -> bool {
        let left = self.allowance >= 1.0;
        if left {
            self.allowance -= 1.0;
        }
        left
    }
}

/// Deferrable runs at one server, and the excess of its load over its slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Congestion {
    /// Requests beyond the slots; negative if slots are free.
    pub excess: f64,
    /// Deferrable runs of all nodes.
    pub deferrable: u32,
}

impl Congestion {
    pub(super) fn new(free_slots: f64, deferrable: u32) -> Self {
        Self { excess: -free_slots, deferrable }
    }

    /// Returns how many of its `own` runs a node has to preempt. `draw` is a random number from
    /// 0 to 1 by which a fraction is rounded up or down.
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

/// Time of the last preemption at each server. The effect of a preemption is visible only after
/// other nodes have reported.
#[derive(Clone, Debug, Default)]
pub struct RecentPreemptions {
    at: std::collections::HashMap<std::sync::Arc<str>, Instant>,
}

impl RecentPreemptions {
    /// Whether runs may be preempted at a server again.
    pub fn is_due(&self, now: Instant, server: &str) -> bool {
        self.at.get(server).is_none_or(|at| now.since(*at) >= REPORT_DELAY)
    }

    /// Records a preemption at a server.
    pub fn note(&mut self, now: Instant, server: std::sync::Arc<str>) {
        self.at.retain(|_, at| now.since(*at) < REPORT_DELAY);
        self.at.insert(server, now);
    }
}
