//! A job that goes to the store by way of a disk or of another front is the job that its
//! client handed in: every byte of its items, its host, path, tenant and terms.

use hyper::Method;
use latchwheel_core::job_route::AcceptedTerms;
use latchwheel_core::routes::{RequestKind, Route};
use latchwheel_http::{CallFault, Client};
use latchwheel_jobs::layout::{body_key, disk_key, job_key, JobRecord, JobState};
use latchwheel_jobs::{serve_relay, ItemBody, JobBody, JobDesk, NodeRole, Nodes, OwnedJobs, Spool, Submission};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, RecordStore, RecordsFault};
use std::path::Path;
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};
use support::route;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
static ROUTE: LazyLock<Route> = LazyLock::new(|| route(RequestKind::Batch, 7));
static SUBMISSION: LazyLock<Submission<'_>> = LazyLock::new(|| Submission {
    host: "host.example",
    path: "/path/x?y=%20",
    tenant: Some("red"),
    route: Some(&ROUTE),
});

/// Items with what an encoding may change: escapes, quotes, blanks, empty texts, signs
/// beyond ASCII, names that differ in case only, and one identity in two jobs.
fn body(mark: &str) -> JobBody {
    let headers =
        [("Model", mark), ("model", "m"), ("a", " \"b\\c\" \t"), ("empty", ""), ("caf", "caf\u{e9}\u{1f980}")];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let item = |id: &str, path: &str, body: &str| ItemBody {
        id: id.into(),
        path: path.into(),
        headers: headers.clone().into(),
        body: body.into(),
        tokens: u64::MAX,
    };
    JobBody { items: vec![item("i1", "/path//a?b=%2F\u{e9}&", "q83vEjRWeJA="), item("I1", "/", "")] }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

async fn until<F: std::future::Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds().await {
        assert!(Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn nodes(role: NodeRole, address: &str, hears: bool) -> Nodes {
    let nodes = Nodes::new(move |_| hears.then_some(0));
    nodes.put("node", role, address.parse().unwrap());
    nodes
}

/// Serves a worker's disk at an address; dropping what is given back stops it.
async fn disk(store: &MemoryStore, folder: &Path, listener: TcpListener) -> watch::Sender<bool> {
    let address = listener.local_addr().unwrap().to_string();
    let spool = Spool::open(Arc::new(store.clone()), "node", &address, folder).unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(spool.serve(OwnedJobs::new(Contact::default()), listener, stopped));
    until(|| async { folder.join("spool/on-record").exists() }).await;
    stop
}

/// A job as it is handed to a disk.
fn handed() -> serde_json::Value {
    serde_json::json!({ "host": SUBMISSION.host, "path": SUBMISSION.path, "accepted_ms": 1, "tenant": "red",
                        "terms": AcceptedTerms::of(&ROUTE), "body": body("first") })
}

/// What the disk at an address answers to a job; `None` if it gives no answer.
async fn answer_to(address: &str, job: &str) -> Option<u16> {
    let (path, bytes) = (format!("/spool/{job}"), handed().to_string().into());
    match Client::http1().call(Method::POST, address, &path, bytes, Duration::from_secs(10)).await {
        Ok(_) => Some(200),
        Err(CallFault::BadAnswer(status, _)) => Some(status),
        Err(_) => None,
    }
}

/// A job whose head has arrived at a disk, and whose items have not.
struct Arriving {
    connection: TcpStream,
    rest: String,
}

impl Arriving {
    async fn begin(address: &str, job: &str) -> Self {
        let rest = handed().to_string();
        let length = rest.len();
        let mut connection = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /spool/{job} HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: {length}\r\n\r\n"
        );
        connection.write_all(head.as_bytes()).await.unwrap();
        let mut arriving = Self { connection, rest };
        assert_eq!(arriving.status().await, 100, "the items are read");
        arriving
    }

    /// The items arrive; gives back the status of the answer.
    async fn end(&mut self) -> u16 {
        self.connection.write_all(self.rest.as_bytes()).await.unwrap();
        self.status().await
    }

    async fn status(&mut self) -> u16 {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.connection.read_u8().await.unwrap());
        }
        std::str::from_utf8(&head).unwrap().split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// Opens a disk and serves it; dropping the sender stops it.
async fn open(
    store: &MemoryStore,
    folder: &Path,
    listener: TcpListener,
) -> (Arc<Spool<MemoryStore>>, watch::Sender<bool>) {
    let address = listener.local_addr().unwrap().to_string();
    let spool = Spool::open(Arc::new(store.clone()), "node", &address, folder).unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(spool.clone().serve(OwnedJobs::new(Contact::default()), listener, stopped));
    (spool, stop)
}

/// The job as the store has it.
async fn stored(store: &MemoryStore) -> (JobRecord, JobBody) {
    until(|| async { store.get(&job_key(JOB)).await.is_ok_and(|record| record.is_some()) }).await;
    let record = store.get(&job_key(JOB)).await.unwrap().unwrap();
    let record: JobRecord = serde_json::from_slice(&record.value).unwrap();
    let mut bytes = Vec::new();
    for part in 0..record.body_parts {
        bytes.extend_from_slice(&store.get(&body_key(JOB, part)).await.unwrap().unwrap().value);
    }
    (record, serde_json::from_slice(&bytes).unwrap())
}

async fn assert_kept_whole(store: &MemoryStore, mark: &str) {
    let (record, kept) = stored(store).await;
    assert_eq!(kept, body(mark));
    assert_eq!((record.host.as_str(), record.path.as_str()), (SUBMISSION.host, SUBMISSION.path));
    assert_eq!((record.tenant.as_deref(), record.state, record.items), (Some("red"), JobState::Open, 2));
    assert_eq!(record.terms, Some(AcceptedTerms::of(&ROUTE)));
}

#[tokio::test]
async fn a_job_is_whole_in_the_store() {
    let store = MemoryStore::default();
    let desk = JobDesk::new(Arc::new(store.clone()), Nodes::default(), 1);
    desk.take(JOB, &SUBMISSION, body("first"), soon()).await.unwrap();
    assert_kept_whole(&store, "first").await;
}

/// Another front writes it; the one that took it reaches neither store nor worker.
#[tokio::test]
async fn a_job_is_whole_by_way_of_another_front() {
    let (store, away) = (MemoryStore::default(), MemoryStore::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_stop, stopped) = watch::channel(false);
    let other = Arc::new(JobDesk::new(Arc::new(store.clone()), Nodes::default(), 1));
    tokio::spawn(serve_relay(other, listener, stopped));
    away.set_fault(Some(RecordsFault::Unknown));
    let desk = JobDesk::new(Arc::new(away), nodes(NodeRole::Front, &address, false), 1);
    desk.take(JOB, &SUBMISSION, body("first"), soon()).await.unwrap();
    assert_kept_whole(&store, "first").await;
}

/// The worker that kept it ends before the store is back, and another process finds it on
/// the disk, beside what a crash left: a part of a job's file, and a job's file cut short.
#[tokio::test]
async fn a_job_is_whole_by_way_of_a_disk_and_a_crash() {
    let (store, folder) = (MemoryStore::default(), tempfile::tempdir().unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let stop = disk(&store, folder.path(), listener).await;
    store.set_fault(Some(RecordsFault::Refused));
    let desk = JobDesk::new(Arc::new(store.clone()), nodes(NodeRole::Worker, &address, true), 1);
    // The worker notes that its disk is on record a moment before it takes jobs.
    until(|| async {
        let time = Instant::now() + Duration::from_millis(300);
        desk.take(JOB, &SUBMISSION, body("first"), time).await.is_ok_and(|taken| taken.disks == 1)
    })
    .await;
    drop(stop);

    // What another process finds: the same files, in a folder that nobody else empties.
    let (after, crashed) = (MemoryStore::default(), tempfile::tempdir().unwrap());
    std::fs::create_dir(crashed.path().join("spool")).unwrap();
    let file = |name: &str| crashed.path().join("spool").join(name);
    let bytes = std::fs::read(folder.path().join(format!("spool/{JOB}.job"))).unwrap();
    std::fs::write(file(&format!("{JOB}.job")), &bytes).unwrap();
    std::fs::write(file("job-2.part"), &bytes).unwrap();
    std::fs::write(file("job-3.job"), &bytes[..bytes.len() - 1]).unwrap();
    std::fs::write(file("job-4.job"), b"").unwrap();
    let _stop = disk(&after, crashed.path(), TcpListener::bind("127.0.0.1:0").await.unwrap()).await;
    until(|| async { !file(&format!("{JOB}.job")).exists() }).await;
    assert_kept_whole(&after, "first").await;
    let jobs = after.list("latchwheel/active/job/").await.unwrap().records;
    assert_eq!(jobs.len(), 1, "what was cut short is no job");
}

/// The same identity with other items, another host, path or tenant: what was taken first
/// stays as it is.
#[tokio::test]
async fn a_job_is_never_replaced_by_another_of_its_identity() {
    let store = MemoryStore::default();
    let desk = JobDesk::new(Arc::new(store.clone()), Nodes::default(), 1);
    desk.take(JOB, &SUBMISSION, body("first"), soon()).await.unwrap();
    assert!(desk.take(JOB, &SUBMISSION, body("second"), soon()).await.is_err());
    assert!(desk.take(JOB, &Submission { tenant: None, ..*SUBMISSION }, body("first"), soon()).await.is_err());
    let _: Result<_, _> =
        desk.take(JOB, &Submission { host: "other.example", ..*SUBMISSION }, body("first"), soon()).await;
    assert_kept_whole(&store, "first").await;
}

/// A file that the disk doesn't give for a while comes into the store once it does, though
/// no further job arrives. A folder stands for such a file: it can't be read as one.
#[tokio::test]
async fn a_file_that_could_not_be_read_is_read_again() {
    let (store, folder) = (MemoryStore::default(), tempfile::tempdir().unwrap());
    let kept = folder.path().join("spool").join(format!("{JOB}.job"));
    std::fs::create_dir_all(&kept).unwrap();
    // Another one stays, so that nothing is taken for an empty disk meanwhile.
    std::fs::create_dir(folder.path().join("spool/job-2.job")).unwrap();
    let _stop = disk(&store, folder.path(), TcpListener::bind("127.0.0.1:0").await.unwrap()).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    std::fs::remove_dir(&kept).unwrap();
    std::fs::write(&kept, handed().to_string()).unwrap();
    until(|| async { !kept.exists() }).await;
    assert_kept_whole(&store, "first").await;
}

/// A disk that was given up is asked by nobody for its jobs: it takes none, nor does the
/// same folder at a later start before it is on record again.
#[tokio::test]
async fn a_disk_that_was_given_up_takes_no_job() {
    let (store, folder) = (MemoryStore::default(), tempfile::tempdir().unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (spool, stop) = open(&store, folder.path(), listener).await;
    until(|| async { answer_to(&address, JOB).await == Some(200) }).await;
    spool.close().await;
    assert!(store.get(&disk_key("node")).await.unwrap().is_none());
    assert_eq!(answer_to(&address, "job-2").await, Some(503));
    stop.send_replace(true);

    store.set_fault(Some(RecordsFault::Unknown));
    let listener = loop {
        match TcpListener::bind(&address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let (_spool, _stop) = open(&store, folder.path(), listener).await;
    assert_eq!(answer_to(&address, "job-3").await, Some(503));
}

/// A job arrives while the disk is given up: the disk stays on record until the store has
/// the job.
#[tokio::test]
async fn a_disk_is_given_up_after_the_jobs_that_arrive() {
    let (store, folder) = (MemoryStore::default(), tempfile::tempdir().unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (spool, _stop) = open(&store, folder.path(), listener).await;
    until(|| async { answer_to(&address, JOB).await == Some(200) }).await;
    until(|| async { store.get(&job_key(JOB)).await.unwrap().is_some() }).await;
    spool.emptied().await;

    let mut arriving = Arriving::begin(&address, "job-2").await;
    let closing = tokio::spawn(async move { spool.close().await });
    until(|| async { closing.is_finished() || !folder.path().join("spool/on-record").exists() }).await;
    store.set_fault(Some(RecordsFault::Refused));
    let answer = arriving.end().await;
    assert!(answer != 200 || !closing.is_finished(), "it lies on a disk that nobody asks");
    store.set_fault(None);
    closing.await.unwrap();
    assert!(answer != 200 || store.get(&job_key("job-2")).await.unwrap().is_some());
}

/// The process ended while it wrote a job: nobody else would remove what it has left.
#[tokio::test]
async fn a_partial_file_is_removed_at_the_next_start() {
    let (store, folder) = (MemoryStore::default(), tempfile::tempdir().unwrap());
    let partial = folder.path().join("spool/job-1.7.part");
    std::fs::create_dir(folder.path().join("spool")).unwrap();
    std::fs::write(&partial, "half").unwrap();
    let _spool = Spool::open(Arc::new(store), "node", "127.0.0.1:1", folder.path()).unwrap();
    assert!(!partial.exists());
}
