//! A worker: its registration, and the jobs that fall to it.
//!
//! Every worker registers itself under a lease and follows the open jobs and
//! the other workers. A job falls to the live worker that rendezvous hashing
//! names. Two workers may hold a job at once for a moment; then items run
//! twice, but the list of results takes each once.

use crate::assignment::owner_of;
use crate::desk::read_record;
use crate::expiry::{remove_jobs, ClosedJobs};
use crate::job_listing::LEAVING_TIME;
use crate::job_retake::{begin_retakes, EndedRun};
use crate::job_run::{run_job, JobOrder, LeaveReason};
use crate::layout::{job_of_key, node_of_key, JobRecord, JobState, NodeRecord, NodeRole, WORK_PREFIX};
use crate::leaving_runs::{LeavingRuns, Run};
use crate::leaving_workers::{LeavingAnnouncer, LeavingWorkers};
use crate::owned_jobs::OwnedJobs;
use crate::worker_context::WorkerContext;
use futures::stream::{FuturesUnordered, StreamExt};
use latchwheel_core::live_workers::LiveWorkers;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::{sleep_or_never, Dialect, Shared};
use latchwheel_records::{Change, Followed, Record, RecordStore, WatchCache};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time that runs which were told to leave may begin late, and need to tell what they left.
const LEAVING_MARGIN: Duration = Duration::from_millis(100);
/// Time between looks at jobs that may be removed, and at those that nobody runs.
const LOOK_PACE: Duration = Duration::from_secs(2);
/// Least time between two looks at the jobs.
const FOLLOW_PACE: Duration = Duration::from_millis(450);

/// Tells a worker to leave.
#[derive(Clone, Debug)]
pub struct WorkerHandle {
    /// When it has to have left.
    leave: watch::Sender<Option<Instant>>,
    left: watch::Receiver<bool>,
}

impl WorkerHandle {
    /// Takes no further work, and completes once what ran has ended; what still runs
    /// shortly before `limit` is left to other workers. Whatever the limit is, 0.8 s are
    /// given for listing what has ended. Of several limits the earliest holds.
    pub async fn leave(&self, limit: Duration) {
        let end = Instant::now() + limit;
        self.leave.send_modify(|present| *present = Some(present.map_or(end, |present| present.min(end))));
        let mut left = self.left.clone();
        let _ = left.wait_for(|left| *left).await;
    }
}

/// Times that a worker keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerRules {
    /// Time from its acceptance for which a job that runs no longer is kept.
    pub keep: Duration,
    /// Time after the acknowledged end of a job from which on none of its items may start.
    pub end_in_force: Duration,
}

/// For as long as an hour after its acceptance a job may be asked for; its client waits
/// some seconds for its end.
impl Default for WorkerRules {
    fn default() -> Self {
        Self { keep: Duration::from_secs(3600), end_in_force: Duration::from_secs(3) }
    }
}

/// Starts a worker of that name; it gets jobs once a worker is registered
/// under that name (see [`crate::layout::NodeRecord`]).
pub fn run_worker<S: RecordStore, D: Dialect>(
    store: Arc<S>,
    cache: &Arc<WatchCache<S>>,
    shared: Arc<Shared<D>>,
    owned: Arc<OwnedJobs>,
    name: &str,
    rules: WorkerRules,
) -> WorkerHandle {
    let (leave, leaves) = watch::channel(None);
    let (left_sender, left) = watch::channel(false);
    let (name, cache) = (name.to_owned(), cache.clone());
    let context = Arc::new(WorkerContext::new(store, shared, owned, &name, rules.end_in_force));
    tokio::spawn(make_room(context.clone()));
    tokio::spawn(async move {
        divide_jobs(context.clone(), cache, name.clone(), rules, leaves).await;
        left_sender.send_replace(true);
    });
    WorkerHandle { leave, left }
}

