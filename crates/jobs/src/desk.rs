//! Taking, ending and reading jobs, at any node.

use crate::asked_ends::AskedEnds;
use crate::assignment::assign;
use crate::handed::{write_job, Handed, Submission};
use crate::job_entry::JobEntry;
use crate::layout::{body_key, is_open_to, job_key, JobBody, JobRecord, JobSummary, ListedResult};
use crate::nodes::Nodes;
use crate::owned_jobs::page;
use crate::recent::Recent;
use crate::relay::relay;
use crate::results::ResultList;
use crate::spool::{hand_out_job, may_be_held};
use crate::worker_calls::WorkerCalls;
use bytes::Bytes;
use latchwheel_records::{Record, RecordStore, RecordsFault};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after which a job, or the end of one, goes to the workers' disks too.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(120);
/// Further time after which a node that hears of no worker either hands a job
/// to another front.
const CUT_OFF_PATIENCE: Duration = Duration::from_millis(150);
/// Pause before a call to the store is made again.
pub(crate) const PAUSE: Duration = Duration::from_millis(60);
/// The pause is doubled at each failure, up to this one.
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_millis(480);
/// Jobs whose results are remembered.
const REMEMBERED_JOBS: usize = 64;
/// Jobs whose bodies are remembered.
const REMEMBERED_BODIES: usize = 4;

/// Why a call on a job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeskFault {
    /// The store did not do it, and won't: nothing of a new job runs.
    Refused,
    /// It can't be told whether it was done.
    Unknown,
    /// There is no such job or item.
    Absent,
    /// Another job was handed in under this identity.
    Conflict,
}

impl DeskFault {
    /// A word for the log.
    pub fn word(self) -> &'static str {
        match self {
            DeskFault::Refused => "store_refused",
            DeskFault::Unknown => "store_gave_no_answer",
            DeskFault::Absent => "absent",
            DeskFault::Conflict => "another_job_has_the_identity",
        }
    }
}

/// A job that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taken {
    /// Whether it was known before.
    pub resent: bool,
    /// Disks that hold it; zero if the store does.
    pub disks: usize,
}

/// Some results of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Items of the job.
    pub total: usize,
    /// Results from the asked position on.
    pub results: Vec<Arc<ListedResult>>,
}

#[derive(Clone, Debug)]
struct Known {
    summary: JobSummary,
    list: ResultList,
}

impl Known {
    /// Whether what follows a position is known: a result, or that none comes.
    fn answers(&self, from: usize) -> bool {
        self.list.results.len() > from || self.list.results.len() >= self.summary.items
    }
}

#[derive(Debug)]
struct KnownBody {
    owner: Option<String>,
    body: JobBody,
}

/// Takes, ends and reads jobs. A job is absent for callers of other tenants than
/// the one that handed it in.
#[derive(Debug)]
pub struct JobDesk<S> {
    store: Arc<S>,
    nodes: Nodes,
    workers: WorkerCalls,
    copies: usize,
    ends: Arc<AskedEnds<S>>,
    known: Mutex<Recent<Known>>,
    bodies: Mutex<Recent<Arc<KnownBody>>>,
}

impl<S: RecordStore> JobDesk<S> {
    /// A desk on this store; `copies` disks of the workers make a job, and an end, last
    /// while the store is away.
    pub fn new(store: Arc<S>, nodes: Nodes, copies: usize) -> Self {
        Self {
            ends: AskedEnds::new(store.clone(), nodes.clone(), copies),
            store,
            workers: WorkerCalls::new(nodes.clone()),
            nodes,
            copies,
            known: Mutex::new(Recent::new(REMEMBERED_JOBS)),
            bodies: Mutex::new(Recent::new(REMEMBERED_BODIES)),
        }
    }

    /// Keeps a job. Once this returns, the job lasts: in the store, or on the
    /// disks of several workers where the store does not answer in time.
    ///
    /// # Errors
    /// [`DeskFault`]; with `Refused` nothing of the job will run.
    pub async fn take(
        &self,
        job: &str,
        submission: &Submission<'_>,
        body: JobBody,
        until: Instant,
    ) -> Result<Taken, DeskFault> {
        let workers = self.nodes.workers_for_new_jobs();
        let assigned = assign(job, &workers, |worker| self.nodes.waiting_at(worker));
        let handed = Arc::new(Handed::new(submission, body, assigned.as_deref()));
        let cut_off = async {
            tokio::time::sleep(STORE_TIMEOUT + CUT_OFF_PATIENCE).await;
            if self.nodes.hears_any_worker() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            kept = self.keep(job, &handed, until) => kept,
            // Another front may reach what this one doesn't.
            () = cut_off => relay(&self.nodes.fronts(), job, &handed).await,
        }
    }

