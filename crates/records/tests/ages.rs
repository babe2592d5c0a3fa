//! How old what is known of a prefix is: told by the store's watches, and passed on by
//! other nodes without becoming newer on the way.

use bytes::Bytes;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, Followed, GuardedStore, RecordStore, Transaction, WatchCache, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

const PREFIX: &str = "a/";
const PACE: Duration = Duration::from_millis(100);
/// Longer than any watch waits.
const LONG: Duration = Duration::from_secs(10);

type Store = GuardedStore<MemoryStore>;

/// Until when all changes are known, as a follower was told last.
type KnownUntil = Arc<Mutex<Option<Instant>>>;

fn follow(cache: &Arc<WatchCache<Store>>) -> KnownUntil {
    let known = KnownUntil::default();
    let told = known.clone();
    cache.follow(PREFIX, PACE, move |followed| {
        if let Followed::CompleteAsOf(at) = followed {
            let mut known = told.lock().unwrap();
            assert!(known.is_none_or(|known| known < at), "it only grows");
            *known = Some(at);
        }
    });
    known
}

fn node(store: &MemoryStore, upstreams: Vec<String>) -> (Arc<WatchCache<Store>>, KnownUntil) {
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact, upstreams, 0);
    tokio::spawn(async move {
        // Its other calls are answered, as those that renew its lease would be.
        loop {
            store.get("a/none").await.unwrap();
            tokio::time::sleep(PACE).await;
        }
    });
    let known = follow(&cache);
    (cache, known)
}

async fn write(store: &MemoryStore, key: &str) {
    let write = Write { key: key.into(), value: Bytes::from_static(b"value"), lease: 0 };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
}

fn known_until(known: &KnownUntil) -> Instant {
    known.lock().unwrap().expect("something is known")
}

#[tokio::test(start_paused = true)]
async fn what_is_followed_stays_recent_with_and_without_changes() {
    let store = MemoryStore::default();
    let (_cache, known) = node(&store, Vec::new());
    for round in 0..20 {
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert!(known_until(&known).elapsed() <= LONG, "round {round}");
        if round > 10 {
            write(&store, "a/1").await;
        }
    }
}

/// The answers to other calls don't make what a silent watch told any newer.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_makes_what_is_known_old() {
    let store = MemoryStore::default();
    let (_cache, known) = node(&store, Vec::new());
    tokio::time::sleep(LONG).await;
    let silent_since = Instant::now();
    store.set_watches_silent(true);
    write(&store, "a/1").await;
    tokio::time::sleep(LONG).await;
    assert!(known_until(&known) <= silent_since);
}

/// The operator's document and the ends of servers have to be in force within three
/// seconds, also where a watch dies just after its start.
#[tokio::test(start_paused = true)]
async fn changes_are_known_within_three_seconds_though_a_watch_has_died() {
    let store = MemoryStore::default();
    // As long as the answer to a watch may take beyond its wait.
    store.limit_silence(Duration::from_millis(800));
    let (cache, known) = node(&store, Vec::new());
    for round in 0..50 {
        // Watches die at other moments of their wait.
        tokio::time::sleep(Duration::from_millis(1000 + 37 * round)).await;
        store.set_watches_silent(true);
        store.set_watches_silent(false);
        let key = format!("a/{round}");
        write(&store, &key).await;
        let written_at = Instant::now();
        while known_until(&known) < written_at {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(written_at.elapsed() <= Duration::from_secs(3), "round {round}: {:?}", written_at.elapsed());
    }
    assert!(cache.knows(PREFIX));
}

/// A node is told how old its upstream's knowledge is, although the upstream answers at
/// once and the store answers the upstream's other calls.
#[tokio::test]
async fn an_upstream_makes_nothing_newer_than_it_knows_it() {
    let store = MemoryStore::default();
    write(&store, "a/1").await;
    let (cache, at_upstream) = node(&store, Vec::new());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_stop, stops) = watch::channel(false);
    tokio::spawn(cache.serve(listener, stops));
    let (_follower, known) = node(&store, vec![address]);
    while known.lock().unwrap().is_none() {
        tokio::time::sleep(PACE).await;
    }
    store.set_watches_silent(true);
    let silent_since = Instant::now();
    write(&store, "a/2").await;
    let first = known_until(&known);
    // Polls go on and bring the same moment again, never a later one than the upstream's.
    for _ in 0..20 {
        tokio::time::sleep(PACE).await;
        assert!(known_until(&known) <= known_until(&at_upstream));
    }
    assert!(first <= known_until(&known) && known_until(&at_upstream) <= silent_since);
}
