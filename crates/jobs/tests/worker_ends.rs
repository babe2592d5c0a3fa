//! What a worker does with jobs that come to an end, or whose worker does.

use hooked_store::{Call, Fate, HookedStore};
use latchwheel_core::routes::{ClientLimits, RequestKind, Route, RoutingTable};
use latchwheel_core::tenants::Tenants;
use latchwheel_jobs::layout::{body_key, job_key, result_key};
use latchwheel_jobs::WorkerRules;
use latchwheel_proxy::{Clock, Shared};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Committed, RecordStore, Transaction, Write};
use one_worker::{change_record, desk, end, events_of, hand_in, start_worker, until};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::{node, route, Act, TestDialect, TestServer, SERVICE};

mod hooked_store;
mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
/// Items that find no server.
const WAITING: usize = 500;
/// Turns of the only thread in which a worker looks at a job that it has loaded.
const TURNS_BEFORE_TABLE: usize = 1000;
/// Slots of a test server.
const SLOTS: usize = 8;

/// Nobody can run its items any more; its time is over all the same.
#[tokio::test]
async fn a_job_without_a_route_is_given_up() {
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[]);
    let without = RoutingTable::new(2, ClientLimits::default(), HashMap::new(), Tenants::default(), []);
    shared.put_in_force(without).unwrap();
    hand_in(&records, JOB, 1).await;
    change_record(&records, JOB, "accepted_ms", 1.into()).await;
    let _worker = start_worker(Arc::new(records.clone()), &shared, WorkerRules::default()).await;
    let page = desk(&records).read(JOB, None, 0, 1 << 20, one_worker::PATIENCE).await.unwrap();
    assert_eq!(page.results.len(), 1, "the item stays open");
    assert!(!page.results[0].completed);
}

/// How long items may wait is the route's word, which is not known yet.
#[tokio::test]
async fn nothing_is_given_up_before_a_table_is_known() {
    let server = TestServer::start("server", vec![Act::StreamTo(1)]).await;
    let records = MemoryStore::default();
    let shared = Shared::new(TestDialect::default(), Clock::start());
    shared.dispatcher().set_ready([server.record()].iter());
    hand_in(&records, JOB, 1).await;
    change_record(&records, JOB, "accepted_ms", 1.into()).await;
    let loads = Arc::new(AtomicUsize::new(0));
    let counted = loads.clone();
    let fate = move |call: &Call<'_>| {
        counted.fetch_add(usize::from(matches!(call, Call::Get(key) if *key == body_key(JOB, 0))), Ordering::SeqCst);
        Fate::Passes
    };
    let _worker = start_worker(Arc::new(HookedStore::new(&records, fate)), &shared, WorkerRules::default()).await;
    until("the job is loaded", || async { loads.load(Ordering::SeqCst) > 0 }).await;
    for _ in 0..TURNS_BEFORE_TABLE {
        tokio::task::yield_now().await;
    }
    let patient = Route { retention: Duration::MAX, ..route(RequestKind::Batch, 3) };
    let table = RoutingTable::new(1, ClientLimits::default(), HashMap::new(), Tenants::default(), [patient]);
    shared.put_in_force(table).unwrap();
    let page = desk(&records).read(JOB, None, 0, 1 << 20, one_worker::PATIENCE).await.unwrap();
    assert!(page.results[0].completed);
}

/// Results that were collected for the next listing are listed before the process ends.
#[tokio::test]
async fn a_worker_that_leaves_lists_what_it_has() {
    let server = TestServer::start("server", vec![Act::StreamTo(1), Act::Silence]).await;
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    hand_in(&records, JOB, 2).await;
    let fate = |call: &Call<'_>| match call {
        Call::Commit(transaction) if transaction.writes.iter().any(|write| write.key == result_key(JOB, 0)) => {
            Fate::PassesAfter(Duration::from_millis(100))
        }
        _ => Fate::Passes,
    };
    let store = Arc::new(HookedStore::new(&records, fate));
    let worker = start_worker(store, &shared, WorkerRules::default()).await;
    until("one item is whole", || async {
        let room = shared.dispatcher().free_slots_of(shared.clock.now(), SERVICE, 0.0);
        server.seen().len() == 2 && room as usize == SLOTS - 1
    })
    .await;
    worker.handle.leave(Duration::ZERO).await;
    assert!(records.get(&result_key(JOB, 0)).await.unwrap().is_some(), "the result is lost");
}

/// The news of the removal don't come; the next list of all jobs shows it.
#[tokio::test]
async fn a_job_whose_removal_was_not_heard_of_is_removed_once() {
    let records = MemoryStore::default();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let fate = move |call: &Call<'_>| {
        if let Call::Commit(transaction) = call {
            let removes = transaction.removes.contains(&job_key(JOB));
            counted.fetch_add(usize::from(removes), Ordering::SeqCst);
        }
        Fate::Passes
    };
    let store = Arc::new(HookedStore { hidden_removal: Some(job_key(JOB)), ..HookedStore::new(&records, fate) });
    let shared = node(route(RequestKind::Batch, 3), &[]);
    let rules = WorkerRules { keep: Duration::ZERO, ..WorkerRules::default() };
    let _worker = start_worker(store, &shared, rules).await;
    let removed = async |job: &str| {
        hand_in(&records, job, 1).await;
        end(&records, job).await;
        until("the job is removed", || async { records.get(&job_key(job)).await.unwrap().is_none() }).await;
    };
    removed(JOB).await;
    // What the worker heard last is in no watch any more.
    let other = Write { key: "other".into(), value: "".into(), lease: 0 };
    records.commit(&Transaction { writes: vec![other], ..Transaction::default() }).await.unwrap();
    records.forget_history();
    removed("job-2").await;
    let calls_before = calls.load(Ordering::SeqCst);
    removed("job-3").await;
    removed("job-4").await;
    assert_eq!(calls.load(Ordering::SeqCst), calls_before);
}

/// Other nodes divide the room by what each tells.
#[tokio::test]
async fn nothing_waits_at_a_worker_whose_only_job_was_ended() {
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[]);
    let waiting = || shared.dispatcher().shares(shared.clock.now()).waiting;
    let _worker = start_worker(Arc::new(records.clone()), &shared, WorkerRules::default()).await;
    hand_in(&records, JOB, WAITING).await;
    until("the items wait", || async { waiting() > 0 }).await;
    end(&records, JOB).await;
    until("the worker goes on telling that items wait", || async { waiting() == 0 }).await;
}

/// An item whose run yields nothing yet stands in the list that another worker wrote.
#[tokio::test]
async fn a_run_of_an_item_that_another_worker_listed_is_broken_off() {
    let server = TestServer::start("server", vec![Act::Silence; 2]).await;
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    hand_in(&records, JOB, 2).await;
    let _worker = start_worker(Arc::new(records.clone()), &shared, WorkerRules::default()).await;
    until("both items run", || async { server.seen().len() == 2 }).await;
    let listed = serde_json::json!([{ "item": format!("{JOB}-0"), "completed": true, "text": "part 1" }]);
    let write = Write { key: result_key(JOB, 0), value: listed.to_string().into(), lease: 0 };
    let expected = vec![(result_key(JOB, 0), 0)];
    let committed = records.commit(&Transaction { expected, writes: vec![write], ..Transaction::default() }).await;
    assert!(matches!(committed, Ok(Committed::Done(_))));
    until("the run is broken off", || async { events_of("RunNotNeeded") == 1 && server.abandoned() > 0 }).await;
}
