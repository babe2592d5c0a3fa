//! What a node that is told to stop does with the work that it has.

use hooked_store::{Call, Fate, HookedStore};
use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::layout::{body_key, job_key, result_key};
use latchwheel_jobs::{JobDesk, Nodes, WorkerRules};
use latchwheel_records::memory::MemoryStore;
use one_worker::{hand_in, start_worker, until, PATIENCE};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestServer};

mod hooked_store;
mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
/// Far longer than a test waits.
const LONG: Duration = Duration::from_secs(3600);
/// Turns of the only thread in which a worker begins to leave.
const TURNS_BEFORE_LEAVING: usize = 1000;

/// A store in which one kind of call gets no answer, and the number of these calls.
fn hanging_store(
    records: &MemoryStore,
    hangs: impl Fn(&Call<'_>) -> bool + Send + Sync + 'static,
) -> (Arc<HookedStore<impl Fn(&Call<'_>) -> Fate + Send + Sync + 'static>>, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let fate = move |call: &Call<'_>| {
        if !hangs(call) {
            return Fate::Passes;
        }
        counted.fetch_add(1, Ordering::SeqCst);
        Fate::Hangs
    };
    (Arc::new(HookedStore::new(records, fate)), calls)
}

/// The process is told to end while its machine is being emptied, for which there is more time.
#[tokio::test]
async fn a_worker_that_leaves_keeps_to_a_shorter_limit_set_meanwhile() {
    let server = TestServer::start("server", vec![Act::StreamTo(1)]).await;
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    hand_in(&records, JOB, 1).await;
    let lists = |call: &Call<'_>| match call {
        Call::Commit(transaction) => transaction.writes.iter().any(|write| write.key == result_key(JOB, 0)),
        _ => false,
    };
    let (store, listings) = hanging_store(&records, lists);
    let worker = start_worker(store, &shared, WorkerRules::default()).await;
    until("the result is being listed", || async { listings.load(Ordering::SeqCst) > 0 }).await;
    let emptying = worker.handle.clone();
    tokio::spawn(async move { emptying.leave(LONG).await });
    for _ in 0..TURNS_BEFORE_LEAVING {
        tokio::task::yield_now().await;
    }
    let left = tokio::time::timeout(PATIENCE, worker.handle.leave(Duration::ZERO)).await;
    assert!(left.is_ok(), "the worker goes on to the end of the longer limit");
}

/// There is nothing of it that could end or be listed.
#[tokio::test]
async fn a_worker_that_leaves_does_not_wait_for_jobs_that_it_could_not_load() {
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[]);
    hand_in(&records, JOB, 1).await;
    let loads = |call: &Call<'_>| matches!(call, Call::Get(key) if *key == body_key(JOB, 0));
    let (store, loads) = hanging_store(&records, loads);
    let worker = start_worker(store, &shared, WorkerRules::default()).await;
    until("the job is being loaded", || async { loads.load(Ordering::SeqCst) > 0 }).await;
    let left = tokio::time::timeout(PATIENCE, worker.handle.leave(LONG)).await;
    assert!(left.is_ok(), "the worker goes on loading the job");
}

/// The caller has asked for it all the same: the process goes on until it is done, or kept.
#[tokio::test]
async fn an_end_is_in_progress_after_its_caller_left() {
    let records = MemoryStore::default();
    let (store, reads) = hanging_store(&records, |call| matches!(call, Call::Get(key) if *key == job_key(JOB)));
    let desk = Arc::new(JobDesk::new(store, Nodes::default(), 2));
    let asking = desk.clone();
    let asked = tokio::spawn(async move { asking.end(JOB, None, Instant::now() + PATIENCE).await });
    until("the end is being tried", || async { reads.load(Ordering::SeqCst) > 0 }).await;
    asked.abort();
    assert!(asked.await.unwrap_err().is_cancelled());
    assert_eq!(desk.ends_in_progress(), 1);
}

#[tokio::test]
async fn an_end_that_was_done_is_not_in_progress() {
    let records = MemoryStore::default();
    hand_in(&records, JOB, 1).await;
    let desk = one_worker::desk(&records);
    desk.end(JOB, None, Instant::now() + PATIENCE).await.unwrap();
    assert_eq!(desk.ends_in_progress(), 0);
}
