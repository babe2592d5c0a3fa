//! A record store behind this process's circuit breaker.
//!
//! Every call of the process goes through here, so that one place knows when the
//! store was last heard of and which calls are worth making. A call that the
//! breaker holds back fails as one that the store refused: nothing was done.

use crate::{Changes, Committed, Contact, Listing, Record, RecordStore, RecordsFault, Transaction};
use latchwheel_events::count_store_call;
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Outcomes of calls in the metrics, beside the words of faults.
const DONE: &str = "done";
const HELD_BACK: &str = "held_back";

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

    async fn call<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, RecordsFault>>,
    ) -> Result<T, RecordsFault> {
        self.check_in(kind)?;
        let sent_at = Instant::now();
        let outcome = call.await;
        count(kind, &outcome);
        match &outcome {
            Err(fault) if !fault.shows_contact() => self.contact.note_fault(*fault, sent_at),
            _ => self.contact.note_answer(sent_at),
        }
        outcome
    }

    /// Fails if the call is held back.
    fn check_in(&self, kind: &'static str) -> Result<(), RecordsFault> {
        if self.contact.may_call() {
            return Ok(());
        }
        count_store_call(kind, HELD_BACK);
        Err(RecordsFault::Refused)
    }
}

fn count<T>(kind: &'static str, outcome: &Result<T, RecordsFault>) {
    count_store_call(kind, outcome.as_ref().err().map_or(DONE, |fault| fault.word()));
}

impl<S: RecordStore> RecordStore for GuardedStore<S> {
    async fn get(&self, key: &str) -> Result<Option<Record>, RecordsFault> {
        self.call("get", self.store.get(key)).await
    }

    async fn get_unchanging(&self, key: &str) -> Result<Option<Record>, RecordsFault> {
        self.call("get_unchanging", self.store.get_unchanging(key)).await
    }

    async fn list_after(&self, prefix: &str, after: &str) -> Result<Listing, RecordsFault> {
        self.call("list", self.store.list_after(prefix, after)).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes, RecordsFault> {
        self.check_in("watch")?;
        let sent_at = Instant::now();
        let outcome = self.store.watch(prefix, after, wait).await;
        count("watch", &outcome);
        match &outcome {
            Ok(_) => self.contact.note_held(sent_at),
            Err(fault) if fault.shows_contact() => self.contact.note_answer(sent_at),
            // It may have been cut while it waited for changes.
            Err(fault) => self.contact.note_fault(*fault, Instant::now().min(sent_at + wait)),
        }
        outcome
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, RecordsFault> {
        self.call("commit", self.store.commit(transaction)).await
    }

    async fn grant(&self, length: Duration) -> Result<u64, RecordsFault> {
        self.call("grant", self.store.grant(length)).await
    }

    async fn renew(&self, lease: u64) -> Result<bool, RecordsFault> {
        self.call("renew", self.store.renew(lease)).await
    }

    fn value_limit(&self) -> usize {
        self.store.value_limit()
    }
}
