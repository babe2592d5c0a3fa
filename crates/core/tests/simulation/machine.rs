//! A machine with a disk and a replica. It behaves like the runtime: actions
//! in order, nothing behind a sync before the sync has ended, and a crash
//! takes whatever was not synced.

use super::world::{Destination, Happening, MachineNumber, Message, World};
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::JobState;
use latchwheel_core::leasing::Leasing;
use latchwheel_core::replication::replacement::{next_members, Situation};
use latchwheel_core::replication::{Action, Event, HardState, LogBase, Replication, Restored, Role, Settings};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{
    Batch, Command, CompleteItems, CompleteRequest, Entry, EntryKind, HeldChunk, ItemResult, LeasedItem, Members,
    Outcome, Replica, StartItems,
};
use latchwheel_protocol::Message as Encode;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(40);
const UPKEEP_TICKS: u64 = 10;
const REPLACE_AFTER: Duration = Duration::from_millis(1500);
const COMPACT_ENTRIES: usize = 40;
const COMPACT_TAIL: u64 = 8;

/// What a machine keeps over a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub hard: HardState,
    pub base: LogBase,
    pub base_state: JobState,
    pub entries: BTreeMap<u64, Entry>,
}

/// Who waits for a proposal.
#[derive(Clone, Debug)]
pub enum Waiter {
    Client { client: usize, request: u64 },
    Grant { holder: MachineNumber, request: u64, items: Vec<LeasedItem>, ended: Vec<String> },
    Complete { holder: MachineNumber, request: u64 },
    Nobody,
}

/// A process on a machine.
pub struct Running {
    pub core: Replication,
    pub state: JobState,
    pub leasing: Option<Leasing>,
    pub proposals: HashMap<u64, Waiter>,
    pub by_index: BTreeMap<u64, (u64, u64)>,
    pub unacknowledged: BTreeMap<u64, (Option<Waiter>, Outcome)>,
    pub next_proposal: u64,
    pub blocked: bool,
    pub pending_hard: Option<HardState>,
    pub pending_writes: Vec<(Option<u64>, Vec<Entry>)>,
    pub rest: Vec<Action>,
    pub inbox: VecDeque<Message>,
    pub lost_since: BTreeMap<u64, Instant>,
    pub ticks: u64,
    /// Every applied command, for the checks.
    pub applied: Vec<(u64, u64)>,
}

/// A machine.
pub struct Machine {
    pub zone: String,
    pub replica: u64,
    pub disk: Disk,
    pub running: Option<Running>,
    pub paused: bool,
    pub deferred: VecDeque<Message>,
    pub boot: u64,
    pub settings: Settings,
    pub wanted: usize,
}

fn node_of(machine: MachineNumber) -> NodeId {
    NodeId(machine as u64 + 1)
}

impl World {
    pub fn add_machine(&mut self, zone: &str, replica: u64, settings: Settings, wanted: usize) {
        self.machines.push(Machine {
            zone: zone.into(),
            replica,
            disk: Disk::default(),
            running: None,
            paused: false,
            deferred: VecDeque::new(),
            boot: 0,
            settings,
            wanted,
        });
    }

    pub fn restart(&mut self, number: MachineNumber) {
        if self.machines[number].running.is_some() {
            return;
        }
        let seed = self.random.random();
        let now = self.now;
        let machine = &mut self.machines[number];
        machine.boot += 1;
        machine.paused = false;
        machine.deferred.clear();
        let restored = Restored {
            hard: machine.disk.hard,
            base: machine.disk.base.clone(),
            entries: machine.disk.entries.values().cloned().collect(),
            applied: machine.disk.base.index,
        };
        machine.running = Some(Running {
            core: Replication::new(0, machine.replica, machine.settings, restored, now, seed),
            state: machine.disk.base_state.clone(),
            leasing: None,
            proposals: HashMap::new(),
            by_index: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            next_proposal: 0,
            blocked: false,
            pending_hard: None,
            pending_writes: Vec::new(),
            rest: Vec::new(),
            inbox: VecDeque::new(),
            lost_since: BTreeMap::new(),
            ticks: 0,
            applied: Vec::new(),
        });
        let boot = machine.boot;
        self.holders[number].reset();
        self.schedule(TICK, Happening::MachineTick(number, boot));
        let after = self.milliseconds(10, 80);
        self.schedule(after, Happening::HolderTick(number, boot));
    }

