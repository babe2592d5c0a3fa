//! The configuration log: revision n of the table is the key `table/log/n` of the
//! key-value service, created only if absent.
//!
//! The edit that creates the key makes the revision, so the service alone orders racing
//! edits. Each edit carries a random identity: if the answer to a create is lost, the
//! identity in the stored key shows which edit succeeded. The revision at a node never
//! decreases: the node applies only the next revision or a snapshot of a higher one.

use crate::identity::{stable_hash, NodeId};
use crate::table::{Edit, Table};
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of recent records held to serve peers that lack them.
const RECENT_RECORDS: usize = 256;
/// Number of revisions between snapshots; the node whose edit made the revision writes it.
pub const SNAPSHOT_INTERVAL: u64 = 1000;

/// Number of nodes in a region that watch the service; the others pull from their peers.
pub const WATCHERS: usize = 3;

/// Key for choosing the watchers of a region by rendezvous hashing.
pub fn watch_name() -> u64 {
    stable_hash(b"table/log/")
}

/// A revision of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Revision that the edit made.
    pub revision: u64,
    /// Edit stored under the revision.
    pub edit: Edit,
}

/// Input of the log.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operator's edit, with the revision that it is based on, if given.
    Propose(Edit, Option<u64>),
    /// The key of the revision was created with this edit.
    Created(u64, Edit),
    /// The key of the revision exists and holds this edit.
    Found(u64, Edit),
    /// The key of the revision exists but its edit was compacted into a snapshot.
    Compacted(u64),
    /// The key of the revision does not exist.
    Absent(u64),
    /// The outcome of creating the key of the revision is unknown.
    AnswerLost(u64),
    /// The service was unavailable until the current edit timed out.
    EditTimedOut,
    /// Records received from the service's watch or from a peer.
    Records(Vec<Record>),
    /// A whole table received from the service's snapshot or from a peer.
    Snapshot(Table),
    /// A peer reported this revision.
    PeerAt(NodeId, u64),
}

/// Outcome of an operator's edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit made this revision.
    InForce(u64),
    /// The edit's base revision is not the current revision, which is given here.
    Conflict(u64),
    /// The service was unavailable; the edit may still take effect.
    Unknown,
}

/// Action for the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create the key of this revision with this edit, only if absent.
    Create(u64, Edit),
    /// Read the key of this revision.
    Read(u64),
    /// Load the service's snapshot and the records after it.
    LoadSnapshot,
    /// Request all records after this revision from a peer.
    Pull(NodeId, u64),
    /// Return the outcome to the operator whose edit has this identity.
    Answer(u64, EditOutcome),
    /// Put the table in force on this node.
    Publish(Arc<Table>),
    /// Write the table as the service's snapshot.
    WriteSnapshot(Arc<Table>),
}

#[derive(Debug)]
struct PendingEdit {
    edit: Edit,
    based_on: Option<u64>,
}

/// One node's copy of the configuration log.
#[derive(Debug, Default)]
pub struct ConfigurationLog {
    table: Arc<Table>,
    recent: VecDeque<Record>,
    waiting: VecDeque<PendingEdit>,
    /// Revision for which a create of the first waiting edit is in progress.
    creating: Option<u64>,
    ready: bool,
}

impl ConfigurationLog {
    /// Creates an empty log that is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Whether the node has received a table or an answer from the service or a peer.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Marks the log ready after an answer from the service or a peer.
    pub fn mark_ready(&mut self) {
        self.ready = true;
    }

    /// Recent records, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Record> {
        self.recent.iter()
    }

    /// Records after `revision`, or `None` if a peer needs a snapshot instead.
    pub fn records_after(&self, revision: u64) -> Option<Vec<Record>> {
        if revision >= self.table.revision {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        (first <= revision + 1)
            .then(|| self.recent.iter().filter(|record| record.revision > revision).cloned().collect())
    }

    /// Handles an event and returns the actions to execute.
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

    /// Applies the edit that the key of the revision holds, of this or another node.
    fn found(&mut self, revision: u64, edit: Edit, actions: &mut Vec<Action>) {
        self.records(vec![Record { revision, edit }], actions);
    }

    fn absent(&mut self, revision: u64, actions: &mut Vec<Action>) {
        if self.creating != Some(revision) {
            return;
        }
        // Retrying is safe: if the first create still takes effect, the key holds
        // the same edit.
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

    /// If another edit took the revision that was being created, retries the waiting edit
    /// on the current revision, or reports a conflict if that edit names its base revision.
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
