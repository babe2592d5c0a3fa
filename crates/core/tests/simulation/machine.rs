//! A machine with a disk and a replica. Like the runtime, it performs actions in
//! order and none before the preceding sync has ended; a crash loses all data
//! that was not synced.

use super::world::{Destination, LeaseQuery, MachineNumber, Message, SimEvent, World};
use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::JobState;
use latchwheel_core::leasing::{LeaseRequester, Leasing};
use latchwheel_core::replication::{Action, Event, HardState, LogBase, Replication, Restored, Settings};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{
    Batch, Command, CompleteItems, CompleteRequest, Entry, LeasedItem, Members, Outcome, StartItems,
};
use latchwheel_protocol::Message as Encode;
use rand::Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(40);
const UPKEEP_TICKS: u64 = 10;

/// Data that survives a crash of the machine.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub hard: HardState,
    pub base: LogBase,
    pub base_state: JobState,
    pub entries: BTreeMap<u64, Entry>,
}

/// The recipient of the answer to a proposal.
#[derive(Clone, Debug)]
pub enum Waiter {
    Client { client: usize, request: u64 },
    Grant { holder: MachineNumber, request: u64, items: Vec<LeasedItem>, ended: Vec<String> },
    Complete { holder: MachineNumber, request: u64 },
    Nobody,
}

/// The running process of a machine.
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
    pub deferred_actions: Vec<Action>,
    pub inbox: VecDeque<Message>,
    pub lost_since: BTreeMap<u64, Instant>,
    pub ticks: u64,
    /// Index and term of every applied entry, for the checks; term zero for a pulled state.
    pub applied: Vec<(u64, u64)>,
}

/// A machine, which may be running, paused or down.
pub struct Machine {
    pub zone: String,
    pub replica: u64,
    pub disk: Disk,
    pub running: Option<Running>,
    pub paused: bool,
    pub deferred: VecDeque<Message>,
    pub boot: u64,
    pub settings: Settings,
    pub target_voters: usize,
}

pub fn node_of(machine: MachineNumber) -> NodeId {
    NodeId(machine as u64 + 1)
}

impl World {
    pub fn add_machine(&mut self, zone: &str, replica: u64, settings: Settings, target_voters: usize) {
        self.machines.push(Machine {
            zone: zone.into(),
            replica,
            disk: Disk::default(),
            running: None,
            paused: false,
            deferred: VecDeque::new(),
            boot: 0,
            settings,
            target_voters,
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
            deferred_actions: Vec::new(),
            inbox: VecDeque::new(),
            lost_since: BTreeMap::new(),
            ticks: 0,
            applied: Vec::new(),
        });
        let boot = machine.boot;
        self.holders[number].reset();
        self.schedule(TICK, SimEvent::MachineTick(number, boot));
        let after = self.random_milliseconds(10, 80);
        self.schedule(after, SimEvent::HolderTick(number, boot));
    }

    pub fn crash(&mut self, number: MachineNumber) {
        // A pending sync may or may not have reached the disk.
        let reached = self.random.random_bool(0.5);
        let machine = &mut self.machines[number];
        let Some(mut running) = machine.running.take() else { return };
        if running.blocked && reached {
            machine.disk.write(&mut running);
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
        self.schedule(TICK, SimEvent::MachineTick(number, boot));
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
            self.schedule(Duration::ZERO, SimEvent::Deliver(Destination::Machine(number), message));
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
            Message::Lease { holder, query } => self.serve_lease(number, holder, query),
            Message::Complete { holder, request, body } => self.serve_complete(number, holder, request, body),
            Message::Proposed { .. } | Message::Leased { .. } | Message::Completed { .. } => {}
        }
    }

    pub fn propose(&mut self, number: MachineNumber, command: Command, waiter: Waiter) {
        let now = self.now;
        let Some(running) = self.machines[number].running.as_mut() else { return };
        running.next_proposal += 1;
        let identity = running.next_proposal;
        running.proposals.insert(identity, waiter);
        let payload = command.encode_to_vec().into();
        let actions = running.core.handle(now, Event::Propose(identity, payload));
        self.perform(number, actions);
    }

    pub fn leader_seen_by(&self, number: MachineNumber) -> Option<MachineNumber> {
        let running = self.machines[number].running.as_ref()?;
        self.machine_of(running.core.leader())
    }

    fn serve_lease(&mut self, number: MachineNumber, holder: MachineNumber, query: LeaseQuery) {
        let LeaseQuery { request, free_slots, held, term, abandoned } = query;
        let now = self.now;
        let leader = self.leader_seen_by(number);
        let Some(running) = self.machines[number].running.as_mut() else { return };
        let own_term = running.core.term();
        let Some(leasing) = running.leasing.as_mut() else {
            let answer = Message::Leased { request, term: 0, items: vec![], ended: vec![], leader, accepted: false };
            return self.send(Some(number), Destination::Machine(holder), answer);
        };
        let without_positions = !held.is_empty() && held.iter().all(|chunk| chunk.positions.is_empty());
        if term != own_term && without_positions {
            let answer =
                Message::Leased { request, term: own_term, items: vec![], ended: vec![], leader, accepted: false };
            return self.send(Some(number), Destination::Machine(holder), answer);
        }
        leasing.reclaim(now, node_of(holder), &abandoned, &running.state);
        let ended = leasing.renew(now, node_of(holder), &held, &running.state);
        let requester = LeaseRequester { node: node_of(holder), request };
        let mut items = Vec::new();
        let mut starts = Vec::new();
        for grant in leasing.grant(now, requester, "row", free_slots, &running.state) {
            let Some(job) = running.state.job(&grant.job) else { continue };
            if !job.record.repeatable {
                let start = StartItems {
                    job: grant.job.clone(),
                    positions: grant.positions.clone(),
                    holder: node_of(holder).0,
                    request,
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
            let answer = Message::Leased { request, term: own_term, items, ended, leader, accepted: true };
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
                leasing.return_items(node_of(holder), returned, job);
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

    /// Crashes a machine and erases its disk; it restarts as a new replica.
    pub fn lose_disk(&mut self, number: MachineNumber) {
        self.crash(number);
        let replica = self.random.random::<u64>() | 1;
        self.machines[number].disk = Disk::default();
        self.machines[number].replica = replica;
    }

    /// Stores the initial members on their disks and starts all machines.
    pub fn bootstrap(&mut self, members: &Members) {
        for number in 0..self.machines.len() {
            let replica = self.machines[number].replica;
            if members.replicas.iter().any(|member| member.replica == replica) {
                self.machines[number].disk.base.members = members.clone();
            }
            self.restart(number);
        }
    }
}
