//! A whole system of hollow nodes: the state machines of real nodes, with
//! the network, the key-value service and the machine list inside the
//! process, in virtual time.
//!
//! What is measured is control alone: membership, configuration, limits,
//! ownership. Processor time is the time that the state machines and the
//! coding of their messages took; bytes are those of the coded messages with
//! the headers that UDP, TCP and HTTP/2 put before them.

mod configuring;
mod limiting;
mod owning;

use super::place::{Place, Plan};
use latchwheel_core::configuration::{self, ConfigurationLog};
use latchwheel_core::identity::{NodeId, ServerId};
use latchwheel_core::limits::{LimitHolder, LimitHome, ShareDemand};
use latchwheel_core::membership::{self, Membership};
use latchwheel_core::ownership::{is_among_first, OwnedServer};
use latchwheel_core::scheduler::{BatchPolicy, Scheduler};
use latchwheel_core::table::{Edit, Table};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::{Datagram, MemberRecord, MemberStatus};
use latchwheel_protocol::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The runtime's tick of the membership.
const TICK: Duration = Duration::from_millis(25);
/// The runtime's interval of looking for limits to ask for.
const LIMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time of a pull, after which another peer is asked.
const PULL_TIME: Duration = Duration::from_millis(100);
/// IP and UDP headers of a datagram.
const DATAGRAM_HEADER: u64 = 28;
/// Headers of a call between nodes: IP, TCP, HTTP/2 frames, both ways.
const CALL_HEADER: u64 = 260;
/// Headers of a call of the platform over HTTP/1.1, both ways.
const PLATFORM_CALL: u64 = 480;
/// The key-value service and the machine list answer after this time.
const PLATFORM_TIME: Duration = Duration::from_millis(20);
/// The machine list shows a change after this time.
const LIST_LAG: Duration = Duration::from_secs(1);
/// A watch or a waiting call of the platform is renewed after this time.
const WATCH_RENEWAL: Duration = Duration::from_secs(5);
/// Nodes of a region that watch the key-value service, as in the runtime.
const WATCHERS: usize = configuration::WATCHERS;

/// What a node has spent on control.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCost {
    /// Processor time.
    pub busy: Duration,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Messages sent and received.
    pub messages: u64,
}

/// One hollow node.
pub struct HollowNode {
    /// Its record.
    pub record: MemberRecord,
    /// Where it is.
    pub place: Place,
    /// Whether it runs.
    pub alive: bool,
    /// What it has spent.
    pub cost: NodeCost,
    membership: Membership,
    configuration: ConfigurationLog,
    holder: LimitHolder,
    home: LimitHome,
    scheduler: Scheduler,
    owned: BTreeSet<ServerId>,
    stale_ownership: bool,
    next_limits: Instant,
    next_pull: Instant,
    boot: u64,
}

#[derive(Clone, Debug)]
enum Happening {
    Tick(usize, u64),
    Datagram(usize, Vec<u8>),
    PullRequest { from: usize, to: usize, after: u64 },
    PullAnswer { to: usize, records: Vec<configuration::Record>, table: Option<Arc<Table>>, bytes: u64 },
    WatchFires(usize),
    WatchRenews(usize, u64),
    ListShown(usize),
    Ownership(usize),
    LimitAsk { from: usize, to: usize, demands: Vec<ShareDemand> },
    LimitGrant { to: usize, shares: Vec<(String, f64)>, asked_at: Instant },
}

/// When an edit was made and when each node had it.
#[derive(Clone, Debug)]
pub struct EditTrace {
    /// When the key was created.
    pub at: Instant,
    /// The revision.
    pub revision: u64,
    /// When each node, by number, had it in force.
    pub in_force: BTreeMap<usize, Instant>,
}

/// When a node died and when others knew.
#[derive(Clone, Debug)]
pub struct DeathTrace {
    /// The node.
    pub node: usize,
    /// When it died.
    pub at: Instant,
    /// When each node of its region held it for dead.
    pub known: BTreeMap<usize, Instant>,
}

/// The whole system.
pub struct World {
    /// The present time.
    pub now: Instant,
    /// All nodes, also dead ones.
    pub nodes: Vec<HollowNode>,
    /// Edits so far.
    pub edits: Vec<EditTrace>,
    /// Deaths so far.
    pub deaths: Vec<DeathTrace>,
    /// Pairs of regions that are cut off from each other.
    pub cut_regions: BTreeSet<(usize, usize)>,
    /// Regions that can't reach the platform.
    pub cut_platform: BTreeSet<usize>,
    plan: Plan,
    servers: BTreeMap<usize, Vec<OwnedServer>>,
    by_identity: BTreeMap<u64, usize>,
    service: Table,
    log: Vec<Edit>,
    queue: BTreeMap<(Instant, u64), Happening>,
    sequence: u64,
    random: SmallRng,
    machine_bytes: u64,
}

