//! Quorum replication of one store group's log.
//!
//! Leader-based with terms, after Raft (Ongaro, "Consensus: Bridging Theory
//! and Practice", 2014), with pre-vote, check-quorum, learners, single-step
//! membership changes and quorum reads. Differences from the thesis:
//!
//! - Commit and acknowledgement are apart. An entry is committed, and
//!   applied, once it is on stable storage of a quorum. It may be acknowledged
//!   to whoever proposed it only once that spans at least two zones (where the
//!   voters span two), and under [`AckRule::Reachable`] every voter that
//!   answers at all. So a group whose only voter of another zone is lost can
//!   still commit the change of members that replaces it.
//! - A replica's identity is drawn when its data folder is formatted, so a
//!   machine with an emptied disk can't vote as the replica it was before.
//!
//! Invariants that the runtime must keep: actions are carried out in order,
//! and a [`Action::Persist`] must be on stable storage before any action
//! behind it is carried out.

mod log;
mod progress;
pub mod replacement;

pub use log::{LogBase, Restored};

use crate::time::Instant;
use latchwheel_protocol::v1::replication_message::Body;
use latchwheel_protocol::v1::{
    Append, AppendAnswer, Entry, EntryKind, Members, ReplicationMessage, SnapshotAnswer, SnapshotOffer, Transfer,
    VoteAnswer, VoteRequest,
};
use latchwheel_protocol::Message;
use log::Log;
use progress::{Progress, Tally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Most bytes of payload in one append message.
const APPEND_BYTES: usize = 1 << 20;
/// Append messages that may be under way to one replica.
const APPENDS_IN_FLIGHT: u64 = 8;
/// A learner becomes a voter once it lacks at most this many entries.
const PROMOTION_LAG: u64 = 64;

/// When an entry counts as acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AckRule {
    /// On a quorum.
    #[default]
    Quorum,
    /// On a quorum, and on every voter that has answered lately.
    Reachable,
}

/// Timing and rules of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Least time without a leader before an election; the most is twice this.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// When an entry counts as acknowledged.
    pub ack_rule: AckRule,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(600),
            heartbeat: Duration::from_millis(100),
            ack_rule: AckRule::Quorum,
        }
    }
}

/// What must survive a restart, besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term that was seen.
    pub term: u64,
    /// Replica that got the vote of that term; zero for none.
    pub voted_for: u64,
}

/// What happens to the replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes.
    Tick,
    /// A message arrived.
    Received(ReplicationMessage),
    /// A command is to be committed; the number names it in the answer.
    Propose(u64, bytes::Bytes),
    /// The members are to be changed by at most one voter.
    ProposeMembers(Members),
    /// The log is on stable storage up to this index of this term.
    Persisted(u64, u64),
    /// Whoever reads wants to know when the applied state is recent enough.
    Read(u64),
    /// The whole state up to this base was taken from the leader and is on
    /// stable storage.
    StateInstalled(LogBase),
    /// The log may be dropped up to this index.
    Compact(u64),
    /// The node stops: hand leadership over.
    HandOver,
}

/// What the runtime has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put on stable storage before going on: the hard state, then drop all
    /// entries from an index on, then add entries.
    Persist(HardState, Option<u64>, Vec<Entry>),
    /// Send a message.
    Send(ReplicationMessage),
    /// Apply committed entries, in order.
    Apply(Vec<Entry>),
    /// The proposal got this index and term; it is committed if an entry with
    /// both is applied.
    Proposed(u64, u64, u64),
    /// Entries up to this index, once applied, may be acknowledged.
    Acknowledged(u64),
    /// The proposal was not taken: this replica doesn't lead.
    Rejected(u64),
    /// The read may be served once this index is applied.
    ReadReady(u64, u64),
    /// The read can't be served here.
    ReadRejected(u64),
    /// Fetch the whole state from this replica; its log no longer has what
    /// this one lacks.
    PullState(u64),
    /// The replica became leader of this term.
    Elected(u64),
    /// The replica no longer leads.
    Deposed,
}

/// Part that a replica plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    identity: u64,
    round: u64,
    index: u64,
}

