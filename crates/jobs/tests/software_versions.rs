//! Items that continue while servers run several versions of their software side by side.

use latchwheel_core::dispatch::{Prompt, ServerKey};
use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::{ListedResult, WorkerRules};
use latchwheel_proxy::Shared;
use latchwheel_records::memory::MemoryStore;
use one_worker::{desk, hand_in, start_worker, until, Worker, PATIENCE};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer};
use tokio::sync::Notify;

mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
const WHOLE_TEXT: &str = "part 1\npart 2\npart 3\npart 4";

/// A job of one item whose first run, at version 1, was cut after two events.
struct CutItem {
    store: MemoryStore,
    _worker: Worker<MemoryStore>,
}

impl CutItem {
    /// The servers are added before the cut, with the versions of their software.
    async fn start(added: &[(&TestServer, &str)]) -> Self {
        Self::start_with(added, |_| {}).await
    }

    /// The same, where `occupy` takes slots before the cut.
    async fn start_with(added: &[(&TestServer, &str)], occupy: impl Fn(&Shared<TestDialect>)) -> Self {
        let cut = Arc::new(Notify::new());
        let act = Act::Await(cut.clone(), Box::new(Act::CutStream(vec![1, 2])));
        let first = TestServer::start("first", vec![act]).await;
        let shared = node(route(RequestKind::Batch, 3), &[]);
        shared.dispatcher().set_one_ready(&first.record_at("1"));
        let store = MemoryStore::default();
        let worker = start_worker(Arc::new(store.clone()), &shared, WorkerRules::default()).await;
        hand_in(&store, JOB, 1).await;
        until("the item runs", async || !first.seen().is_empty()).await;
        shared.dispatcher().set_draining("first");
        added.iter().for_each(|(server, version)| shared.dispatcher().set_one_ready(&server.record_at(version)));
        occupy(&shared);
        cut.notify_one();
        Self { store, _worker: worker }
    }

    async fn result(&self) -> Arc<ListedResult> {
        let end = Instant::now() + PATIENCE;
        loop {
            let page = desk(&self.store).read(JOB, None, 0, 1 << 20, Duration::from_millis(200)).await;
            if let Some(result) = page.ok().and_then(|page| page.results.first().cloned()) {
                return result;
            }
            assert!(Instant::now() < end, "the item has no result");
        }
    }
}

fn last_events(server: &TestServer) -> Vec<Option<String>> {
    server.seen().iter().map(|seen| seen.header("t-last-event")).collect()
}

async fn server(name: &str) -> TestServer {
    TestServer::start(name, vec![Act::StreamTo(4); 4]).await
}

#[tokio::test]
async fn an_item_continues_only_at_the_version_that_wrote_its_events() {
    let same = server("same").await;
    let mut others = Vec::new();
    for number in 0..8 {
        others.push(server(&format!("other-{number}")).await);
    }
    let added: Vec<(&TestServer, &str)> =
        others.iter().map(|other| (other, "2")).chain(std::iter::once((&same, "1"))).collect();
    let item = CutItem::start(&added).await;
    assert_eq!(item.result().await.text, WHOLE_TEXT);
    assert_eq!(last_events(&same), [Some("2".to_owned())]);
}

#[tokio::test]
async fn an_item_starts_over_where_the_version_that_wrote_its_events_has_left() {
    let other = server("other").await;
    let item = CutItem::start(&[(&other, "2")]).await;
    assert_eq!(item.result().await.text, WHOLE_TEXT);
    assert_eq!(last_events(&other), [None]);
}

#[tokio::test]
async fn an_item_starts_over_where_the_version_that_wrote_its_events_stays_full() {
    let (same, other) = (server("same").await, server("other").await);
    let occupy = |shared: &Shared<TestDialect>| {
        let now = shared.clock.now();
        let mut dispatcher = shared.dispatcher();
        let placement = dispatcher.place_at(now, ServerKey::of("same"), 0, Duration::ZERO, false).unwrap();
        (0..8).for_each(|_| dispatcher.note_sent(now, &placement, &Prompt::default()));
    };
    let item = CutItem::start_with(&[(&same, "1"), (&other, "2")], occupy).await;
    assert_eq!(item.result().await.text, WHOLE_TEXT);
    assert_eq!((last_events(&same), last_events(&other)), (vec![], vec![None]));
}
