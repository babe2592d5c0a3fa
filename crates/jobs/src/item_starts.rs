//! Starting the items of a job, in the order and by the room that there is.

use crate::item_run::{outgoing_of, run_item};
use crate::item_trial::ItemTrial;
use crate::job_run::JobRun;
use crate::run_registry::{RunNumber, StartedRun};
use crate::stalled_items::StartBlocker;
use crate::start_order::StartRank;
use crate::start_permission::StartPermission;
use crate::worker_context::WorkerContext;
use futures::FutureExt;
use latchwheel_core::dispatch::{Choice, Placement, PlacementQuery};
use latchwheel_core::item_progress::{GiveUpRules, ItemProgress, ItemState, RunEnd};
use latchwheel_core::item_urgency::{plan_starts, RemainingTime, StartPlan};
use latchwheel_core::listing_pause::PAUSE_NEAR_DUE;
use latchwheel_core::routes::Route;
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event, ItemOutcome};
use latchwheel_proxy::{Dialect, Exchange, Outgoing, PlaceAsk};
use latchwheel_records::RecordStore;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time that a server is given for an item at most.
const ITEM_TIME: Duration = Duration::from_secs(60);

/// Time for which an item waits at least for a slot at the version that wrote its events.
const LEAST_WAIT_FOR_VERSION: Duration = Duration::from_millis(500);

/// Items of a job that start before the job looks at what else has happened.
const STARTS_IN_A_LOOK: usize = 16;

