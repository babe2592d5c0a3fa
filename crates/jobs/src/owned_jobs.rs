//! The jobs that a worker runs, as it shows them to other nodes.
//!
//! Readers ask the worker of a job before they ask the store. Who reads a
//! result once must find it at every node from then on, so that a worker says
//! that there is nothing at a position only if it knows: it has heard from the
//! store lately, what it knows of the jobs is recent, and no part of the list is on its
//! way with an unknown end.
//! Another worker that takes the job over waits before it lists anything
//! ([`TAKEOVER_GRACE`]); by then this one has heard of it or is silent. Until
//! then it doesn't say for sure that there is nothing either, and then reads the
//! list once more: this one may have listed its last results meanwhile.

use crate::layout::{is_open_to, ItemBody, ListedResult};
use crate::recent::Recent;
use latchwheel_records::{Contact, RegistrationEpoch};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time that a worker lets pass before it lists results of a job that another
/// worker may have shown: more than [`CONTACT_LIMIT`] and the delay of a watch.
pub(crate) const TAKEOVER_GRACE: Duration = Duration::from_millis(2500);
/// The store must have answered this worker within this time. An upstream's word
/// is not enough: it says nothing of this worker's own lease, after whose end
/// another worker lists results.
const CONTACT_LIMIT: Duration = Duration::from_millis(1200);
/// What this worker knows of the jobs must be newer. Another one that took a job over since
/// lists nothing for [`TAKEOVER_GRACE`]; the answer is on its way for a part of that. The
/// store's answers to other calls don't show it: a watch may have died without a word.
const KNOWN_LIMIT: Duration = Duration::from_millis(2200);
/// A part whose writing takes longer may be in the store already.
const WRITING_LIMIT: Duration = Duration::from_millis(400);
/// Finished jobs whose results are kept for readers.
const FINISHED_LIMIT: usize = 48;

/// What of a job is shown.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobView {
    /// Number of items.
    pub(crate) total: usize,
    /// Results that are listed in the store, in their order.
    pub(crate) results: Vec<Arc<ListedResult>>,
    /// Since when a part is being written.
    pub(crate) writing_since: Option<Instant>,
    /// Tenant that handed it in.
    pub(crate) tenant: Option<String>,
    /// Whether no other worker can have listed more: one that the job was taken
    /// over from may list what it has a moment later.
    pub(crate) settled: bool,
    /// When this worker was registered while it read the list: after a loss of its registration
    /// another one may have taken the job over, and listed more.
    pub(crate) read_in: Option<RegistrationEpoch>,
}

impl JobView {
    fn is_complete(&self) -> bool {
        self.results.len() >= self.total
    }

    fn is_open_to(&self, caller: Option<&str>) -> bool {
        is_open_to(self.tenant.as_deref(), caller)
    }
}

struct Shown {
    view: watch::Sender<JobView>,
    items: Arc<Vec<ItemBody>>,
}

/// The answer to a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnedPage {
    pub(crate) total: usize,
    pub(crate) results: Vec<Arc<ListedResult>>,
}

/// The jobs that this worker runs, and some that it has finished.
pub struct OwnedJobs {
    contact: Contact,
    running: Mutex<HashMap<String, Shown>>,
    finished: Mutex<Recent<JobView>>,
    /// Workers of the open jobs that others run.
    elsewhere: Mutex<HashMap<String, String>>,
    /// All changes of jobs and workers that were made until this moment are known.
    known_until: Mutex<Option<Instant>>,
}

impl std::fmt::Debug for OwnedJobs {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("OwnedJobs").field("running", &lock(&self.running).len()).finish_non_exhaustive()
    }
}

impl OwnedJobs {
    /// No job yet. `contact` tells when the store was last known to answer.
    pub fn new(contact: Contact) -> Arc<Self> {
        Arc::new(Self {
            contact,
            running: Mutex::default(),
            finished: Mutex::new(Recent::new(FINISHED_LIMIT)),
            elsewhere: Mutex::default(),
            known_until: Mutex::default(),
        })
    }

    /// When the store was last known to answer this worker.
    pub(crate) fn contact(&self) -> &Contact {
        &self.contact
    }

    /// All changes of jobs and workers that were made until this moment are known, and
    /// acted on.
    pub(crate) fn note_known(&self, until: Instant) {
        *lock(&self.known_until) = Some(until);
    }

