//! Jobs that are handed in while a worker winds up.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::layout::{job_key, JobRecord};
use latchwheel_jobs::{
    run_worker, ItemBody, JobBody, JobDesk, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs, WorkerHandle,
    WorkerRules,
};
use latchwheel_proxy::Shared;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, RecordStore, WatchCache};
use one_worker::{item, until, PATIENCE, SUBMISSION};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer};
use tokio::net::UdpSocket;

mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const HELD: &str = "held";
const LEAVING: &str = "leaving";
const OTHER: &str = "other";
/// Far longer than a test waits.
const LONG: Duration = Duration::from_secs(3600);
/// Jobs in a row that are assigned to one of two workers by chance once in 2^20 times.
const JOBS_IN_A_ROW: usize = 20;
const PAUSE: Duration = Duration::from_millis(20);

async fn join(
    records: &MemoryStore,
    cache: &Arc<WatchCache<MemoryStore>>,
    contact: Contact,
    shared: Arc<Shared<TestDialect>>,
    (name, role): (&str, NodeRole),
) -> Membership<MemoryStore> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let record = NodeRecord { role, address: socket.local_addr().unwrap().to_string(), is_upstream: false };
    let own = OwnNode { name: name.into(), record, sum_bytes_per_second: 1e6 };
    Membership::join(Arc::new(records.clone()), cache, contact, shared, &own, socket)
}

struct Worker {
    handle: WorkerHandle,
    shared: Arc<Shared<TestDialect>>,
    _membership: Membership<MemoryStore>,
}

impl Worker {
    async fn start(records: &MemoryStore, name: &str, server: &TestServer) -> Self {
        let (contact, store) = (Contact::default(), Arc::new(records.clone()));
        let shared = node(route(RequestKind::Batch, 3), &[server]);
        let cache = WatchCache::new(store.clone(), contact.clone(), Vec::new(), 0);
        let owned = OwnedJobs::new(contact.clone());
        let handle = run_worker(store, &cache, shared.clone(), owned, name, WorkerRules::default());
        let membership = join(records, &cache, contact, shared.clone(), (name, NodeRole::Worker)).await;
        Self { handle, shared, _membership: membership }
    }

    /// A worker that runs an item, which takes for ever.
    async fn start_with_item(records: &MemoryStore, server: &TestServer) -> Self {
        let worker = Self::start(records, LEAVING, server).await;
        hand_in(records, knows_only(LEAVING), HELD).await;
        until("the item runs", || async { items_at(server, HELD) == 1 }).await;
        worker
    }

    fn leave(&self) {
        let handle = self.handle.clone();
        tokio::spawn(async move { handle.leave(LONG).await });
    }
}

/// Nodes of a front that knows this worker only.
fn knows_only(worker: &str) -> Nodes {
    let nodes = Nodes::default();
    nodes.put(worker, NodeRole::Worker, SocketAddr::from(([127, 0, 0, 1], 1)));
    nodes
}

async fn hand_in(records: &MemoryStore, nodes: Nodes, job: &str) {
    let items = vec![ItemBody { id: format!("{job}-0"), ..item() }];
    let desk = JobDesk::new(Arc::new(records.clone()), nodes, 2);
    desk.take(job, &SUBMISSION, JobBody { items }, Instant::now() + PATIENCE).await.unwrap();
}

async fn worker_of(records: &MemoryStore, job: &str) -> String {
    let record = records.get(&job_key(job)).await.unwrap().unwrap();
    serde_json::from_slice::<JobRecord>(&record.value).unwrap().assigned
}

/// Items of a job that a server has got.
fn items_at(server: &TestServer, job: &str) -> usize {
    server.seen().iter().filter(|seen| seen.header("t-id").is_some_and(|id| id.starts_with(job))).count()
}

async fn servers() -> (TestServer, TestServer) {
    (TestServer::start("hanging", vec![Act::Silence]).await, TestServer::start("sound", vec![Act::StreamTo(1)]).await)
}

/// Fronts that do not know yet that it leaves assign jobs to it.
#[tokio::test]
async fn a_job_assigned_to_a_worker_that_winds_up_runs_at_another_one() {
    let (hanging, sound) = servers().await;
    let records = MemoryStore::default();
    let leaving = Worker::start_with_item(&records, &hanging).await;
    let _other = Worker::start(&records, OTHER, &sound).await;
    leaving.leave();
    hand_in(&records, knows_only(LEAVING), "new").await;
    until("the new job waits for the leaving worker", || async { items_at(&sound, "new") == 1 }).await;
    assert_eq!(items_at(&sound, HELD), 0, "an item that runs was started again");
}

#[tokio::test]
async fn a_job_of_which_nothing_runs_moves_on_when_its_worker_winds_up() {
    let (hanging, sound) = servers().await;
    let records = MemoryStore::default();
    let leaving = Worker::start_with_item(&records, &hanging).await;
    leaving.shared.dispatcher().set_ready([].into_iter());
    hand_in(&records, knows_only(LEAVING), "idle").await;
    let waiting = || leaving.shared.dispatcher().shares(leaving.shared.clock.now()).waiting;
    until("the worker takes the job", || async { waiting() > 0 }).await;
    let _other = Worker::start(&records, OTHER, &sound).await;
    leaving.leave();
    until("the job waits for the leaving worker", || async { items_at(&sound, "idle") == 1 }).await;
    assert_eq!(items_at(&sound, HELD), 0, "an item that runs was started again");
}

#[tokio::test]
async fn a_front_assigns_no_new_job_to_a_worker_that_winds_up() {
    let (hanging, sound) = servers().await;
    let records = MemoryStore::default();
    let leaving = Worker::start_with_item(&records, &hanging).await;
    let _other = Worker::start(&records, OTHER, &sound).await;
    let contact = Contact::default();
    let cache = WatchCache::new(Arc::new(records.clone()), contact.clone(), Vec::new(), 0);
    let shared = node(route(RequestKind::Batch, 3), &[]);
    let front = join(&records, &cache, contact, shared, ("front", NodeRole::Front)).await;
    until("the front knows both workers", || async { front.nodes.worker_names().len() == 2 }).await;
    leaving.leave();
    let end = Instant::now() + PATIENCE;
    let (mut number, mut in_a_row) = (0, 0);
    while in_a_row < JOBS_IN_A_ROW {
        assert!(Instant::now() < end, "jobs are still assigned to the leaving worker");
        let job = format!("job-{number}");
        hand_in(&records, front.nodes.clone(), &job).await;
        in_a_row = if worker_of(&records, &job).await == OTHER { in_a_row + 1 } else { 0 };
        number += 1;
        tokio::time::sleep(PAUSE).await;
    }
    assert!(front.nodes.address_of(LEAVING).is_some(), "results of its jobs can't be asked for");
}
