//! Bringing a job into the store, from a client or from a disk.
//!
//! All writes that make a job go through here, so that none of them passes over an
//! end that came before the job (`early_end`).

use crate::desk::{read_record, write_record};
use crate::early_end::EarlyEnd;
use crate::handed::Handed;
use crate::layout::{body_key, closed_key, early_end_key, job_key, total_key, JobRecord, JobState, JobSummary};
use bytes::Bytes;
use latchwheel_core::identity::stable_hash;
use latchwheel_events::{emit, Event};
use latchwheel_records::{Committed, Record, RecordStore, RecordsFault, Transaction, Write};

/// Room for the encoding of a value.
const VALUE_MARGIN: usize = 1024;
/// Tries in a row that fail by nothing but a change of the early end: it is written
/// once for each tenant that asks, and a store that goes on to differ says nothing sound.
const MOST_CHANGES: usize = 4;

/// What the store made of a job that was brought in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Entered {
    /// It was not there, and is now.
    New,
    /// A job of that identity is there, or was and is removed. Its record may be one that
    /// this node can't read.
    Present(Option<JobRecord>),
}

/// A job on its way into the store.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry<'a> {
    job: &'a str,
    record: JobRecord,
    /// The job's items and its summary.
    contents: Vec<Write>,
    /// Revision of the early end that this entry takes account of; zero means none.
    early_end_revision: u64,
}

impl<'a> JobEntry<'a> {
    /// The entry of a job that was handed in.
    pub(crate) fn new<S: RecordStore>(store: &S, job: &'a str, handed: &Handed) -> Self {
        let bytes = serde_json::to_vec(&handed.body).unwrap_or_default();
        let part_limit = store.value_limit().saturating_sub(VALUE_MARGIN).max(1);
        let parts = bytes.chunks(part_limit).enumerate();
        let mut contents: Vec<Write> = parts
            .map(|(part, bytes)| Write { key: body_key(job, part), value: Bytes::copy_from_slice(bytes), lease: 0 })
            .collect();
        let record = JobRecord {
            state: JobState::Open,
            host: handed.host.clone(),
            path: handed.path.clone(),
            items: handed.body.items.len(),
            body_parts: contents.len(),
            body_hash: stable_hash(&bytes),
            accepted_ms: handed.accepted_ms,
            assigned: handed.assigned.clone(),
            tenant: handed.tenant.clone(),
            terms: handed.terms.clone(),
        };
        let summary = JobSummary { items: record.items, tenant: record.tenant.clone() };
        let summary = serde_json::to_vec(&summary).unwrap_or_default();
        contents.push(Write { key: total_key(job), value: summary.into(), lease: 0 });
        Self { job, record, contents, early_end_revision: 0 }
    }

    /// Whether a record is of this job: the same items of the same owner.
    pub(crate) fn is_of_same_job(&self, present: &JobRecord) -> bool {
        present.body_hash == self.record.body_hash && present.tenant == self.record.tenant
    }

    /// Writes the job unless there is one of its identity; as ended if its end came first.
    ///
    /// # Errors
    /// [`RecordsFault`].
    pub(crate) async fn write<S: RecordStore>(&mut self, store: &S) -> Result<Entered, RecordsFault> {
        for _ in 0..MOST_CHANGES {
            let present = match store.commit(&self.transaction()).await? {
                Committed::Done(_) => {
                    self.log_end();
                    return Ok(Entered::New);
                }
                Committed::NoLease => return Err(RecordsFault::BadAnswer),
                Committed::Differs(present) => present,
            };
            let (job, closed) = (job_key(self.job), closed_key(self.job));
            if let Some(present) = present.iter().find(|record| record.key == job || record.key == closed) {
                return Ok(Entered::Present(read_record(&present.value)));
            }
            let early_end = early_end_key(self.job);
            self.take_early_end(present.iter().find(|record| record.key == early_end));
        }
        Err(RecordsFault::Unknown)
    }

    fn transaction(&self) -> Transaction {
        let early_end = early_end_key(self.job);
        let mut writes = self.contents.clone();
        writes.push(Write { key: job_key(self.job), value: write_record(&self.record), lease: 0 });
        // The record of an ended job says all that the early end said.
        let removes = if self.is_ended() { vec![early_end.clone()] } else { Vec::new() };
        let expected = vec![(job_key(self.job), 0), (closed_key(self.job), 0), (early_end, self.early_end_revision)];
        Transaction { expected, writes, removes }
    }

    /// The early end is this one, or there is none any more. A job that was ended once
    /// stays so.
    fn take_early_end(&mut self, present: Option<&Record>) {
        self.early_end_revision = present.map_or(0, |record| record.revision);
        let owner = self.record.tenant.as_deref();
        let ended = present.and_then(|record| EarlyEnd::read(&record.value)).is_some_and(|end| end.ends_job_of(owner));
        if ended {
            self.record.state = JobState::Ended;
        }
    }

    fn is_ended(&self) -> bool {
        self.record.state == JobState::Ended
    }

    fn log_end(&self) {
        if self.is_ended() {
            emit(self.job, &Event::JobCameEnded { job: self.job });
        }
    }
}
