//! Unfinished batch work on each route over all nodes, in tokens.
//!
//! The node that runs a job reports how many of its tokens are unfinished. A reported queue
//! counts for a while after the last report of the node: its jobs continue at another node only
//! later, and until then no other node counts them. A node that has just started omits a route
//! until it has loaded its jobs; a finished queue is reported as zero.

use crate::identity::{stable_hash, stable_pair_hash, HashKeyMap};
use crate::time::Instant;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time for which a queue counts after the last report: long enough for a lease to expire and
/// the jobs to be loaded at another node.
const QUEUE_REPORT_TTL: Duration = Duration::from_secs(8);

/// Key of a route, or of a tenant's part of it, in messages between nodes: a hash of the names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// Returns the key of a route.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }

    /// Returns the key of a tenant's part of a route, or of the whole route if the table has no
    /// tenants.
    pub fn of_tenant(route: &str, tenant: Option<&str>) -> Self {
        let route = Self::of(route);
        tenant.map_or(route, |tenant| Self(stable_pair_hash(route.0, stable_hash(tenant.as_bytes()))))
    }
}

/// Unfinished batch work on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteQueue {
    /// Key of the route.
    pub route: RouteKey,
    /// Number of tokens of the items that are not finished.
    pub tokens: u64,
}

/// Queues of this node. An empty queue is reported for a while and then removed, so that
/// reports don't grow with the number of former tenants.
#[derive(Debug, Default)]
pub(super) struct LocalQueues(BTreeMap<RouteKey, (Instant, u64)>);

impl LocalQueues {
    pub(super) fn set(&mut self, now: Instant, route: RouteKey, tokens: u64) {
        self.0.insert(route, (now, tokens));
        self.0.retain(|_, (at, tokens)| *tokens > 0 || now.since(*at) < QUEUE_REPORT_TTL);
    }

    /// Queues to report, ordered by route.
    pub(super) fn to_report(&self) -> Vec<RouteQueue> {
        self.0.iter().map(|(route, (_, tokens))| RouteQueue { route: *route, tokens: *tokens }).collect()
    }
}

/// Queues reported by one node, each with the time of the report.
#[derive(Debug, Default)]
pub(super) struct ReportedQueues(HashMap<RouteKey, (Instant, u64)>);

impl ReportedQueues {
    /// Records reported queues; routes that are not in the report keep their values.
    pub(super) fn note(&mut self, now: Instant, queues: &[RouteQueue]) {
        self.0.retain(|_, (at, _)| now.since(*at) < QUEUE_REPORT_TTL);
        self.0.extend(queues.iter().map(|queue| (queue.route, (now, queue.tokens))));
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = (RouteKey, u64)> + '_ {
        let reported = self.0.iter().filter(move |(_, (at, _))| now.since(*at) < QUEUE_REPORT_TTL);
        reported.map(|(route, (_, tokens))| (*route, *tokens))
    }
}

/// Queues of other nodes.
#[derive(Debug, Default)]
pub(super) struct PeerQueues {
    nodes: HashKeyMap<u64, ReportedQueues>,
    /// Sum over the other nodes, received from an aggregator.
    sum: ReportedQueues,
}

impl PeerQueues {
    pub(super) fn note(&mut self, now: Instant, node: u64, queues: &[RouteQueue]) {
        let reported = self.nodes.entry(node).or_default();
        reported.note(now, queues);
        if reported.0.is_empty() {
            self.nodes.remove(&node);
        }
    }

    /// Records the sum over all nodes that an aggregator sent; `own` is this node's part of it.
    pub(super) fn note_sum(&mut self, now: Instant, sum: &[RouteQueue], own: &[RouteQueue]) {
        let own_tokens = |route| own.iter().filter(|queue| queue.route == route).map(|queue| queue.tokens).sum();
        let others = sum.iter().map(|queue| RouteQueue {
            route: queue.route,
            tokens: queue.tokens.saturating_sub(own_tokens(queue.route)),
        });
        self.sum.note(now, &others.collect::<Vec<_>>());
    }

    /// Unfinished tokens on a route at other nodes. The reports of single nodes are parts of
    /// the sum, so that the larger figure counts.
    pub(super) fn tokens(&self, now: Instant, route: RouteKey) -> u64 {
        let of_route = |reported: &ReportedQueues| {
            let queues = reported.fresh(now).filter(|(key, _)| *key == route);
            queues.map(|(_, tokens)| tokens).sum::<u64>()
        };
        self.nodes.values().map(of_route).sum::<u64>().max(of_route(&self.sum))
    }

    /// Queues of all nodes including `own`, ordered by route.
    pub(super) fn sum_with(&self, now: Instant, own: &[RouteQueue]) -> Vec<RouteQueue> {
        let mut sum: BTreeMap<RouteKey, u64> = own.iter().map(|queue| (queue.route, queue.tokens)).collect();
        for (route, tokens) in self.nodes.values().flat_map(|reported| reported.fresh(now)) {
            *sum.entry(route).or_default() += tokens;
        }
        sum.into_iter().map(|(route, tokens)| RouteQueue { route, tokens }).collect()
    }
}
