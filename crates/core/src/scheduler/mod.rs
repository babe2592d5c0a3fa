//! Schedules online and batch work on the servers of one owner.
//!
//! - Online work has strict priority: batch work starts only while no online work
//!   of its service waits, and an online arrival preempts a running batch item
//!   immediately.
//! - Within a class, rows share capacity by weight (start-time fair queueing; Goyal
//!   et al., 1996), with cost counted in tokens.
//! - A request whose predicted wait exceeds its first-token limit is refused
//!   immediately, with a retry time.

mod queue;
mod server;
mod wait;

pub use queue::Work;
pub use server::{ServerProfile, ServerView};

use crate::code::ResultCode;
use crate::identity::{ServerId, WorkId};
use crate::prefix::PrefixIndex;
use crate::table::Class;
use crate::time::Instant;
use queue::RowQueues;
use server::Server;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use wait::WaitEstimate;

/// Bounds on the retry time sent with a refusal.
const RETRY_AFTER_MINIMUM: Duration = Duration::from_millis(250);
const RETRY_AFTER_MAXIMUM: Duration = Duration::from_secs(30);

/// How online work affects running batch work; `Keep` is a baseline for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BatchPolicy {
    /// Batch work fills idle slots and is preempted by online work.
    #[default]
    Yield,
    /// Batch work fills idle slots and is not displaced for online work.
    Keep,
}

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Work arrived.
    Arrive(Work),
    /// Mean time between tokens of an online answer.
    TokenGap(WorkId, Duration),
    /// Work ended, successfully or not.
    Finished(WorkId),
    /// The caller disconnected, or the job of the work was cancelled.
    Withdraw(WorkId),
    /// A server was added to this owner, or its profile changed.
    ServerUp(ServerId, ServerProfile),
    /// A server is draining and receives no new work.
    ServerLeaving(ServerId),
    /// A server was removed or has another owner; its running work continues.
    ServerGone(ServerId),
    /// A server failed and receives no work until this time.
    ServerFailed(ServerId, Instant),
    /// The share of a row changed.
    RowShare(Arc<str>, RowShare),
    /// Time advanced.
    Tick,
}

/// Weight and limits of a row at this owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowShare {
    /// Weight among rows of its class.
    pub weight: f64,
    /// Maximum number of running requests and items; zero means no limit.
    pub concurrency: u32,
    /// Maximum number of waiting requests; zero means no limit.
    pub queue: u32,
}

impl Default for RowShare {
    fn default() -> Self {
        Self { weight: 1.0, concurrency: 0, queue: 0 }
    }
}

/// Output of the scheduler, to be carried out by the runtime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the work to the server.
    Start(WorkId, ServerId),
    /// Answer with this code and retry time.
    Refuse(WorkId, ResultCode, Duration),
    /// Stop the batch work and keep its resume point; the scheduler has requeued it.
    Preempt(WorkId),
}

#[derive(Clone, Debug)]
struct Running {
    work: Work,
    server: ServerId,
    since: Instant,
    order: u64,
}

/// The scheduler of one owner.
#[derive(Debug)]
pub struct Scheduler {
    policy: BatchPolicy,
    servers: BTreeMap<ServerId, Server>,
    online: HashMap<Arc<str>, RowQueues>,
    batch: HashMap<Arc<str>, RowQueues>,
    shares: HashMap<Arc<str>, RowShare>,
    running: HashMap<WorkId, Running>,
    running_by_row: HashMap<Arc<str>, u32>,
    waits: HashMap<Arc<str>, WaitEstimate>,
    prefixes: PrefixIndex,
    starts: u64,
    cache_aware: bool,
}

