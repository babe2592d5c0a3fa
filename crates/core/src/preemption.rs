//! Which run of a batch item gives way to an online request.
//!
//! The load that this answers: peaks of online requests that take most slots at once,
//! every few seconds. What a cut costs an item is a wait and the reading of its prompt;
//! it is worst for an item that would have freed its slot by itself in a moment, and for
//! one that was cut before.

use crate::time::Instant;
use std::time::Duration;

/// A run that is expected to end within this time is let end: its item would wait for
/// longer until it has another place and its prompt is read again.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(300);

/// What is known of a run that can give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOutlook {
    /// Whether its item can't be in time any more.
    pub overdue: bool,
    /// When its job is due, in milliseconds since 1970.
    pub due_ms: u64,
    /// When it is expected to end without a pause; its start, if no time is known.
    pub expected_end: Instant,
    /// Whether an earlier run of the item was broken off.
    pub preempted_before: bool,
    /// Rises with the starts of runs.
    pub number: u64,
}

impl RunOutlook {
    /// Runs give way in falling order of this: those that are not about to end, overdue
    /// ones, those that were not cut before, the one that is due last, the latest.
    fn rank(&self, now: Instant) -> (bool, bool, bool, u64, u64) {
        let ends_late = self.expected_end > now + MIN_REMAINING_TIME;
        (ends_late, self.overdue, !self.preempted_before, self.due_ms, self.number)
    }
}

/// Position of the run that gives way first; `None` if there is none.
pub fn first_to_preempt(now: Instant, runs: &[RunOutlook]) -> Option<usize> {
    (0..runs.len()).max_by_key(|position| runs[*position].rank(now))
}
