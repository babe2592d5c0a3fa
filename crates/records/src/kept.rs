//! Records that were kept before a start: kept on disks, believed where the store answers
//! nobody, and handed on to upstreams that know nothing, from which all nodes take them.
//!
//! [`latchwheel_core::startup_snapshot`] decides what is believed. A node without a disk knows
//! only the upstreams at its start, and these have no disk either. So the nodes with a disk
//! hand on: each polls the upstreams anyway, and an upstream that lacks what a poll says
//! that the asker knows calls for it in its answer.

use crate::cached_prefix::read_news;
use crate::origin::Origin;
use crate::snapshot_folder::{SnapshotFiles, SnapshotFolder};
use crate::watch_cache::{lock, WatchCache};
use crate::RecordStore;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, StatusCode};
use latchwheel_core::startup_snapshot::{
    is_newer_revision, replaces, snapshot_age, RecordState, StartSnapshots, StoreReachability,
};
use latchwheel_core::time::{Instant as CoreInstant, WallTime};
use latchwheel_events::{emit, Event};
use latchwheel_http::{read_bounded, Client};
use latchwheel_protocol::{v1, Message};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// Path at which a snapshot is handed on.
pub(crate) const KEPT_PATH: &str = "/records/kept";
/// Time between two looks whether what was kept is needed.
const NEED_LOOK: Duration = Duration::from_millis(50);
/// Time between two looks whether something is to be kept.
const KEEP_LOOK: Duration = Duration::from_millis(250);
/// What has not changed is kept anew after this time, so that it doesn't look old.
const CONFIRM_EVERY: Duration = Duration::from_secs(60);
/// Most bytes of a prefix that a disk is given in a second, on average.
const DISK_BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Bounds on a snapshot that is handed on: 10,000 servers take 2 MB.
const HANDED_LIMIT: usize = 16 << 20;
const HANDED_TIME: Duration = Duration::from_secs(5);

/// A prefix whose records are kept, and the least time between two writes of them.
#[derive(Clone, Debug)]
pub struct KeptPrefix {
    /// Prefix.
    pub prefix: &'static str,
    /// Least time between two writes.
    pub pace: Duration,
}

/// What a node does with records that were kept before a start.
#[derive(Debug)]
pub(crate) struct KeptAtStart {
    /// Nothing is believed, called for or handed on until it is named.
    deployment: OnceLock<String>,
    snapshots: Mutex<StartSnapshots>,
}

impl KeptAtStart {
    pub(crate) fn new(now: CoreInstant) -> Self {
        Self { deployment: OnceLock::new(), snapshots: Mutex::new(StartSnapshots::new(now)) }
    }
}

/// What was last written of a prefix.
#[derive(Clone, Copy, Debug)]
struct Written {
    at: Instant,
    /// The last change that is on the disk; none if it did not take what was written.
    changed_at: Option<u64>,
    bytes: usize,
}

impl Written {
    fn is_due(&self, changed_at: u64, pace: Duration) -> bool {
        let by_size = Duration::from_secs_f64(self.bytes as f64 / DISK_BYTES_PER_SECOND);
        let pace = if self.changed_at == Some(changed_at) { CONFIRM_EVERY } else { pace };
        self.at.elapsed() >= pace.max(by_size)
    }
}

/// Whether a node still keeps the prefix of a snapshot. Nobody follows those that a former
/// version kept: they would be looked after for ever.
fn is_of_kept_prefix(snapshot: &v1::StartSnapshot, folder: &SnapshotFolder, prefixes: &[KeptPrefix]) -> bool {
    let prefix = snapshot.records.as_ref().map_or("", |records| &records.prefix);
    let is_kept = prefixes.iter().any(|kept| kept.prefix == prefix);
    if !is_kept {
        let path = folder.path_of(prefix);
        emit("", &Event::SnapshotUnusable { path: &path.to_string_lossy(), reason: "of a prefix that is not kept" });
    }
    is_kept
}

impl<S: RecordStore> WatchCache<S> {
    /// Believes snapshots of this deployment where nothing else is known, calls nodes that
    /// have some for them, and hands them on.
    pub fn use_snapshots(&self, deployment: &str) {
        let named = self.start.deployment.set(deployment.to_owned());
        debug_assert!(named.is_ok(), "the deployment is named once");
    }

    /// Keeps the records under these prefixes on a disk for the next start, and believes
    /// what was kept before this one where it is needed.
    pub fn keep_on_disk(self: &Arc<Self>, folder: SnapshotFolder, prefixes: Vec<KeptPrefix>) {
        self.use_snapshots(folder.deployment());
        let SnapshotFiles { whole, unusable } = folder.read_all();
        for file in unusable {
            let path = file.path.to_string_lossy();
            emit("", &Event::SnapshotUnusable { path: &path, reason: &file.reason });
        }
        let kept = whole.into_iter().filter(|snapshot| is_of_kept_prefix(snapshot, &folder, &prefixes)).collect();
        tokio::spawn(self.clone().believe_where_needed(kept));
        tokio::spawn(self.clone().write_changed(folder, prefixes));
    }

