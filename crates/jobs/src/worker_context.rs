//! What the jobs of a worker share.

use crate::owned_jobs::OwnedJobs;
use crate::run_registry::RunRegistry;
use crate::stalled_items::{JobStall, StallReport, StartBlocker};
use crate::start_order::{StartOrder, StartRank};
use crate::unfinished::UnfinishedTokens;
use latchwheel_core::dispatch::{RouteKey, StartBudget};
use latchwheel_core::item_trials::ItemTrials;
use latchwheel_core::routes::Route;
use latchwheel_core::run_times::RunTimes;
use latchwheel_core::time::Instant;
use latchwheel_proxy::{Dialect, Shared};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What the jobs of a worker share.
#[derive(Debug)]
pub struct WorkerContext<S, D> {
    /// The record store.
    pub store: Arc<S>,
    /// Servers, routes and connections.
    pub shared: Arc<Shared<D>>,
    pub(crate) name: String,
    /// Time after the acknowledged end of a job from which on none of its items may start.
    pub(crate) end_in_force: Duration,
    pub(crate) owned: Arc<OwnedJobs>,
    workers: AtomicUsize,
    running: AtomicUsize,
    starts: Mutex<StartBudget>,
    order: Mutex<StartOrder>,
    unfinished: Mutex<UnfinishedTokens>,
    pub(crate) runs: RunRegistry,
    /// How long items take, by route.
    times: Mutex<HashMap<Arc<str>, RunTimes>>,
    stalled: Mutex<StallReport>,
    trials: Mutex<ItemTrials>,
}

impl<S, D> WorkerContext<S, D> {
    /// The context of the worker `name`, which runs nothing yet.
    pub(crate) fn new(
        store: Arc<S>,
        shared: Arc<Shared<D>>,
        owned: Arc<OwnedJobs>,
        name: &str,
        end_in_force: Duration,
    ) -> Self {
        Self {
            store,
            shared,
            name: name.to_owned(),
            end_in_force,
            owned,
            workers: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            starts: Mutex::default(),
            order: Mutex::default(),
            unfinished: Mutex::default(),
            runs: RunRegistry::default(),
            times: Mutex::default(),
            stalled: Mutex::default(),
            trials: Mutex::default(),
        }
    }

    /// So many workers are believed to live.
    pub(crate) fn set_worker_count(&self, workers: usize) {
        self.workers.store(workers, Ordering::Relaxed);
    }

    /// Counts a run of an item as in progress, or as ended.
    pub(crate) fn note_runs(&self, started: usize, ended: usize) {
        self.running.fetch_add(started, Ordering::Relaxed);
        self.running.fetch_sub(ended, Ordering::Relaxed);
    }

    /// Runs of items in progress at this worker.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Renews how many runs this worker may start now.
    pub(crate) fn refill_starts(&self, now: Instant, route: &Route, reserve: f64)
    where
        D: Dialect,
    {
        let services = route.targets.iter().map(|target| &target.service);
        let room = services.map(|service| self.shared.dispatcher().free_slots_of(now, service, reserve)).sum();
        let share = self.shared.dispatcher().share_of_waiting(now);
        self.starts().refill(now, room, share, 1.0 / self.worker_count().max(1) as f64);
    }

    /// A job has so many items to start. Gives back whether it may start some:
    /// those that are due earlier go first.
    pub(crate) fn note_waiting(&self, rank: &StartRank, items: usize) -> bool
    where
        D: Dialect,
    {
        let mut order = self.order.lock().unwrap_or_else(PoisonError::into_inner);
        self.set_waiting(&mut order, rank, items);
        order.is_first(rank)
    }

    /// A job has nothing to start any more.
    pub(crate) fn forget_waiting(&self, rank: &StartRank)
    where
        D: Dialect,
    {
        let mut order = self.order.lock().unwrap_or_else(PoisonError::into_inner);
        self.set_waiting(&mut order, rank, 0);
    }

    /// Other nodes are told how many items this worker would start.
    fn set_waiting(&self, order: &mut StartOrder, rank: &StartRank, items: usize)
    where
        D: Dialect,
    {
        order.set(rank, items);
        self.shared.dispatcher().set_waiting(u32::try_from(order.total()).unwrap_or(u32::MAX));
    }

    /// So many tokens of a job are unfinished; other nodes are told where its route has a limit.
    pub(crate) fn note_unfinished(&self, job: &str, route: &Route, tenant: Option<&str>, tokens: u64)
    where
        D: Dialect,
    {
        let changed = self.unfinished().set(job, RouteKey::of_tenant(&route.name, tenant), tokens);
        self.report_unfinished(changed);
    }

    /// A job does not count on any route: this worker runs it no longer, or its route is missing
    /// or has no limit.
    pub(crate) fn forget_unfinished(&self, job: &str)
    where
        D: Dialect,
    {
        let changed = self.unfinished().remove(job);
        self.report_unfinished(changed);
    }

    fn report_unfinished(&self, changed: impl IntoIterator<Item = (RouteKey, u64)>)
    where
        D: Dialect,
    {
        let now = self.shared.clock.now();
        for (route, tokens) in changed {
            self.shared.dispatcher().set_queued_tokens(now, route, tokens);
        }
    }

    /// How long items of a route take.
    pub(crate) fn run_times(&self, route: &Route) -> RunTimes {
        self.times().get(&route.name).copied().unwrap_or_default()
    }

    /// An item of a route is whole.
    pub(crate) fn note_completed(&self, route: &Route, events: u64, last_run_events: u64, time: Duration) {
        self.times().entry(route.name.clone()).or_default().note_completed(events, last_run_events, time);
    }

    /// All runs of an item, which is whole now, yielded `events` in `time`.
    pub(crate) fn note_elapsed(&self, route: &Route, events: u64, time: Duration) {
        self.times().entry(route.name.clone()).or_default().note_elapsed(events, time);
    }

    /// Adds stalled items of a job to the next report; `item` is the one that waits longest.
    pub(crate) fn note_stalled(&self, blocker: StartBlocker, job: &str, item: &str, stall: &JobStall) {
        self.stalled().add(blocker, job, item, stall);
    }

    /// Logs the items that are stalled, if a report is due.
    pub(crate) fn log_stalled(&self)
    where
        D: Dialect,
    {
        self.stalled().log_if_due(self.shared.clock.now());
    }

    /// Trials of items whose runs lost their servers.
    pub(crate) fn trials(&self) -> MutexGuard<'_, ItemTrials> {
        self.trials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stalled(&self) -> MutexGuard<'_, StallReport> {
        self.stalled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn times(&self) -> MutexGuard<'_, HashMap<Arc<str>, RunTimes>> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unfinished(&self) -> MutexGuard<'_, UnfinishedTokens> {
        self.unfinished.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one start; `false` if none is left for now.
    pub(crate) fn take_start(&self) -> bool {
        self.starts().take()
    }

    fn starts(&self) -> MutexGuard<'_, StartBudget> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Workers that are believed to live.
    pub(crate) fn worker_count(&self) -> usize {
        self.workers.load(Ordering::Relaxed)
    }
}