impl World {
    /// Builds the system; nodes know a few others from the machine list.
    pub fn new(plan: &Plan, table: Table) -> Self {
        let mut world = Self {
            now: Instant::from_micros(1_000_000),
            nodes: Vec::new(),
            edits: Vec::new(),
            deaths: Vec::new(),
            cut_regions: BTreeSet::new(),
            cut_platform: BTreeSet::new(),
            servers: plan.servers(),
            plan: plan.clone(),
            by_identity: BTreeMap::new(),
            service: table,
            log: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(plan.seed),
            machine_bytes: plan.machine_bytes(),
        };
        for number in 0..plan.nodes {
            world.add_node(number);
        }
        for number in 0..plan.nodes {
            world.start_node(number);
        }
        world
    }

    fn add_node(&mut self, number: usize) {
        let place = self.plan.place(number);
        let record = MemberRecord {
            node: NodeId::of_name(&format!("node-{number}")).0,
            incarnation: 1,
            address: number.to_string(),
            zone: place.zone_name(),
            region: place.region_name(),
            name: format!("node-{number}"),
            ..MemberRecord::default()
        };
        self.by_identity.insert(record.node, number);
        let mut configuration = ConfigurationLog::new();
        configuration.handle(configuration::Event::Snapshot(self.service.clone()));
        self.nodes.push(HollowNode {
            membership: Membership::new(membership::Settings::default(), record.clone(), self.now, number as u64),
            record,
            place,
            alive: false,
            cost: NodeCost::default(),
            configuration,
            holder: LimitHolder::default(),
            home: LimitHome::default(),
            scheduler: Scheduler::new(BatchPolicy::Yield, true),
            owned: BTreeSet::new(),
            stale_ownership: true,
            next_limits: self.now,
            next_pull: self.now,
            boot: 0,
        });
    }

    /// Starts a node that does not run, as a new incarnation.
    pub fn start_node(&mut self, number: usize) {
        let seed = self.random.random();
        let node = &mut self.nodes[number];
        node.boot += 1;
        node.alive = true;
        node.record.incarnation += 1;
        node.membership = Membership::new(membership::Settings::default(), node.record.clone(), self.now, seed);
        node.scheduler = Scheduler::new(BatchPolicy::Yield, true);
        node.owned.clear();
        node.stale_ownership = true;
        let boot = node.boot;
        let offset = Duration::from_micros(self.random.random_range(0..25_000));
        self.schedule(offset, Happening::Tick(number, boot));
        self.schedule(offset, Happening::ListShown(number));
        self.schedule(offset, Happening::WatchRenews(number, boot));
    }

    /// Kills a node.
    pub fn kill_node(&mut self, number: usize) {
        self.nodes[number].alive = false;
        self.deaths.push(DeathTrace { node: number, at: self.now, known: BTreeMap::new() });
    }

    /// Makes an edit: the key of the next revision is created now.
    pub fn edit(&mut self, edit: Edit) {
        self.service.apply(&edit);
        self.log.push(edit);
        let revision = self.service.revision;
        self.edits.push(EditTrace { at: self.now, revision, in_force: BTreeMap::new() });
        for number in 0..self.nodes.len() {
            if self.nodes[number].alive && self.is_watcher(number) {
                let delay = PLATFORM_TIME * 2 + self.jitter(10_000);
                self.schedule(delay, Happening::WatchFires(number));
            }
        }
    }

    /// A server of a zone was replaced: the list shows it to the zone's nodes.
    pub fn replace_server(&mut self, zone: usize) {
        for number in 0..self.nodes.len() {
            if self.nodes[number].alive && self.nodes[number].place.zone == zone {
                let delay = LIST_LAG + self.jitter(100_000);
                self.schedule(delay, Happening::ListShown(number));
            }
        }
    }

    /// Some requests of a row arrive at a node.
    pub fn demand(&mut self, number: usize, row: &str, rate: f64) {
        let now = self.now;
        let begun = std::time::Instant::now();
        let node = &mut self.nodes[number];
        let _ = node.holder.admit(now, row, rate, 56);
        node.cost.busy += begun.elapsed();
    }

    fn is_watcher(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        let live = node.membership.live().filter(|record| record.region == node.record.region);
        let nodes = live.map(|record| NodeId(record.node));
        !self.cut_platform.contains(&node.place.region)
            && is_among_first(NodeId(node.record.node), configuration::watch_name(), nodes, WATCHERS)
    }

    fn jitter(&mut self, micros: u64) -> Duration {
        Duration::from_micros(self.random.random_range(0..micros))
    }

