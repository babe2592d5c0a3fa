//! When the record store was last known to answer this process, and whether it
//! may be called now.

use crate::RecordsFault;
use latchwheel_core::circuit_breaker::{CircuitBreaker, ProbePolicy};
use latchwheel_core::time::Instant as CoreInstant;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Calls that fail for less long are waiting calls that were cut: no lease of
/// a live process runs out in that time.
const SHORT_FAILURE: Duration = Duration::from_millis(300);
/// Time without a call in which an outage may have gone unnoticed. Nodes that
/// others rely on renew their leases more often than that.
const UNOBSERVED_LIMIT: Duration = Duration::from_secs(1);
/// Time for which an upstream's word counts.
const TOLD_LIFE: Duration = Duration::from_secs(2);
/// Time for which an upstream's word that the store doesn't answer it counts: it is asked
/// again at once, and holds such a poll for 0.6 s.
const TOLD_AWAY_LIFE: Duration = Duration::from_millis(1500);
/// Time for which an own answer counts: watches and renewals of leases bring several.
const OWN_LIFE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct State {
    breaker: CircuitBreaker,
    /// Until when the store is known to have been there: the sending of the last
    /// call that it answered, or the end of a watch.
    answered: Option<Instant>,
    /// When the last answer came.
    heard: Option<Instant>,
    /// Since when calls fail, if they do.
    failing_since: Option<Instant>,
    /// When the first call was sent that the store answered after its last
    /// outage.
    answering_since: Option<Instant>,
    told: Option<ToldContact>,
    /// Since when calls fail in a way that may be an outage for all, if they do: a store
    /// without room for calls may take others.
    unreached_since: Option<Instant>,
    /// When an upstream told last that the store doesn't answer it.
    told_away: Option<Instant>,
    /// Other nodes judge the store by this one, and it asks none of them.
    relied_on: bool,
    registration: HeldRegistration,
}

/// Registration of this process under a lease.
#[derive(Clone, Copy, Debug, Default)]
struct HeldRegistration {
    /// Until when the lease lasts by this process's clock; `None` without a registration.
    until: Option<Instant>,
    /// Number of registrations that were lost.
    lost: u64,
}

/// A time without a loss of this process's registration: meanwhile no other process took over
/// its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistrationEpoch(u64);

/// What an upstream told of its own contact with the store.
#[derive(Clone, Copy, Debug)]
struct ToldContact {
    /// When it told this.
    heard: Instant,
    /// Since when it has answered the upstream without an outage.
    answering_since: Instant,
}

impl State {
    /// The store was there from `start` to `end`.
    fn note_span(&mut self, start: Instant, end: Instant) {
        let outage = self.failing_since.take().map(|since| since.elapsed()).unwrap_or_default();
        let unobserved = self.heard.is_none_or(|heard| start > heard + UNOBSERVED_LIMIT);
        if unobserved || outage >= SHORT_FAILURE {
            self.answering_since = Some(start);
        }
        self.unreached_since = None;
        self.answered = self.answered.max(Some(end));
        self.heard = Some(Instant::now());
    }
}

/// When the record store was last known to answer. Clones share it.
#[derive(Clone, Debug)]
pub struct Contact {
    state: Arc<Mutex<State>>,
    /// Origin of the breaker's times.
    started: Instant,
    /// Counts how often the store was regained.
    regained: Arc<watch::Sender<u64>>,
}

/// The contact of a process that others rely on.
impl Default for Contact {
    fn default() -> Self {
        Self::new(ProbePolicy { calls_per_second: 1.0, nodes: 1, relied_on: true })
    }
}

impl Contact {
    /// The contact of a process that probes the store so while it is away.
    pub fn new(policy: ProbePolicy) -> Self {
        let relied_on = policy.relied_on;
        let state = State {
            breaker: CircuitBreaker::new(policy),
            answered: None,
            heard: None,
            failing_since: None,
            answering_since: None,
            told: None,
            unreached_since: None,
            told_away: None,
            relied_on,
            registration: HeldRegistration::default(),
        };
        Self { state: Arc::new(Mutex::new(state)), started: Instant::now(), regained: Arc::new(watch::channel(0).0) }
    }

    /// So many nodes are known, this one among them.
    pub fn set_nodes(&self, nodes: usize) {
        self.lock().breaker.set_nodes(nodes);
    }

    /// Whether a call may be made now; the caller makes it.
    pub fn may_call(&self) -> bool {
        let now = self.core_time(Instant::now());
        self.lock().breaker.may_call(now, rand::random())
    }

    /// Completes when the store answers again after calls to it failed, or when
    /// an upstream tells that it answers others.
    pub async fn regained(&self) {
        // The sender lives as long as this contact.
        let _ = self.regains().changed().await;
    }

    /// Changes whenever the store is regained.
    pub(crate) fn regains(&self) -> watch::Receiver<u64> {
        self.regained.subscribe()
    }

    fn note_regained(&self) {
        self.regained.send_modify(|count| *count = count.wrapping_add(1));
    }

    fn core_time(&self, at: Instant) -> CoreInstant {
        CoreInstant::default() + at.saturating_duration_since(self.started)
    }

