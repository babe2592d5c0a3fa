//! Registration of this process in the store, under a lease.

use crate::{Change, Contact, Listing, OwnedKey, RecordStore, RecordsFault};
use bytes::Bytes;
use latchwheel_core::retry::exponential_backoff;
use latchwheel_events::{emit, Event};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Pause before the store is asked again, doubled at each failure in a row up to
/// half of the time between renewals: whose lease is long is in no hurry.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// Time in which a registration must be withdrawn.
const WITHDRAW_TIME: Duration = Duration::from_millis(300);

/// A record that lasts as long as its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Length of the lease: a dead process is noticed after that time.
    pub lease: Duration,
    /// The lease is renewed this often. Each renewal also shows whether the
    /// store answers this process.
    pub renew_every: Duration,
}

/// A lease that was granted or renewed by a call sent at `held_since`.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    held_since: Instant,
}

/// Keeps the registration of this process in the store.
#[derive(Debug)]
pub struct Registrar<S> {
    store: Arc<S>,
    contact: Contact,
    registration: Registration,
    record: OwnedKey<S>,
    lost: Notify,
}

impl<S: RecordStore> Registrar<S> {
    /// Creates the registrar of a process that is not registered yet.
    pub fn new(store: Arc<S>, contact: Contact, registration: Registration) -> Self {
        let record = OwnedKey::new(store.clone(), registration.key.clone());
        Self { store, contact, registration, record, lost: Notify::new() }
    }

    /// Keeps the registration for as long as the process lives; never completes. A
    /// registration that was lost, or whose lease ended, is written again.
    pub async fn keep(&self) {
        let renew_every = self.registration.renew_every;
        let longest_pause = (renew_every / 2).max(STORE_PAUSE);
        let mut lease = None;
        let mut failures = 0;
        loop {
            match self.keep_once(&mut lease).await {
                Ok(held_since) => {
                    failures = 0;
                    tokio::select! {
                        () = tokio::time::sleep_until(held_since + renew_every) => {}
                        () = self.lost.notified() => tokio::time::sleep(self.spread()).await,
                    }
                }
                Err(_) => {
                    tokio::select! {
                        () = self.contact.regained() => {}
                        () = tokio::time::sleep(exponential_backoff(STORE_PAUSE, longest_pause, failures)) => {}
                    }
                    failures += 1;
                }
            }
        }
    }

    /// Renews the lease if that is due, and writes the registration unless the store holds it
    /// as this process wrote it. Returns since when the lease is held.
    async fn keep_once(&self, lease: &mut Option<Lease>) -> Result<Instant, RecordsFault> {
        let held = self.held_lease(lease).await?;
        let until = held.held_since + self.registration.lease;
        if self.record.is_held() {
            self.contact.note_registered(until);
            return Ok(held.held_since);
        }
        let Some(revision) = self.record.write(&self.registration.value, held.id).await? else {
            *lease = None;
            return Err(RecordsFault::Rejected);
        };
        self.contact.note_registered(until);
        emit("", &Event::NodeRegistered { lease: held.id, revision });
        Ok(held.held_since)
    }

    /// Time for which a lost registration stays lost: an outage of the store in which leases end
    /// removes all registrations at once, and their nodes spread the new ones as they spread
    /// their renewals.
    fn spread(&self) -> Duration {
        self.registration.renew_every.mul_f64(rand::random())
    }

    /// The present lease, renewed if that is due or its record is lost, or a new one.
    async fn held_lease(&self, lease: &mut Option<Lease>) -> Result<Lease, RecordsFault> {
        let sent_at = Instant::now();
        if let Some(held) = lease {
            let is_due = held.held_since.elapsed() >= self.registration.renew_every || self.record.is_lost();
            if !is_due {
                return Ok(*held);
            }
            if self.store.renew(held.id).await? {
                held.held_since = sent_at;
                return Ok(*held);
            }
            self.record.note_lease_ended();
            self.contact.note_registration_lost();
        }
        *lease = None;
        let id = self.store.grant(self.registration.lease).await?;
        let granted = Lease { id, held_since: sent_at };
        *lease = Some(granted);
        Ok(granted)
    }

    /// Notes a change in the store.
    pub fn note_change(&self, change: &Change) {
        if self.record.note_change(change) {
            self.note_lost(change.revision(), matches!(change, Change::Written(_)));
        }
    }

    /// Notes all records under a prefix of the registration's key.
    pub fn note_listing(&self, listing: &Listing) {
        if self.record.note_listing(listing) {
            let replaced = listing.records.iter().any(|record| record.key == self.registration.key);
            self.note_lost(listing.revision, replaced);
        }
    }

    fn note_lost(&self, revision: u64, replaced: bool) {
        self.contact.note_registration_lost();
        emit("", &Event::RegistrationLost { revision, replaced });
        self.lost.notify_one();
    }

    /// Removes the registration. Where this fails or takes long, the lease ends it: a process
    /// that stops has little time.
    pub async fn withdraw(&self) {
        let reason = match tokio::time::timeout(WITHDRAW_TIME, self.record.remove_own()).await {
            Ok(Ok(())) => return,
            Ok(Err(fault)) => fault.word(),
            Err(_) => RecordsFault::Unknown.word(),
        };
        emit("", &Event::RegistrationNotRemoved { reason });
    }
}
