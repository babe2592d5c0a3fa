//! Snapshots that are too old, or of no use any more.

use bytes::Bytes;
use hyper::Method;
use latchwheel_core::startup_snapshot::MAX_SNAPSHOT_AGE;
use latchwheel_events::metrics_text;
use latchwheel_http::Client;
use latchwheel_protocol::{v1, Message};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{
    Contact, Followed, GuardedStore, KeptPrefix, RecordStore, RecordsFault, SnapshotFolder, WatchCache, CACHE_PATH,
};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;

const PREFIX: &str = "a/";
const FORMER_PREFIX: &str = "former/";
const PACE: Duration = Duration::from_millis(20);
const DEPLOYMENT: &str = "here";
const LIMIT: Duration = Duration::from_secs(10);
/// Time for which a poll asks to be held.
const WAIT_MS: u32 = 200;

type Cache = Arc<WatchCache<GuardedStore<MemoryStore>>>;
/// The age of what was kept, as a follower was told it.
type KeptAge = Arc<Mutex<Option<Duration>>>;

fn node(store: &MemoryStore, upstreams: Vec<String>) -> (Cache, KeptAge) {
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact, upstreams, 0);
    tokio::spawn(async move {
        // Its lease is renewed.
        loop {
            let _ = store.get("none").await;
            tokio::time::sleep(PACE).await;
        }
    });
    let age = KeptAge::default();
    let told = age.clone();
    cache.follow(PREFIX, PACE, move |followed| {
        if let Followed::Kept(age) = followed {
            *told.lock().unwrap() = Some(age);
        }
    });
    (cache, age)
}

/// A disk that holds a snapshot of a prefix which the store confirmed so long ago.
fn kept_on_disk(prefix: &str, age: Duration) -> (tempfile::TempDir, SnapshotFolder) {
    let disk = tempfile::tempdir().unwrap();
    let folder = SnapshotFolder::open(disk.path(), DEPLOYMENT).unwrap();
    let record = v1::CachedRecord { key: format!("{prefix}1"), value: Bytes::new(), revision: 1 };
    let written = vec![record];
    let records = v1::PrefixRecords { prefix: prefix.into(), revision: 1, all: true, written, ..Default::default() };
    let confirmed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - age;
    let confirmed_ms = confirmed.as_millis() as u64;
    folder.write(&v1::StartSnapshot { deployment: DEPLOYMENT.into(), confirmed_ms, records: Some(records) }).unwrap();
    (disk, folder)
}

fn keep(cache: &Cache, folder: SnapshotFolder) {
    cache.keep_on_disk(folder, vec![KeptPrefix { prefix: PREFIX, pace: Duration::ZERO }]);
}

async fn served(cache: &Cache) -> (String, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(cache.clone().serve(listener, stopped));
    (address, stop)
}

async fn until(holds: impl Fn() -> bool) {
    let end = std::time::Instant::now() + LIMIT;
    while !holds() {
        assert!(std::time::Instant::now() < end, "it never came about");
        tokio::time::sleep(PACE).await;
    }
}

/// The answer to a node that knows nothing.
async fn told(address: &str) -> v1::RecordsAnswer {
    let position = v1::RecordsPosition { prefix: PREFIX.into(), ..v1::RecordsPosition::default() };
    let (positions, wait_ms) = (vec![position], WAIT_MS);
    let asked = v1::RecordsRequest { positions, wait_ms, reads_compressed: true, ..v1::RecordsRequest::default() };
    let body = Bytes::from(asked.encode_to_vec());
    let answer = Client::http1().call(Method::POST, address, CACHE_PATH, body, LIMIT).await.unwrap();
    v1::RecordsAnswer::decode(answer).unwrap()
}

/// However late it was taken, and through whomever, it counts from the confirmation.
#[tokio::test]
async fn a_snapshot_is_as_old_as_its_confirmation() {
    let store = MemoryStore::default();
    store.set_fault(Some(RecordsFault::Unavailable));
    let age = MAX_SNAPSHOT_AGE / 2;
    let (_disk, folder) = kept_on_disk(PREFIX, age);
    let (worker, worker_age) = node(&store, Vec::new());
    keep(&worker, folder);
    until(|| worker_age.lock().unwrap().is_some()).await;
    let (address, _stop) = served(&worker).await;
    let (_front, front_age) = node(&store, vec![address]);
    until(|| front_age.lock().unwrap().is_some()).await;
    for told in [worker_age, front_age] {
        let told = told.lock().unwrap().unwrap();
        assert!(told >= age && told < age + LIMIT, "{told:?}");
    }
}

/// Nodes that know nothing wouldn't believe it, and would ask again at once.
#[tokio::test]
async fn what_has_become_too_old_is_told_to_nobody() {
    const MARGIN: Duration = Duration::from_secs(3);
    let store = MemoryStore::default();
    store.set_fault(Some(RecordsFault::Unavailable));
    let (_disk, folder) = kept_on_disk(PREFIX, MAX_SNAPSHOT_AGE - MARGIN);
    let (worker, _) = node(&store, Vec::new());
    keep(&worker, folder);
    until(|| worker.knows(PREFIX)).await;
    let (address, _stop) = served(&worker).await;
    let answer = told(&address).await;
    assert_eq!((answer.prefixes.len(), answer.confirmed_prefixes.len()), (1, 1), "it is young enough yet");
    until(|| worker.origin(PREFIX).is_some_and(|(_, age)| age.is_some_and(|age| age > MAX_SNAPSHOT_AGE))).await;
    let answer = told(&address).await;
    assert_eq!((answer.prefixes.len(), answer.confirmed_prefixes.len()), (0, 0));
    assert!(answer.held_ms >= WAIT_MS, "the poll rests: {answer:?}");
}

/// A former version kept a prefix that nobody follows any more: its file is named once, and
/// no task goes on to look whether it is needed.
#[tokio::test]
async fn a_file_of_a_prefix_that_is_not_kept_is_passed_over() {
    let store = MemoryStore::default();
    let (_former_disk, former) = kept_on_disk(FORMER_PREFIX, Duration::ZERO);
    let empty_disk = tempfile::tempdir().unwrap();
    let empty = SnapshotFolder::open(empty_disk.path(), DEPLOYMENT).unwrap();
    let ((with_former, _), (without, _)) = (node(&store, Vec::new()), node(&store, Vec::new()));
    keep(&with_former, former);
    keep(&without, empty);
    until(|| with_former.knows(PREFIX) && without.knows(PREFIX)).await;
    // Each task that still runs holds its cache.
    until(|| Arc::strong_count(&with_former) == Arc::strong_count(&without)).await;
    assert!(metrics_text().contains("latchwheel_events_total{name=\"SnapshotUnusable\"} 1"));
}
