//! Taking, ending and reading jobs while the store fails in every way.

use latchwheel_jobs::desk::Taken;
use latchwheel_jobs::{
    serve_relay, DeskFault, ItemBody, JobBody, JobDesk, NodeRole, Nodes, OwnedJobs, Spool, Submission,
};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, RecordStore, RecordsFault};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

const JOB: &str = "job-1";
const HOST: &str = "host.example";
const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };

fn body(items: usize) -> JobBody {
    let items = (0..items).map(|number| ItemBody {
        id: format!("item-{number}"),
        path: "/path/item".into(),
        body: "YWJj".into(),
        ..ItemBody::default()
    });
    JobBody { items: items.collect() }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_millis(800)
}

/// Completes once a condition on the store's side holds.
async fn until<F: std::future::Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds().await {
        assert!(Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A worker's disk that is served until it is dropped.
struct Disk {
    _stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

async fn disk(store: &MemoryStore, name: &str, address: &str, folder: &Path) -> Disk {
    let listener = TcpListener::bind(address).await.unwrap();
    let spool =
        Spool::open(Arc::new(store.clone()), name, &listener.local_addr().unwrap().to_string(), folder).unwrap();
    let (stop, stopped) = watch::channel(false);
    Disk { _stop: stop, task: tokio::spawn(spool.serve(OwnedJobs::new(Contact::default()), listener, stopped)) }
}

/// Addresses that nobody uses now.
async fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string()
}

/// These workers, all heard of.
fn workers(addresses: &[String]) -> Nodes {
    let nodes = Nodes::new(|_| Some(0));
    for (number, address) in addresses.iter().enumerate() {
        nodes.put(&format!("worker-{number}"), NodeRole::Worker, address.parse().unwrap());
    }
    nodes
}

fn desk(store: &MemoryStore, nodes: Nodes) -> JobDesk<MemoryStore> {
    JobDesk::new(Arc::new(store.clone()), nodes, 2)
}

#[tokio::test]
async fn a_job_is_absent_for_other_tenants() {
    let store = MemoryStore::default();
    let (taking, reading) = (desk(&store, Nodes::default()), desk(&store, Nodes::default()));
    let red = Submission { tenant: Some("red"), ..SUBMISSION };
    taking.take(JOB, &red, body(2), soon()).await.unwrap();
    for other in [None, Some("blue")] {
        for desk in [&taking, &reading] {
            assert_eq!(desk.read(JOB, other, 0, 1 << 20, Duration::ZERO).await, Err(DeskFault::Absent));
            assert_eq!(desk.item_body(JOB, other, "item-1").await, Err(DeskFault::Absent));
            assert_eq!(desk.end(JOB, other, soon()).await, Err(DeskFault::Absent));
        }
    }
    let blue = Submission { tenant: Some("blue"), ..SUBMISSION };
    assert_eq!(reading.take(JOB, &blue, body(2), soon()).await, Err(DeskFault::Conflict));
    assert!(reading.take(JOB, &red, body(2), soon()).await.unwrap().resent);
    assert_eq!(reading.read(JOB, Some("red"), 0, 1 << 20, Duration::ZERO).await.unwrap().total, 2);
    // What is remembered of the job is not shown to others either.
    assert_eq!(reading.read(JOB, Some("blue"), 0, 1 << 20, Duration::ZERO).await, Err(DeskFault::Absent));
    assert_eq!(reading.item_body(JOB, Some("red"), "item-1").await.as_deref(), Ok("YWJj"));
    assert_eq!(reading.item_body(JOB, Some("blue"), "item-1").await, Err(DeskFault::Absent));
    assert_eq!(taking.end(JOB, Some("red"), soon()).await, Ok(()));
}

#[tokio::test]
async fn a_job_is_taken_once_however_often_it_is_sent() {
    let store = MemoryStore::default();
    let desk = desk(&store, Nodes::default());
    assert!(!desk.take(JOB, &SUBMISSION, body(3), soon()).await.unwrap().resent);
    assert!(desk.take(JOB, &SUBMISSION, body(3), soon()).await.unwrap().resent);
    let other = desk.take(JOB, &SUBMISSION, body(4), soon()).await;
    assert_eq!(other, Err(DeskFault::Conflict));
    assert_eq!(desk.read(JOB, None, 0, 1 << 20, Duration::ZERO).await.unwrap().total, 3);
    assert_eq!(desk.item_body(JOB, None, "item-1").await.as_deref(), Ok("YWJj"));
    assert_eq!(desk.item_body(JOB, None, "item-9").await, Err(DeskFault::Absent));
    assert_eq!(desk.item_body("job-2", None, "item-1").await, Err(DeskFault::Absent));
}

/// The answer was lost, but the job was written: the next try finds it.
#[tokio::test]
async fn a_lost_answer_of_the_store_is_no_loss() {
    let store = MemoryStore::default();
    store.lose_answers(1);
    let desk = desk(&store, Nodes::default());
    assert!(desk.take(JOB, &SUBMISSION, body(1), soon()).await.is_ok());
}

/// Only a store that said no promises that nothing runs.
#[tokio::test]
async fn a_job_is_refused_only_if_it_can_not_run() {
    let store = MemoryStore::default();
    let desk = desk(&store, Nodes::default());
    store.set_fault(Some(RecordsFault::Unknown));
    assert_eq!(desk.take(JOB, &SUBMISSION, body(1), soon()).await, Err(DeskFault::Unknown));
}

#[tokio::test]
async fn an_end_lasts_and_may_be_repeated() {
    let store = MemoryStore::default();
    let desk = desk(&store, Nodes::default());
    assert_eq!(desk.end(JOB, None, soon()).await, Err(DeskFault::Absent));
    desk.take(JOB, &SUBMISSION, body(1), soon()).await.unwrap();
    store.lose_answers(1);
    assert_eq!(desk.end(JOB, None, soon()).await, Ok(()));
    assert_eq!(desk.end(JOB, None, soon()).await, Ok(()));
    assert!(desk.take(JOB, &SUBMISSION, body(1), soon()).await.unwrap().resent);
}

/// Hands a job in while only disks can keep it. A disk may take seconds to make a file
/// last, longer than the desk waits: then nobody can tell, and the client sends it again.
async fn take_on_disks(desk: &JobDesk<MemoryStore>, body: JobBody) -> Taken {
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        match desk.take(JOB, &SUBMISSION, body.clone(), Instant::now() + Duration::from_secs(2)).await {
            Ok(taken) => return taken,
            Err(fault) => assert_eq!(fault, DeskFault::Unknown),
        }
        assert!(Instant::now() < end, "no disk keeps it");
    }
}

/// The store is away: two disks make the job last. All disks go dark while
/// the store is back: nobody may say that there is no such job. When a disk
/// is back, the job is there.
#[tokio::test]
async fn a_job_on_disks_is_never_denied() {
    let store = MemoryStore::default();
    let folders = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let addresses = [free_address().await, free_address().await];
    let mut disks = Vec::new();
    for (number, (folder, address)) in folders.iter().zip(&addresses).enumerate() {
        disks.push(disk(&store, &format!("worker-{number}"), address, folder.path()).await);
    }
    let on_record = || async { store.list("latchwheel/disk/").await.unwrap().records.len() == 2 };
    until(on_record).await;
    let desk = desk(&store, workers(&addresses));
    // The disks note that they are on record after the store has taken it.
    until(|| async { folders.iter().all(|folder| folder.path().join("spool/on-record").exists()) }).await;

    store.set_fault(Some(RecordsFault::Refused));
    let taken = take_on_disks(&desk, body(2)).await;
    assert_eq!(taken.disks, 2);
    assert_eq!(desk.read(JOB, None, 0, 1 << 20, Duration::ZERO).await, Err(DeskFault::Refused));

    // The machines go dark before the store is back: what is on their disks
    // is kept aside meanwhile.
    let kept = tempfile::tempdir().unwrap();
    for (number, folder) in folders.iter().enumerate() {
        let name = format!("spool/{JOB}.job");
        std::fs::rename(folder.path().join(name), kept.path().join(number.to_string())).unwrap();
    }
    for disk in &disks {
        disk.task.abort();
    }
    until(|| async { disks.iter().all(|disk| disk.task.is_finished()) }).await;
    store.set_fault(None);
    let other_node = JobDesk::new(Arc::new(store.clone()), Nodes::default(), 2);
    // The accepting node still tries to write the job; one that died doesn't.
    let absent = store.get("latchwheel/active/job/job-9").await.unwrap();
    assert_eq!(absent, None);
    assert_eq!(other_node.read("job-9", None, 0, 1 << 20, Duration::ZERO).await, Err(DeskFault::Unknown));

    // One disk comes back with what it kept.
    std::fs::rename(kept.path().join("0"), folders[0].path().join("spool/job-9.job")).unwrap();
    let address = free_address().await;
    let _back = disk(&store, "worker-0", &address, folders[0].path()).await;
    until(|| async { store.get("latchwheel/active/job/job-9").await.unwrap().is_some() }).await;
    assert_eq!(other_node.read("job-9", None, 0, 1 << 20, Duration::ZERO).await.unwrap().total, 2);
}

/// Copies on several disks end up as one job.
#[tokio::test]
async fn every_disk_writes_its_copy_and_the_store_takes_one() {
    let store = MemoryStore::default();
    let folders = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let addresses = [free_address().await, free_address().await];
    let mut disks = Vec::new();
    for (number, (folder, address)) in folders.iter().zip(&addresses).enumerate() {
        disks.push(disk(&store, &format!("worker-{number}"), address, folder.path()).await);
    }
    let desk = desk(&store, workers(&addresses));
    until(|| async { folders.iter().all(|folder| folder.path().join("spool/on-record").exists()) }).await;
    store.set_fault(Some(RecordsFault::Refused));
    take_on_disks(&desk, body(2)).await;
    store.set_fault(None);
    let file = format!("spool/{JOB}.job");
    until(|| async { folders.iter().all(|folder| !folder.path().join(&file).exists()) }).await;
    assert_eq!(store.list("latchwheel/active/job/").await.unwrap().records.len(), 1);
    assert!(desk.take(JOB, &SUBMISSION, body(2), soon()).await.unwrap().resent);
}

/// A front that reaches neither the store nor a worker hands the job to one
/// that does.
#[tokio::test]
async fn a_front_that_is_cut_off_hands_a_job_on() {
    let store = MemoryStore::default();
    let other = Arc::new(desk(&store, Nodes::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(serve_relay(other.clone(), listener, stopped));

    let unreachable = MemoryStore::default();
    unreachable.set_fault(Some(RecordsFault::Unknown));
    let nodes = Nodes::new(|_| None);
    nodes.put("front", NodeRole::Front, address);
    let cut_off = desk(&unreachable, nodes);
    let until = Instant::now() + Duration::from_secs(10);
    assert!(cut_off.take(JOB, &SUBMISSION, body(2), until).await.is_ok());
    assert_eq!(other.read(JOB, None, 0, 1 << 20, Duration::ZERO).await.unwrap().total, 2);
    let conflict = cut_off.take(JOB, &SUBMISSION, body(3), until).await;
    assert_eq!(conflict, Err(DeskFault::Conflict));
}

/// Each call to a store that is away costs: a disk with many jobs asks it a few
/// times, not once for each job.
#[tokio::test]
async fn a_full_disk_asks_a_store_that_is_away_a_few_times() {
    const JOBS: usize = 60;
    let store = MemoryStore::default();
    let (folder, address) = (tempfile::tempdir().unwrap(), free_address().await);
    let disk_before = disk(&store, "worker-0", &address, folder.path()).await;
    until(|| async { folder.path().join("spool/on-record").exists() }).await;
    store.set_fault(Some(RecordsFault::Refused));
    let desk = JobDesk::new(Arc::new(store.clone()), workers(std::slice::from_ref(&address)), 1);
    take_on_disks(&desk, body(1)).await;
    disk_before.task.abort();
    let spooled = folder.path().join(format!("spool/{JOB}.job"));
    for number in 0..JOBS {
        std::fs::copy(&spooled, folder.path().join(format!("spool/copy-{number}.job"))).unwrap();
    }
    let calls_before = store.calls();
    let _disk = disk(&store, "worker-0", &free_address().await, folder.path()).await;
    until(|| async { store.calls() >= calls_before + 6 }).await;
    assert!(store.calls() < calls_before + JOBS, "{} calls", store.calls() - calls_before);
}

/// With many workers a job goes to as many disks as it needs and one more, also
/// where some of them are dead.
#[tokio::test]
async fn a_job_goes_to_no_more_disks_than_it_takes() {
    const DISKS: usize = 12;
    const DEAD: usize = 4;
    let store = MemoryStore::default();
    let folders: Vec<tempfile::TempDir> = (0..DISKS).map(|_| tempfile::tempdir().unwrap()).collect();
    let (mut addresses, mut disks) = (Vec::new(), Vec::new());
    for (number, folder) in folders.iter().enumerate() {
        addresses.push(free_address().await);
        disks.push(disk(&store, &format!("worker-{number}"), &addresses[number], folder.path()).await);
    }
    for _ in 0..DEAD {
        addresses.push(free_address().await);
    }
    until(|| async { folders.iter().all(|folder| folder.path().join("spool/on-record").exists()) }).await;
    store.set_fault(Some(RecordsFault::Refused));
    let desk = JobDesk::new(Arc::new(store.clone()), workers(&addresses), 3);
    let until_time = Instant::now() + Duration::from_secs(10);
    assert_eq!(desk.take(JOB, &SUBMISSION, body(2), until_time).await.unwrap().disks, 3);
    let file = format!("spool/{JOB}.job");
    let holding = folders.iter().filter(|folder| folder.path().join(&file).exists()).count();
    assert!((3..=5).contains(&holding), "{holding} of {DISKS} disks hold it");
}