/// Breaks off runs where other nodes ask for room. All workers with runs there
/// are asked: each breaks one off with the chance of its share, one in all.
async fn make_room<S: RecordStore, D: Dialect>(context: Arc<WorkerContext<S, D>>) {
    let Some(mut wanted) = context.shared.take_room_wanted() else { return };
    let Some(mut ordered) = context.shared.take_room_ordered() else { return };
    loop {
        let key = tokio::select! {
            Some(key) = ordered.recv() => {
                context.runs.break_first(context.shared.clock.now(), key);
                continue;
            }
            Some(key) = wanted.recv() => key,
            else => return,
        };
        let Some(server) = context.runs.server(key) else { continue };
        let now = context.shared.clock.now();
        let share = context.shared.dispatcher().own_share_of_deferrable(now, &server);
        if rand::random::<f64>() < share {
            context.runs.break_first(now, key);
        }
    }
}

pub(crate) struct Job {
    pub(crate) record: JobRecord,
    pub(crate) revision: u64,
    pub(crate) run: Option<Run>,
    /// The run ended although the job is believed open.
    pub(crate) ended: Option<EndedRun>,
}

impl Job {
    /// A job that nobody runs yet at this worker.
    fn new(record: JobRecord, revision: u64) -> Self {
        Self { record, revision, run: None, ended: None }
    }
}

struct Division<S, D> {
    context: Arc<WorkerContext<S, D>>,
    name: String,
    workers: LiveWorkers,
    workers_changed: bool,
    /// Workers that wind up.
    leaving_workers: LeavingWorkers,
    jobs: HashMap<String, Job>,
    /// Runs that were told to leave, by job.
    leaving: LeavingRuns,
    closed: ClosedJobs,
    /// The removal of old jobs that was begun last.
    removal: Option<JoinHandle<()>>,
    rules: WorkerRules,
}

async fn divide_jobs<S: RecordStore, D: Dialect>(
    context: Arc<WorkerContext<S, D>>,
    cache: Arc<WatchCache<S>>,
    name: String,
    rules: WorkerRules,
    mut leaves: watch::Receiver<Option<Instant>>,
) {
    let (sender, mut seen) = mpsc::unbounded_channel();
    let following = cache.follow(WORK_PREFIX, FOLLOW_PACE, move |followed| {
        let _ = sender.send(followed);
    });
    let mut division = Division {
        context,
        name,
        workers: LiveWorkers::default(),
        workers_changed: false,
        leaving_workers: LeavingWorkers::default(),
        jobs: HashMap::new(),
        leaving: LeavingRuns::default(),
        closed: ClosedJobs::default(),
        removal: None,
        rules,
    };
    let mut next_look = Instant::now() + LOOK_PACE;
    loop {
        tokio::select! {
            followed = seen.recv() => match followed {
                Some(followed) => division.take(followed),
                None => break,
            },
            _ = leaves.wait_for(Option::is_some) => break,
            () = division.worker_lapses() => division.tick(),
            () = tokio::time::sleep_until(next_look) => {
                division.expire();
                begin_retakes(&division.context, &mut division.jobs);
                division.leaving.forget_ended();
                division.context.log_stalled();
                next_look = Instant::now() + LOOK_PACE;
            }
        }
        // Whatever came together is acted on together.
        while let Ok(followed) = seen.try_recv() {
            division.take(followed);
        }
        division.act();
    }
    following.abort();
    division.wind_up(leaves).await;
}

impl<S: RecordStore, D: Dialect> Division<S, D> {
    /// Completes when a worker is to be given up that did not return after an
    /// outage of the store; never, if there is none.
    async fn worker_lapses(&self) {
        sleep_or_never(self.workers.grace_end().map(|end| end.since(self.now()))).await;
    }

    fn tick(&mut self) {
        self.workers_changed |= self.workers.tick(self.now());
    }

    fn now(&self) -> latchwheel_core::time::Instant {
        self.context.shared.clock.now()
    }

    fn take(&mut self, followed: Followed) {
        let answering_for = self.context.owned.contact().answering_for().filter(|_| !followed.is_loss());
        self.workers.note_store(self.now(), answering_for);
        match followed {
            Followed::All(listing) => {
                self.leaving_workers.note_all(&listing.records);
                self.replace_all(listing.records);
            }
            Followed::Changed(changes) => {
                changes.changes.iter().for_each(|change| self.leaving_workers.note_change(change));
                changes.changes.into_iter().for_each(|change| self.take_change(change));
            }
            Followed::CompleteAsOf(at) => self.context.owned.note_known(at),
            Followed::Kept(_) | Followed::Lost(_) | Followed::StillLost | Followed::Regained(_) => {}
        }
    }

