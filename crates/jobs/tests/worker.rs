//! Nodes that run jobs at servers and list the results.

use latchwheel_core::dispatch::ServerKey;
use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::layout::node_key;
use latchwheel_jobs::{
    run_worker, ItemBody, JobBody, JobDesk, ListedResult, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs,
    Submission, WorkerHandle, WorkerRules,
};
use latchwheel_protocol::{v1, Message};
use latchwheel_proxy::Shared;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, GuardedStore, RecordStore, RecordsFault, WatchCache};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer, HOST};
use tokio::net::UdpSocket;

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };
const JOB: &str = "job-1";
/// Runs that are asked to give way, one after the other.
const STALLED_RUNS: usize = 12;

fn body(items: usize) -> JobBody {
    let items = (0..items).map(|number| ItemBody {
        id: format!("item-{number}"),
        path: "/path/item".into(),
        body: "YWJj".into(),
        ..ItemBody::default()
    });
    JobBody { items: items.collect() }
}

async fn start_worker(
    store: &MemoryStore,
    shared: Arc<Shared<TestDialect>>,
    name: &str,
) -> (WorkerHandle, Membership<GuardedStore<MemoryStore>>) {
    start_worker_with(store, shared, name, WorkerRules::default()).await
}

async fn start_worker_with(
    store: &MemoryStore,
    shared: Arc<Shared<TestDialect>>,
    name: &str,
    rules: WorkerRules,
) -> (WorkerHandle, Membership<GuardedStore<MemoryStore>>) {
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact.clone(), Vec::new(), 0);
    let worker = run_worker(store.clone(), &cache, shared.clone(), OwnedJobs::new(contact.clone()), name, rules);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let record =
        NodeRecord { role: NodeRole::Worker, address: socket.local_addr().unwrap().to_string(), is_upstream: false };
    let own = OwnNode { name: name.to_owned(), record, sum_bytes_per_second: 1e6 };
    (worker, Membership::join(store, &cache, contact, shared, &own, socket))
}

/// Reads until the job has that many results.
async fn results(store: &MemoryStore, count: usize) -> Vec<Arc<ListedResult>> {
    let desk = JobDesk::new(Arc::new(store.clone()), Nodes::default(), 2);
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let page = desk.read(JOB, None, 0, 1 << 20, Duration::from_millis(200)).await;
        let results = page.map(|page| page.results).unwrap_or_default();
        if results.len() >= count {
            return results;
        }
        assert!(Instant::now() < end, "{results:?}");
    }
}

async fn take(store: &MemoryStore, items: usize) {
    let desk = JobDesk::new(Arc::new(store.clone()), Nodes::default(), 2);
    let until = Instant::now() + Duration::from_secs(5);
    desk.take(JOB, &SUBMISSION, body(items), until).await.unwrap();
}

#[tokio::test]
async fn every_item_gets_one_result() {
    let server = TestServer::start("server", vec![Act::StreamTo(3); 20]).await;
    let store = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    let _worker = start_worker(&store, shared, "worker").await;
    take(&store, 12).await;
    let results = results(&store, 12).await;
    let mut items: Vec<&str> = results.iter().map(|result| result.item.as_str()).collect();
    items.sort_unstable();
    items.dedup();
    assert_eq!(items.len(), 12);
    assert!(results.iter().all(|result| result.completed && result.text == "part 1\npart 2\npart 3"));
}

#[tokio::test]
async fn a_broken_run_goes_on_after_its_last_event() {
    let server = TestServer::start("server", vec![Act::CutStream(vec![1, 2]), Act::Close, Act::StreamTo(4)]).await;
    let store = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    let _worker = start_worker(&store, shared, "worker").await;
    take(&store, 1).await;
    let results = results(&store, 1).await;
    assert_eq!(results[0].text, "part 1\npart 2\npart 3\npart 4");
    let asked: Vec<Option<String>> = server.seen().iter().map(|seen| seen.header("t-last-event")).collect();
    assert_eq!(asked, [None, Some("2".into()), Some("2".into())]);
}

#[tokio::test]
async fn an_item_is_given_up_for_a_reason_only() {
    let failing = vec![Act::Answer(500, String::new()); 3];
    for (acts, runs) in [(failing, 3), (vec![Act::Answer(422, String::new())], 1)] {
        let server = TestServer::start("server", acts).await;
        let store = MemoryStore::default();
        let shared = node(route(RequestKind::Batch, 3), &[&server]);
        let _worker = start_worker(&store, shared, "worker").await;
        take(&store, 1).await;
        let results = results(&store, 1).await;
        assert!(!results[0].completed && results[0].text.is_empty());
        assert_eq!(server.seen().len(), runs);
    }
}

/// Results that were ready while the store was away are listed afterwards,
/// also those whose listing was done but not answered.
#[tokio::test]
async fn outages_of_the_store_lose_and_double_nothing() {
    let server = TestServer::start("server", vec![Act::StreamTo(1); 8]).await;
    let store = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    take(&store, 8).await;
    let _worker = start_worker(&store, shared, "worker").await;
    while server.seen().len() < 2 {
        tokio::task::yield_now().await;
    }
    store.set_fault(Some(RecordsFault::Unknown));
    while server.seen().len() < 8 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    store.set_fault(None);
    store.lose_answers(2);
    let first = results(&store, 8).await;
    assert_eq!(first.len(), 8);
    assert_eq!(results(&store, 8).await, first, "positions stay");
}

