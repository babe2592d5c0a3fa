//! The end of a job that is not in the store yet.
//!
//! A job may be on a disk, or on its way from another node, when its client ends it.
//! Its end is then a record of its own, written only where the job is absent. Every
//! write that brings a job into the store is conditioned on the absence of that
//! record, and brings the job in as ended where there is one (`job_entry`). Whichever
//! comes first, the store decides, and none of the items runs.

use crate::layout::is_open_to;
use bytes::Bytes;
use latchwheel_records::{RecordStore, RecordsFault};
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which such a record ends by itself, so that ends of jobs that never come
/// don't pile up: the longest lease that stores grant.
const EARLY_END_LEASE: Duration = Duration::from_secs(600);
/// Records are written under one lease for this time, and thus last for the other half
/// at least: an end costs no call for a lease of its own.
const LEASE_SHARED_FOR: Duration = Duration::from_secs(300);

/// Who ended a job that was not in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EarlyEnd {
    /// Tenants of the callers; `None` for one without a tenant. Whose the job is shows
    /// only when it comes.
    callers: Vec<Option<String>>,
}

impl EarlyEnd {
    /// Reads the record.
    pub(crate) fn read(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The record as a value of the store.
    pub(crate) fn write(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// A caller of this tenant has ended the job.
    pub(crate) fn note(&mut self, caller: Option<&str>) {
        if !self.callers.iter().any(|present| present.as_deref() == caller) {
            self.callers.push(caller.map(str::to_owned));
        }
    }

    /// Whether one of the callers may end a job of this owner.
    pub(crate) fn ends_job_of(&self, owner: Option<&str>) -> bool {
        self.callers.iter().any(|caller| is_open_to(owner, caller.as_deref()))
    }
}

/// The lease under which this node writes such records.
#[derive(Debug, Default)]
pub(crate) struct EarlyEndLease {
    granted: Mutex<Option<(u64, Instant)>>,
}

impl EarlyEndLease {
    /// The present lease, or a new one.
    ///
    /// # Errors
    /// [`RecordsFault`] if the store grants none.
    pub(crate) async fn get<S: RecordStore>(&self, store: &S) -> Result<u64, RecordsFault> {
        let present = *self.lock();
        if let Some((lease, _)) = present.filter(|(_, granted_at)| granted_at.elapsed() < LEASE_SHARED_FOR) {
            return Ok(lease);
        }
        let asked_at = Instant::now();
        let lease = store.grant(EARLY_END_LEASE).await?;
        *self.lock() = Some((lease, asked_at));
        Ok(lease)
    }

    /// The store doesn't know the lease any more.
    pub(crate) fn forget(&self) {
        *self.lock() = None;
    }

    fn lock(&self) -> MutexGuard<'_, Option<(u64, Instant)>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
