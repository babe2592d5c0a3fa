//! Slopes of a store group: items a second, processor time, disk and network
//! bytes per item, with three or five replicas in this process on one disk.

use crate::process_figures::processor_seconds;
use eyre::{eyre, Result};
use latchwheel_core::code::ResultCode;
use latchwheel_core::replication::replacement::first_members;
use latchwheel_core::replication::{AckRule, Settings};
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{
    AddItems, Batch, Command, CompleteItems, CreateFile, CreateJob, Item, ItemResult, Members, Replica,
    ReplicationMessage, SealFile, StatePage, StatePull,
};
use latchwheel_protocol::Message;
use latchwheel_store::folder::DataFolder;
use latchwheel_store::group::{Group, GroupSettings, Transport};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

const ITEMS_TOGETHER: u64 = 500;
const RESULTS_TOGETHER: u64 = 256;
const BODY_BYTES: usize = 400;
/// Proposals under way at once, as from many nodes.
const PROPOSALS: usize = 8;
const START_TIME: Duration = Duration::from_secs(20);

/// What a group of some size was measured to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreReport {
    /// Replicas.
    pub replicas: usize,
    /// `quorum` or `reachable`.
    pub acknowledge: String,
    /// Items.
    pub items: u64,
    /// Bytes of an item's body and of a result's.
    pub body_bytes: usize,
    /// Items added a second.
    pub added_per_second: f64,
    /// Results committed a second.
    pub completed_per_second: f64,
    /// Median time to commit one small command, in milliseconds.
    pub commit_milliseconds: f64,
    /// Processor microseconds per item, added and completed, of all replicas.
    pub processor_microseconds_per_item: f64,
    /// Bytes on each disk per item, added and completed.
    pub disk_bytes_per_item: f64,
    /// Bytes from the leader to all others per item, added and completed.
    pub network_bytes_per_item: f64,
}

/// Replicas reach each other inside the process.
#[derive(Default)]
struct Wire {
    groups: OnceLock<HashMap<u64, Group>>,
    bytes: AtomicU64,
}

struct Port(Arc<Wire>);

impl Transport for Port {
    fn send(&self, message: ReplicationMessage) {
        self.0.bytes.fetch_add(message.encoded_len() as u64, Ordering::Relaxed);
        if let Some(group) = self.0.groups.get().and_then(|groups| groups.get(&message.to)) {
            group.receive(message);
        }
    }

    fn pull(&self, replica: u64, pull: StatePull) -> Pin<Box<dyn Future<Output = Option<StatePage>> + Send>> {
        let group = self.0.groups.get().and_then(|groups| groups.get(&replica)).cloned();
        Box::pin(async move { Some(group?.pull(pull).await) })
    }
}

/// Measures one group.
///
/// # Errors
/// If the disk fails or no leader is found.
pub async fn run(replicas: usize, ack_rule: AckRule, items: u64) -> Result<StoreReport> {
    let folder = tempfile::tempdir()?;
    let (wire, groups) = start(folder.path(), replicas, ack_rule)?;
    let leader = find_leader(&groups).await?;
    let begun = Instant::now();
    let processor = processor_seconds(None);
    let sent = wire.bytes.load(Ordering::Relaxed);
    add_items(&leader, items).await?;
    let added = begun.elapsed();
    let begun = Instant::now();
    complete_items(&leader, items).await?;
    let completed = begun.elapsed();
    let processor = processor_seconds(None) - processor;
    let network = wire.bytes.load(Ordering::Relaxed) - sent;
    let commit_milliseconds = commit_time(&leader).await?;
    let disk: u64 = std::fs::read_dir(folder.path().join("replica-0"))?
        .flatten()
        .filter_map(|entry| entry.metadata().ok())
        .map(|metadata| metadata.len())
        .sum();
    groups.iter().for_each(Group::stop);
    Ok(StoreReport {
        replicas,
        acknowledge: format!("{ack_rule:?}").to_lowercase(),
        items,
        body_bytes: BODY_BYTES,
        added_per_second: items as f64 / added.as_secs_f64(),
        completed_per_second: items as f64 / completed.as_secs_f64(),
        commit_milliseconds,
        processor_microseconds_per_item: processor * 1e6 / items as f64,
        disk_bytes_per_item: disk as f64 / items as f64,
        network_bytes_per_item: network as f64 / items as f64,
    })
}

