//! Chooses the owner node that handles an online request.
//!
//! The node prefers its own servers, unless another owner has a clearly better score from
//! free slots, queue length and cached prefix. Candidates are the owner of the longest
//! cached prefix and two owners picked at random (power of two choices).

use crate::identity::NodeId;
use rand::Rng;
use std::collections::{HashMap, VecDeque};

/// Score of a cached prefix block, in free slots.
const SCORE_PER_BLOCK: f64 = 0.125;
/// Score, in free slots, by which a remote owner must exceed the local node.
const FORWARD_MARGIN: f64 = 2.0;
/// Maximum number of prefix blocks in [`Affinity`].
const MAX_AFFINITY_BLOCKS: usize = 65_536;

/// Load of an owner for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLoad {
    /// Owner node.
    pub node: NodeId,
    /// Free slots for online requests.
    pub free: u32,
    /// Online requests in its queue.
    pub queued: u32,
}

impl OwnerLoad {
    fn score(&self) -> f64 {
        f64::from(self.free) - f64::from(self.queued)
    }
}

/// Maps prompt prefixes to the owner that served them last.
#[derive(Debug, Default)]
pub struct Affinity {
    owners: HashMap<u64, NodeId>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// Records that a prompt with these blocks was sent to `owner`.
    pub fn note(&mut self, blocks: &[u64], owner: NodeId) {
        for block in blocks {
            if self.owners.insert(*block, owner).is_none() {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > MAX_AFFINITY_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.owners.remove(&oldest);
            }
        }
    }

    /// Owner of the longest recorded prefix, and its length in blocks.
    pub fn longest(&self, blocks: &[u64]) -> Option<(NodeId, usize)> {
        blocks
            .iter()
            .enumerate()
            .rev()
            .find_map(|(position, block)| self.owners.get(block).map(|owner| (*owner, position + 1)))
    }
}

/// Chooses the local node (`own`) or one of `others`; `None` if no owner has the service.
pub fn choose_owner(
    own: Option<OwnerLoad>,
    others: &[OwnerLoad],
    affinity: Option<(NodeId, usize)>,
    random: &mut impl Rng,
) -> Option<NodeId> {
    let total_score = |load: &OwnerLoad| match affinity {
        Some((owner, blocks)) if owner == load.node && load.queued == 0 => {
            load.score() + blocks as f64 * SCORE_PER_BLOCK
        }
        _ => load.score(),
    };
    let mut best = own.map(|load| (load.node, total_score(&load) + FORWARD_MARGIN));
    let mut consider = |load: &OwnerLoad| {
        let score = total_score(load);
        if best.is_none_or(|(_, best_score)| score > best_score) {
            best = Some((load.node, score));
        }
    };
    if let Some((owner, _)) = affinity {
        others.iter().filter(|load| load.node == owner).for_each(&mut consider);
    }
    if !others.is_empty() {
        for _ in 0..2 {
            consider(&others[random.random_range(0..others.len())]);
        }
    }
    best.map(|(node, _)| node)
}