    pub fn crash(&mut self, number: MachineNumber) {
        // A sync under way may or may not have reached the disk.
        let reached = self.random.random_bool(0.5);
        let machine = &mut self.machines[number];
        let Some(mut running) = machine.running.take() else { return };
        if running.blocked && reached {
            write(&mut machine.disk, &mut running);
        }
    }

    pub fn is_alive(&self, number: MachineNumber) -> bool {
        self.machines[number].running.is_some()
    }

    pub fn machine_of(&self, replica: u64) -> Option<MachineNumber> {
        self.machines.iter().position(|machine| machine.replica == replica)
    }

    pub fn machine_tick(&mut self, number: MachineNumber, boot: u64) {
        if self.machines[number].boot != boot || self.machines[number].running.is_none() {
            return;
        }
        self.schedule(TICK, Happening::MachineTick(number, boot));
        if self.machines[number].paused {
            return;
        }
        let now = self.now;
        let Some(running) = self.machines[number].running.as_mut() else { return };
        if running.blocked {
            return;
        }
        running.ticks += 1;
        let upkeep = running.ticks % UPKEEP_TICKS == 0;
        let actions = running.core.handle(now, Event::Tick);
        self.perform(number, actions);
        if upkeep {
            self.upkeep(number);
        }
    }

    pub fn resume(&mut self, number: MachineNumber) {
        self.machines[number].paused = false;
        let deferred = std::mem::take(&mut self.machines[number].deferred);
        for message in deferred {
            self.schedule(Duration::ZERO, Happening::Deliver(Destination::Machine(number), message));
        }
    }

    pub fn machine_receives(&mut self, number: MachineNumber, message: Message) {
        let now = self.now;
        let Some(running) = self.machines[number].running.as_mut() else { return };
        if running.blocked {
            running.inbox.push_back(message);
            return;
        }
        match message {
            Message::Replication(message) => {
                let actions = running.core.handle(now, Event::Received(message));
                self.perform(number, actions);
            }
            Message::Propose { client, request, command } => {
                self.propose(number, command, Waiter::Client { client, request });
            }
            Message::Lease { holder, request, room, held, term } => {
                self.serve_lease(number, holder, request, room, &held, term);
            }
            Message::Complete { holder, request, body } => self.serve_complete(number, holder, request, body),
            Message::Proposed { .. } | Message::Leased { .. } | Message::Completed { .. } => {}
        }
    }

    fn propose(&mut self, number: MachineNumber, command: Command, waiter: Waiter) {
        let now = self.now;
        let Some(running) = self.machines[number].running.as_mut() else { return };
        running.next_proposal += 1;
        let identity = running.next_proposal;
        running.proposals.insert(identity, waiter);
        let payload = command.encode_to_vec().into();
        let actions = running.core.handle(now, Event::Propose(identity, payload));
        self.perform(number, actions);
    }

    fn leader_seen_by(&self, number: MachineNumber) -> Option<MachineNumber> {
        let running = self.machines[number].running.as_ref()?;
        self.machine_of(running.core.leader())
    }

