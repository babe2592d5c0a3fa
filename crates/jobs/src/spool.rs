//! Keeping a new job on disks while the record store is away.
//!
//! A node that can't write a job to the store in time hands it to some workers,
//! which write it to their disks. Once enough disks have it, it lasts, and is
//! accepted. How many are asked does not grow with the workers: each copy costs
//! the link of the node that hands it out, and a call to the store later. Every worker that holds a job writes it to the store as soon as
//! that answers, under the condition that it is absent, and removes its file
//! only then. Copies thus end up as one job, whichever arrives first.
//!
//! A job that is absent in the store may thus still be on a disk. Nobody says
//! that there is no such job before every disk on record has said that it
//! doesn't hold it; a disk that is down leaves the question open.
//!
//! Ends of jobs go the same way (`spooled_ends`).

use crate::disk_arrivals::DiskArrivals;
use crate::drain_turns::DrainTurns;
use crate::handed::Handed;
use crate::job_entry::{Entered, JobEntry};
use crate::layout::{disk_key, NodeRecord, NodeRole, DISK_PREFIX};
use crate::owned_jobs::OwnedJobs;
use crate::spooled_ends::{HandedEnd, SpooledEnds, ENDS_PATH, END_LIMIT};
use crate::worker_calls::{ITEM_BODY_PATH, RESULTS_PATH};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use latchwheel_core::retry::exponential_backoff;
use latchwheel_events::{emit, Event};
use latchwheel_http::{empty, read_bounded, serve, Body, CallFault, Client, Version};
use latchwheel_records::{OwnedKey, RecordStore, RecordsFault, NO_LEASE};
use std::fs::File;
use std::io::{ErrorKind, Write as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Mutex};

const PATH: &str = "/spool/";
const FOLDER: &str = "spool";
const FILE_ENDING: &str = "job";
/// File with the address under which the disk is on record.
const RECORDED: &str = "on-record";
/// Most bytes of a job.
const JOB_LIMIT: usize = 16 << 20;
/// Time in which a job must arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);
/// Time in which a worker must have kept a job.
const KEEP_TIME: Duration = Duration::from_millis(1500);
/// Workers that are asked at once beyond the copies that are needed: some are
/// dead or slow where a store is away.
const SPARE_COPIES: usize = 1;
/// Time without a kept copy after which a further worker is asked: four copies of
/// a job of 200 KB take 215 ms on a link of 30 megabits a second.
const HEDGE_AFTER: Duration = Duration::from_millis(300);
/// Time in which a worker must say whether it holds a job.
const ASK_TIME: Duration = Duration::from_millis(500);
/// Pause before the store is asked again, doubled at each failure in a row.
const DRAIN_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_DRAIN_PAUSE: Duration = Duration::from_millis(1200);
/// Jobs that may fail before the others wait for the next look, which begins with them:
/// the store is away then, and each call to it costs.
const FAILURES_IN_A_LOOK: usize = 2;
/// Of so many looks in a row that failed, one is told in the log.
const LOOKS_PER_LINE: u32 = 10;

/// Ending of a file that is being written.
const PARTIAL_ENDING: &str = "part";
/// Partial files that this process has begun.
static PARTIAL_FILES: AtomicU64 = AtomicU64::new(0);

/// Hands a job to workers in this order; see [`hand_out`].
pub(crate) async fn hand_out_job(workers: &[SocketAddr], job: &str, handed: &Handed, copies: usize) -> bool {
    let Ok(bytes) = serde_json::to_vec(handed) else { return false };
    hand_out(workers, &format!("{PATH}{job}"), bytes.into(), copies).await
}

/// Hands the end of a job to workers in this order; see [`hand_out`].
pub(crate) async fn hand_out_end(workers: &[SocketAddr], end: &HandedEnd, copies: usize) -> bool {
    let Ok(bytes) = serde_json::to_vec(end) else { return false };
    hand_out(workers, ENDS_PATH, bytes.into(), copies).await
}

/// Hands something to workers in this order, to no more of them than it takes;
/// completes once `copies` of them have kept it, or with `false` if that can't
/// be any more. One that fails is replaced at once, and a further one is asked
/// whenever none has kept it for [`HEDGE_AFTER`].
async fn hand_out(workers: &[SocketAddr], path: &str, bytes: Bytes, copies: usize) -> bool {
    use futures::stream::{FuturesUnordered, StreamExt};
    // The calls go on by themselves: more copies than needed do no harm.
    let mut further =
        workers.iter().map(|worker| tokio::spawn(hand_to(worker.to_string(), path.to_owned(), bytes.clone())));
    let mut calls: FuturesUnordered<_> = further.by_ref().take(copies + SPARE_COPIES).collect();
    let mut kept = 0;
    while kept < copies {
        tokio::select! {
            ended = calls.next() => match ended {
                Some(Ok(true)) => kept += 1,
                Some(_) => calls.extend(further.next()),
                None => return false,
            },
            () = tokio::time::sleep(HEDGE_AFTER) => calls.extend(further.next()),
        }
    }
    true
}

