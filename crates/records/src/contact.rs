//! When the record store was last known to answer this process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Calls that fail for less long are waiting calls that were cut: no lease of
/// a live process runs out in that time.
pub(crate) const SHORT_FAILURE: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    answered: Option<Instant>,
    /// When the last answer came.
    heard: Option<Instant>,
    failing_since: Option<Instant>,
    /// When the first call was sent that the store answered after its last
    /// outage.
    answering_since: Option<Instant>,
    told: Option<ToldContact>,
}

/// What an upstream told of its own contact with the store.
#[derive(Clone, Copy, Debug)]
struct ToldContact {
    heard: Instant,
    answering_since: Instant,
}

/// Time without a call in which an outage may have gone unnoticed. Nodes that
/// others rely on renew their leases more often than that.
const UNOBSERVED_LIMIT: Duration = Duration::from_secs(1);
/// Time for which an upstream's word counts.
const TOLD_LIFE: Duration = Duration::from_secs(2);

impl State {
    /// The store was there from `start` to `end`.
    fn note_span(&mut self, start: Instant, end: Instant) {
        let outage = self.failing_since.take().map(|since| since.elapsed()).unwrap_or_default();
        let unobserved = self.heard.is_none_or(|heard| start > heard + UNOBSERVED_LIMIT);
        if unobserved || outage >= SHORT_FAILURE {
            self.answering_since = Some(start);
        }
        self.answered = self.answered.max(Some(end));
        self.heard = Some(Instant::now());
    }
}

/// When the record store was last known to answer. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Contact(Arc<Mutex<State>>);

impl Contact {
    /// The store answered a call that was sent at that time.
    pub fn note_answer(&self, sent_at: Instant) {
        self.lock().note_span(sent_at, sent_at);
    }

    /// The store held a call from that time until it answered now: it was
    /// there all the while.
    pub fn note_held(&self, sent_at: Instant) {
        self.lock().note_span(sent_at, Instant::now());
    }

    /// A call to the store failed that should have been answered from that
    /// time on.
    pub fn note_failure(&self, due_at: Instant) {
        let mut state = self.lock();
        let since = state.failing_since.map_or(due_at, |since| since.min(due_at));
        state.failing_since = Some(since);
    }

    /// An upstream that can be relied on has had answers for that time.
    pub fn note_told(&self, answering_for: Duration) {
        let heard = Instant::now();
        let answering_since = heard.checked_sub(answering_for).unwrap_or(heard);
        self.lock().told = Some(ToldContact { heard, answering_since });
    }

    /// Time since the store was last known to answer; `None` if it never did.
    pub fn age(&self) -> Option<Duration> {
        self.lock().answered.map(|at| at.elapsed())
    }

    /// Time since which calls fail; zero if they don't.
    pub fn outage(&self) -> Duration {
        self.lock().failing_since.map(|since| since.elapsed()).unwrap_or_default()
    }

    /// Time for which the store has answered, this process or an upstream that
    /// told of it, without an outage; `None` if neither is known to have an
    /// answer now.
    pub fn answering_for(&self) -> Option<Duration> {
        let state = self.lock();
        let own = state.answering_since.filter(|_| state.failing_since.is_none());
        let told = state.told.filter(|told| told.heard.elapsed() <= TOLD_LIFE).map(|told| told.answering_since);
        [own, told].into_iter().flatten().min().map(|since| since.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