/// A run of an item, and the way to break it off.
pub(crate) struct RunningItem {
    pub(crate) server: Arc<str>,
    pub(crate) order: u64,
    /// Its number in the worker's registry of runs.
    pub(crate) number: RunNumber,
    pub(crate) started_at: Instant,
    /// Events that were kept before.
    pub(crate) events_before: u64,
    pub(crate) give_way: Arc<Notify>,
}

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    /// Starts what there is room for, if no other job of the worker goes first.
    pub(crate) async fn start_items(&mut self) {
        if let Err(blocker) = self.try_start_items().await {
            self.idle.blocker = blocker;
        }
    }

    /// Adds the items that wait for long to the worker's report.
    pub(crate) fn report_stalled(&mut self) {
        let is_waiting = |position: usize| matches!(self.progress[position].state(), ItemState::Waiting(_));
        let Some(stall) = self.idle.look(self.context.shared.clock.now(), is_waiting) else { return };
        let item = &self.items[stall.longest].id;
        self.context.note_stalled(self.idle.blocker, &self.job, item, &stall);
    }

    async fn try_start_items(&mut self) -> Result<(), StartBlocker> {
        let now = self.context.shared.clock.now();
        self.note_route(now);
        let (rules, route) = self.rules();
        self.give_up_expired(now, &rules);
        let Some(route) = route else {
            self.forget_waiting();
            return Err(StartBlocker::NoRoute);
        };
        if self.pressed_excess(&route).is_some_and(|excess| excess >= 0) {
            return Err(StartBlocker::OnlineOverload);
        }
        let StartPlan { positions: waiting, overdue } = self.items_to_start(now, &route);
        let rank = StartRank {
            route: route.name.clone(),
            late: overdue,
            due_ms: self.record.accepted_ms.saturating_add(route.due.as_millis() as u64),
            job: self.job.clone(),
        };
        if self.rank.as_ref() != Some(&rank) {
            self.forget_waiting();
            self.rank = Some(rank.clone());
        }
        self.log_overdue(&route, overdue, waiting.len());
        let is_first = self.context.note_waiting(&rank, waiting.len());
        if waiting.is_empty() {
            return Ok(());
        }
        if !is_first {
            return Err(StartBlocker::OtherJobFirst);
        }
        if !self.may_start_items(now, waiting.len()) {
            return Err(StartBlocker::NotConfirmed);
        }
        let reserve = self.reserve(&route, overdue);
        self.context.refill_starts(now, &route, reserve);
        for position in waiting.into_iter().take(STARTS_IN_A_LOOK) {
            self.start_item(position, &rules, &route, &rank).await?;
        }
        Ok(())
    }

    /// Gives up what still waits when its time is over, whether or not it can be run.
    fn give_up_expired(&mut self, now: Instant, rules: &GiveUpRules) {
        // Before a table is known, the route's own retention isn't either.
        if self.context.shared.table().version == 0 {
            return;
        }
        let reason = self.expiry_reason();
        for position in 0..self.progress.len() {
            if self.progress[position].tick(now, rules) {
                self.log_item_end(now, position, ItemOutcome::GivenUp, reason);
                self.unlisted_since.get_or_insert(now);
            }
        }
    }

    /// Tells once that what waits can't be in time any more.
    fn log_overdue(&mut self, route: &Route, overdue: bool, waiting: usize) {
        if !overdue || waiting == 0 || self.overdue_logged {
            return;
        }
        self.overdue_logged = true;
        let left_ms = route.due.saturating_sub(self.age()).as_millis() as u64;
        let needed_ms = self.context.run_times(route).remaining_with_waits(0).as_millis() as u64;
        emit(&self.job, &Event::JobOverdue { job: &self.job, waiting, left_ms, needed_ms });
    }

    /// Whether items may be sent now; finds out whether the job is still open if that is
    /// due.
    fn may_start_items(&mut self, now: Instant, waiting: usize) -> bool {
        if let Some(age) = self.context.owned.known_age() {
            self.permission.note_open(now - age);
        }
        self.begin_confirmation(now);
        let allowed = self.permission.allows(now);
        match self.held_since {
            None if !allowed => {
                self.held_since = Some(now);
                let known_ms = self.permission.known_ms(now);
                emit(&self.job, &Event::ItemStartsHeld { job: &self.job, waiting, known_ms });
            }
            Some(since) if allowed => {
                self.held_since = None;
                let held_ms = now.since(since).as_millis() as u64;
                emit(&self.job, &Event::ItemStartsResumed { job: &self.job, held_ms });
            }
            _ => {}
        }
        allowed
    }

    /// Items that may start now, in their order.
    fn items_to_start(&self, now: Instant, route: &Route) -> StartPlan {
        let times = self.context.run_times(route);
        let time_until_due = route.due.saturating_sub(self.age());
        let left = RemainingTime { time_until_due, listing: PAUSE_NEAR_DUE };
        let may_start = |position: &usize| self.progress[*position].may_start(now);
        let waiting = (0..self.items.len()).filter(may_start);
        let with_events = waiting.map(|position| (position, self.progress[position].events()));
        plan_starts(&times, with_events.collect(), left)
    }

    /// Software at which an item continues after its kept events; `None` if it has none or
    /// starts over: because no server of the software accepts work, or because the item has
    /// waited for one longer than a run needs to write the events again.
    fn software_to_continue_at(&self, position: usize, route: &Route) -> Option<SoftwareKey> {
        let shared = &self.context.shared;
        let progress = &self.progress[position];
        let software = progress.software()?;
        let service = shared.dispatcher().service_of(software)?;
        let is_in_route = route.targets.iter().any(|target| target.service == service);
        let waited = progress.waited(shared.clock.now());
        let rewriting = self.context.run_times(route).time_for_events(progress.events()).max(LEAST_WAIT_FOR_VERSION);
        (is_in_route && waited <= rewriting).then_some(software)
    }

    /// Starts an item, or puts it off.
    ///
    /// # Errors
    /// [`StartBlocker`] if no other item can be started now either.
    async fn start_item(
        &mut self,
        position: usize,
        rules: &GiveUpRules,
        route: &Route,
        rank: &StartRank,
    ) -> Result<(), StartBlocker> {
        let shared = &self.context.shared;
        let item = &self.items[position];
        let Some(outgoing) = outgoing_of(shared, &self.record.host, self.record.tenant.as_deref(), item) else {
            return Ok(());
        };
        let trial = match self.begin_trial(position, &outgoing) {
            Ok(trial) => trial,
            Err(pause) => {
                self.progress[position].wait_until(shared.clock.now() + pause);
                self.idle.blocker = StartBlocker::AwaitsTrial;
                return Ok(());
            }
        };
        let software = self.software_to_continue_at(position, route);
        let of_software = software.and_then(|software| shared.dispatcher().service_of(software));
        let Some(service) = of_software.or_else(|| shared.next_service(route)) else {
            return Err(StartBlocker::NoServer);
        };
        let avoid = self.progress[position].failed_at().to_vec();
        let (prompt, reserve) = (&outgoing.prompt, self.reserve(route, rank.late));
        let ask = PlaceAsk {
            service: &service,
            software,
            prompt,
            avoid: &avoid,
            wait_limit: Duration::ZERO,
            deferrable: true,
            reserve,
        };
        let context = self.context.clone();
        // Where one version is full, items without events may find a slot at another.
        let Some(placement) = place(&context, &ask).await else {
            return if software.is_some() { Ok(()) } else { Err(StartBlocker::NoSlot) };
        };
        let shared = &self.context.shared;
        let now = shared.clock.now();
        let exchange = Exchange::reserve(shared, placement, &outgoing);
        let left = rules.expires.since(now).min(ITEM_TIME);
        let started = StartedRun {
            overdue: rank.late,
            due_ms: rank.due_ms,
            expected_end: now + self.context.run_times(route).remaining(self.progress[position].events()),
            preempted_before: self.progress[position].first_run().is_some(),
        };
        self.progress[position].note_run_started(now);
        self.progress[position].start();
        let progress = self.progress[position].clone();
        let give_way = Arc::new(Notify::new());
        self.started += 1;
        let server = exchange.server().clone();
        let number = self.context.runs.add(&server, started, give_way.clone());
        let running = RunningItem {
            server,
            order: self.started,
            number,
            started_at: now,
            events_before: progress.events(),
            give_way: give_way.clone(),
        };
        self.running.insert(position, running);
        self.context.note_runs(1, 0);
        let start = ItemStart {
            context: self.context.clone(),
            job: self.job.clone(),
            item: item.id.clone(),
            permission: self.permission.clone(),
            chosen_at: now,
            trial,
        };
        self.runs.push(run_owned(position, start, exchange, outgoing, left, progress, give_way).boxed());
        Ok(())
    }
}

