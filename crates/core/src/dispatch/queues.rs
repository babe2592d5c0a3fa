//! Tokens of batch work that wait on each route, over all nodes.
//!
//! The node that runs a job tells how many tokens of it are unfinished. What a
//! node told stays for a while after it was heard last: its jobs go on at
//! another node only later, and until then nobody else counts them. A node
//! that has just started tells nothing of a route before it knows its jobs; a
//! finished queue is told as zero.

use crate::identity::{stable_hash, stable_pair_hash, HashKeyMap};
use crate::time::Instant;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time for which a queue counts after it was told last: a lease has run out
/// and the jobs are loaded elsewhere by then.
const QUEUE_REPORT_TTL: Duration = Duration::from_secs(8);

/// A route, or a tenant's part of it, as nodes name it to each other: a hash of
/// the names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// The key of a route's name.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }

    /// The key of a tenant's part of a route, or of the whole route where the table
    /// knows no tenants.
    pub fn of_tenant(route: &str, tenant: Option<&str>) -> Self {
        let route = Self::of(route);
        tenant.map_or(route, |tenant| Self(stable_pair_hash(route.0, stable_hash(tenant.as_bytes()))))
    }
}

/// Unfinished batch work on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteQueue {
    /// The route.
    pub route: RouteKey,
    /// Tokens of the items that are not finished.
    pub tokens: u64,
}

/// Queues of this node. One that is empty is told as such for a while and then
/// forgotten, so that what is told does not grow with the tenants of all times.
#[derive(Debug, Default)]
pub(super) struct LocalQueues(BTreeMap<RouteKey, (Instant, u64)>);

impl LocalQueues {
    pub(super) fn set(&mut self, now: Instant, route: RouteKey, tokens: u64) {
        self.0.insert(route, (now, tokens));
        self.0.retain(|_, (at, tokens)| *tokens > 0 || now.since(*at) < QUEUE_REPORT_TTL);
    }

    /// The queues to tell, ordered by route.
    pub(super) fn to_report(&self) -> Vec<RouteQueue> {
        self.0.iter().map(|(route, (_, tokens))| RouteQueue { route: *route, tokens: *tokens }).collect()
    }
}

/// Queues of one teller, each with the time at which it was told.
#[derive(Debug, Default)]
pub(super) struct ReportedQueues(HashMap<RouteKey, (Instant, u64)>);

impl ReportedQueues {
    /// Takes what was told; routes that were not named keep what they had.
    pub(super) fn note(&mut self, now: Instant, queues: &[RouteQueue]) {
        self.0.retain(|_, (at, _)| now.since(*at) < QUEUE_REPORT_TTL);
        self.0.extend(queues.iter().map(|queue| (queue.route, (now, queue.tokens))));
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = (RouteKey, u64)> + '_ {
        let reported = self.0.iter().filter(move |(_, (at, _))| now.since(*at) < QUEUE_REPORT_TTL);
        reported.map(|(route, (_, tokens))| (*route, *tokens))
    }
}

/// The queues of other nodes.
#[derive(Debug, Default)]
pub(super) struct PeerQueues {
    nodes: HashKeyMap<u64, ReportedQueues>,
    /// The sum over the other nodes as an aggregator told it.
    sum: ReportedQueues,
}

impl PeerQueues {
    /// A node told its own queues.
    pub(super) fn note(&mut self, now: Instant, node: u64, queues: &[RouteQueue]) {
        let reported = self.nodes.entry(node).or_default();
        reported.note(now, queues);
        if reported.0.is_empty() {
            self.nodes.remove(&node);
        }
    }

    /// An aggregator told the sum over all nodes, `own` told by this one among them.
    pub(super) fn note_sum(&mut self, now: Instant, sum: &[RouteQueue], own: &[RouteQueue]) {
        let own_tokens = |route| own.iter().filter(|queue| queue.route == route).map(|queue| queue.tokens).sum();
        let others = sum.iter().map(|queue| RouteQueue {
            route: queue.route,
            tokens: queue.tokens.saturating_sub(own_tokens(queue.route)),
        });
        self.sum.note(now, &others.collect::<Vec<_>>());
    }

    /// Tokens that wait on a route at other nodes. Reports of single nodes are
    /// parts of the sum: whichever tells more counts.
    pub(super) fn tokens(&self, now: Instant, route: RouteKey) -> u64 {
        let of_route = |reported: &ReportedQueues| {
            let queues = reported.fresh(now).filter(|(key, _)| *key == route);
            queues.map(|(_, tokens)| tokens).sum::<u64>()
        };
        self.nodes.values().map(of_route).sum::<u64>().max(of_route(&self.sum))
    }

    /// The queues of all nodes, `own` among them, ordered by route.
    pub(super) fn sum_with(&self, now: Instant, own: &[RouteQueue]) -> Vec<RouteQueue> {
        let mut sum: BTreeMap<RouteKey, u64> = own.iter().map(|queue| (queue.route, queue.tokens)).collect();
        for (route, tokens) in self.nodes.values().flat_map(|reported| reported.fresh(now)) {
            *sum.entry(route).or_default() += tokens;
        }
        sum.into_iter().map(|(route, tokens)| RouteQueue { route, tokens }).collect()
    }
}
