//! A worker: its registration, and the jobs that fall to it.
//!
//! Every worker registers itself under a lease and follows the open jobs and
//! the other workers. A job falls to the live worker that rendezvous hashing
//! names. Two workers may hold a job at once for a moment; then items run
//! twice, but the list of results takes each once.

use crate::assignment::owner_of;
use crate::desk::read_record;
use crate::expiry::{remove_job, ClosedJobs};
use crate::job_run::{run_job, JobOrder, LeaveReason};
use crate::layout::{job_of_key, node_of_key, JobRecord, JobState, NodeRecord, NodeRole, WORK_PREFIX};
use crate::owned_jobs::OwnedJobs;
use crate::run_registry::RunRegistry;
use crate::start_order::{StartOrder, StartRank};
use crate::unfinished::UnfinishedTokens;
use latchwheel_core::dispatch::{RouteKey, StartBudget};
use latchwheel_core::routes::Route;
use latchwheel_core::run_times::RunTimes;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::{Dialect, Shared};
use latchwheel_records::{Change, Followed, Record, RecordStore, WatchCache};
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time between looks at jobs that may be removed.
const EXPIRY_LOOK: Duration = Duration::from_secs(2);
/// Runs that all workers together break off for each slot that is wanted: a few
/// too many cost less than a request that waits.
const EAGERNESS: f64 = 1.0;
/// Least time between two looks at the jobs.
const FOLLOW_PACE: Duration = Duration::from_millis(450);

/// What the jobs of a worker share.
#[derive(Debug)]
pub struct WorkerContext<S, D> {
    /// The record store.
    pub store: Arc<S>,
    /// Servers, routes and connections.
    pub shared: Arc<Shared<D>>,
    pub(crate) name: String,
    pub(crate) owned: Arc<OwnedJobs>,
    workers: AtomicUsize,
    running: AtomicUsize,
    starts: Mutex<StartBudget>,
    order: Mutex<StartOrder>,
    unfinished: Mutex<UnfinishedTokens>,
    pub(crate) runs: RunRegistry,
    /// How long items take, by route.
    times: Mutex<HashMap<Arc<str>, RunTimes>>,
}

impl<S, D> WorkerContext<S, D> {
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
    pub(crate) fn refill_starts(&self, now: latchwheel_core::time::Instant, route: &Route, reserve: f64)
    where
        D: Dialect,
    {
        let services = route.targets.iter().map(|target| &target.service);
        let room = services.map(|service| self.shared.dispatcher().room(now, service, reserve)).sum();
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
        order.set(rank, items);
        self.shared.dispatcher().set_waiting(u32::try_from(order.total()).unwrap_or(u32::MAX));
        order.is_first(rank)
    }

    /// A job has nothing to start any more.
    pub(crate) fn forget_waiting(&self, rank: &StartRank) {
        self.order.lock().unwrap_or_else(PoisonError::into_inner).set(rank, 0);
    }

    /// So many tokens of a job are unfinished; other nodes are told where its
    /// route has a limit.
    pub(crate) fn note_unfinished(&self, job: &str, route: &Route, tokens: u64)
    where
        D: Dialect,
    {
        if route.queued_token_limit == 0 {
            return;
        }
        let key = RouteKey::of(&route.name);
        let sum = self.unfinished().set(job, key, tokens);
        self.shared.dispatcher().set_queued_tokens(key, sum);
    }

    /// This worker runs a job no longer.
    pub(crate) fn forget_unfinished(&self, job: &str)
    where
        D: Dialect,
    {
        let left = self.unfinished().remove(job);
        if let Some((route, sum)) = left {
            self.shared.dispatcher().set_queued_tokens(route, sum);
        }
    }

    /// How long items of a route take.
    pub(crate) fn run_times(&self, route: &Route) -> RunTimes {
        self.times().get(&route.name).copied().unwrap_or_default()
    }

