//! Finding out from the store whether a job is still open.
//!
//! Usually the news that a worker follows tell it often enough. Where they are late or
//! silent, the worker reads the job's record itself while it has items to start.

use crate::desk::read_record;
use crate::job_run::{JobRun, LeaveReason, LONGEST_STORE_PAUSE, STORE_PAUSE};
use crate::layout::{job_key, JobState};
use futures::future::BoxFuture;
use futures::FutureExt;
use latchwheel_core::retry::exponential_backoff;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::Dialect;
use latchwheel_records::{Record, RecordStore, RecordsFault};

/// A read of the job's record that is on its way.
pub(crate) struct Confirmation {
    asked_at: Instant,
    outcome: BoxFuture<'static, Result<Option<Record>, RecordsFault>>,
}

/// Reads that failed in a row, and when the next one may be made.
#[derive(Debug, Default)]
pub(crate) struct ConfirmationFailures {
    count: u32,
    again_at: Instant,
}

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    /// Reads the job's record if the right to start its items is due for renewal.
    pub(crate) fn begin_confirmation(&mut self, now: Instant) {
        let waits = self.confirmation.is_some() || now < self.confirmation_failures.again_at;
        if waits || !self.permission.is_due(now) {
            return;
        }
        let (store, key) = (self.context.store.clone(), job_key(&self.job));
        let outcome = async move { store.get(&key).await }.boxed();
        self.confirmation = Some(Confirmation { asked_at: now, outcome });
    }

    /// The read ended; gives back why the job has to be left, if it has to.
    pub(crate) fn end_confirmation(&mut self, read: Result<Option<Record>, RecordsFault>) -> Option<LeaveReason> {
        let asked_at = self.confirmation.take().map(|confirmation| confirmation.asked_at)?;
        match read {
            Ok(present) => {
                self.confirmation_failures = ConfirmationFailures::default();
                self.note_present(asked_at, present.as_ref())
            }
            Err(fault) => {
                self.note_unconfirmed(fault);
                None
            }
        }
    }

    fn note_unconfirmed(&mut self, fault: RecordsFault) {
        let failures = &mut self.confirmation_failures;
        if failures.count == 0 {
            emit(&self.job, &Event::JobNotConfirmed { job: &self.job, reason: fault.word() });
        }
        let pause = exponential_backoff(STORE_PAUSE, LONGEST_STORE_PAUSE, failures.count);
        failures.count += 1;
        failures.again_at = self.context.shared.clock.now() + pause;
    }

    /// The job's record was so when it was asked for; gives back why the job has to be
    /// left, if it has to.
    pub(crate) fn note_present(&mut self, asked_at: Instant, present: Option<&Record>) -> Option<LeaveReason> {
        let Some(present) = present else { return Some(LeaveReason::RecordGone) };
        let Some(record) = read_record(&present.value) else { return Some(LeaveReason::RecordUnreadable) };
        let state = record.state;
        self.record = record;
        self.revision = present.revision;
        match state {
            JobState::Open => {
                self.permission.note_open(asked_at);
                None
            }
            JobState::Ended => Some(LeaveReason::Ended),
            JobState::Finished => Some(LeaveReason::Finished),
        }
    }
}

/// The outcome of the read that is on its way; never, if there is none.
pub(crate) async fn poll_confirmation(confirmation: &mut Option<Confirmation>) -> Result<Option<Record>, RecordsFault> {
    match confirmation {
        Some(confirmation) => (&mut confirmation.outcome).await,
        None => std::future::pending().await,
    }
}
