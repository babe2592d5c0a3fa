//! Running one job: its items, and the list of their results.

use crate::desk::read_body;
use crate::item_failures::{poll_recording, Recording};
use crate::item_starts::RunningItem;
use crate::job_confirmation::{poll_confirmation, Confirmation, ConfirmationFailures};
use crate::job_listing::{poll_listing, Listing};
use crate::layout::{ItemBody, JobBody, JobRecord};
use crate::owned_jobs::{JobView, TAKEOVER_GRACE};
use crate::results::ResultList;
use crate::stalled_items::IdleItems;
use crate::start_order::StartRank;
use crate::start_permission::StartPermission;
use crate::worker_context::WorkerContext;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use latchwheel_core::dispatch::RecentPreemptions;
use latchwheel_core::item_progress::{ItemProgress, ItemState, RunEnd};
use latchwheel_core::job_route::RouteAbsence;
use latchwheel_core::retry::exponential_backoff;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event, ItemOutcome};
use latchwheel_proxy::Dialect;
use latchwheel_records::{RecordStore, RecordsFault, RegistrationEpoch};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Time between looks at what may start or be listed.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Pause before the store is asked again.
pub(crate) const STORE_PAUSE: Duration = Duration::from_millis(150);
/// The pause is doubled at each failure, up to this one: a worker has many jobs.
pub(crate) const LONGEST_STORE_PAUSE: Duration = Duration::from_millis(1200);
/// Of so many failures in a row to load a job, one is told in the log.
const LOADS_PER_LINE: u32 = 10;

/// Runs that were cut together start again within this time of each other: one of them
/// may be the reason, and the others are better off elsewhere.
const RETRY_SPREAD: Duration = Duration::from_millis(300);

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
    /// Its record can't be read: whether it is open is not known.
    RecordUnreadable,
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
            LeaveReason::RecordUnreadable => "record_unreadable",
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
    let loaded = tokio::select! {
        loaded = load_until_done(&context, &job, &record) => loaded,
        // Nothing of it runs or could be listed.
        _ = orders.wait_for(|order| *order != JobOrder::Run) => return,
    };
    emit(
        &job,
        &Event::JobTaken {
            job: &job,
            items: loaded.body.items.len(),
            listed: loaded.list.results.len(),
            workers: context.worker_count(),
        },
    );
    let permission = StartPermission::new(context.end_in_force, orders.clone(), context.owned.contact().clone());
    let mut run = JobRun::new(context, job, record, revision, loaded, permission);
    let reason = run.run(&mut orders).await;
    run.context.forget_unfinished(&run.job);
    if reason.goes_on_elsewhere() {
        // The other worker may list before this one is done: readers ask the store.
        run.settled = false;
        run.show_list();
        run.list_before_leaving().await;
    }
    emit(&run.job, &Event::JobLeft { job: &run.job, reason: reason.word(), listed: run.list.results.len() });
}

/// Tells that a job can't be run yet, at the first failure and some of the others.
fn log_not_loaded(job: &str, fault: RecordsFault, failures: u32) {
    if failures.is_multiple_of(LOADS_PER_LINE) {
        emit(job, &Event::JobNotLoaded { job, reason: fault.word(), tries: failures + 1 });
    }
}

/// Loads a job, however often that fails.
async fn load_until_done<S: RecordStore, D: Dialect>(
    context: &WorkerContext<S, D>,
    job: &str,
    record: &JobRecord,
) -> LoadedJob {
    let mut failures = 0;
    loop {
        match load(context, job, record).await {
            Ok(loaded) => return loaded,
            Err(fault) => log_not_loaded(job, fault, failures),
        }
        tokio::time::sleep(exponential_backoff(STORE_PAUSE, LONGEST_STORE_PAUSE, failures)).await;
        failures += 1;
    }
}

/// What the store has of a job beside its record.
struct LoadedJob {
    body: JobBody,
    list: ResultList,
    /// When this worker was registered while it read the list.
    read_in: Option<RegistrationEpoch>,
}

async fn load<S: RecordStore, D: Dialect>(
    context: &WorkerContext<S, D>,
    job: &str,
    record: &JobRecord,
) -> Result<LoadedJob, RecordsFault> {
    let body = read_body(&*context.store, job, record).await?;
    let read_in = context.owned.contact().registration_epoch();
    let list = ResultList::load(&*context.store, job).await?;
    Ok(LoadedJob { body, list, read_in })
}

