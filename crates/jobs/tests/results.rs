//! Reading results at the worker of a job and in the store: what was read once
//! is found at every node from then on.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::layout::{node_key, result_key};
use latchwheel_jobs::{
    run_worker, ItemBody, JobBody, JobDesk, ListedResult, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs,
    ResultPage, Spool, Submission, WorkerHandle, WorkerRules,
};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, GuardedStore, RecordStore, RecordsFault, Transaction, WatchCache, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestServer, HOST};
use tokio::net::{TcpListener, UdpSocket};

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };
const JOB: &str = "job-1";
const PAGE: usize = 1 << 20;
const LIMIT: Duration = Duration::from_secs(30);

/// A worker with all that other nodes call.
struct Worker {
    address: SocketAddr,
    _handle: WorkerHandle,
    _membership: Membership<GuardedStore<MemoryStore>>,
    _folder: tempfile::TempDir,
    _stop: tokio::sync::watch::Sender<bool>,
}

async fn start_worker(store: &MemoryStore, server: &TestServer, name: &str) -> Worker {
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact.clone(), Vec::new(), 0);
    let owned = OwnedJobs::new(contact.clone());
    let shared = node(route(RequestKind::Batch, 3), &[server]);
    let handle = run_worker(store.clone(), &cache, shared.clone(), owned.clone(), name, WorkerRules::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let spool = Spool::open(store.clone(), name, &address.to_string(), folder.path()).unwrap();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    tokio::spawn(spool.serve(owned, listener, stopped));
    let record = NodeRecord { role: NodeRole::Worker, address: address.to_string(), is_upstream: false };
    let own = OwnNode { name: name.to_owned(), record, sum_bytes_per_second: 1e6 };
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let membership = Membership::join(store, &cache, contact, shared, &own, socket);
    Worker { address, _handle: handle, _membership: membership, _folder: folder, _stop: stop }
}

/// A desk that knows one worker.
fn desk(store: &MemoryStore, worker: &str, address: SocketAddr) -> JobDesk<MemoryStore> {
    let nodes = Nodes::new(|_| Some(0));
    nodes.put(worker, NodeRole::Worker, address);
    JobDesk::new(Arc::new(store.clone()), nodes, 2)
}

/// An address where nobody answers.
async fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn body(items: usize) -> JobBody {
    let items = (0..items).map(|number| ItemBody {
        id: format!("item-{number}"),
        path: "/path/item".into(),
        body: "YWJj".into(),
        ..ItemBody::default()
    });
    JobBody { items: items.collect() }
}

async fn take(desk: &JobDesk<MemoryStore>, job: &str, items: usize) {
    desk.take(job, &SUBMISSION, body(items), Instant::now() + LIMIT).await.unwrap();
}

/// Reads until there are that many results from the start on.
async fn read_until(desk: &JobDesk<MemoryStore>, job: &str, count: usize) -> ResultPage {
    let end = Instant::now() + LIMIT;
    loop {
        match desk.read(job, None, 0, PAGE, Duration::from_millis(100)).await {
            Ok(page) if page.results.len() >= count => return page,
            other => assert!(Instant::now() < end, "{other:?}"),
        }
    }
}

async fn write_part(store: &MemoryStore, part: usize, item: &str) {
    let result = ListedResult { item: item.to_owned(), completed: true, text: "text".into() };
    let value = serde_json::to_vec(&[result]).unwrap().into();
    let write = Write { key: result_key(JOB, part), value, lease: 0 };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
}

/// Watches may hear of changes late: that there is nothing at a position is
/// told from a listing.
#[tokio::test]
async fn a_watch_that_hears_nothing_hides_no_result() {
    let store = MemoryStore::default();
    let desk = desk(&store, "worker", nowhere().await);
    take(&desk, JOB, 2).await;
    assert!(desk.read(JOB, None, 0, PAGE, Duration::ZERO).await.unwrap().results.is_empty());
    store.set_deaf(true);
    write_part(&store, 0, "item-1").await;
    for wait in [Duration::from_millis(30), Duration::ZERO] {
        assert_eq!(desk.read(JOB, None, 0, PAGE, wait).await.unwrap().results.len(), 1, "{wait:?}");
    }
}

