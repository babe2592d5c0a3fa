//! Runs batch items: leases them from the store groups' leaders as the own
//! servers have room, runs them, and hands the results in.

use crate::completions::{Completions, HeldItem};
use crate::configuration::Configuration;
use crate::metrics::Metrics;
use crate::owner::{Assigned, Order, Owner};
use crate::store_calls::StoreCalls;
use bytes::Bytes;
use latchwheel_core::code::ResultCode;
use latchwheel_core::leasing::LEASE_LENGTH;
use latchwheel_core::scheduler::Work;
use latchwheel_core::table::{Class, Row, Table};
use latchwheel_engine::{EngineAnswer, EngineClient, EngineFault, EngineRequest};
use latchwheel_gateway::prepare_item;
use latchwheel_protocol::v1::{HeldChunk, ItemResult, LeaseAnswer, LeaseRequest, LeasedItem, RowRoom};
use std::collections::{BTreeMap, HashMap};
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
/// A row that had no items to grant is asked about again after this time,
/// which doubles up to a bound while it has none.
const EMPTY_ROW_PAUSE: Duration = Duration::from_millis(250);
const EMPTY_ROW_PAUSE_MAXIMUM: Duration = Duration::from_secs(2);
const ITEM_TIME: Duration = Duration::from_secs(900);
const ITEM_ATTEMPTS: u32 = 5;

/// A row that had no items to grant.
#[derive(Clone, Copy, Debug)]
struct EmptyRow {
    ask_again: Instant,
    pause: Duration,
}

#[derive(Debug)]
struct HeldState {
    lease: u64,
    stop: watch::Sender<bool>,
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

    /// Whether all items have ended and their results are committed.
    pub(crate) fn is_done(&self) -> bool {
        self.held() == 0 && self.completions.is_empty()
    }

