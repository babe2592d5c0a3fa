//! An end that the store doesn't take in time lasts on workers' disks, so that it is done
//! whichever process ends before the store answers again.

use latchwheel_core::pending_cancellations::MAX_PENDING_CANCELLATIONS;
use latchwheel_http::{CallFault, Client};
use latchwheel_jobs::layout::{job_key, JobRecord, JobState};
use latchwheel_jobs::{ItemBody, JobBody, JobDesk, NodeRole, Nodes, OwnedJobs, Spool, Submission};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, RecordStore, RecordsFault, Transaction, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::watch;

const JOB: &str = "job-1";
const SUBMISSION: Submission<'_> =
    Submission { host: "host.example", path: "/path/x", tenant: Some("red"), route: None };
const OWNER: Option<&str> = Some("red");

/// A worker's disk, served at an address.
struct Disk {
    folder: TempDir,
    address: String,
    _stop: watch::Sender<bool>,
}

impl Disk {
    /// A new disk that takes jobs.
    async fn start(store: &MemoryStore) -> Self {
        let disk = Self::of(store, tempfile::tempdir().unwrap()).await;
        until(|| async { disk.folder.path().join("spool/on-record").exists() }).await;
        disk
    }

    /// What is found in a folder.
    async fn of(store: &MemoryStore, folder: TempDir) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let spool = Spool::open(Arc::new(store.clone()), "worker", &address, folder.path()).unwrap();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(spool.serve(OwnedJobs::new(Contact::default()), listener, stopped));
        Self { folder, address, _stop: stop }
    }

    /// Files of ends on it.
    fn ends(&self) -> Vec<PathBuf> {
        ends_in(self.folder.path())
    }
}

fn ends_in(folder: &Path) -> Vec<PathBuf> {
    let files = std::fs::read_dir(folder.join("spool")).unwrap().map(|entry| entry.unwrap().path());
    files.filter(|path| path.extension().is_some_and(|ending| ending == "end")).collect()
}

fn soon() -> Instant {
    Instant::now() + Duration::from_millis(800)
}

