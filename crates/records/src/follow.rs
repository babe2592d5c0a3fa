//! Following the records under a prefix of the store: one list, then watches.

use crate::origin::Origin;
use crate::{Changes, Contact, Listing, RecordStore, RecordsFault};
use latchwheel_core::retry::exponential_backoff;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a watch waits for changes. A watch whose connection has died without a word
/// is noticed after this time and what an answer may take, 2.8 s. The operator's document
/// and the drains of servers have to be in force within 2 to 3 s, to which nodes are held
/// from 3 s after their connections died. Half of this time costs a quiet day of 11 nodes
/// 688 calls to the store in place of 482.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// A watch that told so many changes is followed by the next one at once: waiting would
/// bring few more together, and there may be more than one watch tells. With a pause of
/// 400 ms after each 500 changes, 10,000 servers that came together would be known after
/// 8 s.
const GATHERED_CHANGES: usize = 100;
/// Pause after a failed call, doubled at each failure in a row. While the
/// circuit breaker holds calls back, trying again costs the store nothing.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What happens to a followed prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followed {
    /// These are all records.
    All(Listing),
    /// Some records changed; none where the answer only shows that the source
    /// is sound.
    Changed(Changes),
    /// What was told just now was kept on a disk before a start: the store confirmed it so
    /// long ago, and nothing is heard of it since.
    Kept(Duration),
    /// All changes that were made until this moment have been told.
    CompleteAsOf(Instant),
    /// The store did not answer, for the first time.
    Lost(RecordsFault),
    /// The store did not answer once more.
    StillLost,
    /// Changes are heard of again after that time.
    Regained(Duration),
}

impl Followed {
    /// Whether nothing is heard of changes.
    pub fn is_loss(&self) -> bool {
        matches!(self, Followed::Lost(_) | Followed::StillLost)
    }
}

/// What a source told of a prefix.
pub(crate) enum Told {
    /// All records, and the moment until which all changes are in them.
    Listing(Listing, Option<Instant>, Origin),
    /// Changes, and the moment until which all are told with them.
    Changes(Changes, Option<Instant>, Origin),
    Failed(RecordsFault),
}

/// Follows a prefix of the store for ever; `take` is told what it says.
/// Between two watches at least `pace` passes, so that frequent changes come
/// together, unless many have come. After a failure the store is asked again once it has been known to
/// answer for `patience`, and after a pause anyway.
pub(crate) async fn follow_store<S: RecordStore>(
    store: &S,
    contact: &Contact,
    prefix: &str,
    pace: Duration,
    patience: Duration,
    mut take: impl FnMut(Told) + Send,
) {
    let mut failures = 0;
    loop {
        let asked_at = Instant::now();
        let fault = match store.list(prefix).await {
            Ok(listing) => {
                failures = 0;
                let revision = listing.revision;
                take(Told::Listing(listing, Some(asked_at), Origin::Store));
                watch_store(store, prefix, revision, pace, &mut take).await
            }
            Err(fault) => fault,
        };
        // A cut watch may have missed what is in no history any more: the
        // prefix is listed anew, at once if only the history is lost.
        if fault == RecordsFault::HistoryLost {
            continue;
        }
        take(Told::Failed(fault));
        tokio::select! {
            () = contact.regained() => tokio::time::sleep(patience).await,
            () = tokio::time::sleep(exponential_backoff(FIRST_PAUSE, LONGEST_PAUSE, failures)) => {}
        }
        failures += 1;
    }
}

/// Watches a prefix from a revision on until a watch fails.
async fn watch_store<S: RecordStore>(
    store: &S,
    prefix: &str,
    mut revision: u64,
    pace: Duration,
    take: &mut impl FnMut(Told),
) -> RecordsFault {
    loop {
        let started = Instant::now();
        let changes = match store.watch(prefix, revision, WATCH_WAIT).await {
            Ok(changes) => changes,
            Err(fault) => return fault,
        };
        revision = revision.max(changes.revision);
        let few = (1..GATHERED_CHANGES).contains(&changes.changes.len());
        let complete_as_of = complete_as_of(started, changes.changes.len());
        take(Told::Changes(changes, complete_as_of, Origin::Store));
        if few {
            tokio::time::sleep_until(started + pace).await;
        }
    }
}

/// Until when a watch that was sent at that time and now told so many changes has told
/// all: until its sending, since its answer may have been on its way for any time. One
/// that waited in vain to its end was told so after its wait. `None` where there may be
/// more changes than one watch tells.
fn complete_as_of(sent_at: Instant, changes: usize) -> Option<Instant> {
    match changes {
        0 if sent_at.elapsed() >= WATCH_WAIT => Some(sent_at + WATCH_WAIT),
        0..GATHERED_CHANGES => Some(sent_at),
        _ => None,
    }
}