/// One replica of a store group.
#[derive(Debug)]
pub struct Replication {
    group: u64,
    me: u64,
    settings: Settings,
    role: Role,
    hard: HardState,
    leader: u64,
    log: Log,
    commit: u64,
    acknowledged: u64,
    applied: u64,
    persisted: u64,
    peers: BTreeMap<u64, Progress>,
    votes: BTreeSet<u64>,
    election_due: Instant,
    heartbeat_due: Instant,
    leader_heard: Option<Instant>,
    elected_index: u64,
    round: u64,
    reads: VecDeque<PendingRead>,
    pulling: bool,
    random: SmallRng,
}

impl Replication {
    /// A replica from what its disk holds.
    pub fn new(group: u64, me: u64, settings: Settings, restored: Restored, now: Instant, seed: u64) -> Self {
        let hard = restored.hard;
        let applied = restored.base.index.max(restored.applied);
        let log = Log::new(restored);
        let persisted = log.last_index();
        let mut replica = Self {
            group,
            me,
            settings,
            role: Role::Follower,
            hard,
            leader: 0,
            log,
            commit: applied,
            acknowledged: 0,
            applied,
            persisted,
            peers: BTreeMap::new(),
            votes: BTreeSet::new(),
            election_due: now,
            heartbeat_due: now,
            leader_heard: None,
            elected_index: 0,
            round: 0,
            reads: VecDeque::new(),
            pulling: false,
            random: SmallRng::seed_from_u64(seed),
        };
        replica.set_election_due(now);
        replica
    }

    /// Part that the replica plays.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Present term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Identity of the known leader; zero for none.
    pub fn leader(&self) -> u64 {
        self.leader
    }

    /// Members by the latest entry of the log.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Index up to which entries were given out to be applied.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Entries and payload bytes held in memory.
    pub fn log_size(&self) -> (usize, usize) {
        self.log.size()
    }

    /// Voters that have answered this leader lately, itself included.
    pub fn reachable(&self, now: Instant) -> Vec<u64> {
        let window = self.settings.election_timeout;
        let heard = |replica: &u64| self.peers.get(replica).is_some_and(|peer| peer.heard_within(now, window));
        self.voters().filter(|replica| *replica == self.me || heard(replica)).collect()
    }

