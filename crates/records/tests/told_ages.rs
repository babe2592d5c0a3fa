//! What the preparation of an answer costs makes nothing newer that is told in it.
//!
//! The order of events: a node asks an upstream for two prefixes. The upstream reads the
//! age of the first one, then compresses a long list of the second one, and counts that
//! time as one for which it held the poll. The node adds it to the time of its asking, so
//! that the first prefix seems newer to it than it is to the upstream.

use bytes::Bytes;
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, Followed, GuardedStore, RecordStore, Transaction, WatchCache, Write};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

const SMALL: &str = "a/";
const LARGE: &str = "b/";
const PACE: Duration = Duration::from_millis(100);
const RECORDS: usize = 400;
const RECORD_BYTES: usize = 8 << 10;

type Store = GuardedStore<MemoryStore>;
type KnownUntil = Arc<Mutex<Option<Instant>>>;

fn follow(cache: &Arc<WatchCache<Store>>, prefix: &str) -> KnownUntil {
    let known = KnownUntil::default();
    let told = known.clone();
    cache.follow(prefix, PACE, move |followed| {
        if let Followed::CompleteAsOf(at) = followed {
            *told.lock().unwrap() = Some(at);
        }
    });
    known
}

fn node(store: &MemoryStore, upstreams: Vec<String>) -> Arc<WatchCache<Store>> {
    let contact = Contact::default();
    let store = Arc::new(GuardedStore::new(store.clone(), contact.clone()));
    let cache = WatchCache::new(store.clone(), contact, upstreams, 0);
    tokio::spawn(async move {
        while store.get("none").await.is_ok() {
            tokio::time::sleep(PACE).await;
        }
    });
    cache
}

async fn write(store: &MemoryStore, key: String, value: Bytes) {
    let write = Write { key, value, lease: 0 };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
}

async fn known(of: &KnownUntil) -> Instant {
    loop {
        if let Some(at) = *of.lock().unwrap() {
            return at;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn the_time_of_preparing_an_answer_makes_nothing_newer() {
    let store = MemoryStore::default();
    let mut random = SmallRng::seed_from_u64(1);
    write(&store, format!("{SMALL}1"), Bytes::from_static(b"value")).await;
    for number in 0..RECORDS {
        let mut value = vec![0; RECORD_BYTES];
        random.fill(&mut value[..]);
        write(&store, format!("{LARGE}{number}"), value.into()).await;
    }
    let upstream = node(&store, Vec::new());
    let (at_upstream, large) = (follow(&upstream, SMALL), follow(&upstream, LARGE));
    known(&at_upstream).await;
    known(&large).await;
    // From now on the upstream learns nothing newer.
    store.set_watches_silent(true);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_stop, stops) = watch::channel(false);
    tokio::spawn(upstream.serve(listener, stops));

    let follower = node(&store, vec![address]);
    let (told, _) = (follow(&follower, SMALL), follow(&follower, LARGE));
    let told = known(&told).await;
    let known_there = known(&at_upstream).await;
    assert!(told <= known_there, "it seems newer by {:?}", told - known_there);
}
