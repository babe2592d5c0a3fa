//! Rate limits of tenants over all nodes, by permits.
//!
//! A tenant's limit is one token bucket, kept by one node at a time: its *home*.
//! Any node that has a request of the tenant asks the home for a permit, some
//! ahead where many requests come. A permit is used by one request, within
//! [`PERMIT_TTL`]. Few nodes are homes; rendezvous hashing orders them for each
//! tenant, so that nothing is agreed upon and each carries an even part.
//!
//! Invariants:
//! - A home grants no more than its bucket holds.
//! - A home grants only while it hears most nodes, and none of the homes that come
//!   before it ([`PermitIssuer::may_grant`]): two homes of one tenant grant at once
//!   only where these two can't hear each other and each hears most nodes.
//! - What may go wrong beyond that (a home that restarts knows nothing, a permit is
//!   used up to its life later, a node that reaches no home uses a small part of its
//!   own) is taken from the margin that the operator allows ([`LimitMargin`]).

mod client;
mod issuer;

pub use client::{PermitCall, PermitClient, PermitOutcome, TenantOutcome};
pub use issuer::{Grant, PermitIssuer};

use crate::identity::{stable_pair_hash, NodeId};
use crate::tenants::{RateLimit, TenantKey};
use std::time::Duration;

/// Time in which a permit must be used, counted from the sending of the call that
/// it was granted to. What is allowed in a window grows by the rate in this time.
pub const PERMIT_TTL: Duration = Duration::from_millis(300);

/// By how much a limit may be exceeded in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitMargin {
    /// Length of the window.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub share: f64,
    /// Requests beside that share.
    pub requests: f64,
}

impl Default for LimitMargin {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), share: 0.0, requests: 0.0 }
    }
}

/// Parts of the margin: one for the bucket, one for each home that starts anew (up to
/// four in a window where the homes restart in turn); the rest is for nodes that reach
/// no home. By the seeded schedules: with 0.5 and 0.25 one in 24 broke the limit.
const BUCKET_SHARE: f64 = 0.4;
const START_SHARE: f64 = 0.1;

impl LimitMargin {
    /// Requests by which a limit may be exceeded in a window.
    fn of(&self, limit: &RateLimit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        allowed * self.share + self.requests
    }

    /// Permits that a bucket holds at most.
    fn capacity(&self, limit: &RateLimit) -> f64 {
        let late = limit.per_second * PERMIT_TTL.as_secs_f64();
        (limit.burst + self.of(limit) * BUCKET_SHARE - late).max(1.0)
    }

    /// Permits that a home has which knows nothing of those granted before.
    fn initial_level(&self, limit: &RateLimit) -> f64 {
        (self.of(limit) * START_SHARE).min(self.capacity(limit))
    }
}

/// A node that may keep limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coordinator {
    /// The node.
    pub node: NodeId,
    /// Whether it does so only where no other can.
    pub fallback: bool,
}

/// The homes of a tenant, the one that grants first.
pub fn coordinators_of(tenant: TenantKey, coordinators: &[Coordinator]) -> Vec<NodeId> {
    let mut ordered = coordinators.to_vec();
    ordered.sort_unstable_by_key(|coordinator| {
        (coordinator.fallback, stable_pair_hash(coordinator.node.0, tenant.0), coordinator.node)
    });
    ordered.into_iter().map(|coordinator| coordinator.node).collect()
}
