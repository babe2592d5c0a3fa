//! Items of a job that was ended don't start, however little its worker hears.
//!
//! What users saw: servers got items of batch jobs that their clients had ended, long after
//! the end was acknowledged.
//!
//! The order of events: a worker follows the jobs through another node, which watches the
//! store. The connection of that watch dies without a word; the store answers the node's
//! other calls, so that node and worker take the silence for the absence of changes. A
//! client ends a job; the store takes the end, and the client is told so. The worker goes
//! on to start items until the watch is given up, seconds later.
//!
//! The cause: whether a job is still open was believed without a bound on the age of that
//! belief; the age that was looked at was that of any answer of the store. The evidence: in
//! the log of such a run each late start (`ItemSent`) had an old `known_ms`, while neither
//! the worker nor the watching node had noticed the loss of anything.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::{
    run_worker, ItemBody, JobBody, JobDesk, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs, Submission,
    WorkerHandle, WorkerRules,
};
use latchwheel_proxy::Shared;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, GuardedStore, RecordStore, WatchCache};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer, HOST};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };
const ENDED: &str = "job-ended";
const OPEN: &str = "job-open";
const ITEMS: usize = 2;
/// Time after the acknowledged end of a job from which on none of its items may start.
const END_IN_FORCE: Duration = Duration::from_secs(3);
/// Longer than an item pauses that was broken off a few times.
const RETRY_PAUSE: Duration = Duration::from_millis(1500);
/// Far more than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(5);

type Store = GuardedStore<MemoryStore>;

/// A worker with all that it needs to live.
struct Worker {
    _handle: WorkerHandle,
    _membership: Membership<Store>,
    _stop: watch::Sender<bool>,
}

/// A node that watches the store for others; gives back its address.
async fn start_upstream(records: &MemoryStore, stops: watch::Receiver<bool>) -> String {
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(records.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact, Vec::new(), 0);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(cache.serve(listener, stops));
    tokio::spawn(async move {
        // Its other calls are answered, as the renewals of its lease are.
        while store.get("any").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    address
}

async fn start_worker(records: &MemoryStore, shared: Arc<Shared<TestDialect>>, follows_upstream: bool) -> Worker {
    let (stop, stops) = watch::channel(false);
    let upstreams = if follows_upstream { vec![start_upstream(records, stops).await] } else { Vec::new() };
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(records.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact.clone(), upstreams, 0);
    let owned = OwnedJobs::new(contact.clone());
    let handle = run_worker(store.clone(), &cache, shared.clone(), owned, "worker", WorkerRules::default());
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let record = NodeRecord { role: NodeRole::Worker, address, is_upstream: false };
    let own = OwnNode { name: "worker".into(), record, sum_bytes_per_second: 1e6 };
    let membership = Membership::join(store, &cache, contact, shared, &own, socket);
    Worker { _handle: handle, _membership: membership, _stop: stop }
}

fn desk(records: &MemoryStore) -> JobDesk<MemoryStore> {
    JobDesk::new(Arc::new(records.clone()), Nodes::default(), 2)
}

async fn hand_in(records: &MemoryStore, job: &str) {
    let items = (0..ITEMS).map(|number| ItemBody {
        id: format!("{job}-{number}"),
        path: "/path/item".into(),
        body: "YWJj".into(),
        ..ItemBody::default()
    });
    let body = JobBody { items: items.collect() };
    desk(records).take(job, &SUBMISSION, body, Instant::now() + PATIENCE).await.unwrap();
}

async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(LOOK).await;
    }
}

/// Runs of items of a job that a server has seen.
fn runs_of(server: &TestServer, job: &str) -> usize {
    server.seen().iter().filter(|seen| seen.header("t-id").is_some_and(|id| id.starts_with(job))).count()
}

/// The worker has two jobs, whose items hang at a server when its news fall silent. One
/// job is ended. When the bound on that has passed and another server is ready, items of
/// the other job run there: so the worker goes on, and the ended job has its chance too.
async fn play(follows_upstream: bool) {
    let hanging = TestServer::start("hanging", vec![Act::Silence; 100]).await;
    let sound = TestServer::start("sound", vec![Act::StreamTo(1); 100]).await;
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&hanging]);
    hand_in(&records, ENDED).await;
    hand_in(&records, OPEN).await;
    let _worker = start_worker(&records, shared.clone(), follows_upstream).await;
    // Both jobs came with one list.
    until("an item runs", || async { !hanging.seen().is_empty() }).await;

    shared.dispatcher().set_ready([].into_iter());
    records.set_watches_silent(true);
    desk(&records).end(ENDED, None, Instant::now() + PATIENCE).await.unwrap();
    tokio::time::sleep(END_IN_FORCE).await;
    until("all runs are given up", || async { hanging.abandoned() == hanging.seen().len() }).await;

    shared.dispatcher().set_ready([sound.record()].iter());
    until("the open job is done", || async {
        let page = desk(&records).read(OPEN, None, 0, 1 << 20, Duration::ZERO).await;
        page.is_ok_and(|page| page.results.len() == ITEMS)
    })
    .await;
    tokio::time::sleep(RETRY_PAUSE).await;
    assert_eq!(runs_of(&sound, ENDED), 0, "items of the ended job started");
}

#[tokio::test]
async fn an_ended_job_starts_nothing_when_the_watch_of_an_upstream_falls_silent() {
    play(true).await;
}

#[tokio::test]
async fn an_ended_job_starts_nothing_when_the_own_watch_falls_silent() {
    play(false).await;
}
