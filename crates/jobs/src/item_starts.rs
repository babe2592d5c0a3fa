//! Starting the items of a job, in the order and by the room that there is.

use crate::item_run::{outgoing_of, run_item};
use crate::job_run::JobRun;
use crate::run_registry::RunRank;
use crate::start_order::StartRank;
use futures::FutureExt;
use latchwheel_core::dispatch::{Ask, Choice};
use latchwheel_core::item_progress::{GiveUpRules, ItemProgress, RunEnd};
use latchwheel_core::routes::Route;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::{Dialect, Exchange, Outgoing};
use latchwheel_records::RecordStore;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time that a server is given for an item at most.
const ITEM_TIME: Duration = Duration::from_secs(60);

/// A run of an item, and the way to break it off.
pub(crate) struct RunningItem {
    pub(crate) server: Arc<str>,
    pub(crate) order: u64,
    /// Place in the worker's registry of runs.
    pub(crate) rank: RunRank,
    pub(crate) started_at: Instant,
    /// Events that were kept before.
    pub(crate) events_before: u64,
    pub(crate) give_way: Arc<Notify>,
}

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    /// Starts what there is room for, if no other job of the worker goes first.
    pub(crate) fn start_items(&mut self) {
        let now = self.context.shared.clock.now();
        let (rules, route) = self.rules();
        let Some(route) = route else {
            self.forget_waiting();
            return;
        };
        if self.pressed_excess(&route).is_some_and(|excess| excess >= 0) {
            return;
        }
        self.progress.iter_mut().for_each(|progress| progress.tick(now, &rules));
        let (late, waiting) = self.items_to_start(now, &route);
        let rank = StartRank {
            route: route.name.clone(),
            late,
            due_ms: self.record.accepted_ms.saturating_add(route.due.as_millis() as u64),
            job: self.job.clone(),
        };
        if self.rank.as_ref() != Some(&rank) {
            self.forget_waiting();
            self.rank = Some(rank.clone());
        }
        if !self.context.note_waiting(&rank, waiting.len()) {
            return;
        }
        let reserve = self.reserve(&route);
        self.context.refill_starts(now, &route, reserve);
        for position in waiting {
            if !self.context.take_start() {
                return;
            }
            if !self.start_item(now, position, &rules, &route, &rank) {
                return;
            }
        }
    }

    /// Items that may start, and whether they will be late: those that can be in
    /// time, or all if none can.
    fn items_to_start(&self, now: Instant, route: &Route) -> (bool, Vec<usize>) {
        let times = self.context.run_times(route);
        let left = route.due.saturating_sub(self.age());
        let may_start = |position: &usize| self.progress[*position].may_start(now);
        let waiting: Vec<usize> = (0..self.items.len()).filter(may_start).collect();
        let in_time = |position: &usize| times.remaining(self.progress[*position].events()) <= left;
        let timely: Vec<usize> = waiting.iter().copied().filter(in_time).collect();
        if left.is_zero() || timely.is_empty() {
            return (true, waiting);
        }
        (false, timely)
    }

    /// Starts an item; `false` if no server has room.
    fn start_item(
        &mut self,
        now: Instant,
        position: usize,
        rules: &GiveUpRules,
        route: &Route,
        rank: &StartRank,
    ) -> bool {
        let shared = &self.context.shared;
        let item = &self.items[position];
        let Some(outgoing) = outgoing_of(shared, &self.record.host, self.record.tenant.as_deref(), item) else {
            return true;
        };
        let Some(service) = shared.next_service(route) else { return false };
        let ask = Ask {
            service: &service,
            prompt: &outgoing.prompt,
            avoid: self.progress[position].failed_at(),
            wait_limit: Duration::ZERO,
            reserve: self.reserve(route),
            spread: rand::random(),
            deferrable: true,
        };
        let choice = shared.dispatcher().choose(now, &ask);
        let Choice::Send(placement) = choice else { return false };
        let event = Event::ItemSent {
            job: &self.job,
            item: &item.id,
            server: &placement.server,
            load: placement.load,
            events_kept: self.progress[position].events(),
        };
        emit(&self.job, &event);
        let exchange = Exchange::reserve(shared, placement, &outgoing);
        let left = rules.expires.since(now).min(ITEM_TIME);
        self.progress[position].start();
        let progress = self.progress[position].clone();
        let give_way = Arc::new(Notify::new());
        self.started += 1;
        let server = exchange.server().clone();
        let rank = self.context.runs.add(&server, rank, give_way.clone());
        let running = RunningItem {
            server,
            order: self.started,
            rank,
            started_at: now,
            events_before: progress.events(),
            give_way: give_way.clone(),
        };
        self.running.insert(position, running);
        self.context.note_runs(1, 0);
        self.runs.push(run_owned(position, exchange, outgoing, left, progress, give_way).boxed());
        true
    }
}

impl<S, D> JobRun<S, D> {
    /// It has nothing to start for now.
    pub(crate) fn forget_waiting(&mut self) {
        if let Some(rank) = self.rank.take() {
            self.context.forget_waiting(&rank);
        }
    }
}

async fn run_owned<D: Dialect>(
    position: usize,
    exchange: Exchange<D>,
    outgoing: Outgoing,
    left: Duration,
    mut progress: ItemProgress,
    give_way: Arc<Notify>,
) -> (usize, ItemProgress, RunEnd, &'static str, Arc<str>) {
    let server = exchange.server().clone();
    let (end, reason) = tokio::select! {
        ended = run_item(exchange, &outgoing, left, &mut progress) => ended,
        () = give_way.notified() => (RunEnd::GaveWay, "gave_way"),
    };
    (position, progress, end, reason, server)
}
