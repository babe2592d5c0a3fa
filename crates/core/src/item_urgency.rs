//! Order in which items of a batch job start, and which of them count as overdue.
//!
//! Under overload, peaks of online requests preempt running items repeatedly. In the
//! order of due times alone, items would start at the last moment at which a run without
//! interruption is in time, and the next peak would make them late. An item therefore
//! counts as overdue unless the remaining time covers its run and the waits that other
//! items had. Overdue items start after all items that can meet their due time.

use crate::run_times::RunTimes;
use std::time::Duration;

/// Time that a job has left, and the part of it needed to list results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingTime {
    /// Time until the job is due.
    pub time_until_due: Duration,
    /// Time from the end of an item until its result can be read.
    pub listing: Duration,
}

/// Items of one job in the order in which they should start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartPlan {
    /// Positions of the items in the job.
    pub positions: Vec<usize>,
    /// Whether none of them can meet the due time.
    pub overdue: bool,
}

/// Whether an item with `events` kept events can meet the due time if it starts now. For
/// an item with events, only the remaining run counts and no waits, so that the work
/// done for it is not wasted.
pub fn can_meet_due_time(times: &RunTimes, events: u64, remaining_time: RemainingTime) -> bool {
    let available_time = remaining_time.time_until_due.saturating_sub(remaining_time.listing);
    if available_time.is_zero() {
        return false;
    }
    if events > 0 {
        return times.remaining(events) <= available_time;
    }
    times.remaining_with_waits(0) <= available_time
}

/// Plans the starts of `waiting` items, given by position and number of kept events:
/// those that can meet the due time, or all if none can. Items with the most events start
/// first.
pub fn plan_starts(times: &RunTimes, waiting: Vec<(usize, u64)>, remaining_time: RemainingTime) -> StartPlan {
    let meets_due_time = |item: &&(usize, u64)| can_meet_due_time(times, item.1, remaining_time);
    let in_time_items: Vec<(usize, u64)> = waiting.iter().filter(meets_due_time).copied().collect();
    let overdue = in_time_items.is_empty();
    let mut chosen = if overdue { waiting } else { in_time_items };
    chosen.sort_by_key(|(_, events)| std::cmp::Reverse(*events));
    let positions = chosen.into_iter().map(|(position, _)| position).collect();
    StartPlan { positions, overdue }
}