impl Scheduler {
    /// A scheduler without servers.
    pub fn new(policy: BatchPolicy, cache_aware: bool) -> Self {
        Self {
            policy,
            servers: BTreeMap::new(),
            online: HashMap::new(),
            batch: HashMap::new(),
            shares: HashMap::new(),
            running: HashMap::new(),
            running_by_row: HashMap::new(),
            waits: HashMap::new(),
            prefixes: PrefixIndex::default(),
            starts: 0,
            cache_aware,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrive(work) => self.arrive(now, work, &mut actions),
            Event::TokenGap(work, gap) => self.note_token_gap(now, work, gap),
            Event::Finished(work) => self.finish(now, work),
            Event::Withdraw(work) => self.withdraw(work),
            Event::ServerUp(server, profile) => self.server_up(server, profile),
            Event::ServerLeaving(server) => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.leaving = true;
                }
            }
            Event::ServerGone(server) => {
                self.servers.remove(&server);
                self.prefixes.forget(server);
            }
            Event::ServerFailed(server, until) => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.closed_until = until;
                }
                self.prefixes.forget(server);
            }
            Event::RowShare(row, share) => {
                self.shares.insert(row, share);
            }
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Prefix index, for updates from cache events.
    pub fn prefixes(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Number of further batch items of a service that could start now or soon,
    /// not counting those that already wait here.
    pub fn batch_capacity(&self, now: Instant, service: &str) -> u32 {
        let open = self.servers.values().filter(|server| server.is_open(now) && *server.profile.service == *service);
        let target = open.fold(0_u32, |target, server| target.saturating_add(server.batch_target()));
        let waiting = self.batch.get(service).map_or(0, RowQueues::waiting);
        target.saturating_sub(waiting)
    }

    /// Slots of a service without online work, and its waiting online requests.
    pub fn online_load(&self, now: Instant, service: &str) -> (u32, u32) {
        let (_, free) = self.open_slots(now, service);
        (free, self.online.get(service).map_or(0, RowQueues::waiting))
    }

    /// Share of a row, if one was set.
    pub fn row_share(&self, row: &str) -> Option<RowShare> {
        self.shares.get(row).copied()
    }

    /// Number of starts on a server since it was added.
    pub fn starts_of(&self, server: ServerId) -> u64 {
        self.servers.get(&server).map_or(0, |server| server.starts)
    }

    /// Services of the owned servers, sorted.
    pub fn services(&self) -> Vec<Arc<str>> {
        let mut services: Vec<Arc<str>> = self.servers.values().map(|server| server.profile.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Load of the owned servers, for reports.
    pub fn views(&self) -> Vec<(ServerId, ServerView)> {
        self.servers.iter().map(|(id, server)| (*id, server.view())).collect()
    }

    /// Number of online requests that run or wait here.
    pub fn online_in_progress(&self) -> usize {
        let running = self.running.values().filter(|running| running.work.class == Class::Online).count();
        running + self.online.values().map(|queues| queues.waiting() as usize).sum::<usize>()
    }

    /// Removes all waiting batch items from the queues and returns them.
    pub fn drain_batch(&mut self) -> Vec<WorkId> {
        self.batch.values_mut().flat_map(RowQueues::drain).collect()
    }

    fn arrive(&mut self, now: Instant, work: Work, actions: &mut Vec<Action>) {
        match work.class {
            Class::Batch => self.batch.entry(work.service.clone()).or_default().push(work),
            Class::Online => match self.refusal(now, &work) {
                Some((code, after)) => actions.push(Action::Refuse(work.id, code, bound_retry(after))),
                None => self.online.entry(work.service.clone()).or_default().push(work),
            },
        }
    }

    fn refusal(&self, now: Instant, work: &Work) -> Option<(ResultCode, Duration)> {
        let (slots, free) = self.open_slots(now, &work.service);
        if slots == 0 {
            return Some((ResultCode::NoServer, Duration::from_secs(1)));
        }
        let queues = self.online.get(&work.service);
        let ahead = queues.map_or(0, RowQueues::waiting);
        let wait = match self.waits.get(&work.service) {
            Some(estimate) if ahead >= free => estimate.predict(ahead + 1 - free, slots),
            _ => Duration::ZERO,
        };
        let share = self.shares.get(&work.row).copied().unwrap_or_default();
        let row_waiting = queues.map_or(0, |queues| queues.waiting_of(&work.row));
        if share.queue > 0 && row_waiting >= share.queue {
            return Some((ResultCode::QueueFull, wait));
        }
        match work.first_token_limit {
            Some(limit) if wait > limit => Some((ResultCode::WaitTooLong, wait - limit)),
            _ => None,
        }
    }

    /// Slots of the available servers of a service, and those without online work.
    fn open_slots(&self, now: Instant, service: &str) -> (u32, u32) {
        let open = self.servers.values().filter(|server| server.is_open(now) && *server.profile.service == *service);
        open.fold((0, 0), |(slots, free), server| {
            let server_slots = server.profile.slots;
            let server_free = server_slots.saturating_sub(server.online);
            (slots.saturating_add(server_slots), free.saturating_add(server_free))
        })
    }

    fn note_token_gap(&mut self, now: Instant, work: WorkId, gap: Duration) {
        if let Some(server) = self.running.get(&work).and_then(|running| self.servers.get_mut(&running.server)) {
            let batch = server.batch;
            server.batch_limit.note_token_gap(now, gap, batch);
        }
    }

    fn finish(&mut self, now: Instant, work: WorkId) {
        let Some(running) = self.release(work) else { return };
        if running.work.class == Class::Online {
            let estimate = self.waits.entry(running.work.service.clone()).or_default();
            estimate.note_service_time(now.since(running.since));
        }
    }

    fn withdraw(&mut self, work: WorkId) {
        if self.release(work).is_some() {
            return;
        }
        for queues in self.online.values_mut().chain(self.batch.values_mut()) {
            if queues.remove(work) {
                return;
            }
        }
    }

    fn release(&mut self, work: WorkId) -> Option<Running> {
        let running = self.running.remove(&work)?;
        if let Some(server) = self.servers.get_mut(&running.server) {
            server.note_end(running.work.class, running.work.cost);
        }
        if let Some(count) = self.running_by_row.get_mut(&running.work.row) {
            *count = count.saturating_sub(1);
        }
        Some(running)
    }

    fn server_up(&mut self, server: ServerId, profile: ServerProfile) {
        match self.servers.get_mut(&server) {
            Some(existing) => {
                existing.leaving = false;
                existing.profile = profile;
            }
            None => {
                let mut added = Server::new(profile);
                // Work that was started before the server was removed may still run.
                for running in self.running.values().filter(|running| running.server == server) {
                    added.note_start(running.work.class, running.work.cost);
                }
                self.servers.insert(server, added);
            }
        }
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for queues in self.online.values_mut() {
            for work in queues.take_expired(now) {
                actions.push(Action::Refuse(work, ResultCode::DeadlinePassed, RETRY_AFTER_MINIMUM));
            }
        }
    }

    /// Starts waiting work on free slots: online work of all services first, then batch.
    fn start_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let online_services: Vec<Arc<str>> = waiting_services(&self.online);
        for service in online_services {
            self.start_online(now, &service, actions);
        }
        let batch_services: Vec<Arc<str>> = waiting_services(&self.batch);
        for service in batch_services {
            if self.online.get(&service).is_none_or(|queues| queues.waiting() == 0) {
                self.start_batch(now, &service, actions);
            }
        }
    }

    fn start_online(&mut self, now: Instant, service: &Arc<str>, actions: &mut Vec<Action>) {
        loop {
            let Some(work) = self.pop_eligible(Class::Online, service) else { return };
            match self.choose_online_server(now, &work) {
                Some(server) => {
                    self.preempt_batch(server, &work, actions);
                    self.start(now, work, server, actions);
                }
                None => {
                    self.online.entry(service.clone()).or_default().put_back(work, &self.shares);
                    return;
                }
            }
        }
    }

    /// Chooses the available server with the least online load, offset by the length
    /// of the cached prefix.
    fn choose_online_server(&self, now: Instant, work: &Work) -> Option<ServerId> {
        let yields = self.policy == BatchPolicy::Yield;
        self.servers
            .iter()
            .filter(|(id, server)| {
                work.avoid != Some(**id) && server.serves(now, work) && server.has_online_slot(yields, work.cost)
            })
            .min_by_key(|(id, server)| {
                let matched = if self.cache_aware { self.prefixes.matched(**id, &work.blocks) } else { 0 };
                (server.online_cost(matched), server.batch, **id)
            })
            .map(|(id, _)| *id)
    }

    /// Preempts batch items, the most recently started first, until the work fits.
    fn preempt_batch(&mut self, server: ServerId, work: &Work, actions: &mut Vec<Action>) {
        while self.servers.get(&server).is_some_and(|server| !server.fits(work.cost) && server.batch > 0) {
            let latest = self
                .running
                .iter()
                .filter(|(_, running)| running.server == server)
                .filter(|(_, running)| running.work.class == Class::Batch && running.work.preemptible)
                .max_by_key(|(_, running)| running.order)
                .map(|(id, _)| *id);
            let Some(victim) = latest.and_then(|id| self.release(id)) else { return };
            actions.push(Action::Preempt(victim.work.id));
            self.batch.entry(victim.work.service.clone()).or_default().put_back(victim.work, &self.shares);
        }
    }

    fn start_batch(&mut self, now: Instant, service: &Arc<str>, actions: &mut Vec<Action>) {
        while let Some(work) = self.pop_eligible(Class::Batch, service) {
            let chosen = self
                .servers
                .iter()
                .filter(|(id, server)| {
                    work.avoid != Some(**id) && server.serves(now, &work) && server.has_batch_slot(work.cost)
                })
                .min_by_key(|(id, server)| (server.online + server.batch, **id))
                .map(|(id, _)| *id);
            match chosen {
                Some(server) => self.start(now, work, server, actions),
                None => {
                    self.batch.entry(service.clone()).or_default().put_back(work, &self.shares);
                    return;
                }
            }
        }
    }

    fn pop_eligible(&mut self, class: Class, service: &Arc<str>) -> Option<Work> {
        let queues = match class {
            Class::Online => self.online.get_mut(service)?,
            Class::Batch => self.batch.get_mut(service)?,
        };
        queues.pop(&self.shares, &self.running_by_row)
    }

    fn start(&mut self, now: Instant, work: Work, server: ServerId, actions: &mut Vec<Action>) {
        if let Some(chosen) = self.servers.get_mut(&server) {
            chosen.note_start(work.class, work.cost);
        }
        if self.cache_aware {
            self.prefixes.note_sent(server, &work.blocks);
        }
        *self.running_by_row.entry(work.row.clone()).or_default() += 1;
        self.starts += 1;
        actions.push(Action::Start(work.id, server));
        self.running.insert(work.id, Running { work, server, since: now, order: self.starts });
    }
}

fn waiting_services(queues: &HashMap<Arc<str>, RowQueues>) -> Vec<Arc<str>> {
    queues.iter().filter(|(_, queues)| queues.waiting() > 0).map(|(service, _)| service.clone()).collect()
}

fn bound_retry(after: Duration) -> Duration {
    after.clamp(RETRY_AFTER_MINIMUM, RETRY_AFTER_MAXIMUM)
}
