//! Elections: pre-vote, votes, terms, and leadership transfer.

use super::progress::Progress;
use super::{Action, HardState, Replication, Role};
use crate::time::Instant;
use latchwheel_protocol::v1::replication_message::Body;
use latchwheel_protocol::v1::{EntryKind, ReplicationMessage, Transfer, VoteAnswer, VoteRequest};
use std::collections::BTreeSet;

impl Replication {
    pub(super) fn start_election(&mut self, now: Instant, probe: bool, transfer: bool, actions: &mut Vec<Action>) {
        self.reset_election_deadline(now);
        self.leader = 0;
        self.votes = BTreeSet::from([self.me]);
        if probe {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.hard = HardState { term: self.hard.term + 1, voted_for: self.me };
            // The vote for itself must be persisted before others are asked.
            actions.push(Action::Persist(self.hard, None, Vec::new()));
        }
        let term = self.hard.term + u64::from(probe);
        let request =
            VoteRequest { last_index: self.log.last_index(), last_term: self.log.last_term(), probe, transfer };
        let others: Vec<u64> = self.voters().filter(|replica| *replica != self.me).collect();
        for replica in others {
            self.send_with_term(replica, term, Body::VoteRequest(request), actions);
        }
        self.count_votes(now, actions);
    }

    pub(super) fn count_votes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let votes = self.voters().filter(|replica| self.votes.contains(replica)).count();
        if votes < self.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now, false, false, actions),
            Role::Candidate => self.become_leader(now, actions),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn become_leader(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.role = Role::Leader;
        self.leader = self.me;
        self.acknowledged = 0;
        self.reads.clear();
        self.peers.clear();
        self.sync_peers(now);
        self.reset_election_deadline(now);
        actions.push(Action::Elected(self.hard.term));
        // An entry of its own term lets the leader commit entries of earlier terms.
        self.append_local(now, EntryKind::Nothing, bytes::Bytes::new(), actions);
        self.elected_index = self.log.last_index();
    }

    /// Tracks the progress of each other member.
    pub(super) fn sync_peers(&mut self, now: Instant) {
        let next = self.log.last_index() + 1;
        let members: BTreeSet<u64> = self.members().replicas.iter().map(|replica| replica.replica).collect();
        self.peers.retain(|replica, _| members.contains(replica));
        for replica in members {
            if replica != self.me {
                self.peers.entry(replica).or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    pub(super) fn become_follower(&mut self, now: Instant, term: u64, leader: u64, actions: &mut Vec<Action>) {
        if self.role == Role::Leader {
            actions.push(Action::Deposed);
            for read in self.reads.drain(..) {
                actions.push(Action::ReadRejected(read.identity));
            }
        }
        if term > self.hard.term {
            self.hard = HardState { term, voted_for: 0 };
            actions.push(Action::Persist(self.hard, None, Vec::new()));
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_deadline(now);
    }

    pub(super) fn receive(&mut self, now: Instant, message: ReplicationMessage, actions: &mut Vec<Action>) {
        if message.to != self.me {
            return;
        }
        let Some(body) = message.body else { return };
        let is_probe = matches!(&body, Body::VoteRequest(request) if request.probe)
            || matches!(&body, Body::VoteAnswer(answer) if answer.probe);
        if message.term > self.hard.term && !is_probe {
            let may_disrupt = matches!(&body, Body::VoteRequest(request) if !request.transfer);
            if may_disrupt && self.has_recent_leader(now) {
                return;
            }
            self.become_follower(now, message.term, 0, actions);
        }
        let stale = message.term < self.hard.term;
        match body {
            Body::VoteRequest(request) => self.handle_vote_request(now, message.from, message.term, request, actions),
            Body::VoteAnswer(answer) => self.handle_vote_answer(now, message.from, message.term, answer, actions),
            Body::Append(append) if stale => self.reject_stale(message.from, append.round, actions),
            Body::SnapshotOffer(_) if stale => self.reject_stale(message.from, 0, actions),
            Body::Append(append) => self.handle_append(now, message.from, append, actions),
            Body::SnapshotOffer(offer) => self.handle_snapshot_offer(now, message.from, offer, actions),
            _ if stale => {}
            Body::AppendAnswer(answer) => self.handle_append_answer(now, message.from, answer, actions),
            Body::SnapshotAnswer(answer) => self.handle_snapshot_answer(now, message.from, answer, actions),
            Body::Transfer(Transfer {}) => {
                if self.is_voter() && !self.pulling_state {
                    self.start_election(now, false, true, actions);
                }
            }
        }
    }

    /// Whether a leader sent a message within the minimum election timeout. Votes
    /// are refused then, so that a partitioned replica can't disrupt the group.
    pub(super) fn has_recent_leader(&self, now: Instant) -> bool {
        let is_recent = |contact: Instant| now.since(contact) < self.settings.election_timeout;
        self.role == Role::Leader || (self.leader != 0 && self.last_leader_contact.is_some_and(is_recent))
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: Instant,
        from: u64,
        term: u64,
        request: VoteRequest,
        actions: &mut Vec<Action>,
    ) {
        let log_is_current = (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last_index());
        if request.probe {
            let granted = term > self.hard.term && log_is_current && !self.has_recent_leader(now);
            let answer_term = if granted { term } else { self.hard.term };
            let answer = VoteAnswer { granted, probe: true };
            self.send_with_term(from, answer_term, Body::VoteAnswer(answer), actions);
            return;
        }
        let free = self.hard.voted_for == 0 || self.hard.voted_for == from;
        let granted = term == self.hard.term && free && log_is_current;
        if granted {
            self.hard.voted_for = from;
            self.reset_election_deadline(now);
            // The vote must be persisted before it is sent.
            actions.push(Action::Persist(self.hard, None, Vec::new()));
        }
        self.send(from, Body::VoteAnswer(VoteAnswer { granted, probe: false }), actions);
    }

    pub(super) fn handle_vote_answer(
        &mut self,
        now: Instant,
        from: u64,
        term: u64,
        answer: VoteAnswer,
        actions: &mut Vec<Action>,
    ) {
        let expected = match self.role {
            Role::PreCandidate if answer.probe => self.hard.term + 1,
            Role::Candidate if !answer.probe => self.hard.term,
            _ => return,
        };
        if answer.granted && term == expected {
            self.votes.insert(from);
            self.count_votes(now, actions);
        } else if term > self.hard.term {
            self.become_follower(now, term, 0, actions);
        }
    }

    pub(super) fn transfer_leadership(&mut self, actions: &mut Vec<Action>) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last_index();
        let successor = self
            .voters()
            .filter(|replica| *replica != self.me)
            .max_by_key(|replica| self.peers.get(replica).map_or(0, |peer| peer.matched));
        if let Some(successor) =
            successor.filter(|successor| self.peers.get(successor).is_some_and(|peer| peer.matched == last))
        {
            self.send(successor, Body::Transfer(Transfer {}), actions);
        }
    }
}
