//! The list of a job's results as one process knows it.

use crate::item_failures::JobFailures;
use crate::layout::{result_key, result_prefix, JobSummary, ListedResult, FAILURES, TOTAL};
use latchwheel_records::{Change, Changes, Record, RecordStore, RecordsFault};
use std::sync::Arc;
use std::time::Duration;

/// A list, complete as of a revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResultList {
    pub(crate) results: Vec<Arc<ListedResult>>,
    pub(crate) parts: usize,
    /// What is known of the job, if it is on record.
    pub(crate) summary: Option<JobSummary>,
    /// How often items failed at workers before.
    pub(crate) failures: Option<JobFailures>,
    pub(crate) revision: u64,
}

impl ResultList {
    /// Reads the whole list.
    pub(crate) async fn load<S: RecordStore>(store: &S, job: &str) -> Result<Self, RecordsFault> {
        let listing = store.list(&result_prefix(job)).await?;
        let mut list = Self { revision: listing.revision, ..Self::default() };
        for record in &listing.records {
            list.append(job, record)?;
        }
        Ok(list)
    }

    /// Waits until there is a result at a position. Without one, the list is
    /// the present one when this returns: a watch may be late and may tell of
    /// some changes only, a listing is not and tells of all.
    pub(crate) async fn extend<S: RecordStore>(
        &mut self,
        store: &S,
        job: &str,
        from: usize,
        wait: Duration,
    ) -> Result<(), RecordsFault> {
        if !wait.is_zero() {
            match store.watch(&result_prefix(job), self.revision, wait).await {
                Ok(changes) => self.take_changes(job, &changes)?,
                // The listing tells what the watch can't.
                Err(RecordsFault::HistoryLost) => {}
                Err(fault) => return Err(fault),
            }
        }
        if self.results.len() > from {
            return Ok(());
        }
        let after = self.parts.checked_sub(1).map_or_else(String::new, |last| result_key(job, last));
        let listing = store.list_after(&result_prefix(job), &after).await?;
        for record in &listing.records {
            self.append(job, record)?;
        }
        self.revision = self.revision.max(listing.revision);
        Ok(())
    }

    fn take_changes(&mut self, job: &str, changes: &Changes) -> Result<(), RecordsFault> {
        for change in &changes.changes {
            if let Change::Written(record) = change {
                self.append(job, record)?;
            }
        }
        self.revision = self.revision.max(changes.revision);
        Ok(())
    }

    /// Takes the next part; one that is known already is passed over.
    pub(crate) fn append(&mut self, job: &str, record: &Record) -> Result<(), RecordsFault> {
        let name = record.key.strip_prefix(&result_prefix(job)).ok_or(RecordsFault::BadAnswer)?;
        if name == TOTAL {
            self.summary = Some(serde_json::from_slice(&record.value).map_err(|_| RecordsFault::BadAnswer)?);
            return Ok(());
        }
        if name == FAILURES {
            self.failures = JobFailures::read(&record.value);
            return Ok(());
        }
        let number: usize = name.parse().map_err(|_| RecordsFault::BadAnswer)?;
        if number < self.parts {
            return Ok(());
        }
        if number > self.parts {
            return Err(RecordsFault::BadAnswer);
        }
        let part: Vec<ListedResult> = serde_json::from_slice(&record.value).map_err(|_| RecordsFault::BadAnswer)?;
        self.results.extend(part.into_iter().map(Arc::new));
        self.parts += 1;
        Ok(())
    }
}