async fn hand_to(worker: String, path: String, bytes: Bytes) -> bool {
    Client::http1().call(Method::POST, &worker, &path, bytes, KEEP_TIME).await.is_ok()
}

/// Whether a disk on record holds a job, or can't be asked.
///
/// # Errors
/// If the records of the disks can't be read.
pub(crate) async fn may_be_held<S: RecordStore>(store: &S, job: &str) -> Result<bool, RecordsFault> {
    let disks = store.list(DISK_PREFIX).await?;
    let addresses = disks.records.iter().filter_map(|record| NodeRecord::read(&record.value));
    let questions = addresses.map(|disk| is_held(disk.address, job));
    let answers = futures::future::join_all(questions).await;
    Ok(answers.into_iter().any(|held| held != Some(false)))
}

/// `None` if the worker gives no answer.
async fn is_held(worker: String, job: &str) -> Option<bool> {
    let path = format!("{PATH}{job}");
    match Client::http1().call(Method::GET, &worker, &path, Bytes::new(), ASK_TIME).await {
        Ok(_) => Some(true),
        Err(CallFault::BadAnswer(404, _)) => Some(false),
        Err(_) => None,
    }
}

/// The jobs on this machine's disk, and ends of jobs.
#[derive(Debug)]
pub struct Spool<S> {
    store: Arc<S>,
    /// Record of this disk, without a lease: it stays while the machine is down.
    record: OwnedKey<S>,
    folder: PathBuf,
    on_record: AtomicBool,
    /// The disk is given up.
    closing: AtomicBool,
    /// Held while the disk is put on record.
    recording: Mutex<()>,
    arrivals: DiskArrivals,
    ends: SpooledEnds<S>,
}

impl<S: RecordStore> Spool<S> {
    /// Opens the folder of the worker `name` in its data folder, and starts to
    /// write what is there to the store. The disk is on record from the first
    /// time that the store answers; until then it takes no job.
    ///
    /// # Errors
    /// If the folder can't be made, or read.
    pub fn open(store: Arc<S>, name: &str, address: &str, data_folder: &Path) -> std::io::Result<Arc<Self>> {
        let folder = data_folder.join(FOLDER);
        std::fs::create_dir_all(&folder)?;
        remove_partial_files(&folder)?;
        File::open(data_folder)?.sync_all()?;
        let recorded = folder.join(RECORDED);
        let spool = Arc::new(Self {
            ends: SpooledEnds::new(store.clone(), folder.clone()),
            record: OwnedKey::new(store.clone(), disk_key(name)),
            store,
            folder,
            on_record: AtomicBool::new(std::fs::read_to_string(&recorded).is_ok_and(|known| known == address)),
            closing: AtomicBool::new(false),
            recording: Mutex::default(),
            arrivals: DiskArrivals::default(),
        });
        tokio::spawn(spool.clone().put_on_record(NodeRecord {
            role: NodeRole::Worker,
            address: address.to_owned(),
            is_upstream: false,
        }));
        tokio::spawn(spool.clone().drain());
        Ok(spool)
    }

    /// Takes jobs and ends from other nodes at this address, and answers their calls on
    /// the jobs that the worker runs.
    pub async fn serve(self: Arc<Self>, owned: Arc<OwnedJobs>, listener: TcpListener, stop: watch::Receiver<bool>) {
        serve(listener, Version::Http1, stop, move |request| {
            let (spool, owned) = (self.clone(), owned.clone());
            async move {
                match request.uri().path() {
                    RESULTS_PATH | ITEM_BODY_PATH => owned.answer(request).await,
                    _ => spool.answer(request).await,
                }
            }
        })
        .await;
    }

    /// Completes once neither a job nor an end is left on the disk.
    pub async fn emptied(&self) {
        self.arrivals.none_left().await;
    }

    /// Takes no further job or end, and takes the disk off the record once it is empty.
    pub async fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        let _not_put_on_record = self.recording.lock().await;
        self.on_record.store(false, Ordering::SeqCst);
        self.remove_note().await;
        self.arrivals.all_ended().await;
        self.emptied().await;
        let mut failures = 0;
        while let Err(fault) = self.record.remove_present().await {
            log_record_not_changed(fault, failures);
            failures += 1;
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
    }

