//! SWIM membership (Das, Gupta, Motivala, 2002) with incarnations, indirect
//! probes and suspicion.
//!
//! In a region each node probes one member per period, in a shuffled round.
//! Between regions only relays probe: the two live members of a region that
//! rendezvous hashing selects for the other region. Every message carries the
//! sender's table revision and a few recent load summaries. Dead members are
//! probed from time to time, so that a healed partition is detected.

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

/// Members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Changed records in one message.
const UPDATES_PER_MESSAGE: usize = 6;
/// Summaries of other nodes in one probe; answers carry none.
const SUMMARIES_PER_PROBE: usize = 4;
/// Each changed record is sent this many times log2 of the member count.
const GOSSIP_FACTOR: f64 = 3.0;
/// Periods of suspicion per log2 of the member count.
const SUSPICION_FACTOR: f64 = 1.5;
/// Minimum suspicion in periods.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
/// Relays between two regions, on each side.
const RELAYS: usize = 2;
/// Members that are sent a new table revision or a refutation at once.
const GOSSIP_FANOUT: usize = 3;
/// Periods between two probes of dead members.
const RECONNECT_PERIODS: u64 = 5;
/// Time for which dead members are remembered, so that late gossip can't revive
/// them.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Four times the number of records in one message to a joining node.
const JOIN_RECORDS: usize = 64;

/// Timing of the probes.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval of the probes.
    pub period: Duration,
    /// Time for a direct answer before indirect probes are sent.
    pub answer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { period: Duration::from_millis(500), answer_timeout: Duration::from_millis(150) }
    }
}

/// An input to the membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; needed at least once per answer timeout.
    Tick,
    /// A message arrived.
    Received(Datagram),
    /// Members from the platform's machine list, which may be outdated.
    Seeds(Vec<MemberRecord>),
    /// The node announces that it is leaving.
    Leave,
    /// The node's own table revision or load changed.
    OwnSummary(Summary),
}

/// What the runtime must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an address.
    Send(String, Datagram),
    /// A member is new or its record changed.
    Changed(MemberRecord),
    /// A peer reported its table revision.
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

/// A direct probe made at the request of another node.
#[derive(Clone, Debug)]
struct RelayedProbe {
    target: NodeId,
    origin: NodeId,
    origin_sequence: u64,
    sequence: u64,
}

/// Membership from the view of one node.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    me: MemberRecord,
    members: BTreeMap<NodeId, Member>,
    /// Members whose records are still sent, with the number of sends.
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
    /// Nodes of the own zone with the newest summaries, the newest first.
    recent_in_zone: VecDeque<NodeId>,
    random: SmallRng,
}

impl Membership {
    /// Creates a membership without other members.
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

    /// All other members, including dead ones.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Other members that may be sent work: alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| is_live(record.status()))
    }

    /// Whether a node is this one or a member that is not dead.
    pub fn is_present(&self, node: NodeId) -> bool {
        node.0 == self.me.node
            || self.members.get(&node).is_some_and(|member| member.record.status() != MemberStatus::Dead)
    }

    /// The latest summaries of other nodes.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.summaries.values()
    }

    /// Processes an event and returns the actions to perform.
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

    /// Sends a new table revision at once to a few members, which pull it and
    /// send it on; probes carry it to the others.
    fn update_own_summary(&mut self, summary: Summary, actions: &mut Vec<Action>) {
        let newer = summary.revision > self.own_summary.revision;
        self.own_summary = summary;
        if newer {
            self.gossip_now(actions);
            self.probe_regions(actions);
        }
    }

    /// Sends to a few random members of the region.
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

    /// Stores a summary of another node.
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

/// Whether a member with this status may be sent work.
pub fn is_live(status: MemberStatus) -> bool {
    matches!(status, MemberStatus::Alive | MemberStatus::Suspect)
}

fn is_unsuspected(status: MemberStatus) -> bool {
    matches!(status, MemberStatus::Alive | MemberStatus::Leaving)
}

/// Whether a record replaces another of the same member: it has a higher
/// incarnation, or the same one and a more severe status.
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
