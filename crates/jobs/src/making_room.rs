//! How the runs of a job make room for online requests.

use crate::item_starts::RunningItem;
use crate::job_run::JobRun;
use latchwheel_core::dispatch::{reserve_of, reserve_of_overdue};
use latchwheel_core::routes::Route;
use latchwheel_proxy::Dialect;
use latchwheel_records::RecordStore;
use std::collections::HashMap;
use std::sync::Arc;

/// Share of all slots that batch work keeps while online requests are refused:
/// it goes on, so that it is not starved.
const PRESSED_SHARE: f64 = 0.15;

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    /// Breaks off the latest runs at crowded servers, by this node's share of
    /// the excess; they go on later after their last events.
    pub(crate) fn give_way(&mut self) {
        let now = self.context.shared.clock.now();
        let (_, route) = self.rules();
        let excess = route.and_then(|route| self.pressed_excess(&route));
        if excess.is_some_and(|excess| excess > 0) {
            if let Some(item) = self.running.values().max_by_key(|item| item.order) {
                item.give_way.notify_one();
            }
        }
        // Keepers of servers order single runs to give way, by what runs there now.
        if self.context.shared.placements.has_keepers() {
            return;
        }
        let mut by_server: HashMap<&Arc<str>, Vec<&RunningItem>> = HashMap::new();
        for item in self.running.values() {
            by_server.entry(&item.server).or_default().push(item);
        }
        for (server, mut items) in by_server {
            let congestion = self.context.shared.dispatcher().congestion(now, server);
            let Some(congestion) = congestion else { continue };
            if !self.concessions.is_due(now, server) {
                continue;
            }
            let count = congestion.runs_to_preempt(items.len() as u32, rand::random());
            if count > 0 {
                self.concessions.note(now, server.clone());
            }
            items.sort_by_key(|item| std::cmp::Reverse(item.order));
            items.iter().take(count as usize).for_each(|item| item.give_way.notify_one());
        }
    }

    /// Runs that this worker may keep while online requests are refused.
    fn pressed_limit(&self, service: &str) -> usize {
        let slots = self.context.shared.dispatcher().slots_of(service);
        let workers = self.context.worker_count().max(1) as f64;
        ((slots * PRESSED_SHARE / workers) as usize).max(1)
    }

    /// Runs of this worker beyond what it may keep while online requests of one
    /// of the route's services are refused; `None` while none are.
    pub(crate) fn pressed_excess(&self, route: &Route) -> Option<i64> {
        let now = self.context.shared.clock.now();
        let pressed = |service: &str| self.context.shared.dispatcher().is_overloaded(now, service);
        let limits = route.targets.iter().filter(|target| pressed(&target.service));
        let limit = limits.map(|target| self.pressed_limit(&target.service)).min()?;
        Some(self.context.running() as i64 - limit as i64)
    }

    /// Share of the slots that is left to online work, and by overdue items to others.
    pub(crate) fn reserve(&self, route: &Route, overdue: bool) -> f64 {
        if overdue {
            return reserve_of_overdue();
        }
        reserve_of(self.age().as_secs_f64() / route.due.as_secs_f64().max(f64::MIN_POSITIVE))
    }
}
