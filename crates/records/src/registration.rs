//! Registration of this process in the store, under a lease.

use crate::{Committed, Contact, RecordStore, RecordsFault, Transaction, Write};
use bytes::Bytes;
use latchwheel_core::retry::exponential_backoff;
use latchwheel_events::{emit, Event};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before the store is asked again, doubled at each failure in a row up to
/// half of the time between renewals: whose lease is long is in no hurry.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// Time in which a registration must be taken back.
const UNREGISTER_TIME: Duration = Duration::from_millis(300);

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

/// Keeps a record in the store for as long as the process lives; never
/// completes. A lease that ended is taken anew.
pub async fn keep_registered<S: RecordStore>(store: Arc<S>, contact: Contact, registration: Registration) {
    let longest_pause = (registration.renew_every / 2).max(STORE_PAUSE);
    let mut lease = None;
    let mut failures = 0;
    loop {
        let sent_at = Instant::now();
        let registered = match lease {
            Some(lease) => store.renew(lease).await.map(|lives| lives.then_some(lease)),
            None => register(&*store, &registration).await,
        };
        match registered {
            Ok(Some(present)) => {
                lease = Some(present);
                failures = 0;
                tokio::time::sleep_until(sent_at + registration.renew_every).await;
            }
            Ok(None) => lease = None,
            Err(_) => {
                tokio::select! {
                    () = contact.regained() => {}
                    () = tokio::time::sleep(exponential_backoff(STORE_PAUSE, longest_pause, failures)) => {}
                }
                failures += 1;
            }
        }
    }
}

async fn register<S: RecordStore>(store: &S, registration: &Registration) -> Result<Option<u64>, RecordsFault> {
    let lease = store.grant(registration.lease).await?;
    let write = Write { key: registration.key.clone(), value: registration.value.clone(), lease };
    let transaction = Transaction { writes: vec![write], ..Transaction::default() };
    match store.commit(&transaction).await? {
        Committed::Done(revision) => {
            emit("", &Event::NodeRegistered { lease, revision });
            Ok(Some(lease))
        }
        Committed::Differs(_) | Committed::NoLease => Ok(None),
    }
}

/// Takes a registration back; where this fails or takes long, the lease ends
/// it: a process that stops has little time.
pub async fn unregister<S: RecordStore>(store: &S, key: &str) {
    let transaction = Transaction { removes: vec![key.to_owned()], ..Transaction::default() };
    let _ = tokio::time::timeout(UNREGISTER_TIME, store.commit(&transaction)).await;
}
