//! The limit on batch work that may wait on a route, over all nodes.
//!
//! No node counts for all: a node that takes a job knows what the nodes that
//! run jobs told, and what it took itself a moment ago. A job that it took
//! counts here until the node that runs it has had time to tell of it; for a
//! moment it may count twice. While the record store is away no other node can
//! learn of the job, so that it goes on counting here.

use crate::dispatch::RouteKey;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time in which a node that runs a new job hears of it and tells others: the
/// one that it was assigned to may be dead, so that another takes it over once
/// its lease has run out (4.5 s).
pub const HANDOVER_TIME: Duration = Duration::from_secs(6);
/// Time for which a job that is kept on disks counts where it was taken: the
/// store has to come back first.
const SPOOLED_TIME: Duration = Duration::from_secs(10);
/// Part of the permitted excess that a node makes use of: figures are late, and
/// a job that would have fitted must not be refused.
const USED_EXCESS: f64 = 0.5;

/// The limit of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimit {
    /// Tokens that may wait.
    pub tokens: u64,
    /// Share of these by which they may be exceeded.
    pub excess: f64,
}

impl QueueLimit {
    /// Whether `tokens` more may wait where `queued` do.
    pub fn fits(&self, queued: u64, tokens: u64) -> bool {
        let most = self.tokens as f64 * (1.0 + self.excess * USED_EXCESS);
        queued.saturating_add(tokens) as f64 <= most
    }
}

#[derive(Debug)]
struct Pending {
    route: RouteKey,
    tokens: u64,
    until: Instant,
}

/// The jobs that a node took lately, which others don't tell of yet.
#[derive(Debug, Default)]
pub struct PendingJobs {
    jobs: HashMap<String, Pending>,
}

impl PendingJobs {
    /// A job is being taken; one that comes again counts once.
    pub fn note(&mut self, now: Instant, route: RouteKey, job: &str, tokens: u64) {
        let pending = Pending { route, tokens, until: now + HANDOVER_TIME };
        self.jobs.insert(job.to_owned(), pending);
    }

    /// A job is kept on disks, since the store did not take it in time.
    pub fn note_spooled(&mut self, now: Instant, job: &str) {
        if let Some(pending) = self.jobs.get_mut(job) {
            pending.until = now + SPOOLED_TIME;
        }
    }

    /// A job was not taken after all.
    pub fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Whether the job is among them.
    pub fn holds(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Time passes. While the store is away, no job is handed over.
    pub fn tick(&mut self, now: Instant, store_away: bool) {
        if store_away {
            self.jobs.values_mut().for_each(|pending| pending.until = pending.until.max(now + HANDOVER_TIME));
        }
        self.jobs.retain(|_, pending| pending.until > now);
    }

    /// Tokens of a route.
    pub fn tokens(&self, route: RouteKey) -> u64 {
        self.jobs.values().filter(|pending| pending.route == route).map(|pending| pending.tokens).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
