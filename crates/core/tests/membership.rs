//! Membership of many nodes over a network with loss, delay and partitions.

use latchwheel_core::identity::NodeId;
use latchwheel_core::membership::{Action, Event, Membership, Settings};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::{Datagram, MemberRecord, MemberStatus, Summary};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);

struct Network {
    now: Instant,
    nodes: Vec<Option<Membership>>,
    paused: BTreeSet<usize>,
    cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Instant, u64), (usize, usize, Datagram)>,
    sequence: u64,
    loss: f64,
    random: SmallRng,
    changes: Vec<(usize, MemberRecord)>,
    records: Vec<MemberRecord>,
}

fn record(number: usize, region: &str) -> MemberRecord {
    MemberRecord {
        node: NodeId::of_name(&format!("node-{number}")).0,
        incarnation: 1,
        address: number.to_string(),
        zone: format!("zone-{}", number % 3),
        region: region.into(),
        name: format!("node-{number}"),
        ..MemberRecord::default()
    }
}

impl Network {
    fn new(nodes: usize, regions: usize, loss: f64, seed: u64) -> Self {
        let records: Vec<MemberRecord> =
            (0..nodes).map(|number| record(number, &format!("region-{}", number % regions))).collect();
        let now = Instant::from_micros(1_000_000);
        let mut network = Self {
            now,
            nodes: Vec::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            loss,
            random: SmallRng::seed_from_u64(seed),
            changes: Vec::new(),
            records,
        };
        for number in 0..nodes {
            network.nodes.push(None);
            network.start(number, 1);
        }
        network
    }

    fn start(&mut self, number: usize, incarnation: u64) {
        // The machine list has no replica identities; only the node's own record has.
        let me = MemberRecord { incarnation, replica: number as u64 + 1, ..self.records[number].clone() };
        let seed = self.random.random();
        self.nodes[number] = Some(Membership::new(Settings::default(), me, self.now, seed));
        // The machine list holds only some of the nodes.
        let seeds: Vec<MemberRecord> = self.records.iter().step_by(5).cloned().collect();
        self.handle(number, Event::Seeds(seeds));
    }

    fn handle(&mut self, number: usize, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes[number].as_mut() else { return };
        for action in node.handle(now, event) {
            match action {
                Action::Send(address, datagram) => {
                    let to: usize = address.parse().unwrap();
                    if self.cut.contains(&(number, to)) || self.random.random_bool(self.loss) {
                        continue;
                    }
                    let delay = Duration::from_micros(self.random.random_range(200..15_000));
                    self.sequence += 1;
                    self.queue.insert((now + delay, self.sequence), (number, to, datagram));
                }
                Action::Changed(record) => self.changes.push((number, record)),
                Action::PeerRevision(..) => {}
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + TICK;
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > next {
                    break;
                }
                let ((at, _), (_, to, datagram)) = entry.remove_entry();
                self.now = self.now.max(at);
                if !self.paused.contains(&to) {
                    self.handle(to, Event::Received(datagram));
                }
            }
            self.now = next;
            for number in 0..self.nodes.len() {
                if !self.paused.contains(&number) {
                    self.handle(number, Event::Tick);
                }
            }
        }
    }

    fn status(&self, at: usize, of: usize) -> Option<MemberStatus> {
        let node = self.nodes[at].as_ref()?;
        node.records().find(|record| record.node == self.records[of].node).map(MemberRecord::status)
    }

    fn all_see(&self, of: usize, status: MemberStatus) -> bool {
        (0..self.nodes.len())
            .filter(|at| *at != of && self.nodes[*at].is_some() && !self.paused.contains(at))
            .all(|at| self.status(at, of) == Some(status))
    }
}

#[test]
fn every_node_discovers_all_others() {
    for seed in 0..5 {
        let mut network = Network::new(30, 1, 0.05, seed);
        network.run(Duration::from_secs(10));
        for node in 0..30 {
            assert!(network.all_see(node, MemberStatus::Alive), "seed {seed}: node {node}");
        }
    }
}

#[test]
fn a_dead_node_is_detected_by_all_within_ten_seconds() {
    for seed in 0..10 {
        let mut network = Network::new(56, 1, 0.02, seed);
        network.run(Duration::from_secs(10));
        network.nodes[7] = None;
        network.run(Duration::from_secs(10));
        assert!(network.all_see(7, MemberStatus::Dead), "seed {seed}");
    }
}

#[test]
fn packet_loss_marks_no_node_dead() {
    for seed in 0..10 {
        let mut network = Network::new(30, 1, 0.10, seed);
        network.run(Duration::from_secs(60));
        let dead: Vec<_> = network.changes.iter().filter(|(_, record)| record.status() == MemberStatus::Dead).collect();
        assert!(dead.is_empty(), "seed {seed}: {dead:?}");
    }
}

