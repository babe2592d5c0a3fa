//! Runs the configuration log against the key-value service and the peers.

use crate::members::{Members, PeerRevision};
use crate::peers::{PeerCall, PeerClient};
use latchwheel_core::configuration::{watch_name, Action, ConfigurationLog, EditOutcome, Event, Record, WATCHERS};
use latchwheel_core::identity::NodeId;
use latchwheel_core::ownership::is_in_rendezvous_top;
use latchwheel_core::table::{Edit, Table};
use latchwheel_protocol::v1::{RevisionAnswer, RevisionPull, RevisionRecord};
use latchwheel_site::{KeyValueClient, KeyValueFault, WriteOutcome};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

const LOG_PREFIX: &str = "table/log/";
const SNAPSHOT_KEY: &str = "table/snapshot";
/// Time after which an edit is given up while the service is away.
const EDIT_TIME: Duration = Duration::from_secs(8);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const RELOAD_PAUSE: Duration = Duration::from_secs(1);
const PULL_TIME: Duration = Duration::from_secs(2);

/// The running configuration log.
#[derive(Debug)]
pub(crate) struct Configuration {
    log: Mutex<ConfigurationLog>,
    table: watch::Sender<Arc<Table>>,
    service: KeyValueClient,
    members: Arc<Members>,
    peers: PeerClient,
    waiting: Mutex<HashMap<u64, oneshot::Sender<EditOutcome>>>,
    /// When the present edit was first sent to the service.
    edit_started: Mutex<Option<Instant>>,
    pulling: tokio::sync::Semaphore,
}

impl Configuration {
    pub(crate) fn new(service: KeyValueClient, members: Arc<Members>, peers: PeerClient) -> Arc<Self> {
        Arc::new(Self {
            log: Mutex::new(ConfigurationLog::new()),
            table: watch::Sender::new(Arc::default()),
            service,
            members,
            peers,
            waiting: Mutex::default(),
            edit_started: Mutex::default(),
            pulling: tokio::sync::Semaphore::new(1),
        })
    }