    /// Keeps a job in the store or on disks, by what this node itself reaches.
    pub(crate) async fn keep(&self, job: &str, handed: &Arc<Handed>, until: Instant) -> Result<Taken, DeskFault> {
        let mut writing = tokio::spawn(write_job(self.store.clone(), job.to_owned(), handed.clone(), until));
        let patience = tokio::time::sleep(STORE_TIMEOUT);
        tokio::select! {
            written = &mut writing => match written.unwrap_or(Err(DeskFault::Unknown)) {
                Err(DeskFault::Refused | DeskFault::Unknown) => {}
                settled => return settled,
            },
            () = patience => {}
        }
        let workers = self.nodes.workers_to_keep(job);
        let spooling = hand_out_job(&workers, job, handed, self.copies);
        tokio::select! {
            written = &mut writing, if !writing.is_finished() => match written.unwrap_or(Err(DeskFault::Unknown)) {
                // Some disk may hold it by now, so that it may run.
                Err(DeskFault::Refused) => Err(DeskFault::Unknown),
                settled => settled,
            },
            kept = spooling => match kept {
                true => Ok(Taken { resent: false, disks: self.copies }),
                // Some disk may hold it: only the store can tell now.
                false if writing.is_finished() => Err(DeskFault::Unknown),
                false => writing.await.unwrap_or(Err(DeskFault::Unknown)).map_err(|_| DeskFault::Unknown),
            },
        }
    }

    /// Ends a job: none of its items is sent again, also where it is not in the store
    /// yet. What the store doesn't take until then is tried on after this has returned, and
    /// lasts on the disks of several workers where they can be reached.
    ///
    /// # Errors
    /// [`DeskFault`].
    pub async fn end(&self, job: &str, caller: Option<&str>, until: Instant) -> Result<(), DeskFault> {
        let ending = self.ends.clone().end(job.to_owned(), caller.map(str::to_owned), until);
        // A caller that leaves drops this call; it has asked for the end all the same.
        tokio::spawn(ending).await.unwrap_or(Err(DeskFault::Unknown))
    }

    /// Ends that this node is trying for its callers, also for those that have left. What it
    /// still tries after its answer is not among them.
    pub fn ends_in_progress(&self) -> usize {
        self.ends.in_progress()
    }

    /// Whether the job was taken before. Where that can't be told, the fault
    /// says so: a job that may be kept must not be refused for good.
    ///
    /// # Errors
    /// [`DeskFault`], except [`DeskFault::Absent`].
    pub async fn is_known(&self, job: &str) -> Result<bool, DeskFault> {
        match self.present(job).await {
            Ok(_) => Ok(true),
            Err(DeskFault::Absent) => Ok(false),
            Err(fault) => Err(fault),
        }
    }

    /// Whether a job of this identity is in the store. Asks nothing but the store, so that
    /// callers that may have no business with jobs cost one read.
    ///
    /// # Errors
    /// [`DeskFault`] if the store doesn't answer.
    pub async fn is_recorded(&self, job: &str) -> Result<bool, DeskFault> {
        Ok(self.store.get(&job_key(job)).await.map_err(desk_fault)?.is_some())
    }

    /// Whether this job is in the store: the same items of the same owner.
    ///
    /// # Errors
    /// [`DeskFault::Conflict`] if another job has its identity, else [`DeskFault`] of the store.
    pub async fn has_taken(&self, job: &str, submission: &Submission<'_>, body: JobBody) -> Result<bool, DeskFault> {
        let Some(record) = self.store.get(&job_key(job)).await.map_err(desk_fault)? else { return Ok(false) };
        let present = read_record(&record.value).ok_or(DeskFault::Unknown)?;
        let handed = Handed::new(submission, body, None);
        match JobEntry::new(&*self.store, job, &handed).is_of_same_job(&present) {
            true => Ok(true),
            false => Err(DeskFault::Conflict),
        }
    }

    /// Whether a job is in the store that was handed in while callers needed no key.
    ///
    /// # Errors
    /// [`DeskFault`] if the store doesn't answer.
    pub async fn is_open_to_all(&self, job: &str) -> Result<bool, DeskFault> {
        let record = self.store.get(&job_key(job)).await.map_err(desk_fault)?;
        Ok(record.and_then(|record| read_record(&record.value)).is_some_and(|record| record.is_open_to(None)))
    }

