//! Membership by probing, after SWIM (Das, Gupta, Motivala, 2002) with
//! incarnations, indirect probes and suspicion.
//!
//! Inside a region each node probes one member a period, in a shuffled
//! round. Between regions only relays probe: the two live members of a region
//! that rendezvous hashing names for the other region. Every message carries
//! the sender's table revision and a few recent load summaries. Members that
//! are held for dead are probed now and then, so that a healed cut is found.

mod messages;
mod probing;
mod records;

use crate::identity::NodeId;
use crate::time::Instant;
use latchwheel_protocol::v1::{Datagram, MemberRecord, MemberStatus, Summary};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Members asked to probe on one's behalf.
const INDIRECT_PROBES: usize = 3;
/// Records carried by one message.
const UPDATES_PER_MESSAGE: usize = 6;
/// Summaries of other nodes carried by one probe; answers carry none.
const SUMMARIES_PER_PROBE: usize = 4;
/// A record is told this many times the logarithm of the members.
const GOSSIP_FACTOR: f64 = 3.0;
/// Suspicion lasts this many periods times the logarithm of the members.
const SUSPICION_FACTOR: f64 = 1.5;
/// Least suspicion in periods.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
/// Relays between two regions, on each side.
const RELAYS: usize = 2;
/// Members that are told at once of a new table revision, or that a
/// suspicion is wrong.
const GOSSIP_FANOUT: usize = 3;
/// Every so many periods a member that is held for dead is probed.
const RECONNECT_PERIODS: u64 = 5;
/// Dead members are forgotten after this time, so that late gossip can't
/// bring them back.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Records in one answer to a newcomer.
const JOIN_RECORDS: usize = 64;

/// Timing of the probes.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two probes.
    pub period: Duration,
    /// Time for a direct answer before indirect probes are sent.
    pub answer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { period: Duration::from_millis(500), answer_timeout: Duration::from_millis(150) }
    }
}

/// What happens to the membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; at least as often as the answer timeout.
    Tick,
    /// A message arrived.
    Received(Datagram),
    /// Members named by the platform's machine list: a lagging seed.
    Seeds(Vec<MemberRecord>),
    /// The node announces that it is leaving.
    Leave,
    /// The node's table revision and load changed.
    OwnSummary(Summary),
}

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an address.
    Send(String, Datagram),
    /// A member is new or has another status.
    Changed(MemberRecord),
    /// A peer is at this table revision.
    PeerRevision(NodeId, u64),
}

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    status_since: Instant,
}

#[derive(Clone, Debug)]
struct Probe {
    target: NodeId,
    sequence: u64,
    sent: Instant,
    indirect: bool,
}

/// A direct probe made on another's behalf.
#[derive(Clone, Debug)]
struct RelayedProbe {
    target: NodeId,
    origin: NodeId,
    origin_sequence: u64,
    sequence: u64,
}

/// The members as one node sees them.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    me: MemberRecord,
    members: BTreeMap<NodeId, Member>,
    /// Members whose records are still being told, by how often they were.
    pending_updates: BTreeSet<(u32, NodeId)>,
    suspects: BTreeSet<NodeId>,
    probe_round: Vec<NodeId>,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    next_period: Instant,
    periods: u64,
    sequence: u64,
    own_sends: u32,
    own_summary: Summary,
    summaries: BTreeMap<NodeId, Summary>,
    /// Nodes of the own zone whose summaries came last, the latest first.
    recent_in_zone: VecDeque<NodeId>,
    random: SmallRng,
}

impl Membership {
    /// A node that knows nobody yet.
    pub fn new(settings: Settings, me: MemberRecord, now: Instant, seed: u64) -> Self {
        let own_summary = Summary { node: me.node, ..Summary::default() };
        Self {
            settings,
            me,
            members: BTreeMap::new(),
            pending_updates: BTreeSet::new(),
            suspects: BTreeSet::new(),
            probe_round: Vec::new(),
            probe: None,
            relayed: Vec::new(),
            next_period: now,
            periods: 0,
            sequence: 0,
            own_sends: 0,
            own_summary,
            summaries: BTreeMap::new(),
            recent_in_zone: VecDeque::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// The node's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// All members but this one, dead ones included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Members that may be sent work: alive or only suspected.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| is_live(record.status()))
    }

    /// Whether a node is this one or is not held for dead.
    pub fn is_present(&self, node: NodeId) -> bool {
        node.0 == self.me.node
            || self.members.get(&node).is_some_and(|member| member.record.status() != MemberStatus::Dead)
    }

    /// The last known summaries of other nodes.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.summaries.values()
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received(message) => self.receive(now, message, &mut actions),
            Event::Seeds(records) => self.add_seeds(now, records, &mut actions),
            Event::Leave => self.leave(&mut actions),
            Event::OwnSummary(summary) => self.update_own_summary(summary, &mut actions),
        }
        actions
    }

    /// A new table revision is told at once to a few members, who pull it and
    /// tell others in turn; probes carry it to whomever that misses.
    fn update_own_summary(&mut self, summary: Summary, actions: &mut Vec<Action>) {
        let newer = summary.revision > self.own_summary.revision;
        self.own_summary = summary;
        if newer {
            self.gossip_now(actions);
            self.probe_regions(actions);
        }
    }

    /// Sends to a few members of the region at once.
    fn gossip_now(&mut self, actions: &mut Vec<Action>) {
        let region = &self.me.region;
        let targets: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| member.record.region == *region && is_live(member.record.status()))
            .map(|(id, _)| *id)
            .choose_multiple(&mut self.random, GOSSIP_FANOUT);
        for node in targets {
            self.send(node, 0, 0, true, actions);
        }
    }

    /// Takes a summary that came with an answer over another way.
    pub fn note_summary(&mut self, summary: Summary) {
        let node = NodeId(summary.node);
        if node.0 == self.me.node {
            return;
        }
        self.summaries.insert(node, summary);
        if self.members.get(&node).is_some_and(|member| member.record.zone == self.me.zone) {
            self.recent_in_zone.retain(|recent| *recent != node);
            self.recent_in_zone.push_front(node);
            self.recent_in_zone.truncate(SUMMARIES_PER_PROBE);
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.check_probe(now, actions);
        self.expire_suspects(now, actions);
        if now < self.next_period {
            return;
        }
        self.next_period = now + self.settings.period;
        self.periods += 1;
        self.suspect_unresponsive(now, actions);
        self.relayed.clear();
        self.probe_next(now, actions);
        self.probe_regions(actions);
        if self.periods.is_multiple_of(RECONNECT_PERIODS) {
            self.reconnect(actions);
            self.forget_dead(now);
        }
    }
}

/// Whether a member may be sent work, as far as is known.
pub fn is_live(status: MemberStatus) -> bool {
    matches!(status, MemberStatus::Alive | MemberStatus::Suspect)
}

fn is_unsuspected(status: MemberStatus) -> bool {
    matches!(status, MemberStatus::Alive | MemberStatus::Leaving)
}

/// Whether a record goes before another of the same member: the higher
/// incarnation; at the same one, the graver status.
fn supersedes(new: &MemberRecord, old: &MemberRecord) -> bool {
    (new.incarnation, severity(new.status())) > (old.incarnation, severity(old.status()))
}

fn severity(status: MemberStatus) -> u8 {
    match status {
        MemberStatus::Alive => 0,
        MemberStatus::Leaving => 1,
        MemberStatus::Suspect => 2,
        MemberStatus::Dead => 3,
    }
}
