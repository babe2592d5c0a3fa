//! When a node may call the record store, and when it may only probe it.
//!
//! While the store is away every call to it is wasted, and many nodes that ask
//! again and again load it just when it returns. The breaker of a node opens
//! when its own calls have failed for a while, or when an upstream tells that
//! its calls do. While it is open, calls are refused without being sent, but
//! for a probe now and then. An answer closes it.
//!
//! Invariant: while nobody is known to have an answer, all nodes together probe
//! about as often as [`ProbePolicy::calls_per_second`] allows, but each node at
//! least once in [`MAX_SHARED_PROBE_INTERVAL`], so that none depends on another.

use crate::retry::exponential_backoff;
use crate::time::Instant;
use std::time::Duration;

/// Calls that fail for less long are waiting calls that were cut; the breaker
/// stays closed.
pub const FAILURE_TIME: Duration = Duration::from_millis(200);
/// Failures in a row that open it at least: the answer to a single call may be
/// lost while the store is there.
const MIN_FAILURES: u32 = 2;
/// Time between two probes of a node that others rely on, and the shortest one
/// of any other.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two probes of a node that is turned away while others
/// have answers: it must be back in touch well within the bounds on
/// configuration (2 s and more).
const MAX_OWN_PROBE_INTERVAL: Duration = Duration::from_millis(1600);
/// Longest time between two probes of a node that hears of no answer: with
/// [`SPREAD`] it is back in touch within four seconds of the store's return,
/// also where no upstream is left to tell of it. The strictest bound on news is
/// three seconds of contact and two for the change itself.
pub const MAX_SHARED_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two probes of a node that knows no other node yet.
const SINGLE_NODE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes are spread over a pause by this share of it, so that nodes that
/// failed together don't probe together.
const SPREAD: f64 = 0.5;

/// How often the store is probed while it is away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbePolicy {
    /// Probes that all nodes together may make in a second.
    pub calls_per_second: f64,
    /// Nodes that are known, this one among them.
    pub nodes: usize,
    /// Other nodes learn of the store's return from this one.
    pub relied_on: bool,
}

/// Whether others have answers from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamState {
    Unknown,
    Answering,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Calls are made; so many in a row have failed, since that time if any.
    Closed { failures: u32, since: Instant },
    /// Calls are refused until the next probe.
    Open { next_probe: Instant, failed_probes: u32 },
}

/// Calls are made and none has failed since the last answer.
const ANSWERED: State = State::Closed { failures: 0, since: Instant::from_micros(0) };

/// Decides which calls to the record store are made.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    policy: ProbePolicy,
    upstream: UpstreamState,
    state: State,
}

impl CircuitBreaker {
    /// A closed one.
    pub fn new(policy: ProbePolicy) -> Self {
        Self { policy, upstream: UpstreamState::Unknown, state: ANSWERED }
    }

    /// So many nodes are known now, this one among them.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.policy.nodes = nodes;
    }

    /// Whether calls are refused.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    /// Whether a call may be made now. `draw` is a random number from 0 to 1.
    pub fn may_call(&mut self, now: Instant, draw: f64) -> bool {
        let State::Open { next_probe, failed_probes } = self.state else { return true };
        if now < next_probe {
            return false;
        }
        let probe_interval = spread(self.probe_interval(failed_probes), draw);
        self.state = State::Open { next_probe: now + probe_interval, failed_probes: failed_probes + 1 };
        true
    }

    /// The store answered.
    pub fn note_answer(&mut self) {
        self.state = ANSWERED;
    }

    /// A call failed that should have been answered from `due_at` on.
    pub fn note_failure(&mut self, now: Instant, due_at: Instant, draw: f64) {
        let State::Closed { failures, since } = self.state else { return };
        let since = if failures == 0 { due_at } else { since.min(due_at) };
        let failures = failures.saturating_add(1);
        self.state = State::Closed { failures, since };
        if failures >= MIN_FAILURES && now.since(since) >= FAILURE_TIME {
            self.open(now, draw);
        }
    }

    /// An upstream tells that the store doesn't answer it.
    pub fn note_upstream_unreachable(&mut self, now: Instant, draw: f64) {
        self.upstream = UpstreamState::Unknown;
        if !self.is_open() {
            self.open(now, draw);
        }
    }

    /// An upstream tells that the store answers it, or another node. If that is
    /// news, the next call is made; tells whether calls were held back until now.
    pub fn note_upstream_answering(&mut self, now: Instant) -> bool {
        let is_new = self.upstream != UpstreamState::Answering;
        self.upstream = UpstreamState::Answering;
        let State::Open { next_probe, .. } = self.state else { return false };
        if is_new {
            self.state = State::Open { next_probe: next_probe.min(now), failed_probes: 0 };
        }
        is_new
    }

    fn open(&mut self, now: Instant, draw: f64) {
        // Any moment of the pause is as good as another for the first probe.
        let next_probe = now + self.probe_interval(0).mul_f64(draw.clamp(0.0, 1.0));
        self.state = State::Open { next_probe, failed_probes: 0 };
    }

    fn probe_interval(&self, failed_probes: u32) -> Duration {
        if self.policy.relied_on {
            return MIN_PROBE_INTERVAL;
        }
        if self.upstream == UpstreamState::Answering {
            return exponential_backoff(MIN_PROBE_INTERVAL, MAX_OWN_PROBE_INTERVAL, failed_probes);
        }
        if self.policy.nodes < 2 {
            return SINGLE_NODE_PROBE_INTERVAL;
        }
        let shared = self.policy.nodes as f64 / self.policy.calls_per_second.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(shared.min(MAX_SHARED_PROBE_INTERVAL.as_secs_f64())).max(MIN_PROBE_INTERVAL)
    }
}

/// A pause that differs by chance but is the given one on average.
fn spread(probe_interval: Duration, draw: f64) -> Duration {
    probe_interval.mul_f64(1.0 + SPREAD * (draw.clamp(0.0, 1.0) - 0.5))
}
