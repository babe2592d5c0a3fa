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
    attempts: usize,
    last: Option<LastSent>,
}

/// Counts the attempts of one request that were sent and have not ended.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<Mutex<State>>);

impl InFlight {
    /// The request is sent to a server; the attempt ends when the guard is dropped.
    pub(crate) fn begin(&self, server: &Arc<str>, now: Instant) -> InFlightAttempt {
        let mut state = self.lock();
        state.attempts += 1;
        state.last = Some(LastSent { server: server.clone(), at: now });
        InFlightAttempt(self.clone())
    }

    /// The attempt that was sent last, while any is in progress.
    pub(crate) fn in_progress(&self) -> Option<LastSent> {
        let state = self.lock();
        state.last.clone().filter(|_| state.attempts > 0)
    }

    /// When the request was sent last.
    pub(crate) fn last_sent_at(&self) -> Option<Instant> {
        self.lock().last.as_ref().map(|last| last.at)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt that was sent.
#[derive(Debug)]
pub(crate) struct InFlightAttempt(InFlight);

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.0.lock().attempts -= 1;
    }
}
