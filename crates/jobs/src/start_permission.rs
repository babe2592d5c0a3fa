//! Whether items of a job may be sent to servers, asked again right before each is.
//!
//! Between the choice of a server and the sending an order to leave may come, and time
//! passes: a connection is made, the store is read. So the job's run and the runs of its
//! items share one permission, and what counts is the moment of the sending.

use crate::job_run::JobOrder;
use latchwheel_core::start_lease::StartLease;
use latchwheel_core::time::Instant;
use latchwheel_records::Contact;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// What the sending of a job's items depends on.
pub(crate) struct StartPermission {
    lease: Mutex<StartLease>,
    orders: watch::Receiver<JobOrder>,
    contact: Contact,
}

impl StartPermission {
    pub(crate) fn new(end_in_force: Duration, orders: watch::Receiver<JobOrder>, contact: Contact) -> Self {
        Self { lease: Mutex::new(StartLease::new(end_in_force)), orders, contact }
    }

    /// The job was open at that moment.
    pub(crate) fn note_open(&self, at: Instant) {
        self.lease().note_open(at);
    }

    /// Whether items may be sent now. While the store answers nobody work goes on: no
    /// further end can be acknowledged then. One that was acknowledged just before, and not
    /// heard of, is in force after the outage only.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        let is_left = matches!(*self.orders.borrow(), JobOrder::Leave(_));
        !is_left && (self.lease().allows(now) || self.contact.answers_nobody())
    }

    /// Whether it is time to ask the store whether the job is still open.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.lease().is_due(now)
    }

    /// Age in milliseconds of what is known of the job, as it is logged.
    pub(crate) fn known_ms(&self, now: Instant) -> u64 {
        self.lease().age(now).map_or(u64::MAX, |age| age.as_millis() as u64)
    }

    fn lease(&self) -> MutexGuard<'_, StartLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
