//! Ends of jobs that are not in the store when they are asked for.
//!
//! What is promised: once an end was acknowledged, or was asked for and could not be
//! acknowledged, no item of the job is sent to a server, however late the job
//! gets into the store; and a job that was accepted can still be read.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::layout::{closed_key, disk_key, job_key, JobRecord, JobState};
use latchwheel_jobs::{
    run_worker, serve_relay, DeskFault, ItemBody, JobBody, JobDesk, Membership, NodeRecord, NodeRole, Nodes, OwnNode,
    OwnedJobs, Spool, Submission, WorkerHandle, WorkerRules,
};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, GuardedStore, RecordStore, RecordsFault, Transaction, WatchCache, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestServer, HOST};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
/// A job that is handed in after the others, and runs.
const CONTROL: &str = "job-control";
const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };
const OF_RED: Submission<'_> = Submission { tenant: Some("red"), ..SUBMISSION };
const ITEMS: usize = 3;
const PAGE: usize = 1 << 20;

fn body_of(job: &str) -> JobBody {
    let items = (0..ITEMS).map(|number| ItemBody {
        id: format!("{job}-item-{number}"),
        path: "/path/item".into(),
        body: "YWJj".into(),
        ..ItemBody::default()
    });
    JobBody { items: items.collect() }
}

fn body() -> JobBody {
    body_of(JOB)
}

fn soon() -> Instant {
    Instant::now() + Duration::from_millis(800)
}

