//! The route of a job, and what follows from it for the job's items.

use crate::job_run::JobRun;
use latchwheel_core::item_progress::GiveUpRules;
use latchwheel_core::job_route::{retention_of_job, route_of_job, RouteChange};
use latchwheel_core::routes::{Route, RoutingTable, DEFAULT_MAX_ATTEMPTS};
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::Dialect;
use latchwheel_records::RecordStore;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Retention of a job whose record states none, where the table has no route for it.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3600);

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    /// Follows whether the table has a route for the job, and logs changes of that.
    pub(crate) fn note_route(&mut self, now: Instant) {
        let table = self.context.shared.table();
        if table.version == 0 {
            return;
        }
        let route = self.route_in(&table);
        let (job, version) = (&self.job, table.version);
        match self.route_absence.observe(now, route.is_some()) {
            Some(RouteChange::Missing) => {
                let (host, path, open) = (&self.record.host, &self.record.path, self.open_count());
                emit(job, &Event::JobRouteMissing { job, host, path, version, open });
            }
            Some(RouteChange::Found(missing)) => {
                let route = route.as_ref().map_or("", |route| &*route.name);
                let missing_ms = missing.as_millis() as u64;
                emit(job, &Event::JobRouteFound { job, route, version, missing_ms });
            }
            None => {}
        }
    }

    /// Whether the operator has removed the job's route for good: it is missing now, and was so
    /// long enough.
    fn is_route_removed(&self) -> bool {
        let shared = &self.context.shared;
        self.route_absence.is_final(shared.table_confirmed()) && self.route_in(&shared.table()).is_none()
    }

    /// Reason in the log for giving up an item that may be given up now.
    pub(crate) fn expiry_reason(&self) -> &'static str {
        if self.is_route_removed() {
            "route_removed"
        } else {
            "expired"
        }
    }

    /// When items of the job are given up, and its route, if the table has one.
    pub(crate) fn rules(&self) -> (GiveUpRules, Option<Arc<Route>>) {
        let route = self.route_in(&self.context.shared.table());
        let terms = self.record.terms.as_ref();
        let now = self.context.shared.clock.now();
        let retention = retention_of_job(route.as_deref(), terms).unwrap_or(DEFAULT_RETENTION);
        let expires = if self.is_route_removed() { now } else { now + retention.saturating_sub(self.age()) };
        let of_route = route.as_ref().map(|route| route.max_attempts);
        let accepted = terms.map(|terms| terms.max_attempts);
        let max_failures = of_route.or(accepted).unwrap_or(DEFAULT_MAX_ATTEMPTS);
        let services = route.iter().flat_map(|route| &route.targets);
        let servers = services.map(|target| self.context.shared.dispatcher().ready_count(&target.service)).sum();
        (GiveUpRules { max_failures, servers, expires }, route)
    }

    fn route_in(&self, table: &RoutingTable) -> Option<Arc<Route>> {
        route_of_job(table, &self.record.host, &self.record.path, self.record.terms.as_ref())
    }

    /// Time since the job was accepted.
    pub(crate) fn age(&self) -> Duration {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        wall.saturating_sub(Duration::from_millis(self.record.accepted_ms))
    }
}
