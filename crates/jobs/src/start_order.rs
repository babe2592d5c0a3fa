//! In which order the jobs of a worker start items: of the jobs of one route,
//! the one that is due first goes first. Jobs of different routes don't wait
//! for each other: the servers of one may be away while those of another idle.
//!
//! Items that can't be in time any more go after all that can: where there is
//! more work than room, it is better that some are late than all a little.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Late items count for so much less than others when workers divide the room.
const LATE_WEIGHT: usize = 8;

/// A job among those that have items to start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartRank {
    /// Route of the job.
    pub route: Arc<str>,
    /// Whether none of the items that it would start can be in time.
    pub late: bool,
    /// When the job is due, in milliseconds since 1970.
    pub due_ms: u64,
    /// Job.
    pub job: String,
}

/// The jobs of a worker that have items to start.
#[derive(Debug, Default)]
pub struct StartOrder {
    waiting: BTreeMap<StartRank, usize>,
}

impl StartOrder {
    /// A job has so many items to start.
    pub fn set(&mut self, rank: &StartRank, items: usize) {
        if items == 0 {
            self.waiting.remove(rank);
        } else {
            self.waiting.insert(rank.clone(), items);
        }
    }

    /// Whether no other job of the route that goes first has items to start.
    pub fn is_first(&self, rank: &StartRank) -> bool {
        let first_of_route = StartRank { late: false, due_ms: 0, job: String::new(), ..rank.clone() };
        self.waiting.range(first_of_route..rank.clone()).next().is_none()
    }

    /// Items that all jobs would start; late ones count for less.
    pub fn total(&self) -> usize {
        let weighted =
            self.waiting.iter().map(|(rank, items)| if rank.late { items.div_ceil(LATE_WEIGHT) } else { *items });
        weighted.sum()
    }
}
