//! The ends that callers asked for at this node.
//!
//! Whoever asks for an end is answered in time. An end that the store did not take
//! until then was asked for all the same: this node goes on trying, one such end after
//! the other, until the store has taken it. Disks of workers keep it too, for the case
//! that this node ends before that (`spooled_ends`).

use crate::desk::{DeskFault, PAUSE, STORE_TIMEOUT};
use crate::ending::Ender;
use crate::nodes::Nodes;
use crate::spool::hand_out_end;
use crate::spooled_ends::HandedEnd;
use latchwheel_core::pending_cancellations::{AbandonedCancellation, PendingCancellation, PendingCancellations};
use latchwheel_events::{emit, Event};
use latchwheel_records::RecordStore;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time for one try: a few calls to a store that answers late, each of which its client
/// gives up after 1.5 s.
const TRY_TIME: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Waiting {
    ends: PendingCancellations,
    is_worked_on: bool,
}

/// Ends jobs for callers, and keeps what it still owes them.
#[derive(Debug)]
pub(crate) struct AskedEnds<S> {
    store: Arc<S>,
    nodes: Nodes,
    /// Disks that make an end last while the store is away.
    copies: usize,
    ender: Ender,
    started: Instant,
    waiting: Mutex<Waiting>,
    /// Ends of which it is not told yet what came of them, also where the callers have left.
    in_progress: AtomicUsize,
}

/// Counts an end as in progress.
struct InProgress<'a>(&'a AtomicUsize);

impl<'a> InProgress<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<S: RecordStore> AskedEnds<S> {
    pub(crate) fn new(store: Arc<S>, nodes: Nodes, copies: usize) -> Arc<Self> {
        let (ender, waiting) = (Ender::default(), Mutex::default());
        let in_progress = AtomicUsize::new(0);
        Arc::new(Self { store, nodes, copies, ender, started: Instant::now(), waiting, in_progress })
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
        let _in_progress = InProgress::begin(&self.in_progress);
        // The store may leave a call without an answer for longer than the caller waits.
        let trying = tokio::time::timeout_at(until.into(), self.try_until(&job, caller.as_deref(), until.into()));
        let keeping = async {
            tokio::time::sleep(STORE_TIMEOUT).await;
            self.keep_on_disks(HandedEnd { job: job.clone(), caller: caller.clone() }).await;
            std::future::pending().await
        };
        let ended = tokio::select! {
            ended = trying => ended.unwrap_or(Err(DeskFault::Unknown)),
            never = keeping => never,
        };
        if !is_settled(&ended) {
            self.push(&job, caller.as_deref());
        }
        ended
    }

    /// Ends that are being tried for the first time.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
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

    /// Hands an end to workers that outlast this node.
    async fn keep_on_disks(&self, end: HandedEnd) {
        let workers = self.nodes.workers_to_keep(&end.job);
        let kept = hand_out_end(&workers, &end, self.copies).await;
        emit(&end.job, &Event::EndHandedOut { job: &end.job, kept });
    }

    /// Goes on trying to end a job after its caller was answered.
    fn push(self: &Arc<Self>, job: &str, caller: Option<&str>) {
        let mut waiting = self.lock();
        let given_up = waiting.ends.push(self.now(), job, caller);
        emit(job, &Event::EndOutstanding { job, waiting: waiting.ends.len() });
        log_given_up(given_up);
        if !std::mem::replace(&mut waiting.is_worked_on, true) {
            tokio::spawn(self.clone().work_off());
        }
    }

    /// Tries the ends in turn until none is left.
    async fn work_off(self: Arc<Self>) {
        while let Some((end, pause)) = self.next() {
            tokio::time::sleep(pause).await;
            if is_settled(&self.try_one(&end).await) {
                self.lock().ends.note_settled();
            } else {
                log_given_up(self.lock().ends.note_failed(self.now(), end));
            }
        }
    }

    async fn try_one(&self, end: &PendingCancellation) -> Result<(), DeskFault> {
        let ending = self.ender.end(&*self.store, &end.job, end.caller.as_deref());
        let outcome = tokio::time::timeout(TRY_TIME, ending).await.unwrap_or(Err(DeskFault::Unknown));
        if is_settled(&outcome) {
            let found = outcome.is_ok();
            emit(&end.job, &Event::EndMadeUp { job: &end.job, found });
        }
        outcome
    }

    /// The next end to try, and the pause before that; without one, the next that is put
    /// starts the work anew.
    fn next(&self) -> Option<(PendingCancellation, Duration)> {
        let mut waiting = self.lock();
        let pause = waiting.ends.backoff();
        let next = waiting.ends.next_cancellation();
        waiting.is_worked_on = next.is_some();
        next.map(|end| (end, pause))
    }

    fn now(&self) -> latchwheel_core::time::Instant {
        latchwheel_core::time::Instant::from_micros(self.started.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a further try brings no more. The end of a job that is not known was put on
/// record for when it comes.
pub(crate) fn is_settled(ended: &Result<(), DeskFault>) -> bool {
    matches!(ended, Ok(()) | Err(DeskFault::Absent))
}

fn log_given_up(given_up: Option<AbandonedCancellation>) {
    if let Some((end, reason)) = given_up {
        emit(&end.job, &Event::EndGivenUp { job: &end.job, reason: reason.word() });
    }
}
