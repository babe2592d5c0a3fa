//! Time, events and the network of a simulation.

use super::client::Client;
use super::holder::Holder;
use super::machine::Machine;
use super::schedule::FaultKind;
use latchwheel_core::code::ResultCode;
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::{Command, CompleteRequest, HeldChunk, LeasedItem, Outcome, ReplicationMessage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Index of a machine.
pub type MachineNumber = usize;

/// A holder's request to a leader for items.
#[derive(Clone, Debug)]
pub struct LeaseQuery {
    /// Unique over all holders.
    pub request: u64,
    pub free_slots: usize,
    pub held: Vec<HeldChunk>,
    pub term: u64,
    pub abandoned: Vec<u64>,
}

/// A message between machines and clients.
#[derive(Clone, Debug)]
pub enum Message {
    Replication(ReplicationMessage),
    Propose {
        client: usize,
        request: u64,
        command: Command,
    },
    Proposed {
        client: usize,
        request: u64,
        result: Result<Outcome, ResultCode>,
        leader: Option<MachineNumber>,
    },
    Lease {
        holder: MachineNumber,
        query: LeaseQuery,
    },
    Leased {
        request: u64,
        term: u64,
        items: Vec<LeasedItem>,
        ended: Vec<String>,
        leader: Option<MachineNumber>,
        accepted: bool,
    },
    Complete {
        holder: MachineNumber,
        request: u64,
        body: CompleteRequest,
    },
    Completed {
        request: u64,
        committed: bool,
        leader: Option<MachineNumber>,
    },
}

/// Recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    Machine(MachineNumber),
    Client(usize),
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum SimEvent {
    Deliver(Destination, Message),
    MachineTick(MachineNumber, u64),
    HolderTick(MachineNumber, u64),
    ClientTick(usize),
    /// The sync of a machine's disk ends; its deferred actions follow.
    Synced(MachineNumber, u64),
    /// A pull of the state ends.
    Pulled(MachineNumber, u64, Option<MachineNumber>),
    EngineDone {
        holder: MachineNumber,
        boot: u64,
        job: String,
        position: u64,
    },
    Fault,
    Resume(MachineNumber),
    Restart(MachineNumber),
    Heal,
}

/// A start of an item at an engine.
#[derive(Clone, Debug)]
pub struct EngineRun {
    pub at: Instant,
    pub holder: MachineNumber,
}

/// State of one simulation.
pub struct World {
    pub now: Instant,
    pub random: SmallRng,
    pub machines: Vec<Machine>,
    pub holders: Vec<Holder>,
    pub clients: Vec<Client>,
    pub cut: BTreeSet<(String, String)>,
    pub loss: f64,
    pub runs: HashMap<(String, u64), Vec<EngineRun>>,
    pub leader_by_term: BTreeMap<u64, u64>,
    pub fault_kinds: Vec<FaultKind>,
    pub faults_end: Instant,
    queue: BTreeMap<(Instant, u64), SimEvent>,
    sequence: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::from_micros(1_000_000),
            random: SmallRng::seed_from_u64(seed),
            machines: Vec::new(),
            holders: Vec::new(),
            clients: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            runs: HashMap::new(),
            leader_by_term: BTreeMap::new(),
            fault_kinds: Vec::new(),
            faults_end: Instant::default(),
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    pub fn random_milliseconds(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_micros(self.random.random_range(min * 1000..=max * 1000))
    }

    /// Sends a message, which may be lost, delayed or duplicated.
    pub fn send(&mut self, from: Option<MachineNumber>, to: Destination, message: Message) {
        if let (Some(from), Destination::Machine(to)) = (from, to) {
            let link = (self.machines[from].zone.clone(), self.machines[to].zone.clone());
            if from != to && self.cut.contains(&link) {
                return;
            }
        }
        if self.random.random_bool(self.loss) {
            return;
        }
        let copies = if self.random.random_bool(self.loss / 4.0) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if self.random.random_bool(0.05) {
                self.random_milliseconds(5, 120)
            } else {
                self.random_milliseconds(0, 4)
            };
            self.schedule(delay, SimEvent::Deliver(to, message.clone()));
        }
    }

    /// Processes events up to a point in time.
    pub fn run_until(&mut self, end: Instant) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Deliver(Destination::Machine(to), message) => self.deliver_to_machine(to, message),
            SimEvent::Deliver(Destination::Client(to), message) => self.deliver_to_client(to, message),
            SimEvent::MachineTick(machine, boot) => self.machine_tick(machine, boot),
            SimEvent::HolderTick(machine, boot) => self.holder_tick(machine, boot),
            SimEvent::ClientTick(client) => self.client_tick(client),
            SimEvent::Synced(machine, boot) => self.synced(machine, boot),
            SimEvent::Pulled(machine, boot, from) => self.pulled(machine, boot, from),
            SimEvent::EngineDone { holder, boot, job, position } => self.engine_done(holder, boot, job, position),
            SimEvent::Fault => self.random_fault(),
            SimEvent::Resume(machine) => self.resume(machine),
            SimEvent::Restart(machine) => self.restart(machine),
            SimEvent::Heal => self.cut.clear(),
        }
    }

    fn deliver_to_machine(&mut self, to: MachineNumber, message: Message) {
        if self.machines[to].running.is_none() {
            return;
        }
        if self.machines[to].paused {
            self.machines[to].deferred.push_back(message);
            return;
        }
        match message {
            Message::Leased { .. } | Message::Completed { .. } => self.holder_receives(to, message),
            other => self.machine_receives(to, other),
        }
    }
}
