//! Preferred workers of a server: the nodes that run deferrable work there first.
//!
//! Preemption requests are sent to these few nodes directly, so that nobody has to track which
//! nodes run deferrable work at the server. Other nodes may run work there too, and preempt it
//! later, when reports show the congestion.

use super::ServerKey;
use crate::identity::{stable_pair_hash, NodeId};

/// Number of preferred workers of a server.
const PREFERRED_WORKERS: usize = 3;

/// Returns the preferred workers of a server: the first ones by rendezvous hashing.
pub fn preferred_workers(server: ServerKey, nodes: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
    let mut nodes: Vec<NodeId> = nodes.collect();
    nodes.sort_unstable_by_key(|node| std::cmp::Reverse(stable_pair_hash(node.0, u64::from(server.0))));
    nodes.truncate(PREFERRED_WORKERS);
    nodes
}

/// Whether `own` is one of the preferred workers of a server, among `others` and itself. Stops
/// after a few nodes that rank higher.
pub fn is_preferred_worker(server: ServerKey, own: NodeId, others: impl Iterator<Item = NodeId>) -> bool {
    let rank = |node: NodeId| stable_pair_hash(node.0, u64::from(server.0));
    let own_rank = rank(own);
    others.filter(|other| *other != own && rank(*other) > own_rank).take(PREFERRED_WORKERS).count() < PREFERRED_WORKERS
}