/// A watch may tell of the first change only.
#[tokio::test]
async fn a_watch_that_tells_one_change_at_a_time_hides_no_result() {
    let store = MemoryStore::default();
    store.limit_watches(1);
    let desk = desk(&store, "worker", nowhere().await);
    take(&desk, JOB, 4).await;
    assert!(desk.read(JOB, None, 0, PAGE, Duration::ZERO).await.unwrap().results.is_empty());
    for part in 0..3 {
        write_part(&store, part, &format!("item-{part}")).await;
    }
    assert_eq!(desk.read(JOB, None, 2, PAGE, Duration::from_millis(30)).await.unwrap().results.len(), 1);
}

/// Results and bodies come from the worker: the reader's store answers nobody.
#[tokio::test]
async fn readers_need_no_store_while_the_worker_is_sure() {
    let server = TestServer::start("server", vec![Act::StreamTo(2), Act::Silence]).await;
    let store = MemoryStore::default();
    let worker = start_worker(&store, &server, "worker").await;
    take(&desk(&store, "worker", worker.address), JOB, 2).await;
    let unreachable = MemoryStore::default();
    unreachable.set_fault(Some(RecordsFault::Unknown));
    let reader = desk(&unreachable, "worker", worker.address);
    let page = read_until(&reader, JOB, 1).await;
    assert_eq!(page.total, 2);
    assert_eq!(page.results[0].text, "part 1\npart 2");
    assert_eq!(reader.item_body(JOB, None, "item-1").await.as_deref(), Ok("YWJj"));
    let calls = store.calls();
    assert!(reader.read(JOB, None, 0, PAGE, Duration::ZERO).await.is_ok());
    assert!(store.calls() - calls < 10, "the worker asks nobody either");
}

/// A worker that the store doesn't answer any more may be behind: after a
/// while readers don't believe it that there is nothing, and what the store
/// has is never hidden again.
#[tokio::test]
async fn a_worker_without_the_store_is_not_believed() {
    let server = TestServer::start("server", vec![Act::Silence; 4]).await;
    let (cut_off, sound) = (MemoryStore::default(), MemoryStore::default());
    let worker = start_worker(&cut_off, &server, "worker").await;
    for store in [&cut_off, &sound] {
        take(&desk(store, "worker", worker.address), JOB, 2).await;
    }
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let reader = desk(&sound, "worker", worker.address);
    cut_off.set_fault(Some(RecordsFault::Unknown));
    cut_off.cut_watches();
    write_part(&sound, 0, "item-1").await;
    read_until(&reader, JOB, 1).await;
    for _ in 0..20 {
        assert_eq!(reader.read(JOB, None, 0, PAGE, Duration::ZERO).await.unwrap().results.len(), 1);
    }
}

/// Users would see a result at one node and nothing in its place at another: a worker whose
/// watch has died without a word does not hear that its job falls to another worker, which
/// lists results, while the store answers its other calls. The cause: its word was believed
/// by the age of any of these answers, not by that of what it knows of the jobs.
#[tokio::test]
async fn a_worker_whose_news_are_silent_is_not_believed() {
    let server = TestServer::start("server", vec![Act::Silence; 4]).await;
    let store = MemoryStore::default();
    let worker = start_worker(&store, &server, "worker").await;
    let reader = desk(&store, "worker", worker.address);
    take(&reader, JOB, 2).await;
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    store.set_watches_silent(true);
    write_part(&store, 0, "item-1").await;
    read_until(&reader, JOB, 1).await;
    for _ in 0..20 {
        assert_eq!(reader.read(JOB, None, 0, PAGE, Duration::ZERO).await.unwrap().results.len(), 1);
    }
}

/// A worker that takes a job over lists nothing before the former one must
/// have heard of it.
#[tokio::test]
async fn a_takeover_lists_nothing_at_first() {
    let server = TestServer::start("server", vec![Act::StreamTo(1); 8]).await;
    let store = MemoryStore::default();
    take(&desk(&store, "former", nowhere().await), JOB, 1).await;
    let started = Instant::now();
    let worker = start_worker(&store, &server, "worker").await;
    read_until(&desk(&store, "worker", worker.address), JOB, 1).await;
    // A lower bound: a slow machine only makes it longer.
    assert!(started.elapsed() >= Duration::from_millis(2400), "{:?}", started.elapsed());
}

