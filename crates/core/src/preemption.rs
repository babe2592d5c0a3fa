//! Selection of the deferrable run that is preempted for an online request.
//!
//! A preempted item waits for another slot, and its prompt is prefilled again. That is worst
//! for an item that would have ended soon, and for one that was preempted before.

use crate::time::Instant;
use std::time::Duration;

/// A run expected to end within this time is preempted only if all others are too: preempting
/// it would gain little and cost its item more.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(300);

/// Properties of a run that can be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOutlook {
    /// Whether the item can no longer be finished by its due time.
    pub overdue: bool,
    /// Due time of the job, in milliseconds since 1970.
    pub due_ms: u64,
    /// Expected end of the run if it is not preempted; the start of the run if no estimate
    /// exists.
    pub expected_end: Instant,
    /// Whether an earlier run of the item was preempted.
    pub preempted_before: bool,
    /// Sequence number of the run's start.
    pub number: u64,
}

impl RunOutlook {
    /// Sort key; the run with the highest key is preempted first: runs that don't end soon,
    /// overdue ones, items not preempted before, the latest due time, the latest start.
    fn rank(&self, now: Instant) -> (bool, bool, bool, u64, u64) {
        let ends_late = self.expected_end > now + MIN_REMAINING_TIME;
        (ends_late, self.overdue, !self.preempted_before, self.due_ms, self.number)
    }
}

/// Returns the index of the run to preempt first; `None` if there are no runs.
pub fn first_to_preempt(now: Instant, runs: &[RunOutlook]) -> Option<usize> {
    (0..runs.len()).max_by_key(|position| runs[*position].rank(now))
}
