//! A worker: its registration, and the jobs that fall to it.
//!
//! Every worker registers itself under a lease and follows the open jobs and
//! the other workers. A job falls to the live worker that rendezvous hashing
//! names. Two workers may hold a job at once for a moment; then items run
//! twice, but the list of results takes each once.

use crate::desk::read_record;
use crate::job_run::{run_job, JobOrder};
use crate::layout::{job_of_key, worker_key, worker_of_key, JobRecord, JobState, WORK_PREFIX};
use bytes::Bytes;
use latchwheel_core::identity::{stable_hash, stable_pair_hash};
use latchwheel_events::{emit, Event};
use latchwheel_proxy::{Dialect, Shared};
use latchwheel_records::{follow, Change, Committed, Followed, Record, RecordStore, RecordsFault, Transaction, Write};
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Length of a worker's lease.
const LEASE: Duration = Duration::from_millis(4500);
/// The lease is renewed this often.
const RENEW_EVERY: Duration = Duration::from_millis(1200);
/// Pause before the store is asked again.
const STORE_PAUSE: Duration = Duration::from_millis(200);
/// Least time between two looks at the jobs.
const FOLLOW_PACE: Duration = Duration::from_millis(300);

/// What the jobs of a worker share.
#[derive(Debug)]
pub struct WorkerContext<S, D> {
    /// The record store.
    pub store: Arc<S>,
    /// Servers, routes and connections.
    pub shared: Arc<Shared<D>>,
    workers: AtomicUsize,
}

impl<S, D> WorkerContext<S, D> {
    /// Workers that are believed to live.
    pub(crate) fn worker_count(&self) -> usize {
        self.workers.load(Ordering::Relaxed)
    }
}

/// Tells a worker to leave.
#[derive(Clone, Debug)]
pub struct WorkerHandle {
    leave: watch::Sender<bool>,
    left: watch::Receiver<bool>,
}

impl WorkerHandle {
    /// Takes no further work, and completes once what ran has ended and the
    /// registration is gone.
    pub async fn leave(&self) {
        self.leave.send_replace(true);
        let mut left = self.left.clone();
        let _ = left.wait_for(|left| *left).await;
    }
}

/// Starts a worker of that name.
pub fn run_worker<S: RecordStore, D: Dialect>(
    store: Arc<S>,
    shared: Arc<Shared<D>>,
    name: &str,
    renewed: impl Fn() + Send + 'static,
) -> WorkerHandle {
    let (leave, leaves) = watch::channel(false);
    let (left_sender, left) = watch::channel(false);
    let context = Arc::new(WorkerContext { store, shared, workers: AtomicUsize::new(0) });
    let name = name.to_owned();
    tokio::spawn(async move {
        let registration = tokio::spawn(keep_registered(context.store.clone(), name.clone(), renewed));
        divide_jobs(context.clone(), name.clone(), leaves).await;
        registration.abort();
        unregister(&*context.store, &name).await;
        left_sender.send_replace(true);
    });
    WorkerHandle { leave, left }
}

async fn keep_registered<S: RecordStore>(store: Arc<S>, name: String, renewed: impl Fn()) {
    let mut lease = None;
    loop {
        let registered = match lease {
            Some(lease) => store.renew(lease).await.map(|lives| lives.then_some(lease)),
            None => register(&*store, &name).await,
        };
        match registered {
            Ok(Some(present)) => {
                lease = Some(present);
                renewed();
                tokio::time::sleep(RENEW_EVERY).await;
            }
            Ok(None) => lease = None,
            Err(_) => tokio::time::sleep(STORE_PAUSE).await,
        }
    }
}

async fn register<S: RecordStore>(store: &S, name: &str) -> Result<Option<u64>, RecordsFault> {
    let lease = store.grant(LEASE).await?;
    let write = Write { key: worker_key(name), value: Bytes::from_static(b"worker"), lease };
    let transaction = Transaction { writes: vec![write], ..Transaction::default() };
    match store.commit(&transaction).await? {
        Committed::Done(_) => Ok(Some(lease)),
        Committed::Differs(_) | Committed::NoLease => Ok(None),
    }
}

/// The lease ends the registration where this can't.
async fn unregister<S: RecordStore>(store: &S, name: &str) {
    let transaction = Transaction { removes: vec![worker_key(name)], ..Transaction::default() };
    let _ = store.commit(&transaction).await;
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
    winding: bool,
}

