//! The configuration log: revision n of the table is the key
//! `table/log/n` of the key-value service, created only if absent.
//!
//! Whoever creates the key has made the revision, so racing operators are
//! ordered by the service alone. An edit carries a random identity: when an
//! answer is lost, reading the key back tells whose edit won. A node only
//! moves up: it applies revision n + 1 to n and nothing else, or takes a
//! snapshot of a higher revision.

use crate::identity::{stable_hash, NodeId};
use crate::table::{Edit, Table};
use std::collections::VecDeque;
use std::sync::Arc;

/// Records that are kept to answer peers that lack them.
const RECENT_RECORDS: usize = 256;
/// Every so many revisions, the node whose edit made one writes a snapshot.
pub const SNAPSHOT_INTERVAL: u64 = 1000;

/// Nodes of a region that watch the service; the others hear from them.
pub const WATCHERS: usize = 3;

/// Name by which rendezvous hashing picks the watchers of a region.
pub fn watch_name() -> u64 {
    stable_hash(b"table/log/")
}

/// One revision of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The revision that the edit made.
    pub revision: u64,
    /// The edit.
    pub edit: Edit,
}

/// What happens to the log.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operator's edit, with the revision that it was based on, if named.
    Propose(Edit, Option<u64>),
    /// The key of the revision was created with this edit.
    Created(u64, Edit),
    /// The key of the revision existed, or was read: with this edit.
    Found(u64, Edit),
    /// The key of the revision exists but its edit was folded into a snapshot.
    Compacted(u64),
    /// The key of the revision was read and is absent.
    Absent(u64),
    /// It can't be told whether the key was created.
    AnswerLost(u64),
    /// The service was away for too long for the present edit.
    EditTimedOut,
    /// Records came from the service's watch or from a peer.
    Records(Vec<Record>),
    /// A whole table came from the service's snapshot or from a peer.
    Snapshot(Table),
    /// A peer was heard to be at this revision.
    PeerAt(NodeId, u64),
}

/// What became of an operator's edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// It made this revision.
    InForce(u64),
    /// The table had moved on from the named revision to this one.
    Conflict(u64),
    /// The service was away; the edit may or may not be in force later.
    Unknown,
}

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create the key of this revision, if absent, with this edit.
    Create(u64, Edit),
    /// Read the key of this revision.
    Read(u64),
    /// Load the service's snapshot and the records behind it.
    LoadSnapshot,
    /// Ask a peer for all records after this revision.
    Pull(NodeId, u64),
    /// Tell the operator whose edit has this identity.
    Answer(u64, EditOutcome),
    /// The table is in force here.
    Publish(Arc<Table>),
    /// Write the table as the service's snapshot.
    WriteSnapshot(Arc<Table>),
}

#[derive(Debug)]
struct PendingEdit {
    edit: Edit,
    based_on: Option<u64>,
}

/// The configuration log as one node sees it.
#[derive(Debug, Default)]
pub struct ConfigurationLog {
    table: Arc<Table>,
    recent: VecDeque<Record>,
    waiting: VecDeque<PendingEdit>,
    /// Revision whose key is being created for the first waiting edit.
    creating: Option<u64>,
    ready: bool,
}

impl ConfigurationLog {
    /// A log that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Whether the node has taken a table from the service or from a peer.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Marks the log ready: the service or a peer was asked and answered.
    pub fn mark_ready(&mut self) {
        self.ready = true;
    }

