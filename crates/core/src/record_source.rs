//! Where a node takes the records that it follows from.
//!
//! If every node watched the record store itself, the calls would grow with
//! the number of nodes. A few nodes watch the store; all others poll one of
//! these, their *upstream*. An upstream tells how long ago the store was last
//! known to answer it. A node whose upstream is silent, cut off from the store
//! or behind asks the next one at once, and turns to the store if that can't be
//! relied on either: no upstream is ever needed, and none is chosen by
//! agreement. Where the store is away for all, their word for it keeps the node
//! from asking the store as well, and an upstream holds the node's polls until
//! the store is back.
//!
//! An upstream that knows less than the node itself does, as one that starts too and has
//! not listed the records yet, is no source for this node. It is waited for a moment, and
//! then counts as one that can't be relied on: what a node knows never goes back because
//! its source changed.
//!
//! Invariant: while the source is an upstream, what the node believes is no
//! older than [`AGE_LIMIT`] and the time of two polls.

use crate::retry::doubled_pause;
use crate::time::Instant;
use std::time::Duration;

/// An upstream is sound only if the store answered it within this time.
pub const AGE_LIMIT: Duration = Duration::from_millis(900);
/// An upstream whose calls to the store fail for longer is not sound. Shorter
/// failures are waiting calls that were cut.
pub const OUTAGE_LIMIT: Duration = Duration::from_millis(300);
/// Time in which a node that starts waits for an upstream that starts too. A
/// longer one only delays nodes whose upstream has more to tell than it can.
const START_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause between two polls while starting.
const START_BACKOFF: Duration = Duration::from_millis(80);
/// The same where upstreams tell that what is missing comes later: they have a
/// listing under way, or lists to send to many nodes that started together. The store
/// has no more room for the lists of all nodes than they: 50 calls a node where there
/// are 10,000 servers.
pub const DEFERRAL_PATIENCE: Duration = Duration::from_secs(20);
/// Longest pause between two polls while starting.
const MAX_START_BACKOFF: Duration = Duration::from_millis(640);
/// Time for which upstreams that are behind the node itself, and sound otherwise, are
/// waited for. One whose watch of the store lives hears of changes within half of it.
pub const CATCH_UP_PATIENCE: Duration = Duration::from_millis(1000);
/// Upstreams that must fail in a row before a node turns to the store.
const FAILURES_BEFORE_STORE: u32 = 2;
/// Pause after a failed poll, doubled at each failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Where followed records come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// Nothing was heard yet from an upstream that may yet start.
    Undecided,
    /// Another node's cache.
    Upstream,
    /// The record store itself.
    Store,
}

/// What an upstream told of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// Time since the store was last known to answer it.
    pub age: Duration,
    /// Time since which its calls to the store fail; zero if they don't.
    pub outage: Duration,
    /// Whether it told all that was asked for.
    pub complete: bool,
    /// Whether it tells later what is missing.
    pub defers: bool,
    /// Whether it knows less than the node that asks.
    pub behind: bool,
}

impl UpstreamState {
    /// Whether what it tells can be relied on.
    pub fn is_sound(&self) -> bool {
        self.complete && !self.behind && !self.store_is_away()
    }

    /// Whether all that keeps it from being sound is that it has not heard yet of what
    /// the node knows.
    fn is_only_behind(&self) -> bool {
        self.behind && self.complete && !self.store_is_away()
    }

    /// Whether the store doesn't answer it.
    pub fn store_is_away(&self) -> bool {
        self.age > AGE_LIMIT || self.outage > OUTAGE_LIMIT
    }
}

/// How an upstream is to treat a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollWait {
    /// Answer at once.
    Nothing,
    /// Answer when there is news.
    News,
    /// Answer when it can be relied on.
    Soundness,
}

/// The choice between the store and a number of upstreams.
#[derive(Clone, Debug)]
pub struct SourceChoice {
    upstreams: usize,
    next_upstream: usize,
    source: RecordSource,
    started: Instant,
    /// Polls in a row without an upstream that can be relied on.
    failures: u32,
    /// Those of them that were not answered at all.
    unanswered: u32,
    /// Since when upstreams are behind the node.
    behind_since: Option<Instant>,
}

impl SourceChoice {
    /// A node that starts `now`; `spread` makes different nodes begin with
    /// different upstreams. Without upstreams the store is the source.
    pub fn new(upstreams: usize, spread: u64, now: Instant) -> Self {
        let source = if upstreams == 0 { RecordSource::Store } else { RecordSource::Undecided };
        let next_upstream = spread.checked_rem(upstreams as u64).unwrap_or(0) as usize;
        Self { upstreams, next_upstream, source, started: now, failures: 0, unanswered: 0, behind_since: None }
    }

    /// The present source.
    pub fn source(&self) -> RecordSource {
        self.source
    }

    /// Number of the upstream to poll next; `None` if there is none.
    pub fn upstream(&self) -> Option<usize> {
        (self.upstreams > 0).then_some(self.next_upstream)
    }

    /// What the next poll waits for. Once no upstream could be relied on, the
    /// polls rest at upstreams until one can.
    pub fn poll_wait(&self) -> PollWait {
        if self.behind_since.is_some() {
            return PollWait::Soundness;
        }
        match (self.source, self.failures) {
            (RecordSource::Upstream, 0) => PollWait::News,
            // An upstream that starts too answers once it has its first lists.
            (RecordSource::Undecided, failures) if failures > 0 => PollWait::Soundness,
            (RecordSource::Store, failures) if failures as usize >= self.upstreams => PollWait::Soundness,
            _ => PollWait::Nothing,
        }
    }

    /// An upstream answered. Gives back the pause before the next poll: none
    /// after an upstream that can hold polls until it is sound.
    pub fn note_answer(&mut self, now: Instant, state: &UpstreamState) -> Duration {
        if state.is_sound() {
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
            return doubled_pause(START_BACKOFF, MAX_START_BACKOFF, rounds);
        }
        let upstream_held_poll = self.poll_wait() == PollWait::Soundness && state.complete;
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

    /// Whether an upstream that is behind is asked again before it is left. Those that are
    /// behind one after the other share the time.
    fn may_still_catch_up(&mut self, now: Instant) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) < CATCH_UP_PATIENCE
    }

    /// Whether a node that starts goes on asking upstreams, one of which is in this
    /// state.
    fn should_keep_waiting(&self, state: &UpstreamState, now: Instant) -> bool {
        let starting = self.source == RecordSource::Undecided && now.since(self.started) < DEFERRAL_PATIENCE;
        starting && state.defers && !state.store_is_away()
    }

    /// An upstream gave no answer. Gives back the pause before the next poll.
    pub fn note_failure(&mut self, now: Instant) -> Duration {
        self.unanswered = self.unanswered.saturating_add(1);
        self.switch_upstream(now)
    }

    /// Goes on to the next upstream, and to the store where two in a row can't be
    /// relied on. Gives back the pause before the next poll.
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
        // Every upstream is asked once before there is a pause; upstreams that
        // answer are no reason for a longer one.
        if self.failures <= self.upstreams as u32 {
            return Duration::ZERO;
        }
        let rounds = self.unanswered.saturating_sub(self.upstreams as u32);
        doubled_pause(INITIAL_BACKOFF, MAX_BACKOFF, rounds.saturating_sub(1))
    }
}
