//! The leader: proposals, appends, commit and acknowledgement.

use super::progress::{Progress, Tally};
use super::{voter_changes, Action, Replication, Role, APPENDS_IN_FLIGHT, APPEND_BYTES};
use crate::time::Instant;
use latchwheel_protocol::v1::replication_message::Body;
use latchwheel_protocol::v1::{
    Append, AppendAnswer, Entry, EntryKind, Members, ReplicationMessage, SnapshotAnswer, SnapshotOffer,
};
use latchwheel_protocol::Message;

impl Replication {
    pub(super) fn propose(&mut self, now: Instant, identity: u64, payload: bytes::Bytes, actions: &mut Vec<Action>) {
        if self.role != Role::Leader {
            actions.push(Action::Rejected(identity));
            return;
        }
        self.append_local(now, EntryKind::Command, payload, actions);
        actions.push(Action::Proposed(identity, self.log.last_index(), self.hard.term));
    }

    pub(super) fn propose_members(&mut self, now: Instant, members: Members, actions: &mut Vec<Action>) {
        // One change at a time, and only after an entry of the own term is
        // committed; otherwise two majorities could be disjoint.
        let may_change = self.commit >= self.log.members_index() && self.commit >= self.elected_index;
        if self.role != Role::Leader || !may_change || voter_changes(self.members(), &members) > 1 {
            return;
        }
        let payload = members.encode_to_vec().into();
        self.append_local(now, EntryKind::Members, payload, actions);
        self.sync_peers(now);
        self.send_appends(now, actions);
    }

    pub(super) fn append_local(
        &mut self,
        now: Instant,
        kind: EntryKind,
        payload: bytes::Bytes,
        actions: &mut Vec<Action>,
    ) {
        let entry = Entry { term: self.hard.term, index: self.log.last_index() + 1, kind: kind.into(), payload };
        self.log.push(entry.clone());
        // Appends are sent while the local write is under way: the leader counts
        // its own copy only after `Event::Persisted`.
        self.send_appends(now, actions);
        actions.push(Action::Persist(self.hard, None, vec![entry]));
    }

    pub(super) fn heartbeat(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.heartbeat_due = now + self.settings.heartbeat;
        self.round += 1;
        let peers: Vec<u64> = self.peers.keys().copied().collect();
        for replica in peers {
            self.send_append(now, replica, true, actions);
        }
    }

    /// Heartbeats that a leader may repeat while its thread waits for the disk; empty for others.
    ///
    /// Duplicate and late heartbeats are harmless, and those of an earlier term are rejected. Each
    /// starts at the index that the follower confirmed, so the follower has no reason to reject it.
    pub fn heartbeats_to_repeat(&self) -> Vec<ReplicationMessage> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let heartbeat = |(replica, peer): (&u64, &Progress)| {
            let previous_index = peer.matched.max(self.log.base().index);
            let append = Append {
                previous_index,
                previous_term: self.log.term_at(previous_index)?,
                commit: self.commit,
                entries: Vec::new(),
                round: self.round,
            };
            let body = Some(Body::Append(append));
            Some(ReplicationMessage { group: self.group, from: self.me, to: *replica, term: self.hard.term, body })
        };
        self.peers.iter().filter_map(heartbeat).collect()
    }

    pub(super) fn send_appends(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let peers: Vec<u64> = self.peers.keys().copied().collect();
        for replica in peers {
            self.send_append(now, replica, false, actions);
        }
    }

    pub(super) fn send_append(&mut self, now: Instant, replica: u64, heartbeat: bool, actions: &mut Vec<Action>) {
        let last = self.log.last_index();
        let (commit, round) = (self.commit, self.round);
        let Some(peer) = self.peers.get_mut(&replica) else { return };
        if heartbeat {
            peer.note_heartbeat(now, self.settings.election_timeout);
        } else if peer.next > last || peer.in_flight >= APPENDS_IN_FLIGHT {
            return;
        }
        let next = peer.next;
        let Some(previous_term) = self.log.term_at(next - 1) else {
            self.offer_snapshot(now, replica, actions);
            return;
        };
        let entries = if peer.in_flight < APPENDS_IN_FLIGHT { self.log.slice(next, APPEND_BYTES) } else { Vec::new() };
        if let Some(end) = entries.last() {
            peer.next = end.index + 1;
            peer.in_flight += 1;
        }
        let append = Append { previous_index: next - 1, previous_term, commit, entries, round };
        self.send(replica, Body::Append(append), actions);
    }

    pub(super) fn offer_snapshot(&mut self, now: Instant, replica: u64, actions: &mut Vec<Action>) {
        let timeout = self.settings.election_timeout;
        let base = self.log.base();
        let offer = SnapshotOffer { index: base.index, entry_term: base.term, members: Some(base.members.clone()) };
        let Some(peer) = self.peers.get_mut(&replica) else { return };
        if peer.may_offer_snapshot(now, timeout) {
            self.send(replica, Body::SnapshotOffer(offer), actions);
        }
    }

    pub(super) fn handle_append_answer(
        &mut self,
        now: Instant,
        from: u64,
        answer: AppendAnswer,
        actions: &mut Vec<Action>,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last_index();
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.note_answer(now, &answer, last);
        if answer.accepted {
            self.advance_commit(now, actions);
            self.confirm_reads(actions);
        }
        self.send_append(now, from, false, actions);
    }

    pub(super) fn handle_snapshot_answer(
        &mut self,
        now: Instant,
        from: u64,
        answer: SnapshotAnswer,
        actions: &mut Vec<Action>,
    ) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.note_snapshot(now, answer.index);
        }
        self.send_append(now, from, false, actions);
    }

    pub(super) fn note_persisted(&mut self, now: Instant, term: u64, index: u64, actions: &mut Vec<Action>) {
        // The entries may have been replaced during the write.
        if self.log.term_at(index) == Some(term) {
            self.persisted = self.persisted.max(index);
        }
        if self.role == Role::Leader {
            self.advance_commit(now, actions);
        } else {
            self.apply_committed(actions);
        }
    }

    pub(super) fn advance_commit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let tally = Tally {
            members: self.members(),
            me: self.me,
            persisted: self.persisted,
            peers: &self.peers,
            rule: self.settings.ack_rule,
            now,
            reachable_window: self.settings.election_timeout,
        };
        let committed = tally.committed();
        let acknowledged = tally.acknowledged();
        // Only entries of the own term are committed by counting (Raft 5.4.2).
        if committed > self.commit && self.log.term_at(committed) == Some(self.hard.term) {
            self.commit = committed;
        }
        self.apply_committed(actions);
        // Callers are answered only after the entry is applied locally.
        let acknowledged = acknowledged.min(self.applied);
        if acknowledged > self.acknowledged {
            self.acknowledged = acknowledged;
            actions.push(Action::Acknowledged(acknowledged));
        }
        if self.commit >= self.log.members_index() {
            let removed = !self.members().replicas.iter().any(|replica| replica.replica == self.me);
            if removed {
                self.become_follower(now, self.hard.term, 0, actions);
            }
        }
    }

    /// Applies entries that are committed and on the local disk.
    pub(super) fn apply_committed(&mut self, actions: &mut Vec<Action>) {
        let end = self.commit.min(self.persisted);
        if end > self.applied && !self.pulling_state {
            let entries = self.log.range(self.applied + 1, end);
            self.applied = end;
            actions.push(Action::Apply(entries));
        }
    }
}
