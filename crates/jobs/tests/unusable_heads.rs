//! Runs of items whose answers have heads that can't be used.

use futures::StreamExt;
use heads::Heads;
use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::WorkerRules;
use latchwheel_records::memory::MemoryStore;
use one_worker::{desk, hand_in, start_worker, PATIENCE};
use raw::{whole, RawAct, RawNode, RawServer};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[path = "../../proxy/tests/support/heads.rs"]
mod heads;
mod one_worker;
#[path = "../../proxy/tests/support/raw.rs"]
mod raw;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
const SOUND: &str = "id: 1\ndata: sound\n\n";
/// Sites that run at the same time.
const SITES_AT_ONCE: usize = 32;

/// The text of an item whose first run is answered with these bytes, and the others soundly.
async fn text_after(first: RawAct) -> String {
    let servers = RawServer::start_for_each(vec![first, RawAct::Write(whole(200, "", SOUND))]).await;
    let node = RawNode::start(RequestKind::Batch, 3, &servers.iter().collect::<Vec<_>>()).await;
    let store = MemoryStore::default();
    let _worker = start_worker(Arc::new(store.clone()), &node.shared, WorkerRules::default()).await;
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
async fn an_output_whose_head_cannot_be_used_is_not_kept() {
    let heads = Heads { lines: "t-id: ID\r\n", body: "id: 1\ndata: spoilt\n\n".into() };
    let mut runs = Vec::new();
    for (case, bytes) in heads.unusable() {
        runs.push((format!("{case}, closed"), RawAct::WriteAndClose(bytes.clone())));
        runs.push((format!("{case}, left open"), RawAct::Write(bytes)));
    }
    let texts = futures::stream::iter(runs).map(|(case, first)| async { (case, text_after(first).await) });
    let texts: Vec<(String, String)> = texts.buffer_unordered(SITES_AT_ONCE).collect().await;
    let spoilt: Vec<&(String, String)> = texts.iter().filter(|(_, text)| text != "sound").collect();
    assert!(spoilt.is_empty(), "{} of {}: {spoilt:#?}", spoilt.len(), texts.len());
}

#[tokio::test]
async fn an_output_whose_head_is_cut_is_not_kept() {
    let heads = Heads { lines: "t-id: ID\r\n", body: "id: 1\ndata: spoilt\n\n".into() };
    let answer = heads.with_length("200 OK");
    let head = &answer[..answer.find("\r\n\r\n").unwrap() + 4];
    let cuts = (0..head.len()).map(|end| head[..end].to_owned());
    let texts = futures::stream::iter(cuts).map(|cut| async { text_after(RawAct::WriteAndClose(cut)).await });
    let texts: Vec<String> = texts.buffer_unordered(SITES_AT_ONCE).collect().await;
    assert!(texts.iter().all(|text| text == "sound"), "{texts:?}");
}
