//! Running one job: its items, and the list of their results.

use crate::desk::read_body;
use crate::item_run::{outgoing_of, run_item};
use crate::job_listing::{poll_listing, Listing};
use crate::layout::{ItemBody, JobBody, JobRecord};
use crate::owned_jobs::{JobView, TAKEOVER_GRACE};
use crate::results::ResultList;
use crate::run_registry::RunRank;
use crate::start_order::StartRank;
use crate::worker::WorkerContext;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use futures::FutureExt;
use latchwheel_core::dispatch::{Ask, Choice, Concessions};
use latchwheel_core::item_progress::{GiveUpRules, ItemProgress, ItemState, RunEnd};
use latchwheel_core::retry::doubled_pause;
use latchwheel_core::routes::{Route, DEFAULT_MAX_ATTEMPTS};
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event, ItemEnd};
use latchwheel_proxy::{Dialect, Exchange, Outgoing};
use latchwheel_records::{RecordStore, RecordsFault};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{watch, Notify};

/// Time between looks at what may start or be listed.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Pause before the store is asked again.
pub(crate) const STORE_PAUSE: Duration = Duration::from_millis(150);
/// The pause is doubled at each failure, up to this one: a worker has many jobs.
pub(crate) const LONGEST_STORE_PAUSE: Duration = Duration::from_millis(1200);
/// Time that a server is given for an item at most.
const ITEM_TIME: Duration = Duration::from_secs(60);
/// Retention of a job whose route is not known any more.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3600);

/// A job that was accepted less long ago has run at no other worker.
const NEW_JOB_AGE: Duration = Duration::from_secs(3);

/// What a job's worker has to know from outside.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JobOrder {
    /// Run it.
    Run,
    /// Start no further run; what runs may end.
    Wind,
    /// Leave it at once.
    Leave(LeaveReason),
}

/// Why a job is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaveReason {
    /// Its client ended it.
    Ended,
    /// All its items are listed.
    Finished,
    /// Its record is gone.
    RecordGone,
    /// Another worker runs it from now on.
    FallsToAnother,
    /// This worker leaves, or the process stops.
    WorkerLeaves,
}

impl LeaveReason {
    /// A word for the log.
    pub(crate) fn word(self) -> &'static str {
        match self {
            LeaveReason::Ended => "ended",
            LeaveReason::Finished => "finished",
            LeaveReason::RecordGone => "record_gone",
            LeaveReason::FallsToAnother => "falls_to_another",
            LeaveReason::WorkerLeaves => "worker_leaves",
        }
    }

    /// Whether another worker goes on with the job.
    fn goes_on_elsewhere(self) -> bool {
        matches!(self, LeaveReason::FallsToAnother | LeaveReason::WorkerLeaves)
    }
}

type ItemRun = BoxFuture<'static, (usize, ItemProgress, RunEnd, &'static str, Arc<str>)>;

/// Runs a job until all its items are listed or it has to be left.
pub(crate) async fn run_job<S: RecordStore, D: Dialect>(
    context: Arc<WorkerContext<S, D>>,
    job: String,
    record: JobRecord,
    revision: u64,
    mut orders: watch::Receiver<JobOrder>,
) {
    let mut failures = 0;
    let (body, list) = loop {
        match load(&*context.store, &job, &record).await {
            Ok(loaded) => break loaded,
            Err(_) => tokio::time::sleep(doubled_pause(STORE_PAUSE, LONGEST_STORE_PAUSE, failures)).await,
        }
        if matches!(*orders.borrow(), JobOrder::Leave(_)) {
            return;
        }
        failures += 1;
    };
    emit(
        &job,
        &Event::JobTaken {
            job: &job,
            items: body.items.len(),
            listed: list.results.len(),
            workers: context.worker_count(),
        },
    );
    let mut run = JobRun::new(context, job, record, revision, body, list);
    let reason = run.run(&mut orders).await;
    run.context.forget_unfinished(&run.job);
    if reason.goes_on_elsewhere() {
        run.list_before_leaving().await;
    }
    emit(&run.job, &Event::JobLeft { job: &run.job, reason: reason.word(), listed: run.list.results.len() });
}

