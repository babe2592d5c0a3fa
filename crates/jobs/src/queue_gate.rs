//! Keeping the work that waits on a route within its limit, at a node that
//! takes jobs.

use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::queue_limit::{PendingJobs, QueueLimit, HANDOVER_TIME};
use latchwheel_core::routes::Route;
use latchwheel_proxy::{Dialect, Shared};
use latchwheel_records::Contact;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What decided on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueVerdict {
    /// Whether the job fits.
    pub fits: bool,
    /// Tokens that wait on its route without it.
    pub queued: u64,
}

/// Admits jobs within the limits of their routes. Clones share the count.
#[derive(Debug)]
pub struct QueueGate<D> {
    shared: Arc<Shared<D>>,
    contact: Contact,
    excess: f64,
    pending: Arc<Mutex<PendingJobs>>,
}

impl<D> Clone for QueueGate<D> {
    fn clone(&self) -> Self {
        let (shared, pending) = (self.shared.clone(), self.pending.clone());
        Self { shared, contact: self.contact.clone(), excess: self.excess, pending }
    }
}

impl<D: Dialect> QueueGate<D> {
    /// No job was taken yet. `excess` is the share by which limits may be
    /// exceeded, `contact` tells whether the store answers.
    pub fn new(shared: Arc<Shared<D>>, contact: Contact, excess: f64) -> Self {
        Self { shared, contact, excess, pending: Arc::default() }
    }

    /// Counts a job of so many tokens if it fits with what its tenant has waiting. One that was taken here just
    /// now fits again.
    pub fn admit(&self, route: &Route, tenant: Option<&str>, job: &str, tokens: u64) -> QueueVerdict {
        let now = self.shared.clock.now();
        let key = RouteKey::of_tenant(&route.name, tenant);
        let mut pending = self.lock();
        pending.tick(now, self.is_store_away());
        let elsewhere = self.shared.dispatcher().queued_tokens_elsewhere(now, key);
        let queued = elsewhere.saturating_add(pending.tokens(key));
        let limit = QueueLimit { tokens: route.queued_token_limit, excess: self.excess };
        let unlimited = route.queued_token_limit == 0;
        let known = pending.holds(job);
        let fits = unlimited || known || limit.fits(queued, tokens);
        if fits && !unlimited {
            pending.note(now, key, job, tokens);
            self.tell(&pending, key);
            drop(pending);
            if !known {
                self.tell_later(key, job.to_owned());
            }
        }
        QueueVerdict { fits, queued }
    }

    /// The job is kept on disks, since the store did not take it in time.
    pub fn note_spooled(&self, job: &str) {
        self.lock().note_spooled(self.shared.clock.now(), job);
    }

    /// The job was not taken after all.
    pub fn withdraw(&self, route: &Route, tenant: Option<&str>, job: &str) {
        let mut pending = self.lock();
        if pending.holds(job) {
            pending.forget(job);
            self.tell(&pending, RouteKey::of_tenant(&route.name, tenant));
        }
    }

    fn tell(&self, pending: &PendingJobs, route: RouteKey) {
        self.shared.dispatcher().set_queued_tokens(self.shared.clock.now(), route, pending.tokens(route));
    }

    /// Tells others once the job does not count here any more: one task for each
    /// job, which ends with it.
    fn tell_later(&self, route: RouteKey, job: String) {
        let gate = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(HANDOVER_TIME).await;
                let mut pending = gate.lock();
                pending.tick(gate.shared.clock.now(), gate.is_store_away());
                gate.tell(&pending, route);
                if !pending.holds(&job) {
                    return;
                }
            }
        });
    }

    fn is_store_away(&self) -> bool {
        self.contact.answering_for().is_none()
    }

    fn lock(&self) -> MutexGuard<'_, PendingJobs> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
