//! When the record store was last known to answer this process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug, Default)]
struct State {
    answered: Option<Instant>,
    failing_since: Option<Instant>,
}

/// When the record store was last known to answer. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Contact(Arc<Mutex<State>>);

impl Contact {
    /// The store answered a call that was sent at that time.
    pub fn note_answer(&self, sent_at: Instant) {
        let mut state = self.lock();
        state.answered = state.answered.max(Some(sent_at));
        state.failing_since = None;
    }

    /// A call to the store failed.
    pub fn note_failure(&self) {
        self.lock().failing_since.get_or_insert_with(Instant::now);
    }

    /// Time since the store was last known to answer; `None` if it never did.
    pub fn age(&self) -> Option<Duration> {
        self.lock().answered.map(|at| at.elapsed())
    }

    /// Time since which calls fail; zero if they don't.
    pub fn outage(&self) -> Duration {
        self.lock().failing_since.map(|since| since.elapsed()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