    /// Time since which changes of jobs and workers may be unknown.
    pub(crate) fn known_age(&self) -> Option<Duration> {
        lock(&self.known_until).map(|until| until.elapsed())
    }

    /// Shows a job that this worker runs from now on.
    pub(crate) fn show(&self, job: &str, items: Arc<Vec<ItemBody>>, view: JobView) {
        lock(&self.running).insert(job.to_owned(), Shown { view: watch::channel(view).0, items });
    }

    /// The list of a job that is shown has changed, or is about to.
    pub(crate) fn update(&self, job: &str, change: impl FnOnce(&mut JobView)) {
        if let Some(shown) = lock(&self.running).get(job) {
            shown.view.send_modify(change);
        }
    }

    /// This worker does not run the job any more.
    pub(crate) fn hide(&self, job: &str) {
        let Some(shown) = lock(&self.running).remove(job) else { return };
        let view = shown.view.borrow().clone();
        if view.is_complete() {
            lock(&self.finished).put(job, view);
        }
    }

    /// Which workers run the other open jobs.
    pub(crate) fn set_elsewhere(&self, owners: HashMap<String, String>) {
        *lock(&self.elsewhere) = owners;
    }

    /// The worker that runs a job, if it is another one.
    pub(crate) fn runs_at(&self, job: &str) -> Option<String> {
        lock(&self.elsewhere).get(job).cloned()
    }

    /// Results from a position on; waits up to `wait` until there is one.
    /// `None` if this worker can't tell, or may not tell this caller's tenant.
    pub(crate) async fn read(
        &self,
        job: &str,
        caller: Option<&str>,
        from: usize,
        byte_limit: usize,
        wait: Duration,
    ) -> Option<OwnedPage> {
        let running = lock(&self.running).get(job).map(|shown| shown.view.subscribe());
        let Some(mut view) = running else {
            let finished = lock(&self.finished).get(job).filter(|view| view.is_open_to(caller)).cloned()?;
            return Some(page_of(&finished, from, byte_limit));
        };
        if !view.borrow().is_open_to(caller) {
            return None;
        }
        let news = view.wait_for(|view| view.results.len() > from || view.is_complete());
        // Of a job that is left meanwhile another worker can tell.
        if let Ok(Err(_)) = tokio::time::timeout(wait, news).await {
            return None;
        }
        let view = view.borrow();
        let nothing = view.results.len() <= from && !view.is_complete();
        if nothing && !self.is_sure(&view) {
            return None;
        }
        Some(page_of(&view, from, byte_limit))
    }

    /// Whether nothing can be listed that the view doesn't show.
    fn is_sure(&self, view: &JobView) -> bool {
        let hears = self.contact.own_age().is_some_and(|age| age <= CONTACT_LIMIT);
        let knows = self.known_age().is_some_and(|age| age <= KNOWN_LIMIT);
        let epoch = self.contact.registration_epoch();
        let owns = epoch.is_some() && epoch == view.read_in;
        hears
            && knows
            && owns
            && view.settled
            && view.writing_since.is_none_or(|since| since.elapsed() <= WRITING_LIMIT)
    }

    /// Body of an item, in base64; `None` if this worker doesn't run the job or
    /// may not tell this caller's tenant.
    pub(crate) fn item_body(&self, job: &str, caller: Option<&str>, item: &str) -> Option<String> {
        let running = lock(&self.running);
        let shown = running.get(job).filter(|shown| shown.view.borrow().is_open_to(caller))?;
        let items = shown.items.clone();
        drop(running);
        items.iter().find(|present| present.id == item).map(|present| present.body.clone())
    }
}

fn page_of(view: &JobView, from: usize, byte_limit: usize) -> OwnedPage {
    OwnedPage { total: view.total, results: page(&view.results, from, byte_limit) }
}

/// Results from a position on, `byte_limit` at most but one at least.
pub(crate) fn page(results: &[Arc<ListedResult>], from: usize, byte_limit: usize) -> Vec<Arc<ListedResult>> {
    let mut bytes = 0;
    let within = results.iter().skip(from).take_while(|result| {
        let first = bytes == 0;
        bytes += result.text.len() + result.item.len();
        first || bytes <= byte_limit
    });
    within.cloned().collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
