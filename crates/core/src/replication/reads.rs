//! Quorum reads: a leader confirms its leadership with a quorum before it answers.

use super::{Action, PendingRead, Replication, Role};
use crate::time::Instant;

impl Replication {
    pub(super) fn read(&mut self, now: Instant, identity: u64, actions: &mut Vec<Action>) {
        // Until an entry of its own term is committed, a new leader's commit index
        // may be behind that of its predecessor.
        if self.role != Role::Leader || self.commit < self.elected_index {
            actions.push(Action::ReadRejected(identity));
            return;
        }
        self.heartbeat(now, actions);
        self.reads.push_back(PendingRead { identity, round: self.round, index: self.commit });
        self.confirm_reads(actions);
    }

    pub(super) fn confirm_reads(&mut self, actions: &mut Vec<Action>) {
        while let Some(read) = self.reads.front().copied() {
            let confirms = |replica: &u64| {
                *replica == self.me || self.peers.get(replica).is_some_and(|peer| peer.round >= read.round)
            };
            if self.voters().filter(confirms).count() < self.quorum() {
                return;
            }
            self.reads.pop_front();
            actions.push(Action::ReadReady(read.identity, read.index));
        }
    }
}