#[test]
fn a_paused_node_rejoins_when_resumed() {
    for seed in 0..10 {
        let mut network = Network::new(20, 1, 0.02, seed);
        network.run(Duration::from_secs(8));
        network.paused.insert(3);
        network.run(Duration::from_secs(15));
        assert!(network.all_see(3, MemberStatus::Dead), "seed {seed}");
        network.paused.remove(&3);
        network.run(Duration::from_secs(20));
        assert!(network.all_see(3, MemberStatus::Alive), "seed {seed}");
    }
}

#[test]
fn both_sides_of_a_healed_partition_rejoin() {
    for seed in 0..10 {
        let mut network = Network::new(18, 1, 0.02, seed);
        network.run(Duration::from_secs(8));
        for from in 0..18 {
            for to in 0..18 {
                if from % 3 == 0 && to % 3 != 0 {
                    network.cut.extend([(from, to), (to, from)]);
                }
            }
        }
        network.run(Duration::from_secs(20));
        assert_eq!(network.status(0, 1), Some(MemberStatus::Dead), "seed {seed}");
        network.cut.clear();
        network.run(Duration::from_secs(40));
        for node in 0..18 {
            assert!(network.all_see(node, MemberStatus::Alive), "seed {seed}: node {node}");
        }
    }
}

#[test]
fn a_cut_link_between_two_nodes_marks_neither_dead() {
    for seed in 0..10 {
        let mut network = Network::new(12, 1, 0.02, seed);
        network.run(Duration::from_secs(8));
        network.cut.extend([(2, 5), (5, 2)]);
        network.changes.clear();
        network.run(Duration::from_secs(40));
        let dead = network.changes.iter().any(|(_, record)| record.status() == MemberStatus::Dead);
        assert!(!dead, "seed {seed}: both nodes are reachable by the others");
    }
}

#[test]
fn a_planned_leave_spreads_within_a_second() {
    for seed in 0..10 {
        let mut network = Network::new(30, 1, 0.02, seed);
        network.run(Duration::from_secs(8));
        network.handle(4, Event::Leave);
        network.run(Duration::from_secs(1));
        let informed = (0..30).filter(|at| network.status(*at, 4) == Some(MemberStatus::Leaving)).count();
        assert!(informed >= 28, "seed {seed}: only {informed} of 29 nodes received it");
    }
}

#[test]
fn a_restarted_node_supersedes_its_dead_record() {
    let mut network = Network::new(15, 1, 0.02, 1);
    network.run(Duration::from_secs(8));
    network.nodes[2] = None;
    network.run(Duration::from_secs(12));
    assert!(network.all_see(2, MemberStatus::Dead));
    network.start(2, 100);
    network.run(Duration::from_secs(6));
    assert!(network.all_see(2, MemberStatus::Alive));
}

#[test]
fn a_revision_spreads_within_a_region_and_to_the_others() {
    for seed in 0..5 {
        let mut network = Network::new(42, 3, 0.02, seed);
        network.run(Duration::from_secs(10));
        let summary = Summary { node: network.records[0].node, revision: 9, ..Summary::default() };
        network.handle(0, Event::OwnSummary(summary));
        // A node that receives the revision adopts it, as the configuration log does.
        for _ in 0..80 {
            network.run(TICK);
            for number in 0..42 {
                let received = network.nodes[number]
                    .as_ref()
                    .is_some_and(|node| node.summaries().any(|summary| summary.revision == 9));
                if received {
                    let own = Summary { node: network.records[number].node, revision: 9, ..Summary::default() };
                    network.handle(number, Event::OwnSummary(own));
                }
            }
        }
        let behind = (1..42)
            .filter(|number| {
                let node = network.nodes[*number].as_ref().unwrap();
                !node.summaries().any(|summary| summary.revision == 9)
            })
            .count();
        assert_eq!(behind, 0, "seed {seed}: nodes without the revision after four seconds");
    }
}

#[test]
fn a_seed_is_asked_for_its_record_until_the_record_arrives() {
    let mut now = Instant::from_micros(1_000_000);
    let mut node = Membership::new(Settings::default(), record(0, "region"), now, 1);
    let other = record(1, "region");
    node.handle(now, Event::Seeds(vec![other.clone()]));
    let mut probes = Vec::new();
    for _ in 0..200 {
        now = now + TICK;
        for action in node.handle(now, Event::Tick) {
            let Action::Send(_, probe) = action else { continue };
            // The answer carries no record, as when the update was lost.
            let answer = Datagram {
                from: other.node,
                to: probe.from,
                sequence: probe.sequence,
                answer: true,
                ..Datagram::default()
            };
            probes.push(probe.join);
            node.handle(now, Event::Received(answer));
        }
    }
    assert!(probes.len() > 10 && probes.iter().all(|join| *join), "{probes:?}");
    let update = Datagram {
        from: other.node,
        to: record(0, "region").node,
        answer: true,
        updates: vec![MemberRecord { replica: 7, ..other }],
        ..Datagram::default()
    };
    node.handle(now, Event::Received(update));
    assert!(node.records().all(|record| record.replica == 7));
}
