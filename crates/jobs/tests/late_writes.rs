//! Writes and removals of an earlier process that the store executes after its next process
//! has started.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::layout::{disk_key, failures_key, job_key, node_key, result_key};
use latchwheel_jobs::{NodeRecord, Spool, WorkerRules};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{RecordStore, Transaction, Write};
use one_worker::{hand_in, start_worker, until, Worker, WORKER};
use std::sync::Arc;
use std::time::Duration;
use support::{node, route, Act, TestServer};

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

mod one_worker;

const JOB: &str = "job-1";

/// A worker whose server completes every item.
async fn worker(store: &MemoryStore) -> (Worker<MemoryStore>, TestServer) {
    let server = TestServer::start("server", vec![Act::StreamTo(2); 8]).await;
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    (start_worker(Arc::new(store.clone()), &shared, WorkerRules::default()).await, server)
}

async fn is_registered(store: &MemoryStore) -> bool {
    store.get(&node_key(WORKER)).await.unwrap().is_some()
}

async fn stop(worker: &Worker<MemoryStore>) {
    worker.handle.leave(Duration::ZERO).await;
    worker.membership.leave().await;
}

async fn expect_job_runs(store: &MemoryStore) {
    hand_in(store, JOB, 1).await;
    let is_listed = || async { store.get(&result_key(JOB, 0)).await.unwrap().is_some() };
    until("an accepted job is not run", is_listed).await;
}

/// Guards against accepted jobs that nobody runs, since a late removal by the earlier process
/// removed the registration of the present one.
#[tokio::test]
async fn a_late_removal_leaves_the_registration_of_the_next_process() {
    let store = MemoryStore::default();
    let (earlier, _server) = worker(&store).await;
    until("the worker is registered", || is_registered(&store)).await;
    let earlier_lease = store.lease_of(&node_key(WORKER));
    store.hold_commit_of(&node_key(WORKER));
    stop(&earlier).await;
    let (_present, _server) = worker(&store).await;
    until("the next process is registered", || async { store.lease_of(&node_key(WORKER)) != earlier_lease }).await;
    assert_eq!(store.do_held_commits(), 0, "the late removal is executed");
    expect_job_runs(&store).await;
}

/// Guards against accepted jobs that nobody runs, since a registration that was removed or
/// replaced by another process was never written again.
#[tokio::test]
async fn a_worker_whose_registration_is_lost_registers_again() {
    let store = MemoryStore::default();
    let (_worker, _server) = worker(&store).await;
    until("the worker is registered", || is_registered(&store)).await;
    let remove = Transaction { removes: vec![node_key(WORKER)], ..Transaction::default() };
    store.commit(&remove).await.unwrap();
    until("a removed registration is written again", || is_registered(&store)).await;

    let present = store.get(&node_key(WORKER)).await.unwrap().unwrap();
    let lease = store.grant(Duration::from_secs(1)).await.unwrap();
    let write = Write { key: present.key, value: present.value, lease };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
    until("a replaced registration is written again", || async { store.lease_of(&node_key(WORKER)) != lease }).await;
    store.end_lease(lease);
    expect_job_runs(&store).await;
}

/// Guards against a disk that may hold jobs and is not on record, since the record was removed
/// late by the earlier machine of that name.
#[tokio::test]
async fn a_late_removal_leaves_the_record_of_the_next_disk() {
    let store = MemoryStore::default();
    let address_on_record = || async {
        let record = store.get(&disk_key(WORKER)).await.unwrap()?;
        NodeRecord::read(&record.value).map(|disk| disk.address)
    };
    let is_on_record = |address: &'static str| async move { address_on_record().await.as_deref() == Some(address) };
    let (former_folder, folder) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let open = |address, folder: &tempfile::TempDir| {
        Spool::open(Arc::new(store.clone()), WORKER, address, folder.path()).unwrap()
    };
    let former = open("127.0.0.1:1", &former_folder);
    until("the disk is on record", || is_on_record("127.0.0.1:1")).await;
    store.hold_commit_of(&disk_key(WORKER));
    former.close().await;
    let _present = open("127.0.0.1:2", &folder);
    until("the next disk is on record", || is_on_record("127.0.0.1:2")).await;
    assert_eq!(store.do_held_commits(), 0, "the late removal is executed");
    assert!(is_on_record("127.0.0.1:2").await);
}

/// Guards against records of failures that stay for ever, since they were written late, after
/// the removal of their job.
#[tokio::test]
async fn a_late_record_of_failures_does_not_outlast_its_job() {
    let store = MemoryStore::default();
    let server = TestServer::start("server", vec![Act::Answer(500, String::new()); 64]).await;
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    let worker = start_worker(Arc::new(store.clone()), &shared, WorkerRules::default()).await;
    store.hold_commit_of(&failures_key(JOB));
    hand_in(&store, JOB, 1).await;
    until("failures are recorded", || async { store.get(&failures_key(JOB)).await.unwrap().is_some() }).await;
    stop(&worker).await;
    let removes = vec![job_key(JOB), failures_key(JOB)];
    store.commit(&Transaction { removes, ..Transaction::default() }).await.unwrap();
    assert_eq!(store.do_held_commits(), 0, "the late record is written");
}
