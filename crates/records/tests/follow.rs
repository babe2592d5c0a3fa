//! Following a prefix through outages and lost history.

use bytes::Bytes;
use latchwheel_core::circuit_breaker::{ProbePolicy, MAX_SHARED_PROBE_INTERVAL};
use latchwheel_core::record_source::RecordSource;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{
    Change, Contact, Followed, GuardedStore, RecordStore, RecordsFault, Transaction, WatchCache, Write,
};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PREFIX: &str = "a/";
const PACE: Duration = Duration::from_millis(100);

async fn write(store: &MemoryStore, key: &str, value: &'static str) {
    let write = Write { key: key.into(), value: Bytes::from_static(value.as_bytes()), lease: 0 };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
}

type Store = GuardedStore<MemoryStore>;
type Told = Arc<Mutex<Vec<Followed>>>;

/// A node's cache with all that its follower was told; without upstreams it
/// watches the store.
fn node(store: &MemoryStore, upstreams: Vec<String>) -> (Arc<WatchCache<Store>>, Told) {
    node_in_contact(store, upstreams, Contact::default())
}

fn node_in_contact(store: &MemoryStore, upstreams: Vec<String>, contact: Contact) -> (Arc<WatchCache<Store>>, Told) {
    let told = Told::default();
    let seen = told.clone();
    let store = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
    let cache = WatchCache::new(store, contact, upstreams, 0);
    cache.follow(PREFIX, PACE, move |followed| seen.lock().unwrap().push(followed));
    (cache, told)
}

fn start(store: &MemoryStore) -> Told {
    node(store, Vec::new()).1
}

fn newest(told: &Mutex<Vec<Followed>>) -> Option<Bytes> {
    let told = told.lock().unwrap();
    told.iter().rev().find_map(|followed| match followed {
        Followed::All(listing) => listing.records.last().map(|record| record.value.clone()),
        Followed::Changed(changes) => changes.changes.iter().rev().find_map(|change| match change {
            Change::Written(record) => Some(record.value.clone()),
            Change::Removed { .. } => None,
        }),
        _ => None,
    })
}

#[tokio::test(start_paused = true)]
async fn changes_are_told_in_order() {
    let store = MemoryStore::default();
    write(&store, "a/1", "old").await;
    let told = start(&store);
    tokio::time::sleep(PACE).await;
    assert_eq!(newest(&told), Some(Bytes::from_static(b"old")));
    write(&store, "a/1", "new").await;
    write(&store, "b/1", "elsewhere").await;
    tokio::time::sleep(PACE).await;
    assert_eq!(newest(&told), Some(Bytes::from_static(b"new")));
}

