//! A key of the store that one process at a time writes, again and again.

use crate::{Change, Committed, Listing, Record, RecordStore, RecordsFault, Transaction, Write};
use bytes::Bytes;
use latchwheel_core::own_record::OwnRecord;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A key that this process writes. Its calls are conditional on what is there, so that the
/// store executes none of them late over a call that followed ([`OwnRecord`]).
#[derive(Debug)]
pub struct OwnedKey<S> {
    store: Arc<S>,
    key: String,
    record: Mutex<OwnRecord>,
}

impl<S> OwnedKey<S> {
    /// A key of which nothing is known yet.
    pub fn new(store: Arc<S>, key: String) -> Self {
        Self { store, key, record: Mutex::default() }
    }

    /// Whether the store holds the record that this process wrote.
    pub fn is_held(&self) -> bool {
        self.record().is_held()
    }

    /// Whether the record that this process wrote was removed or replaced.
    pub fn is_lost(&self) -> bool {
        self.record().is_lost()
    }

    /// Notes that the record leaves the store with its lease.
    pub fn note_lease_ended(&self) {
        self.record().note_lease_ended();
    }

    /// Notes a change in the store; one of another key is ignored. Returns whether it replaced or
    /// removed the record that this process wrote.
    pub fn note_change(&self, change: &Change) -> bool {
        if change.key() != self.key {
            return false;
        }
        let present = match change {
            Change::Written(record) => record.revision,
            Change::Removed { .. } => 0,
        };
        self.record().note_seen(change.revision(), present)
    }

    /// Notes all records under a prefix of the key. Returns whether they lack the record that
    /// this process wrote.
    pub fn note_listing(&self, listing: &Listing) -> bool {
        let present = self.revision_among(&listing.records);
        // A record may be newer than the revision as of which its listing is complete.
        self.record().note_seen(listing.revision.max(present), present)
    }

    /// Revision of the key's record among some; zero if it is not there.
    fn revision_among(&self, records: &[Record]) -> u64 {
        records.iter().find(|record| record.key == self.key).map_or(0, |record| record.revision)
    }

    fn record(&self) -> MutexGuard<'_, OwnRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: RecordStore> OwnedKey<S> {
    /// Writes the record under a lease, or [`NO_LEASE`](crate::NO_LEASE), whatever is there.
    /// Returns its revision; `None` if there is no such lease.
    ///
    /// # Errors
    /// [`RecordsFault`].
    pub async fn write(&self, value: &Bytes, lease: u64) -> Result<Option<u64>, RecordsFault> {
        loop {
            let expected = self.record().expected();
            let write = Write { key: self.key.clone(), value: value.clone(), lease };
            let transaction =
                Transaction { expected: vec![(self.key.clone(), expected)], writes: vec![write], removes: Vec::new() };
            match self.store.commit(&transaction).await? {
                Committed::Done(revision) => {
                    self.record().note_written(revision);
                    return Ok(Some(revision));
                }
                Committed::NoLease => return Ok(None),
                Committed::Differs(present) => self.note_conflict(expected, &present)?,
            }
        }
    }

    /// Removes the record if it is the one that this process wrote.
    ///
    /// # Errors
    /// [`RecordsFault`].
    pub async fn remove_own(&self) -> Result<(), RecordsFault> {
        let Some(revision) = self.record().removable() else { return Ok(()) };
        self.remove_at(revision).await.map(drop)
    }

    /// Removes the record that is there now, whichever process wrote it.
    ///
    /// # Errors
    /// [`RecordsFault`]; `Refused` if the record changed meanwhile.
    pub async fn remove_present(&self) -> Result<(), RecordsFault> {
        let Some(present) = self.store.get(&self.key).await? else { return Ok(()) };
        match self.remove_at(present.revision).await? {
            Committed::Done(_) => Ok(()),
            Committed::Differs(_) | Committed::NoLease => Err(RecordsFault::Refused),
        }
    }

    async fn remove_at(&self, revision: u64) -> Result<Committed, RecordsFault> {
        let expected = vec![(self.key.clone(), revision)];
        let transaction = Transaction { expected, writes: Vec::new(), removes: vec![self.key.clone()] };
        self.store.commit(&transaction).await
    }

    /// Notes what is there instead of a record of the expected revision.
    fn note_conflict(&self, expected: u64, present: &[Record]) -> Result<(), RecordsFault> {
        let revision = self.revision_among(present);
        if revision == expected {
            return Err(RecordsFault::BadAnswer);
        }
        self.record().note_conflict(revision);
        Ok(())
    }
}