    fn serve_lease(
        &mut self,
        number: MachineNumber,
        holder: MachineNumber,
        request: u64,
        room: usize,
        held: &[HeldChunk],
        term: u64,
    ) {
        let now = self.now;
        let leader = self.leader_seen_by(number);
        let Some(running) = self.machines[number].running.as_mut() else { return };
        let own_term = running.core.term();
        let Some(leasing) = running.leasing.as_mut() else {
            let answer = Message::Leased { request, term: 0, items: vec![], ended: vec![], leader, taken: false };
            return self.send(Some(number), Destination::Machine(holder), answer);
        };
        let without_positions = !held.is_empty() && held.iter().all(|chunk| chunk.positions.is_empty());
        if term != own_term && without_positions {
            let answer =
                Message::Leased { request, term: own_term, items: vec![], ended: vec![], leader, taken: false };
            return self.send(Some(number), Destination::Machine(holder), answer);
        }
        let ended = leasing.renew(now, node_of(holder), held, &running.state);
        let mut items = Vec::new();
        let mut starts = Vec::new();
        for grant in leasing.grant(now, node_of(holder), "row", room, &running.state) {
            let Some(job) = running.state.job(&grant.job) else { continue };
            if !job.record.repeatable {
                let start = StartItems {
                    job: grant.job.clone(),
                    positions: grant.positions.clone(),
                    holder: node_of(holder).0,
                };
                starts.push(Command { body: Some(Body::StartItems(start)) });
            }
            items.extend(grant.positions.iter().map(|position| LeasedItem {
                job: grant.job.clone(),
                position: *position,
                repeatable: job.record.repeatable,
                lease: grant.lease,
                ..LeasedItem::default()
            }));
        }
        if starts.is_empty() {
            let answer = Message::Leased { request, term: own_term, items, ended, leader, taken: true };
            return self.send(Some(number), Destination::Machine(holder), answer);
        }
        let command = Command { body: Some(Body::Batch(Batch { commands: starts })) };
        self.propose(number, command, Waiter::Grant { holder, request, items, ended });
    }

    fn serve_complete(&mut self, number: MachineNumber, holder: MachineNumber, request: u64, body: CompleteRequest) {
        let leader = self.leader_seen_by(number);
        let Some(running) = self.machines[number].running.as_mut() else { return };
        let Some(leasing) = running.leasing.as_mut() else {
            let answer = Message::Completed { request, committed: false, leader };
            return self.send(Some(number), Destination::Machine(holder), answer);
        };
        for returned in &body.returned {
            if let Some(job) = running.state.job(&returned.job) {
                leasing.returned(node_of(holder), returned, job);
            }
        }
        if body.completions.is_empty() {
            let answer = Message::Completed { request, committed: true, leader };
            return self.send(Some(number), Destination::Machine(holder), answer);
        }
        let complete = |completion: CompleteItems| Command { body: Some(Body::CompleteItems(completion)) };
        let commands = body.completions.into_iter().map(complete).collect();
        let command = Command { body: Some(Body::Batch(Batch { commands })) };
        self.propose(number, command, Waiter::Complete { holder, request });
    }

    // ---- Actions ----

    fn perform(&mut self, number: MachineNumber, actions: Vec<Action>) {
        let mut actions = actions.into_iter();
        for action in actions.by_ref() {
            if let Action::Persist(hard, truncate, entries) = action {
                let Some(running) = self.machines[number].running.as_mut() else { return };
                running.blocked = true;
                running.pending_hard = Some(hard);
                running.pending_writes.push((truncate, entries));
                break;
            }
            self.perform_one(number, action);
        }
        let blocked = self.machines[number].running.as_ref().is_some_and(|running| running.blocked);
        if !blocked {
            return;
        }
        // The persists of the rest go with the first one; the rest waits.
        let Some(running) = self.machines[number].running.as_mut() else { return };
        for action in actions {
            match action {
                Action::Persist(hard, truncate, entries) => {
                    running.pending_hard = Some(hard);
                    running.pending_writes.push((truncate, entries));
                }
                other => running.rest.push(other),
            }
        }
        let boot = self.machines[number].boot;
        let slow = self.random.random_bool(0.02);
        let time = if slow { self.milliseconds(50, 400) } else { self.milliseconds(0, 3) };
        self.schedule(time, Happening::Synced(number, boot));
    }

