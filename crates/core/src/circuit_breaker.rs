//! Circuit breaker for calls to the record store.
//!
//! While the store is unreachable, calls are wasted, and retries of many nodes would
//! overload it when it returns. The breaker of a node opens when its own calls have failed
//! for a while, or when an upstream reports that its calls fail. An open breaker refuses
//! calls except for occasional probes; an answer closes it.
//!
//! Invariant: while no node is known to get answers, all nodes together probe about as often
//! as [`ProbePolicy::calls_per_second`] allows, but each node at least once per
//! [`MAX_SHARED_PROBE_INTERVAL`], so that none depends on another.

use crate::retry::exponential_backoff;
use crate::time::Instant;
use std::time::Duration;

/// Minimum duration of failures that opens the breaker; shorter ones may be interrupted long
/// polls.
pub const FAILURE_TIME: Duration = Duration::from_millis(200);
/// Minimum number of consecutive failures that opens the breaker; a single answer may be lost.
const MIN_FAILURES: u32 = 2;
/// Probe interval of a node that others rely on, and the minimum for all others.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum probe interval of a node that gets no answers while others do. The node must be in
/// contact again well within the bounds on configuration, which are 2 s and more.
const MAX_OWN_PROBE_INTERVAL: Duration = Duration::from_millis(1600);
/// Maximum probe interval while no other node reports answers; with [`SPREAD`] it bounds the
/// time to notice the store's return without an upstream. That is four seconds at most; the
/// strictest bound on a change is three seconds of contact and two for the change itself.
pub const MAX_SHARED_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Probe interval of a node that has no contact with other nodes.
const SINGLE_NODE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Jitter of the probe interval as a share of it, so that nodes that failed together don't
/// probe together.
const SPREAD: f64 = 0.5;

/// How often the store is probed while it is away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbePolicy {
    /// Probes per second of all nodes together.
    pub calls_per_second: f64,
    /// Number of nodes, including this one.
    pub nodes: usize,
    /// Whether other nodes rely on this one to detect the store's return.
    pub relied_on: bool,
}

/// Whether upstreams get answers from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamState {
    Unknown,
    Answering,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Calls are made; `failures` consecutive ones have failed, from `since` on.
    Closed { failures: u32, since: Instant },
    /// Calls are refused until the next probe.
    Open { next_probe: Instant, failed_probes: u32 },
}

/// The closed state after an answer.
const ANSWERED: State = State::Closed { failures: 0, since: Instant::from_micros(0) };

/// Decides which calls to the record store are made.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    policy: ProbePolicy,
    upstream: UpstreamState,
    state: State,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(policy: ProbePolicy) -> Self {
        Self { policy, upstream: UpstreamState::Unknown, state: ANSWERED }
    }

    /// Sets the number of nodes, including this one.
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

    /// Records an answer of the store, which closes the breaker.
    pub fn note_answer(&mut self) {
        self.state = ANSWERED;
    }

    /// Records a failed call whose answer was due at `due_at`.
    pub fn note_failure(&mut self, now: Instant, due_at: Instant, draw: f64) {
        let State::Closed { failures, since } = self.state else { return };
        let since = if failures == 0 { due_at } else { since.min(due_at) };
        let failures = failures.saturating_add(1);
        self.state = State::Closed { failures, since };
        if failures >= MIN_FAILURES && now.since(since) >= FAILURE_TIME {
            self.open(now, draw);
        }
    }

    /// Records an upstream's report that the store doesn't answer it.
    pub fn note_upstream_unreachable(&mut self, now: Instant, draw: f64) {
        self.upstream = UpstreamState::Unknown;
        if !self.is_open() {
            self.open(now, draw);
        }
    }

    /// Records an upstream's report that the store answers. The first such report makes a probe
    /// due at once; returns whether that happened.
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
        // The first probe is at a random point of the interval.
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

/// Adds jitter to an interval; its average stays the same.
fn spread(probe_interval: Duration, draw: f64) -> Duration {
    probe_interval.mul_f64(1.0 + SPREAD * (draw.clamp(0.0, 1.0) - 0.5))
}
