//! Following a prefix through outages and lost history.

use bytes::Bytes;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{
    follow, follow_with, Change, Followed, Handover, RecordStore, RecordsFault, Transaction, Write,
};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PREFIX: &str = "a/";
const PACE: Duration = Duration::from_millis(100);

async fn write(store: &MemoryStore, key: &str, value: &'static str) {
    let write = Write { key: key.into(), value: Bytes::from_static(value.as_bytes()), lease: 0 };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
}

/// Keeps the newest value that a follower was told.
fn start(store: &MemoryStore) -> Arc<Mutex<Vec<Followed>>> {
    let told = Arc::new(Mutex::new(Vec::new()));
    let seen = told.clone();
    tokio::spawn(follow(Arc::new(store.clone()), PREFIX.into(), PACE, move |followed| {
        seen.lock().unwrap().push(followed);
    }));
    told
}

fn newest(told: &Mutex<Vec<Followed>>) -> Option<Bytes> {
    let told = told.lock().unwrap();
    told.iter().rev().find_map(|followed| match followed {
        Followed::All(records) => records.last().map(|record| record.value.clone()),
        Followed::Changed(Change::Written(record)) => Some(record.value.clone()),
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

/// A node that starts while the store is away knows what another one knows,
/// and the store's own list as soon as that answers.
#[tokio::test]
async fn a_start_in_an_outage_takes_over_from_another_node() {
    let store = MemoryStore::default();
    write(&store, "a/1", "known").await;
    let first = Handover::new(Vec::new());
    tokio::spawn(follow_with(Arc::new(store.clone()), PREFIX.into(), PACE, first.clone(), |_| {}));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    tokio::spawn(first.clone().serve(listener, stopped));
    until(|| first.knows(PREFIX)).await;

    store.set_fault(Some(RecordsFault::Refused));
    let second = Handover::new(vec!["127.0.0.1:1".into(), address]);
    let told = Arc::new(Mutex::new(Vec::new()));
    let seen = told.clone();
    tokio::spawn(follow_with(Arc::new(store.clone()), PREFIX.into(), PACE, second, move |followed| {
        seen.lock().unwrap().push(followed);
    }));
    until(|| newest(&told) == Some(Bytes::from_static(b"known"))).await;
    store.set_fault(None);
    write(&store, "a/1", "newer").await;
    until(|| newest(&told) == Some(Bytes::from_static(b"newer"))).await;
}

async fn until(holds: impl Fn() -> bool) {
    let end = std::time::Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(std::time::Instant::now() < end, "it never came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
