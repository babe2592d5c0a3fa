//! Routes of batch jobs that were accepted earlier: the operator may change or remove the
//! route while the job is open.

use crate::routes::{RequestKind, Route, RoutingTable};
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a route has to be missing before the items of its jobs are given up. An
/// operator who restores the route within this time loses no accepted work.
pub const RESTORE_TIME: Duration = Duration::from_secs(10);

/// The route of a job that was submitted at this host and path. A route of another kind that
/// covers the path, such as one with a shorter prefix, belongs to other services.
pub fn route_of_job(table: &RoutingTable, host: &str, path: &str) -> Option<Arc<Route>> {
    table.find(host, path).filter(|route| route.kind == RequestKind::Batch)
}

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

    /// Whether the route counts as removed for good. `table_confirmed` is the time until which
    /// the store has confirmed the table: an older table may lack a route that was added or
    /// restored since.
    pub fn is_final(&self, table_confirmed: Option<Instant>) -> bool {
        let restorable_until = self.since.map(|since| since + RESTORE_TIME);
        restorable_until.is_some_and(|end| table_confirmed.is_some_and(|confirmed| confirmed >= end))
    }
}
