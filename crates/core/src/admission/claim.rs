//! Claims of requests on slots.

use crate::dispatch::{Prompt, RouteKey};
use crate::identity::NodeId;
use crate::tenants::TenantKey;
use crate::time::Instant;

/// Prompt tokens that occupy a slot about as long as one output token: prefill handles many
/// tokens at a time, decoding one.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 10;

/// Identifies a claim among all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// Node that received the request.
    pub node: NodeId,
    /// Number of the claim at that node.
    pub number: u64,
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Its identity.
    pub id: ClaimId,
    /// Precedence; zero goes first.
    pub precedence: u32,
    /// Version of the routing table that the precedence is from.
    pub table_version: u64,
    /// Tenant of the request; callers without one share the default key.
    pub tenant: TenantKey,
    /// Route of the request.
    pub route: RouteKey,
    /// Work in prompt tokens ([`work_of`]).
    pub work: u64,
    /// Latest time for a slot to meet the latency target.
    pub timely_until: Instant,
    /// Time at which it is refused, early enough for its caller to retry.
    pub waits_until: Instant,
}

impl Claim {
    /// Whether it meets its latency target if it gets a slot now.
    pub fn is_timely(&self, now: Instant) -> bool {
        now <= self.timely_until
    }
}

/// Work of a prompt and its output, in prompt tokens; at least one.
pub fn work_of(prompt: &Prompt) -> u64 {
    let output = u64::from(prompt.output_tokens) * PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    (u64::from(prompt.tokens()) + output).max(1)
}