fn much_later() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Completes once a condition holds.
async fn until<F: std::future::Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let end = much_later();
    while !holds().await {
        assert!(Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn desk(store: &MemoryStore) -> JobDesk<MemoryStore> {
    JobDesk::new(Arc::new(store.clone()), Nodes::default(), 1)
}

async fn record_of(store: &MemoryStore, job: &str) -> Option<JobRecord> {
    let record = store.get(&job_key(job)).await.unwrap()?;
    Some(serde_json::from_slice(&record.value).unwrap())
}

async fn is_in_store(store: &MemoryStore) -> bool {
    record_of(store, JOB).await.is_some()
}

async fn is_ended(store: &MemoryStore) -> bool {
    record_of(store, JOB).await.is_some_and(|record| record.state == JobState::Ended)
}

/// Ends on record of jobs that are not in the store.
async fn early_ends(store: &MemoryStore) -> usize {
    store.list("latchwheel/early-end/").await.unwrap().records.len()
}

/// A worker with one server, and what it needs to run.
struct Fleet {
    store: MemoryStore,
    server: TestServer,
    _worker: WorkerHandle,
    _membership: Membership<GuardedStore<MemoryStore>>,
}

impl Fleet {
    async fn start() -> Self {
        Self::start_keeping(Duration::from_secs(3600)).await
    }

    /// A fleet that removes a job that runs no longer after this time.
    async fn start_keeping(keep: Duration) -> Self {
        let store = MemoryStore::default();
        let server = TestServer::start("server", vec![Act::StreamTo(1); 8 * ITEMS]).await;
        let shared = node(route(RequestKind::Batch, 3), &[&server]);
        let contact = Contact::default();
        let guarded = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
        let cache = WatchCache::new(guarded.clone(), contact.clone(), Vec::new(), 0);
        let owned = OwnedJobs::new(contact.clone());
        let rules = WorkerRules { keep, ..WorkerRules::default() };
        let worker = run_worker(guarded.clone(), &cache, shared.clone(), owned, "worker", rules);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap().to_string();
        let record = NodeRecord { role: NodeRole::Worker, address, is_upstream: false };
        let own = OwnNode { name: "worker".to_owned(), record, sum_bytes_per_second: 1e6 };
        let membership = Membership::join(guarded, &cache, contact, shared, &own, socket);
        Self { store, server, _worker: worker, _membership: membership }
    }

    /// The job is in the store as ended, with all that was accepted, and none of its
    /// items reaches the server: a job that came after it is done first.
    async fn expect_nothing_runs(&self, caller: Option<&str>) {
        until(|| is_in_store(&self.store)).await;
        let control = desk(&self.store);
        control.take(CONTROL, &SUBMISSION, body_of(CONTROL), much_later()).await.unwrap();
        until(|| async {
            let page = control.read(CONTROL, None, 0, PAGE, Duration::from_millis(200)).await;
            page.is_ok_and(|page| page.results.len() == ITEMS || !self.items_of_the_job().is_empty())
        })
        .await;
        assert_eq!(self.items_of_the_job(), Vec::<String>::new(), "items of an ended job were sent");
        assert_eq!(record_of(&self.store, JOB).await.unwrap().state, JobState::Ended);
        assert_eq!(early_ends(&self.store).await, 0, "the job's record says it now");
        let reader = desk(&self.store);
        assert_eq!(reader.read(JOB, caller, 0, PAGE, Duration::ZERO).await.unwrap().total, ITEMS);
        assert_eq!(reader.item_body(JOB, caller, "job-1-item-1").await.as_deref(), Ok("YWJj"));
    }

    /// Items of the job that the server got.
    fn items_of_the_job(&self) -> Vec<String> {
        let items = self.server.seen().into_iter().filter_map(|seen| seen.header("t-id"));
        items.filter(|item| item.starts_with("job-1-")).collect()
    }
}

/// A worker's disk that takes jobs until this is dropped.
struct Disk {
    _stop: watch::Sender<bool>,
}

async fn serve_disk(store: &MemoryStore, address: &str, folder: &Path) -> Disk {
    let listener = TcpListener::bind(address).await.unwrap();
    let spool = Spool::open(Arc::new(store.clone()), "disk-0", address, folder).unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(spool.serve(OwnedJobs::new(Contact::default()), listener, stopped));
    Disk { _stop: stop }
}

/// An address that nobody uses now.
async fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string()
}

/// A job on the disk of a machine that is dark.
struct DarkDisk {
    _folder: tempfile::TempDir,
    job: PathBuf,
}

impl DarkDisk {
    /// A job is accepted on the disk of a worker while the store is away; then the
    /// worker's machine goes dark, and the store of the fleet has the disk on record.
    async fn with_job(store: &MemoryStore, submission: &Submission<'_>) -> Self {
        let (folder, address) = (tempfile::tempdir().unwrap(), free_address().await);
        // What the worker and the accepting node reach of the store: it never comes back.
        let away = MemoryStore::default();
        let disk = serve_disk(&away, &address, folder.path()).await;
        until(|| async { folder.path().join("spool/on-record").exists() }).await;
        away.set_fault(Some(RecordsFault::Refused));
        let nodes = Nodes::new(|_| Some(0));
        nodes.put("disk-0", NodeRole::Worker, address.parse().unwrap());
        let accepting = JobDesk::new(Arc::new(away), nodes, 1);
        assert_eq!(accepting.take(JOB, submission, body(), much_later()).await.unwrap().disks, 1);
        drop(disk);
        put_on_record(store).await;
        let job = folder.path().join(format!("spool/{JOB}.job"));
        Self { _folder: folder, job }
    }

    /// The machine is back, and its disk reaches the store.
    async fn come_back(&self, store: &MemoryStore, folder: &Path) -> Disk {
        std::fs::create_dir_all(folder.join("spool")).unwrap();
        std::fs::copy(&self.job, folder.join(format!("spool/{JOB}.job"))).unwrap();
        serve_disk(store, &free_address().await, folder).await
    }
}

/// A disk is on record, and its machine gives no answer.
async fn put_on_record(store: &MemoryStore) {
    let record = NodeRecord { role: NodeRole::Worker, address: free_address().await, is_upstream: false };
    let write = Write { key: disk_key("disk-0"), value: record.write(), lease: 0 };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
}

/// A client hands in a job while the store is away; it is accepted on a disk. The
/// machine of that disk goes dark, the store comes back, and the client ends the
/// job. Nobody finds the job, and nobody can rule it out, so that the client is told
/// to come back until it gives up. Then the disk comes back, and the job runs in
/// full: nothing had kept its end.
#[tokio::test]
async fn a_job_that_only_a_dark_disk_holds_can_be_ended() {
    let fleet = Fleet::start().await;
    let disk = DarkDisk::with_job(&fleet.store, &SUBMISSION).await;
    let node = desk(&fleet.store);
    let acknowledged = node.end(JOB, None, soon()).await;
    let folder = tempfile::tempdir().unwrap();
    let _back = disk.come_back(&fleet.store, folder.path()).await;
    fleet.expect_nothing_runs(None).await;
    assert_eq!(acknowledged, Ok(()));
    assert!(node.take(JOB, &SUBMISSION, body(), soon()).await.unwrap().resent);
    assert_eq!(node.end(JOB, None, soon()).await, Ok(()), "an end may be repeated");
}

/// A machine is gone for good, with its disk: that stays on record. From then on
/// no job that isn't in the store yet can be ended, since the disk may hold it.
#[tokio::test]
async fn a_disk_that_is_gone_for_good_holds_up_no_end() {
    let fleet = Fleet::start().await;
    put_on_record(&fleet.store).await;
    let acknowledged = desk(&fleet.store).end(JOB, None, soon()).await;
    desk(&fleet.store).take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    fleet.expect_nothing_runs(None).await;
    assert_eq!(acknowledged, Ok(()));
}

/// A client gives up on its job's submission, which is still on its way, and ends the
/// job at another node. That node knows of no job. The submission goes on,
/// and the job runs in full.
#[tokio::test]
async fn an_end_that_overtakes_its_job_counts() {
    let fleet = Fleet::start().await;
    assert_eq!(desk(&fleet.store).end(JOB, None, soon()).await, Err(DeskFault::Absent));
    let slow_node = desk(&fleet.store);
    assert!(!slow_node.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap().resent);
    assert!(slow_node.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap().resent);
    fleet.expect_nothing_runs(None).await;
}

/// The store gives no answer to the write of a job, and does it late: after the client,
/// who knows nothing of its job, has ended it. The job runs in full.
#[tokio::test]
async fn a_write_of_a_job_that_is_done_after_the_end_does_not_run_it() {
    let fleet = Fleet::start().await;
    fleet.store.hold_commit_of(&job_key(JOB));
    let given_up = Instant::now();
    let unanswered = desk(&fleet.store).take(JOB, &SUBMISSION, body(), given_up).await;
    assert_eq!(unanswered, Err(DeskFault::Unknown));
    assert_eq!(desk(&fleet.store).end(JOB, None, soon()).await, Err(DeskFault::Absent));
    assert_eq!(fleet.store.do_held_commits(), 0, "the write is done although its job was ended");
    // The client's resend crosses with its end.
    desk(&fleet.store).take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    fleet.expect_nothing_runs(None).await;
}

/// A front that is cut off hands a job to another front, where its end
/// has arrived before.
#[tokio::test]
async fn a_job_that_is_handed_to_another_front_after_its_end_does_not_run() {
    let fleet = Fleet::start().await;
    let other = Arc::new(desk(&fleet.store));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nodes = Nodes::new(|_| None);
    nodes.put("front", NodeRole::Front, listener.local_addr().unwrap());
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(serve_relay(other.clone(), listener, stopped));
    assert_eq!(other.end(JOB, None, soon()).await, Err(DeskFault::Absent));
    let unreachable = MemoryStore::default();
    unreachable.set_fault(Some(RecordsFault::Unknown));
    let cut_off = JobDesk::new(Arc::new(unreachable), nodes, 1);
    cut_off.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    fleet.expect_nothing_runs(None).await;
}

/// Whoever knows the identity of a job of another tenant can't end it, neither
/// before it is in the store nor later.
#[tokio::test]
async fn an_end_by_another_tenant_does_not_count() {
    let store = MemoryStore::default();
    put_on_record(&store).await;
    for other in [Some("blue"), None] {
        let _ = desk(&store).end(JOB, other, soon()).await;
    }
    desk(&store).take(JOB, &OF_RED, body(), much_later()).await.unwrap();
    assert_eq!(record_of(&store, JOB).await.unwrap().state, JobState::Open);
    assert_eq!(desk(&store).end(JOB, Some("blue"), soon()).await, Err(DeskFault::Absent));
    assert_eq!(record_of(&store, JOB).await.unwrap().state, JobState::Open);
}

/// Another tenant has asked for the end of the job too, before its owner.
#[tokio::test]
async fn an_end_counts_beside_ends_by_other_tenants() {
    let fleet = Fleet::start().await;
    let disk = DarkDisk::with_job(&fleet.store, &OF_RED).await;
    let _ = desk(&fleet.store).end(JOB, Some("blue"), soon()).await;
    let acknowledged = desk(&fleet.store).end(JOB, Some("red"), soon()).await;
    let folder = tempfile::tempdir().unwrap();
    let _back = disk.come_back(&fleet.store, folder.path()).await;
    fleet.expect_nothing_runs(Some("red")).await;
    assert_eq!(acknowledged, Ok(()));
}

/// The store is away for as long as a client tries to end its job. When the store
/// is back, the client is gone; nothing has kept its end, and the job runs on.
#[tokio::test]
async fn an_end_that_the_store_did_not_take_is_made_up_for() {
    let store = MemoryStore::default();
    let node = desk(&store);
    node.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    store.set_fault(Some(RecordsFault::Unknown));
    assert_eq!(node.end(JOB, None, soon()).await, Err(DeskFault::Unknown));
    store.set_fault(None);
    until(|| is_ended(&store)).await;
    assert_eq!(node.end(JOB, None, soon()).await, Ok(()));
}

/// While nodes of two versions run side by side, one of the former version makes a job
/// whose end is on record already: it knows of no such records. That does no harm, and
/// the next end of the job counts.
#[tokio::test]
async fn a_job_that_a_node_of_the_former_version_makes_can_be_ended() {
    let (store, former) = (MemoryStore::default(), MemoryStore::default());
    let node = desk(&store);
    assert_eq!(node.end(JOB, None, soon()).await, Err(DeskFault::Absent));
    desk(&former).take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    let records = former.list("latchwheel/").await.unwrap().records;
    let writes = records.into_iter().map(|record| Write { key: record.key, value: record.value, lease: 0 });
    let expected = vec![(job_key(JOB), 0), (closed_key(JOB), 0)];
    let made = Transaction { expected, writes: writes.collect(), removes: Vec::new() };
    store.commit(&made).await.unwrap();
    assert!(node.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap().resent);
    assert!(!is_ended(&store).await);
    assert_eq!(node.end(JOB, None, soon()).await, Ok(()));
    assert!(is_ended(&store).await);
}

/// A client leaves before its end is answered, and closes its connection: the call is
/// dropped. The store is back a moment later.
#[tokio::test]
async fn an_end_outlasts_the_call_that_asked_for_it() {
    let store = MemoryStore::default();
    let node = desk(&store);
    node.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    store.set_fault(Some(RecordsFault::Unknown));
    let call = node.end(JOB, None, soon());
    assert!(tokio::time::timeout(Duration::from_millis(50), call).await.is_err());
    store.set_fault(None);
    until(|| is_ended(&store)).await;
}

/// The store is away while a client ends a job that a dark disk holds; the client gives
/// up. The store is back first, then the disk.
#[tokio::test]
async fn an_end_that_the_store_did_not_take_is_kept_for_a_job_on_a_disk() {
    let fleet = Fleet::start().await;
    let disk = DarkDisk::with_job(&fleet.store, &SUBMISSION).await;
    let node = desk(&fleet.store);
    fleet.store.set_fault(Some(RecordsFault::Refused));
    assert_eq!(node.end(JOB, None, soon()).await, Err(DeskFault::Refused));
    fleet.store.set_fault(None);
    until(|| async { early_ends(&fleet.store).await == 1 }).await;
    let folder = tempfile::tempdir().unwrap();
    let _back = disk.come_back(&fleet.store, folder.path()).await;
    fleet.expect_nothing_runs(None).await;
}

/// Ends of jobs that never come are not kept for ever, and a node whose lease for them
/// has ended takes another.
#[tokio::test]
async fn ends_of_jobs_that_never_come_go_with_their_lease() {
    let store = MemoryStore::default();
    let node = desk(&store);
    assert_eq!(node.end(JOB, None, soon()).await, Err(DeskFault::Absent));
    assert_eq!(node.end("job-2", None, soon()).await, Err(DeskFault::Absent));
    assert_eq!(early_ends(&store).await, 2);
    store.end_lease(1);
    assert_eq!(early_ends(&store).await, 0);
    assert_eq!(node.end(JOB, None, soon()).await, Err(DeskFault::Absent));
    assert_eq!(early_ends(&store).await, 1);
    store.end_lease(2);
    assert_eq!(early_ends(&store).await, 0);
}

/// An ended job was removed after its time. Then a disk comes back with a copy of it,
/// and its client ends it once more.
#[tokio::test]
async fn a_copy_that_comes_back_after_the_removal_of_its_job_does_not_run() {
    let fleet = Fleet::start_keeping(Duration::ZERO).await;
    let disk = DarkDisk::with_job(&fleet.store, &OF_RED).await;
    let node = desk(&fleet.store);
    assert_eq!(node.end(JOB, Some("red"), soon()).await, Ok(()));
    node.take(JOB, &OF_RED, body(), much_later()).await.unwrap();
    let is_closed = || async { fleet.store.get(&closed_key(JOB)).await.unwrap().is_some() };
    until(is_closed).await;
    let folder = tempfile::tempdir().unwrap();
    let _back = disk.come_back(&fleet.store, folder.path()).await;
    until(|| async { !folder.path().join(format!("spool/{JOB}.job")).exists() }).await;
    assert_eq!(record_of(&fleet.store, JOB).await, None);
    assert_eq!(fleet.items_of_the_job(), Vec::<String>::new());
    assert_eq!(node.end(JOB, Some("red"), soon()).await, Ok(()));
    assert_eq!(node.end(JOB, Some("blue"), soon()).await, Err(DeskFault::Absent));
    assert_eq!(early_ends(&fleet.store).await, 0);
}

/// The store takes the write of an end and says nothing: the client is answered in
/// its time all the same, and its next try is taken.
#[tokio::test]
async fn an_end_is_answered_while_the_store_is_silent() {
    let store = MemoryStore::default();
    let node = desk(&store);
    node.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    store.set_silent(true);
    let answer = tokio::time::timeout(Duration::from_secs(20), node.end(JOB, None, soon())).await;
    assert_eq!(answer.expect("no answer"), Err(DeskFault::Unknown));
    store.set_silent(false);
    assert_eq!(node.end(JOB, None, soon()).await, Ok(()));
    assert!(is_ended(&store).await);
}

/// An end of a job that is in the store costs one read and one commit.
#[tokio::test]
async fn an_end_of_a_job_in_the_store_costs_two_calls() {
    let store = MemoryStore::default();
    let node = desk(&store);
    node.take(JOB, &SUBMISSION, body(), much_later()).await.unwrap();
    let calls_before = store.calls();
    node.end(JOB, None, soon()).await.unwrap();
    assert_eq!(store.calls() - calls_before, 2);
}
