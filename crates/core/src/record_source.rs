//! Source of the records that a node follows: the record store or an *upstream*.
//!
//! Only a few nodes watch the record store, so that its load doesn't grow with the number of nodes.
//! All others poll one of these nodes, their upstream, which reports how long ago the store last
//! answered it. A node whose upstream is unresponsive or unreliable polls the next one at once, and
//! follows the store if that one is unreliable too. While the store is unreachable for all, the
//! upstreams' reports also keep the node from calling it, and upstreams hold polls until it answers.
//!
//! An upstream with older records than the node is polled again for a short time and then counts as
//! unreliable: a change of source never takes a node back to older records.
//!
//! Invariant: while the source is an upstream, the node's records are at most as old as [`AGE_LIMIT`]
//! plus the time of two polls.

use crate::retry::exponential_backoff;
use crate::time::Instant;
use std::time::Duration;

/// Time since the last answer of the store after which an upstream is unreliable.
pub const AGE_LIMIT: Duration = Duration::from_millis(900);
/// Time of failing calls to the store after which an upstream is unreliable. Shorter failures are
/// interrupted long polls.
pub const OUTAGE_LIMIT: Duration = Duration::from_millis(300);
/// Time for which a starting node waits for a reliable upstream. A longer time only delays nodes
/// whose upstreams have more to send than they can.
const START_TIMEOUT: Duration = Duration::from_millis(1000);
/// Initial backoff between two polls while starting.
const START_BACKOFF: Duration = Duration::from_millis(80);
/// Time for which a starting node waits for upstreams that will send missing records later,
/// since the store can't list all records for many nodes that start together. With 10,000
/// servers that takes 50 calls to the store for each node.
pub const DEFERRAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum backoff between two polls while starting.
const MAX_START_BACKOFF: Duration = Duration::from_millis(640);
/// Time for which a node polls upstreams that are behind it but otherwise reliable.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1000);
/// Consecutive failures of upstreams after which a node follows the store.
const FAILURES_BEFORE_STORE: u32 = 2;
/// Backoff after a failed poll, doubled at each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Source of the followed records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// None yet: the node is starting and waits for a reliable upstream.
    Undecided,
    /// Another node's cache.
    Upstream,
    /// The record store itself.
    Store,
}

/// State that an upstream reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// Time since the store last answered the upstream.
    pub age: Duration,
    /// Time for which the upstream's calls to the store have been failing; zero if they succeed.
    pub outage: Duration,
    /// Whether the answer holds all requested records.
    pub complete: bool,
    /// Whether the upstream will send the missing records later.
    pub defers: bool,
    /// Whether the upstream's records are older than those of the polling node.
    pub behind: bool,
}

impl UpstreamState {
    /// Whether a node may follow the upstream's records.
    pub fn is_reliable(&self) -> bool {
        self.complete && !self.behind && !self.store_is_unreachable()
    }

    /// Whether the upstream would be reliable if it were not behind.
    fn is_only_behind(&self) -> bool {
        self.behind && self.complete && !self.store_is_unreachable()
    }

    /// Whether the store does not answer the upstream.
    pub fn store_is_unreachable(&self) -> bool {
        self.age > AGE_LIMIT || self.outage > OUTAGE_LIMIT
    }
}

/// Condition on which an upstream answers a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollCondition {
    /// Answer at once.
    Nothing,
    /// Answer when there is a change.
    Change,
    /// Answer when the upstream is reliable.
    Reliable,
}

/// Selects the store or one of several upstreams as source.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    upstreams: usize,
    next_upstream: usize,
    source: RecordSource,
    started: Instant,
    /// Consecutive polls without a reliable upstream.
    failures: u32,
    /// How many of these failures got no answer.
    unanswered: u32,
    /// Time since which upstreams are behind this node.
    behind_since: Option<Instant>,
}

impl SourceSelector {
    /// Creates the selector of a node that starts `now`; `spread` distributes nodes over the
    /// upstreams. Without upstreams the store is the source.
    pub fn new(upstreams: usize, spread: u64, now: Instant) -> Self {
        let source = if upstreams == 0 { RecordSource::Store } else { RecordSource::Undecided };
        let next_upstream = spread.checked_rem(upstreams as u64).unwrap_or(0) as usize;
        Self { upstreams, next_upstream, source, started: now, failures: 0, unanswered: 0, behind_since: None }
    }

