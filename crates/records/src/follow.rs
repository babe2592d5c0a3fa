//! Following the records under a prefix of the store: one list, then watches.

use crate::{Changes, Contact, Listing, RecordStore, RecordsFault};
use latchwheel_core::retry::doubled_pause;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause after a failed call, doubled at each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The same for a node that has upstreams: these see the store's return, and
/// there are few of them.
const LONGEST_PAUSE_BEHIND_UPSTREAMS: Duration = Duration::from_millis(800);

/// What happens to a followed prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followed {
    /// These are all records.
    All(Listing),
    /// Some records changed; none where the answer only shows that the source
    /// is sound.
    Changed(Changes),
    /// The store did not answer, for the first time.
    Lost(RecordsFault),
    /// The store did not answer once more.
    StillLost,
    /// Changes are heard of again after that time.
    Regained(Duration),
}

/// What a source told of a prefix.
pub(crate) enum Told {
    Listing(Listing),
    Changes(Changes),
    Failed(RecordsFault),
}

/// Follows a prefix of the store for ever; `take` is told what it says.
/// Between two watches at least `pace` passes, so that frequent changes come
/// together. `has_upstreams` tells whether other nodes follow it for this one.
pub(crate) async fn follow_store<S: RecordStore>(
    store: &S,
    contact: &Contact,
    prefix: &str,
    pace: Duration,
    has_upstreams: bool,
    mut take: impl FnMut(Told) + Send,
) {
    let longest = if has_upstreams { LONGEST_PAUSE_BEHIND_UPSTREAMS } else { LONGEST_PAUSE };
    let mut failures = 0;
    loop {
        let sent_at = Instant::now();
        let (fault, due_at) = match store.list(prefix).await {
            Ok(listing) => {
                contact.note_answer(sent_at);
                failures = 0;
                let revision = listing.revision;
                take(Told::Listing(listing));
                watch_store(store, contact, prefix, revision, pace, &mut take).await
            }
            Err(fault) => (fault, sent_at),
        };
        // A cut watch may have missed what is in no history any more: the
        // prefix is listed anew, at once if only the history is lost.
        if fault == RecordsFault::HistoryLost {
            continue;
        }
        contact.note_failure(due_at);
        take(Told::Failed(fault));
        tokio::time::sleep(doubled_pause(FIRST_PAUSE, longest, failures)).await;
        failures += 1;
    }
}

/// Watches a prefix from a revision on until a watch fails. Gives back why, and
/// from when on it should have been answered.
async fn watch_store<S: RecordStore>(
    store: &S,
    contact: &Contact,
    prefix: &str,
    mut revision: u64,
    pace: Duration,
    take: &mut impl FnMut(Told),
) -> (RecordsFault, Instant) {
    loop {
        let started = Instant::now();
        let changes = match store.watch(prefix, revision, WATCH_WAIT).await {
            Ok(changes) => changes,
            // It may have been cut while it waited for changes.
            Err(fault) => return (fault, Instant::now().min(started + WATCH_WAIT)),
        };
        contact.note_held(started);
        revision = revision.max(changes.revision);
        let some = !changes.changes.is_empty();
        take(Told::Changes(changes));
        if some {
            tokio::time::sleep_until(started + pace).await;
        }
    }
}