    async fn believe_where_needed(self: Arc<Self>, kept: Vec<v1::StartSnapshot>) {
        let needed = |snapshot: &v1::StartSnapshot| {
            let prefix = snapshot.records.as_ref().map_or("", |records| &records.prefix);
            self.knowledge_of(prefix) != RecordState::Received
        };
        while kept.iter().any(needed) {
            if self.may_use_snapshots() {
                kept.into_iter().for_each(|snapshot| {
                    self.take_snapshot(snapshot, "disk");
                });
                // Polls on their way don't say yet that it is known here.
                self.follows_more.notify_one();
                return;
            }
            tokio::time::sleep(NEED_LOOK).await;
        }
    }

    async fn write_changed(self: Arc<Self>, folder: SnapshotFolder, prefixes: Vec<KeptPrefix>) {
        let mut written: HashMap<&'static str, Written> = HashMap::new();
        loop {
            tokio::time::sleep(KEEP_LOOK).await;
            for kept in &prefixes {
                let Some(changed_at) = self.told_change(kept.prefix) else { continue };
                if written.get(kept.prefix).is_some_and(|written| !written.is_due(changed_at, kept.pace)) {
                    continue;
                }
                let Some(snapshot) = self.snapshot_of(kept.prefix) else { continue };
                let bytes = snapshot.encoded_len();
                let disk = folder.clone();
                let outcome = tokio::task::spawn_blocking(move || disk.write(&snapshot)).await;
                let (changed_at, fault) = match outcome {
                    Ok(Ok(())) => (Some(changed_at), None),
                    Ok(Err(fault)) => (None, Some(fault.to_string())),
                    Err(fault) => (None, Some(fault.to_string())),
                };
                written.insert(kept.prefix, Written { at: Instant::now(), changed_at, bytes });
                if let Some(reason) = fault {
                    emit("", &Event::SnapshotNotKept { prefix: kept.prefix, reason: &reason });
                }
            }
        }
    }

    /// Revision of the last change of a prefix, if a source told of it that can be relied on.
    fn told_change(&self, prefix: &str) -> Option<u64> {
        let entries = lock(&self.entries);
        let entry = entries.get(prefix)?;
        (entry.knowledge() == RecordState::Received).then(|| entry.cached.changed_at())
    }

    /// What is known of a prefix, to be kept or handed on.
    fn snapshot_of(&self, prefix: &str) -> Option<v1::StartSnapshot> {
        let deployment = self.start.deployment.get()?.clone();
        let entries = lock(&self.entries);
        let entry = entries.get(prefix).filter(|entry| entry.can_be_told())?;
        let confirmed = entry.confirmed(self.clock.wall_time())?;
        let records = entry.cached.news(prefix, None);
        Some(v1::StartSnapshot { deployment, confirmed_ms: confirmed.0, records: Some(records) })
    }

    fn store_contact(&self) -> StoreReachability {
        let upstream_reaches_store = self.contact.answering_for().is_some();
        StoreReachability { own_age: self.contact.own_age(), upstream_reaches_store }
    }

    fn may_use_snapshots(&self) -> bool {
        self.start.deployment.get().is_some()
            && lock(&self.start.snapshots).may_use_snapshots(self.clock.now(), self.store_contact())
    }

    fn knowledge_of(&self, prefix: &str) -> RecordState {
        lock(&self.entries).get(prefix).map_or(RecordState::Nothing, |entry| entry.knowledge())
    }

    /// Believes a snapshot if it is to be believed; `true` if it was.
    fn take_snapshot(&self, snapshot: v1::StartSnapshot, from: &str) -> bool {
        let ours = self.start.deployment.get().is_some_and(|own| *own == snapshot.deployment);
        let Some(records) = snapshot.records.filter(|records| records.all && ours) else { return false };
        let (revision, confirmed) = (records.revision, WallTime(snapshot.confirmed_ms));
        let now = self.clock.wall_time();
        let believed = |known| replaces(known, revision, confirmed, now);
        self.may_use_snapshots() && self.take_kept(records, (confirmed, Origin::Snapshot), from, believed)
    }

    /// Takes what an upstream told that the store doesn't answer, if nothing better is
    /// known. `age` is that of what it knows itself.
    pub(crate) fn take_unconfirmed(
        &self,
        told: v1::PrefixRecords,
        age: Option<Duration>,
        confirmed: &[v1::ConfirmedPrefix],
        upstream: &str,
    ) {
        let now = self.clock.wall_time();
        let revision = told.revision;
        if let Some(kept) = confirmed.iter().find(|confirmed| confirmed.prefix == told.prefix) {
            let confirmed = WallTime(kept.confirmed_ms);
            let kept = (confirmed, Origin::Snapshot);
            self.take_kept(told, kept, upstream, |known| replaces(known, revision, confirmed, now));
            return;
        }
        // Whose age is unknown is never handed on as if it were new.
        let confirmed = age.map_or(WallTime::default(), |age| now - age);
        self.take_kept(told, (confirmed, Origin::Upstream), upstream, |known| is_newer_revision(known, revision));
    }

