//! Routes of batch jobs that were accepted earlier: the operator may change or remove the
//! route while the job is open.

use crate::time::Instant;
use std::time::Duration;

/// A change of whether the table has a job's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChange {
    /// The route is missing from now on.
    Missing,
    /// The route is there again after this time.
    Found(Duration),
}

/// Absence of a job's route from the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteAbsence {
    since: Option<Instant>,
}

impl RouteAbsence {
    /// Records whether the table has the route now; returns what changed.
    pub fn observe(&mut self, now: Instant, is_present: bool) -> Option<RouteChange> {
        match (self.since, is_present) {
            (None, false) => {
                self.since = Some(now);
                Some(RouteChange::Missing)
            }
            (Some(since), true) => {
                self.since = None;
                Some(RouteChange::Found(now.since(since)))
            }
            (None, true) | (Some(_), false) => None,
        }
    }
}
