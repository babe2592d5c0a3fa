//! Selection of the nodes to which a worker sends heartbeats directly.
//!
//! A front detects a partition by the workers that it receives heartbeats from, and assigns
//! jobs to them. Some workers are enough for that: heartbeats from all workers to all nodes
//! would grow with the product of both. The load of all workers is in the sums of the
//! aggregators.
//!
//! Each node receives heartbeats from the workers that a hash of both names selects. That needs
//! no agreement; while views differ, the only cost is a superfluous or missing heartbeat.

use crate::identity::{stable_pair_hash, NodeId};

/// Mean number of workers whose heartbeats a node receives: at most this, at least half of it,
/// and all workers if there are no more. The probability that a node receives none is at most
/// 2^-25.
const WORKERS_PER_NODE: usize = 24;

/// Number of parts into which the workers are divided; a node receives heartbeats from one
/// part.
pub(super) fn parts(workers: usize) -> u64 {
    workers.div_ceil(WORKERS_PER_NODE).max(1) as u64
}

/// Whether one of `workers` workers sends heartbeats to a node directly.
pub fn sends_heartbeat(worker: NodeId, workers: usize, node: NodeId) -> bool {
    let parts = parts(workers);
    parts == 1 || stable_pair_hash(worker.0, node.0).is_multiple_of(parts)
}
