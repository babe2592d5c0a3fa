//! Workers that wind up: they finish what they hold, and others run the rest.
//!
//! Such a worker stays registered, so that the jobs that it runs can be asked for. It announces
//! which jobs it holds, and again when it holds fewer. All others fall to other workers, also
//! those that are assigned to it.

use crate::assignment::owner_of;
use crate::layout::{leaving_key, leaving_of_key, node_key, node_of_key, LeavingRecord};
use latchwheel_core::retry::exponential_backoff;
use latchwheel_records::{Change, Committed, Record, RecordStore, RecordsFault, Transaction, Write};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::sync::watch;

/// Pause before the store is asked again, doubled at each failure up to the longest one.
const PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(480);
/// Time between two announcements of a worker.
const ANNOUNCEMENT_PACE: Duration = Duration::from_millis(300);
/// Time for which an announcement outlasts the limit of its worker: until the registration is
/// withdrawn, or its lease has ended.
const LEASE_MARGIN: Duration = Duration::from_secs(6);

/// The announcements of workers that wind up.
#[derive(Debug, Default)]
pub(crate) struct LeavingWorkers {
    /// Revisions of the registrations, by node.
    registered: HashMap<String, u64>,
    announced: HashMap<String, Announced>,
}

#[derive(Debug)]
struct Announced {
    revision: u64,
    holds: BTreeSet<String>,
}

impl LeavingWorkers {
    /// These are all records.
    pub(crate) fn note_all(&mut self, records: &[Record]) {
        self.registered.clear();
        self.announced.clear();
        records.iter().for_each(|record| self.note_record(record));
    }

    pub(crate) fn note_change(&mut self, change: &Change) {
        match change {
            Change::Written(record) => self.note_record(record),
            Change::Removed { key, .. } => self.note_removed(key),
        }
    }

    fn note_record(&mut self, record: &Record) {
        if let Some(node) = node_of_key(&record.key) {
            self.registered.insert(node.to_owned(), record.revision);
        }
        if let Some(node) = leaving_of_key(&record.key) {
            if let Some(LeavingRecord { holds }) = LeavingRecord::read(&record.value) {
                self.announced.insert(node.to_owned(), Announced { revision: record.revision, holds });
            }
        }
    }

    fn note_removed(&mut self, key: &str) {
        if let Some(node) = leaving_of_key(key) {
            self.announced.remove(node);
        }
    }

    /// Revision of a node's registration.
    pub(crate) fn registration_of(&self, node: &str) -> Option<u64> {
        self.registered.get(node).copied()
    }

    /// Whether a worker winds up.
    pub(crate) fn contains(&self, worker: &str) -> bool {
        self.held_by(worker).is_some()
    }

    /// The jobs that a worker holds which winds up. One that registered after its announcement
    /// has started again.
    fn held_by(&self, worker: &str) -> Option<&BTreeSet<String>> {
        let announced = self.announced.get(worker)?;
        let registered = self.registered.get(worker).copied().unwrap_or_default();
        (announced.revision > registered).then_some(&announced.holds)
    }

    /// The worker that runs a job.
    pub(crate) fn owner_of<'a>(&self, job: &str, assigned: &str, workers: &'a BTreeSet<String>) -> Option<&'a str> {
        let gives_up = |worker: &String| self.held_by(worker).is_some_and(|holds| !holds.contains(job));
        if !workers.iter().any(gives_up) {
            return owner_of(job, assigned, workers);
        }
        let takers: BTreeSet<String> = workers.iter().filter(|worker| !gives_up(worker)).cloned().collect();
        let owner = owner_of(job, assigned, &takers)?;
        workers.get(owner).map(String::as_str)
    }
}

/// How a worker that winds up tells so.
#[derive(Debug)]
pub(crate) struct LeavingAnnouncer {
    pub(crate) worker: String,
    /// Revision of its registration. A call that the store executes late changes nothing once
    /// the worker has started again.
    pub(crate) registration: u64,
    /// Time until it has to have left.
    pub(crate) time: Duration,
}

impl LeavingAnnouncer {
    /// Announces the jobs that are held, and again whenever that changes; never completes but
    /// where nothing more is to be told.
    pub(crate) async fn announce<S: RecordStore>(self, store: &S, mut held: watch::Receiver<BTreeSet<String>>) {
        let mut lease = None;
        let mut failures = 0;
        loop {
            let holds = held.borrow_and_update().clone();
            if self.announce_once(store, &mut lease, LeavingRecord { holds }).await.is_err() {
                tokio::time::sleep(exponential_backoff(PAUSE, LONGEST_PAUSE, failures)).await;
                failures += 1;
                continue;
            }
            failures = 0;
            tokio::time::sleep(ANNOUNCEMENT_PACE).await;
            if held.changed().await.is_err() {
                return;
            }
        }
    }

    async fn announce_once<S: RecordStore>(
        &self,
        store: &S,
        lease: &mut Option<u64>,
        record: LeavingRecord,
    ) -> Result<(), RecordsFault> {
        let id = match *lease {
            Some(id) => id,
            None => *lease.insert(store.grant(self.time + LEASE_MARGIN).await?),
        };
        let transaction = Transaction {
            expected: vec![(node_key(&self.worker), self.registration)],
            writes: vec![Write { key: leaving_key(&self.worker), value: record.write(), lease: id }],
            ..Transaction::default()
        };
        match store.commit(&transaction).await? {
            // With another registration, or none, this one's jobs are others' already.
            Committed::Done(_) | Committed::Differs(_) => Ok(()),
            Committed::NoLease => {
                *lease = None;
                Err(RecordsFault::Rejected)
            }
        }
    }
}
