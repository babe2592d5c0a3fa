//! Which nodes a worker tells directly that it lives.
//!
//! A front judges by the workers that it hears whether it is cut off, and hands jobs
//! to those that it hears. For that it needs some workers, not all: telling every node
//! of every worker would be nodes times workers, 148,000 datagrams a second where 150
//! workers tell 986 nodes. What all workers do together is in the sums of the
//! aggregators.
//!
//! Each node hears the workers that a hash of both names: nobody agrees on anything, a
//! worker looks at each node once, and views that differ for a moment only cost a
//! hello.

use crate::identity::{stable_pair_hash, NodeId};

/// Workers that each node hears at most on average, and half as many at least; all where
/// there are no more. That a node hears none by chance has a probability of 2^-25 at
/// most: with 25 workers, which fall into two parts.
const WORKERS_PER_NODE: usize = 24;

/// Number of parts into which the workers fall, one of which a node hears.
pub(super) fn parts(workers: usize) -> u64 {
    workers.div_ceil(WORKERS_PER_NODE).max(1) as u64
}

/// Whether one of `workers` workers tells a node directly that it lives.
pub fn sends_heartbeat(worker: NodeId, workers: usize, node: NodeId) -> bool {
    let parts = parts(workers);
    parts == 1 || stable_pair_hash(worker.0, node.0).is_multiple_of(parts)
}
