//! Routes of batch jobs that were accepted earlier: the operator may change or remove the
//! route while the job is open.

use crate::routes::{RequestKind, Route, RoutingTable};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Time for which a route has to be missing before the items of its jobs are given up. An
/// operator who restores the route within this time loses no accepted work.
pub const RESTORE_TIME: Duration = Duration::from_secs(10);

/// Terms of its route under which a job was accepted, kept with the job: the next table may
/// have others, or no such route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedTerms {
    /// Name of the route.
    pub route: String,
    /// Retention in milliseconds.
    pub retention_ms: u64,
    /// Maximum attempts of an item that fails.
    pub max_attempts: u32,
}

impl AcceptedTerms {
    /// The terms of a route.
    pub fn of(route: &Route) -> Self {
        let retention_ms = u64::try_from(route.retention.as_millis()).unwrap_or(u64::MAX);
        Self { route: route.name.to_string(), retention_ms, max_attempts: route.max_attempts }
    }

    /// Time from the submission of the job before which its items are not given up.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

/// The route of a job that was submitted at this host and path: a batch route, or the one that
/// accepted the job, whatever its kind is now. Another route that covers the path, such as one
/// with a shorter prefix, belongs to other services.
pub fn route_of_job(
    table: &RoutingTable,
    host: &str,
    path: &str,
    accepted: Option<&AcceptedTerms>,
) -> Option<Arc<Route>> {
    let has_accepted = |route: &Route| accepted.is_some_and(|terms| *terms.route == *route.name);
    table.find(host, path).filter(|route| route.kind == RequestKind::Batch || has_accepted(route))
}

/// Time from the submission of a job before which its items are not given up: never less than
/// what its client was promised, and more if its batch route allows more now. `None` if neither
/// is known.
pub fn retention_of_job(route: Option<&Route>, accepted: Option<&AcceptedTerms>) -> Option<Duration> {
    let of_route = route.filter(|route| route.kind == RequestKind::Batch).map(|route| route.retention);
    of_route.max(accepted.map(AcceptedTerms::retention))
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
