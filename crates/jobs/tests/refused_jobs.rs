//! A job that is answered as refused never runs.
//!
//! The refusal of a new job promises that nothing of it runs. While the store refuses
//! every write, a front hands the job to workers' disks. If one disk has kept it and
//! another worker gives no answer, the time for the answer may be over before enough
//! disks have it. The disk writes the job to the store as soon as that is back: the job
//! runs, although its client was told that it never would.

use latchwheel_jobs::layout::job_key;
use latchwheel_jobs::{DeskFault, ItemBody, JobBody, JobDesk, NodeRole, Nodes, OwnedJobs, Spool, Submission};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, RecordStore, RecordsFault};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

const SUBMISSION: Submission<'_> = Submission { host: "host.example", path: "/path/x", tenant: None, route: None };
const JOB: &str = "job-1";

fn body() -> JobBody {
    JobBody { items: vec![ItemBody { id: "item".into(), path: "/path/item".into(), ..ItemBody::default() }] }
}

async fn until<F: std::future::Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds().await {
        assert!(Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Serves a worker's disk; gives back its address and what stops it when it is dropped.
async fn disk(store: &MemoryStore, folder: &Path) -> (String, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let spool = Spool::open(Arc::new(store.clone()), "worker-0", &address, folder).unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(spool.serve(OwnedJobs::new(Contact::default()), listener, stopped));
    until(|| async { folder.join("spool/on-record").exists() }).await;
    (address, stop)
}

#[tokio::test]
async fn a_job_on_a_disk_is_never_answered_as_refused() {
    let store = MemoryStore::default();
    let folder = tempfile::tempdir().unwrap();
    let (address, _stop) = disk(&store, folder.path()).await;
    // Takes connections and says nothing.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nodes = Nodes::new(|_| Some(0));
    nodes.put("worker-0", NodeRole::Worker, address.parse().unwrap());
    nodes.put("worker-1", NodeRole::Worker, silent.local_addr().unwrap());
    let desk = JobDesk::new(Arc::new(store.clone()), nodes, 2);

    store.set_fault(Some(RecordsFault::Refused));
    let kept = folder.path().join(format!("spool/{JOB}.job"));
    let hand_in = || desk.take(JOB, &SUBMISSION, body(), Instant::now() + Duration::from_millis(900));
    let mut answer = hand_in().await;
    // The worker notes that its disk is on record a moment before it takes jobs.
    while !kept.exists() {
        answer = hand_in().await;
    }
    store.set_fault(None);
    until(|| async { store.get(&job_key(JOB)).await.is_ok_and(|record| record.is_some()) }).await;
    assert_eq!(answer, Err(DeskFault::Unknown), "the job is in the store now");
}
