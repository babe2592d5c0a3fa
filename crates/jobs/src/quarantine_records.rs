//! Verdicts on requests that end servers, in the record store: there they outlast a
//! restart of all nodes, and reach nodes that hear no other node.
//!
//! An operator lets a request go by removing its record.

use crate::layout::{quarantine_key, request_of_key, QuarantineRecord, QUARANTINE_PREFIX};
use latchwheel_core::quarantine::{QUARANTINE_LIMIT, QUARANTINE_RETENTION};
use latchwheel_core::time::WallTime;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::{Dialect, Shared, VerdictSource};
use latchwheel_records::{Change, Committed, Followed, Record, RecordStore, RecordsFault, Transaction, Write};
use std::sync::Arc;
use std::time::Duration;

/// Pause before a verdict that the store did not take is written again.
const WRITE_PAUSE: Duration = Duration::from_millis(600);
/// Time between two looks for verdicts that are old.
const CLEAN_EVERY: Duration = Duration::from_secs(600);

/// Takes over the verdicts among the records that a node follows.
pub(crate) fn take_verdicts<D: Dialect>(shared: &Shared<D>, followed: &Followed) {
    match followed {
        Followed::All(listing) => listing.records.iter().for_each(|record| take_record(shared, record)),
        Followed::Changed(changes) => changes.changes.iter().for_each(|change| take_change(shared, change)),
        Followed::Kept(_)
        | Followed::CompleteAsOf(_)
        | Followed::Lost(_)
        | Followed::StillLost
        | Followed::Regained(_) => {}
    }
}

fn take_record<D: Dialect>(shared: &Shared<D>, record: &Record) {
    if let Some(verdict) = QuarantineRecord::read(&record.key, &record.value) {
        shared.crashes.take_verdict(verdict, VerdictSource::Store);
    }
}

fn take_change<D: Dialect>(shared: &Shared<D>, change: &Change) {
    match change {
        Change::Written(record) => take_record(shared, record),
        Change::Removed { key, .. } => {
            if let Some(request) = request_of_key(key) {
                shared.crashes.let_go(request);
            }
        }
    }
}

/// Writes this node's verdicts to the store, and those of nodes that can't reach it.
pub(crate) async fn write_verdicts<S: RecordStore, D: Dialect>(store: Arc<S>, shared: Arc<Shared<D>>) {
    loop {
        let verdict = shared.crashes.verdict_to_store().await;
        let key = quarantine_key(verdict.request.fingerprint);
        if let Err(fault) = write_if_newer(&*store, key, &QuarantineRecord::of(&verdict)).await {
            let request = verdict.request.fingerprint.to_string();
            emit("", &Event::VerdictNotStored { request: &request, reason: fault.word() });
            shared.crashes.store_again(&verdict, WRITE_PAUSE);
        }
    }
}

/// Removes verdicts that nobody has to remember any more, for ever. One node does it:
/// the first of those that weigh the evidence.
pub(crate) async fn remove_old_verdicts<S: RecordStore, D: Dialect>(store: Arc<S>, shared: Arc<Shared<D>>) {
    loop {
        tokio::time::sleep(CLEAN_EVERY).await;
        if !shared.crashes.decides_first() {
            continue;
        }
        if let Err(fault) = remove_old(&*store, shared.clock.wall_time()).await {
            emit("", &Event::VerdictNotStored { request: "", reason: fault.word() });
        }
    }
}

async fn remove_old<S: RecordStore>(store: &S, now: WallTime) -> Result<(), RecordsFault> {
    let mut records = store.list(QUARANTINE_PREFIX).await?.records;
    let until = |record: &Record| QuarantineRecord::read(&record.key, &record.value).map(|verdict| verdict.until);
    records.sort_by_cached_key(|record| std::cmp::Reverse(until(record)));
    let beyond = records.iter().skip(QUARANTINE_LIMIT);
    let over = |record: &&Record| until(record).is_none_or(|until| until + QUARANTINE_RETENTION < now);
    let old = records.iter().take(QUARANTINE_LIMIT).filter(over).chain(beyond);
    for record in old {
        let expected = vec![(record.key.clone(), record.revision)];
        let removes = vec![record.key.clone()];
        store.commit(&Transaction { expected, removes, ..Default::default() }).await?;
    }
    Ok(())
}

/// Writes a record unless one stands there that was changed as late or later.
async fn write_if_newer<S: RecordStore>(store: &S, key: String, record: &QuarantineRecord) -> Result<(), RecordsFault> {
    let mut revision = 0;
    loop {
        let write = Write { key: key.clone(), value: record.write(), lease: 0 };
        let expected = vec![(key.clone(), revision)];
        let present = match store.commit(&Transaction { expected, writes: vec![write], ..Default::default() }).await? {
            Committed::Done(_) => return Ok(()),
            Committed::NoLease => return Err(RecordsFault::Rejected),
            Committed::Differs(present) => present.into_iter().find(|present| present.key == key),
        };
        revision = present.as_ref().map_or(0, |present| present.revision);
        let stands = present.and_then(|present| QuarantineRecord::read(&present.key, &present.value));
        if stands.is_some_and(|stands| stands.changed_at.0 >= record.changed_at_ms) {
            return Ok(());
        }
    }
}