async fn divide_jobs<S: RecordStore, D: Dialect>(
    context: Arc<WorkerContext<S, D>>,
    name: String,
    mut leaves: watch::Receiver<bool>,
) {
    let (sender, mut seen) = mpsc::unbounded_channel();
    let following = follow(context.store.clone(), WORK_PREFIX.to_owned(), FOLLOW_PACE, move |followed| {
        let _ = sender.send(followed);
    });
    let following = tokio::spawn(following);
    let mut division = Division { context, name, workers: BTreeSet::new(), jobs: HashMap::new(), winding: false };
    loop {
        tokio::select! {
            followed = seen.recv() => match followed {
                Some(followed) => division.take(followed),
                None => break,
            },
            _ = leaves.wait_for(|leave| *leave) => break,
        }
        // Whatever came together is acted on together.
        while let Ok(followed) = seen.try_recv() {
            division.take(followed);
        }
        division.act();
    }
    following.abort();
    division.wind_up().await;
}

impl<S: RecordStore, D: Dialect> Division<S, D> {
    fn take(&mut self, followed: Followed) {
        match followed {
            Followed::All(records) => self.replace_all(records),
            Followed::Changed(Change::Written(record)) => self.note_record(record),
            Followed::Changed(Change::Removed { key, .. }) => self.note_removed(&key),
            Followed::Lost(_) | Followed::Regained(_) | Followed::Sound => {}
        }
    }

    fn replace_all(&mut self, records: Vec<Record>) {
        let before = std::mem::take(&mut self.workers);
        let present: BTreeSet<&str> = records.iter().filter_map(|record| job_of_key(&record.key)).collect();
        let missing: Vec<String> = self.jobs.keys().filter(|job| !present.contains(job.as_str())).cloned().collect();
        for job in missing {
            self.drop_job(&job, "record_gone");
        }
        records.into_iter().for_each(|record| self.note_record(record));
        if before != self.workers {
            self.log_workers();
        }
    }

    fn note_record(&mut self, record: Record) {
        if let Some(worker) = worker_of_key(&record.key) {
            if self.workers.insert(worker.to_owned()) {
                self.log_workers();
            }
        }
        let Some(job) = job_of_key(&record.key) else { return };
        let Some(job_record) = read_record(&record.value) else { return };
        if job_record.state != JobState::Open {
            let reason = if job_record.state == JobState::Ended { "ended" } else { "finished" };
            self.drop_job(job, reason);
            return;
        }
        let revision = record.revision;
        self.jobs.entry(job.to_owned()).or_insert(Job { record: job_record, revision, run: None });
    }

    fn note_removed(&mut self, key: &str) {
        if let Some(worker) = worker_of_key(key) {
            if self.workers.remove(worker) {
                self.log_workers();
            }
        }
        if let Some(job) = job_of_key(key) {
            self.drop_job(job, "record_gone");
        }
    }

    fn drop_job(&mut self, job: &str, reason: &'static str) {
        if let Some(Job { run: Some((orders, _)), .. }) = self.jobs.remove(job) {
            orders.send_replace(JobOrder::Leave(reason));
        }
    }

    fn log_workers(&self) {
        self.context.workers.store(self.workers.len(), Ordering::Relaxed);
        let workers = self.workers.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        emit("", &Event::WorkersChanged { workers: &workers });
    }

    /// Starts the jobs that fall to this worker, and leaves the others.
    fn act(&mut self) {
        for (name, job) in &mut self.jobs {
            let ours = !self.winding && owner_of(name, &self.workers) == Some(self.name.as_str());
            match (&job.run, ours) {
                (None, true) => {
                    let (orders, received) = watch::channel(JobOrder::Run);
                    let run = run_job(self.context.clone(), name.clone(), job.record.clone(), job.revision, received);
                    job.run = Some((orders, tokio::spawn(run)));
                }
                (Some((orders, _)), false) => {
                    orders.send_replace(JobOrder::Leave("falls_to_another"));
                    job.run = None;
                }
                _ => {}
            }
        }
    }

    async fn wind_up(mut self) {
        self.winding = true;
        let runs: Vec<_> = self.jobs.into_values().filter_map(|job| job.run).collect();
        for (orders, _) in &runs {
            orders.send_replace(JobOrder::Wind);
        }
        for (_, run) in runs {
            let _ = run.await;
        }
    }
}

/// The worker to which a job falls.
fn owner_of<'a>(job: &str, workers: &'a BTreeSet<String>) -> Option<&'a str> {
    let key = stable_hash(job.as_bytes());
    let weight = |worker: &&String| stable_pair_hash(stable_hash(worker.as_bytes()), key);
    workers.iter().max_by_key(weight).map(String::as_str)
}