    /// Recent records, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Record> {
        self.recent.iter()
    }

    /// Records after a revision, or `None` if a snapshot must be sent.
    pub fn records_after(&self, revision: u64) -> Option<Vec<Record>> {
        if revision >= self.table.revision {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        (first <= revision + 1)
            .then(|| self.recent.iter().filter(|record| record.revision > revision).cloned().collect())
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Propose(edit, based_on) => {
                self.waiting.push_back(PendingEdit { edit, based_on });
                self.create_next(&mut actions);
            }
            Event::Created(revision, edit) => self.created(revision, edit, &mut actions),
            Event::Found(revision, edit) => self.found(revision, edit, &mut actions),
            Event::Compacted(_) => {
                self.creating = None;
                actions.push(Action::LoadSnapshot);
            }
            Event::Absent(revision) => self.absent(revision, &mut actions),
            Event::AnswerLost(revision) => actions.push(Action::Read(revision)),
            Event::EditTimedOut => self.time_out_edit(&mut actions),
            Event::Records(records) => self.records(records, &mut actions),
            Event::Snapshot(table) => self.snapshot(table, &mut actions),
            Event::PeerAt(node, revision) => {
                if revision > self.table.revision {
                    actions.push(Action::Pull(node, self.table.revision));
                }
            }
        }
        actions
    }

    fn create_next(&mut self, actions: &mut Vec<Action>) {
        while self.creating.is_none() {
            let Some(pending) = self.waiting.front() else { return };
            let present = self.table.revision;
            if pending.based_on.is_some_and(|based_on| based_on != present) {
                self.answer(EditOutcome::Conflict(present), actions);
                continue;
            }
            self.creating = Some(present + 1);
            actions.push(Action::Create(present + 1, pending.edit.clone()));
        }
    }

    fn answer(&mut self, outcome: EditOutcome, actions: &mut Vec<Action>) {
        if let Some(pending) = self.waiting.pop_front() {
            actions.push(Action::Answer(pending.edit.identity, outcome));
        }
    }

    fn created(&mut self, revision: u64, edit: Edit, actions: &mut Vec<Action>) {
        self.found(revision, edit, actions);
        if revision.is_multiple_of(SNAPSHOT_INTERVAL) && self.table.revision >= revision {
            actions.push(Action::WriteSnapshot(self.table.clone()));
        }
    }

    /// The key of the revision holds this edit, whoever made it.
    fn found(&mut self, revision: u64, edit: Edit, actions: &mut Vec<Action>) {
        self.records(vec![Record { revision, edit }], actions);
    }

    fn absent(&mut self, revision: u64, actions: &mut Vec<Action>) {
        if self.creating != Some(revision) {
            return;
        }
        // Creating again is safe: the first create may still take effect, and
        // then the key holds this very edit.
        if let Some(pending) = self.waiting.front() {
            actions.push(Action::Create(revision, pending.edit.clone()));
        }
    }

    fn time_out_edit(&mut self, actions: &mut Vec<Action>) {
        if self.creating.take().is_some() {
            self.answer(EditOutcome::Unknown, actions);
        }
        self.create_next(actions);
    }

    fn records(&mut self, mut records: Vec<Record>, actions: &mut Vec<Action>) {
        records.sort_by_key(|record| record.revision);
        let before = self.table.revision;
        for record in records {
            if record.revision == self.table.revision + 1 {
                self.apply(record, actions);
            }
        }
        if self.table.revision > before {
            self.ready = true;
            actions.push(Action::Publish(self.table.clone()));
        }
        self.rebase_waiting_edit(actions);
    }

    fn apply(&mut self, record: Record, actions: &mut Vec<Action>) {
        Arc::make_mut(&mut self.table).apply(&record.edit);
        let is_own = self.waiting.front().is_some_and(|pending| pending.edit.identity == record.edit.identity);
        if is_own {
            self.creating = None;
            self.answer(EditOutcome::InForce(record.revision), actions);
        }
        self.recent.push_back(record);
        if self.recent.len() > RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// If another's edit took the revision that was being created, the own
    /// one is based anew or, where it named a revision, told of the conflict.
    fn rebase_waiting_edit(&mut self, actions: &mut Vec<Action>) {
        if self.creating.is_some_and(|revision| revision <= self.table.revision) {
            self.creating = None;
        }
        self.create_next(actions);
    }

    fn snapshot(&mut self, table: Table, actions: &mut Vec<Action>) {
        self.ready = true;
        if table.revision > self.table.revision {
            self.table = Arc::new(table);
            self.recent.clear();
            actions.push(Action::Publish(self.table.clone()));
        }
        self.rebase_waiting_edit(actions);
    }
}
