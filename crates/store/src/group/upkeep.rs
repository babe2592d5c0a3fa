//! What a leader does now and then: lapsed leases, old jobs, lost members.

use super::runner::{wall_seconds, Runner};
use super::PresentNodes;
use crate::disk::DiskFault;
use crate::lease_desk::unknown_results;
use crate::proposals::Waiter;
use latchwheel_core::identity::NodeId;
use latchwheel_core::replication::replacement::{next_members, GroupHealth};
use latchwheel_core::replication::{Action, Event, Role};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{Command, JobRecord, RemoveJob};
use std::collections::BTreeSet;
use std::time::Duration;

/// A member that was away for so long is replaced.
const REPLACE_AFTER: Duration = Duration::from_secs(10);

impl Runner {
    pub(super) fn note_present(&mut self, now: Instant, present: PresentNodes) {
        let alive: BTreeSet<u64> = present.replicas.iter().map(|replica| replica.replica).collect();
        for replica in &self.core.members().replicas {
            if alive.contains(&replica.replica) || replica.replica == self.me {
                self.lost_since.remove(&replica.replica);
            } else {
                self.lost_since.entry(replica.replica).or_insert(now);
            }
        }
        self.present = present;
    }

    pub(super) fn upkeep(&mut self, now: Instant, actions: &mut Vec<Action>) -> Result<(), DiskFault> {
        for grant in self.proposals.expire() {
            if let Some(desk) = self.desk.as_mut() {
                desk.drop_held(grant);
            }
        }
        if self.core.role() != Role::Leader {
            return Ok(());
        }
        let nodes = &self.present.nodes;
        if let Some(desk) = self.desk.as_mut() {
            let is_present = |node: NodeId| nodes.is_empty() || nodes.contains(&node.0);
            let lapsed = desk.leasing.expire(now, &self.state, is_present);
            for (job, positions) in lapsed.unknown {
                let command = unknown_results(job, &positions, wall_seconds());
                self.propose(now, &command, Waiter::Nobody, actions);
            }
        }
        self.remove_old_jobs(now, actions);
        self.replace_lost(now, actions);
        Ok(())
    }

    pub(super) fn remove_old_jobs(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let seconds = wall_seconds();
        let is_over = |record: &JobRecord| {
            let retention = self.rows.get(&record.row).map_or(0, |row| row.retention_seconds);
            retention > 0 && record.ended_seconds > 0 && record.ended_seconds + retention < seconds
        };
        let old = self.state.jobs().find(|job| job.has_ended() && is_over(&job.record));
        if let Some(job) = old.map(|job| job.record.job.clone()) {
            let command = Command { body: Some(Body::RemoveJob(RemoveJob { job })) };
            self.propose(now, &command, Waiter::Nobody, actions);
        }
    }

    pub(super) fn replace_lost(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let lost: BTreeSet<u64> = self
            .lost_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= REPLACE_AFTER)
            .map(|(replica, _)| *replica)
            .collect();
        let caught_up = self.core.caught_up_learners();
        let health = GroupHealth {
            members: self.core.members(),
            live: &self.present.replicas,
            lost: &lost,
            caught_up: &caught_up,
            target_voters: self.wanted,
            leader: self.me,
        };
        if let Some(members) = next_members(health) {
            log::info!(target: "E6102", "store group {}: members become {:?}", self.group, members.replicas);
            actions.extend(self.core.handle(now, Event::ProposeMembers(members)));
        }
    }
}
