//! Membership by probing, after SWIM (Das, Gupta, Motivala, 2002) with
//! incarnations, indirect probes and suspicion.
//!
//! Inside a region each node probes one member a period, in a shuffled
//! round. Between regions only relays probe: the two live members of a region
//! that rendezvous hashing names for the other region. Every message carries
//! the sender's table revision and a few recent load summaries. Members that
//! are held for dead are probed now and then, so that a healed cut is found.

use crate::identity::{stable_hash, NodeId};
use crate::ownership::is_among_first;
use crate::time::Instant;
use latchwheel_protocol::v1::{Datagram, MemberRecord, MemberStatus, Summary};
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
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
const TELL_FACTOR: f64 = 3.0;
/// Suspicion lasts this many periods times the logarithm of the members.
const SUSPICION_FACTOR: f64 = 1.5;
/// Least suspicion in periods.
const SUSPICION_MINIMUM: f64 = 3.0;
/// Relays between two regions, on each side.
const RELAYS: usize = 2;
/// Members that are told at once of a new table revision, or that a
/// suspicion is wrong.
const TOLD_AT_ONCE: usize = 3;
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
    PeerAt(NodeId, u64),
}

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    since: Instant,
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
    untold: BTreeSet<(u32, NodeId)>,
    suspects: BTreeSet<NodeId>,
    round: Vec<NodeId>,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    next_period: Instant,
    periods: u64,
    sequence: u64,
    own_tells: u32,
    own_summary: Summary,
    summaries: BTreeMap<NodeId, Summary>,
    /// Nodes of the own zone whose summaries came last, the latest first.
    recent: VecDeque<NodeId>,
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
            untold: BTreeSet::new(),
            suspects: BTreeSet::new(),
            round: Vec::new(),
            probe: None,
            relayed: Vec::new(),
            next_period: now,
            periods: 0,
            sequence: 0,
            own_tells: 0,
            own_summary,
            summaries: BTreeMap::new(),
            recent: VecDeque::new(),
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
            Event::Seeds(records) => self.seed(now, records, &mut actions),
            Event::Leave => self.leave(&mut actions),
            Event::OwnSummary(summary) => self.take_own_summary(summary, &mut actions),
        }
        actions
    }

    /// A new table revision is told at once to a few members, who pull it and
    /// tell others in turn; probes carry it to whomever that misses.
    fn take_own_summary(&mut self, summary: Summary, actions: &mut Vec<Action>) {
        let newer = summary.revision > self.own_summary.revision;
        self.own_summary = summary;
        if newer {
            self.tell_some(actions);
            self.probe_regions(actions);
        }
    }

    /// Sends to a few members of the region at once.
    fn tell_some(&mut self, actions: &mut Vec<Action>) {
        let region = &self.me.region;
        let told: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| member.record.region == *region && is_live(member.record.status()))
            .map(|(id, _)| *id)
            .choose_multiple(&mut self.random, TOLD_AT_ONCE);
        for node in told {
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
            self.recent.retain(|recent| *recent != node);
            self.recent.push_front(node);
            self.recent.truncate(SUMMARIES_PER_PROBE);
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
        self.suspect_silent(now, actions);
        self.relayed.clear();
        self.probe_next(now, actions);
        self.probe_regions(actions);
        if self.periods.is_multiple_of(RECONNECT_PERIODS) {
            self.reconnect(actions);
            self.forget_dead(now);
        }
    }

    // ---- Probing ----

    fn check_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_mut() else { return };
        if probe.indirect || now.since(probe.sent) < self.settings.answer_timeout {
            return;
        }
        probe.indirect = true;
        let (target, sequence) = (probe.target, probe.sequence);
        let region = &self.me.region;
        let helpers: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(id, member)| **id != target && member.record.region == *region && is_live(member.record.status()))
            .map(|(id, _)| *id)
            .choose_multiple(&mut self.random, INDIRECT_PROBES);
        for helper in helpers {
            self.send(helper, sequence, target.0, false, actions);
        }
    }

    fn suspect_silent(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else { return };
        if let Some(member) = self.members.get(&probe.target) {
            if member.record.status() == MemberStatus::Alive || member.record.status() == MemberStatus::Leaving {
                let record = MemberRecord { status: MemberStatus::Suspect.into(), ..member.record.clone() };
                self.take_record(now, record, actions);
            }
        }
    }

    fn expire_suspects(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.suspects.is_empty() {
            return;
        }
        let limit = self.suspicion();
        let expired: Vec<MemberRecord> = self
            .suspects
            .iter()
            .filter_map(|node| self.members.get(node))
            .filter(|member| now.since(member.since) >= limit)
            .map(|member| MemberRecord { status: MemberStatus::Dead.into(), ..member.record.clone() })
            .collect();
        for record in expired {
            self.take_record(now, record, actions);
        }
    }

    fn forget_dead(&mut self, now: Instant) {
        self.members.retain(|_, member| {
            member.record.status() != MemberStatus::Dead || now.since(member.since) < DEAD_RETENTION
        });
    }

    fn suspicion(&self) -> Duration {
        let periods = (SUSPICION_FACTOR * self.logarithm()).max(SUSPICION_MINIMUM);
        self.settings.period.mul_f64(periods)
    }

    fn logarithm(&self) -> f64 {
        (self.members.len() as f64 + 2.0).log2()
    }

    fn same_region(&self, record: &MemberRecord) -> bool {
        record.region == self.me.region
    }

    fn probe_next(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for _ in 0..2 {
            while let Some(target) = self.round.pop() {
                let probed =
                    self.members.get(&target).is_some_and(|member| member.record.status() != MemberStatus::Dead);
                if probed {
                    let sequence = self.next_sequence();
                    self.probe = Some(Probe { target, sequence, sent: now, indirect: false });
                    self.send(target, sequence, 0, false, actions);
                    return;
                }
            }
            let region = self.me.region.clone();
            let mut round: Vec<NodeId> =
                self.members.iter().filter(|(_, member)| member.record.region == region).map(|(id, _)| *id).collect();
            round.shuffle(&mut self.random);
            self.round = round;
        }
    }

    /// Probes one member of every other region for which this node is relay.
    fn probe_regions(&mut self, actions: &mut Vec<Action>) {
        let regions: BTreeSet<String> =
            self.live().filter(|record| !self.same_region(record)).map(|record| record.region.clone()).collect();
        for region in regions {
            if !self.is_relay_for(&region) {
                continue;
            }
            let target = self
                .members
                .iter()
                .filter(|(_, member)| member.record.region == region && is_live(member.record.status()))
                .map(|(id, _)| *id)
                .choose(&mut self.random);
            if let Some(target) = target {
                let sequence = self.next_sequence();
                self.send(target, sequence, 0, false, actions);
            }
        }
    }

    fn is_relay_for(&self, region: &str) -> bool {
        let name = stable_hash(region.as_bytes());
        let near = self.live().filter(|record| self.same_region(record)).map(|record| NodeId(record.node));
        is_among_first(NodeId(self.me.node), name, near, RELAYS)
    }

    fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let dead = self
            .members
            .iter()
            .filter(|(_, member)| member.record.status() == MemberStatus::Dead)
            .map(|(id, _)| *id)
            .choose(&mut self.random);
        if let Some(target) = dead {
            let sequence = self.next_sequence();
            self.send_with(target, sequence, 0, false, true, actions);
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    // ---- Messages ----

    fn send(&mut self, to: NodeId, sequence: u64, probe_for: u64, answer: bool, actions: &mut Vec<Action>) {
        self.send_with(to, sequence, probe_for, answer, false, actions);
    }

    fn send_with(
        &mut self,
        to: NodeId,
        sequence: u64,
        probe_for: u64,
        answer: bool,
        join: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(address) = self.members.get(&to).map(|member| member.record.address.clone()) else { return };
        let mut updates = self.pick_updates();
        // Whoever is held for suspect or dead must hear of it, so that it
        // can refute.
        if let Some(member) = self.members.get(&to) {
            if !is_live_and_sure(member.record.status()) && !updates.iter().any(|record| record.node == to.0) {
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

    /// Records that were told least often; each is told a bounded number of times.
    fn pick_updates(&mut self) -> Vec<MemberRecord> {
        let limit = (TELL_FACTOR * self.logarithm()).ceil() as u32;
        let mut updates = Vec::new();
        if self.own_tells < limit {
            self.own_tells += 1;
            updates.push(self.me.clone());
        }
        let told: Vec<(u32, NodeId)> = self.untold.iter().take(UPDATES_PER_MESSAGE).copied().collect();
        for (tells, node) in told {
            self.untold.remove(&(tells, node));
            if tells + 1 < limit {
                self.untold.insert((tells + 1, node));
            }
            updates.extend(self.members.get(&node).map(|member| member.record.clone()));
        }
        updates
    }

    fn pick_summaries(&self, most: usize) -> Vec<Summary> {
        let recent = self.recent.iter().take(most).filter_map(|node| self.summaries.get(node));
        [&self.own_summary].into_iter().chain(recent).cloned().collect()
    }

    fn receive(&mut self, now: Instant, message: Datagram, actions: &mut Vec<Action>) {
        let from = NodeId(message.from);
        if message.to != self.me.node || message.from == self.me.node {
            return;
        }
        let unknown_sender = !self.members.contains_key(&from);
        for record in message.updates {
            self.take_record(now, record, actions);
        }
        for summary in message.summaries {
            if summary.node == message.from || !self.summaries.contains_key(&NodeId(summary.node)) {
                self.note_summary(summary);
            }
        }
        actions.push(Action::PeerAt(from, message.revision));
        if message.answer {
            self.take_answer(from, message.sequence, message.probe_for, actions);
        } else if message.probe_for != 0 {
            self.relay_probe(from, message.sequence, NodeId(message.probe_for), actions);
        } else {
            self.send(from, message.sequence, 0, true, actions);
            if message.join || unknown_sender {
                self.introduce(from, actions);
            }
        }
    }

    fn relay_probe(&mut self, origin: NodeId, origin_sequence: u64, target: NodeId, actions: &mut Vec<Action>) {
        let sequence = self.next_sequence();
        self.relayed.push(RelayedProbe { target, origin, origin_sequence, sequence });
        self.send(target, sequence, 0, false, actions);
    }

    fn take_answer(&mut self, from: NodeId, sequence: u64, probe_for: u64, actions: &mut Vec<Action>) {
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

    /// Tells a newcomer the members of this node's region.
    fn introduce(&mut self, to: NodeId, actions: &mut Vec<Action>) {
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

    // ---- Records ----

    fn seed(&mut self, now: Instant, records: Vec<MemberRecord>, actions: &mut Vec<Action>) {
        for record in records {
            let node = NodeId(record.node);
            if record.node == self.me.node || self.members.contains_key(&node) {
                continue;
            }
            // A seed is only a hint of whom to ask: it is known as alive at
            // incarnation zero and confirmed or suspected like any other.
            let record = MemberRecord { incarnation: 0, status: MemberStatus::Alive.into(), ..record };
            let near = record.region == self.me.region;
            self.members.insert(node, Member { record: record.clone(), since: now });
            actions.push(Action::Changed(record));
            if near {
                let sequence = self.next_sequence();
                self.send_with(node, sequence, 0, false, true, actions);
            }
        }
    }

    fn leave(&mut self, actions: &mut Vec<Action>) {
        self.me.status = MemberStatus::Leaving.into();
        self.me.incarnation += 1;
        self.own_tells = 0;
        let near: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| self.same_region(&member.record) && is_live(member.record.status()))
            .map(|(id, _)| *id)
            .collect();
        for node in near {
            self.own_tells = 0;
            self.send(node, 0, 0, true, actions);
        }
    }

    fn take_record(&mut self, now: Instant, record: MemberRecord, actions: &mut Vec<Action>) {
        if record.node == self.me.node {
            self.refute(&record, actions);
            return;
        }
        let node = NodeId(record.node);
        let supersedes = match self.members.get(&node) {
            None => record.status() != MemberStatus::Dead,
            Some(member) => supersedes(&record, &member.record),
        };
        if !supersedes {
            return;
        }
        // All but the incarnation: what a seed did not tell, a record does.
        let changed = self.members.get(&node).is_none_or(|member| {
            let old = MemberRecord { incarnation: record.incarnation, ..member.record.clone() };
            old != record
        });
        if record.status() == MemberStatus::Dead {
            self.summaries.remove(&node);
        }
        match record.status() {
            MemberStatus::Suspect => self.suspects.insert(node),
            _ => self.suspects.remove(&node),
        };
        self.members.insert(node, Member { record: record.clone(), since: now });
        self.untold.retain(|(_, told)| *told != node);
        if record.region == self.me.region {
            self.untold.insert((0, node));
        }
        if changed {
            actions.push(Action::Changed(record));
        }
    }

    /// Another holds this node for suspect or dead, or knows an older start
    /// of it: a higher incarnation corrects that.
    fn refute(&mut self, record: &MemberRecord, actions: &mut Vec<Action>) {
        let wrong_status = record.status != self.me.status;
        if record.incarnation >= self.me.incarnation && (wrong_status || record.incarnation > self.me.incarnation) {
            self.me.incarnation = record.incarnation + 1;
            self.own_tells = 0;
            self.tell_some(actions);
        }
    }
}

/// Whether a member may be sent work, as far as is known.
pub fn is_live(status: MemberStatus) -> bool {
    matches!(status, MemberStatus::Alive | MemberStatus::Suspect)
}

fn is_live_and_sure(status: MemberStatus) -> bool {
    matches!(status, MemberStatus::Alive | MemberStatus::Leaving)
}

/// Whether a record goes before another of the same member: the higher
/// incarnation; at the same one, the graver status.
fn supersedes(new: &MemberRecord, old: &MemberRecord) -> bool {
    (new.incarnation, gravity(new.status())) > (old.incarnation, gravity(old.status()))
}

fn gravity(status: MemberStatus) -> u8 {
    match status {
        MemberStatus::Alive => 0,
        MemberStatus::Leaving => 1,
        MemberStatus::Suspect => 2,
        MemberStatus::Dead => 3,
    }
}
