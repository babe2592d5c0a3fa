//! Selects the next member of a store group to add, promote or remove.
//!
//! One change at a time. A lost voter is removed only after its replacement
//! has become a voter, so that fault tolerance never drops.

use latchwheel_protocol::v1::{Members, Replica};
use std::collections::{BTreeMap, BTreeSet};

/// State of a store group as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct GroupHealth<'a> {
    /// The current members.
    pub members: &'a Members,
    /// Live replicas, whether members or not.
    pub live: &'a [Replica],
    /// Members that have been unreachable for longer than the grace period.
    pub lost: &'a BTreeSet<u64>,
    /// Learners that have caught up.
    pub caught_up: &'a [u64],
    /// Number of voters that the group should have.
    pub target_voters: usize,
    /// The leader, which is not removed to reduce the number of voters.
    pub leader: u64,
}

/// Members after the next change, or `None` if no change is needed.
pub fn next_members(health: GroupHealth<'_>) -> Option<Members> {
    let replicas = &health.members.replicas;
    let is_lost = |replica: &&Replica| health.lost.contains(&replica.replica);
    let voters = replicas.iter().filter(|replica| replica.voter).count();
    let lost_voters = replicas.iter().filter(|replica| replica.voter).filter(is_lost).count();
    if let Some(learner) = replicas.iter().find(|replica| !replica.voter && is_lost(replica)) {
        return Some(without(health.members, learner.replica));
    }
    if voters > health.target_voters {
        let lost = replicas.iter().filter(|replica| replica.voter).find(is_lost);
        let removed = lost.map(|replica| replica.replica).or_else(|| voter_in_largest_zone(&health))?;
        return Some(without(health.members, removed));
    }
    if voters < health.target_voters || lost_voters > 0 || can_improve_spread(&health) {
        if let Some(learner) = health.caught_up.first() {
            return Some(with_voter(health.members, *learner));
        }
        let learners = replicas.len() - voters;
        if learners == 0 {
            return next_learner(&health).map(|replica| with_learner(health.members, replica));
        }
    }
    None
}

/// Whether a zone has several voters while a learner is in a zone without voters
/// or a live replica is in a zone without members.
fn can_improve_spread(health: &GroupHealth<'_>) -> bool {
    let zones = voters_by_zone(health);
    let empty_zone = |replica: &&Replica| health.members.replicas.iter().all(|member| member.zone != replica.zone);
    let learner_elsewhere =
        health.members.replicas.iter().any(|member| !member.voter && !zones.contains_key(member.zone.as_str()));
    zones.values().any(|count| *count > 1) && (learner_elsewhere || health.live.iter().any(|r| empty_zone(&r)))
}

fn voters_by_zone<'a>(health: &GroupHealth<'a>) -> BTreeMap<&'a str, usize> {
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in health.members.replicas.iter().filter(|replica| replica.voter) {
        *zones.entry(&replica.zone).or_default() += 1;
    }
    zones
}

/// A voter other than the leader, from the zone with the most voters.
fn voter_in_largest_zone(health: &GroupHealth<'_>) -> Option<u64> {
    let zones = voters_by_zone(health);
    let others = health.members.replicas.iter().filter(|replica| replica.voter && replica.replica != health.leader);
    others
        .max_by_key(|replica| (zones.get(replica.zone.as_str()).copied(), replica.replica))
        .map(|replica| replica.replica)
}

/// A live replica that is not a member, from the zone with the fewest members that are not lost.
fn next_learner<'a>(health: &GroupHealth<'a>) -> Option<&'a Replica> {
    let mut by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let members: BTreeSet<u64> = health.members.replicas.iter().map(|replica| replica.replica).collect();
    for replica in &health.members.replicas {
        if !health.lost.contains(&replica.replica) {
            *by_zone.entry(&replica.zone).or_default() += 1;
        }
    }
    health
        .live
        .iter()
        .filter(|replica| !members.contains(&replica.replica))
        .min_by_key(|replica| (by_zone.get(replica.zone.as_str()).copied().unwrap_or(0), replica.replica))
}

/// Initial members of a group: live replicas spread over the zones.
pub fn first_members(live: &[Replica], target_voters: usize) -> Members {
    let mut members = Members::default();
    let lost = BTreeSet::new();
    while members.replicas.len() < target_voters {
        let health = GroupHealth { members: &members, live, lost: &lost, caught_up: &[], target_voters, leader: 0 };
        let Some(replica) = next_learner(&health).cloned() else { break };
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
