//! Quorum replication of one store group's log.
//!
//! Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote,
//! check-quorum, learners, single-step membership changes and quorum reads.
//! Differences from the thesis:
//!
//! - An entry is committed and applied once a quorum has it on stable storage.
//!   It is acknowledged only once the copies also span two zones (if the voters
//!   do), and under [`AckRule::Reachable`] every reachable voter has one. A group
//!   that lost its only voter in another zone can still commit the replacement.
//! - A replica draws its identity when its data folder is formatted, so a
//!   machine with an erased disk can't vote as its former replica.
//!
//! The runtime must perform actions in order, and an [`Action::Persist`] must be
//! on stable storage before the next action is performed.

mod election;
mod follower;
mod leader;
mod log;
mod progress;
mod reads;
pub mod replacement;

pub use log::{LogBase, Restored};

use crate::time::Instant;
use latchwheel_protocol::v1::replication_message::Body;
use latchwheel_protocol::v1::{Entry, Members, ReplicationMessage};
use log::Log;
use progress::Progress;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Payload bytes in one append message.
const APPEND_BYTES: usize = 1 << 20;
/// Unanswered append messages to one replica.
const APPENDS_IN_FLIGHT: u64 = 8;
/// Entries that a learner may lack when it becomes a voter.
const PROMOTION_LAG: u64 = 64;

/// When an entry may be acknowledged to its proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AckRule {
    /// Once a quorum has it.
    #[default]
    Quorum,
    /// Once a quorum and every reachable voter have it.
    Reachable,
}

/// Timing and rules of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Minimum time without a leader before an election; the maximum is twice this.
    pub election_timeout: Duration,
    /// Interval of the leader's heartbeats.
    pub heartbeat: Duration,
    /// When an entry may be acknowledged.
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

/// Time for which a replica that waits for its disk repeats its heartbeats or answers.
///
/// It equals the maximum election timeout: beyond it an election costs callers less than waiting, so
/// that a leader whose disk hangs is replaced.
pub fn keep_alive_limit(election_timeout: Duration) -> Duration {
    election_timeout * 2
}

/// Persistent state besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Replica that this one voted for in the term; zero for none.
    pub voted_for: u64,
}

/// An input to the replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received(ReplicationMessage),
    /// Commit a command; the number identifies the proposal in the resulting actions.
    Propose(u64, bytes::Bytes),
    /// Change the members, by at most one voter.
    ProposeMembers(Members),
    /// The log is on stable storage up to the entry of this term and index.
    Persisted(u64, u64),
    /// Start a quorum read; the number identifies it in the resulting action.
    Read(u64),
    /// The state up to this base was pulled and is on stable storage.
    StateInstalled(LogBase),
    /// Drop the log up to this index.
    Compact(u64),
    /// The node stops: transfer leadership.
    TransferLeadership,
}

/// What the runtime must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store the hard state, remove entries from the index on, and append the
    /// entries; all before the next action.
    Persist(HardState, Option<u64>, Vec<Entry>),
    /// Send a message.
    Send(ReplicationMessage),
    /// Apply committed entries, in order.
    Apply(Vec<Entry>),
    /// Proposal, index and term: the proposal is committed if an entry with this
    /// index and term is applied.
    Proposed(u64, u64, u64),
    /// Applied entries up to this index may be acknowledged.
    Acknowledged(u64),
    /// The proposal was rejected because this replica is not the leader.
    Rejected(u64),
    /// Read and index: the read may be served once the index is applied.
    ReadReady(u64, u64),
    /// The read can't be served by this replica.
    ReadRejected(u64),
    /// Fetch the state from this replica; its log no longer has the missing
    /// entries.
    PullState(u64),
    /// The replica became leader of this term.
    Elected(u64),
    /// The replica is no longer leader.
    Deposed,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the others.
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
    election_deadline: Instant,
    heartbeat_due: Instant,
    last_leader_contact: Option<Instant>,
    elected_index: u64,
    round: u64,
    reads: VecDeque<PendingRead>,
    pulling_state: bool,
    random: SmallRng,
}

impl Replication {
    /// Creates a replica from what its disk holds.
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
            election_deadline: now,
            heartbeat_due: now,
            last_leader_contact: None,
            elected_index: 0,
            round: 0,
            reads: VecDeque::new(),
            pulling_state: false,
            random: SmallRng::seed_from_u64(seed),
        };
        replica.reset_election_deadline(now);
        replica
    }

    /// Role of the replica.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Identity of the leader; zero if unknown.
    pub fn leader(&self) -> u64 {
        self.leader
    }

    /// Members by the latest members entry of the log.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Index up to which entries were passed to [`Action::Apply`].
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Number of entries and of payload bytes in memory.
    pub fn log_size(&self) -> (usize, usize) {
        self.log.size()
    }

    /// Voters that answered this leader within the election timeout, itself included.
    pub fn reachable_voters(&self, now: Instant) -> Vec<u64> {
        let reachable_window = self.settings.election_timeout;
        let responded =
            |replica: &u64| self.peers.get(replica).is_some_and(|peer| peer.responded_within(now, reachable_window));
        self.voters().filter(|replica| *replica == self.me || responded(replica)).collect()
    }

    /// Learners that have caught up enough to become voters.
    pub fn caught_up_learners(&self) -> Vec<u64> {
        let has_caught_up = |id: &u64| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.matched > 0 && peer.matched + PROMOTION_LAG >= self.log.last_index())
        };
        self.members()
            .replicas
            .iter()
            .filter(|replica| !replica.voter)
            .map(|replica| replica.replica)
            .filter(has_caught_up)
            .collect()
    }

    /// Processes an event and returns the actions to perform.
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
            Event::TransferLeadership => self.transfer_leadership(&mut actions),
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

    fn reset_election_deadline(&mut self, now: Instant) {
        let minimum = self.settings.election_timeout;
        let extra = self.random.random_range(0..minimum.as_micros() as u64);
        self.election_deadline = now + minimum + Duration::from_micros(extra);
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
            if self.reachable_voters(now).len() < self.quorum() && now >= self.election_deadline {
                // Check-quorum: a leader without a quorum steps down.
                self.become_follower(now, self.hard.term, 0, actions);
                return;
            }
            if now >= self.heartbeat_due {
                self.heartbeat(now, actions);
            }
        } else if now >= self.election_deadline && self.is_voter() && !self.pulling_state {
            self.start_election(now, true, false, actions);
        }
    }

    /// Notes that the pull of the state failed; the leader will offer it again.
    pub fn state_pull_failed(&mut self) {
        self.pulling_state = false;
    }

    /// Base that the log has after compaction up to an index; `None` unless the
    /// index is applied and in the log.
    pub fn base_before(&self, index: u64) -> Option<LogBase> {
        (index <= self.applied && self.log.term_at(index).is_some()).then(|| self.log.base_at(index))
    }

    /// Base that the log has after compaction up to the applied index.
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
