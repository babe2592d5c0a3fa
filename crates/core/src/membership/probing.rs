//! Probes in the region, to other regions and of dead members.

use super::{
    is_live, Action, Membership, Probe, DEAD_RETENTION, INDIRECT_PROBES, MIN_SUSPICION_PERIODS, RELAYS,
    SUSPICION_FACTOR,
};
use crate::identity::{stable_hash, NodeId};
use crate::ownership::is_in_rendezvous_top;
use crate::time::Instant;
use latchwheel_protocol::v1::{MemberRecord, MemberStatus};
use rand::seq::{IteratorRandom, SliceRandom};
use std::collections::BTreeSet;
use std::time::Duration;

impl Membership {
    pub(super) fn check_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_mut() else { return };
        if probe.indirect || now.since(probe.sent) < self.settings.answer_timeout {
            return;
        }
        probe.indirect = true;
        let (target, sequence) = (probe.target, probe.sequence);
        let region = &self.me.region;
        let helpers: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(id, member)| **id != target && member.record.region == *region && is_live(member.record.status()))
            .map(|(id, _)| *id)
            .choose_multiple(&mut self.random, INDIRECT_PROBES);
        for helper in helpers {
            self.send(helper, sequence, target.0, false, actions);
        }
    }

    pub(super) fn suspect_unresponsive(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else { return };
        if let Some(member) = self.members.get(&probe.target) {
            if member.record.status() == MemberStatus::Alive || member.record.status() == MemberStatus::Leaving {
                let record = MemberRecord { status: MemberStatus::Suspect.into(), ..member.record.clone() };
                self.merge_record(now, record, actions);
            }
        }
    }

    pub(super) fn expire_suspects(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.suspects.is_empty() {
            return;
        }
        let limit = self.suspicion_timeout();
        let expired: Vec<MemberRecord> = self
            .suspects
            .iter()
            .filter_map(|node| self.members.get(node))
            .filter(|member| now.since(member.status_since) >= limit)
            .map(|member| MemberRecord { status: MemberStatus::Dead.into(), ..member.record.clone() })
            .collect();
        for record in expired {
            self.merge_record(now, record, actions);
        }
    }

    pub(super) fn forget_dead(&mut self, now: Instant) {
        self.members.retain(|_, member| {
            member.record.status() != MemberStatus::Dead || now.since(member.status_since) < DEAD_RETENTION
        });
    }

    pub(super) fn suspicion_timeout(&self) -> Duration {
        let periods = (SUSPICION_FACTOR * self.log2_of_members()).max(MIN_SUSPICION_PERIODS);
        self.settings.period.mul_f64(periods)
    }

    pub(super) fn log2_of_members(&self) -> f64 {
        (self.members.len() as f64 + 2.0).log2()
    }

    pub(super) fn same_region(&self, record: &MemberRecord) -> bool {
        record.region == self.me.region
    }

    pub(super) fn probe_next(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for _ in 0..2 {
            while let Some(target) = self.probe_round.pop() {
                let may_probe =
                    self.members.get(&target).is_some_and(|member| member.record.status() != MemberStatus::Dead);
                if may_probe {
                    let sequence = self.next_sequence();
                    self.probe = Some(Probe { target, sequence, sent: now, indirect: false });
                    self.send(target, sequence, 0, false, actions);
                    return;
                }
            }
            let region = self.me.region.clone();
            let mut probe_round: Vec<NodeId> =
                self.members.iter().filter(|(_, member)| member.record.region == region).map(|(id, _)| *id).collect();
            probe_round.shuffle(&mut self.random);
            self.probe_round = probe_round;
        }
    }

    /// Probes one member of each region for which this node is a relay.
    pub(super) fn probe_regions(&mut self, actions: &mut Vec<Action>) {
        let regions: BTreeSet<String> =
            self.live().filter(|record| !self.same_region(record)).map(|record| record.region.clone()).collect();
        for region in regions {
            if !self.is_relay_for(&region) {
                continue;
            }
            let target = self
                .members
                .iter()
                .filter(|(_, member)| member.record.region == region && is_live(member.record.status()))
                .map(|(id, _)| *id)
                .choose(&mut self.random);
            if let Some(target) = target {
                let sequence = self.next_sequence();
                self.send(target, sequence, 0, false, actions);
            }
        }
    }

    pub(super) fn is_relay_for(&self, region: &str) -> bool {
        let name = stable_hash(region.as_bytes());
        let in_region = self.live().filter(|record| self.same_region(record)).map(|record| NodeId(record.node));
        is_in_rendezvous_top(NodeId(self.me.node), name, in_region, RELAYS)
    }

    pub(super) fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let dead = self
            .members
            .iter()
            .filter(|(_, member)| member.record.status() == MemberStatus::Dead)
            .map(|(id, _)| *id)
            .choose(&mut self.random);
        if let Some(target) = dead {
            let sequence = self.next_sequence();
            self.send_with(target, sequence, 0, false, true, actions);
        }
    }

    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