    fn schedule(&mut self, after: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), happening);
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let jitter = self.jitter(200);
        let (from, to) = (self.nodes[from].place, self.nodes[to].place);
        let base = match (from.region == to.region, from.zone == to.zone) {
            (_, true) => 200,
            (true, false) => 1_000,
            (false, false) => 20_000,
        };
        Duration::from_micros(base) + jitter
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].place.region, self.nodes[to].place.region);
        self.cut_regions.contains(&(from.min(to), from.max(to)))
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(number, boot) => self.tick(number, boot),
            Happening::Datagram(to, bytes) => self.receive(to, &bytes),
            Happening::PullRequest { from, to, after } => self.answer_pull(from, to, after),
            Happening::PullAnswer { to, records, table, bytes } => {
                self.nodes[to].cost.received += bytes;
                if let Some(table) = table {
                    self.configure(to, configuration::Event::Snapshot(table.as_ref().clone()));
                }
                self.configure(to, configuration::Event::Records(records));
            }
            Happening::WatchFires(number) => self.watch_fires(number),
            Happening::WatchRenews(number, boot) => self.watch_renews(number, boot),
            Happening::ListShown(number) => self.show_list(number),
            Happening::Ownership(number) => self.take_share(number),
            Happening::LimitAsk { from, to, demands } => self.grant_limits(from, to, demands),
            Happening::LimitGrant { to, shares, asked_at } => {
                let now = self.now;
                if self.nodes[to].alive {
                    let begun = std::time::Instant::now();
                    for (row, rate) in shares {
                        self.nodes[to].holder.granted(now, asked_at, &row, rate);
                    }
                    self.nodes[to].cost.busy += begun.elapsed();
                }
            }
        }
    }

    fn tick(&mut self, number: usize, boot: u64) {
        if !self.nodes[number].alive || self.nodes[number].boot != boot {
            return;
        }
        self.schedule(TICK, Happening::Tick(number, boot));
        self.handle_membership(number, membership::Event::Tick);
        if self.now < self.nodes[number].next_limits {
            return;
        }
        let now = self.now;
        self.nodes[number].next_limits = now + LIMIT_INTERVAL;
        let begun = std::time::Instant::now();
        let demands = self.nodes[number].holder.demands(now);
        self.nodes[number].cost.busy += begun.elapsed();
        if !demands.is_empty() {
            self.ask_limits(number, demands);
        }
    }

    fn receive(&mut self, to: usize, bytes: &[u8]) {
        if !self.nodes[to].alive {
            return;
        }
        let begun = std::time::Instant::now();
        let Ok(datagram) = Datagram::decode(bytes) else { return };
        let cost = &mut self.nodes[to].cost;
        cost.received += bytes.len() as u64 + DATAGRAM_HEADER;
        cost.messages += 1;
        cost.busy += begun.elapsed();
        self.handle_membership(to, membership::Event::Received(datagram));
    }

    fn handle_membership(&mut self, number: usize, event: membership::Event) {
        let now = self.now;
        let begun = std::time::Instant::now();
        let node = &mut self.nodes[number];
        let actions = node.membership.handle(now, event);
        let mut datagrams = Vec::new();
        let mut others = Vec::new();
        for action in actions {
            match action {
                membership::Action::Send(address, datagram) => datagrams.push((address, datagram.encode_to_vec())),
                other => others.push(other),
            }
        }
        node.cost.busy += begun.elapsed();
        for (address, bytes) in datagrams {
            let Ok(to) = address.parse::<usize>() else { continue };
            let cost = &mut self.nodes[number].cost;
            cost.sent += bytes.len() as u64 + DATAGRAM_HEADER;
            cost.messages += 1;
            if !self.is_cut(number, to) {
                let delay = self.delay(number, to);
                self.schedule(delay, Happening::Datagram(to, bytes));
            }
        }
        for action in others {
            match action {
                membership::Action::Changed(record) => self.note_change(number, &record),
                membership::Action::PeerAt(peer, revision) => {
                    // The runtime has one pull under way at a time.
                    let behind = revision > self.nodes[number].configuration.table().revision;
                    if behind && self.now >= self.nodes[number].next_pull {
                        self.nodes[number].next_pull = self.now + PULL_TIME;
                        self.configure(number, configuration::Event::PeerAt(peer, revision));
                    }
                }
                membership::Action::Send(..) => {}
            }
        }
    }

    fn note_change(&mut self, number: usize, record: &MemberRecord) {
        if record.region == self.nodes[number].record.region && !self.nodes[number].stale_ownership {
            // Changes that come together lead to one assignment.
            self.nodes[number].stale_ownership = true;
            self.schedule(Duration::from_millis(50), Happening::Ownership(number));
        }
        if record.status() != MemberStatus::Dead {
            return;
        }
        let Some(dead) = self.by_identity.get(&record.node).copied() else { return };
        let now = self.now;
        let trace = self.deaths.iter_mut().rev().find(|trace| trace.node == dead);
        if let Some(trace) = trace.filter(|_| !self.nodes[dead].alive) {
            trace.known.entry(number).or_insert(now);
        }
    }

    /// Largest and mean number of servers that a live node owns.
    pub fn shares(&self) -> (usize, f64) {
        let shares: Vec<usize> = self.nodes.iter().filter(|node| node.alive).map(|node| node.owned.len()).collect();
        let sum: usize = shares.iter().sum();
        (shares.iter().copied().max().unwrap_or(0), sum as f64 / shares.len().max(1) as f64)
    }

    /// Servers that no live node owns.
    pub fn without_owner(&self) -> usize {
        let owned: BTreeSet<ServerId> =
            self.nodes.iter().filter(|node| node.alive).flat_map(|node| node.owned.iter().copied()).collect();
        let all: usize = self.servers.values().map(Vec::len).sum();
        all - owned.len()
    }

    /// Clears what was spent, to measure from here.
    pub fn clear_costs(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.cost = NodeCost::default());
    }
}
