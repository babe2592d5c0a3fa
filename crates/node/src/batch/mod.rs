//! Runs batch items: leases them from the store groups' leaders as the own
//! servers have room, runs them, and hands the results in.

mod item_run;

use crate::completions::{Completions, EndedItem, HeldItem};
use crate::configuration::Configuration;
use crate::metrics::Metrics;
use crate::owner::Owner;
use crate::store_calls::StoreCalls;
use item_run::{failed, run_identity, ItemEnd, ItemRun};
use latchwheel_core::abandoned_requests::AbandonedRequests;
use latchwheel_core::code::ResultCode;
use latchwheel_core::leasing::LEASE_LENGTH;
use latchwheel_core::scheduler::Work;
use latchwheel_core::table::{Class, Row, Table};
use latchwheel_engine::EngineClient;
use latchwheel_gateway::prepare_item;
use latchwheel_protocol::v1::{HeldChunk, LeaseAnswer, LeaseRequest, LeasedItem, ServiceRoom};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Priority of batch work at the engines; online work has zero.
const BATCH_PRIORITY: i32 = 10;
/// Time between two lease requests while there is work.
const BUSY_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two lease requests while there is none.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// A lease ends this much earlier for its holder than for the leader.
const LEASE_MARGIN: Duration = Duration::from_millis(250);
/// Leases are renewed at least this often.
const RENEWAL: Duration = Duration::from_millis(750);
/// A service that was granted nothing is asked for again after this time,
/// which doubles up to a bound while that goes on.
const EMPTY_PAUSE: Duration = Duration::from_millis(250);
const EMPTY_PAUSE_MAXIMUM: Duration = Duration::from_secs(2);
const ITEM_TIME: Duration = Duration::from_secs(900);
const ITEM_ATTEMPTS: u32 = 5;

/// A service whose rows had no items to grant.
#[derive(Clone, Copy, Debug)]
struct EmptyService {
    ask_again: Instant,
    pause: Duration,
}

#[derive(Debug)]
struct HeldState {
    lease: u64,
    stop: watch::Sender<bool>,
    /// It did not run here and goes back to the leader. Until that is taken the item
    /// is told as held: a new leader would give a started one up as unknown.
    given_back: bool,
}

/// Runs the batch items of one store group at this node.
#[derive(Debug)]
pub(crate) struct BatchRunner {
    group: u64,
    node: u64,
    owner: Owner,
    engines: EngineClient,
    store: Arc<StoreCalls>,
    configuration: Arc<Configuration>,
    completions: Arc<Completions>,
    metrics: Arc<Metrics>,
    held: Mutex<BTreeMap<HeldItem, HeldState>>,
    /// Until when the leases hold, as far as this node can know.
    valid_until: Mutex<Instant>,
    leaving: AtomicBool,
    /// Items may be granted to this node of which it has not heard, or has not told that
    /// it won't take them.
    may_be_granted: AtomicBool,
}

