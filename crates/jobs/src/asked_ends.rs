//! The ends that callers asked for at this node.
//!
//! Whoever asks for an end is answered in time. An end that the store did not take
//! until then was asked for all the same: this node goes on trying, one such end after
//! the other, until the store has taken it.

use crate::desk::{DeskFault, LONGEST_PAUSE, PAUSE};
use crate::early_end::EARLY_END_LEASE;
use crate::ending::Ender;
use latchwheel_core::retry::doubled_pause;
use latchwheel_events::{emit, Event};
use latchwheel_records::RecordStore;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Most ends that wait; some hundred bytes each.
const MOST_OUTSTANDING: usize = 1024;
/// Time for one try: a few calls to a store that answers late, and the disks.
const TRY_TIME: Duration = Duration::from_secs(5);
/// Time for which an end is tried: as long as one that the store has taken is kept for
/// a job that doesn't come.
const TRIED_FOR: Duration = EARLY_END_LEASE;

/// An end that a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AskedEnd {
    job: String,
    caller: Option<String>,
    until: Instant,
}

#[derive(Debug, Default)]
struct Waiting {
    ends: VecDeque<AskedEnd>,
    is_worked_on: bool,
}

/// Ends jobs for callers, and keeps what it still owes them.
#[derive(Debug)]
pub(crate) struct AskedEnds<S> {
    store: Arc<S>,
    ender: Ender,
    waiting: Mutex<Waiting>,
}

impl<S: RecordStore> AskedEnds<S> {
    pub(crate) fn new(store: Arc<S>) -> Arc<Self> {
        Arc::new(Self { store, ender: Ender::default(), waiting: Mutex::default() })
    }

    /// Ends a job, and tells by `until` what came of it.
    ///
    /// # Errors
    /// [`DeskFault`]; unless it is [`DeskFault::Absent`], the end is tried on.
    pub(crate) async fn end(
        self: Arc<Self>,
        job: String,
        caller: Option<String>,
        until: std::time::Instant,
    ) -> Result<(), DeskFault> {
        // The store may leave a call without an answer for longer than the caller waits.
        let ended = tokio::time::timeout_at(until.into(), self.try_until(&job, caller.as_deref(), until.into())).await;
        let ended = ended.unwrap_or(Err(DeskFault::Unknown));
        if !is_settled(&ended) {
            self.put(&job, caller);
        }
        ended
    }

    async fn try_until(&self, job: &str, caller: Option<&str>, until: Instant) -> Result<(), DeskFault> {
        loop {
            let ended = self.ender.end(&*self.store, job, caller).await;
            if is_settled(&ended) || Instant::now() + PAUSE >= until {
                return ended;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Goes on trying to end a job after its caller was answered.
    fn put(self: &Arc<Self>, job: &str, caller: Option<String>) {
        let mut waiting = self.lock();
        if waiting.ends.iter().any(|end| end.job == job && end.caller == caller) {
            return;
        }
        let until = Instant::now() + TRIED_FOR;
        waiting.ends.push_back(AskedEnd { job: job.to_owned(), caller, until });
        emit(job, &Event::EndOutstanding { job, waiting: waiting.ends.len() });
        if waiting.ends.len() > MOST_OUTSTANDING {
            if let Some(oldest) = waiting.ends.pop_front() {
                log_given_up(&oldest, "too_many");
            }
        }
        if !std::mem::replace(&mut waiting.is_worked_on, true) {
            tokio::spawn(self.clone().work_off());
        }
    }

    /// Tries the ends in turn until none is left.
    async fn work_off(self: Arc<Self>) {
        // The first caller's own tries have just failed.
        let mut failures = 1;
        while let Some(end) = self.next() {
            if failures > 0 {
                tokio::time::sleep(doubled_pause(PAUSE, LONGEST_PAUSE, failures - 1)).await;
            }
            if is_settled(&self.try_one(&end).await) {
                failures = 0;
            } else {
                failures += 1;
                self.put_back(end);
            }
        }
    }

    async fn try_one(&self, end: &AskedEnd) -> Result<(), DeskFault> {
        let ending = self.ender.end(&*self.store, &end.job, end.caller.as_deref());
        let outcome = tokio::time::timeout(TRY_TIME, ending).await.unwrap_or(Err(DeskFault::Unknown));
        if is_settled(&outcome) {
            let found = outcome.is_ok();
            emit(&end.job, &Event::EndMadeUp { job: &end.job, found });
        }
        outcome
    }

    /// The next end to try; without one, the next that is put starts the work anew.
    fn next(&self) -> Option<AskedEnd> {
        let mut waiting = self.lock();
        let next = waiting.ends.pop_front();
        waiting.is_worked_on = next.is_some();
        next
    }

    /// Another one is tried first, so that one that can't be done holds up none.
    fn put_back(&self, end: AskedEnd) {
        if Instant::now() >= end.until {
            log_given_up(&end, "too_old");
            return;
        }
        self.lock().ends.push_back(end);
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a further try brings no more. The end of a job that is not known was put on
/// record for when it comes.
fn is_settled(ended: &Result<(), DeskFault>) -> bool {
    matches!(ended, Ok(()) | Err(DeskFault::Absent))
}

fn log_given_up(end: &AskedEnd, reason: &str) {
    emit(&end.job, &Event::EndGivenUp { job: &end.job, reason });
}
