//! Registration of this process in the store, under a lease.

use crate::{Committed, RecordStore, RecordsFault, Transaction, Write};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Length of the lease: a dead process is noticed after that time.
const LEASE: Duration = Duration::from_millis(4500);
/// The lease is renewed this often.
const RENEW_EVERY: Duration = Duration::from_millis(1200);
/// Pause before the store is asked again.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// Keeps a record in the store for as long as the process lives; never
/// completes. A lease that ended is taken anew.
pub async fn keep_registered<S: RecordStore>(store: Arc<S>, key: String, value: Bytes) {
    let mut lease = None;
    loop {
        let registered = match lease {
            Some(lease) => store.renew(lease).await.map(|lives| lives.then_some(lease)),
            None => register(&*store, &key, &value).await,
        };
        match registered {
            Ok(Some(present)) => {
                lease = Some(present);
                tokio::time::sleep(RENEW_EVERY).await;
            }
            Ok(None) => lease = None,
            Err(_) => tokio::time::sleep(STORE_PAUSE).await,
        }
    }
}

async fn register<S: RecordStore>(store: &S, key: &str, value: &Bytes) -> Result<Option<u64>, RecordsFault> {
    let lease = store.grant(LEASE).await?;
    let write = Write { key: key.to_owned(), value: value.clone(), lease };
    let transaction = Transaction { writes: vec![write], ..Transaction::default() };
    match store.commit(&transaction).await? {
        Committed::Done(_) => Ok(Some(lease)),
        Committed::Differs(_) | Committed::NoLease => Ok(None),
    }
}

/// Takes a registration back; where this fails, the lease ends it.
pub async fn unregister<S: RecordStore>(store: &S, key: &str) {
    let transaction = Transaction { removes: vec![key.to_owned()], ..Transaction::default() };
    let _ = store.commit(&transaction).await;
}
