//! Assigns servers to owner nodes by rendezvous hashing with bounded loads.
//!
//! Ownership serves efficiency only; correctness does not depend on it.

use crate::identity::{stable_pair_hash, NodeId, ServerId};
use std::collections::BTreeMap;

/// Maximum share of a node as a multiple of the mean, rounded up to whole servers
/// (Mirrokni et al., "Consistent Hashing with Bounded Loads").
const MAX_SHARE_FACTOR: f64 = 1.25;

/// A node that may own servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Node identity.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
}

/// A server that needs an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedServer {
    /// Server identity.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: String,
    /// Region of the server.
    pub region: String,
}

/// Assigns each server to one of the live `nodes` of its zone, or of its region if the zone
/// has none. A server whose region has no live node gets no owner.
pub fn assign(nodes: &[OwnerCandidate], servers: &[OwnedServer]) -> BTreeMap<ServerId, NodeId> {
    let mut by_candidates: BTreeMap<Vec<NodeId>, Vec<ServerId>> = BTreeMap::new();
    for server in servers {
        let candidates = candidates_for(nodes, server);
        if !candidates.is_empty() {
            by_candidates.entry(candidates).or_default().push(server.server);
        }
    }
    let mut owners = BTreeMap::new();
    for (candidates, mut group) in by_candidates {
        group.sort_unstable();
        assign_group(&candidates, &group, &mut owners);
    }
    owners
}

fn candidates_for(nodes: &[OwnerCandidate], server: &OwnedServer) -> Vec<NodeId> {
    let in_region = || nodes.iter().filter(|node| node.region == server.region);
    let mut candidates: Vec<NodeId> =
        in_region().filter(|node| node.zone == server.zone).map(|node| node.node).collect();
    if candidates.is_empty() {
        candidates = in_region().map(|node| node.node).collect();
    }
    candidates.sort_unstable();
    candidates
}

fn assign_group(candidates: &[NodeId], servers: &[ServerId], owners: &mut BTreeMap<ServerId, NodeId>) {
    let mean = servers.len() as f64 / candidates.len() as f64;
    let bound = (mean * MAX_SHARE_FACTOR).ceil() as usize;
    let mut shares: BTreeMap<NodeId, usize> = BTreeMap::new();
    for server in servers {
        let best = candidates
            .iter()
            .filter(|node| shares.get(node).copied().unwrap_or(0) < bound)
            .max_by_key(|node| stable_pair_hash(node.0, server.0));
        if let Some(node) = best {
            *shares.entry(*node).or_default() += 1;
            owners.insert(*server, *node);
        }
    }
}

/// The node that rendezvous hashing selects for a name; `None` without nodes.
pub fn rendezvous_first(name_hash: u64, nodes: impl Iterator<Item = NodeId>) -> Option<NodeId> {
    nodes.max_by_key(|node| stable_pair_hash(node.0, name_hash))
}

/// Whether `node` is among the first `count` nodes in the rendezvous order of a name;
/// `others` may contain the node itself.
pub fn is_in_rendezvous_top(node: NodeId, name_hash: u64, others: impl Iterator<Item = NodeId>, count: usize) -> bool {
    let own_hash = stable_pair_hash(node.0, name_hash);
    others.filter(|other| stable_pair_hash(other.0, name_hash) > own_hash).take(count).count() < count
}
