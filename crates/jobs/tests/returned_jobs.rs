//! A job that falls to another worker, and back before this one has left it.

use hooked_store::{Call, Fate, HookedStore};
use hyper::Method;
use latchwheel_core::routes::RequestKind;
use latchwheel_http::Client;
use latchwheel_jobs::layout::{node_key, result_key};
use latchwheel_jobs::{NodeRecord, NodeRole, Spool, WorkerRules, ITEM_BODY_PATH};
use latchwheel_protocol::{v1, Message};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{RecordStore, Transaction, Write};
use one_worker::{change_record, events_of, hand_in, start_worker, until, PATIENCE, WORKER};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{node, route, Act, TestServer, SERVICE};
use tokio::net::TcpListener;
use tokio::sync::watch;

mod hooked_store;
mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
const OTHER: &str = "other";
const AGE: Duration = Duration::from_secs(10);
/// Slots of a test server.
const SLOTS: usize = 8;

fn other_worker() -> Write {
    let record = NodeRecord { role: NodeRole::Worker, address: "127.0.0.1:1".into(), is_upstream: false };
    Write { key: node_key(OTHER), value: record.write(), lease: 0 }
}

/// The worker still lists what it has when the job is its own again.
#[tokio::test]
async fn a_job_that_comes_back_is_shown_to_readers() {
    let server = TestServer::start("server", vec![Act::StreamTo(1), Act::Silence, Act::Silence]).await;
    let records = MemoryStore::default();
    let shared = node(route(RequestKind::Batch, 3), &[&server]);
    hand_in(&records, JOB, 2).await;
    records.commit(&Transaction { writes: vec![other_worker()], ..Transaction::default() }).await.unwrap();
    change_record(&records, JOB, "assigned", WORKER.into()).await;
    // Of a job that is not new nothing is listed at first but by a worker that leaves it.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    change_record(&records, JOB, "accepted_ms", ((now - AGE).as_millis() as u64).into()).await;
    let lists = Arc::new(AtomicBool::new(false));
    let listing = lists.clone();
    let fate = move |call: &Call<'_>| {
        let Call::Commit(transaction) = call else { return Fate::Passes };
        let lists = transaction.writes.iter().any(|write| write.key == result_key(JOB, 0));
        // Only the first one takes long.
        if lists && !listing.swap(true, Ordering::SeqCst) {
            return Fate::Hangs;
        }
        Fate::Passes
    };
    let store = Arc::new(HookedStore::new(&records, fate));
    let worker = start_worker(store, &shared, WorkerRules::default()).await;
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let spool = Spool::open(Arc::new(records.clone()), "disk", &address, folder.path()).unwrap();
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(spool.serve(worker.owned.clone(), listener, stopped));

    until("one item is whole", || async {
        let room = shared.dispatcher().free_slots_of(shared.clock.now(), SERVICE, 0.0);
        server.seen().len() == 2 && room as usize == SLOTS - 1
    })
    .await;
    change_record(&records, JOB, "assigned", OTHER.into()).await;
    until("the worker leaves the job", || async { lists.load(Ordering::SeqCst) }).await;
    change_record(&records, JOB, "assigned", WORKER.into()).await;
    until("both runs are past", || async { events_of("JobTaken") == 2 && events_of("JobLeft") == 1 }).await;
    let asked = v1::ItemBodyRequest { job: JOB.into(), item: format!("{JOB}-0"), tenant: String::new() };
    let (client, asked) = (Client::http1(), asked.encode_to_vec().into());
    let answer = client.call(Method::POST, &address, ITEM_BODY_PATH, asked, PATIENCE).await;
    assert!(answer.is_ok(), "readers are told that the job does not run here");
}
