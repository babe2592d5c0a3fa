//! In which order the jobs of a worker start items: of the jobs of one route,
//! the one that is due first goes first. Jobs of different routes don't wait
//! for each other: the servers of one may be away while those of another idle.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A job among those that have items to start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartRank {
    /// Route of the job.
    pub route: Arc<str>,
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

    /// Whether no other job of the route that is due earlier has items to start.
    pub fn is_first(&self, rank: &StartRank) -> bool {
        let first_of_route = StartRank { due_ms: 0, job: String::new(), ..rank.clone() };
        self.waiting.range(first_of_route..rank.clone()).next().is_none()
    }

    /// Items that all jobs would start.
    pub fn total(&self) -> usize {
        self.waiting.values().sum()
    }
}