async fn until<F: std::future::Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds().await {
        assert!(Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A front's desk that knows these workers, and hands an end to all of them.
fn desk(store: &MemoryStore, disks: &[&Disk]) -> JobDesk<MemoryStore> {
    let nodes = Nodes::new(|_| Some(0));
    for (number, disk) in disks.iter().enumerate() {
        nodes.put(&format!("worker-{number}"), NodeRole::Worker, disk.address.parse().unwrap());
    }
    JobDesk::new(Arc::new(store.clone()), nodes, disks.len())
}

/// A store that is away.
fn away() -> MemoryStore {
    let store = MemoryStore::default();
    store.set_fault(Some(RecordsFault::Unknown));
    store
}

async fn take_job(store: &MemoryStore) {
    let body = JobBody { items: vec![ItemBody { id: "item-1".into(), ..ItemBody::default() }] };
    let time = Instant::now() + Duration::from_secs(10);
    desk(store, &[]).take(JOB, &SUBMISSION, body, time).await.unwrap();
}

async fn state(store: &MemoryStore) -> JobState {
    let record = store.get(&job_key(JOB)).await.unwrap().unwrap();
    let record: JobRecord = serde_json::from_slice(&record.value).unwrap();
    record.state
}

/// Asks for the end at a front that the store doesn't answer, until it is on the disks.
async fn ask_until_kept(caller: Option<&str>, disks: &[&Disk]) {
    let front = desk(&away(), disks);
    until(|| async {
        assert!(front.end(JOB, caller, soon()).await.is_err(), "the store has taken nothing");
        disks.iter().all(|disk| !disk.ends().is_empty())
    })
    .await;
}

#[tokio::test]
async fn an_end_is_done_by_a_worker_that_reaches_the_store() {
    let store = MemoryStore::default();
    take_job(&store).await;
    let disk = Disk::start(&store).await;
    let front = desk(&away(), &[&disk]);
    until(|| async { front.end(JOB, OWNER, soon()).await.is_ok() || state(&store).await == JobState::Ended }).await;
    until(|| async { disk.ends().is_empty() }).await;
}

/// The front and all workers end while the store is away; other processes find the disks.
#[tokio::test]
async fn an_end_outlasts_all_processes() {
    let worker_store = MemoryStore::default();
    let disks = [Disk::start(&worker_store).await, Disk::start(&worker_store).await];
    worker_store.set_fault(Some(RecordsFault::Refused));
    ask_until_kept(OWNER, &[&disks[0], &disks[1]]).await;
    for disk in &disks {
        let (store, found) = (MemoryStore::default(), tempfile::tempdir().unwrap());
        take_job(&store).await;
        std::fs::create_dir(found.path().join("spool")).unwrap();
        for end in disk.ends() {
            std::fs::copy(&end, found.path().join("spool").join(end.file_name().unwrap())).unwrap();
        }
        let after = Disk::of(&store, found).await;
        until(|| async { state(&store).await == JobState::Ended }).await;
        until(|| async { after.ends().is_empty() }).await;
    }
}

/// The job is on its way when its end comes from a disk: it comes in as ended.
#[tokio::test]
async fn an_end_from_a_disk_comes_before_its_job() {
    let store = MemoryStore::default();
    let disk = Disk::start(&store).await;
    store.set_fault(Some(RecordsFault::Refused));
    ask_until_kept(OWNER, &[&disk]).await;
    store.set_fault(None);
    until(|| async { disk.ends().is_empty() }).await;
    take_job(&store).await;
    assert_eq!(state(&store).await, JobState::Ended);
}

#[tokio::test]
async fn an_end_from_a_disk_ends_no_job_of_another_tenant() {
    let store = MemoryStore::default();
    take_job(&store).await;
    let disk = Disk::start(&store).await;
    store.set_fault(Some(RecordsFault::Refused));
    ask_until_kept(Some("blue"), &[&disk]).await;
    store.set_fault(None);
    until(|| async { disk.ends().is_empty() }).await;
    assert_eq!(state(&store).await, JobState::Open);
}

/// Callers that ask again and again during an outage fill no disk.
#[tokio::test]
async fn a_disk_keeps_an_end_once_and_no_more_than_so_many() {
    let store = MemoryStore::default();
    let disk = Disk::start(&store).await;
    store.set_fault(Some(RecordsFault::Refused));
    ask_until_kept(OWNER, &[&disk]).await;
    ask_until_kept(OWNER, &[&disk]).await;
    assert_eq!(disk.ends().len(), 1);
    for number in 1..MAX_PENDING_CANCELLATIONS {
        let end = serde_json::json!({ "job": format!("job-full-{number}"), "caller": null });
        std::fs::write(disk.folder.path().join(format!("spool/job-full-{number}.0.end")), end.to_string()).unwrap();
    }
    assert!(hand_over(&disk, JOB).await.is_ok(), "it is kept already");
    assert!(matches!(hand_over(&disk, "job-2").await, Err(CallFault::BadAnswer(507, _))));
    assert_eq!(disk.ends().len(), MAX_PENDING_CANCELLATIONS);
}

/// A caller that asks at several nodes at once: each of them hands the same end over, and
/// none of the writes spoils another one.
#[tokio::test]
async fn the_same_end_is_handed_over_many_times_at_once() {
    let store = MemoryStore::default();
    let disk = Disk::start(&store).await;
    store.set_fault(Some(RecordsFault::Refused));
    for round in 0..50 {
        let job = format!("job-{round}");
        let handed = futures::future::join_all((0..8).map(|_| hand_over(&disk, &job))).await;
        assert!(handed.iter().all(Result::is_ok), "{handed:?}");
    }
    assert_eq!(disk.ends().len(), 50);
}

/// Hands an end to a disk, as a front does.
async fn hand_over(disk: &Disk, job: &str) -> Result<bytes::Bytes, CallFault> {
    let end = serde_json::json!({ "job": job, "caller": OWNER }).to_string();
    let time = Duration::from_secs(10);
    Client::http1().call(hyper::Method::POST, &disk.address, "/spooled-end", end.into(), time).await
}

/// Four records can't be read, whose ends fail at each look: the others come into the store.
#[tokio::test]
async fn ends_that_always_fail_hold_up_no_others() {
    let store = MemoryStore::default();
    let disk = Disk::start(&store).await;
    let jobs: Vec<String> = (0..6).map(|number| format!("job-{number}")).collect();
    let (unreadable, others) = jobs.split_at(4);
    for job in others {
        let body = JobBody { items: vec![ItemBody::default()] };
        desk(&store, &[&disk]).take(job, &SUBMISSION, body, soon()).await.unwrap();
    }
    for job in unreadable {
        let write = Write { key: job_key(job), value: "no record".into(), lease: 0 };
        store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
    }
    store.set_fault(Some(RecordsFault::Unavailable));
    for job in &jobs {
        assert!(desk(&store, &[&disk]).end(job, OWNER, soon()).await.is_err());
    }
    until(|| async { disk.ends().len() == jobs.len() }).await;
    store.set_fault(None);
    until(|| async { disk.ends().len() == unreadable.len() }).await;
}