/// Many changes that the store tells in parts are known without a pause for each part:
/// ten thousand in parts of 500 within half a second, where a pause of a second after
/// each would make it 20 s. Single changes still come together.
#[tokio::test(start_paused = true)]
async fn many_changes_are_known_without_pauses() {
    let pace = Duration::from_secs(1);
    let store = MemoryStore::default();
    store.limit_watches(500);
    let cache = WatchCache::new(Arc::new(store.clone()), Contact::default(), Vec::new(), 0);
    let known = Arc::new(Mutex::new(0));
    let counted = known.clone();
    cache.follow(PREFIX, pace, move |followed| {
        if let Followed::Changed(changes) = followed {
            *counted.lock().unwrap() += changes.changes.len();
        }
    });
    tokio::time::sleep(Duration::from_millis(1)).await;
    for number in 0..10_000 {
        write(&store, &format!("a/{number}"), "server").await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(*known.lock().unwrap() >= 9_500, "{} known", *known.lock().unwrap());
    // A change every 20 ms for 5 s: one watch a second.
    let before = store.calls();
    for number in 0..250 {
        write(&store, &format!("a/late-{number}"), "server").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let writes = 250;
    assert!(store.calls() - before - writes <= 8, "{} watches", store.calls() - before - writes);
}

/// A watch that was cut may have missed changes whose history is gone; the
/// store may hold the next watch for its whole time before it says so.
#[tokio::test(start_paused = true)]
async fn a_cut_watch_is_followed_by_a_list() {
    let store = MemoryStore::default();
    write(&store, "a/1", "old").await;
    let told = start(&store);
    tokio::time::sleep(PACE).await;
    store.set_fault(Some(RecordsFault::Unknown));
    store.cut_watches();
    tokio::time::sleep(Duration::from_millis(10)).await;
    store.set_fault(None);
    write(&store, "a/1", "new").await;
    store.forget_history();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(newest(&told), Some(Bytes::from_static(b"new")));
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_told_with_its_length() {
    let store = MemoryStore::default();
    let told = start(&store);
    tokio::time::sleep(PACE).await;
    store.set_fault(Some(RecordsFault::Refused));
    store.cut_watches();
    tokio::time::sleep(Duration::from_secs(3)).await;
    store.set_fault(None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let told = told.lock().unwrap();
    assert!(told.contains(&Followed::Lost(RecordsFault::Refused)));
    let away = told.iter().find_map(|followed| match followed {
        Followed::Regained(away) => Some(*away),
        _ => None,
    });
    assert!(away.is_some_and(|away| away >= Duration::from_secs(3)), "{away:?}");
}

/// A node's cache that others can poll.
struct Upstream {
    cache: Arc<WatchCache<Store>>,
    address: String,
    task: tokio::task::JoinHandle<()>,
    _stop: tokio::sync::watch::Sender<bool>,
}

async fn upstream(store: &MemoryStore) -> Upstream {
    let (cache, _) = node(store, Vec::new());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let task = tokio::spawn(cache.clone().serve(listener, stopped));
    until(|| cache.knows(PREFIX)).await;
    Upstream { cache, address, task, _stop: stop }
}

/// A node that starts while the store is away knows what another one knows,
/// and the store's own list as soon as that answers.
#[tokio::test]
async fn a_start_in_an_outage_takes_over_from_another_node() {
    let store = MemoryStore::default();
    write(&store, "a/1", "known").await;
    let first = upstream(&store).await;

    store.set_fault(Some(RecordsFault::Refused));
    store.cut_watches();
    let (_second, told) = node(&store, vec!["127.0.0.1:1".into(), first.address.clone()]);
    until(|| newest(&told) == Some(Bytes::from_static(b"known"))).await;
    store.set_fault(None);
    write(&store, "a/1", "newer").await;
    until(|| newest(&told) == Some(Bytes::from_static(b"newer"))).await;
}

/// A node with a sound upstream makes no call to the store: the one that it
/// could call answers nothing. Removals and further prefixes reach it too.
#[tokio::test]
async fn a_node_follows_its_upstream_without_the_store() {
    let store = MemoryStore::default();
    write(&store, "a/1", "one").await;
    write(&store, "b/1", "elsewhere").await;
    let first = upstream(&store).await;
    let unreachable = MemoryStore::default();
    unreachable.set_fault(Some(RecordsFault::Unknown));
    let (second, told) = node(&unreachable, vec![first.address.clone()]);
    until(|| newest(&told) == Some(Bytes::from_static(b"one"))).await;
    assert_eq!(second.source(), RecordSource::Upstream);

    write(&store, "a/1", "two").await;
    until(|| newest(&told) == Some(Bytes::from_static(b"two"))).await;
    let remove = Transaction { removes: vec!["a/1".into()], ..Transaction::default() };
    store.commit(&remove).await.unwrap();
    until(|| told.lock().unwrap().iter().any(is_removal)).await;

    let seen = Arc::new(Mutex::new(Vec::new()));
    let others = seen.clone();
    second.follow("b/", PACE, move |followed| others.lock().unwrap().push(followed));
    until(|| newest(&seen) == Some(Bytes::from_static(b"elsewhere"))).await;
    assert!(!told.lock().unwrap().iter().any(|followed| matches!(followed, Followed::Lost(_))));
}

fn is_removal(followed: &Followed) -> bool {
    let Followed::Changed(changes) = followed else { return false };
    changes.changes.iter().any(|change| matches!(change, Change::Removed { key, .. } if key == "a/1"))
}

/// An upstream that dies, or that the store fails, is left for the store.
#[tokio::test]
async fn a_node_turns_to_the_store_when_its_upstream_fails() {
    let store = MemoryStore::default();
    write(&store, "a/1", "one").await;
    let own_view = store.clone();
    let first = upstream(&store).await;
    let (second, told) = node(&own_view, vec![first.address.clone()]);
    until(|| second.source() == RecordSource::Upstream).await;
    first.task.abort();
    until(|| first.task.is_finished()).await;
    write(&store, "a/1", "two").await;
    until(|| newest(&told) == Some(Bytes::from_static(b"two"))).await;
    assert!(first.cache.knows(PREFIX));

    // The store fails one upstream only.
    let failing = MemoryStore::default();
    write(&failing, "a/1", "old").await;
    let cut_off = upstream(&failing).await;
    let (third, told) = node(&own_view, vec![cut_off.address.clone()]);
    until(|| third.source() == RecordSource::Upstream).await;
    failing.set_fault(Some(RecordsFault::Refused));
    failing.cut_watches();
    until(|| third.source() == RecordSource::Store).await;
    until(|| newest(&told) == Some(Bytes::from_static(b"two"))).await;
}

/// While the store is away for all, the nodes behind upstreams hardly ask it, and
/// hear of its return from these.
#[tokio::test]
async fn a_node_whose_upstreams_lost_the_store_leaves_it_alone() {
    let store = MemoryStore::default();
    write(&store, "a/1", "old").await;
    let (first, second) = (upstream(&store).await, upstream(&store).await);
    let own_view = MemoryStore::default();
    let policy = ProbePolicy { calls_per_second: 1.0, nodes: 300, relied_on: false };
    let upstreams = vec![first.address.clone(), second.address.clone()];
    let (node, told) = node_in_contact(&own_view, upstreams, Contact::new(policy));
    until(|| node.source() == RecordSource::Upstream).await;
    assert_eq!(own_view.calls(), 0);

    let outage = std::time::Instant::now();
    own_view.set_fault(Some(RecordsFault::Refused));
    store.set_fault(Some(RecordsFault::Refused));
    store.cut_watches();
    until(|| node.source() == RecordSource::Store).await;
    let before = store.calls();
    until(|| store.calls() >= before + 12).await;
    let most = outage.elapsed().as_secs_f64() / MAX_SHARED_PROBE_INTERVAL.mul_f64(0.75).as_secs_f64() + 1.0;
    assert!(own_view.calls() as f64 <= most, "{} calls, {most} are allowed", own_view.calls());

    store.set_fault(None);
    write(&store, "a/1", "new").await;
    until(|| newest(&told) == Some(Bytes::from_static(b"new"))).await;
    assert_eq!(node.source(), RecordSource::Upstream);
}

async fn until(holds: impl Fn() -> bool) {
    let end = std::time::Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(std::time::Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