    /// Learners that have caught up, for promotion.
    pub fn caught_up_learners(&self) -> Vec<u64> {
        let near = |id: &u64| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.matched > 0 && peer.matched + PROMOTION_LAG >= self.log.last_index())
        };
        self.members()
            .replicas
            .iter()
            .filter(|replica| !replica.voter)
            .map(|replica| replica.replica)
            .filter(near)
            .collect()
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received(message) => self.receive(now, message, &mut actions),
            Event::Propose(identity, payload) => self.propose(now, identity, payload, &mut actions),
            Event::ProposeMembers(members) => self.propose_members(now, members, &mut actions),
            Event::Persisted(term, index) => self.note_persisted(now, term, index, &mut actions),
            Event::Read(identity) => self.read(now, identity, &mut actions),
            Event::StateInstalled(base) => self.state_installed(base, &mut actions),
            Event::Compact(index) => self.log.compact(index.min(self.applied)),
            Event::HandOver => self.hand_over(&mut actions),
        }
        actions
    }

    fn voters(&self) -> impl Iterator<Item = u64> + '_ {
        self.members().replicas.iter().filter(|replica| replica.voter).map(|replica| replica.replica)
    }

    fn is_voter(&self) -> bool {
        self.voters().any(|replica| replica == self.me)
    }

    fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    fn set_election_due(&mut self, now: Instant) {
        let least = self.settings.election_timeout;
        let extra = self.random.random_range(0..least.as_micros() as u64);
        self.election_due = now + least + Duration::from_micros(extra);
    }

    fn send(&self, to: u64, body: Body, actions: &mut Vec<Action>) {
        self.send_with_term(to, self.hard.term, body, actions);
    }

    fn send_with_term(&self, to: u64, term: u64, body: Body, actions: &mut Vec<Action>) {
        let message = ReplicationMessage { group: self.group, from: self.me, to, term, body: Some(body) };
        actions.push(Action::Send(message));
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.role == Role::Leader {
            if self.reachable(now).len() < self.quorum() && now >= self.election_due {
                // Check-quorum: a leader that is cut off stops answering.
                self.become_follower(now, self.hard.term, 0, actions);
                return;
            }
            if now >= self.heartbeat_due {
                self.heartbeat(now, actions);
            }
        } else if now >= self.election_due && self.is_voter() && !self.pulling {
            self.start_election(now, true, false, actions);
        }
    }

    // ---- Elections ----

    fn start_election(&mut self, now: Instant, probe: bool, transfer: bool, actions: &mut Vec<Action>) {
        self.set_election_due(now);
        self.leader = 0;
        self.votes = BTreeSet::from([self.me]);
        if probe {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.hard = HardState { term: self.hard.term + 1, voted_for: self.me };
            // The vote for itself must be persisted before it asks others.
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

    fn count_votes(&mut self, now: Instant, actions: &mut Vec<Action>) {
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

    fn become_leader(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.role = Role::Leader;
        self.leader = self.me;
        self.acknowledged = 0;
        self.reads.clear();
        self.peers.clear();
        self.sync_peers(now);
        self.set_election_due(now);
        actions.push(Action::Elected(self.hard.term));
        // An entry of its own term lets the leader commit what came before.
        self.append_local(now, EntryKind::Nothing, bytes::Bytes::new(), actions);
        self.elected_index = self.log.last_index();
    }

    /// Keeps a progress for each other member.
    fn sync_peers(&mut self, now: Instant) {
        let next = self.log.last_index() + 1;
        let members: BTreeSet<u64> = self.members().replicas.iter().map(|replica| replica.replica).collect();
        self.peers.retain(|replica, _| members.contains(replica));
        for replica in members {
            if replica != self.me {
                self.peers.entry(replica).or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    fn become_follower(&mut self, now: Instant, term: u64, leader: u64, actions: &mut Vec<Action>) {
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
        self.set_election_due(now);
    }

    fn receive(&mut self, now: Instant, message: ReplicationMessage, actions: &mut Vec<Action>) {
        if message.to != self.me {
            return;
        }
        let Some(body) = message.body else { return };
        let is_probe = matches!(&body, Body::VoteRequest(request) if request.probe)
            || matches!(&body, Body::VoteAnswer(answer) if answer.probe);
        if message.term > self.hard.term && !is_probe {
            let undue = matches!(&body, Body::VoteRequest(request) if !request.transfer);
            if undue && self.leader_is_fresh(now) {
                return;
            }
            self.become_follower(now, message.term, 0, actions);
        }
        let stale = message.term < self.hard.term;
        match body {
            Body::VoteRequest(request) => self.vote(now, message.from, message.term, request, actions),
            Body::VoteAnswer(answer) => self.note_vote(now, message.from, message.term, answer, actions),
            Body::Append(append) if stale => self.refuse_stale(message.from, append.round, actions),
            Body::SnapshotOffer(_) if stale => self.refuse_stale(message.from, 0, actions),
            Body::Append(append) => self.append(now, message.from, append, actions),
            Body::SnapshotOffer(offer) => self.snapshot_offered(now, message.from, offer, actions),
            _ if stale => {}
            Body::AppendAnswer(answer) => self.note_append(now, message.from, answer, actions),
            Body::SnapshotAnswer(answer) => self.note_snapshot(now, message.from, answer, actions),
            Body::Transfer(Transfer {}) => {
                if self.is_voter() && !self.pulling {
                    self.start_election(now, false, true, actions);
                }
            }
        }
    }

    /// Whether a leader was heard within the least election timeout; then no
    /// vote is given, so that a replica that was cut off can't disturb.
    fn leader_is_fresh(&self, now: Instant) -> bool {
        let fresh = |heard: Instant| now.since(heard) < self.settings.election_timeout;
        self.role == Role::Leader || (self.leader != 0 && self.leader_heard.is_some_and(fresh))
    }

    fn vote(&mut self, now: Instant, from: u64, term: u64, request: VoteRequest, actions: &mut Vec<Action>) {
        let recent_log = (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last_index());
        if request.probe {
            let granted = term > self.hard.term && recent_log && !self.leader_is_fresh(now);
            let answer_term = if granted { term } else { self.hard.term };
            let answer = VoteAnswer { granted, probe: true };
            self.send_with_term(from, answer_term, Body::VoteAnswer(answer), actions);
            return;
        }
        let free = self.hard.voted_for == 0 || self.hard.voted_for == from;
        let granted = term == self.hard.term && free && recent_log;
        if granted {
            self.hard.voted_for = from;
            self.set_election_due(now);
            // The vote must be persisted before it is told.
            actions.push(Action::Persist(self.hard, None, Vec::new()));
        }
        self.send(from, Body::VoteAnswer(VoteAnswer { granted, probe: false }), actions);
    }

    fn note_vote(&mut self, now: Instant, from: u64, term: u64, answer: VoteAnswer, actions: &mut Vec<Action>) {
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

    fn hand_over(&mut self, actions: &mut Vec<Action>) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last_index();
        let heir = self
            .voters()
            .filter(|replica| *replica != self.me)
            .max_by_key(|replica| self.peers.get(replica).map_or(0, |peer| peer.matched));
        if let Some(heir) = heir.filter(|heir| self.peers.get(heir).is_some_and(|peer| peer.matched == last)) {
            self.send(heir, Body::Transfer(Transfer {}), actions);
        }
    }

    // ---- Leader: log and commit ----

    fn propose(&mut self, now: Instant, identity: u64, payload: bytes::Bytes, actions: &mut Vec<Action>) {
        if self.role != Role::Leader {
            actions.push(Action::Rejected(identity));
            return;
        }
        self.append_local(now, EntryKind::Command, payload, actions);
        actions.push(Action::Proposed(identity, self.log.last_index(), self.hard.term));
    }

    fn propose_members(&mut self, now: Instant, members: Members, actions: &mut Vec<Action>) {
        // One change at a time, and only once an entry of the own term is
        // committed; else two majorities could be disjoint.
        let settled = self.commit >= self.log.members_index() && self.commit >= self.elected_index;
        if self.role != Role::Leader || !settled || voter_changes(self.members(), &members) > 1 {
            return;
        }
        let payload = members.encode_to_vec().into();
        self.append_local(now, EntryKind::Members, payload, actions);
        self.sync_peers(now);
        self.send_appends(now, actions);
    }

    fn append_local(&mut self, now: Instant, kind: EntryKind, payload: bytes::Bytes, actions: &mut Vec<Action>) {
        let entry = Entry { term: self.hard.term, index: self.log.last_index() + 1, kind: kind.into(), payload };
        self.log.push(entry.clone());
        // Appends go out while the own disk is written: the leader counts
        // itself only once it hears that the entry is persisted.
        self.send_appends(now, actions);
        actions.push(Action::Persist(self.hard, None, vec![entry]));
    }

    fn heartbeat(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.heartbeat_due = now + self.settings.heartbeat;
        self.round += 1;
        let peers: Vec<u64> = self.peers.keys().copied().collect();
        for replica in peers {
            self.send_append(now, replica, true, actions);
        }
    }

    fn send_appends(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let peers: Vec<u64> = self.peers.keys().copied().collect();
        for replica in peers {
            self.send_append(now, replica, false, actions);
        }
    }

    fn send_append(&mut self, now: Instant, replica: u64, heartbeat: bool, actions: &mut Vec<Action>) {
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

    fn offer_snapshot(&mut self, now: Instant, replica: u64, actions: &mut Vec<Action>) {
        let timeout = self.settings.election_timeout;
        let base = self.log.base();
        let offer = SnapshotOffer { index: base.index, entry_term: base.term, members: Some(base.members.clone()) };
        let Some(peer) = self.peers.get_mut(&replica) else { return };
        if peer.may_offer(now, timeout) {
            self.send(replica, Body::SnapshotOffer(offer), actions);
        }
    }

    fn note_append(&mut self, now: Instant, from: u64, answer: AppendAnswer, actions: &mut Vec<Action>) {
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

    fn note_snapshot(&mut self, now: Instant, from: u64, answer: SnapshotAnswer, actions: &mut Vec<Action>) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.note_snapshot(now, answer.index);
        }
        self.send_append(now, from, false, actions);
    }

    fn note_persisted(&mut self, now: Instant, term: u64, index: u64, actions: &mut Vec<Action>) {
        // Entries may have been replaced while the write was under way.
        if self.log.term_at(index) == Some(term) {
            self.persisted = self.persisted.max(index);
        }
        if self.role == Role::Leader {
            self.advance_commit(now, actions);
        } else {
            self.apply_committed(actions);
        }
    }

    fn advance_commit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let tally = Tally {
            members: self.members(),
            me: self.me,
            persisted: self.persisted,
            peers: &self.peers,
            rule: self.settings.ack_rule,
            now,
            window: self.settings.election_timeout,
        };
        let committed = tally.committed();
        let acknowledged = tally.acknowledged();
        // Only entries of the own term are committed by counting (Raft 5.4.2).
        if committed > self.commit && self.log.term_at(committed) == Some(self.hard.term) {
            self.commit = committed;
        }
        self.apply_committed(actions);
        // Whoever waits hears of it after it was applied here.
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

    /// Applies what is committed and on the own disk.
    fn apply_committed(&mut self, actions: &mut Vec<Action>) {
        let end = self.commit.min(self.persisted);
        if end > self.applied && !self.pulling {
            let entries = self.log.range(self.applied + 1, end);
            self.applied = end;
            actions.push(Action::Apply(entries));
        }
    }

    // ---- Reads ----

    fn read(&mut self, now: Instant, identity: u64, actions: &mut Vec<Action>) {
        // Before an entry of its own term is committed, a new leader may not
        // know of commits of the leader before it.
        if self.role != Role::Leader || self.commit < self.elected_index {
            actions.push(Action::ReadRejected(identity));
            return;
        }
        self.heartbeat(now, actions);
        self.reads.push_back(PendingRead { identity, round: self.round, index: self.commit });
        self.confirm_reads(actions);
    }

    fn confirm_reads(&mut self, actions: &mut Vec<Action>) {
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

    // ---- Follower ----

    fn refuse_stale(&self, to: u64, round: u64, actions: &mut Vec<Action>) {
        let answer = AppendAnswer { accepted: false, last_index: self.log.last_index(), round };
        self.send(to, Body::AppendAnswer(answer), actions);
    }

    fn follow(&mut self, now: Instant, leader: u64, actions: &mut Vec<Action>) {
        if self.role != Role::Follower || self.leader != leader {
            self.become_follower(now, self.hard.term, leader, actions);
        }
        self.leader_heard = Some(now);
        self.set_election_due(now);
    }

    fn append(&mut self, now: Instant, from: u64, append: Append, actions: &mut Vec<Action>) {
        self.follow(now, from, actions);
        if self.pulling {
            return;
        }
        let round = append.round;
        let previous = self.log.term_at(append.previous_index);
        let known = append.previous_index < self.log.base().index;
        if previous != Some(append.previous_term) && !known {
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

    fn snapshot_offered(&mut self, now: Instant, from: u64, offer: SnapshotOffer, actions: &mut Vec<Action>) {
        self.follow(now, from, actions);
        if offer.index <= self.commit {
            self.send(from, Body::SnapshotAnswer(SnapshotAnswer { index: self.commit }), actions);
        } else if !self.pulling {
            self.pulling = true;
            actions.push(Action::PullState(from));
        }
    }

    fn state_installed(&mut self, base: LogBase, actions: &mut Vec<Action>) {
        self.pulling = false;
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

    /// The pull of the state failed; it is offered again.
    pub fn state_pull_failed(&mut self) {
        self.pulling = false;
    }

    /// The base that a log without the entries up to an index begins with,
    /// if the index is applied and still in the log.
    pub fn base_before(&self, index: u64) -> Option<LogBase> {
        (index <= self.applied && self.log.term_at(index).is_some()).then(|| self.log.base_at(index))
    }

    /// Base of the log: what a state taken now would replace.
    pub fn base_at_applied(&self) -> LogBase {
        self.log.base_at(self.applied)
    }
}

fn voter_changes(before: &Members, after: &Members) -> usize {
    let voters = |members: &Members| -> BTreeSet<u64> {
        members.replicas.iter().filter(|replica| replica.voter).map(|replica| replica.replica).collect()
    };
    voters(before).symmetric_difference(&voters(after)).count()
}
