//! Choice of the owner that gets an online request.
//!
//! The node's own servers come first; another owner is chosen where it has
//! the longer cached prefix, the service, or clearly more room. Among others
//! the choice is power of two choices over the owners' summaries.

use crate::identity::NodeId;
use rand::Rng;
use std::collections::{HashMap, VecDeque};

/// A matched prefix block is worth as much as this share of a free slot.
const SCORE_PER_BLOCK: f64 = 0.125;
/// A remote owner must have this much more room to be preferred.
const FORWARD_MARGIN: f64 = 2.0;
/// Prefix blocks remembered per node for the choice of an owner.
const MAX_AFFINITY_BLOCKS: usize = 65_536;

/// What is known of an owner's room for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLoad {
    /// The owner.
    pub node: NodeId,
    /// Online requests that it could start now.
    pub free: u32,
    /// Online requests that wait at it.
    pub queued: u32,
}

impl OwnerLoad {
    fn score(&self) -> f64 {
        f64::from(self.free) - f64::from(self.queued)
    }
}

/// Remembers which owner served a prefix last.
#[derive(Debug, Default)]
pub struct Affinity {
    owners: HashMap<u64, NodeId>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// Notes that `owner` got a prompt with these blocks.
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

    /// The owner of the longest known prefix, with its length in blocks.
    pub fn longest(&self, blocks: &[u64]) -> Option<(NodeId, usize)> {
        blocks
            .iter()
            .enumerate()
            .rev()
            .find_map(|(position, block)| self.owners.get(block).map(|owner| (*owner, position + 1)))
    }
}

/// Chooses an owner among `own` and `others`; `None` where nobody has the
/// service.
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