/// A job that this worker runs.
pub(crate) struct JobRun<S, D: Dialect> {
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
    pub(crate) idle: IdleItems,
    pub(crate) concessions: RecentPreemptions,
    /// Its place among the jobs that have items to start, once it had some.
    pub(crate) rank: Option<StartRank>,
    /// Whether it was logged that its items can't be in time any more.
    pub(crate) overdue_logged: bool,
    pub(crate) listing: Option<Listing>,
    pub(crate) recording: Option<Recording>,
    /// Items failed since the last record of that was begun.
    pub(crate) failures_changed: bool,
    pub(crate) unlisted_since: Option<Instant>,
    pub(crate) taken_at: Instant,
    /// Results are listed from this time on.
    pub(crate) lists_from: Instant,
    /// Whether no other worker can list any more.
    pub(crate) settled: bool,
    /// When this worker was registered while it read the list.
    pub(crate) read_in: Option<RegistrationEpoch>,
    /// Whether items may be sent now.
    pub(crate) permission: Arc<StartPermission>,
    /// Since when items wait because the job may have been ended.
    pub(crate) held_since: Option<Instant>,
    pub(crate) confirmation: Option<Confirmation>,
    pub(crate) confirmation_failures: ConfirmationFailures,
    /// Why the job has to be left, once its record showed that.
    pub(crate) closed: Option<LeaveReason>,
    /// Absence of its route from the table.
    pub(crate) route_absence: RouteAbsence,
}

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    fn new(
        context: Arc<WorkerContext<S, D>>,
        job: String,
        record: JobRecord,
        revision: u64,
        loaded: LoadedJob,
        permission: StartPermission,
    ) -> Self {
        let LoadedJob { body, list, read_in } = loaded;
        let positions = body.items.iter().enumerate().map(|(position, item)| (item.id.clone(), position)).collect();
        let count = body.items.len();
        let taken_at = context.shared.clock.now();
        let grace = grace_of(&context.name, &record, &list);
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
            idle: IdleItems::new(count, taken_at),
            concessions: RecentPreemptions::default(),
            rank: None,
            overdue_logged: false,
            listing: None,
            recording: None,
            failures_changed: false,
            unlisted_since: None,
            taken_at,
            lists_from: taken_at + grace,
            settled: grace.is_zero(),
            read_in,
            permission: Arc::new(permission),
            held_since: None,
            confirmation: None,
            confirmation_failures: ConfirmationFailures::default(),
            closed: None,
            route_absence: RouteAbsence::default(),
        };
        run.note_list();
        run.note_earlier_failures();
        run.context.owned.show(&run.job, run.items.clone(), run.view());
        run
    }

    async fn run(&mut self, orders: &mut watch::Receiver<JobOrder>) -> LeaveReason {
        loop {
            if let Some(reason) = self.closed {
                return reason;
            }
            let order = orders.borrow_and_update().clone();
            match order {
                JobOrder::Leave(reason) => return reason,
                JobOrder::Run => {
                    self.tell_unfinished();
                    self.give_way();
                    self.start_items().await;
                    self.report_stalled();
                }
                JobOrder::Wind if self.runs.is_empty() && self.listing.is_none() && self.ready_to_list().is_empty() => {
                    return LeaveReason::WorkerLeaves;
                }
                JobOrder::Wind => {}
            }
            self.note_registration();
            self.settle().await;
            if let Some(reason) = self.closed {
                return reason;
            }
            self.begin_listing();
            self.begin_recording();
            if self.listing.is_none() && self.listed.iter().all(|listed| *listed) {
                return LeaveReason::Finished;
            }
            tokio::select! {
                Some((position, progress, end, reason, server)) = self.runs.next() => {
                    self.end_run(position, progress, end, reason, &server);
                }
                committed = poll_listing(&mut self.listing) => self.end_listing(committed).await,
                written = poll_recording(&mut self.recording) => self.end_recording(written),
                read = poll_confirmation(&mut self.confirmation) => self.closed = self.end_confirmation(read),
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
        let (_, route) = self.rules();
        let Some(route) = route.filter(|route| route.queued_token_limit > 0) else {
            return self.context.forget_unfinished(&self.job);
        };
        let items = self.items.iter().zip(&self.progress);
        let unfinished =
            items.filter(|(_, progress)| matches!(progress.state(), ItemState::Waiting(_) | ItemState::Running));
        let tokens = unfinished.map(|(item, _)| item.tokens).sum();
        self.context.note_unfinished(&self.job, &route, self.record.tenant.as_deref(), tokens);
    }

    /// What is shown to readers.
    pub(crate) fn view(&self) -> JobView {
        JobView {
            total: self.items.len(),
            results: self.list.results.clone(),
            writing_since: None,
            tenant: self.record.tenant.clone(),
            settled: self.settled,
            read_in: self.read_in,
        }
    }

    /// After a loss of this worker's registration another worker may run the job, or have run it:
    /// the job counts as taken over anew.
    fn note_registration(&mut self) {
        let epoch = self.context.owned.contact().registration_epoch();
        if epoch.is_none() || epoch == self.read_in || !self.settled {
            return;
        }
        emit(&self.job, &Event::JobMayBeElsewhere { job: &self.job, listed: self.list.results.len() });
        self.settled = false;
        self.lists_from = self.context.shared.clock.now() + TAKEOVER_GRACE;
        self.show_list();
    }

    /// After a takeover the list is read once more when the former worker can
    /// list nothing any more; a store that is away is asked again at the next look.
    async fn settle(&mut self) {
        if self.settled || self.context.shared.clock.now() < self.lists_from {
            return;
        }
        self.settled = self.reload().await;
        self.show_list();
    }

    fn end_run(&mut self, position: usize, progress: ItemProgress, end: RunEnd, reason: &str, server: &Arc<str>) {
        let now = self.context.shared.clock.now();
        let (rules, route) = self.rules();
        if let Some(run) = self.running.remove(&position) {
            self.context.runs.remove(&run.server, run.number);
            self.context.note_runs(0, 1);
            if let Some(route) = route.filter(|_| end == RunEnd::Completed) {
                let last_run_events = progress.events().saturating_sub(run.events_before);
                self.context.note_completed(&route, progress.events(), last_run_events, now.since(run.started_at));
                if let Some(begun) = progress.first_run() {
                    let events = progress.events().saturating_sub(begun.events);
                    self.context.note_elapsed(&route, events, now.since(begun.at));
                }
            }
        }
        self.idle.note_run_ended(position, now);
        if self.listed[position] {
            return;
        }
        self.progress[position] = progress;
        let progress = &mut self.progress[position];
        progress.end_run(now, server, end, &rules);
        if matches!(end, RunEnd::Interrupted | RunEnd::Unusable | RunEnd::ServerLost) {
            progress.delay(RETRY_SPREAD.mul_f64(rand::random()));
        }
        let item = &self.items[position].id;
        let failures = progress.failures();
        self.failures_changed |= end == RunEnd::Failed && matches!(progress.state(), ItemState::Waiting(_));
        if end != RunEnd::Completed {
            let events_kept = progress.events();
            let event = Event::ItemAttemptFailed { job: &self.job, item, server, reason, failures, events_kept };
            emit(&self.job, &event);
        }
        let outcome = match progress.state() {
            ItemState::Completed => ItemOutcome::Completed,
            ItemState::GivenUp => ItemOutcome::GivenUp,
            ItemState::Waiting(_) | ItemState::Running => return,
        };
        let reason = match end {
            RunEnd::Completed => "completed",
            RunEnd::Impossible => "impossible",
            RunEnd::Failed if now < rules.expires => "failed",
            _ => self.expiry_reason(),
        };
        self.log_item_end(now, position, outcome, reason);
        self.unlisted_since.get_or_insert(now);
    }

    /// Logs that an item has its result.
    pub(crate) fn log_item_end(&self, now: Instant, position: usize, end: ItemOutcome, reason: &str) {
        let item = &self.items[position].id;
        let failures = self.progress[position].failures();
        let after_ms = now.since(self.taken_at).as_millis() as u64;
        emit(&self.job, &Event::ItemEnded { job: &self.job, item, end, reason, failures, after_ms });
    }
}

impl<S, D: Dialect> Drop for JobRun<S, D> {
    fn drop(&mut self) {
        self.context.owned.hide(&self.job);
        for run in self.running.values() {
            self.context.runs.remove(&run.server, run.number);
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
