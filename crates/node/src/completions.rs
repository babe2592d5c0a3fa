//! Results of batch items on their way to the store groups' leaders.

use crate::metrics::Metrics;
use crate::store_calls::StoreCalls;
use latchwheel_protocol::v1::{CompleteItems, CompleteRequest, HeldChunk, ItemResult};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Results wait this long for others, so that one commit serves many.
const GATHER_TIME: Duration = Duration::from_millis(20);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An item that is held here.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HeldItem {
    pub(crate) job: String,
    pub(crate) position: u64,
}

/// An item whose end the leader took.
#[derive(Clone, Debug)]
pub(crate) struct EndedItem {
    pub(crate) item: HeldItem,
    /// Lease under which it was given back; `None` for one that has a result.
    pub(crate) lease: Option<u64>,
}

#[derive(Debug, Default)]
struct Gathered {
    results: BTreeMap<String, Vec<ItemResult>>,
    returned: BTreeMap<(u64, String), Vec<u64>>,
}

/// Gathers results of one group and commits them together.
#[derive(Debug)]
pub(crate) struct Completions {
    group: u64,
    node: u64,
    store: Arc<StoreCalls>,
    metrics: Arc<Metrics>,
    gathered: Mutex<Gathered>,
    filled: Notify,
}

impl Completions {
    pub(crate) fn new(group: u64, node: u64, store: Arc<StoreCalls>, metrics: Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self { group, node, store, metrics, gathered: Mutex::default(), filled: Notify::new() })
    }

    /// An item has ended.
    pub(crate) fn complete(&self, job: &str, result: ItemResult) {
        self.metrics.note_batch_item();
        let mut gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
        gathered.results.entry(job.to_owned()).or_default().push(result);
        drop(gathered);
        self.filled.notify_one();
    }

    /// An item is given back: it did not run here.
    pub(crate) fn give_back(&self, item: &HeldItem, lease: u64) {
        let mut gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
        gathered.returned.entry((lease, item.job.clone())).or_default().push(item.position);
        drop(gathered);
        self.filled.notify_one();
    }

    /// Whether nothing waits to be committed.
    pub(crate) fn is_empty(&self) -> bool {
        let gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
        gathered.results.is_empty() && gathered.returned.is_empty()
    }

    /// Commits for ever; `taken` hears of every item whose result is committed or no
    /// longer wanted, and of every one that was given back.
    pub(crate) async fn run(self: Arc<Self>, taken: impl Fn(EndedItem) + Send) {
        loop {
            self.filled.notified().await;
            tokio::time::sleep(GATHER_TIME).await;
            let gathered = std::mem::take(&mut *self.gathered.lock().unwrap_or_else(PoisonError::into_inner));
            if gathered.results.is_empty() && gathered.returned.is_empty() {
                continue;
            }
            let completion = |(job, results)| CompleteItems { job, results, at_seconds: 0 };
            let chunk = |((lease, job), positions)| HeldChunk { lease, job, positions };
            let request = CompleteRequest {
                group: self.group,
                node: self.node,
                completions: gathered.results.into_iter().map(completion).collect(),
                returned: gathered.returned.into_iter().map(chunk).collect(),
            };
            // Results are kept and sent until they are committed: the first
            // committed one of an item wins, so sending twice is safe.
            while self.store.complete(request.clone()).await.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            ended_items(&request).for_each(&taken);
        }
    }
}

fn ended_items(request: &CompleteRequest) -> impl Iterator<Item = EndedItem> + '_ {
    let completed = request.completions.iter().flat_map(|completion| {
        let positions = completion.results.iter().map(|result| result.position);
        positions.map(|position| ended_item(&completion.job, position, None))
    });
    let returned = request.returned.iter().flat_map(|chunk| {
        let positions = chunk.positions.iter();
        positions.map(|position| ended_item(&chunk.job, *position, Some(chunk.lease)))
    });
    completed.chain(returned)
}

fn ended_item(job: &str, position: u64, lease: Option<u64>) -> EndedItem {
    EndedItem { item: HeldItem { job: job.to_owned(), position }, lease }
}
