//! Limit on the batch work that waits on a route, over all nodes.
//!
//! No node counts for all others. A node that accepts a job adds the queues reported
//! by the nodes that run jobs to the jobs that it accepted recently. An accepted job
//! counts here until the node that runs it has had time to report it, so it may count
//! twice for a short time. While the record store is unreachable, no other node can
//! take over the job, so it keeps counting here.

use crate::dispatch::RouteKey;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time within which a new job appears in the reports of the node that runs it. If the
/// node that it was assigned to is dead, another takes over after the lease (4.5 s).
pub const HANDOVER_TIME: Duration = Duration::from_secs(6);
/// Time for which a spooled job counts at the node that accepted it: the store must
/// return first.
const SPOOLED_TIME: Duration = Duration::from_secs(10);
/// Part of the permitted excess that a node uses. Reports lag, and a job within the
/// limit must not be refused.
const USED_EXCESS: f64 = 0.5;

/// Limit of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimit {
    /// Maximum number of waiting tokens.
    pub tokens: u64,
    /// Fraction by which `tokens` may be exceeded.
    pub excess: f64,
}

impl QueueLimit {
    /// Whether `tokens` more may wait in addition to `queued`.
    pub fn fits(&self, queued: u64, tokens: u64) -> bool {
        let max_tokens = self.tokens as f64 * (1.0 + self.excess * USED_EXCESS);
        queued.saturating_add(tokens) as f64 <= max_tokens
    }
}

#[derive(Debug)]
struct PendingJob {
    route: RouteKey,
    tokens: u64,
    counted_until: Instant,
}

/// Recently accepted jobs of a node that other nodes may not report yet.
#[derive(Debug, Default)]
pub struct PendingJobs {
    jobs: HashMap<String, PendingJob>,
}

impl PendingJobs {
    /// Records that a job is being accepted; a repeated job counts once.
    pub fn note(&mut self, now: Instant, route: RouteKey, job: &str, tokens: u64) {
        let pending = PendingJob { route, tokens, counted_until: now + HANDOVER_TIME };
        self.jobs.insert(job.to_owned(), pending);
    }

    /// Records that a job was spooled because the store did not accept it in time.
    pub fn note_spooled(&mut self, now: Instant, job: &str) {
        if let Some(pending) = self.jobs.get_mut(job) {
            pending.counted_until = now + SPOOLED_TIME;
        }
    }

    /// Removes a job that was not accepted.
    pub fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Whether the job is pending.
    pub fn holds(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Removes jobs that other nodes report by now. No job expires while the store is
    /// unreachable.
    pub fn tick(&mut self, now: Instant, store_unreachable: bool) {
        if store_unreachable {
            self.jobs
                .values_mut()
                .for_each(|pending| pending.counted_until = pending.counted_until.max(now + HANDOVER_TIME));
        }
        self.jobs.retain(|_, pending| pending.counted_until > now);
    }

    /// Tokens of the pending jobs of a route.
    pub fn tokens(&self, route: RouteKey) -> u64 {
        self.jobs.values().filter(|pending| pending.route == route).map(|pending| pending.tokens).sum()
    }

    /// Whether no job is pending.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
