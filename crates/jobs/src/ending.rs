//! Ending a job, wherever it is: in the store, on a disk, or on its way.

use crate::desk::{desk_fault, read_record, write_record, DeskFault};
use crate::early_end::{EarlyEnd, EarlyEndLease};
use crate::layout::{closed_key, early_end_key, job_key, JobState};
use crate::spool::may_be_held;
use latchwheel_events::{emit, Event};
use latchwheel_records::{Committed, Record, RecordStore, Transaction, Write};

/// What one try to end a job came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    /// None of its items is sent from now on.
    Ended,
    /// What was read had changed meanwhile.
    Changed,
}

/// What became of the end of an absent job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kept {
    /// It is on record for when the job comes.
    OnRecord,
    /// The job has come meanwhile.
    JobCame,
    /// The job was there, and was removed: it runs no more.
    JobRemoved,
}

impl From<Kept> for Tried {
    /// What it comes to where nobody waits to hear whether there is such a job.
    fn from(kept: Kept) -> Self {
        match kept {
            Kept::OnRecord | Kept::JobRemoved => Tried::Ended,
            Kept::JobCame => Tried::Changed,
        }
    }
}

/// Ends jobs in the store.
#[derive(Debug, Default)]
pub(crate) struct Ender {
    lease: EarlyEndLease,
}

impl Ender {
    /// Ends a job for a caller of this tenant.
    ///
    /// # Errors
    /// [`DeskFault::Absent`] if no job is known that the caller may end; one that was
    /// on its way then is ended nevertheless. Otherwise [`DeskFault`] of the store: a
    /// further try may bring more.
    pub(crate) async fn end<S: RecordStore>(
        &self,
        store: &S,
        job: &str,
        caller: Option<&str>,
    ) -> Result<(), DeskFault> {
        loop {
            let present = store.get(&job_key(job)).await.map_err(desk_fault)?;
            let tried = match present {
                Some(present) => end_present(store, job, caller, &present).await?,
                None => self.end_early(store, job, caller).await?,
            };
            if tried == Tried::Ended {
                return Ok(());
            }
        }
    }

    /// Ends a job for a caller that is not there any more: as [`Ender::end`], but no disk is
    /// asked for a job that is absent, since nobody is to be told whether there is one.
    ///
    /// # Errors
    /// [`DeskFault::Absent`] if the job is another tenant's. Otherwise [`DeskFault`] of the
    /// store: a further try may bring more.
    pub(crate) async fn end_unanswered<S: RecordStore>(
        &self,
        store: &S,
        job: &str,
        caller: Option<&str>,
    ) -> Result<(), DeskFault> {
        loop {
            let present = store.get(&job_key(job)).await.map_err(desk_fault)?;
            let tried = match present {
                Some(present) => end_present(store, job, caller, &present).await?,
                None => self.keep_early_end(store, job, caller).await?.into(),
            };
            if tried == Tried::Ended {
                return Ok(());
            }
        }
    }

    /// Ends a job that is not in the store.
    async fn end_early<S: RecordStore>(&self, store: &S, job: &str, caller: Option<&str>) -> Result<Tried, DeskFault> {
        match self.keep_early_end(store, job, caller).await? {
            Kept::OnRecord => {}
            Kept::JobCame => return Ok(Tried::Changed),
            Kept::JobRemoved => return Ok(Tried::Ended),
        }
        // A disk that may hold the job is no reason to wait: whatever comes from it comes
        // in as ended.
        if may_be_held(store, job).await.map_err(desk_fault)? {
            return Ok(Tried::Ended);
        }
        // It may have come in since, and then is ended if the caller may end it.
        match store.get(&job_key(job)).await.map_err(desk_fault)? {
            Some(_) => Ok(Tried::Changed),
            None => Err(DeskFault::Absent),
        }
    }

    /// Puts the end on record on condition that the job is absent.
    async fn keep_early_end<S: RecordStore>(
        &self,
        store: &S,
        job: &str,
        caller: Option<&str>,
    ) -> Result<Kept, DeskFault> {
        let mut early_end = EarlyEnd::default();
        let mut revision = 0;
        loop {
            early_end.note(caller);
            let lease = self.lease.get(store).await.map_err(desk_fault)?;
            let transaction = Transaction {
                expected: vec![(job_key(job), 0), (closed_key(job), 0), (early_end_key(job), revision)],
                writes: vec![Write { key: early_end_key(job), value: early_end.write(), lease }],
                removes: Vec::new(),
            };
            let present = match store.commit(&transaction).await.map_err(desk_fault)? {
                Committed::Done(_) => {
                    emit(job, &Event::EndKept { job });
                    return Ok(Kept::OnRecord);
                }
                Committed::NoLease => {
                    self.lease.forget();
                    continue;
                }
                Committed::Differs(present) => present,
            };
            let of_key = |key: &str| present.iter().find(|record| record.key == key);
            if of_key(&job_key(job)).is_some() {
                return Ok(Kept::JobCame);
            }
            if let Some(closed) = of_key(&closed_key(job)) {
                return end_removed(caller, closed);
            }
            let found = of_key(&early_end_key(job));
            revision = found.map_or(0, |record| record.revision);
            early_end = found.and_then(|record| EarlyEnd::read(&record.value)).unwrap_or_default();
        }
    }
}

/// Ends a job that is in the store.
async fn end_present<S: RecordStore>(
    store: &S,
    job: &str,
    caller: Option<&str>,
    present: &Record,
) -> Result<Tried, DeskFault> {
    let mut record = read_record(&present.value).ok_or(DeskFault::Unknown)?;
    if !record.is_open_to(caller) {
        return Err(DeskFault::Absent);
    }
    if record.state == JobState::Ended {
        return Ok(Tried::Ended);
    }
    record.state = JobState::Ended;
    let transaction = Transaction {
        expected: vec![(job_key(job), present.revision)],
        writes: vec![Write { key: job_key(job), value: write_record(&record), lease: 0 }],
        removes: Vec::new(),
    };
    let committed = store.commit(&transaction).await.map_err(desk_fault)?;
    Ok(if matches!(committed, Committed::Done(_)) { Tried::Ended } else { Tried::Changed })
}

/// Ends a job that was removed: its caller may have missed the first answer.
fn end_removed(caller: Option<&str>, closed: &Record) -> Result<Kept, DeskFault> {
    let record = read_record(&closed.value).ok_or(DeskFault::Unknown)?;
    if record.is_open_to(caller) {
        Ok(Kept::JobRemoved)
    } else {
        Err(DeskFault::Absent)
    }
}
