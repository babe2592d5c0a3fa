//! The store replicas of this node, and the way between replicas.

use crate::configuration::Configuration;
use crate::members::{MemberView, Members};
use crate::peers::{PeerCall, PeerClient};
use latchwheel_core::replication::replacement::first_members;
use latchwheel_core::replication::Settings as ReplicationSettings;
use latchwheel_core::table::{Class, Table};
use latchwheel_protocol::v1::{
    MemberRecord, Members as GroupMembers, Replica, ReplicationMessage, ReplicationMessages, StatePage, StatePull,
};
use latchwheel_site::{KeyValueClient, KeyValueFault, WriteOutcome};
use latchwheel_store::folder::DataFolder;
use latchwheel_store::group::{Group, GroupSettings, PresentNodes, RowFact, RowFacts, Transport};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

const RECORD_PREFIX: &str = "store/groups/";
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
const SEND_TIME: Duration = Duration::from_secs(2);
const PULL_TIME: Duration = Duration::from_secs(20);
/// Messages that wait for one replica; further ones are lost.
const QUEUE_LIMIT: usize = 4096;
const MESSAGES_TOGETHER: usize = 64;

/// How the node takes part in the store groups.
#[derive(Clone, Debug)]
pub(crate) struct StoreSettings {
    pub(crate) groups: u64,
    pub(crate) replicas: usize,
    pub(crate) replication: ReplicationSettings,
}

/// A member of a group's record in the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RecordedReplica {
    replica: u64,
    node: u64,
    zone: String,
}

/// The replicas on this node.
#[derive(Debug)]
pub(crate) struct Stores {
    folder: Option<DataFolder>,
    settings: StoreSettings,
    service: KeyValueClient,
    members: Arc<Members>,
    configuration: Arc<Configuration>,
    transport: Arc<PeerTransport>,
    groups: Mutex<BTreeMap<u64, Group>>,
}