    fn take_change(&mut self, change: Change) {
        match change {
            Change::Written(record) => self.note_record(record),
            Change::Removed { key, .. } => self.note_removed(&key),
        }
    }

    fn replace_all(&mut self, records: Vec<Record>) {
        let registered: BTreeSet<&str> = records.iter().filter_map(|record| node_of_key(&record.key)).collect();
        self.workers_changed |= self.workers.note_all(self.now(), &registered);
        let present: BTreeSet<&str> = records.iter().filter_map(|record| job_of_key(&record.key)).collect();
        self.closed.keep_only(&present);
        let missing: Vec<String> = self.jobs.keys().filter(|job| !present.contains(job.as_str())).cloned().collect();
        for job in missing {
            self.drop_job(&job, LeaveReason::RecordGone);
        }
        records.into_iter().for_each(|record| self.note_record(record));
    }

    fn note_record(&mut self, record: Record) {
        if let Some(node) = node_of_key(&record.key) {
            let is_worker = NodeRecord::read(&record.value).is_some_and(|node| node.role == NodeRole::Worker);
            if is_worker {
                self.workers_changed |= self.workers.note_registered(node);
            }
        }
        let Some(job) = job_of_key(&record.key) else { return };
        let Some(job_record) = read_record(&record.value) else {
            self.drop_job(job, LeaveReason::RecordUnreadable);
            return;
        };
        if job_record.state != JobState::Open {
            let ended = job_record.state == JobState::Ended;
            let reason = if ended { LeaveReason::Ended } else { LeaveReason::Finished };
            self.drop_job(job, reason);
            self.closed.note(job, job_record, record.revision);
            return;
        }
        let revision = record.revision;
        let known = self.jobs.entry(job.to_owned()).or_insert_with(|| Job::new(job_record.clone(), revision));
        // A run reads its record itself; this is for the next one.
        (known.record, known.revision) = (job_record, revision);
    }

    fn note_removed(&mut self, key: &str) {
        if let Some(node) = node_of_key(key) {
            self.workers_changed |= self.workers.note_missing(self.now(), node);
        }
        if let Some(job) = job_of_key(key) {
            self.closed.forget(job);
            self.drop_job(job, LeaveReason::RecordGone);
        }
    }

    fn drop_job(&mut self, job: &str, reason: LeaveReason) {
        if let Some(Job { run: Some(run), .. }) = self.jobs.remove(job) {
            self.leaving.leave(job, run, reason);
        }
    }

    /// Tells of all changes of the workers that came together.
    fn log_workers(&mut self) {
        if !std::mem::take(&mut self.workers_changed) {
            return;
        }
        self.context.set_worker_count(self.workers.names().len());
        let workers = self.workers.names().iter().map(String::as_str).collect::<Vec<_>>().join(",");
        emit("", &Event::WorkersChanged { workers: &workers });
    }

