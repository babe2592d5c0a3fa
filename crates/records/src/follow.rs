//! Following the records under a prefix: one list, then watches.

use crate::{Change, Record, RecordStore, RecordsFault};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause after a failed call, doubled at each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What happens to a followed prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followed {
    /// These are all records.
    All(Vec<Record>),
    /// One record changed.
    Changed(Change),
    /// The store did not answer.
    Lost(RecordsFault),
    /// The store answers again after that time.
    Regained(Duration),
    /// A call went well.
    Sound,
}

/// Follows a prefix for ever; `take` is told what happens. Between two
/// watches at least `pace` passes, so that frequent changes come together.
pub async fn follow<S, F>(store: Arc<S>, prefix: String, pace: Duration, mut take: F)
where
    S: RecordStore,
    F: FnMut(Followed) + Send,
{
    let mut outage = Outage::default();
    loop {
        let Some(listing) = outage.attempt(store.list(&prefix).await, &mut take).await else { continue };
        take(Followed::All(listing.records));
        let mut revision = listing.revision;
        loop {
            let started = Instant::now();
            match store.watch(&prefix, revision, WATCH_WAIT).await {
                Ok(changes) => {
                    outage.end(&mut take);
                    revision = revision.max(changes.revision);
                    let some = !changes.changes.is_empty();
                    changes.changes.into_iter().map(Followed::Changed).for_each(&mut take);
                    if some {
                        tokio::time::sleep_until(started + pace).await;
                    }
                }
                Err(RecordsFault::HistoryLost) => break,
                // What it missed may be in no history any more: list anew.
                Err(fault) => {
                    outage.begin(fault, &mut take).await;
                    break;
                }
            }
        }
    }
}

#[derive(Default)]
struct Outage {
    since: Option<Instant>,
    failures: u32,
}

impl Outage {
    async fn attempt<T>(&mut self, result: Result<T, RecordsFault>, take: &mut impl FnMut(Followed)) -> Option<T> {
        match result {
            Ok(value) => {
                self.end(take);
                Some(value)
            }
            Err(fault) => {
                self.begin(fault, take).await;
                None
            }
        }
    }

    async fn begin(&mut self, fault: RecordsFault, take: &mut impl FnMut(Followed)) {
        self.since.get_or_insert_with(Instant::now);
        take(Followed::Lost(fault));
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        tokio::time::sleep(pause.min(LONGEST_PAUSE)).await;
    }

    fn end(&mut self, take: &mut impl FnMut(Followed)) {
        self.failures = 0;
        if let Some(since) = self.since.take() {
            take(Followed::Regained(since.elapsed()));
        }
        take(Followed::Sound);
    }
}