    /// Takes records that are kept, or that a node out of touch with the store knows, if
    /// they are believed rather than what is known.
    fn take_kept(
        &self,
        told: v1::PrefixRecords,
        (confirmed, origin): (WallTime, Origin),
        from: &str,
        believed: impl FnOnce(RecordState) -> bool,
    ) -> bool {
        let (prefix, revision) = (told.prefix.clone(), told.revision);
        let now = self.clock.wall_time();
        let records = told.written.len();
        {
            let mut entries = lock(&self.entries);
            let Some(entry) = entries.get_mut(&prefix).filter(|entry| believed(entry.knowledge())) else {
                return false;
            };
            entry.take_kept(read_news(told, None, origin), confirmed);
        }
        self.note_change();
        let age_ms = snapshot_age(confirmed, now).as_millis() as u64;
        emit("", &Event::RecordsFromSnapshot { prefix: &prefix, from, revision, age_ms, records });
        true
    }

    /// Whether there is something for an asker that knows nothing, or only what was kept.
    pub(crate) fn has_kept_news(&self, asked: &v1::RecordsRequest) -> bool {
        let entries = lock(&self.entries);
        let uncertain = asked.positions.iter().filter(|position| position.revision == 0 || position.kept);
        let mut known = uncertain.filter_map(|position| Some((position, entries.get(&position.prefix)?)));
        known.any(|(position, entry)| entry.has_news(position))
    }

    /// Completes when it may be time to call for snapshots; never, if none are missed.
    pub(crate) async fn next_look_for_kept(&self, asked: &v1::RecordsRequest) {
        let misses = asked.positions.iter().any(|position| !self.knows(&position.prefix));
        if self.start.deployment.get().is_none() || !misses {
            return std::future::pending().await;
        }
        tokio::time::sleep(NEED_LOOK).await;
    }

    /// Whether an asker would be called for any of what it knows.
    pub(crate) fn may_want(&self, asked: &v1::RecordsRequest) -> bool {
        self.start.deployment.get().is_some() && asked.positions.iter().any(|position| self.wants(position))
    }

    fn wants(&self, position: &v1::RecordsPosition) -> bool {
        let known = self.knowledge_of(&position.prefix);
        let (now, contact) = (self.clock.now(), self.store_contact());
        let snapshots = lock(&self.start.snapshots);
        snapshots.should_fetch(now, contact, &position.prefix, known, position.revision)
    }

    /// The prefixes for which an asker is called.
    pub(crate) fn call_for(&self, asked: &v1::RecordsRequest) -> Vec<String> {
        if self.start.deployment.get().is_none() {
            return Vec::new();
        }
        let wanted = asked.positions.iter().filter(|position| self.wants(position));
        let wanted: Vec<String> = wanted.map(|position| position.prefix.clone()).collect();
        let mut snapshots = lock(&self.start.snapshots);
        wanted.iter().for_each(|prefix| snapshots.note_fetch(self.clock.now(), prefix));
        wanted
    }

    /// Hands on to an upstream what it called for.
    pub(crate) fn hand_on(&self, upstream: &str, wanted: &[String]) {
        for snapshot in wanted.iter().filter_map(|prefix| self.snapshot_of(prefix)) {
            let upstream = upstream.to_owned();
            tokio::spawn(async move {
                let body = Bytes::from(snapshot.encode_to_vec());
                // An upstream that doesn't take it calls again, this node or another one.
                let sent = Client::http1().call(Method::POST, &upstream, KEPT_PATH, body, HANDED_TIME).await;
                if let Err(fault) = sent {
                    let reason = fault.to_string();
                    emit("", &Event::SnapshotNotHandedOn { upstream: &upstream, reason: &reason });
                }
            });
        }
    }

    /// Takes a snapshot that another node hands on.
    pub(crate) async fn take_handed_on(&self, body: Incoming) -> StatusCode {
        if !self.may_use_snapshots() {
            return StatusCode::CONFLICT;
        }
        let Ok(bytes) = read_bounded(body, HANDED_LIMIT, HANDED_TIME).await else {
            return StatusCode::REQUEST_TIMEOUT;
        };
        let Ok(snapshot) = v1::StartSnapshot::decode(bytes) else { return StatusCode::BAD_REQUEST };
        match self.take_snapshot(snapshot, "node") {
            true => StatusCode::OK,
            false => StatusCode::CONFLICT,
        }
    }
}