    /// The current source.
    pub fn source(&self) -> RecordSource {
        self.source
    }

    /// Index of the upstream to poll next; `None` without upstreams.
    pub fn upstream(&self) -> Option<usize> {
        (self.upstreams > 0).then_some(self.next_upstream)
    }

    /// What the next poll waits for. When no upstream is reliable, upstreams hold
    /// the polls until one is.
    pub fn poll_condition(&self) -> PollCondition {
        if self.behind_since.is_some() {
            return PollCondition::Reliable;
        }
        match (self.source, self.failures) {
            (RecordSource::Upstream, 0) => PollCondition::Change,
            // An upstream that is itself starting answers once it has its first lists.
            (RecordSource::Undecided, failures) if failures > 0 => PollCondition::Reliable,
            (RecordSource::Store, failures) if failures as usize >= self.upstreams => PollCondition::Reliable,
            _ => PollCondition::Nothing,
        }
    }

    /// Notes an upstream's answer. Returns the backoff before the next poll: zero
    /// after an upstream that holds polls until it is reliable.
    pub fn note_answer(&mut self, now: Instant, state: &UpstreamState) -> Duration {
        if state.is_reliable() {
            self.source = RecordSource::Upstream;
            (self.failures, self.unanswered) = (0, 0);
            self.behind_since = None;
            return Duration::ZERO;
        }
        if state.is_only_behind() && self.may_still_catch_up(now) {
            return Duration::ZERO;
        }
        if self.should_keep_waiting(state, now) {
            self.next_upstream = (self.next_upstream + 1) % self.upstreams.max(1);
            self.failures = self.failures.saturating_add(1);
            let rounds = self.failures / self.upstreams.max(1) as u32;
            return exponential_backoff(START_BACKOFF, MAX_START_BACKOFF, rounds);
        }
        let upstream_held_poll = self.poll_condition() == PollCondition::Reliable && state.complete;
        if upstream_held_poll {
            self.unanswered = 0;
        }
        let backoff = self.switch_upstream(now);
        if upstream_held_poll {
            Duration::ZERO
        } else {
            backoff
        }
    }

    /// Whether an upstream that is behind is polled again. Consecutive upstreams that are behind
    /// share the timeout.
    fn may_still_catch_up(&mut self, now: Instant) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) < CATCH_UP_TIMEOUT
    }

    /// Whether a starting node keeps polling upstreams after an answer with this state.
    fn should_keep_waiting(&self, state: &UpstreamState, now: Instant) -> bool {
        let starting = self.source == RecordSource::Undecided && now.since(self.started) < DEFERRAL_TIMEOUT;
        starting && state.defers && !state.store_is_unreachable()
    }

    /// Notes that an upstream did not answer. Returns the backoff before the next poll.
    pub fn note_failure(&mut self, now: Instant) -> Duration {
        self.unanswered = self.unanswered.saturating_add(1);
        self.switch_upstream(now)
    }

    /// Switches to the next upstream, and to the store if there is no other or too many failed.
    /// Returns the backoff before the next poll.
    fn switch_upstream(&mut self, now: Instant) -> Duration {
        self.next_upstream = (self.next_upstream + 1) % self.upstreams.max(1);
        self.failures = self.failures.saturating_add(1);
        if self.source == RecordSource::Undecided && now.since(self.started) < START_TIMEOUT {
            return START_BACKOFF;
        }
        let has_others = self.upstreams > 1;
        if self.source == RecordSource::Upstream && has_others && self.failures < FAILURES_BEFORE_STORE {
            return Duration::ZERO;
        }
        self.source = RecordSource::Store;
        // Every upstream is polled once without a backoff; only unanswered polls
        // extend the backoff.
        if self.failures <= self.upstreams as u32 {
            return Duration::ZERO;
        }
        let rounds = self.unanswered.saturating_sub(self.upstreams as u32);
        exponential_backoff(INITIAL_BACKOFF, MAX_BACKOFF, rounds.saturating_sub(1))
    }
}
