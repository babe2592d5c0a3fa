//! A job as it was handed in, and how it is written to the store.

use crate::desk::{read_record, write_record, DeskFault, Taken, LONGEST_PAUSE, PAUSE};
use crate::layout::{body_key, closed_key, job_key, total_key, JobBody, JobRecord, JobState, JobSummary};
use bytes::Bytes;
use latchwheel_core::identity::stable_hash;
use latchwheel_core::retry::doubled_pause;
use latchwheel_records::{Committed, RecordStore, RecordsFault, Transaction, Write};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Room for the encoding of a value.
const VALUE_MARGIN: usize = 1024;

/// A job as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Handed {
    host: String,
    path: String,
    accepted_ms: u64,
    #[serde(default)]
    assigned: String,
    #[serde(default)]
    tenant: Option<String>,
    body: JobBody,
}

/// How a job was handed in, apart from its items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission<'a> {
    /// Host that its client named.
    pub host: &'a str,
    /// Path that it was handed in at.
    pub path: &'a str,
    /// Tenant that hands it in, if the table knows tenants.
    pub tenant: Option<&'a str>,
}

impl Handed {
    /// A job that `assigned` is to run, if any worker is known.
    pub(crate) fn new(submission: &Submission<'_>, body: JobBody, assigned: Option<&str>) -> Self {
        let accepted = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            host: submission.host.to_owned(),
            path: submission.path.to_owned(),
            tenant: submission.tenant.map(str::to_owned),
            accepted_ms: accepted.as_millis() as u64,
            assigned: assigned.unwrap_or_default().to_owned(),
            body,
        }
    }
}

/// The transaction that writes a new job.
pub(crate) fn taking<S: RecordStore>(store: &S, job: &str, handed: &Handed) -> Transaction {
    let bytes = serde_json::to_vec(&handed.body).unwrap_or_default();
    let part_limit = store.value_limit().saturating_sub(VALUE_MARGIN).max(1);
    let parts = bytes.chunks(part_limit).enumerate();
    let mut writes: Vec<Write> = parts
        .map(|(part, bytes)| Write { key: body_key(job, part), value: Bytes::copy_from_slice(bytes), lease: 0 })
        .collect();
    let record = JobRecord {
        state: JobState::Open,
        host: handed.host.clone(),
        path: handed.path.clone(),
        items: handed.body.items.len(),
        body_parts: writes.len(),
        body_hash: stable_hash(&bytes),
        accepted_ms: handed.accepted_ms,
        assigned: handed.assigned.clone(),
        tenant: handed.tenant.clone(),
    };
    let summary = JobSummary { items: record.items, tenant: record.tenant.clone() };
    let summary = serde_json::to_vec(&summary).unwrap_or_default();
    writes.push(Write { key: total_key(job), value: summary.into(), lease: 0 });
    writes.push(Write { key: job_key(job), value: write_record(&record), lease: 0 });
    Transaction { expected: vec![(job_key(job), 0), (closed_key(job), 0)], writes, removes: Vec::new() }
}

/// Writes a new job to the store, as often as it takes until it is settled.
pub(crate) async fn write_job<S: RecordStore>(
    store: Arc<S>,
    job: String,
    handed: Arc<Handed>,
    until: Instant,
) -> Result<Taken, DeskFault> {
    let transaction = taking(&*store, &job, &handed);
    let body_hash = stable_hash(&serde_json::to_vec(&handed.body).unwrap_or_default());
    let mut fault = DeskFault::Refused;
    let mut failures = 0;
    loop {
        match store.commit(&transaction).await {
            Ok(Committed::Done(_)) => return Ok(Taken { resent: false, disks: 0 }),
            Ok(Committed::Differs(present)) => {
                return match present.first().and_then(|present| read_record(&present.value)) {
                    Some(present) if present.body_hash == body_hash && present.tenant == handed.tenant => {
                        Ok(Taken { resent: true, disks: 0 })
                    }
                    Some(_) => Err(DeskFault::Conflict),
                    None => Err(DeskFault::Unknown),
                };
            }
            Ok(Committed::NoLease) | Err(RecordsFault::Refused | RecordsFault::Rejected) => {}
            Err(_) => fault = DeskFault::Unknown,
        }
        let pause = doubled_pause(PAUSE, LONGEST_PAUSE, failures);
        if Instant::now() + pause >= until {
            return Err(fault);
        }
        failures += 1;
        tokio::time::sleep(pause).await;
    }
}
