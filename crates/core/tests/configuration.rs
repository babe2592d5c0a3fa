//! The configuration log with racing edits, lost answers and outages, in random order.

use latchwheel_core::configuration::{Action, ConfigurationLog, EditOutcome, Event, Record};
use latchwheel_core::identity::NodeId;
use latchwheel_core::table::{Change, Class, Edit, Limits, RetryPolicy, Row, Table};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

const SCHEDULES: u64 = 2000;

fn row(name: &str, weight: f64) -> Row {
    Row {
        name: name.into(),
        class: Class::Online,
        weight,
        service: "pool".into(),
        model: String::new(),
        limits: Limits::default(),
        retry: RetryPolicy::default(),
        deadline_milliseconds: 0,
        retention_seconds: 0,
    }
}

fn edit(identity: u64) -> Edit {
    Edit { identity, operator: "operator".into(), change: Change::Put(row(&format!("row-{}", identity % 5), 1.0)) }
}

/// Simulated key-value service that creates a key only if it is absent.
#[derive(Default)]
struct KeyValueService {
    log: BTreeMap<u64, Edit>,
    unavailable: bool,
}

struct Cluster {
    service: KeyValueService,
    nodes: Vec<ConfigurationLog>,
    pending: Vec<VecDeque<Action>>,
    outcomes: BTreeMap<u64, EditOutcome>,
    published: Vec<u64>,
    random: SmallRng,
}

impl Cluster {
    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            service: KeyValueService::default(),
            nodes: (0..nodes).map(|_| ConfigurationLog::new()).collect(),
            pending: vec![VecDeque::new(); nodes],
            outcomes: BTreeMap::new(),
            published: vec![0; nodes],
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        for action in self.nodes[node].handle(event) {
            match action {
                Action::Answer(identity, outcome) => {
                    assert!(self.outcomes.insert(identity, outcome).is_none(), "an edit was answered twice");
                }
                Action::Publish(table) => {
                    assert!(table.revision > self.published[node], "the revision at a node decreased");
                    self.published[node] = table.revision;
                }
                other => self.pending[node].push_back(other),
            }
        }
    }

    /// Executes a node's next pending action.
    fn step(&mut self, node: usize) {
        let Some(action) = self.pending[node].pop_front() else { return };
        match action {
            Action::Create(revision, edit) => self.create(node, revision, edit),
            Action::Read(revision) => {
                if self.service.unavailable {
                    self.pending[node].push_back(Action::Read(revision));
                    return;
                }
                let event = match self.service.log.get(&revision) {
                    Some(edit) => Event::Found(revision, edit.clone()),
                    None => Event::Absent(revision),
                };
                self.handle(node, event);
            }
            Action::Pull(from, after) => {
                let from = from.0 as usize;
                match self.nodes[from].records_after(after) {
                    Some(records) => self.handle(node, Event::Records(records)),
                    None => {
                        let table = self.nodes[from].table().as_ref().clone();
                        self.handle(node, Event::Snapshot(table));
                    }
                }
            }
            _ => {}
        }
    }

    fn create(&mut self, node: usize, revision: u64, edit: Edit) {
        let fate = self.random.random_range(0..10);
        if self.service.unavailable || fate == 0 {
            // The create is not sent: it times out or is retried.
            if fate < 3 {
                self.handle(node, Event::EditTimedOut);
            } else {
                self.pending[node].push_back(Action::Create(revision, edit));
            }
            return;
        }
        let present = self.service.log.entry(revision).or_insert_with(|| edit.clone()).clone();
        if fate < 3 {
            self.handle(node, Event::AnswerLost(revision));
        } else if present.identity == edit.identity {
            self.handle(node, Event::Created(revision, edit));
        } else {
            self.handle(node, Event::Found(revision, present));
        }
    }

    fn gossip(&mut self) {
        let (from, to) = (self.random.random_range(0..self.nodes.len()), self.random.random_range(0..self.nodes.len()));
        let revision = self.nodes[from].table().revision;
        self.handle(to, Event::PeerAt(NodeId(from as u64), revision));
    }

    fn converge(&mut self) {
        self.service.unavailable = false;
        for _ in 0..400 {
            for node in 0..self.nodes.len() {
                self.step(node);
            }
            self.gossip();
        }
        // The watch delivers all records.
        let records: Vec<Record> = self
            .service
            .log
            .iter()
            .map(|(revision, edit)| Record { revision: *revision, edit: edit.clone() })
            .collect();
        for node in 0..self.nodes.len() {
            self.handle(node, Event::Records(records.clone()));
        }
    }
}

