//! Attempts of a request that servers work on.

use latchwheel_core::time::Instant;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The attempt that was sent last.
#[derive(Clone, Debug)]
pub(crate) struct LastSent {
    /// Its server.
    pub(crate) server: Arc<str>,
    /// When it was sent.
    pub(crate) at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Attempts in progress.
    attempts: usize,
    /// Attempts that were sent, but for those of which it is certain that they did not run.
    may_have_run: usize,
    last: Option<LastSent>,
}

/// Counts the attempts of one request that were sent.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<Mutex<State>>);

impl InFlight {
    /// The request is sent to a server; the attempt ends when the guard is dropped.
    pub(crate) fn begin(&self, server: &Arc<str>, now: Instant) -> InFlightAttempt {
        let mut state = self.lock();
        state.attempts += 1;
        state.may_have_run += 1;
        state.last = Some(LastSent { server: server.clone(), at: now });
        InFlightAttempt(self.clone())
    }

    /// The attempt that was sent last, while any is in progress.
    pub(crate) fn in_progress(&self) -> Option<LastSent> {
        let state = self.lock();
        state.last.clone().filter(|_| state.attempts > 0)
    }

    /// The attempt that was sent last, if any of those that were sent may have run.
    pub(crate) fn may_have_run(&self) -> Option<LastSent> {
        let state = self.lock();
        state.last.clone().filter(|_| state.may_have_run > 0)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt that was sent.
#[derive(Debug)]
pub(crate) struct InFlightAttempt(InFlight);

impl InFlightAttempt {
    /// It is certain that the attempt did not run. To be called once.
    pub(crate) fn note_not_run(&self) {
        self.0.lock().may_have_run -= 1;
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.0.lock().attempts -= 1;
    }
}
