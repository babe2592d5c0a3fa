//! Removing what is kept of jobs once nobody may ask for it any more.
//!
//! A mark stays under another key: a copy on a disk that comes back late, or
//! a resend, must not make the job anew.

use crate::desk::write_record;
use crate::layout::{body_key, closed_key, job_key, result_prefix, JobRecord};
use futures::StreamExt;
use latchwheel_events::{emit, Event};
use latchwheel_records::{Committed, RecordStore, RecordsFault, Transaction, Write};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Most keys that are removed together.
const REMOVED_AT_ONCE: usize = 24;
/// Jobs that a worker removes at the same time.
const REMOVALS_AT_ONCE: usize = 8;

/// Jobs that run no longer, by name, with the revisions of their records.
#[derive(Debug, Default)]
pub(crate) struct ClosedJobs {
    jobs: HashMap<String, (JobRecord, u64)>,
}

impl ClosedJobs {
    /// A job runs no longer.
    pub(crate) fn note(&mut self, job: &str, record: JobRecord, revision: u64) {
        self.jobs.insert(job.to_owned(), (record, revision));
    }

    /// Only these jobs are on record.
    pub(crate) fn keep_only(&mut self, present: &BTreeSet<&str>) {
        self.jobs.retain(|job, _| present.contains(job.as_str()));
    }

    /// A job's record is gone.
    pub(crate) fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Jobs that were accepted more than `keep` before `now_ms`, in
    /// milliseconds since 1970.
    pub(crate) fn due(&self, now_ms: u64, keep: Duration) -> Vec<(String, JobRecord, u64)> {
        let old = |record: &JobRecord| now_ms.saturating_sub(record.accepted_ms) > keep.as_millis() as u64;
        let due = self.jobs.iter().filter(|(_, (record, _))| old(record));
        due.map(|(job, (record, revision))| (job.clone(), record.clone(), *revision)).collect()
    }
}

/// Removes jobs, a few at a time. One that fails holds up no others, and is taken up at a
/// later look.
pub(crate) async fn remove_jobs<S: RecordStore>(store: Arc<S>, jobs: Vec<(String, JobRecord, u64)>) {
    let removals = jobs.into_iter().map(|(job, record, revision)| remove_logged(store.clone(), job, record, revision));
    let faults = futures::stream::iter(removals).buffer_unordered(REMOVALS_AT_ONCE).filter_map(std::future::ready);
    let faults: Vec<RecordsFault> = faults.collect().await;
    if let Some(first) = faults.first() {
        emit("", &Event::JobsNotRemoved { jobs: faults.len(), reason: first.word() });
    }
}

/// Gives back why a job was not removed, if it could not be.
async fn remove_logged<S: RecordStore>(
    store: Arc<S>,
    job: String,
    record: JobRecord,
    revision: u64,
) -> Option<RecordsFault> {
    match remove_job(&*store, &job, &record, revision).await {
        Ok(true) => emit(&job, &Event::JobRemoved { job: &job }),
        // The news of what became of it come later.
        Ok(false) => {}
        Err(fault) => return Some(fault),
    }
    None
}

/// Removes all of a job but its mark; the record goes last, so that a removal
/// that was interrupted is taken up again.
///
/// # Errors
/// [`RecordsFault`] if the store does not answer.
async fn remove_job<S: RecordStore>(
    store: &S,
    job: &str,
    record: &JobRecord,
    revision: u64,
) -> Result<bool, RecordsFault> {
    let results = store.list(&result_prefix(job)).await?;
    let mut keys: Vec<String> = results.records.into_iter().map(|record| record.key).collect();
    keys.extend((0..record.body_parts).map(|part| body_key(job, part)));
    for removes in keys.chunks(REMOVED_AT_ONCE) {
        store.commit(&Transaction { removes: removes.to_vec(), ..Transaction::default() }).await?;
    }
    let mark = Write { key: closed_key(job), value: write_record(record), lease: 0 };
    let last =
        Transaction { expected: vec![(job_key(job), revision)], writes: vec![mark], removes: vec![job_key(job)] };
    Ok(matches!(store.commit(&last).await?, Committed::Done(_)))
}
