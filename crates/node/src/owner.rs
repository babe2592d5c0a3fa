//! Runs the scheduler of this node's servers: work is handed in, and each
//! piece hears when to start, when it is refused, and when it gives way.

use latchwheel_clock::Clock;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::{ServerId, WorkId};
use latchwheel_core::prefix::CacheEvent;
use latchwheel_core::scheduler::{Action, BatchPolicy, Event, RowShare, Scheduler, ServerProfile, ServerView, Work};
use latchwheel_core::table::Row;
use latchwheel_core::time::Instant;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// Time for which a failed server gets no work.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// A server that work was given to.
#[derive(Clone, Debug)]
pub(crate) struct Assigned {
    pub(crate) server: ServerId,
    pub(crate) address: Arc<str>,
}

/// What a piece of work hears.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    Start(Assigned),
    Refuse(ResultCode, Duration),
    /// Break off; a later start follows.
    Preempt,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    tickets: HashMap<WorkId, mpsc::UnboundedSender<Order>>,
    addresses: HashMap<ServerId, Arc<str>>,
}

/// The running scheduler.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    state: Arc<Mutex<State>>,
    clock: Clock,
    next_work: Arc<AtomicU64>,
}

impl Owner {
    pub(crate) fn new(policy: BatchPolicy, cache_aware: bool, clock: Clock) -> Self {
        let scheduler = Scheduler::new(policy, cache_aware);
        let state = State { scheduler, tickets: HashMap::new(), addresses: HashMap::new() };
        Self { state: Arc::new(Mutex::new(state)), clock, next_work: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Identity for a new piece of work.
    pub(crate) fn new_work(&self) -> WorkId {
        WorkId(self.next_work.fetch_add(1, Ordering::Relaxed))
    }

    /// Hands work in. Dropping the handle withdraws it.
    pub(crate) fn submit(&self, work: Work) -> WorkHandle {
        let (ticket, orders) = mpsc::unbounded_channel();
        let id = work.id;
        let mut state = self.lock();
        state.tickets.insert(id, ticket);
        state.handle(self.clock.now(), Event::Arrive(work));
        drop(state);
        WorkHandle { owner: self.clone(), id, orders, done: false }
    }

    pub(crate) fn handle(&self, event: Event) {
        self.lock().handle(self.clock.now(), event);
    }

    /// A server failed: it gets no work for a while.
    pub(crate) fn server_failed(&self, server: ServerId) {
        let until = self.clock.now() + FAILED_PAUSE;
        self.handle(Event::ServerFailed(server, until));
    }

    pub(crate) fn server_up(&self, server: ServerId, address: &str, profile: ServerProfile) {
        let mut state = self.lock();
        state.addresses.insert(server, address.into());
        state.handle(self.clock.now(), Event::ServerUp(server, profile));
    }

    /// Takes rows' weights and limits; `sharers` owners share a row's
    /// concurrency.
    pub(crate) fn set_rows<'a>(&self, rows: impl Iterator<Item = &'a Arc<Row>>, sharers: u32) {
        let mut state = self.lock();
        let now = self.clock.now();
        for row in rows {
            let concurrency = row.limits.concurrency.div_ceil(sharers.max(1));
            let share = RowShare { weight: row.weight, concurrency, queue: row.limits.queue };
            if state.scheduler.row_share(&row.name) != Some(share) {
                state.handle(now, Event::RowShare(row.name.as_str().into(), share));
            }
        }
    }

    /// Work that was started on a server so far.
    pub(crate) fn starts_of(&self, server: ServerId) -> u64 {
        self.lock().scheduler.starts_of(server)
    }

    pub(crate) fn online_load(&self, service: &str) -> (u32, u32) {
        self.lock().scheduler.online_load(self.clock.now(), service)
    }

    pub(crate) fn batch_capacity(&self, service: &str) -> u32 {
        self.lock().scheduler.batch_capacity(self.clock.now(), service)
    }

    pub(crate) fn services(&self) -> Vec<Arc<str>> {
        self.lock().scheduler.services()
    }

    pub(crate) fn views(&self) -> Vec<(ServerId, ServerView)> {
        self.lock().scheduler.views()
    }

    pub(crate) fn online_in_progress(&self) -> usize {
        self.lock().scheduler.online_in_progress()
    }

    /// Takes back all batch work that waits; its handles hear of nothing
    /// more.
    pub(crate) fn drain_batch(&self) -> Vec<WorkId> {
        let mut state = self.lock();
        let drained = state.scheduler.drain_batch();
        for work in &drained {
            if let Some(ticket) = state.tickets.remove(work) {
                let _ = ticket.send(Order::Refuse(ResultCode::Leaving, Duration::ZERO));
            }
        }
        drained
    }

    /// Takes a cache event; `true` means that the server's index is stale.
    pub(crate) fn note_cache_event(&self, server: ServerId, event: &CacheEvent) -> bool {
        self.lock().scheduler.prefixes().note_event(server, event)
    }

    pub(crate) fn resync_cache(&self, server: ServerId, next: u64, blocks: &[u64]) {
        self.lock().scheduler.prefixes().resync(server, next, blocks);
    }

    /// Lets queued work expire.
    pub(crate) async fn run(self) {
        let mut tick = tokio::time::interval(Duration::from_millis(20));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            self.handle(Event::Tick);
        }
    }
}

impl State {
    fn handle(&mut self, now: Instant, event: Event) {
        for action in self.scheduler.handle(now, event) {
            let (work, order) = match action {
                Action::Start(work, server) => {
                    let address = self.addresses.get(&server).cloned().unwrap_or_else(|| "".into());
                    (work, Order::Start(Assigned { server, address }))
                }
                Action::Refuse(work, code, after) => (work, Order::Refuse(code, after)),
                Action::Preempt(work) => (work, Order::Preempt),
            };
            if let Some(ticket) = self.tickets.get(&work) {
                let _ = ticket.send(order);
            }
        }
    }
}

/// A piece of work that was handed in.
#[derive(Debug)]
pub(crate) struct WorkHandle {
    owner: Owner,
    id: WorkId,
    orders: mpsc::UnboundedReceiver<Order>,
    done: bool,
}

impl WorkHandle {
    pub(crate) fn id(&self) -> WorkId {
        self.id
    }

    /// Waits for the next order.
    pub(crate) async fn next(&mut self) -> Order {
        match self.orders.recv().await {
            Some(order) => order,
            None => Order::Refuse(ResultCode::Leaving, Duration::ZERO),
        }
    }

    /// The work has ended.
    pub(crate) fn finish(mut self) {
        self.done = true;
        let mut state = self.owner.lock();
        state.tickets.remove(&self.id);
        let now = self.owner.clock.now();
        state.handle(now, Event::Finished(self.id));
    }
}

impl Drop for WorkHandle {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut state = self.owner.lock();
        state.tickets.remove(&self.id);
        let now = self.owner.clock.now();
        state.handle(now, Event::Withdraw(self.id));
    }
}