    pub fn synced(&mut self, number: MachineNumber, boot: u64) {
        if self.machines[number].boot != boot {
            return;
        }
        let now = self.now;
        let machine = &mut self.machines[number];
        let Some(running) = machine.running.as_mut() else { return };
        let last = running.pending_writes.iter().rev().find_map(|(_, entries)| entries.last()).cloned();
        write(&mut machine.disk, running);
        running.blocked = false;
        let rest = std::mem::take(&mut running.rest);
        let mut next = Vec::new();
        if let Some(entry) = last {
            next = running.core.handle(now, Event::Persisted(entry.term, entry.index));
        }
        for action in rest {
            self.perform_one(number, action);
        }
        self.perform(number, next);
        self.drain_inbox(number);
    }

    fn drain_inbox(&mut self, number: MachineNumber) {
        loop {
            let Some(running) = self.machines[number].running.as_mut() else { return };
            if running.blocked {
                return;
            }
            let Some(message) = running.inbox.pop_front() else { return };
            self.machine_receives(number, message);
        }
    }

    fn perform_one(&mut self, number: MachineNumber, action: Action) {
        let now = self.now;
        match action {
            Action::Persist(..) => unreachable!("persists are taken out before"),
            Action::Send(message) => {
                if let Some(to) = self.machine_of(message.to) {
                    self.send(Some(number), Destination::Machine(to), Message::Replication(message));
                }
            }
            Action::Apply(entries) => self.apply(number, entries),
            Action::Proposed(identity, index, term) => {
                if let Some(running) = self.machines[number].running.as_mut() {
                    running.by_index.insert(index, (term, identity));
                }
            }
            Action::Rejected(identity) => {
                let waiter =
                    self.machines[number].running.as_mut().and_then(|running| running.proposals.remove(&identity));
                self.answer(number, waiter, Err(ResultCode::NotLeader));
            }
            Action::Acknowledged(index) => {
                let Some(running) = self.machines[number].running.as_mut() else { return };
                let later = running.unacknowledged.split_off(&(index + 1));
                let ready = std::mem::replace(&mut running.unacknowledged, later);
                for (waiter, outcome) in ready.into_values() {
                    self.answer(number, waiter, Ok(outcome));
                }
            }
            Action::ReadReady(..) | Action::ReadRejected(..) => {}
            Action::PullState(from) => {
                let source = self.machine_of(from);
                let boot = self.machines[number].boot;
                let after = self.milliseconds(5, 200);
                self.schedule(after, Happening::Pulled(number, boot, source));
            }
            Action::Elected(term) => {
                let replica = self.machines[number].replica;
                let earlier = self.leaders.insert(term, replica);
                assert!(earlier.is_none_or(|earlier| earlier == replica), "two leaders of term {term}");
                if let Some(running) = self.machines[number].running.as_mut() {
                    running.leasing = Some(Leasing::new(now, term, &running.state));
                    running.lost_since.clear();
                }
            }
            Action::Deposed => {
                let Some(running) = self.machines[number].running.as_mut() else { return };
                running.leasing = None;
                running.by_index.clear();
                let proposed = std::mem::take(&mut running.proposals).into_values().map(Some);
                let applied = std::mem::take(&mut running.unacknowledged).into_values().map(|(waiter, _)| waiter);
                let waiters: Vec<Option<Waiter>> = proposed.chain(applied).collect();
                for waiter in waiters {
                    self.answer(number, waiter, Err(ResultCode::NoQuorum));
                }
            }
        }
    }

