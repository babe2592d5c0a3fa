//! A worker on a store, and the jobs that it is handed.

// Each test file needs a part.
#![allow(dead_code)]

use crate::support::{TestDialect, HOST};
use latchwheel_core::routes::Route;
use latchwheel_events::metrics_text;
use latchwheel_jobs::layout::job_key;
use latchwheel_jobs::{
    run_worker, ItemBody, JobBody, JobDesk, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs, Submission,
    WorkerHandle, WorkerRules,
};
use latchwheel_proxy::Shared;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, RecordStore, Transaction, WatchCache, Write};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

pub const WORKER: &str = "worker";
pub const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };
/// Far more than anything here takes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A worker with all that it needs to live.
pub struct Worker<S> {
    pub handle: WorkerHandle,
    pub membership: Membership<S>,
    pub owned: Arc<OwnedJobs>,
}

pub async fn start_worker<S: RecordStore>(
    store: Arc<S>,
    shared: &Arc<Shared<TestDialect>>,
    rules: WorkerRules,
) -> Worker<S> {
    let contact = Contact::default();
    let cache = WatchCache::new(store.clone(), contact.clone(), Vec::new(), 0);
    let owned = OwnedJobs::new(contact.clone());
    let handle = run_worker(store.clone(), &cache, shared.clone(), owned.clone(), WORKER, rules);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let record = NodeRecord { role: NodeRole::Worker, address, is_upstream: false };
    let own = OwnNode { name: WORKER.into(), record, sum_bytes_per_second: 1e6 };
    let membership = Membership::join(store, &cache, contact, shared.clone(), &own, socket);
    Worker { handle, membership, owned }
}

pub fn desk(records: &MemoryStore) -> JobDesk<MemoryStore> {
    JobDesk::new(Arc::new(records.clone()), Nodes::default(), 2)
}

pub fn item() -> ItemBody {
    ItemBody { id: "item".into(), path: "/path/item".into(), body: "YWJj".into(), ..ItemBody::default() }
}

pub async fn hand_in(records: &MemoryStore, job: &str, items: usize) {
    hand_in_on(records, job, items, None).await;
}

/// Hands in a job that this route accepts.
pub async fn hand_in_on(records: &MemoryStore, job: &str, items: usize, route: Option<&Route>) {
    let items = (0..items).map(|number| ItemBody { id: format!("{job}-{number}"), ..item() });
    let body = JobBody { items: items.collect() };
    desk(records).take(job, &Submission { route, ..SUBMISSION }, body, Instant::now() + PATIENCE).await.unwrap();
}

pub async fn end(records: &MemoryStore, job: &str) {
    desk(records).end(job, None, Instant::now() + PATIENCE).await.unwrap();
}

/// The job's record says something else.
pub async fn change_record(records: &MemoryStore, job: &str, field: &str, value: serde_json::Value) {
    let present = records.get(&job_key(job)).await.unwrap().unwrap();
    let mut record: serde_json::Value = serde_json::from_slice(&present.value).unwrap();
    record[field] = value;
    let write = Write { key: job_key(job), value: record.to_string().into(), lease: 0 };
    records.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
}

/// How often this process logged such an event.
pub fn events_of(name: &str) -> usize {
    let text = metrics_text();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("latchwheel_events_total{{name=\"{name}\"}} ")));
    line.map_or(0, |count| count.parse().unwrap())
}

pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
