//! A worker whose calls the store refuses doesn't take that for an outage.
//!
//! The order of events: a worker that others rely on makes calls for which the store has no
//! room, so that each is refused. The store takes the end of a job from another node, and
//! the client is told so. The worker counts refusals as a store that answers nobody, lets
//! items start without knowing that their job is open, and goes on with the ended job.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::{
    run_worker, ItemBody, JobBody, JobDesk, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs, Submission,
    WorkerHandle, WorkerRules,
};
use latchwheel_proxy::Shared;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{
    Changes, Committed, Contact, GuardedStore, Listing, Record, RecordStore, RecordsFault, Transaction, WatchCache,
};
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer, HOST};
use tokio::net::UdpSocket;

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

/// A store that may have no room for the calls of one node.
#[derive(Clone, Default)]
struct FullStore {
    records: MemoryStore,
    refuses: Arc<AtomicBool>,
}

impl FullStore {
    fn room(&self) -> Result<&MemoryStore, RecordsFault> {
        match self.refuses.load(Ordering::SeqCst) {
            true => Err(RecordsFault::Refused),
            false => Ok(&self.records),
        }
    }
}

impl RecordStore for FullStore {
    async fn get(&self, key: &str) -> Result<Option<Record>, RecordsFault> {
        self.room()?.get(key).await
    }

    async fn list_after(&self, prefix: &str, after: &str) -> Result<Listing, RecordsFault> {
        self.room()?.list_after(prefix, after).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes, RecordsFault> {
        let changes = self.room()?.watch(prefix, after, wait).await;
        self.room()?;
        changes
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, RecordsFault> {
        self.room()?.commit(transaction).await
    }

    async fn grant(&self, length: Duration) -> Result<u64, RecordsFault> {
        self.room()?.grant(length).await
    }

    async fn renew(&self, lease: u64) -> Result<bool, RecordsFault> {
        self.room()?.renew(lease).await
    }

    fn value_limit(&self) -> usize {
        self.records.value_limit()
    }
}

type Store = GuardedStore<FullStore>;

/// A worker with all that it needs to live.
struct Worker {
    _handle: WorkerHandle,
    _membership: Membership<Store>,
}

async fn start_worker(store: &FullStore, shared: Arc<Shared<TestDialect>>) -> Worker {
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact.clone(), Vec::new(), 0);
    let owned = OwnedJobs::new(contact.clone());
    let handle = run_worker(store.clone(), &cache, shared.clone(), owned, "worker", WorkerRules::default());
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let record = NodeRecord { role: NodeRole::Worker, address, is_upstream: true };
    let own = OwnNode { name: "worker".into(), record, sum_bytes_per_second: 1e6 };
    let membership = Membership::join(store, &cache, contact, shared, &own, socket);
    Worker { _handle: handle, _membership: membership }
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

#[tokio::test]
async fn an_ended_job_starts_nothing_at_a_worker_whose_calls_are_refused() {
    let hanging = TestServer::start("hanging", vec![Act::Silence; 100]).await;
    let sound = TestServer::start("sound", vec![Act::StreamTo(1); 100]).await;
    let store = FullStore::default();
    let records = store.records.clone();
    let shared = node(route(RequestKind::Batch, 3), &[&hanging]);
    hand_in(&records, ENDED).await;
    hand_in(&records, OPEN).await;
    let _worker = start_worker(&store, shared.clone()).await;
    // Both jobs came with one list.
    until("an item runs", || async { !hanging.seen().is_empty() }).await;

    shared.dispatcher().set_ready([].into_iter());
    store.refuses.store(true, Ordering::SeqCst);
    desk(&records).end(ENDED, None, Instant::now() + PATIENCE).await.unwrap();
    tokio::time::sleep(END_IN_FORCE).await;
    until("all runs are given up", || async { hanging.abandoned() == hanging.seen().len() }).await;

    // The worker has its chance to start items while it is refused, then goes on.
    shared.dispatcher().set_ready([sound.record()].iter());
    tokio::time::sleep(RETRY_PAUSE).await;
    store.refuses.store(false, Ordering::SeqCst);
    until("the open job is done", || async {
        let page = desk(&records).read(OPEN, None, 0, 1 << 20, Duration::ZERO).await;
        page.is_ok_and(|page| page.results.len() == ITEMS)
    })
    .await;
    assert_eq!(runs_of(&sound, ENDED), 0, "items of the ended job started");
}
