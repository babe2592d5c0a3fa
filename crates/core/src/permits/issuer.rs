//! The home of tenants: it keeps their buckets and grants permits.

use super::LimitMargin;
use crate::identity::{HashKeyMap, NodeId};
use crate::tenants::{RateLimit, TenantKey};
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// A node counts as heard for this time: every node tells the homes of itself each
/// 150 ms, and datagrams may be lost.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(450);
/// A home that is not heard for this time is taken to be away. Longer than
/// [`CONTACT_TIMEOUT`]: one that is cut off grants no more by then.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(600);
/// A process that did nothing for this time may have been replaced meanwhile.
const MAX_TICK_GAP: Duration = Duration::from_millis(450);
/// Permits are granted ahead only as long as this part of a bucket is left.
const URGENT_RESERVE: f64 = 0.3;
/// Longest time that a caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time between two looks for buckets that are full again.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// What a home answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Permits, for those that wait first.
    pub granted: u32,
    /// Time after which there is one for the first that got none.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    /// Requests that were told to come back and for which there was no permit yet.
    promised: f64,
    at: Instant,
}

/// The buckets of the tenants whose home this node is.
#[derive(Debug)]
pub struct PermitIssuer {
    margin: LimitMargin,
    /// Since when it hears most nodes without a break.
    coverage_since: Option<Instant>,
    ticked_at: Instant,
    buckets: HashMap<TenantKey, Bucket>,
    /// When each node was heard last.
    contacts: HashKeyMap<u64, Instant>,
    pruned_at: Instant,
}

impl PermitIssuer {
    /// A home that starts `now`.
    pub fn new(now: Instant, margin: LimitMargin) -> Self {
        Self {
            margin,
            coverage_since: None,
            ticked_at: now,
            buckets: HashMap::new(),
            contacts: HashKeyMap::default(),
            pruned_at: now,
        }
    }

    /// Another node was heard.
    pub fn note_contact(&mut self, now: Instant, node: NodeId) {
        self.contacts.insert(node.0, now);
    }

    /// Time passes; to be told several times in [`CONTACT_TIMEOUT`]. `other_nodes` is the
    /// number of the other nodes.
    pub fn tick(&mut self, now: Instant, other_nodes: usize) {
        let paused = now.since(self.ticked_at) > MAX_TICK_GAP;
        self.ticked_at = now;
        let contacts = self.contacts.values().filter(|at| now.since(**at) < CONTACT_TIMEOUT).count();
        if paused || contacts * 2 < other_nodes {
            self.coverage_since = None;
        } else {
            self.coverage_since.get_or_insert(now);
        }
    }

    /// Since when this home is the one that grants, given those that come before it
    /// for the tenant; `None` if it is not.
    pub fn may_grant(&self, now: Instant, before: &[NodeId]) -> Option<Instant> {
        let since = self.coverage_since.filter(|_| now.since(self.ticked_at) <= MAX_TICK_GAP)?;
        match before.iter().filter_map(|coordinator| self.contacts.get(&coordinator.0)).max() {
            Some(at) if now.since(*at) < COORDINATOR_TIMEOUT => None,
            Some(at) => Some(since.max(*at)),
            None => Some(since),
        }
    }

    /// Grants permits of a tenant for `urgent` requests that wait and up to `ahead`
    /// more. This home grants since `since`; what was granted before is not known.
    pub fn grant(
        &mut self,
        now: Instant,
        tenant: TenantKey,
        limit: &RateLimit,
        since: Instant,
        urgent: u32,
        ahead: u32,
    ) -> Grant {
        self.prune(now);
        let (capacity, initial_level) = (self.margin.capacity(limit), self.margin.initial_level(limit));
        let rate = limit.per_second.max(f64::MIN_POSITIVE);
        let bucket = self.buckets.entry(tenant).or_insert(Bucket { level: initial_level, promised: 0.0, at: since });
        if bucket.at < since {
            // Another home granted in between.
            *bucket = Bucket { level: initial_level, promised: 0.0, at: since };
        }
        let gained = now.since(bucket.at).as_secs_f64() * rate;
        bucket.level = (bucket.level + gained).min(capacity);
        bucket.promised = (bucket.promised - gained).max(0.0);
        bucket.at = now;
        let for_urgent = urgent.min(bucket.level as u32);
        bucket.level -= f64::from(for_urgent);
        let spare = (bucket.level - capacity * URGENT_RESERVE).max(0.0) as u32;
        let for_ahead = if for_urgent == urgent { ahead.min(spare) } else { 0 };
        bucket.level -= f64::from(for_ahead);
        let wait = (1.0 - bucket.level + bucket.promised).max(0.0) / rate;
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        bucket.promised = (bucket.promised + f64::from(urgent - for_urgent)).min(rate * longest);
        Grant { granted: for_urgent + for_ahead, retry_after: Duration::from_secs_f64(wait.min(longest)) }
    }

    /// Forgets buckets that are full again, and nodes that are not heard any more.
    fn prune(&mut self, now: Instant) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let window = self.margin.window;
        self.buckets.retain(|_, bucket| now.since(bucket.at) < window * 4);
        self.contacts.retain(|_, at| now.since(*at) < window * 4);
    }
}