impl Stores {
    pub(crate) fn new(
        folder: Option<DataFolder>,
        settings: StoreSettings,
        service: KeyValueClient,
        members: Arc<Members>,
        configuration: Arc<Configuration>,
        peers: PeerClient,
    ) -> Arc<Self> {
        let runtime = tokio::runtime::Handle::current();
        let transport = Arc::new(PeerTransport { members: members.clone(), peers, queues: Mutex::default(), runtime });
        Arc::new(Self { folder, settings, service, members, configuration, transport, groups: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Group>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of groups.
    pub(crate) fn group_count(&self) -> u64 {
        self.settings.groups
    }

    /// The replica of a group on this node.
    pub(crate) fn group(&self, group: u64) -> Option<Group> {
        self.lock().get(&group).cloned()
    }

    /// Groups that this node leads.
    pub(crate) fn groups_led(&self) -> usize {
        self.lock().values().filter(|group| group.status().leads).count()
    }

    /// Hands messages of other replicas in. A group that is not known here
    /// yet has chosen this node's replica as a new member.
    pub(crate) fn receive(&self, messages: ReplicationMessages) {
        for message in messages.messages {
            let own = self.folder.as_ref().is_some_and(|folder| folder.replica() == message.to);
            if !own || message.group >= self.settings.groups {
                continue;
            }
            let group = match self.group(message.group) {
                Some(group) => Some(group),
                None => self.start_group(message.group, GroupMembers::default()),
            };
            if let Some(group) = group {
                group.receive(message);
            }
        }
    }

    /// Asks all led groups to hand over, before the node stops.
    pub(crate) fn hand_over(&self) {
        self.lock().values().for_each(Group::hand_over);
    }

    pub(crate) fn stop(&self) {
        self.lock().values().for_each(Group::stop);
    }

    fn start_group(&self, number: u64, first_members: GroupMembers) -> Option<Group> {
        let folder = self.folder.as_ref()?;
        let mut groups = self.lock();
        if let Some(present) = groups.get(&number) {
            return Some(present.clone());
        }
        let settings = GroupSettings {
            group: number,
            wanted: self.settings.replicas,
            replication: self.settings.replication,
            first_members,
        };
        match Group::start(folder, settings, self.transport.clone()) {
            Ok(group) => {
                log::info!(target: "E6000", "store group {number}: replica {:x} starts", folder.replica());
                groups.insert(number, group.clone());
                Some(group)
            }
            Err(fault) => {
                log::error!(target: "E6001", "store group {number}: the replica can't start: {fault}");
                None
            }
        }
    }

    /// Starts the groups and tells them who is alive, for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let Some(folder) = self.folder.clone() else { return };
        for group in folder.groups().unwrap_or_default() {
            self.start_group(group, GroupMembers::default());
        }
        let mut changes = self.members.subscribe();
        let mut told = BTreeMap::new();
        loop {
            for group in 0..self.settings.groups {
                if self.group(group).is_none() {
                    self.found_group(&folder, group).await;
                }
            }
            let present = present_nodes(&self.members.view(), &folder);
            self.tell_groups(&present, &mut told);
            let _ = tokio::time::timeout(FOLLOW_INTERVAL, changes.changed()).await;
        }
    }

    /// Tells the groups who is alive, and the batch rows where they do not
    /// know the present revision.
    fn tell_groups(&self, present: &PresentNodes, told: &mut BTreeMap<u64, u64>) {
        let table = self.configuration.table();
        for (number, group) in self.lock().iter() {
            group.note_present(present.clone());
            if told.insert(*number, table.revision) != Some(table.revision) {
                group.note_rows(batch_rows(&table));
            }
        }
    }

    /// Starts the group if its record names this node's replica; makes the
    /// record if there is none and enough replicas are alive.
    async fn found_group(&self, folder: &DataFolder, group: u64) {
        let key = format!("{RECORD_PREFIX}{group}");
        let record = match self.service.read(&key).await {
            Ok(Some(stored)) => stored.value,
            Ok(None) => match self.write_record(&key, folder).await {
                Some(value) => value,
                None => return,
            },
            Err(KeyValueFault::Unavailable | KeyValueFault::OutcomeUnknown) => return,
        };
        let Ok(recorded) = serde_json::from_str::<Vec<RecordedReplica>>(&record) else { return };
        if !recorded.iter().any(|replica| replica.replica == folder.replica()) {
            return;
        }
        let replicas = recorded
            .into_iter()
            .map(|replica| Replica { replica: replica.replica, node: replica.node, zone: replica.zone, voter: true })
            .collect();
        self.start_group(group, GroupMembers { replicas });
    }

    async fn write_record(&self, key: &str, folder: &DataFolder) -> Option<String> {
        let present = present_nodes(&self.members.view(), folder).replicas;
        if present.len() < self.settings.replicas {
            return None;
        }
        // Only one node needs to write it; racing writers are ordered by the
        // service.
        let first = present.iter().map(|replica| replica.node).min();
        if first != Some(self.members.view().me.node) {
            return None;
        }
        let members = first_members(&present, self.settings.replicas);
        let recorded: Vec<RecordedReplica> = members
            .replicas
            .into_iter()
            .map(|replica| RecordedReplica { replica: replica.replica, node: replica.node, zone: replica.zone })
            .collect();
        let value = serde_json::to_string(&recorded).ok()?;
        match self.service.write(key, &value, 0).await.ok()? {
            WriteOutcome::Written(stored) | WriteOutcome::VersionMismatch(stored) => Some(stored.value),
        }
    }
}

fn batch_rows(table: &Table) -> RowFacts {
    let rows = table.rows.values().filter(|row| row.class == Class::Batch);
    rows.map(|row| {
        let fact =
            RowFact { service: row.service.clone(), weight: row.weight, retention_seconds: row.retention_seconds };
        (row.name.clone(), fact)
    })
    .collect()
}

fn replica_of(record: &MemberRecord) -> Replica {
    Replica { replica: record.replica, node: record.node, zone: record.zone.clone(), voter: false }
}

/// Nodes that are not held for dead, and the replicas of the region's nodes
/// that are alive.
fn present_nodes(view: &MemberView, folder: &DataFolder) -> PresentNodes {
    let mut replicas: Vec<Replica> =
        view.live_in_region().filter(|record| record.replica != 0).map(replica_of).collect();
    for replica in &mut replicas {
        if replica.node == view.me.node {
            replica.replica = folder.replica();
        }
    }
    let nodes = view
        .others
        .values()
        .filter(|record| view.is_present(record.node))
        .map(|record| record.node)
        .chain([view.me.node])
        .collect();
    PresentNodes { nodes, replicas }
}

/// Messages between replicas, over the calls between nodes.
struct PeerTransport {
    members: Arc<Members>,
    peers: PeerClient,
    queues: Mutex<HashMap<u64, mpsc::Sender<ReplicationMessage>>>,
    /// Replicas send from threads of their own, outside the runtime.
    runtime: tokio::runtime::Handle,
}

impl std::fmt::Debug for PeerTransport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PeerTransport")
    }
}

impl PeerTransport {
    fn address_of(members: &Members, replica: u64) -> Option<String> {
        members.view().with_replica(replica).map(|record| record.address.clone())
    }

    fn queue(&self, replica: u64) -> mpsc::Sender<ReplicationMessage> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(&replica) {
            return queue.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        queues.insert(replica, sender.clone());
        let (members, peers) = (self.members.clone(), self.peers.clone());
        self.runtime.spawn(send_queued(replica, receiver, members, peers));
        sender
    }
}

async fn send_queued(
    replica: u64,
    mut queue: mpsc::Receiver<ReplicationMessage>,
    members: Arc<Members>,
    peers: PeerClient,
) {
    let mut messages = Vec::new();
    while queue.recv_many(&mut messages, MESSAGES_TOGETHER).await > 0 {
        let batch = ReplicationMessages { messages: std::mem::take(&mut messages) };
        let Some(address) = PeerTransport::address_of(&members, replica) else { continue };
        // Messages may be lost: the state machine sends them again.
        let _ = peers.call::<ReplicationMessages>(&address, PeerCall::Replication, &batch, SEND_TIME).await;
    }
}

impl Transport for PeerTransport {
    fn send(&self, message: ReplicationMessage) {
        let _ = self.queue(message.to).try_send(message);
    }

    fn pull(&self, replica: u64, pull: StatePull) -> Pin<Box<dyn Future<Output = Option<StatePage>> + Send>> {
        let (members, peers) = (self.members.clone(), self.peers.clone());
        Box::pin(async move {
            let address = Self::address_of(&members, replica)?;
            peers.call(&address, PeerCall::Pull, &pull, PULL_TIME).await.ok()
        })
    }
}