fn start(folder: &std::path::Path, replicas: usize, ack_rule: AckRule) -> Result<(Arc<Wire>, Vec<Group>)> {
    let wire = Arc::new(Wire::default());
    let mut folders = Vec::new();
    let mut present = Vec::new();
    for number in 0..replicas {
        let folder = DataFolder::open(&folder.join(format!("replica-{number}")))?;
        let zone = format!("zone-{}", number % 3);
        present.push(Replica { replica: folder.replica(), node: number as u64 + 1, zone, voter: false });
        folders.push(folder);
    }
    let members: Members = first_members(&present, replicas);
    let mut groups = HashMap::new();
    for folder in &folders {
        let settings = GroupSettings {
            group: 0,
            wanted: replicas,
            replication: Settings { ack_rule, ..Settings::default() },
            first_members: members.clone(),
        };
        groups.insert(folder.replica(), Group::start(folder, settings, Arc::new(Port(wire.clone())))?);
    }
    let list = groups.values().cloned().collect();
    let _ = wire.groups.set(groups);
    Ok((wire, list))
}

async fn find_leader(groups: &[Group]) -> Result<Group> {
    let begun = Instant::now();
    while begun.elapsed() < START_TIME {
        if let Some(leader) = groups.iter().find(|group| group.status().leads) {
            return Ok(leader.clone());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(eyre!("no leader was elected"))
}

async fn propose(group: &Group, body: Body) -> Result<()> {
    let outcome = group.propose(Command { body: Some(body) }).await.map_err(|code| eyre!("{code:?}"))?;
    match ResultCode::from_number(outcome.code) {
        Some(ResultCode::Done | ResultCode::Accepted) => Ok(()),
        other => Err(eyre!("the command came to {other:?}")),
    }
}

async fn add_items(leader: &Group, items: u64) -> Result<()> {
    let file = "file".to_owned();
    let create = CreateFile { file: file.clone(), tenant: "t".into(), ..CreateFile::default() };
    propose(leader, Body::CreateFile(create)).await?;
    let mut position = 0;
    let mut under_way = Vec::new();
    while position < items {
        let count = ITEMS_TOGETHER.min(items - position);
        let item = |offset: u64| Item {
            position: position + offset,
            custom_id: (position + offset).to_string(),
            body: vec![b'x'; BODY_BYTES].into(),
        };
        let add = AddItems {
            file: file.clone(),
            items: (0..count).map(item).collect(),
            before: position,
            after: position + count,
        };
        position += count;
        under_way.push(propose(leader, Body::AddItems(add)));
        if under_way.len() == PROPOSALS {
            futures::future::try_join_all(under_way.drain(..)).await?;
        }
    }
    futures::future::try_join_all(under_way).await?;
    propose(leader, Body::SealFile(SealFile { file: file.clone(), items, size: 0, content: items })).await?;
    let job = CreateJob { job: "job".into(), tenant: "t".into(), file, repeatable: true, ..CreateJob::default() };
    propose(leader, Body::CreateJob(job)).await
}

async fn complete_items(leader: &Group, items: u64) -> Result<()> {
    let mut position = 0;
    let mut under_way = Vec::new();
    while position < items {
        let count = RESULTS_TOGETHER.min(items - position);
        let result = |offset: u64| ItemResult {
            position: position + offset,
            code: ResultCode::Done.number(),
            status: 200,
            body: vec![b'y'; BODY_BYTES].into(),
        };
        let results = (0..count).map(result).collect();
        let complete = CompleteItems { job: "job".into(), results, at_seconds: 1 };
        let commands = vec![Command { body: Some(Body::CompleteItems(complete)) }];
        position += count;
        under_way.push(propose(leader, Body::Batch(Batch { commands })));
        if under_way.len() == PROPOSALS {
            futures::future::try_join_all(under_way.drain(..)).await?;
        }
    }
    futures::future::try_join_all(under_way).await?;
    Ok(())
}

async fn commit_time(leader: &Group) -> Result<f64> {
    let mut times = Vec::new();
    for number in 0..50 {
        let begun = Instant::now();
        let create = CreateFile { file: format!("small-{number}"), ..CreateFile::default() };
        propose(leader, Body::CreateFile(create)).await?;
        times.push(begun.elapsed());
    }
    times.sort_unstable();
    Ok(times[times.len() / 2].as_secs_f64() * 1000.0)
}
