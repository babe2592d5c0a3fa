//! The records of a job in the shared store.
//!
//! | key | value |
//! | --- | --- |
//! | `latchwheel/active/job/JOB` | [`JobRecord`] |
//! | `latchwheel/closed/JOB` | [`JobRecord`] of a job that was removed |
//! | `latchwheel/early-end/JOB` | `EarlyEnd` (`early_end`): who ended a job that was absent then, under a lease |
//! | `latchwheel/active/fleet/node/NODE` | [`NodeRecord`] of a node that lives, under its lease |
//! | `latchwheel/active/fleet/leaving/NODE` | [`LeavingRecord`] of a worker that winds up, under a lease of its own; void once NODE has registered again |
//! | `latchwheel/active/fleet/quarantine/DIGEST` | [`QuarantineRecord`] of requests that end servers; an operator removes it to let them go |
//! | `latchwheel/disk/NODE` | [`NodeRecord`] of a worker whose disk may hold jobs; it stays when the worker is down |
//! | `latchwheel/body/JOB/N` | part N of the serialized [`JobBody`] |
//! | `latchwheel/result/JOB/N` | part N of the list of results |
//! | `latchwheel/result/JOB/failures` | how often items without a result failed (`item_failures`) |
//! | `latchwheel/result/JOB/total` | [`JobSummary`], so that one list tells all that readers need |
//!
//! Invariants: the parts of the list are written in order, each only where it
//! is absent, so that whoever appends knows all parts before; nothing of a
//! list is ever changed. A job's record is made only where its early end is absent,
//! or as ended where that is there; an early end is written only where the job's
//! record is absent.

use latchwheel_core::fingerprint::{Fingerprint, RequestKey, RequestShape};
use latchwheel_core::job_route::AcceptedTerms;
use latchwheel_core::quarantine::QuarantineEntry;
use latchwheel_core::time::WallTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of what workers follow.
pub const WORK_PREFIX: &str = "latchwheel/active/";

const JOB_PREFIX: &str = "latchwheel/active/job/";
/// Prefix of the records of disks that may hold jobs.
pub const DISK_PREFIX: &str = "latchwheel/disk/";
/// Prefix of what every node follows: one watch of the store tells all of it.
pub const FLEET_PREFIX: &str = "latchwheel/active/fleet/";
/// Prefix of the registrations of nodes.
pub const NODE_PREFIX: &str = "latchwheel/active/fleet/node/";
/// Prefix of the announcements of workers that wind up.
const LEAVING_PREFIX: &str = "latchwheel/active/fleet/leaving/";
/// Prefix of the verdicts on requests that end servers.
pub const QUARANTINE_PREFIX: &str = "latchwheel/active/fleet/quarantine/";

/// Key of a job's record.
pub fn job_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Key of the mark of a job that was removed.
pub fn closed_key(job: &str) -> String {
    format!("latchwheel/closed/{job}")
}

/// Key of the end of a job that is not in the store.
pub(crate) fn early_end_key(job: &str) -> String {
    format!("latchwheel/early-end/{job}")
}

/// The job whose record has this key.
pub fn job_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX)
}

/// Key of a node's registration.
pub fn node_key(node: &str) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Key of the record of a worker's disk.
pub fn disk_key(node: &str) -> String {
    format!("{DISK_PREFIX}{node}")
}

/// The node whose registration has this key.
pub fn node_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(NODE_PREFIX)
}

/// Key of the announcement of a worker that winds up.
pub(crate) fn leaving_key(worker: &str) -> String {
    format!("{LEAVING_PREFIX}{worker}")
}

/// The worker whose announcement has this key.
pub(crate) fn leaving_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(LEAVING_PREFIX)
}

/// Key of the verdict on a request.
pub fn quarantine_key(request: Fingerprint) -> String {
    format!("{QUARANTINE_PREFIX}{request}")
}

/// The request whose verdict has this key.
pub fn request_of_key(key: &str) -> Option<Fingerprint> {
    key.strip_prefix(QUARANTINE_PREFIX)?.parse().ok()
}

/// Key of a part of a job's body.
pub fn body_key(job: &str, part: usize) -> String {
    format!("latchwheel/body/{job}/{part:04}")
}

/// Prefix of the parts of a job's list of results.
pub fn result_prefix(job: &str) -> String {
    format!("latchwheel/result/{job}/")
}

/// Key of a part of a job's list of results.
pub fn result_key(job: &str, part: usize) -> String {
    format!("latchwheel/result/{job}/{part:06}")
}

/// Key of a job's summary.
pub fn total_key(job: &str) -> String {
    format!("latchwheel/result/{job}/{TOTAL}")
}

