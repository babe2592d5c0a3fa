//! Merging of member records, and refutation of wrong records of this node.

use super::{is_live, supersedes, Action, Member, Membership};
use crate::identity::NodeId;
use crate::time::Instant;
use latchwheel_protocol::v1::{MemberRecord, MemberStatus};

impl Membership {
    pub(super) fn add_seeds(&mut self, now: Instant, records: Vec<MemberRecord>, actions: &mut Vec<Action>) {
        for record in records {
            let node = NodeId(record.node);
            if record.node == self.me.node || self.members.contains_key(&node) {
                continue;
            }
            // A seed may be outdated: it starts as alive at incarnation zero and
            // is confirmed or suspected like any other member.
            let record = MemberRecord { incarnation: 0, status: MemberStatus::Alive.into(), ..record };
            let in_region = record.region == self.me.region;
            self.members.insert(node, Member { record: record.clone(), status_since: now });
            actions.push(Action::Changed(record));
            if in_region {
                let sequence = self.next_sequence();
                self.send_with(node, sequence, 0, false, true, actions);
            }
        }
    }

    pub(super) fn leave(&mut self, actions: &mut Vec<Action>) {
        self.me.status = MemberStatus::Leaving.into();
        self.me.incarnation += 1;
        self.own_sends = 0;
        let in_region: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| self.same_region(&member.record) && is_live(member.record.status()))
            .map(|(id, _)| *id)
            .collect();
        for node in in_region {
            self.own_sends = 0;
            self.send(node, 0, 0, true, actions);
        }
    }

    pub(super) fn merge_record(&mut self, now: Instant, record: MemberRecord, actions: &mut Vec<Action>) {
        if record.node == self.me.node {
            self.refute(&record, actions);
            return;
        }
        let node = NodeId(record.node);
        let supersedes = match self.members.get(&node) {
            None => record.status() != MemberStatus::Dead,
            Some(member) => supersedes(&record, &member.record),
        };
        if !supersedes {
            return;
        }
        // A higher incarnation alone is no change. All other fields are compared, since a node's
        // own record has fields that its seed lacks, such as the replica.
        let changed = self.members.get(&node).is_none_or(|member| {
            let old = MemberRecord { incarnation: record.incarnation, ..member.record.clone() };
            old != record
        });
        if record.status() == MemberStatus::Dead {
            self.summaries.remove(&node);
        }
        match record.status() {
            MemberStatus::Suspect => self.suspects.insert(node),
            _ => self.suspects.remove(&node),
        };
        self.members.insert(node, Member { record: record.clone(), status_since: now });
        self.pending_updates.retain(|(_, pending)| *pending != node);
        if record.region == self.me.region {
            self.pending_updates.insert((0, node));
        }
        if changed {
            actions.push(Action::Changed(record));
        }
    }

    /// Corrects a wrong status, or the incarnation of an earlier start, with a
    /// higher incarnation.
    pub(super) fn refute(&mut self, record: &MemberRecord, actions: &mut Vec<Action>) {
        let wrong_status = record.status != self.me.status;
        if record.incarnation >= self.me.incarnation && (wrong_status || record.incarnation > self.me.incarnation) {
            self.me.incarnation = record.incarnation + 1;
            self.own_sends = 0;
            self.gossip_now(actions);
        }
    }
}