    /// Removes what is kept of old jobs that would fall to this worker, unless it is still
    /// removing those of an earlier look. A removal that fails is taken up at a later one.
    fn expire(&mut self) {
        if self.removal.as_ref().is_some_and(|removal| !removal.is_finished()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut due = self.closed.due(now.as_millis() as u64, self.rules.keep);
        due.retain(|(job, record, _)| {
            owner_of(job, &record.assigned, self.workers.names()) == Some(self.name.as_str())
        });
        self.removal = (!due.is_empty()).then(|| tokio::spawn(remove_jobs(self.context.store.clone(), due)));
    }

    /// Starts the jobs that fall to this worker, and leaves the others.
    fn act(&mut self) {
        self.log_workers();
        let mut elsewhere = HashMap::new();
        for (name, job) in &mut self.jobs {
            let (assigned, workers) = (&job.record.assigned, self.workers.names());
            let owner = self.leaving_workers.owner_of(name, assigned, workers);
            let ours = owner == Some(self.name.as_str());
            if let Some(owner) = owner.filter(|_| !ours) {
                elsewhere.insert(name.clone(), owner.to_owned());
            }
            match (job.run.take(), ours) {
                (None, true) => {
                    let (orders, received) = watch::channel(JobOrder::Run);
                    let run = run_job(self.context.clone(), name.clone(), job.record.clone(), job.revision, received);
                    job.run = Some((orders, tokio::spawn(self.leaving.then(name, run))));
                }
                (Some(run), false) => {
                    self.leaving.leave(name, run, LeaveReason::FallsToAnother);
                    job.ended = None;
                }
                (run, _) => job.run = run,
            }
        }
        self.context.owned.set_elsewhere(elsewhere);
    }

    /// Lets the runs end within the limit, and has others run all other jobs. What is left then
    /// lists what it has, in the last part of that time: the process may end right after.
    async fn wind_up(mut self, leaves: watch::Receiver<Option<Instant>>) {
        let runs = std::mem::take(&mut self.jobs).into_iter().filter_map(|(job, known)| Some((job, known.run?)));
        let (mut orders, mut ending, mut held) = (Vec::new(), FuturesUnordered::new(), BTreeSet::new());
        for (job, (order, run)) in runs {
            order.send_replace(JobOrder::Wind);
            orders.push(order);
            held.insert(job.clone());
            ending.push(ended_run(run, Some(job)));
        }
        let (held, holds) = watch::channel(held);
        let announcing = self.announce_leaving(&leaves, holds);
        ending.extend(self.leaving.into_runs().map(|run| ended_run(run, None)));
        let leaving_time = LEAVING_TIME + LEAVING_MARGIN;
        tokio::select! {
            () = all_ended(&mut ending, &held) => return announcing.abort(),
            () = has_to_leave(leaves, leaving_time) => {}
        }
        for order in &orders {
            order.send_replace(JobOrder::Leave(LeaveReason::WorkerLeaves));
        }
        if tokio::time::timeout(leaving_time, all_ended(&mut ending, &held)).await.is_err() {
            emit("", &Event::JobsNotLeft { jobs: ending.len() });
        }
        announcing.abort();
    }

    /// Has other workers run the jobs that this one doesn't hold any more.
    fn announce_leaving(
        &self,
        leaves: &watch::Receiver<Option<Instant>>,
        holds: watch::Receiver<BTreeSet<String>>,
    ) -> JoinHandle<()> {
        let (context, worker) = (self.context.clone(), self.name.clone());
        let registration = self.leaving_workers.registration_of(&worker);
        let time = leaves.borrow().map_or(Duration::ZERO, |end| end.saturating_duration_since(Instant::now()));
        tokio::spawn(async move {
            // Without a registration no job falls to this worker.
            let Some(registration) = registration else { return };
            LeavingAnnouncer { worker, registration, time }.announce(&*context.store, holds).await;
        })
    }
}

/// Completes when a run has ended; gives back the job, if it was held until then.
async fn ended_run(run: JoinHandle<()>, held: Option<String>) -> Option<String> {
    let _ = run.await;
    held
}

/// Completes when all runs have ended; the job of one that has is held no longer.
async fn all_ended<R: Future<Output = Option<String>>>(
    runs: &mut FuturesUnordered<R>,
    held: &watch::Sender<BTreeSet<String>>,
) {
    while let Some(job) = runs.next().await {
        held.send_if_modified(|held| job.is_some_and(|job| held.remove(&job)));
    }
}

/// Completes when only the time for leaving the jobs is left. The end may be moved forward
/// meanwhile.
async fn has_to_leave(mut leaves: watch::Receiver<Option<Instant>>, leaving_time: Duration) {
    loop {
        let now = Instant::now();
        let end = leaves.borrow_and_update().unwrap_or(now);
        tokio::select! {
            () = tokio::time::sleep(end.saturating_duration_since(now).saturating_sub(leaving_time)) => return,
            // Without a handle there is nobody left to move the end.
            Ok(()) = leaves.changed() => {}
        }
    }
}