impl BatchRunner {
    pub(crate) fn new(
        group: u64,
        node: u64,
        owner: Owner,
        engines: EngineClient,
        store: Arc<StoreCalls>,
        configuration: Arc<Configuration>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        let completions = Completions::new(group, node, store.clone(), metrics.clone());
        Arc::new(Self {
            group,
            node,
            owner,
            engines,
            store,
            configuration,
            completions,
            metrics,
            held: Mutex::default(),
            valid_until: Mutex::new(Instant::now()),
            leaving: AtomicBool::new(false),
            may_be_granted: AtomicBool::new(false),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HeldItem, HeldState>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Items held here.
    pub(crate) fn held(&self) -> usize {
        self.lock().len()
    }

    /// Whether the leases hold: asked at the moment of use, before an item is
    /// started.
    fn leases_hold(&self) -> bool {
        Instant::now() < *self.valid_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes no new items from now on.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether all items have ended and their results are committed.
    pub(crate) fn is_done(&self) -> bool {
        self.held() == 0 && self.completions.is_empty() && !self.may_be_granted.load(Ordering::Relaxed)
    }

    /// Leases and renews for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let this = self.clone();
        tokio::spawn(self.completions.clone().run(move |ended| this.forget(&ended)));
        let mut term = 0;
        let mut renewed = Instant::now();
        let mut empty: HashMap<String, EmptyService> = HashMap::new();
        let mut unanswered = AbandonedRequests::default();
        loop {
            // After a request that was given up the leases are only renewed: that needs no
            // commit, which may be what the leader lacks.
            let was_given_up = self.may_be_granted.load(Ordering::Relaxed);
            let rooms = if was_given_up { Vec::new() } else { self.rooms(&empty) };
            let due = renewed.elapsed() >= RENEWAL && self.held() > 0;
            if rooms.is_empty() && !due && !was_given_up {
                tokio::time::sleep(BUSY_INTERVAL).await;
                continue;
            }
            let mut asked_at = Instant::now();
            let request = LeaseRequest { rooms, held: self.chunks(false), term, ..LeaseRequest::default() };
            let Some(mut answer) = self.ask(&request, &mut unanswered).await else {
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            };
            if answer.term != term && !request.held.is_empty() {
                // A new leader is told the positions of what is held.
                asked_at = Instant::now();
                let full = LeaseRequest { held: self.chunks(true), term: answer.term, ..request.clone() };
                match self.ask(&full, &mut unanswered).await {
                    Some(second) => answer = second,
                    None => continue,
                }
            }
            term = answer.term;
            renewed = Instant::now();
            // A lease counts from before it was asked for.
            *self.valid_until.lock().unwrap_or_else(PoisonError::into_inner) = asked_at + LEASE_LENGTH - LEASE_MARGIN;
            note_empty(&request, &answer, &self.configuration.table(), &mut empty);
            let granted = !answer.items.is_empty();
            self.take(answer);
            self.may_be_granted.store(false, Ordering::Relaxed);
            tokio::time::sleep(if granted { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
        }
    }

    /// Asks for items; `None` where the answer is not taken, which is told from then on.
    async fn ask(&self, request: &LeaseRequest, unanswered: &mut AbandonedRequests) -> Option<LeaseAnswer> {
        let told = unanswered.to_report(self.owner.now());
        let told_before = told.len();
        let mut request = LeaseRequest { group: self.group, node: self.node, unanswered: told, ..request.clone() };
        let asks_for_items = !request.rooms.is_empty();
        if asks_for_items {
            self.may_be_granted.store(true, Ordering::Relaxed);
        }
        let answer = self.store.lease(&mut request).await;
        unanswered.note(self.owner.now(), &request.unanswered);
        if answer.is_err() && asks_for_items && request.unanswered.len() == told_before {
            // No leader was reached at all.
            self.may_be_granted.store(false, Ordering::Relaxed);
        }
        answer.ok()
    }

    /// Room per service, of those whose rows have had items lately; the
    /// leader shares it among the rows.
    fn rooms(&self, empty: &HashMap<String, EmptyService>) -> Vec<ServiceRoom> {
        if self.is_leaving() {
            return Vec::new();
        }
        let services = self.owner.services();
        let asked = services
            .iter()
            .filter(|service| empty.get(service.as_ref()).is_none_or(|empty| Instant::now() >= empty.ask_again));
        asked
            .map(|service| ServiceRoom { service: service.to_string(), room: self.owner.batch_capacity(service) })
            .filter(|room| room.room > 0)
            .collect()
    }

    fn chunks(&self, with_positions: bool) -> Vec<HeldChunk> {
        let mut chunks: BTreeMap<(u64, String), Vec<u64>> = BTreeMap::new();
        for (item, state) in self.lock().iter() {
            chunks.entry((state.lease, item.job.clone())).or_default().push(item.position);
        }
        chunks
            .into_iter()
            .map(|((lease, job), positions)| HeldChunk {
                lease,
                job,
                positions: if with_positions { positions } else { Vec::new() },
            })
            .collect()
    }

    fn take(self: &Arc<Self>, answer: LeaseAnswer) {
        for job in &answer.cancelled_jobs {
            self.stop_job(job);
        }
        let table = self.configuration.table();
        for leased in answer.items {
            let item = HeldItem { job: leased.job.clone(), position: leased.position };
            let mut held = self.lock();
            if let Some(state) = held.get_mut(&item).filter(|state| !state.given_back) {
                // Granted anew while it still runs here, after its lease had
                // lapsed at the leader: the same run goes on under the new one.
                state.lease = leased.lease;
                continue;
            }
            let (stop, stopped) = watch::channel(false);
            held.insert(item.clone(), HeldState { lease: leased.lease, stop, given_back: false });
            drop(held);
            let row = table.rows.get(&leased.row).cloned();
            let this = self.clone();
            tokio::spawn(async move { this.run_item(leased, item, row, stopped).await });
        }
    }

    /// The leader took an item's end. One that was given back may have been granted
    /// to this node again meanwhile, under another lease.
    fn forget(&self, ended: &EndedItem) {
        let mut held = self.lock();
        let granted_again = |state: &HeldState| ended.lease.is_some_and(|lease| lease != state.lease);
        if !held.get(&ended.item).is_some_and(granted_again) {
            held.remove(&ended.item);
        }
    }

    /// The job has ended or was cancelled: its items stop at once.
    fn stop_job(&self, job: &str) {
        let mut held = self.lock();
        held.retain(|item, state| {
            let of_job = item.job == job;
            if of_job {
                state.stop.send_replace(true);
            }
            !of_job
        });
    }

    async fn run_item(
        self: Arc<Self>,
        leased: LeasedItem,
        item: HeldItem,
        row: Option<Arc<Row>>,
        mut stopped: watch::Receiver<bool>,
    ) {
        let Some(row) = row else {
            let code = ResultCode::NoRow;
            return self.completions.complete(&item.job, failed(item.position, code, "the row is gone"));
        };
        let prepared = prepare_item(&leased.endpoint, &row, BATCH_PRIORITY, &leased.body);
        let (body, cost, blocks) = match prepared {
            Ok(prepared) => prepared,
            Err(text) => {
                return self.completions.complete(&item.job, failed(item.position, ResultCode::BadRequest, &text))
            }
        };
        let work = Work {
            id: self.owner.new_work(),
            row: row.name.as_str().into(),
            class: Class::Batch,
            service: row.service.as_str().into(),
            model: row.model.as_str().into(),
            cost,
            blocks,
            deadline: None,
            first_token_limit: None,
            preemptible: leased.repeatable,
            avoid: None,
        };
        let place = Arc::new(Mutex::new(None));
        let run = ItemRun { runner: &self, leased: &leased, body, resume_at: None, place: place.clone() };
        let stop = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        tokio::select! {
            end = run.run(work) => match end {
                ItemEnd::Result(result) => self.completions.complete(&item.job, result),
                ItemEnd::NotStarted => {
                    if let Some(state) = self.lock().get_mut(&item) {
                        state.given_back = true;
                        self.completions.give_back(&item, state.lease);
                    }
                }
            },
            () = stop => {
                // By the broken connection alone the engine would keep a
                // resume point; a cancelled job needs none.
                let address = place.lock().unwrap_or_else(PoisonError::into_inner).clone();
                if let Some(address) = address {
                    self.engines.cancel(&address, &run_identity(&leased)).await;
                }
                self.lock().remove(&item);
            }
        }
    }
}

/// Services that were granted nothing are asked for later and later.
fn note_empty(request: &LeaseRequest, answer: &LeaseAnswer, table: &Table, empty: &mut HashMap<String, EmptyService>) {
    let granted: BTreeSet<&str> =
        answer.items.iter().filter_map(|item| table.rows.get(&item.row)).map(|row| row.service.as_str()).collect();
    for room in &request.rooms {
        if granted.contains(room.service.as_str()) {
            empty.remove(&room.service);
            continue;
        }
        let earlier = empty.get(&room.service).map(|empty| empty.pause * 2);
        let pause = earlier.unwrap_or(EMPTY_PAUSE).min(EMPTY_PAUSE_MAXIMUM);
        empty.insert(room.service.clone(), EmptyService { ask_again: Instant::now() + pause, pause });
    }
}
