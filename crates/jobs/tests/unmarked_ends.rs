//! Outputs of items whose end only the end of their connection marks.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::WorkerRules;
use latchwheel_records::memory::MemoryStore;
use one_worker::{desk, hand_in, start_worker, PATIENCE};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{event_text, node, route, Act, TestServer};

mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";

/// The text of an item whose runs are answered with these bodies in turn.
async fn text_after(bodies: &[&str]) -> String {
    let acts = bodies.iter().map(|body| Act::UntilClose((*body).to_owned())).collect();
    let (first, second) = TestServer::start_pair(acts).await;
    let shared = node(route(RequestKind::Batch, 3), &[&first, &second]);
    let store = MemoryStore::default();
    let _worker = start_worker(Arc::new(store.clone()), &shared, WorkerRules::default()).await;
    hand_in(&store, JOB, 1).await;
    let end = Instant::now() + PATIENCE;
    loop {
        let page = desk(&store).read(JOB, None, 0, 1 << 20, Duration::from_millis(200)).await;
        if let Some(result) = page.ok().and_then(|page| page.results.first().cloned()) {
            return result.text.clone();
        }
        assert!(Instant::now() < end, "the item has no result");
    }
}

#[tokio::test]
async fn an_output_that_ends_before_its_first_event_is_not_kept_as_complete() {
    assert_eq!(text_after(&["", &event_text(1)]).await, "part 1");
}

#[tokio::test]
async fn an_output_that_ends_inside_an_event_is_not_kept_as_complete() {
    let cut = event_text(1) + "id: 2\ndata: pa";
    assert_eq!(text_after(&[&cut, &event_text(2)]).await, "part 1\npart 2");
}

#[tokio::test]
async fn a_whole_output_that_ends_with_its_connection_is_kept() {
    let whole = event_text(1) + &event_text(2) + ": ping\n";
    assert_eq!(text_after(&[&whole]).await, "part 1\npart 2");
}
