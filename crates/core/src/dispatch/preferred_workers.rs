//! Which nodes run deferrable work at a server first.
//!
//! Whoever wants such work to give way asks these few nodes directly, so that
//! nobody has to know, or to ask, all nodes that might have some there. Any
//! node may run work anywhere; what others run gives way a little later, when
//! they hear how crowded the server is.

use super::ServerKey;
use crate::identity::{stable_pair_hash, NodeId};

/// Nodes that run deferrable work at one server first.
const PREFERRED_WORKERS: usize = 3;

/// The nodes that rendezvous hashing names first for a server.
pub fn preferred_workers(server: ServerKey, nodes: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
    let mut nodes: Vec<NodeId> = nodes.collect();
    nodes.sort_unstable_by_key(|node| std::cmp::Reverse(stable_pair_hash(node.0, u64::from(server.0))));
    nodes.truncate(PREFERRED_WORKERS);
    nodes
}

/// Whether a node is among the first of `others` and itself for a server. Most nodes
/// find out after looking at a few: workers ask for each of 10,000 servers.
pub fn is_preferred_worker(server: ServerKey, own: NodeId, others: impl Iterator<Item = NodeId>) -> bool {
    let rank = |node: NodeId| stable_pair_hash(node.0, u64::from(server.0));
    let own_rank = rank(own);
    others.filter(|other| *other != own && rank(*other) > own_rank).take(PREFERRED_WORKERS).count() < PREFERRED_WORKERS
}