    pub fn pulled(&mut self, number: MachineNumber, boot: u64, source: Option<MachineNumber>) {
        if self.machines[number].boot != boot {
            return;
        }
        let now = self.now;
        let taken = source.and_then(|source| {
            let way = (self.machines[number].zone.clone(), self.machines[source].zone.clone());
            let running = self.machines[source].running.as_ref()?;
            let reachable = !self.cut.contains(&way) && !self.machines[source].paused;
            reachable.then(|| (running.core.base_at_applied(), running.state.clone()))
        });
        let machine = &mut self.machines[number];
        let Some(running) = machine.running.as_mut() else { return };
        let Some((base, state)) = taken else { return running.core.state_pull_failed() };
        machine.disk.base = base.clone();
        machine.disk.base_state = state.clone();
        machine.disk.entries.clear();
        running.state = state;
        running.applied.push((base.index, 0));
        let actions = running.core.handle(now, Event::StateInstalled(base));
        self.perform(number, actions);
    }

    fn apply(&mut self, number: MachineNumber, entries: Vec<Entry>) {
        let mut answers = Vec::new();
        {
            let Some(running) = self.machines[number].running.as_mut() else { return };
            for entry in entries {
                running.applied.push((entry.index, entry.term));
                if entry.kind() != EntryKind::Command {
                    continue;
                }
                let command = Command::decode(entry.payload.clone()).expect("a committed command can be read");
                let applied = running.state.apply(command.clone());
                if let Some(leasing) = running.leasing.as_mut() {
                    follow(leasing, &command, &running.state);
                }
                if let Some((term, identity)) = running.by_index.remove(&entry.index) {
                    let waiter = running.proposals.remove(&identity);
                    if term == entry.term {
                        running.unacknowledged.insert(entry.index, (waiter, applied.outcome));
                    } else {
                        answers.push((waiter, Err(ResultCode::NotLeader)));
                    }
                }
            }
        }
        for (waiter, result) in answers {
            self.answer(number, waiter, result);
        }
        self.compact(number);
    }

    fn compact(&mut self, number: MachineNumber) {
        let now = self.now;
        let machine = &mut self.machines[number];
        let Some(running) = machine.running.as_mut() else { return };
        if running.core.log_size().0 < COMPACT_ENTRIES {
            return;
        }
        // The simulated disk keeps the state as of its base only.
        let base = running.core.base_at_applied();
        machine.disk.base_state = running.state.clone();
        machine.disk.entries.retain(|index, _| *index > base.index);
        machine.disk.base = base.clone();
        let keep = base.index.saturating_sub(COMPACT_TAIL);
        let done = running.core.handle(now, Event::Compact(keep));
        assert!(done.is_empty());
    }

    fn answer(&mut self, number: MachineNumber, waiter: Option<Waiter>, result: Result<Outcome, ResultCode>) {
        let leader = self.leader_seen_by(number);
        match waiter {
            Some(Waiter::Client { client, request }) => {
                let message = Message::Proposed { client, request, result, leader };
                self.send(Some(number), Destination::Client(client), message);
            }
            Some(Waiter::Grant { holder, request, items, ended }) => {
                if result.is_ok() {
                    let term = self.machines[number].running.as_ref().map_or(0, |running| running.core.term());
                    let message = Message::Leased { request, term, items, ended, leader, taken: true };
                    self.send(Some(number), Destination::Machine(holder), message);
                }
            }
            Some(Waiter::Complete { holder, request }) => {
                let message = Message::Completed { request, committed: result.is_ok(), leader };
                self.send(Some(number), Destination::Machine(holder), message);
            }
            Some(Waiter::Nobody) | None => {}
        }
    }

    // ---- Upkeep ----