    /// Leases and renews for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let this = self.clone();
        tokio::spawn(self.completions.clone().run(move |item| drop(this.lock().remove(&item))));
        let mut term = 0;
        let mut renewed = Instant::now();
        let mut empty_rows: HashMap<String, EmptyRow> = HashMap::new();
        loop {
            let rooms = self.rooms(&empty_rows);
            let due = renewed.elapsed() >= RENEWAL && self.held() > 0;
            if rooms.is_empty() && !due {
                tokio::time::sleep(BUSY_INTERVAL).await;
                continue;
            }
            let mut asked_at = Instant::now();
            let request = LeaseRequest { group: self.group, node: self.node, rooms, held: self.chunks(false), term };
            let Ok(mut answer) = self.store.lease(request.clone()).await else {
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            };
            if answer.term != term && !request.held.is_empty() {
                // A new leader is told the positions of what is held.
                asked_at = Instant::now();
                let full = LeaseRequest { held: self.chunks(true), term: answer.term, ..request.clone() };
                match self.store.lease(full).await {
                    Ok(second) => answer = second,
                    Err(_) => continue,
                }
            }
            term = answer.term;
            renewed = Instant::now();
            // A lease counts from before it was asked for.
            *self.valid_until.lock().unwrap_or_else(PoisonError::into_inner) = asked_at + LEASE_LENGTH - LEASE_MARGIN;
            note_empty_rows(&request, &answer, &mut empty_rows);
            let granted = !answer.items.is_empty();
            self.take(answer);
            tokio::time::sleep(if granted { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
        }
    }

    /// Room per row: each service's room is shared by weight among the rows
    /// that have had items lately.
    fn rooms(&self, empty_rows: &HashMap<String, EmptyRow>) -> Vec<RowRoom> {
        if self.leaving.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let table = self.configuration.table();
        let mut rooms = Vec::new();
        for service in self.owner.services() {
            let room = self.owner.batch_room(&service);
            rooms.extend(share_room(&table, &service, room, empty_rows));
        }
        rooms
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
            if let Some(state) = held.get_mut(&item) {
                // Granted anew while it still runs here, after its lease had
                // lapsed at the leader: the same run goes on under the new one.
                state.lease = leased.lease;
                continue;
            }
            let (stop, stopped) = watch::channel(false);
            held.insert(item.clone(), HeldState { lease: leased.lease, stop });
            drop(held);
            let row = table.rows.get(&leased.row).cloned();
            let this = self.clone();
            tokio::spawn(async move { this.run_item(leased, item, row, stopped).await });
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
                // Forgotten before it is told, so that it can't be renewed.
                ItemEnd::NotStarted => {
                    if let Some(state) = self.lock().remove(&item) {
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

/// Identity of an item's run at the engines.
fn run_identity(leased: &LeasedItem) -> String {
    format!("{}-{}", leased.job, leased.position)
}

enum ItemEnd {
    Result(ItemResult),
    /// The item was not started here and may go elsewhere.
    NotStarted,
}

struct ItemRun<'a> {
    runner: &'a Arc<BatchRunner>,
    leased: &'a LeasedItem,
    body: Bytes,
    /// Where a broken-off run is kept.
    resume_at: Option<Assigned>,
    /// Server that runs the item, for whoever has to stop it.
    place: Arc<Mutex<Option<Arc<str>>>>,
}

/// Why a run ended without a result.
enum RunFault {
    Engine(EngineFault),
    /// The node takes the item back from its servers.
    Withdrawn,
}

impl ItemRun<'_> {
    async fn run(mut self, work: Work) -> ItemEnd {
        let mut attempts = 0;
        loop {
            let mut handle = self.runner.owner.submit(Work { id: self.runner.owner.new_work(), ..work.clone() });
            let assigned = loop {
                match handle.next().await {
                    Order::Start(assigned) if self.runner.leases_hold() => break assigned,
                    Order::Start(_) | Order::Refuse(..) => return ItemEnd::NotStarted,
                    Order::Preempt => {}
                }
            };
            match self.run_until_end(handle, assigned).await {
                Ok(result) => return ItemEnd::Result(result),
                Err(RunFault::Withdrawn) => return ItemEnd::NotStarted,
                Err(RunFault::Engine(fault)) => {
                    attempts += 1;
                    if let Some(result) = self.judge(fault, attempts) {
                        return ItemEnd::Result(result);
                    }
                }
            }
        }
    }

    /// Runs on the assigned server; where the item gives way, waits for the
    /// next start and goes on from the resume point.
    async fn run_until_end(
        &mut self,
        mut handle: crate::owner::WorkHandle,
        mut assigned: Assigned,
    ) -> Result<ItemResult, RunFault> {
        loop {
            let sending = self.send(&assigned);
            let answer = tokio::select! {
                answer = sending => Some(answer),
                order = handle.next() => match order {
                    Order::Preempt => None,
                    Order::Start(_) | Order::Refuse(..) => Some(Err(EngineFault::Broken)),
                },
            };
            match answer {
                Some(Ok(result)) => {
                    handle.finish();
                    return Ok(result);
                }
                Some(Err(EngineFault::NotKept)) => self.resume_at = None,
                Some(Err(fault)) => {
                    if !matches!(fault, EngineFault::Rejected(..)) {
                        self.runner.owner.server_failed(assigned.server);
                    }
                    return Err(RunFault::Engine(fault));
                }
                None => {
                    self.runner.metrics.note_preemption();
                    self.resume_at = Some(assigned.clone());
                    assigned = loop {
                        match handle.next().await {
                            Order::Start(next) => break next,
                            Order::Refuse(..) => return Err(RunFault::Withdrawn),
                            Order::Preempt => {}
                        }
                    };
                    self.leave_resume_point(&assigned).await;
                }
            }
        }
    }

    /// A run that goes on at another server is dropped at the first one.
    async fn leave_resume_point(&mut self, next: &Assigned) {
        let elsewhere = self.resume_at.take_if(|kept| kept.server != next.server);
        if let Some(kept) = elsewhere {
            let identity = run_identity(self.leased);
            let engines = self.runner.engines.clone();
            tokio::spawn(async move { engines.cancel(&kept.address, &identity).await });
        }
    }

    async fn send(&self, assigned: &Assigned) -> Result<ItemResult, EngineFault> {
        *self.place.lock().unwrap_or_else(PoisonError::into_inner) = Some(assigned.address.clone());
        let request = EngineRequest {
            identity: run_identity(self.leased),
            path: self.leased.endpoint.clone(),
            body: self.body.clone(),
            streamed: false,
            resume: self.resume_at.is_some(),
            time: ITEM_TIME,
        };
        match self.runner.engines.send(&assigned.address, request).await? {
            EngineAnswer::Whole(body) => {
                Ok(ItemResult { position: self.leased.position, code: ResultCode::Done.number(), status: 200, body })
            }
            EngineAnswer::Stream(_) => Err(EngineFault::Broken),
        }
    }

    /// What a failed attempt comes to; `None` means another attempt.
    fn judge(&self, fault: EngineFault, attempts: u32) -> Option<ItemResult> {
        let position = self.leased.position;
        match fault {
            EngineFault::Rejected(_, bytes) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                Some(failed(position, ResultCode::EngineRejected, &text))
            }
            EngineFault::Unreachable | EngineFault::Refused => None,
            EngineFault::Broken | EngineFault::NotKept if !self.leased.repeatable => {
                Some(failed(position, ResultCode::OutcomeUnknown, ResultCode::OutcomeUnknown.text()))
            }
            EngineFault::Broken | EngineFault::NotKept if attempts < ITEM_ATTEMPTS => None,
            EngineFault::Broken | EngineFault::NotKept => {
                Some(failed(position, ResultCode::StreamCut, ResultCode::StreamCut.text()))
            }
        }
    }
}

fn failed(position: u64, code: ResultCode, text: &str) -> ItemResult {
    let body = Bytes::copy_from_slice(text.as_bytes());
    ItemResult { position, code: code.number(), status: u32::from(code.http_status()), body }
}

fn share_room(table: &Table, service: &str, room: u32, empty_rows: &HashMap<String, EmptyRow>) -> Vec<RowRoom> {
    let is_empty = |row: &Row| empty_rows.get(&row.name).is_some_and(|empty| Instant::now() < empty.ask_again);
    let rows: Vec<&Arc<Row>> = table
        .rows
        .values()
        .filter(|row| row.class == Class::Batch && row.service == service && !is_empty(row))
        .collect();
    let weights: f64 = rows.iter().map(|row| row.weight).sum();
    rows.iter()
        .map(|row| RowRoom { row: row.name.clone(), room: (f64::from(room) * row.weight / weights).ceil() as u32 })
        .filter(|share| share.room > 0)
        .collect()
}

fn note_empty_rows(request: &LeaseRequest, answer: &LeaseAnswer, empty_rows: &mut HashMap<String, EmptyRow>) {
    for room in &request.rooms {
        if answer.items.iter().any(|item| item.row == room.row) {
            empty_rows.remove(&room.row);
        } else {
            let earlier = empty_rows.get(&room.row).map(|empty| empty.pause * 2);
            let pause = earlier.unwrap_or(EMPTY_ROW_PAUSE).min(EMPTY_ROW_PAUSE_MAXIMUM);
            empty_rows.insert(room.row.clone(), EmptyRow { ask_again: Instant::now() + pause, pause });
        }
    }
}
