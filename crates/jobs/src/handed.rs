//! A job as it was handed in, and how it is taken.

use crate::desk::{DeskFault, Taken, LONGEST_PAUSE, PAUSE};
use crate::job_entry::{Entered, JobEntry};
use crate::layout::JobBody;
use latchwheel_core::job_route::AcceptedTerms;
use latchwheel_core::retry::exponential_backoff;
use latchwheel_core::routes::Route;
use latchwheel_records::{RecordStore, RecordsFault};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A job as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Handed {
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) accepted_ms: u64,
    #[serde(default)]
    pub(crate) assigned: String,
    #[serde(default)]
    pub(crate) tenant: Option<String>,
    #[serde(default)]
    pub(crate) terms: Option<AcceptedTerms>,
    pub(crate) body: JobBody,
}

/// How a job was handed in, apart from its items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Submission<'a> {
    /// Host that its client named.
    pub host: &'a str,
    /// Path that it was handed in at.
    pub path: &'a str,
    /// Tenant that hands it in, if the table knows tenants.
    pub tenant: Option<&'a str>,
    /// Route that accepts it.
    pub route: Option<&'a Route>,
}

impl Handed {
    /// A job that `assigned` is to run, if any worker is known.
    pub(crate) fn new(submission: &Submission<'_>, body: JobBody, assigned: Option<&str>) -> Self {
        let accepted = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            host: submission.host.to_owned(),
            path: submission.path.to_owned(),
            tenant: submission.tenant.map(str::to_owned),
            terms: submission.route.map(AcceptedTerms::of),
            accepted_ms: accepted.as_millis() as u64,
            assigned: assigned.unwrap_or_default().to_owned(),
            body,
        }
    }
}

/// Writes a new job to the store, as often as it takes until it is settled.
pub(crate) async fn write_job<S: RecordStore>(
    store: Arc<S>,
    job: String,
    handed: Arc<Handed>,
    until: Instant,
) -> Result<Taken, DeskFault> {
    let mut entry = JobEntry::new(&*store, &job, &handed);
    let mut fault = DeskFault::Refused;
    let mut failures = 0;
    loop {
        match entry.write(&*store).await {
            Ok(Entered::New) => return Ok(Taken { resent: false, disks: 0 }),
            Ok(Entered::Present(Some(present))) if entry.is_of_same_job(&present) => {
                return Ok(Taken { resent: true, disks: 0 });
            }
            Ok(Entered::Present(Some(_))) => return Err(DeskFault::Conflict),
            Ok(Entered::Present(None)) => return Err(DeskFault::Unknown),
            Err(RecordsFault::Refused | RecordsFault::Unavailable | RecordsFault::Rejected) => {}
            Err(_) => fault = DeskFault::Unknown,
        }
        let pause = exponential_backoff(PAUSE, LONGEST_PAUSE, failures);
        if Instant::now() + pause >= until {
            return Err(fault);
        }
        failures += 1;
        tokio::time::sleep(pause).await;
    }
}
