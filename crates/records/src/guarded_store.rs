//! A record store behind this process's circuit breaker.
//!
//! Every call of the process goes through here, so that one place knows when the
//! store was last heard of and which calls are worth making. A call that the
//! breaker holds back fails as one that the store refused: nothing was done.

use crate::{Changes, Committed, Contact, Listing, Record, RecordStore, RecordsFault, Transaction};
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// A record store behind a circuit breaker.
#[derive(Debug)]
pub struct GuardedStore<S> {
    store: S,
    contact: Contact,
}

impl<S> GuardedStore<S> {
    /// A store whose answers and failures `contact` is told.
    pub fn new(store: S, contact: Contact) -> Self {
        Self { store, contact }
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T, RecordsFault>>) -> Result<T, RecordsFault> {
        if !self.contact.may_call() {
            return Err(RecordsFault::Refused);
        }
        let sent_at = Instant::now();
        let outcome = call.await;
        match &outcome {
            Err(fault) if !fault.shows_contact() => self.contact.note_failure(sent_at),
            _ => self.contact.note_answer(sent_at),
        }
        outcome
    }
}

impl<S: RecordStore> RecordStore for GuardedStore<S> {
    async fn get(&self, key: &str) -> Result<Option<Record>, RecordsFault> {
        self.call(self.store.get(key)).await
    }

    async fn list_after(&self, prefix: &str, after: &str) -> Result<Listing, RecordsFault> {
        self.call(self.store.list_after(prefix, after)).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes, RecordsFault> {
        if !self.contact.may_call() {
            return Err(RecordsFault::Refused);
        }
        let sent_at = Instant::now();
        let outcome = self.store.watch(prefix, after, wait).await;
        match &outcome {
            Ok(_) => self.contact.note_held(sent_at),
            Err(fault) if fault.shows_contact() => self.contact.note_answer(sent_at),
            // It may have been cut while it waited for changes.
            Err(_) => self.contact.note_failure(Instant::now().min(sent_at + wait)),
        }
        outcome
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, RecordsFault> {
        self.call(self.store.commit(transaction)).await
    }

    async fn grant(&self, length: Duration) -> Result<u64, RecordsFault> {
        self.call(self.store.grant(length)).await
    }

    async fn renew(&self, lease: u64) -> Result<bool, RecordsFault> {
        self.call(self.store.renew(lease)).await
    }

    fn value_limit(&self) -> usize {
        self.store.value_limit()
    }
}
