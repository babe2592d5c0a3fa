//! Appending a job's results to its list.
//!
//! A part is written only where it is absent, so that whoever appends knows all
//! parts before. When another worker was first, the list is read anew.

use crate::desk::write_record;
use crate::item_failures::poll_recording;
use crate::job_run::{JobRun, LONGEST_STORE_PAUSE, STORE_PAUSE};
use crate::layout::{job_key, result_key, JobRecord, JobState, ListedResult};
use crate::results::ResultList;
use futures::future::BoxFuture;
use futures::FutureExt;
use latchwheel_core::item_progress::ItemState;
use latchwheel_core::listing_pause::{listing_pause, MIN_PAUSE};
use latchwheel_core::retry::exponential_backoff;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::Dialect;
use latchwheel_records::{Committed, RecordStore, RecordsFault, Transaction, Write};
use std::sync::Arc;
use std::time::Duration;

/// Most bytes of results listed together.
const LIST_BYTES: usize = 600 << 10;
/// Time in which results are listed, and failures recorded, before a job is left.
pub(crate) const LEAVING_TIME: Duration = Duration::from_millis(800);

/// A part that is being written: its items, the transaction, and its outcome.
pub(crate) struct Listing {
    pub(crate) items: Vec<usize>,
    /// Number of the part.
    pub(crate) part: usize,
    pub(crate) transaction: Transaction,
    /// Failures so far.
    pub(crate) failures: u32,
    /// When its writing began: the job was open after that if it is done.
    pub(crate) begun_at: Instant,
    pub(crate) outcome: BoxFuture<'static, Result<Committed, RecordsFault>>,
}

impl<S: RecordStore, D: Dialect> JobRun<S, D> {
    /// Items that have a result which is not listed.
    pub(crate) fn ready_to_list(&self) -> Vec<usize> {
        let ended = |position: &usize| {
            matches!(self.progress[*position].state(), ItemState::Completed | ItemState::GivenUp)
                && !self.listed[*position]
        };
        (0..self.items.len()).filter(ended).collect()
    }

    /// Begins to list what is ready, if it is time to.
    pub(crate) fn begin_listing(&mut self) {
        let now = self.context.shared.clock.now();
        let ready = self.ready_to_list();
        if self.listing.is_some() || ready.is_empty() || now < self.lists_from {
            return;
        }
        let since = *self.unlisted_since.get_or_insert(now);
        if ready.len() < self.open_count() && now.since(since) < self.list_pause() {
            return;
        }
        self.list(ready);
    }

    /// Time for which results are collected.
    fn list_pause(&self) -> Duration {
        let (_, route) = self.rules();
        route.map_or(MIN_PAUSE, |route| listing_pause(self.age(), route.due))
    }

    /// Lists what is ready before the job goes to another worker, which lists nothing for
    /// a while. What does not get there in time runs again, or is counted anew.
    pub(crate) async fn list_before_leaving(&mut self) {
        if tokio::time::timeout(LEAVING_TIME, self.list_and_record()).await.is_err() {
            let ready = self.ready_to_list().len();
            emit(&self.job, &Event::LeftUnlisted { job: &self.job, ready });
        }
    }

    async fn list_and_record(&mut self) {
        while self.list_once_more().await {}
        self.begin_recording();
        if self.recording.is_some() {
            let written = poll_recording(&mut self.recording).await;
            self.end_recording(written);
        }
    }

    /// Lists what is on its way or ready; `false` if there is nothing, or another worker
    /// or the job's end was first.
    async fn list_once_more(&mut self) -> bool {
        let ready = self.ready_to_list();
        if self.listing.is_none() && !ready.is_empty() {
            self.list(ready);
        }
        if self.listing.is_none() {
            return false;
        }
        let parts_before = self.list.parts;
        let committed = poll_listing(&mut self.listing).await;
        self.end_listing(committed).await;
        self.listing.is_some() || self.list.parts > parts_before && self.closed.is_none()
    }

    /// Items without a listed result.
    pub(crate) fn open_count(&self) -> usize {
        self.listed.iter().filter(|listed| !**listed).count()
    }

    /// Starts the writing of a part with as many of these items as fit.
    fn list(&mut self, mut ready: Vec<usize>) {
        let mut bytes = 0;
        ready.retain(|position| {
            bytes += self.progress[*position].text().len();
            bytes <= LIST_BYTES || bytes == self.progress[*position].text().len()
        });
        let transaction = self.listing_of(&ready, ready.len() == self.open_count());
        let outcome = commit(self.context.store.clone(), transaction.clone(), Duration::ZERO).boxed();
        let (part, begun_at) = (self.list.parts, self.context.shared.clock.now());
        self.listing = Some(Listing { items: ready, part, transaction, failures: 0, begun_at, outcome });
        let writing_since = Some(tokio::time::Instant::now());
        self.context.owned.update(&self.job, |view| view.writing_since = writing_since);
    }