    fn note_span(&self, start: Instant, end: Instant) {
        let mut state = self.lock();
        let failed = state.breaker.is_open() || state.failing_since.is_some();
        state.note_span(start, end);
        state.breaker.note_answer();
        drop(state);
        if failed {
            self.note_regained();
        }
    }

    /// The store answered a call that was sent at that time.
    pub fn note_answer(&self, sent_at: Instant) {
        self.note_span(sent_at, sent_at);
    }

    /// The store held a call from that time until it answered now: it was
    /// there all the while.
    pub fn note_held(&self, sent_at: Instant) {
        self.note_span(sent_at, Instant::now());
    }

    /// A call to the store failed so, that should have been answered from that time on.
    pub(crate) fn note_fault(&self, fault: RecordsFault, due_at: Instant) {
        self.note_failure(due_at);
        let mut state = self.lock();
        let since = state.failing_since.filter(|_| fault.may_be_outage());
        state.unreached_since = since.map(|since| state.unreached_since.unwrap_or(since));
    }

    /// A call to the store failed that should have been answered from that
    /// time on.
    pub fn note_failure(&self, due_at: Instant) {
        let mut state = self.lock();
        // What was answered meanwhile shows that the store was there: only the
        // answer to this call is lost.
        if state.heard.is_some_and(|heard| heard > due_at) {
            return;
        }
        let since = state.failing_since.map_or(due_at, |since| since.min(due_at));
        state.failing_since = Some(since);
        let (now, due_at) = (self.core_time(Instant::now()), self.core_time(due_at));
        state.breaker.note_failure(now, due_at, rand::random());
    }

    /// The store has answered an upstream that can be relied on for that time.
    pub fn note_told(&self, answering_for: Duration) {
        let heard = Instant::now();
        let answering_since = heard.checked_sub(answering_for).unwrap_or(heard);
        let mut state = self.lock();
        state.told = Some(ToldContact { heard, answering_since });
        state.told_away = None;
        let was_held_back = state.breaker.note_upstream_answering(self.core_time(heard));
        drop(state);
        if was_held_back {
            self.note_regained();
        }
    }

    /// Another node shows that the store answers it: it has news that are missing
    /// here. The next call is made, whatever upstreams tell.
    pub fn note_answered_elsewhere(&self) {
        let now = self.core_time(Instant::now());
        if self.lock().breaker.note_upstream_answering(now) {
            self.note_regained();
        }
    }

    /// Upstreams tell that the store has not answered them for that time. If it
    /// answered this process meanwhile, the trouble is theirs alone.
    pub fn note_upstream_unreachable(&self, for_time: Duration) {
        let now = self.core_time(Instant::now());
        let mut state = self.lock();
        state.told_away = Some(Instant::now());
        let answers_here = state.heard.is_some_and(|heard| heard.elapsed() < for_time);
        if !answers_here {
            state.breaker.note_upstream_unreachable(now, rand::random());
        }
    }

    /// The process is registered under a lease that lasts until that time.
    pub(crate) fn note_registered(&self, until: Instant) {
        self.lock().registration.until = Some(until);
    }

    /// The registration of the process was lost, or may have been.
    pub(crate) fn note_registration_lost(&self) {
        let registration = &mut self.lock().registration;
        registration.until = None;
        registration.lost += 1;
    }

    /// Time without a loss of the registration that lasts now; `None` if its lease may have
    /// ended.
    pub fn registration_epoch(&self) -> Option<RegistrationEpoch> {
        let registration = self.lock().registration;
        let is_held = registration.until.is_some_and(|until| Instant::now() < until);
        is_held.then_some(RegistrationEpoch(registration.lost))
    }

    /// Time since the store was last known to answer this process; `None` if it
    /// never did.
    pub fn own_age(&self) -> Option<Duration> {
        self.lock().answered.map(|at| at.elapsed())
    }

    /// Time since which calls fail; zero if they don't.
    pub fn outage(&self) -> Duration {
        self.lock().failing_since.map(|since| since.elapsed()).unwrap_or_default()
    }

    /// Whether the store is believed to answer nobody: this process doesn't reach it, and
    /// an upstream says the same, if this process asks one. A refusal for want of room is
    /// an answer: it tells nothing of others.
    pub fn answers_nobody(&self) -> bool {
        let state = self.lock();
        let fails_upstream = state.told_away.is_some_and(|at| at.elapsed() <= TOLD_AWAY_LIFE);
        state.unreached_since.is_some() && (state.relied_on || fails_upstream)
    }

    /// Time for which the store has answered, this process or an upstream that
    /// told of it, without an outage; `None` if neither is known to have an
    /// answer now.
    pub fn answering_for(&self) -> Option<Duration> {
        let state = self.lock();
        let answers_here = state.heard.is_some_and(|heard| heard.elapsed() <= OWN_LIFE);
        let own = state.answering_since.filter(|_| answers_here && state.failing_since.is_none());
        let told = state.told.filter(|told| told.heard.elapsed() <= TOLD_LIFE).map(|told| told.answering_since);
        [own, told].into_iter().flatten().min().map(|since| since.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
