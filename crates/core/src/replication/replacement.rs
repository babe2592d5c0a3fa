//! Which member of a store group is to be added, promoted or removed next.
//!
//! One change at a time. A lost voter is removed only after its successor
//! votes, so that a replacement never lowers what the group survives.

use latchwheel_protocol::v1::{Members, Replica};
use std::collections::{BTreeMap, BTreeSet};

/// What the leader knows.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The present members.
    pub members: &'a Members,
    /// Replicas that are alive, members or not.
    pub present: &'a [Replica],
    /// Members that have been away for longer than the grace.
    pub lost: &'a BTreeSet<u64>,
    /// Learners that have caught up.
    pub caught_up: &'a [u64],
    /// Voters that the group should have.
    pub wanted: usize,
}

/// The members after the next change, or `None` where nothing is to do.
pub fn next_members(situation: Situation<'_>) -> Option<Members> {
    let replicas = &situation.members.replicas;
    let is_lost = |replica: &&Replica| situation.lost.contains(&replica.replica);
    let voters = replicas.iter().filter(|replica| replica.voter).count();
    let lost_voters = replicas.iter().filter(|replica| replica.voter).filter(is_lost).count();
    if let Some(learner) = replicas.iter().find(|replica| !replica.voter && is_lost(replica)) {
        return Some(without(situation.members, learner.replica));
    }
    if voters > situation.wanted {
        let removed = replicas.iter().filter(|replica| replica.voter).find(is_lost)?;
        return Some(without(situation.members, removed.replica));
    }
    if voters < situation.wanted || lost_voters > 0 {
        if let Some(learner) = situation.caught_up.first() {
            return Some(with_voter(situation.members, *learner));
        }
        let learners = replicas.len() - voters;
        if learners == 0 {
            return successor(&situation).map(|replica| with_learner(situation.members, replica));
        }
    }
    None
}

/// A present replica that is no member, in the zone with the fewest members.
fn successor<'a>(situation: &Situation<'a>) -> Option<&'a Replica> {
    let mut by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let members: BTreeSet<u64> = situation.members.replicas.iter().map(|replica| replica.replica).collect();
    for replica in &situation.members.replicas {
        if !situation.lost.contains(&replica.replica) {
            *by_zone.entry(&replica.zone).or_default() += 1;
        }
    }
    situation
        .present
        .iter()
        .filter(|replica| !members.contains(&replica.replica))
        .min_by_key(|replica| (by_zone.get(replica.zone.as_str()).copied().unwrap_or(0), replica.replica))
}

/// The first members of a group: present replicas spread over zones in turn.
pub fn first_members(present: &[Replica], wanted: usize) -> Members {
    let mut members = Members::default();
    let lost = BTreeSet::new();
    while members.replicas.len() < wanted {
        let situation = Situation { members: &members, present, lost: &lost, caught_up: &[], wanted };
        let Some(replica) = successor(&situation).cloned() else { break };
        members.replicas.push(Replica { voter: true, ..replica });
    }
    members
}

fn without(members: &Members, removed: u64) -> Members {
    Members { replicas: members.replicas.iter().filter(|replica| replica.replica != removed).cloned().collect() }
}

fn with_voter(members: &Members, promoted: u64) -> Members {
    let promote =
        |replica: &Replica| Replica { voter: replica.voter || replica.replica == promoted, ..replica.clone() };
    Members { replicas: members.replicas.iter().map(promote).collect() }
}

fn with_learner(members: &Members, replica: &Replica) -> Members {
    let mut replicas = members.replicas.clone();
    replicas.push(Replica { voter: false, ..replica.clone() });
    Members { replicas }
}