    fn lock(&self) -> MutexGuard<'_, ConfigurationLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.lock().is_ready()
    }

    /// The table in force.
    pub(crate) fn table(&self) -> Arc<Table> {
        self.table.borrow().clone()
    }

    /// Follows the table.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Table>> {
        self.table.subscribe()
    }

    pub(crate) fn history(&self) -> Vec<Record> {
        self.lock().history().cloned().collect()
    }

    /// Makes an edit and waits for what becomes of it.
    pub(crate) async fn edit(self: &Arc<Self>, edit: Edit, based_on: Option<u64>) -> EditOutcome {
        let (reply, outcome) = oneshot::channel();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(edit.identity, reply);
        self.handle(Event::Propose(edit, based_on));
        outcome.await.unwrap_or(EditOutcome::Unknown)
    }

    /// Answers a peer that lacks revisions.
    pub(crate) fn answer_pull(&self, pull: &RevisionPull) -> RevisionAnswer {
        let log = self.lock();
        match log.records_after(pull.after) {
            Some(records) => {
                RevisionAnswer { records: records.iter().map(encode_record).collect(), ..RevisionAnswer::default() }
            }
            None => RevisionAnswer {
                snapshot_revision: log.table().revision,
                snapshot: serde_json::to_vec(log.table().as_ref()).unwrap_or_default().into(),
                ..RevisionAnswer::default()
            },
        }
    }

    fn handle(self: &Arc<Self>, event: Event) {
        let actions = self.lock().handle(event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Arc<Self>, action: Action) {
        let this = self.clone();
        match action {
            Action::Create(revision, edit) => drop(tokio::spawn(async move { this.create(revision, edit).await })),
            Action::Read(revision) => drop(tokio::spawn(async move { this.read(revision).await })),
            Action::LoadSnapshot => drop(tokio::spawn(async move { this.load().await })),
            Action::Pull(node, after) => drop(tokio::spawn(async move { this.pull(node, after).await })),
            Action::WriteSnapshot(table) => drop(tokio::spawn(async move { this.write_snapshot(&table).await })),
            Action::Answer(identity, outcome) => {
                *self.edit_started.lock().unwrap_or_else(PoisonError::into_inner) = None;
                let reply = self.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&identity);
                if let Some(reply) = reply {
                    let _ = reply.send(outcome);
                }
            }
            Action::Publish(table) => {
                log::info!(target: "E5000", "table revision {} is in force", table.revision);
                // Revisions only rise; a slower task must not put a lower one back.
                self.table.send_if_modified(|present| {
                    let newer = table.revision > present.revision;
                    if newer {
                        *present = table;
                    }
                    newer
                });
            }
        }
    }

    /// Whether the present edit has been tried for too long.
    fn is_edit_over(&self) -> bool {
        let mut started = self.edit_started.lock().unwrap_or_else(PoisonError::into_inner);
        started.get_or_insert_with(Instant::now).elapsed() > EDIT_TIME
    }

    async fn create(self: Arc<Self>, revision: u64, edit: Edit) {
        let value = serde_json::to_string(&edit).unwrap_or_default();
        loop {
            match self.service.write(&log_key(revision), &value, 0).await {
                Ok(WriteOutcome::Written(_)) => return self.handle(Event::Created(revision, edit)),
                Ok(WriteOutcome::VersionMismatch(stored)) => return self.found(revision, &stored.value),
                Err(KeyValueFault::OutcomeUnknown) => return self.handle(Event::AnswerLost(revision)),
                Err(KeyValueFault::Unavailable) if self.is_edit_over() => return self.handle(Event::EditTimedOut),
                Err(KeyValueFault::Unavailable) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn read(self: Arc<Self>, revision: u64) {
        loop {
            match self.service.read(&log_key(revision)).await {
                Ok(Some(stored)) => return self.found(revision, &stored.value),
                Ok(None) if self.is_edit_over() => return self.handle(Event::EditTimedOut),
                Ok(None) => return self.handle(Event::Absent(revision)),
                Err(_) if self.is_edit_over() => return self.handle(Event::EditTimedOut),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn found(self: &Arc<Self>, revision: u64, value: &str) {
        match serde_json::from_str(value) {
            Ok(edit) => self.handle(Event::Found(revision, edit)),
            // An empty value stands where the edit was folded into the snapshot.
            Err(_) => self.handle(Event::Compacted(revision)),
        }
    }

    /// Loads the snapshot and all revisions behind it from the service.
    async fn load(self: &Arc<Self>) -> Result<(), KeyValueFault> {
        if let Some(stored) = self.service.read(SNAPSHOT_KEY).await? {
            if let Ok(table) = serde_json::from_str::<Table>(&stored.value) {
                self.handle(Event::Snapshot(table));
            }
        }
        self.load_records().await?;
        self.lock().mark_ready();
        Ok(())
    }

    async fn load_records(self: &Arc<Self>) -> Result<(), KeyValueFault> {
        loop {
            let present = self.table().revision;
            let values = self.service.range(LOG_PREFIX, &log_key(present)).await?;
            let records: Vec<Record> = values
                .iter()
                .filter_map(|stored| {
                    let revision = stored.key.strip_prefix(LOG_PREFIX)?.parse().ok()?;
                    Some(Record { revision, edit: serde_json::from_str(&stored.value).ok()? })
                })
                .collect();
            self.handle(Event::Records(records));
            if self.table().revision == present {
                return Ok(());
            }
        }
    }

    async fn write_snapshot(self: Arc<Self>, table: &Table) {
        let Ok(value) = serde_json::to_string(table) else { return };
        let version = match self.service.read(SNAPSHOT_KEY).await {
            Ok(Some(stored)) => {
                let older = serde_json::from_str::<Table>(&stored.value).is_ok_and(|old| old.revision < table.revision);
                if !older {
                    return;
                }
                stored.version
            }
            Ok(None) => 0,
            Err(_) => return,
        };
        // A lost race means that another has written a snapshot; either will do.
        let _ = self.service.write(SNAPSHOT_KEY, &value, version).await;
    }

    async fn pull(self: Arc<Self>, node: NodeId, after: u64) {
        let Ok(_permit) = self.pulling.acquire().await else { return };
        if self.table().revision > after {
            return;
        }
        let Some(address) = self.members.view().address_of(node) else { return };
        let pull = RevisionPull { after };
        let answer: Result<RevisionAnswer, _> = self.peers.call(&address, PeerCall::Revisions, &pull, PULL_TIME).await;
        let Ok(answer) = answer else { return };
        if answer.snapshot_revision > 0 {
            if let Ok(table) = serde_json::from_slice(&answer.snapshot) {
                self.handle(Event::Snapshot(table));
            }
        }
        self.handle(Event::Records(answer.records.iter().filter_map(decode_record).collect()));
    }

    /// Follows what peers are heard to be at.
    pub(crate) async fn run_peers(self: Arc<Self>, mut heard: mpsc::UnboundedReceiver<PeerRevision>) {
        while let Some(peer) = heard.recv().await {
            if peer.revision > self.table().revision {
                self.handle(Event::PeerAt(peer.node, peer.revision));
            }
        }
    }

    /// Loads the table, then follows the service where this node is one of
    /// the region's watchers.
    pub(crate) async fn run_service(self: Arc<Self>) {
        while self.load().await.is_err() {
            if !self.is_ready() {
                log::warn!(target: "E5001", "the key-value service is away; no table from it yet");
            }
            tokio::time::sleep(RELOAD_PAUSE).await;
        }
        let mut version = 0;
        loop {
            if !self.is_watcher() {
                tokio::time::sleep(RELOAD_PAUSE).await;
                continue;
            }
            match self.service.watch(version).await {
                Ok(present) if present > version => {
                    version = present;
                    if self.load_records().await.is_err() {
                        version = 0;
                        tokio::time::sleep(RELOAD_PAUSE).await;
                    }
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(RELOAD_PAUSE).await,
            }
        }
    }

    fn is_watcher(&self) -> bool {
        let view = self.members.view();
        let nodes = view.live_in_region().map(|record| NodeId(record.node));
        is_in_rendezvous_top(NodeId(view.me.node), watch_name(), nodes, WATCHERS)
    }
}

fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}

fn encode_record(record: &Record) -> RevisionRecord {
    let edit = serde_json::to_vec(&record.edit).unwrap_or_default().into();
    RevisionRecord { revision: record.revision, edit }
}

fn decode_record(record: &RevisionRecord) -> Option<Record> {
    Some(Record { revision: record.revision, edit: serde_json::from_slice(&record.edit).ok()? })
}