/// Key of how often a job's items failed.
pub fn failures_key(job: &str) -> String {
    format!("latchwheel/result/{job}/{FAILURES}")
}

/// Last part of that key.
pub const FAILURES: &str = "failures";

/// Last part of the key of a job's summary.
pub const TOTAL: &str = "total";

/// Whether a job still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Its items run.
    Open,
    /// All its items have results.
    Finished,
    /// Its client ended it.
    Ended,
}

/// What is known of a job beside its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// State.
    pub state: JobState,
    /// Host that its client named.
    pub host: String,
    /// Path that it was handed in at.
    pub path: String,
    /// Number of items.
    pub items: usize,
    /// Parts of its body.
    pub body_parts: usize,
    /// Hash of its body.
    pub body_hash: u64,
    /// Time of day at which it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Worker that is to run it; empty if none was known.
    #[serde(default)]
    pub assigned: String,
    /// Tenant that handed it in, if the table knew tenants then.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Terms of its route when it was accepted; records of earlier releases have none.
    #[serde(default)]
    pub terms: Option<AcceptedTerms>,
}

impl JobRecord {
    /// Whether a caller of this tenant may know of the job.
    pub fn is_open_to(&self, caller: Option<&str>) -> bool {
        is_open_to(self.tenant.as_deref(), caller)
    }
}

/// Whether a caller of this tenant may know of a job of that owner. A job without
/// an owner was handed in while callers needed no key.
pub(crate) fn is_open_to(owner: Option<&str>, caller: Option<&str>) -> bool {
    owner.is_none_or(|owner| caller == Some(owner))
}

/// What readers need to know of a job beside its results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Number of items.
    pub items: usize,
    /// Tenant that handed it in.
    #[serde(default)]
    pub tenant: Option<String>,
}

/// The items of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobBody {
    /// In the order in which they were handed in.
    pub items: Vec<ItemBody>,
}

/// One item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBody {
    /// Identity, unique in its job.
    pub id: String,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: BTreeMap<String, String>,
    /// Body of its request, in base64.
    pub body: String,
    /// Tokens of its prompt and most tokens of its output, summed.
    #[serde(default)]
    pub tokens: u64,
}

/// A result as it stands in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// Item.
    pub item: String,
    /// Whether its output is whole; otherwise it was given up.
    pub completed: bool,
    /// Its output.
    pub text: String,
}

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Takes requests from clients.
    Front,
    /// Runs batch jobs.
    Worker,
}

/// Registration of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// What it does.
    pub role: NodeRole,
    /// Address that other nodes reach it at, IP and port.
    pub address: String,
    /// Whether other nodes take followed records and sums of load from it.
    #[serde(default)]
    pub is_upstream: bool,
}

impl NodeRecord {
    /// Reads a registration.
    pub fn read(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The registration as a value of the store.
    pub fn write(&self) -> bytes::Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Announcement of a worker that winds up: it runs no other jobs than these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// Jobs of which it still runs items, or lists results.
    pub holds: BTreeSet<String>,
}

impl LeavingRecord {
    /// Reads an announcement.
    pub fn read(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The announcement as a value of the store.
    pub fn write(&self) -> bytes::Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// A verdict on a request that ends servers. It names nothing of its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Shape of the request.
    pub shape: u64,
    /// When it was decided or lifted, in milliseconds since 1970.
    pub changed_at_ms: u64,
    /// End of the quarantine, in milliseconds since 1970.
    pub until_ms: u64,
    /// How often it was quarantined.
    pub offences: u32,
    /// Whether it was lifted.
    pub lifted: bool,
}

impl QuarantineRecord {
    /// The record of a verdict.
    pub fn of(verdict: &QuarantineEntry) -> Self {
        Self {
            shape: verdict.request.shape.0,
            changed_at_ms: verdict.changed_at.0,
            until_ms: verdict.until.0,
            offences: verdict.offences,
            lifted: verdict.lifted,
        }
    }

    /// Reads the verdict of a record.
    pub fn read(key: &str, value: &[u8]) -> Option<QuarantineEntry> {
        let record: Self = serde_json::from_slice(value).ok()?;
        let request = RequestKey { shape: RequestShape(record.shape), fingerprint: request_of_key(key)? };
        Some(QuarantineEntry {
            request,
            changed_at: WallTime(record.changed_at_ms),
            until: WallTime(record.until_ms),
            offences: record.offences,
            lifted: record.lifted,
            servers: Vec::new(),
        })
    }

    /// The record as a value of the store.
    pub fn write(&self) -> bytes::Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}
