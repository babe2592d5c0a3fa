//! Removing what is kept of jobs once nobody may ask for it any more.
//!
//! A mark stays under another key: a copy on a disk that comes back late, or
//! a resend, must not make the job anew.

use crate::desk::write_record;
use crate::layout::{body_key, closed_key, job_key, result_prefix, JobRecord};
use latchwheel_records::{Committed, RecordStore, RecordsFault, Transaction, Write};
use std::collections::HashMap;
use std::time::Duration;

/// Most keys that are removed together.
const REMOVED_AT_ONCE: usize = 24;

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

/// Removes all of a job but its mark; the record goes last, so that a removal
/// that was interrupted is taken up again.
///
/// # Errors
/// [`RecordsFault`] if the store does not answer.
pub(crate) async fn remove_job<S: RecordStore>(
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