    fn upkeep(&mut self, number: MachineNumber) {
        let now = self.now;
        // Membership is modelled as exact but late: a machine counts as gone
        // while it is down.
        let present: Vec<Replica> = (0..self.machines.len())
            .filter(|other| self.is_alive(*other) && !self.machines[*other].paused)
            .map(|other| Replica {
                replica: self.machines[other].replica,
                node: node_of(other).0,
                zone: self.machines[other].zone.clone(),
                voter: false,
            })
            .collect();
        let alive_nodes: BTreeSet<u64> = present.iter().map(|replica| replica.node).collect();
        let alive: BTreeSet<u64> = present.iter().map(|replica| replica.replica).collect();
        let wanted = self.machines[number].wanted;
        let Some(running) = self.machines[number].running.as_mut() else { return };
        if running.core.role() != Role::Leader || running.blocked {
            return;
        }
        for replica in running.core.members().replicas.clone() {
            if alive.contains(&replica.replica) {
                running.lost_since.remove(&replica.replica);
            } else {
                running.lost_since.entry(replica.replica).or_insert(now);
            }
        }
        let lost: BTreeSet<u64> = running
            .lost_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= REPLACE_AFTER)
            .map(|(replica, _)| *replica)
            .collect();
        let caught_up = running.core.caught_up_learners();
        let leader = running.core.leader();
        let situation = Situation {
            members: running.core.members(),
            present: &present,
            lost: &lost,
            caught_up: &caught_up,
            wanted,
            leader,
        };
        let change = next_members(situation);
        let mut commands = Vec::new();
        if let Some(leasing) = running.leasing.as_mut() {
            let lapsed = leasing.expire(now, &running.state, |node| alive_nodes.contains(&node.0));
            commands.extend(lapsed.unknown.iter().map(|(job, positions)| unknown(job, positions)));
        }
        let mut actions = Vec::new();
        if let Some(members) = change {
            actions = running.core.handle(now, Event::ProposeMembers(members));
        }
        self.perform(number, actions);
        for command in commands {
            if self.machines[number].running.as_ref().is_some_and(|running| !running.blocked) {
                self.propose(number, command, Waiter::Nobody);
            }
        }
    }

    /// Takes the whole disk of a machine; it comes back as a new replica.
    pub fn lose_disk(&mut self, number: MachineNumber) {
        self.crash(number);
        let replica = self.random.random::<u64>() | 1;
        self.machines[number].disk = Disk::default();
        self.machines[number].replica = replica;
    }

    /// Sets the group's first members and starts all machines.
    pub fn found(&mut self, members: &Members) {
        for number in 0..self.machines.len() {
            let replica = self.machines[number].replica;
            if members.replicas.iter().any(|member| member.replica == replica) {
                self.machines[number].disk.base.members = members.clone();
            }
            self.restart(number);
        }
    }
}

fn write(disk: &mut Disk, running: &mut Running) {
    if let Some(hard) = running.pending_hard.take() {
        disk.hard = hard;
    }
    for (truncate, entries) in running.pending_writes.drain(..) {
        if let Some(from) = truncate {
            disk.entries.split_off(&from);
        }
        for entry in entries {
            if entry.index > disk.base.index {
                disk.entries.insert(entry.index, entry);
            }
        }
    }
}

fn follow(leasing: &mut Leasing, command: &Command, state: &JobState) {
    match &command.body {
        Some(Body::CreateJob(created)) => {
            if let Some(job) = state.job(&created.job).filter(|job| !job.has_ended()) {
                leasing.open_job(job);
            }
        }
        Some(Body::CancelJob(cancelled)) => {
            if let Some(job) = state.job(&cancelled.job) {
                leasing.close_job(job);
            }
        }
        Some(Body::CompleteItems(completed)) => {
            let positions: Vec<u64> = completed.results.iter().map(|result| result.position).collect();
            leasing.completed(&completed.job, &positions);
            if let Some(job) = state.job(&completed.job).filter(|job| job.has_ended()) {
                leasing.close_job(job);
            }
        }
        Some(Body::Batch(batch)) => batch.commands.iter().for_each(|command| follow(leasing, command, state)),
        _ => {}
    }
}

fn unknown(job: &str, positions: &[u64]) -> Command {
    let result = |position: &u64| ItemResult {
        position: *position,
        code: ResultCode::OutcomeUnknown.number(),
        ..ItemResult::default()
    };
    let results = positions.iter().map(result).collect();
    Command { body: Some(Body::CompleteItems(CompleteItems { job: job.into(), results, at_seconds: 0 })) }
}
