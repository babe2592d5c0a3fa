//! How often the items of a job failed, kept in the store: a worker that takes the job
//! over counts on, so that an item that fails everywhere is given up in time whoever
//! runs it.
//!
//! Only items that failed and have no result are on record. One write is on its way at a
//! time; what fails meanwhile goes with the next.

use crate::job_run::{JobRun, LONGEST_STORE_PAUSE, STORE_PAUSE};
use crate::layout::{failures_key, job_key};
use futures::future::BoxFuture;
use futures::FutureExt;
use latchwheel_core::item_progress::{ItemProgress, ItemState};
use latchwheel_core::retry::exponential_backoff;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::Dialect;
use latchwheel_records::{Committed, RecordStore, RecordsFault, Transaction, Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Items that are on record at most, and servers of each.
const ITEM_LIMIT: usize = 512;
const SERVER_LIMIT: usize = 8;
/// Time in which failures are collected before they are written.
const COLLECT_TIME: Duration = Duration::from_millis(100);

/// Failures of one item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ItemFailures {
    /// Failed runs.
    failures: u32,
    /// Servers that failed at it.
    servers: Vec<Arc<str>>,
}

/// Failures of a job's items, by item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobFailures {
    items: BTreeMap<String, ItemFailures>,
}

impl JobFailures {
    /// Reads a record.
    pub(crate) fn read(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Puts an item on record, unless there are too many.
    fn put(&mut self, item: &str, progress: &ItemProgress) {
        let open = matches!(progress.state(), ItemState::Waiting(_) | ItemState::Running);
        if !open || progress.failures() == 0 || self.items.len() >= ITEM_LIMIT {
            return;
        }
        let servers = progress.failed_at().iter().take(SERVER_LIMIT).cloned().collect();
        self.items.insert(item.to_owned(), ItemFailures { failures: progress.failures(), servers });
    }

    /// Takes over what another worker counted.
    fn merge(&mut self, other: &JobFailures) {
        for (item, counted) in &other.items {
            match self.items.get_mut(item) {
                Some(own) if own.failures >= counted.failures => {}
                Some(own) => *own = counted.clone(),
                None => {}
            }
        }
    }
}

/// A record that is being written, and the failures before.
pub(crate) struct Recording {
    attempts: u32,
    outcome: BoxFuture<'static, Result<(), RecordsFault>>,
}

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    /// Takes over what earlier workers counted.
    pub(crate) fn note_earlier_failures(&mut self) {
        let Some(earlier) = self.list.failures.take() else { return };
        for (item, counted) in &earlier.items {
            if let Some(position) = self.positions.get(item).copied() {
                self.progress[position].note_earlier_failures(counted.failures, &counted.servers);
            }
        }
    }

    /// Begins to write how often items failed, if that is news.
    pub(crate) fn begin_recording(&mut self) {
        if self.recording.is_none() && std::mem::take(&mut self.failures_changed) {
            self.record(0, COLLECT_TIME);
        }
    }

    fn record(&mut self, attempts: u32, pause: Duration) {
        let mut failures = JobFailures::default();
        self.items.iter().zip(&self.progress).for_each(|(item, progress)| failures.put(&item.id, progress));
        let outcome = write(self.context.store.clone(), self.job.clone(), failures, pause).boxed();
        self.recording = Some(Recording { attempts, outcome });
    }

    /// A write ended; one that failed is made again.
    pub(crate) fn end_recording(&mut self, written: Result<(), RecordsFault>) {
        let attempts = self.recording.take().map_or(0, |recording| recording.attempts);
        if let Err(fault) = written {
            emit(&self.job, &Event::FailuresNotRecorded { job: &self.job, reason: fault.word() });
            self.record(attempts + 1, exponential_backoff(STORE_PAUSE, LONGEST_STORE_PAUSE, attempts));
        }
    }
}

/// Writes the record of a job that is still there.
async fn write<S: RecordStore>(
    store: Arc<S>,
    job: String,
    mut failures: JobFailures,
    pause: Duration,
) -> Result<(), RecordsFault> {
    tokio::time::sleep(pause).await;
    let key = failures_key(&job);
    let mut revision = 0;
    loop {
        let Some(present) = store.get(&job_key(&job)).await? else { return Ok(()) };
        let value = serde_json::to_vec(&failures).unwrap_or_default().into();
        let writes = vec![Write { key: key.clone(), value, lease: 0 }];
        // Executed late, it must not leave a record of a job that was removed.
        let expected = vec![(key.clone(), revision), (job_key(&job), present.revision)];
        let present = match store.commit(&Transaction { expected, writes, ..Transaction::default() }).await? {
            Committed::Done(_) => return Ok(()),
            Committed::NoLease => return Err(RecordsFault::Rejected),
            Committed::Differs(present) => present.into_iter().find(|present| present.key == key),
        };
        revision = present.as_ref().map_or(0, |present| present.revision);
        if let Some(other) = present.and_then(|present| JobFailures::read(&present.value)) {
            failures.merge(&other);
        }
    }
}

/// The outcome of the write that is on its way; never, if there is none.
pub(crate) async fn poll_recording(recording: &mut Option<Recording>) -> Result<(), RecordsFault> {
    match recording {
        Some(recording) => (&mut recording.outcome).await,
        None => std::future::pending().await,
    }
}