    /// An item of a route is whole.
    pub(crate) fn note_whole(&self, route: &Route, events: u64, of_run: u64, time: Duration) {
        self.times().entry(route.name.clone()).or_default().note_whole(events, of_run, time);
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

/// Tells a worker to leave.
#[derive(Clone, Debug)]
pub struct WorkerHandle {
    leave: watch::Sender<Option<Duration>>,
    left: watch::Receiver<bool>,
}

impl WorkerHandle {
    /// Takes no further work, and completes once what ran has ended; what
    /// still runs after `limit` is left to other workers.
    pub async fn leave(&self, limit: Duration) {
        self.leave.send_replace(Some(limit));
        let mut left = self.left.clone();
        let _ = left.wait_for(|left| *left).await;
    }
}

/// Starts a worker of that name; it gets jobs once a worker is registered
/// under that name (see [`crate::layout::NodeRecord`]). A job that runs no
/// longer is kept for `keep` from its acceptance.
pub fn run_worker<S: RecordStore, D: Dialect>(
    store: Arc<S>,
    cache: &Arc<WatchCache<S>>,
    shared: Arc<Shared<D>>,
    owned: Arc<OwnedJobs>,
    name: &str,
    keep: Duration,
) -> WorkerHandle {
    let (leave, leaves) = watch::channel(None);
    let (left_sender, left) = watch::channel(false);
    let (name, cache) = (name.to_owned(), cache.clone());
    let context = Arc::new(WorkerContext {
        store,
        shared,
        name: name.clone(),
        owned,
        workers: AtomicUsize::new(0),
        running: AtomicUsize::new(0),
        starts: Mutex::default(),
        order: Mutex::default(),
        unfinished: Mutex::default(),
        runs: RunRegistry::default(),
        times: Mutex::default(),
    });
    tokio::spawn(make_room(context.clone()));
    tokio::spawn(async move {
        divide_jobs(context.clone(), cache, name.clone(), keep, leaves).await;
        left_sender.send_replace(true);
    });
    WorkerHandle { leave, left }
}

/// Breaks off runs where other nodes ask for room, by this worker's share of
/// the runs there.
async fn make_room<S: RecordStore, D: Dialect>(context: Arc<WorkerContext<S, D>>) {
    let Some(mut wanted) = context.shared.take_room_wanted() else { return };
    while let Some(key) = wanted.recv().await {
        let Some(server) = context.runs.server(key) else { continue };
        let now = context.shared.clock.now();
        let share = context.shared.dispatcher().own_share_of_deferrable(now, &server);
        if rand::random::<f64>() < share * EAGERNESS {
            context.runs.break_first(key);
        }
    }
}

struct Job {
    record: JobRecord,
    revision: u64,
    run: Option<(watch::Sender<JobOrder>, JoinHandle<()>)>,
}

struct Division<S, D> {
    context: Arc<WorkerContext<S, D>>,
    name: String,
    workers: BTreeSet<String>,
    jobs: HashMap<String, Job>,
    closed: ClosedJobs,
    keep: Duration,
}

async fn divide_jobs<S: RecordStore, D: Dialect>(
    context: Arc<WorkerContext<S, D>>,
    cache: Arc<WatchCache<S>>,
    name: String,
    keep: Duration,
    mut leaves: watch::Receiver<Option<Duration>>,
) {
    let (sender, mut seen) = mpsc::unbounded_channel();
    let following = cache.follow(WORK_PREFIX, FOLLOW_PACE, move |followed| {
        let _ = sender.send(followed);
    });
    let mut division =
        Division { context, name, workers: BTreeSet::new(), jobs: HashMap::new(), closed: ClosedJobs::default(), keep };
    let mut next_expiry = Instant::now() + EXPIRY_LOOK;
    loop {
        tokio::select! {
            followed = seen.recv() => match followed {
                Some(followed) => division.take(followed),
                None => break,
            },
            _ = leaves.wait_for(Option::is_some) => break,
            () = tokio::time::sleep_until(next_expiry) => {
                division.expire();
                next_expiry = Instant::now() + EXPIRY_LOOK;
            }
        }
        // Whatever came together is acted on together.
        while let Ok(followed) = seen.try_recv() {
            division.take(followed);
        }
        division.act();
    }
    following.abort();
    let limit = leaves.borrow().unwrap_or_default();
    division.wind_up(limit).await;
}

impl<S: RecordStore, D: Dialect> Division<S, D> {
    fn take(&mut self, followed: Followed) {
        match followed {
            Followed::All(listing) => self.replace_all(listing.records),
            Followed::Changed(changes) => changes.changes.into_iter().for_each(|change| self.take_change(change)),
            Followed::Lost(_) | Followed::StillLost | Followed::Regained(_) => {}
        }
    }

    fn take_change(&mut self, change: Change) {
        match change {
            Change::Written(record) => self.note_record(record),
            Change::Removed { key, .. } => self.note_removed(&key),
        }
    }

    fn replace_all(&mut self, records: Vec<Record>) {
        let before = std::mem::take(&mut self.workers);
        let present: BTreeSet<&str> = records.iter().filter_map(|record| job_of_key(&record.key)).collect();
        let missing: Vec<String> = self.jobs.keys().filter(|job| !present.contains(job.as_str())).cloned().collect();
        for job in missing {
            self.drop_job(&job, LeaveReason::RecordGone);
        }
        records.into_iter().for_each(|record| self.note_record(record));
        if before != self.workers {
            self.log_workers();
        }
    }

    fn note_record(&mut self, record: Record) {
        if let Some(node) = node_of_key(&record.key) {
            let is_worker = NodeRecord::read(&record.value).is_some_and(|node| node.role == NodeRole::Worker);
            if is_worker && self.workers.insert(node.to_owned()) {
                self.log_workers();
            }
        }
        let Some(job) = job_of_key(&record.key) else { return };
        let Some(job_record) = read_record(&record.value) else { return };
        if job_record.state != JobState::Open {
            let ended = job_record.state == JobState::Ended;
            let reason = if ended { LeaveReason::Ended } else { LeaveReason::Finished };
            self.drop_job(job, reason);
            self.closed.note(job, job_record, record.revision);
            return;
        }
        let revision = record.revision;
        self.jobs.entry(job.to_owned()).or_insert(Job { record: job_record, revision, run: None });
    }

    fn note_removed(&mut self, key: &str) {
        if let Some(node) = node_of_key(key) {
            if self.workers.remove(node) {
                self.log_workers();
            }
        }
        if let Some(job) = job_of_key(key) {
            self.closed.forget(job);
            self.drop_job(job, LeaveReason::RecordGone);
        }
    }

    fn drop_job(&mut self, job: &str, reason: LeaveReason) {
        if let Some(Job { run: Some((orders, _)), .. }) = self.jobs.remove(job) {
            orders.send_replace(JobOrder::Leave(reason));
        }
    }

    fn log_workers(&self) {
        self.context.workers.store(self.workers.len(), Ordering::Relaxed);
        let workers = self.workers.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        emit("", &Event::WorkersChanged { workers: &workers });
    }

    /// Removes what is kept of old jobs that would fall to this worker. A
    /// removal that fails is taken up at the next look.
    fn expire(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        for (job, record, revision) in self.closed.due(now.as_millis() as u64, self.keep) {
            if owner_of(&job, &record.assigned, &self.workers) != Some(self.name.as_str()) {
                continue;
            }
            let store = self.context.store.clone();
            tokio::spawn(async move {
                if let Ok(true) = remove_job(&*store, &job, &record, revision).await {
                    emit(&job, &Event::JobRemoved { job: &job });
                }
            });
        }
    }

    /// Starts the jobs that fall to this worker, and leaves the others.
    fn act(&mut self) {
        let mut elsewhere = HashMap::new();
        for (name, job) in &mut self.jobs {
            let owner = owner_of(name, &job.record.assigned, &self.workers);
            let ours = owner == Some(self.name.as_str());
            if let Some(owner) = owner.filter(|_| !ours) {
                elsewhere.insert(name.clone(), owner.to_owned());
            }
            match (&job.run, ours) {
                (None, true) => {
                    let (orders, received) = watch::channel(JobOrder::Run);
                    let run = run_job(self.context.clone(), name.clone(), job.record.clone(), job.revision, received);
                    job.run = Some((orders, tokio::spawn(run)));
                }
                (Some((orders, _)), false) => {
                    orders.send_replace(JobOrder::Leave(LeaveReason::FallsToAnother));
                    job.run = None;
                }
                _ => {}
            }
        }
        self.context.owned.set_elsewhere(elsewhere);
    }

    async fn wind_up(self, limit: Duration) {
        let runs: Vec<_> = self.jobs.into_values().filter_map(|job| job.run).collect();
        for (orders, _) in &runs {
            orders.send_replace(JobOrder::Wind);
        }
        let end = tokio::time::Instant::now() + limit;
        for (orders, run) in runs {
            if tokio::time::timeout_at(end, run).await.is_err() {
                orders.send_replace(JobOrder::Leave(LeaveReason::WorkerLeaves));
            }
        }
    }
}