impl<S, D: Dialect> JobRun<S, D> {
    /// Begins the trial that an item needs, if any.
    ///
    /// # Errors
    /// The time until another attempt, if no trial may begin now.
    fn begin_trial(&self, position: usize, outgoing: &Outgoing) -> Result<Option<ItemTrial<S, D>>, Duration> {
        let needs_trial = self.progress[position].needs_trial() || self.context.shared.is_quarantined(outgoing);
        needs_trial.then(|| ItemTrial::begin(&self.context)).transpose()
    }
}

/// A place for an item: one that a keeper of servers has free, or where no keeper can
/// tell one that looks free from here, within this worker's share of the room.
async fn place<S: RecordStore, D: Dialect>(context: &WorkerContext<S, D>, ask: &PlaceAsk<'_>) -> Option<Placement> {
    let shared = &context.shared;
    let choice = match shared.placements.ask(shared, ask).await {
        Some(choice) => choice,
        None if !context.take_start() => return None,
        None => {
            let ask = PlacementQuery {
                service: ask.service,
                software: ask.software,
                prompt: ask.prompt,
                avoid: ask.avoid,
                wait_limit: ask.wait_limit,
                reserve: ask.reserve,
                spread: rand::random(),
                deferrable: ask.deferrable,
            };
            shared.dispatcher().choose(shared.clock.now(), &ask)
        }
    };
    match choice {
        Choice::Send(placement) => Some(placement),
        Choice::Full(_) | Choice::NoServer => None,
    }
}

impl<S, D: Dialect> JobRun<S, D> {
    /// It has nothing to start for now.
    pub(crate) fn forget_waiting(&mut self) {
        if let Some(rank) = self.rank.take() {
            self.context.forget_waiting(&rank);
        }
    }
}

/// An item that is about to be sent to a server.
pub(crate) struct ItemStart<S, D> {
    context: Arc<WorkerContext<S, D>>,
    job: String,
    item: String,
    permission: Arc<StartPermission>,
    /// When its server was chosen.
    chosen_at: Instant,
    trial: Option<ItemTrial<S, D>>,
}

impl<S: RecordStore, D: Dialect> ItemStart<S, D> {
    /// Whether it may be sent now: the job may have been ended since its server was chosen.
    pub(crate) fn is_allowed(&self) -> bool {
        self.permission.allows(self.context.shared.clock.now())
    }

    /// The run has an event: its trial is over.
    pub(crate) fn note_event(&mut self) {
        self.trial = None;
    }

    /// It is sent now: events of other software than its server's are dropped.
    pub(crate) fn begin_run(&self, exchange: &Exchange<D>, progress: &mut ItemProgress) {
        let events = progress.begin_run(exchange.software());
        if events > 0 {
            let version = exchange.version();
            let event = Event::ItemStartsOver { job: &self.job, item: &self.item, events, version };
            emit(&self.job, &event);
        }
        let now = self.context.shared.clock.now();
        let event = Event::ItemSent {
            job: &self.job,
            item: &self.item,
            server: exchange.server(),
            version: exchange.version(),
            load: exchange.load(),
            events_kept: progress.events(),
            chosen_ms: now.since(self.chosen_at).as_millis() as u64,
            known_ms: self.permission.known_ms(now),
            trial: self.trial.is_some(),
        };
        emit(&self.job, &event);
    }
}

async fn run_owned<S: RecordStore, D: Dialect>(
    position: usize,
    mut start: ItemStart<S, D>,
    exchange: Exchange<D>,
    outgoing: Outgoing,
    left: Duration,
    mut progress: ItemProgress,
    give_way: Arc<Notify>,
) -> (usize, ItemProgress, RunEnd, &'static str, Arc<str>) {
    let server = exchange.server().clone();
    let (end, reason) = tokio::select! {
        ended = run_item(&mut start, exchange, &outgoing, left, &mut progress) => ended,
        () = give_way.notified() => (RunEnd::Preempted, "gave_way"),
    };
    if let Some(trial) = start.trial.take().filter(|_| end == RunEnd::ServerLost) {
        trial.end_lost();
    }
    (position, progress, end, reason, server)
}
