//! Periodic work of a leader: replacing lost members and expiring leases.

use super::machine::{node_of, Waiter};
use super::world::{MachineNumber, World};
use latchwheel_core::code::ResultCode;
use latchwheel_core::replication::replacement::{next_members, GroupHealth};
use latchwheel_core::replication::{Event, Role};
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{Command, CompleteItems, ItemResult, Replica};
use std::collections::BTreeSet;
use std::time::Duration;

const REPLACE_AFTER: Duration = Duration::from_millis(1500);

impl World {
    pub(super) fn upkeep(&mut self, number: MachineNumber) {
        let now = self.now;
        // The simulated membership is exact: a machine is absent while it is down
        // or paused.
        let live: Vec<Replica> = (0..self.machines.len())
            .filter(|other| self.is_alive(*other) && !self.machines[*other].paused)
            .map(|other| Replica {
                replica: self.machines[other].replica,
                node: node_of(other).0,
                zone: self.machines[other].zone.clone(),
                voter: false,
            })
            .collect();
        let alive_nodes: BTreeSet<u64> = live.iter().map(|replica| replica.node).collect();
        let alive: BTreeSet<u64> = live.iter().map(|replica| replica.replica).collect();
        let target_voters = self.machines[number].target_voters;
        let Some(running) = self.machines[number].running.as_mut() else { return };
        if running.core.role() != Role::Leader || running.blocked {
            return;
        }
        for replica in running.core.members().replicas.clone() {
            if alive.contains(&replica.replica) {
                running.lost_since.remove(&replica.replica);
            } else {
                running.lost_since.entry(replica.replica).or_insert(now);
            }
        }
        let lost: BTreeSet<u64> = running
            .lost_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= REPLACE_AFTER)
            .map(|(replica, _)| *replica)
            .collect();
        let caught_up = running.core.caught_up_learners();
        let leader = running.core.leader();
        let health = GroupHealth {
            members: running.core.members(),
            live: &live,
            lost: &lost,
            caught_up: &caught_up,
            target_voters,
            leader,
        };
        let change = next_members(health);
        let mut commands = Vec::new();
        if let Some(leasing) = running.leasing.as_mut() {
            let expired = leasing.expire(now, &running.state, |node| alive_nodes.contains(&node.0));
            commands.extend(expired.unknown.iter().map(|(job, positions)| outcome_unknown_command(job, positions)));
        }
        let mut actions = Vec::new();
        if let Some(members) = change {
            actions = running.core.handle(now, Event::ProposeMembers(members));
        }
        self.perform(number, actions);
        for command in commands {
            if self.machines[number].running.as_ref().is_some_and(|running| !running.blocked) {
                self.propose(number, command, Waiter::Nobody);
            }
        }
    }
}

fn outcome_unknown_command(job: &str, positions: &[u64]) -> Command {
    let result = |position: &u64| ItemResult {
        position: *position,
        code: ResultCode::OutcomeUnknown.number(),
        ..ItemResult::default()
    };
    let results = positions.iter().map(result).collect();
    Command { body: Some(Body::CompleteItems(CompleteItems { job: job.into(), results, at_seconds: 0 })) }
}
