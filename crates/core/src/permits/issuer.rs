//! Coordinator side: holds the buckets of tenants and grants permits.

use super::LimitMargin;
use crate::identity::{HashKeyMap, NodeId};
use crate::tenants::{RateLimit, TenantKey};
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// A node counts as reachable for this time after its last message.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(450);
/// A coordinator without messages for this time counts as unreachable. Longer than
/// [`CONTACT_TIMEOUT`], so that a partitioned coordinator stops granting first.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(600);
/// After a longer gap between ticks another coordinator may have taken over.
const MAX_TICK_GAP: Duration = Duration::from_millis(450);
/// Share of a bucket that is reserved for waiting requests.
const URGENT_RESERVE: f64 = 0.3;
/// Maximum retry-after time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Answer to a call for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Granted permits; waiting requests come first.
    pub granted: u32,
    /// Time after which the first refused request can expect a permit.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    /// Refused requests that have a retry-after time and no permit yet.
    promised: f64,
    at: Instant,
}

/// Buckets of the tenants that this node coordinates.
#[derive(Debug)]
pub struct PermitIssuer {
    margin: LimitMargin,
    /// Start of the current period in which this node receives messages from most nodes.
    coverage_since: Option<Instant>,
    ticked_at: Instant,
    buckets: HashMap<TenantKey, Bucket>,
    /// Time of the last message from each node.
    contacts: HashKeyMap<u64, Instant>,
    pruned_at: Instant,
}

impl PermitIssuer {
    /// Creates an issuer that starts at `now`.
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

    /// Records a message from another node.
    pub fn note_contact(&mut self, now: Instant, node: NodeId) {
        self.contacts.insert(node.0, now);
    }

    /// Updates the coverage; call several times per [`CONTACT_TIMEOUT`]. `other_nodes` is the
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

    /// Time from which this node may grant permits of a tenant; `None` if it may not.
    /// `before` lists the coordinators that precede it for the tenant.
    pub fn may_grant(&self, now: Instant, before: &[NodeId]) -> Option<Instant> {
        let since = self.coverage_since.filter(|_| now.since(self.ticked_at) <= MAX_TICK_GAP)?;
        match before.iter().filter_map(|coordinator| self.contacts.get(&coordinator.0)).max() {
            Some(at) if now.since(*at) < COORDINATOR_TIMEOUT => None,
            Some(at) => Some(since.max(*at)),
            None => Some(since),
        }
    }

    /// Grants permits of a tenant for `urgent` waiting requests and up to `ahead` more.
    /// Grants made by other coordinators before `since` are not counted.
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
            // Another coordinator may have granted permits in between.
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

    /// Drops buckets that are full again and nodes that stopped sending messages.
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
