//! A job that is open in the store is run, whatever made its worker leave it.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::layout::{job_key, result_key};
use latchwheel_jobs::{
    run_worker, ItemBody, JobBody, JobDesk, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs, Submission,
    WorkerHandle, WorkerRules,
};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{
    Changes, Committed, Contact, Listing, Record, RecordStore, RecordsFault, Transaction, WatchCache,
};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestServer, HOST};
use tokio::net::UdpSocket;

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };
/// Calm time within which an open job has to be taken.
const TAKEN_WITHIN: Duration = Duration::from_secs(12);

/// A store in memory that says once that the job's record is gone.
struct DoubtfulStore {
    store: MemoryStore,
    refuses_results: AtomicBool,
    hides_job: AtomicBool,
    /// How often the record was said to be gone.
    hidden: AtomicUsize,
}

impl RecordStore for DoubtfulStore {
    async fn get(&self, key: &str) -> Result<Option<Record>, RecordsFault> {
        if key == job_key(JOB) && self.hides_job.swap(false, Ordering::SeqCst) {
            self.hidden.fetch_add(1, Ordering::SeqCst);
            return Ok(None);
        }
        self.store.get(key).await
    }

    async fn list_after(&self, prefix: &str, after: &str) -> Result<Listing, RecordsFault> {
        self.store.list_after(prefix, after).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes, RecordsFault> {
        self.store.watch(prefix, after, wait).await
    }

    /// The job's record is looked for where results can't be listed.
    async fn commit(&self, transaction: &Transaction) -> Result<Committed, RecordsFault> {
        let lists = transaction.writes.iter().any(|write| write.key == result_key(JOB, 0));
        if lists && self.refuses_results.swap(false, Ordering::SeqCst) {
            self.hides_job.store(true, Ordering::SeqCst);
            return Ok(Committed::Differs(Vec::new()));
        }
        self.store.commit(transaction).await
    }

    async fn grant(&self, length: Duration) -> Result<u64, RecordsFault> {
        self.store.grant(length).await
    }

    async fn renew(&self, lease: u64) -> Result<bool, RecordsFault> {
        self.store.renew(lease).await
    }

    fn value_limit(&self) -> usize {
        self.store.value_limit()
    }
}

async fn start_worker(store: &Arc<DoubtfulStore>, server: &TestServer) -> (WorkerHandle, Membership<DoubtfulStore>) {
    let contact = Contact::default();
    let shared = node(route(RequestKind::Batch, 3), &[server]);
    let cache = WatchCache::new(store.clone(), contact.clone(), Vec::new(), 0);
    let owned = OwnedJobs::new(contact.clone());
    let worker = run_worker(store.clone(), &cache, shared.clone(), owned, "worker", WorkerRules::default());
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let record = NodeRecord { role: NodeRole::Worker, address, is_upstream: false };
    let own = OwnNode { name: "worker".into(), record, sum_bytes_per_second: 1e6 };
    (worker, Membership::join(store.clone(), &cache, contact, shared, &own, socket))
}

/// A worker whose run was told that the record is gone leaves the job, while its news go on
/// to say that the job is open.
#[tokio::test]
async fn a_job_that_was_left_by_mistake_is_taken_again() {
    let server = TestServer::start("server", vec![Act::StreamTo(1); 8]).await;
    let store = Arc::new(DoubtfulStore {
        store: MemoryStore::default(),
        refuses_results: AtomicBool::new(true),
        hides_job: AtomicBool::new(false),
        hidden: AtomicUsize::new(0),
    });
    let _worker = start_worker(&store, &server).await;
    let desk = JobDesk::new(Arc::new(store.store.clone()), Nodes::default(), 2);
    let items =
        vec![ItemBody { id: "item".into(), path: "/path/item".into(), body: "YWJj".into(), ..Default::default() }];
    desk.take(JOB, &SUBMISSION, JobBody { items }, Instant::now() + Duration::from_secs(5)).await.unwrap();
    let begun = Instant::now();
    while store.hidden.load(Ordering::SeqCst) == 0 {
        assert!(begun.elapsed() < TAKEN_WITHIN, "the job was never left");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let left = Instant::now();
    loop {
        let page = desk.read(JOB, None, 0, 1 << 20, Duration::from_millis(100)).await.unwrap();
        if page.results.len() == 1 {
            break;
        }
        assert!(left.elapsed() < TAKEN_WITHIN, "nobody took the job again");
    }
}