    async fn put_on_record(self: Arc<Self>, record: NodeRecord) {
        let _recording = self.recording.lock().await;
        let value = record.write();
        let mut failures = 0;
        while !self.closing.load(Ordering::SeqCst) {
            match self.record.write(&value, NO_LEASE).await {
                Ok(_) => return self.note_on_record(&record.address).await,
                Err(fault) => log_record_not_changed(fault, failures),
            }
            failures += 1;
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
    }

    async fn note_on_record(&self, address: &str) {
        // Whoever sees the note may hand a job over at once.
        self.on_record.store(true, Ordering::SeqCst);
        let (folder, address) = (self.folder.clone(), address.to_owned());
        let noted = tokio::task::spawn_blocking(move || write_synced(&folder.join(RECORDED), address.as_bytes()));
        // Without the note the disk only has to be put on record again.
        let _ = noted.await;
    }

    /// Without it the folder takes no job at a later start until it is on record again.
    async fn remove_note(&self) {
        loop {
            let folder = self.folder.clone();
            let removed = tokio::task::spawn_blocking(move || remove_synced(&folder, RECORDED)).await;
            let reason = match removed {
                Ok(Ok(())) => return,
                Ok(Err(fault)) => fault.to_string(),
                Err(fault) => fault.to_string(),
            };
            emit("", &Event::DiskNoteKept { path: &self.folder.to_string_lossy(), reason: &reason });
            tokio::time::sleep(LONGEST_DRAIN_PAUSE).await;
        }
    }

    async fn holds(&self, job: &str) -> bool {
        let path = self.folder.join(format!("{job}.{FILE_ENDING}"));
        tokio::task::spawn_blocking(move || path.exists()).await.unwrap_or(true)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let mut response = Response::new(empty());
        let taken = match request.uri().path() {
            ENDS_PATH => self.take_end(request).await,
            _ => self.take(request).await,
        };
        *response.status_mut() = taken.err().unwrap_or(StatusCode::OK);
        response
    }

    async fn take_end(&self, request: Request<Incoming>) -> Result<(), StatusCode> {
        if *request.method() != Method::POST {
            return Err(StatusCode::NOT_FOUND);
        }
        let _arrival = self.arrivals.begin();
        if self.closing.load(Ordering::SeqCst) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let bytes = read_bounded(request.into_body(), END_LIMIT, ARRIVAL_TIME).await;
        let bytes = bytes.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
        self.ends.keep(bytes.to_vec()).await
    }

    async fn take(&self, request: Request<Incoming>) -> Result<(), StatusCode> {
        let job = request.uri().path().strip_prefix(PATH).unwrap_or_default().to_owned();
        let named_well =
            !job.is_empty() && job.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte));
        if !named_well {
            return Err(StatusCode::NOT_FOUND);
        }
        if *request.method() == Method::GET {
            return if self.holds(&job).await { Ok(()) } else { Err(StatusCode::NOT_FOUND) };
        }
        let _arrival = self.arrivals.begin();
        if *request.method() != Method::POST || !self.on_record.load(Ordering::SeqCst) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let bytes = read_bounded(request.into_body(), JOB_LIMIT, ARRIVAL_TIME).await;
        let bytes = bytes.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
        if serde_json::from_slice::<Handed>(&bytes).is_err() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let length = bytes.len();
        let folder = self.folder.clone();
        let file_name = job.clone();
        let kept = tokio::task::spawn_blocking(move || write_file(&folder, &file_name, FILE_ENDING, &bytes)).await;
        match kept {
            Ok(Ok(())) => {
                emit(&job, &Event::JobSpooled { job: &job, bytes: length });
                Ok(())
            }
            Ok(Err(fault)) => {
                emit(&job, &Event::SpoolFailed { job: &job, reason: &fault.to_string() });
                Err(StatusCode::INSUFFICIENT_STORAGE)
            }
            Err(_) => Err(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Writes what is on the disk to the store, for ever.
    async fn drain(self: Arc<Self>) {
        let mut failures = 0;
        let mut turns = DrainTurns::default();
        loop {
            let ended = self.arrivals.ended();
            let Some(Kept { mut jobs, unread }) = self.read_kept().await else {
                tokio::time::sleep(exponential_backoff(DRAIN_PAUSE, LONGEST_DRAIN_PAUSE, failures)).await;
                failures += 1;
                continue;
            };
            // Ends that the store won't take hold up no job.
            let ends_left = self.ends.drain(FAILURES_IN_A_LOOK, failures).await;
            let mut left = 0;
            turns.order(&mut jobs, |(job, _, _)| job);
            for (job, path, handed) in jobs {
                if let Err(reason) = self.drain_one(&job, path, &handed).await {
                    left += 1;
                    log_not_drained(&job, &reason, failures);
                }
                turns.note_tried(job);
                if left >= FAILURES_IN_A_LOOK {
                    break;
                }
            }
            if ends_left + left + unread > 0 {
                tokio::time::sleep(exponential_backoff(DRAIN_PAUSE, LONGEST_DRAIN_PAUSE, failures)).await;
                failures += 1;
                continue;
            }
            failures = 0;
            self.arrivals.note_empty(ended);
            self.arrivals.next().await;
        }
    }

    /// What is on the disk; `None` if that can't be told now.
    async fn read_kept(&self) -> Option<Kept> {
        let folder = self.folder.clone();
        let reason = match tokio::task::spawn_blocking(move || read_files(&folder)).await {
            Ok(Ok(kept)) => return Some(kept),
            Ok(Err(fault)) => fault.to_string(),
            Err(fault) => fault.to_string(),
        };
        emit("", &Event::SpoolUnread { path: &self.folder.to_string_lossy(), reason: &reason });
        None
    }

    /// Brings a job into the store; gives back why that failed.
    async fn drain_one(&self, job: &str, path: PathBuf, handed: &Handed) -> Result<(), String> {
        let present = match JobEntry::new(&*self.store, job, handed).write(&*self.store).await {
            Ok(Entered::New) => false,
            Ok(Entered::Present(_)) => true,
            Err(fault) => return Err(fault.word().to_owned()),
        };
        emit(job, &Event::SpoolDrained { job, present });
        let removed = tokio::task::spawn_blocking(move || std::fs::remove_file(path)).await;
        removed.map_err(|fault| fault.to_string())?.map_err(|fault| fault.to_string())
    }
}

/// Logs that the disk's record stays as it is, at the first of several tries in a row and at some
/// of the others.
fn log_record_not_changed(fault: RecordsFault, failures: u32) {
    if failures.is_multiple_of(LOOKS_PER_LINE) {
        emit("", &Event::DiskRecordNotChanged { reason: fault.word() });
    }
}

/// Tells that a job stays on the disk, at the first of several looks that fail in a row
/// and at some of the others.
pub(crate) fn log_not_drained(job: &str, reason: &str, failures: u32) {
    if failures.is_multiple_of(LOOKS_PER_LINE) {
        emit(job, &Event::SpoolNotDrained { job, reason, looks: failures + 1 });
    }
}

/// Writes a file so that it lasts under its name or isn't there. The same may be handed
/// over by several nodes at once: each write has a partial file of its own.
pub(crate) fn write_file(folder: &Path, name: &str, ending: &str, bytes: &[u8]) -> std::io::Result<()> {
    let path = folder.join(format!("{name}.{ending}"));
    let number = PARTIAL_FILES.fetch_add(1, Ordering::Relaxed);
    let partial = folder.join(format!("{name}.{number}.{PARTIAL_ENDING}"));
    let written = write_synced(&partial, bytes).and_then(|()| std::fs::rename(&partial, &path));
    if let Err(fault) = written {
        let _ = std::fs::remove_file(&partial);
        return Err(fault);
    }
    File::open(folder)?.sync_all()
}

/// Removes what a process that ended while it wrote has left.
fn remove_partial_files(folder: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|ending| ending == PARTIAL_ENDING) {
            std::fs::remove_file(path)?;
        }
    }
    Ok(())
}