/// Two workers that both hold the job list each item once.
#[tokio::test]
async fn workers_that_both_run_a_job_list_each_item_once() {
    let server = TestServer::start("server", vec![Act::StreamTo(2); 60]).await;
    let store = MemoryStore::default();
    let shared = || node(route(RequestKind::Batch, 3), &[&server]);
    take(&store, 10).await;
    // Both are told to be the only worker: the same name twice.
    let _first = start_worker(&store, shared(), "worker").await;
    let _second = start_worker(&store, shared(), "worker").await;
    let results = results(&store, 10).await;
    let mut items: Vec<&str> = results.iter().map(|result| result.item.as_str()).collect();
    items.sort_unstable();
    items.dedup();
    assert_eq!((results.len(), items.len()), (10, 10));
}

#[tokio::test]
async fn an_ended_job_is_left() {
    let server = TestServer::start("server", vec![Act::Silence; 40]).await;
    let store = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    let _worker = start_worker(&store, shared, "worker").await;
    take(&store, 3).await;
    while server.seen().len() < 3 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let desk = JobDesk::new(Arc::new(store.clone()), Nodes::default(), 2);
    desk.end(JOB, None, Instant::now() + Duration::from_secs(5)).await.unwrap();
    let end = Instant::now() + Duration::from_secs(20);
    while server.abandoned() < 3 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.abandoned(), 3, "its runs are broken off");
}

#[tokio::test]
async fn a_worker_that_leaves_lets_its_runs_end() {
    let server = TestServer::start("server", vec![Act::StreamTo(1); 40]).await;
    let store = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    let (worker, membership) = start_worker(&store, shared, "worker").await;
    take(&store, 2).await;
    results(&store, 2).await;
    worker.leave(Duration::from_secs(10)).await;
    membership.leave().await;
}

/// A worker that takes a job over knows how often its items failed before.
#[tokio::test]
async fn failures_of_an_item_outlast_its_worker() {
    let failed = || Act::Answer(500, String::new());
    let mut acts = vec![failed(), failed(), Act::Silence];
    acts.extend((0..10).map(|_| failed()));
    let server = TestServer::start("server", acts).await;
    let store = MemoryStore::default();
    let shared = || node(route(RequestKind::Batch, 3), &[&server]);
    let (first, membership) = start_worker(&store, shared(), "first").await;
    take(&store, 1).await;
    let end = Instant::now() + Duration::from_secs(20);
    while server.seen().len() < 3 {
        assert!(Instant::now() < end, "{} runs", server.seen().len());
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    // The third run says nothing; the worker leaves in the middle of it.
    first.leave(Duration::ZERO).await;
    membership.leave().await;
    let _second = start_worker(&store, shared(), "second").await;
    let results = results(&store, 1).await;
    assert!(!results[0].completed);
    assert_eq!(server.seen().len(), 4, "it failed three times, and was broken off once");
}

/// Nothing of an old job stays but a mark, by which a resend is still known.
#[tokio::test]
async fn an_old_job_is_removed_and_never_runs_again() {
    let server = TestServer::start("server", vec![Act::StreamTo(1); 40]).await;
    let store = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    let _worker =
        start_worker_with(&store, shared, "worker", WorkerRules { keep: Duration::ZERO, ..WorkerRules::default() })
            .await;
    take(&store, 2).await;
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let rest = store.list("latchwheel/").await.unwrap().records;
        let of_job: Vec<&str> = rest.iter().map(|record| record.key.as_str()).filter(|key| key.contains(JOB)).collect();
        if of_job == ["latchwheel/closed/job-1"] {
            break;
        }
        assert!(Instant::now() < end, "{of_job:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(server.seen().len(), 2);
    let desk = JobDesk::new(Arc::new(store.clone()), Nodes::default(), 2);
    let until = Instant::now() + Duration::from_secs(5);
    assert!(desk.take(JOB, &SUBMISSION, body(2), until).await.unwrap().resent);
    assert!(desk.read(JOB, None, 0, 1 << 20, Duration::ZERO).await.is_err());
}

/// A front asks for the slot of a run: the run breaks off at once, and goes on
/// after its last event. By itself a run that yields nothing breaks off after
/// seconds, so that so many runs would take far longer than the test waits.
#[tokio::test]
async fn a_run_gives_way_at_once_when_it_is_asked_to() {
    let mut acts = vec![Act::StallAfterFirst; STALLED_RUNS];
    acts.push(Act::StreamTo(3));
    let server = TestServer::start("server", acts).await;
    let store = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    let (_worker, membership) = start_worker(&store, shared, "worker").await;
    take(&store, 1).await;
    let end = Instant::now() + Duration::from_secs(20);
    while server.seen().is_empty() {
        assert!(Instant::now() < end, "the item does not start");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let record = store.get(&node_key("worker")).await.unwrap().unwrap();
    let address = NodeRecord::read(&record.value).unwrap().address;
    let front = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let wanted = vec![ServerKey::of(&server.record().id).0];
    let request = v1::ServerShares { from: 1, room_wanted: wanted, ..v1::ServerShares::default() };
    // A datagram may come before the run is under way: it is sent until it helps.
    while server.seen().len() <= STALLED_RUNS {
        assert!(Instant::now() < end, "the run does not give way");
        front.send_to(&request.encode_to_vec(), &address).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(results(&store, 1).await[0].text.lines().last(), Some("part 3"));
    membership.leave().await;
}