async fn load<S: RecordStore>(store: &S, job: &str, record: &JobRecord) -> Result<(JobBody, ResultList), RecordsFault> {
    let body = read_body(store, job, record).await?;
    let list = ResultList::load(store, job).await?;
    Ok((body, list))
}

/// A run of an item, and the way to break it off.
pub(crate) struct RunningItem {
    pub(crate) server: Arc<str>,
    pub(crate) order: u64,
    /// Place in the worker's registry of runs.
    rank: RunRank,
    started_at: Instant,
    /// Events that were kept before.
    events_before: u64,
    pub(crate) give_way: Arc<Notify>,
}

/// A job that this worker runs.
pub(crate) struct JobRun<S, D> {
    pub(crate) context: Arc<WorkerContext<S, D>>,
    pub(crate) job: String,
    pub(crate) record: JobRecord,
    pub(crate) revision: u64,
    pub(crate) items: Arc<Vec<ItemBody>>,
    pub(crate) positions: HashMap<String, usize>,
    pub(crate) progress: Vec<ItemProgress>,
    pub(crate) listed: Vec<bool>,
    pub(crate) list: ResultList,
    pub(crate) runs: FuturesUnordered<ItemRun>,
    pub(crate) running: HashMap<usize, RunningItem>,
    pub(crate) started: u64,
    pub(crate) concessions: Concessions,
    /// Its place among the jobs that have items to start, once it had some.
    rank: Option<StartRank>,
    pub(crate) listing: Option<Listing>,
    pub(crate) unlisted_since: Option<Instant>,
    pub(crate) taken_at: Instant,
    /// Results are listed from this time on.
    pub(crate) lists_from: Instant,
}

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    fn new(
        context: Arc<WorkerContext<S, D>>,
        job: String,
        record: JobRecord,
        revision: u64,
        body: JobBody,
        list: ResultList,
    ) -> Self {
        let positions = body.items.iter().enumerate().map(|(position, item)| (item.id.clone(), position)).collect();
        let count = body.items.len();
        let taken_at = context.shared.clock.now();
        let lists_from = taken_at + grace_of(&context.name, &record, &list);
        let mut run = Self {
            context,
            job,
            record,
            revision,
            items: Arc::new(body.items),
            positions,
            progress: vec![ItemProgress::default(); count],
            listed: vec![false; count],
            list,
            runs: FuturesUnordered::new(),
            running: HashMap::new(),
            started: 0,
            concessions: Concessions::default(),
            rank: None,
            listing: None,
            unlisted_since: None,
            taken_at,
            lists_from,
        };
        run.note_list();
        run.context.owned.show(&run.job, run.items.clone(), run.view());
        run
    }

    async fn run(&mut self, orders: &mut watch::Receiver<JobOrder>) -> LeaveReason {
        loop {
            let order = orders.borrow_and_update().clone();
            match order {
                JobOrder::Leave(reason) => return reason,
                JobOrder::Run => {
                    self.tell_unfinished();
                    self.give_way();
                    self.start_items();
                }
                JobOrder::Wind if self.runs.is_empty() && self.listing.is_none() && self.ready_to_list().is_empty() => {
                    return LeaveReason::WorkerLeaves;
                }
                JobOrder::Wind => {}
            }
            self.begin_listing();
            if self.listing.is_none() && self.listed.iter().all(|listed| *listed) {
                return LeaveReason::Finished;
            }
            tokio::select! {
                Some((position, progress, end, reason, server)) = self.runs.next() => {
                    self.end_run(position, progress, end, reason, &server);
                }
                committed = poll_listing(&mut self.listing) => self.end_listing(committed).await,
                changed = orders.changed() => {
                    if changed.is_err() {
                        return LeaveReason::WorkerLeaves;
                    }
                }
                () = tokio::time::sleep(LOOK_EVERY) => {}
            }
        }
    }

    /// Tells other nodes how much of the job is unfinished.
    fn tell_unfinished(&self) {
        let (_, Some(route)) = self.rules() else { return };
        let items = self.items.iter().zip(&self.progress);
        let unfinished =
            items.filter(|(_, progress)| matches!(progress.state(), ItemState::Waiting(_) | ItemState::Running));
        self.context.note_unfinished(&self.job, &route, unfinished.map(|(item, _)| item.tokens).sum());
    }

    /// What is shown to readers.
    pub(crate) fn view(&self) -> JobView {
        JobView { total: self.items.len(), results: self.list.results.clone(), writing_since: None }
    }

    pub(crate) fn rules(&self) -> (GiveUpRules, Option<Arc<Route>>) {
        let table = self.context.shared.table();
        let route = table.find(&self.record.host, &self.record.path);
        let now = self.context.shared.clock.now();
        let retention = route.as_ref().map_or(DEFAULT_RETENTION, |route| route.retention);
        let expires = now + retention.saturating_sub(self.age());
        let max_failures = route.as_ref().map_or(DEFAULT_MAX_ATTEMPTS, |route| route.max_attempts);
        let services = route.iter().flat_map(|route| &route.targets);
        let servers = services.map(|target| self.context.shared.dispatcher().ready_count(&target.service)).sum();
        (GiveUpRules { max_failures, servers, expires }, route)
    }

    fn start_items(&mut self) {
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

    /// Time since the job was accepted.
    pub(crate) fn age(&self) -> Duration {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        wall.saturating_sub(Duration::from_millis(self.record.accepted_ms))
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
        let Some(outgoing) = outgoing_of(shared, &self.record.host, item) else { return true };
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

    fn end_run(&mut self, position: usize, progress: ItemProgress, end: RunEnd, reason: &str, server: &Arc<str>) {
        let now = self.context.shared.clock.now();
        let (rules, route) = self.rules();
        if let Some(run) = self.running.remove(&position) {
            self.context.runs.remove(&run.server, run.rank);
            self.context.note_runs(0, 1);
            if let Some(route) = route.filter(|_| end == RunEnd::Whole) {
                let of_run = progress.events().saturating_sub(run.events_before);
                self.context.note_whole(&route, progress.events(), of_run, now.since(run.started_at));
            }
        }
        if self.listed[position] {
            return;
        }
        self.progress[position] = progress;
        let progress = &mut self.progress[position];
        progress.end_run(now, server, end, &rules);
        let item = &self.items[position].id;
        let failures = progress.failures();
        if end != RunEnd::Whole {
            let events_kept = progress.events();
            let event = Event::ItemAttemptFailed { job: &self.job, item, server, reason, failures, events_kept };
            emit(&self.job, &event);
        }
        let end = match progress.state() {
            ItemState::Completed => ItemEnd::Completed,
            ItemState::GivenUp => ItemEnd::GivenUp,
            ItemState::Waiting(_) | ItemState::Running => return,
        };
        let after_ms = now.since(self.taken_at).as_millis() as u64;
        emit(&self.job, &Event::ItemEnded { job: &self.job, item, end, failures, after_ms });
        self.unlisted_since.get_or_insert(now);
    }
}

impl<S, D> JobRun<S, D> {
    /// It has nothing to start for now.
    fn forget_waiting(&mut self) {
        if let Some(rank) = self.rank.take() {
            self.context.forget_waiting(&rank);
        }
    }
}

impl<S, D> Drop for JobRun<S, D> {
    fn drop(&mut self) {
        self.context.owned.hide(&self.job);
        for run in self.running.values() {
            self.context.runs.remove(&run.server, run.rank);
        }
        self.forget_waiting();
        self.context.note_runs(0, self.running.len());
    }
}

/// Time that a worker waits before it lists results: none for a new job that
/// was assigned to it, since no other can have shown it.
fn grace_of(worker: &str, record: &JobRecord, list: &ResultList) -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let age = wall.saturating_sub(Duration::from_millis(record.accepted_ms));
    let is_new = record.assigned == worker && list.parts == 0 && age < NEW_JOB_AGE;
    if is_new {
        Duration::ZERO
    } else {
        TAKEOVER_GRACE
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