/// The former worker may list its last results after another has taken the job
/// over and read the list: that one doesn't hide them.
#[tokio::test]
async fn a_takeover_hides_nothing_that_the_former_worker_listed_last() {
    let server = TestServer::start("server", vec![Act::Silence; 8]).await;
    let store = MemoryStore::default();
    take(&desk(&store, "former", nowhere().await), JOB, 2).await;
    let worker = start_worker(&store, &server, "worker").await;
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    write_part(&store, 0, "item-1").await;
    let reader = desk(&store, "worker", worker.address);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        assert_eq!(reader.read(JOB, None, 0, PAGE, Duration::ZERO).await.unwrap().results.len(), 1);
    }
}

/// Workers that join take no job from the one that runs it.
#[tokio::test]
async fn a_worker_that_joins_takes_no_job_from_another() {
    let server = TestServer::start("server", vec![Act::Silence; 2]).await;
    let others = TestServer::start("others", vec![Act::StreamTo(1); 40]).await;
    let store = MemoryStore::default();
    let first = start_worker(&store, &server, "first").await;
    take(&desk(&store, "first", first.address), JOB, 2).await;
    while server.seen().len() < 2 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut joined = Vec::new();
    for number in 0..6 {
        let name = format!("joined-{number}");
        let worker = start_worker(&store, &others, &name).await;
        // Once it has run a job of its own, all know of it.
        let own_desk = desk(&store, &name, worker.address);
        let job = format!("job-of-{name}");
        take(&own_desk, &job, 1).await;
        read_until(&own_desk, &job, 1).await;
        joined.push(worker);
    }
    assert_eq!((server.seen().len(), server.abandoned()), (2, 0));
}

/// A worker that took a job over may read the list while its own part is on its way: the
/// part is done, and its answer is not there yet.
#[tokio::test]
async fn a_part_that_is_read_before_its_answer_counts_once() {
    const DONE: usize = 3;
    const ANSWER_TIME: Duration = Duration::from_millis(400);
    let mut acts = vec![Act::StreamTo(2); DONE];
    acts.push(Act::Silence);
    let server = TestServer::start("server", acts).await;
    let store = MemoryStore::default();
    // The job is assigned to nobody: its worker reads the list before it believes it.
    take(&JobDesk::new(Arc::new(store.clone()), Nodes::default(), 2), JOB, DONE + 1).await;
    let worker = start_worker(&store, &server, "worker").await;
    let desk = desk(&store, "worker", worker.address);
    let end = Instant::now() + LIMIT;
    while server.seen().len() < DONE + 1 {
        assert!(Instant::now() < end, "{} runs", server.seen().len());
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    store.fail_lists_until_commit("latchwheel/result/");
    store.answer_commits_after(ANSWER_TIME);
    read_until(&desk, JOB, DONE).await;
    let answered = Instant::now() + ANSWER_TIME * 3;
    while Instant::now() < answered {
        let page = desk.read(JOB, None, 0, PAGE, Duration::from_millis(20)).await.unwrap();
        assert_eq!(page.results.len(), DONE);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A worker whose lease ended, and that is registered again without having heard of that: another
/// one may have run the job and listed results meanwhile.
#[tokio::test]
async fn a_worker_that_lost_its_registration_denies_no_result_of_another() {
    let server = TestServer::start("server", vec![Act::Silence; 20]).await;
    let store = MemoryStore::default();
    let worker = start_worker(&store, &server, "worker").await;
    take(&desk(&store, "worker", worker.address), JOB, 2).await;
    let unreachable = MemoryStore::default();
    unreachable.set_fault(Some(RecordsFault::Unknown));
    let reader = desk(&unreachable, "worker", worker.address);
    assert!(read_until(&reader, JOB, 0).await.results.is_empty(), "the worker is sure");

    let registration = node_key("worker");
    let lease = store.lease_of(&registration);
    store.set_deaf(true);
    store.end_lease(lease);
    let end = Instant::now() + LIMIT;
    while [0, lease].contains(&store.lease_of(&registration)) {
        assert!(Instant::now() < end, "the worker is not registered again");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    store.set_deaf(false);
    write_part(&store, 0, "item-0").await;
    loop {
        assert!(Instant::now() < end, "the worker is not sure again");
        let Ok(page) = reader.read(JOB, None, 0, PAGE, Duration::from_millis(20)).await else { continue };
        assert_eq!(page.results.len(), 1, "the worker denies a result");
        break;
    }
}
