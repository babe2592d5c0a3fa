//! Following the records under a prefix: one list, then watches.

use crate::{Change, Handover, Listing, Record, RecordStore, RecordsFault};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Time in which the store must answer a node that starts; otherwise another
/// node is asked.
const FIRST_ANSWER: Duration = Duration::from_millis(500);
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
    /// The store did not answer, for the first time.
    Lost(RecordsFault),
    /// The store did not answer once more.
    StillLost,
    /// The store answers again after that time.
    Regained(Duration),
    /// A call went well.
    Sound,
}

/// Follows a prefix for ever; `take` is told what happens. Between two
/// watches at least `pace` passes, so that frequent changes come together.
pub async fn follow<S, F>(store: Arc<S>, prefix: String, pace: Duration, take: F)
where
    S: RecordStore,
    F: FnMut(Followed) + Send,
{
    follow_with(store, prefix, pace, Handover::new(Vec::new()), take).await;
}

/// As [`follow`]; until the store has answered for the first time, the records
/// are taken over from another node.
pub async fn follow_with<S, F>(
    store: Arc<S>,
    prefix: String,
    pace: Duration,
    handover: Arc<Handover>,
    mut take_change: F,
) where
    S: RecordStore,
    F: FnMut(Followed) + Send,
{
    let mut take = |followed: Followed| {
        handover.note(&prefix, &followed);
        take_change(followed);
    };
    let mut outage = Outage::default();
    let mut first = first_list(&*store, &prefix, &handover, &mut take).await;
    loop {
        let listed = match first.take() {
            Some(listing) => Ok(listing),
            None => store.list(&prefix).await,
        };
        let Some(listing) = outage.attempt(listed, &mut take).await else { continue };
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

/// The store's list, if it answers at once; otherwise what another node knows
/// is told meanwhile.
async fn first_list<S: RecordStore>(
    store: &S,
    prefix: &str,
    handover: &Handover,
    take: &mut impl FnMut(Followed),
) -> Option<Listing> {
    if let Ok(Ok(listing)) = tokio::time::timeout(FIRST_ANSWER, store.list(prefix)).await {
        return Some(listing);
    }
    if let Some(records) = handover.ask(prefix).await {
        take(Followed::Lost(RecordsFault::Unknown));
        take(Followed::All(records));
    }
    None
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
        match self.since {
            Some(_) => take(Followed::StillLost),
            None => take(Followed::Lost(fault)),
        }
        self.since.get_or_insert_with(Instant::now);
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