fn write_synced(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// Removes a file, if it is there, so that it stays away.
fn remove_synced(folder: &Path, name: &str) -> std::io::Result<()> {
    match std::fs::remove_file(folder.join(name)) {
        Err(fault) if fault.kind() != ErrorKind::NotFound => Err(fault),
        _ => File::open(folder)?.sync_all(),
    }
}

/// Jobs on a disk.
#[derive(Default)]
struct Kept {
    jobs: Vec<(String, PathBuf, Handed)>,
    /// Files that could not be read this time.
    unread: usize,
}

/// All jobs in the folder. A file that the disk doesn't give now is looked at again; one
/// whose content is no job is left where it is, and logged.
fn read_files(folder: &Path) -> std::io::Result<Kept> {
    let mut kept = Kept::default();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|ending| ending != FILE_ENDING) {
            continue;
        }
        let name = path.file_stem().and_then(|name| name.to_str()).unwrap_or_default().to_owned();
        match std::fs::read(&path) {
            Ok(bytes) => match serde_json::from_slice(&bytes) {
                Ok(handed) => kept.jobs.push((name, path, handed)),
                Err(fault) => log_unread(&name, &path, &fault),
            },
            Err(fault) => {
                log_unread(&name, &path, &fault);
                kept.unread += 1;
            }
        }
    }
    Ok(kept)
}

fn log_unread(job: &str, path: &Path, fault: &dyn std::error::Error) {
    emit(job, &Event::SpoolUnread { path: &path.to_string_lossy(), reason: &fault.to_string() });
}
