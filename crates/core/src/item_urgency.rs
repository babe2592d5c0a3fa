//! Which items of a batch job start first, and which can't be in time any more.
//!
//! The load that this answers: more batch work than room, while peaks of online
//! requests take the slots of running items again and again. Started in the order of
//! their due times alone, all items then start at the last moment at which an
//! undisturbed run is in time, and the next peak makes them late: the room is spent on
//! items that miss their due time by a little. So an item starts only while there is
//! time for its run and for the waits that others had; later it counts as overdue and
//! goes after all that can be in time. It still ends.

use crate::run_times::RunTimes;
use std::time::Duration;

/// The time that a job has left, of which its results need some to be listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingTime {
    /// Until the job is due.
    pub time_until_due: Duration,
    /// From the end of an item until its result can be read.
    pub listing: Duration,
}

/// Items of one job that may start, in the order in which they should.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartPlan {
    /// Positions of the items in the job.
    pub positions: Vec<usize>,
    /// Whether none of them can be in time any more.
    pub overdue: bool,
}

/// Whether an item that has kept `events` can be in time if it starts now. What was
/// begun is given up late: little of its work is left, and the rest would be lost to
/// its due time.
pub fn can_meet_due_time(times: &RunTimes, events: u64, left: RemainingTime) -> bool {
    let run = left.time_until_due.saturating_sub(left.listing);
    if run.is_zero() {
        return false;
    }
    if events > 0 {
        return times.remaining(events) <= run;
    }
    times.remaining_with_waits(0) <= run
}

/// Of items that may start, given by position and kept events, those that can be in
/// time, or all if none can. What needs least goes first.
pub fn start_list(times: &RunTimes, waiting: Vec<(usize, u64)>, left: RemainingTime) -> StartPlan {
    let in_time = |item: &&(usize, u64)| can_meet_due_time(times, item.1, left);
    let timely: Vec<(usize, u64)> = waiting.iter().filter(in_time).copied().collect();
    let overdue = timely.is_empty();
    let mut chosen = if overdue { waiting } else { timely };
    chosen.sort_by_key(|(_, events)| std::cmp::Reverse(*events));
    let positions = chosen.into_iter().map(|(position, _)| position).collect();
    StartPlan { positions, overdue }
}
