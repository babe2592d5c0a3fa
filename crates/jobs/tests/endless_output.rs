//! Servers that write without end: an item's run there ends, and the item completes elsewhere.

use latchwheel_core::directory::ServerRecord;
use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::WorkerRules;
use latchwheel_records::memory::MemoryStore;
use one_worker::{desk, hand_in, start_worker, until};
use std::sync::Arc;
use std::time::Duration;
use support::endless::{Endless, EndlessServer};
use support::{node, route, Act, TestServer};

mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
const ITEMS: usize = 8;
/// Output of the sound server.
const OUTPUT: &str = "data: done\n\n";

async fn assert_completes_elsewhere(endless: Endless) {
    let broken = EndlessServer::start("broken", endless).await;
    let sound = TestServer::start("sound", vec![Act::Answer(200, OUTPUT.into()); 4 * ITEMS]).await;
    let shared = node(route(RequestKind::Batch, 3), &[] as &[&TestServer]);
    let records: Vec<ServerRecord> = vec![broken.record(), sound.record()];
    shared.dispatcher().set_ready(records.iter());
    let store = MemoryStore::default();
    let _worker = start_worker(Arc::new(store.clone()), &shared, WorkerRules::default()).await;
    hand_in(&store, JOB, ITEMS).await;
    let results = async || desk(&store).read(JOB, None, 0, 1 << 20, Duration::from_millis(100)).await;
    until("items are not completed", async || results().await.is_ok_and(|page| page.results.len() == ITEMS)).await;
    let page = results().await.unwrap();
    assert!(page.results.iter().all(|result| result.completed && result.text == "done"), "{endless:?}: {page:?}");
    until("the broken server is not left", async || broken.answers() == 0).await;
}

#[tokio::test]
async fn items_complete_beside_a_server_that_writes_one_event_without_end() {
    assert_completes_elsewhere(Endless::Event).await;
}

#[tokio::test]
async fn items_complete_beside_a_server_that_repeats_an_event_without_end() {
    assert_completes_elsewhere(Endless::SameEvent).await;
}

#[tokio::test]
async fn items_complete_beside_a_server_that_writes_interim_answers_without_end() {
    assert_completes_elsewhere(Endless::InterimAnswers).await;
}

#[tokio::test]
async fn items_complete_beside_a_server_that_writes_a_body_without_end() {
    assert_completes_elsewhere(Endless::Chunks).await;
}