#[test]
fn racing_operators_lose_nothing_under_random_orders() {
    for seed in 0..SCHEDULES {
        let mut cluster = Cluster::new(4, seed);
        let mut proposed = 0;
        for _ in 0..150 {
            match cluster.random.random_range(0..10) {
                0 | 1 => {
                    let node = cluster.random.random_range(0..4);
                    let based_on = cluster.random.random_bool(0.3).then(|| cluster.nodes[node].table().revision);
                    proposed += 1;
                    cluster.handle(node, Event::Propose(edit(proposed), based_on));
                }
                2 => cluster.service.unavailable = cluster.random.random_bool(0.3),
                3 => cluster.gossip(),
                _ => {
                    let node = cluster.random.random_range(0..4);
                    cluster.step(node);
                }
            }
        }
        cluster.converge();
        check(&cluster, seed, proposed);
    }
}

fn check(cluster: &Cluster, seed: u64, proposed: u64) {
    let mut table = Table::default();
    for (number, (revision, edit)) in cluster.service.log.iter().enumerate() {
        assert_eq!(*revision, number as u64 + 1, "seed {seed}: a revision is missing");
        table.apply(edit);
    }
    for node in &cluster.nodes {
        assert_eq!(node.table().as_ref(), &table, "seed {seed}: nodes differ");
    }
    let mut identities: Vec<u64> = cluster.service.log.values().map(|edit| edit.identity).collect();
    identities.sort_unstable();
    identities.dedup();
    assert_eq!(identities.len(), cluster.service.log.len(), "seed {seed}: an edit took effect twice");
    for identity in 1..=proposed {
        let outcome =
            cluster.outcomes.get(&identity).unwrap_or_else(|| panic!("seed {seed}: edit {identity} unanswered"));
        let in_log =
            cluster.service.log.iter().find(|(_, edit)| edit.identity == identity).map(|(revision, _)| *revision);
        match outcome {
            EditOutcome::InForce(revision) => assert_eq!(in_log, Some(*revision), "seed {seed}: edit {identity}"),
            EditOutcome::Conflict(_) => assert_eq!(in_log, None, "seed {seed}: a refused edit took effect"),
            EditOutcome::Unknown => {}
        }
    }
}

#[test]
fn an_edit_whose_answer_was_lost_is_reported_in_force() {
    let mut log = ConfigurationLog::new();
    log.handle(Event::Propose(edit(1), None));
    assert_eq!(log.handle(Event::AnswerLost(1)), vec![Action::Read(1)]);
    let actions = log.handle(Event::Found(1, edit(1)));
    assert!(actions.contains(&Action::Answer(1, EditOutcome::InForce(1))));
}

#[test]
fn an_edit_based_on_an_older_revision_is_refused() {
    let mut log = ConfigurationLog::new();
    log.handle(Event::Propose(edit(1), Some(0)));
    let actions = log.handle(Event::Found(1, edit(2)));
    assert!(actions.contains(&Action::Answer(1, EditOutcome::Conflict(1))));
}

#[test]
fn an_edit_without_a_base_revision_is_rebased_after_a_conflict() {
    let mut log = ConfigurationLog::new();
    log.handle(Event::Propose(edit(1), None));
    let actions = log.handle(Event::Found(1, edit(2)));
    assert!(actions.contains(&Action::Create(2, edit(1))));
}

#[test]
fn a_lower_snapshot_changes_nothing() {
    let mut log = ConfigurationLog::new();
    log.handle(Event::Records(vec![Record { revision: 1, edit: edit(1) }, Record { revision: 2, edit: edit(2) }]));
    let actions = log.handle(Event::Snapshot(Table::default()));
    assert!(actions.is_empty());
    assert_eq!(log.table().revision, 2);
}

#[test]
fn a_record_behind_a_gap_is_not_applied() {
    let mut log = ConfigurationLog::new();
    log.handle(Event::Records(vec![Record { revision: 2, edit: edit(2) }]));
    assert_eq!(log.table().revision, 0);
}

#[test]
fn a_node_without_a_table_is_not_ready() {
    let mut log = ConfigurationLog::new();
    assert!(!log.is_ready());
    log.handle(Event::Snapshot(Table { revision: 5, ..Table::default() }));
    assert!(log.is_ready());
}
