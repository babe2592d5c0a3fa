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

/// Time for which a replica that waits for its disk goes on being heard: the longest wait for an
/// election. To wait so long for the write costs callers no more than to elect, and a leader
/// whose disk hangs is replaced after it.
pub fn keep_alive_limit(election_timeout: Duration) -> Duration {
    election_timeout * 2
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
    TransferLeadership,
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
        let reachable_window = self.settings.election_timeout;
        let responded =
            |replica: &u64| self.peers.get(replica).is_some_and(|peer| peer.responded_within(now, reachable_window));
        self.voters().filter(|replica| *replica == self.me || responded(replica)).collect()
    }

    /// Learners that have caught up, for promotion.
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
            if self.reachable(now).len() < self.quorum() && now >= self.election_deadline {
                // Check-quorum: a leader that is cut off stops answering.
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

    /// The pull of the state failed; it is offered again.
    pub fn state_pull_failed(&mut self) {
        self.pulling_state = false;
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
