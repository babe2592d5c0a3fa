//! The follower: appends, and the state pulled from a leader.

use super::{Action, LogBase, Replication, Role};
use crate::time::Instant;
use latchwheel_protocol::v1::replication_message::Body;
use latchwheel_protocol::v1::{Append, AppendAnswer, SnapshotAnswer, SnapshotOffer};

impl Replication {
    pub(super) fn reject_stale(&self, to: u64, round: u64, actions: &mut Vec<Action>) {
        let answer = AppendAnswer { accepted: false, last_index: self.log.last_index(), round };
        self.send(to, Body::AppendAnswer(answer), actions);
    }

    pub(super) fn note_leader(&mut self, now: Instant, leader: u64, actions: &mut Vec<Action>) {
        if self.role != Role::Follower || self.leader != leader {
            self.become_follower(now, self.hard.term, leader, actions);
        }
        self.last_leader_contact = Some(now);
        self.reset_election_deadline(now);
    }

    pub(super) fn handle_append(&mut self, now: Instant, from: u64, append: Append, actions: &mut Vec<Action>) {
        self.note_leader(now, from, actions);
        if self.pulling_state {
            return;
        }
        let round = append.round;
        let previous = self.log.term_at(append.previous_index);
        let compacted = append.previous_index < self.log.base().index;
        if previous != Some(append.previous_term) && !compacted {
            let hint = append.previous_index.saturating_sub(1).min(self.log.last_index());
            let answer = AppendAnswer { accepted: false, last_index: hint.max(self.commit), round };
            self.send(from, Body::AppendAnswer(answer), actions);
            return;
        }
        let matched = append.entries.last().map_or(append.previous_index, |entry| entry.index);
        let (truncate, added) = self.log.merge(append.entries);
        if let Some(index) = truncate {
            self.persisted = self.persisted.min(index - 1);
        }
        if !added.is_empty() {
            // The entries must be persisted before they are acknowledged.
            let last = added.last().map_or((0, 0), |entry| (entry.term, entry.index));
            actions.push(Action::Persist(self.hard, truncate, added));
            if self.log.term_at(last.1) == Some(last.0) {
                self.persisted = last.1;
            }
        }
        self.commit = self.commit.max(append.commit.min(matched));
        self.apply_committed(actions);
        self.send(from, Body::AppendAnswer(AppendAnswer { accepted: true, last_index: matched, round }), actions);
    }

    pub(super) fn handle_snapshot_offer(
        &mut self,
        now: Instant,
        from: u64,
        offer: SnapshotOffer,
        actions: &mut Vec<Action>,
    ) {
        self.note_leader(now, from, actions);
        if offer.index <= self.commit {
            self.send(from, Body::SnapshotAnswer(SnapshotAnswer { index: self.commit }), actions);
        } else if !self.pulling_state {
            self.pulling_state = true;
            actions.push(Action::PullState(from));
        }
    }

    pub(super) fn state_installed(&mut self, base: LogBase, actions: &mut Vec<Action>) {
        self.pulling_state = false;
        if base.index <= self.commit {
            return;
        }
        let index = base.index;
        self.log.reset(base);
        self.commit = index;
        self.applied = index;
        self.persisted = index;
        if self.leader != 0 {
            self.send(self.leader, Body::SnapshotAnswer(SnapshotAnswer { index }), actions);
        }
    }
}
