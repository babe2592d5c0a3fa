//! Content and handling of messages.

use super::{
    is_unsuspected, Action, Membership, RelayedProbe, GOSSIP_FACTOR, JOIN_RECORDS, SUMMARIES_PER_PROBE,
    UPDATES_PER_MESSAGE,
};
use crate::identity::NodeId;
use crate::time::Instant;
use latchwheel_protocol::v1::{Datagram, MemberRecord, Summary};

impl Membership {
    pub(super) fn send(&mut self, to: NodeId, sequence: u64, probe_for: u64, answer: bool, actions: &mut Vec<Action>) {
        self.send_with(to, sequence, probe_for, answer, false, actions);
    }

    pub(super) fn send_with(
        &mut self,
        to: NodeId,
        sequence: u64,
        probe_for: u64,
        answer: bool,
        join: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get(&to) else { return };
        let address = member.record.address.clone();
        // A member that has only a seed record (incarnation 0) is asked for its own
        // record with every probe until that record arrives.
        let join = join || (!answer && member.record.incarnation == 0);
        let mut updates = self.pick_updates();
        // A suspect or dead member is sent its record, so that it can refute it.
        if let Some(member) = self.members.get(&to) {
            if !is_unsuspected(member.record.status()) && !updates.iter().any(|record| record.node == to.0) {
                updates.push(member.record.clone());
            }
        }
        if join && !updates.iter().any(|record| record.node == self.me.node) {
            updates.push(self.me.clone());
        }
        let message = Datagram {
            from: self.me.node,
            to: to.0,
            sequence,
            probe_for,
            answer,
            revision: self.own_summary.revision,
            updates,
            summaries: self.pick_summaries(if answer { 0 } else { SUMMARIES_PER_PROBE }),
            join,
        };
        actions.push(Action::Send(address, message));
    }

    /// The records with the fewest sends; each is sent a bounded number of times.
    pub(super) fn pick_updates(&mut self) -> Vec<MemberRecord> {
        let limit = (GOSSIP_FACTOR * self.log2_of_members()).ceil() as u32;
        let mut updates = Vec::new();
        if self.own_sends < limit {
            self.own_sends += 1;
            updates.push(self.me.clone());
        }
        let pending: Vec<(u32, NodeId)> = self.pending_updates.iter().take(UPDATES_PER_MESSAGE).copied().collect();
        for (sends, node) in pending {
            self.pending_updates.remove(&(sends, node));
            if sends + 1 < limit {
                self.pending_updates.insert((sends + 1, node));
            }
            updates.extend(self.members.get(&node).map(|member| member.record.clone()));
        }
        updates
    }

    pub(super) fn pick_summaries(&self, limit: usize) -> Vec<Summary> {
        let recent_in_zone = self.recent_in_zone.iter().take(limit).filter_map(|node| self.summaries.get(node));
        [&self.own_summary].into_iter().chain(recent_in_zone).cloned().collect()
    }

    pub(super) fn receive(&mut self, now: Instant, message: Datagram, actions: &mut Vec<Action>) {
        let from = NodeId(message.from);
        if message.to != self.me.node || message.from == self.me.node {
            return;
        }
        let is_new_sender = !self.members.contains_key(&from);
        for record in message.updates {
            self.merge_record(now, record, actions);
        }
        for summary in message.summaries {
            if summary.node == message.from || !self.summaries.contains_key(&NodeId(summary.node)) {
                self.note_summary(summary);
            }
        }
        actions.push(Action::PeerRevision(from, message.revision));
        if message.answer {
            self.handle_answer(from, message.sequence, message.probe_for, actions);
        } else if message.probe_for != 0 {
            self.relay_probe(from, message.sequence, NodeId(message.probe_for), actions);
        } else {
            self.send(from, message.sequence, 0, true, actions);
            if message.join || is_new_sender {
                self.send_members(from, actions);
            }
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        origin: NodeId,
        origin_sequence: u64,
        target: NodeId,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.next_sequence();
        self.relayed.push(RelayedProbe { target, origin, origin_sequence, sequence });
        self.send(target, sequence, 0, false, actions);
    }

    pub(super) fn handle_answer(&mut self, from: NodeId, sequence: u64, probe_for: u64, actions: &mut Vec<Action>) {
        let answered = if probe_for == 0 { from } else { NodeId(probe_for) };
        if self.probe.as_ref().is_some_and(|probe| probe.target == answered && probe.sequence == sequence) {
            self.probe = None;
        }
        let relayed = self.relayed.iter().position(|probe| probe.target == from && probe.sequence == sequence);
        if let Some(position) = relayed {
            let probe = self.relayed.swap_remove(position);
            self.send(probe.origin, probe.origin_sequence, from.0, true, actions);
        }
    }

    /// Sends all live members to a joining node.
    pub(super) fn send_members(&mut self, to: NodeId, actions: &mut Vec<Action>) {
        let Some(address) = self.members.get(&to).map(|member| member.record.address.clone()) else { return };
        let mut records: Vec<MemberRecord> = self.live().filter(|record| record.node != to.0).cloned().collect();
        records.push(self.me.clone());
        for part in records.chunks(JOIN_RECORDS / 4) {
            let message = Datagram {
                from: self.me.node,
                to: to.0,
                answer: true,
                revision: self.own_summary.revision,
                updates: part.to_vec(),
                ..Datagram::default()
            };
            actions.push(Action::Send(address.clone(), message));
        }
    }
}
