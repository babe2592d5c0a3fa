//! Rate limits of tenants across all nodes, enforced with permits.
//!
//! The limit of a tenant is one token bucket, held by one *coordinator* at a time. A
//! node requests a permit from it for each request of the tenant, or several ahead at a
//! high rate; each permit serves one request within [`PERMIT_TTL`]. Rendezvous hashing
//! orders the few coordinators for each tenant, without any agreement protocol.
//!
//! Invariants:
//! - A coordinator grants no more than its bucket holds.
//! - A coordinator grants only while it receives messages from most nodes and from none
//!   of the coordinators that precede it ([`PermitIssuer::may_grant`]). Two coordinators
//!   grant for one tenant at once only if they are cut off from each other and each still
//!   receives messages from most nodes.
//! - [`LimitMargin`] covers the remaining excess: restarted coordinators, permits used
//!   late, and the local shares of nodes that reach no coordinator.

mod client;
mod issuer;

pub use client::{PermitCall, PermitClient, PermitOutcome, TenantOutcome};
pub use issuer::{Grant, PermitIssuer};

use crate::identity::{stable_pair_hash, NodeId};
use crate::tenants::{RateLimit, TenantKey};
use std::time::Duration;

/// Lifetime of a permit, from the sending of the call that it answers. Late use raises the
/// requests in a window by at most the rate times this duration.
pub const PERMIT_TTL: Duration = Duration::from_millis(300);

/// By how much a limit may be exceeded in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitMargin {
    /// Length of the window.
    pub window: Duration,
    /// Allowed excess as a share of the limit in a window.
    pub share: f64,
    /// Allowed excess in requests, added to the share.
    pub requests: f64,
}

impl Default for LimitMargin {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), share: 0.0, requests: 0.0 }
    }
}

/// Shares of the margin: one for the bucket, one for each coordinator that starts (up to four
/// per window); the rest covers nodes that reach no coordinator. Larger shares of the first two
/// exceed the limit in the seeded schedules.
const BUCKET_SHARE: f64 = 0.4;
const START_SHARE: f64 = 0.1;

impl LimitMargin {
    /// Requests by which a limit may be exceeded in a window.
    fn of(&self, limit: &RateLimit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        allowed * self.share + self.requests
    }

    /// Maximum number of permits in a bucket.
    fn capacity(&self, limit: &RateLimit) -> f64 {
        let late = limit.per_second * PERMIT_TTL.as_secs_f64();
        (limit.burst + self.of(limit) * BUCKET_SHARE - late).max(1.0)
    }

    /// Permits of a coordinator that has no record of earlier grants.
    fn initial_level(&self, limit: &RateLimit) -> f64 {
        (self.of(limit) * START_SHARE).min(self.capacity(limit))
    }
}

/// A node that can hold the buckets of tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coordinator {
    /// The node.
    pub node: NodeId,
    /// Whether it serves only if no regular coordinator can.
    pub fallback: bool,
}

/// Returns the coordinators of a tenant in order of precedence.
pub fn coordinators_of(tenant: TenantKey, coordinators: &[Coordinator]) -> Vec<NodeId> {
    let mut ordered = coordinators.to_vec();
    ordered.sort_unstable_by_key(|coordinator| {
        (coordinator.fallback, stable_pair_hash(coordinator.node.0, tenant.0), coordinator.node)
    });
    ordered.into_iter().map(|coordinator| coordinator.node).collect()
}