    /// Reads results from a position on, `byte_limit` at most but one at
    /// least; waits up to `wait` until there is one.
    ///
    /// # Errors
    /// [`DeskFault`].
    pub async fn read(
        &self,
        job: &str,
        caller: Option<&str>,
        from: usize,
        byte_limit: usize,
        wait: Duration,
    ) -> Result<ResultPage, DeskFault> {
        let until = Instant::now() + wait;
        let remembered = lock(&self.known).get(job).cloned();
        if remembered.as_ref().is_some_and(|known| !is_open_to(known.summary.tenant.as_deref(), caller)) {
            return Err(DeskFault::Absent);
        }
        if let Some(known) = remembered.as_ref().filter(|known| known.answers(from)) {
            return Ok(page_of(known, from, byte_limit));
        }
        if let Some(told) = self.workers.results(job, caller, from, byte_limit, wait).await {
            return Ok(ResultPage { total: told.total, results: told.results });
        }
        let mut known = match remembered {
            Some(known) => known,
            None => self.load(job).await?,
        };
        if !is_open_to(known.summary.tenant.as_deref(), caller) {
            return Err(DeskFault::Absent);
        }
        if !known.answers(from) {
            let left = until.saturating_duration_since(Instant::now());
            if let Err(fault) = known.list.extend(&*self.store, job, from, left).await {
                // What the watch missed may be in no history any more.
                lock(&self.known).remove(job);
                return Err(desk_fault(fault));
            }
        }
        let page = page_of(&known, from, byte_limit);
        self.remember(job, known);
        Ok(page)
    }

    async fn load(&self, job: &str) -> Result<Known, DeskFault> {
        let list = ResultList::load(&*self.store, job).await.map_err(desk_fault)?;
        let summary = match list.summary.clone() {
            Some(summary) => summary,
            None => {
                let record = self.record(job).await?;
                JobSummary { items: record.items, tenant: record.tenant }
            }
        };
        Ok(Known { summary, list })
    }

    fn remember(&self, job: &str, known: Known) {
        let mut remembered = lock(&self.known);
        let newer = remembered.get(job).is_none_or(|present| present.list.parts <= known.list.parts);
        if newer {
            remembered.put(job, known);
        }
    }

    async fn record(&self, job: &str) -> Result<JobRecord, DeskFault> {
        let record = self.present(job).await?;
        read_record(&record.value).ok_or(DeskFault::Unknown)
    }

    /// The job's record. That a job is absent is said only if it is on no
    /// disk either; it may have gone from there to the store meanwhile.
    async fn present(&self, job: &str) -> Result<Record, DeskFault> {
        let key = job_key(job);
        if let Some(record) = self.store.get(&key).await.map_err(desk_fault)? {
            return Ok(record);
        }
        if may_be_held(&*self.store, job).await.map_err(desk_fault)? {
            return Err(DeskFault::Unknown);
        }
        self.store.get(&key).await.map_err(desk_fault)?.ok_or(DeskFault::Absent)
    }

    /// Body of an item, in base64.
    ///
    /// # Errors
    /// [`DeskFault`].
    pub async fn item_body(&self, job: &str, caller: Option<&str>, item: &str) -> Result<String, DeskFault> {
        if let Some(body) = self.workers.item_body(job, caller, item).await {
            return Ok(body);
        }
        let remembered = lock(&self.bodies).get(job).cloned();
        let known = match remembered {
            Some(known) => known,
            None => {
                let record = self.record(job).await?;
                let body = read_body(&*self.store, job, &record).await.map_err(desk_fault)?;
                let known = Arc::new(KnownBody { owner: record.tenant, body });
                lock(&self.bodies).put(job, known.clone());
                known
            }
        };
        if !is_open_to(known.owner.as_deref(), caller) {
            return Err(DeskFault::Absent);
        }
        let found = known.body.items.iter().find(|present| present.id == item);
        found.map(|item| item.body.clone()).ok_or(DeskFault::Absent)
    }
}

/// Reads a job's items.
pub(crate) async fn read_body<S: RecordStore>(
    store: &S,
    job: &str,
    record: &JobRecord,
) -> Result<JobBody, RecordsFault> {
    let mut bytes = Vec::new();
    for part in 0..record.body_parts {
        let part = store.get_unchanging(&body_key(job, part)).await?.ok_or(RecordsFault::BadAnswer)?;
        bytes.extend_from_slice(&part.value);
    }
    serde_json::from_slice(&bytes).map_err(|_| RecordsFault::BadAnswer)
}

pub(crate) fn read_record(value: &[u8]) -> Option<JobRecord> {
    serde_json::from_slice(value).ok()
}

pub(crate) fn write_record(record: &JobRecord) -> Bytes {
    serde_json::to_vec(record).unwrap_or_default().into()
}

fn page_of(known: &Known, from: usize, byte_limit: usize) -> ResultPage {
    ResultPage { total: known.summary.items, results: page(&known.list.results, from, byte_limit) }
}

pub(crate) fn desk_fault(fault: RecordsFault) -> DeskFault {
    match fault {
        RecordsFault::Refused | RecordsFault::Unavailable | RecordsFault::Rejected => DeskFault::Refused,
        RecordsFault::Unknown | RecordsFault::HistoryLost | RecordsFault::BadAnswer => DeskFault::Unknown,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