    fn listing_of(&self, ready: &[usize], last: bool) -> Transaction {
        let part: Vec<ListedResult> = ready.iter().map(|position| self.result_of(*position)).collect();
        let key = result_key(&self.job, self.list.parts);
        let value = serde_json::to_vec(&part).unwrap_or_default().into();
        // A worker that has not heard of the job's end is told by what it lists.
        let mut transaction = Transaction {
            expected: vec![(key.clone(), 0), (job_key(&self.job), self.revision)],
            writes: vec![Write { key, value, lease: 0 }],
            removes: Vec::new(),
        };
        if last {
            let record = JobRecord { state: JobState::Finished, ..self.record.clone() };
            transaction.writes.push(Write { key: job_key(&self.job), value: write_record(&record), lease: 0 });
        }
        transaction
    }

    fn result_of(&self, position: usize) -> ListedResult {
        let progress = &self.progress[position];
        let completed = progress.state() == ItemState::Completed;
        let text = if completed { String::from_utf8_lossy(progress.text()).into_owned() } else { String::new() };
        ListedResult { item: self.items[position].id.clone(), completed, text }
    }

    pub(crate) async fn end_listing(&mut self, committed: Result<Committed, RecordsFault>) {
        let Some(Listing { items: ready, part, transaction, failures, begun_at, .. }) = self.listing.take() else {
            return;
        };
        let first = self.list.results.len();
        let reason = match committed {
            Ok(Committed::Done(revision)) => {
                self.permission.note_open(begun_at);
                self.append_part(part, &ready);
                self.note_list();
                self.show_list();
                let count = ready.len();
                emit(&self.job, &Event::ResultsListed { job: &self.job, first, count, revision });
                return;
            }
            Ok(Committed::Differs(_)) => "another_wrote",
            Ok(Committed::NoLease) => "no_lease",
            Err(fault) => fault.word(),
        };
        emit(&self.job, &Event::ListingFailed { job: &self.job, first, reason });
        if matches!(committed, Ok(Committed::Differs(_))) {
            self.settled |= self.reload().await && self.context.shared.clock.now() >= self.lists_from;
            // What was read may differ again, or could not be read.
            self.lists_from = self.lists_from.max(self.context.shared.clock.now() + STORE_PAUSE);
            return;
        }
        let pause = exponential_backoff(STORE_PAUSE, LONGEST_STORE_PAUSE, failures);
        let outcome = commit(self.context.store.clone(), transaction.clone(), pause).boxed();
        let begun_at = self.context.shared.clock.now();
        self.listing = Some(Listing { items: ready, part, transaction, failures: failures + 1, begun_at, outcome });
    }

    /// A part was written. The list may have been read since, with the part in it.
    fn append_part(&mut self, part: usize, items: &[usize]) {
        if self.list.parts > part {
            return;
        }
        let results: Vec<_> = items.iter().map(|position| Arc::new(self.result_of(*position))).collect();
        self.list.results.extend(results);
        self.list.parts += 1;
    }

    /// Reads the list and the job's record anew; tells whether the list was read.
    pub(crate) async fn reload(&mut self) -> bool {
        let store = self.context.store.clone();
        let read_in = self.context.owned.contact().registration_epoch();
        let list = ResultList::load(&*store, &self.job).await;
        let read = list.is_ok();
        if let Ok(list) = list {
            self.list = list;
            self.read_in = read_in;
            self.note_list();
            self.note_earlier_failures();
            self.show_list();
        }
        let asked_at = self.context.shared.clock.now();
        match store.get(&job_key(&self.job)).await {
            Ok(present) => self.closed = self.note_present(asked_at, present.as_ref()),
            Err(fault) => emit(&self.job, &Event::JobNotConfirmed { job: &self.job, reason: fault.word() }),
        }
        read
    }

    /// Shows the list as it is in the store to readers.
    pub(crate) fn show_list(&self) {
        let view = self.view();
        self.context.owned.update(&self.job, |shown| *shown = view);
    }

    /// Takes over what the list says.
    pub(crate) fn note_list(&mut self) {
        for result in &self.list.results {
            let Some(position) = self.positions.get(&result.item).copied() else { continue };
            if !self.listed[position] {
                self.listed[position] = true;
                self.progress[position].note_listed(result.completed);
                self.break_off(position, &result.item);
            }
        }
        self.unlisted_since = None;
    }
}

impl<S, D: Dialect> JobRun<S, D> {
    /// Breaks off the run of an item that stands in the list, if there is one.
    fn break_off(&self, position: usize, item: &str) {
        let Some(run) = self.running.get(&position) else { return };
        emit(&self.job, &Event::RunNotNeeded { job: &self.job, item, server: &run.server });
        run.give_way.notify_one();
    }
}

async fn commit<S: RecordStore>(
    store: Arc<S>,
    transaction: Transaction,
    pause: Duration,
) -> Result<Committed, RecordsFault> {
    tokio::time::sleep(pause).await;
    store.commit(&transaction).await
}

/// The outcome of the writing that is on its way; never, if there is none.
pub(crate) async fn poll_listing(listing: &mut Option<Listing>) -> Result<Committed, RecordsFault> {
    match listing {
        Some(listing) => (&mut listing.outcome).await,
        None => std::future::pending().await,
    }
}
