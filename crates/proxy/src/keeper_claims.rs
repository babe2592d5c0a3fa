//! A keeper's queues: claims of all nodes on slots of the servers that it keeps.
//!
//! [`latchwheel_core::admission`] decides the order; here claims are read from messages
//! and answers made. Nothing here outlives the process: a node that hears nothing of its
//! claim any more asks anew.

use crate::claims::ClaimStanding;
use crate::dialect::Dialect;
use crate::handoff::Handoff;
use crate::placements::{reserve_server, RoomOrder};
use crate::shared::Shared;
use latchwheel_core::admission::{Admission, Claim, ClaimId, ClaimQueue, Granted, QueuePosition, Refused};
use latchwheel_core::dispatch::{RouteKey, REPORT_TTL};
use latchwheel_core::identity::NodeId;
use latchwheel_core::routes::RoutingTable;
use latchwheel_core::tenants::TenantKey;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_protocol::v1;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often a node hears that its claims wait still.
pub(crate) const RENEW_EVERY: Duration = Duration::from_millis(100);
/// Told to deferrable work while claims wait: it asks again as often as claims are renewed.
const DEFERRABLE_PAUSE: Duration = Duration::from_millis(100);
/// Assumed for each claim ahead while no rate is measured: then only the order of keepers by
/// their queues matters.
const WAIT_FOR_EACH_CLAIM: Duration = Duration::from_millis(1);
/// Claims of a node that is not heard for this time are dropped: reports of a quiet node may
/// be as far apart as one counts.
const SILENCE_LIMIT: Duration = REPORT_TTL.saturating_mul(2);
/// How often a keeper tells what waits at it.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// An answer to a node, or to a request of this one.
#[derive(Debug)]
pub(crate) struct ClaimAnswer {
    pub(crate) node: NodeId,
    /// Where the node is reached; none for this one.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) advice: v1::PlacementAdvice,
    /// A run that is to give way for it.
    pub(crate) order: Option<RoomOrder>,
}

/// Claims of a node that wait.
#[derive(Debug)]
pub(crate) struct Renewal {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) numbers: Vec<u64>,
}

/// What is needed to answer a claim.
#[derive(Debug)]
struct Asked {
    request: v1::PlacementRequest,
    address: Option<SocketAddr>,
}

/// Claims on the servers of one service.
#[derive(Debug, Default)]
struct ServiceClaims {
    queue: ClaimQueue,
    asked: HashMap<ClaimId, Asked>,
    /// Least wait at a server when a claim was refused a slot last.
    server_wait: Duration,
}

#[derive(Debug, Default)]
struct State {
    /// By the hash of the service's name.
    services: HashMap<u64, ServiceClaims>,
    /// When other nodes with claims were heard last. This node sends itself no messages by
    /// which it could be heard.
    heard: HashMap<NodeId, Instant>,
    told_at: Instant,
}

/// All claims at this node as a keeper.
#[derive(Debug, Default)]
pub struct KeeperClaims {
    state: Mutex<State>,
    waiting: AtomicUsize,
    /// Answers that came about while this node asked itself.
    pub(crate) answers: Handoff<ClaimAnswer>,
}

impl KeeperClaims {
    /// Claims that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Whether claims wait.
    pub(crate) fn has_claims(&self) -> bool {
        self.waiting() > 0
    }

    /// Answers a node that asks for a place; whoever else gets one by that is answered too.
    pub(crate) fn ask<D: Dialect>(
        &self,
        shared: &Shared<D>,
        from: NodeId,
        address: Option<SocketAddr>,
        request: v1::PlacementRequest,
    ) -> Vec<ClaimAnswer> {
        let claim = request.claim;
        let (advice, order) = match claim {
            Some(claim) if claim.queue => return self.wait(shared, from, address, request, &claim),
            _ => match self.wait_behind_claims(shared, from, &request) {
                Some(wait) => (full(request.number, wait), None),
                None => reserve_server(shared, from, &request),
            },
        };
        vec![ClaimAnswer { node: from, address, advice, order }]
    }

    /// The expected wait of a request that must not overtake those that wait; `None` if
    /// there are none, or if it has no place among them.
    fn wait_behind_claims<D: Dialect>(
        &self,
        shared: &Shared<D>,
        from: NodeId,
        request: &v1::PlacementRequest,
    ) -> Option<Duration> {
        if !self.has_claims() || (request.claim.is_none() && !request.deferrable) {
            return None;
        }
        let state = self.lock();
        let service = state.services.get(&request.service).filter(|service| !service.queue.is_empty())?;
        let now = shared.clock.now();
        // Deferrable work goes before requests that are late already: it has a due time, and
        // they have lost what they would gain.
        let Some(message) = request.claim else { return service.queue.has_timely(now).then_some(DEFERRABLE_PAUSE) };
        let claim = claim_of(now, from, request.number, &message, &shared.table());
        let position = service.queue.position(now, &claim);
        let wait = position.wait.unwrap_or(WAIT_FOR_EACH_CLAIM * position.ahead as u32);
        Some(service.server_wait + wait)
    }

    /// A claim waits for its turn, which may be now.
    fn wait<D: Dialect>(
        &self,
        shared: &Shared<D>,
        from: NodeId,
        address: Option<SocketAddr>,
        request: v1::PlacementRequest,
        message: &v1::Claim,
    ) -> Vec<ClaimAnswer> {
        let now = shared.clock.now();
        let claim = claim_of(now, from, request.number, message, &shared.table());
        let mut state = self.lock();
        if address.is_some() {
            state.heard.insert(from, now);
        }
        let service = state.services.entry(request.service).or_default();
        let (entry, displaced) = service.queue.add(now, claim);
        let mut answers: Vec<ClaimAnswer> =
            displaced.into_iter().filter_map(|displaced| service.refuse(now, displaced)).collect();
        match entry {
            Admission::Refused { retry_after, position } => {
                let advice = crowded_out(claim.id.number, retry_after, &position);
                answers.push(ClaimAnswer { node: from, address, advice, order: None });
            }
            Admission::Queued(position) => {
                service.asked.insert(claim.id, Asked { request, address });
                answers.extend(service.grant(shared, now));
                if service.asked.contains_key(&claim.id) {
                    let advice = queued(claim.id.number, &position);
                    answers.push(ClaimAnswer { node: from, address, advice, order: None });
                }
            }
        }
        self.count(&state);
        answers
    }

    /// Slots may be free, and time has passed: gives places to claims, and refuses those
    /// whose time is over.
    pub(crate) fn grant<D: Dialect>(&self, shared: &Shared<D>) -> Vec<ClaimAnswer> {
        if !self.has_claims() {
            return Vec::new();
        }
        let now = shared.clock.now();
        let mut state = self.lock();
        state.follow_table(now, &shared.table());
        let mut answers = Vec::new();
        for service in state.services.values_mut() {
            answers.extend(service.grant(shared, now));
            let refused = service.queue.expire(now);
            answers.extend(refused.into_iter().filter_map(|refused| service.refuse(now, refused)));
        }
        self.count(&state);
        answers
    }

    /// Claims that wait, for each node that has some; those of nodes that were not heard
    /// for long are dropped.
    pub(crate) fn renewals(&self, now: Instant) -> Vec<Renewal> {
        let mut state = self.lock();
        state.forget_silent(now);
        state.tell(now);
        let mut renewals = Vec::new();
        for service in state.services.values() {
            for (node, numbers) in service.queue.by_node() {
                let of_node = numbers.first().and_then(|number| service.asked.get(&ClaimId { node, number: *number }));
                renewals.extend(of_node.map(|asked| Renewal { address: asked.address, numbers }));
            }
        }
        self.count(&state);
        renewals
    }

    /// A node with claims was heard.
    pub(crate) fn note_heard(&self, now: Instant, node: NodeId) {
        if self.has_claims() {
            if let Some(heard) = self.lock().heard.get_mut(&node) {
                *heard = now;
            }
        }
    }

    /// Claims of a node are not wanted any more.
    pub(crate) fn withdraw(&self, node: NodeId, numbers: &[u64]) {
        let mut state = self.lock();
        for service in state.services.values_mut() {
            for number in numbers {
                let id = ClaimId { node, number: *number };
                service.queue.withdraw(id);
                service.asked.remove(&id);
            }
        }
        self.count(&state);
    }

    /// This node keeps no servers any more: all that wait are told so.
    pub(crate) fn dissolve(&self) -> Vec<ClaimAnswer> {
        let mut state = self.lock();
        let services = std::mem::take(&mut state.services);
        state.heard.clear();
        self.count(&state);
        services.into_values().flat_map(ServiceClaims::dissolve).collect()
    }

    fn count(&self, state: &State) {
        let waiting = state.services.values().map(|service| service.queue.len()).sum();
        self.waiting.store(waiting, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// A newer table is in force: claims take the precedence that they have by it.
    fn follow_table(&mut self, now: Instant, table: &RoutingTable) {
        let changed: usize = self.services.values_mut().map(|service| service.queue.apply_table(now, table)).sum();
        if changed > 0 {
            emit("", &Event::ClaimsReordered { version: table.version, claims: changed });
        }
    }

    fn forget_silent(&mut self, now: Instant) {
        let silent = self.heard.iter().filter(|(_, at)| now.since(**at) >= SILENCE_LIMIT);
        let silent: HashSet<NodeId> = silent.map(|(node, _)| *node).collect();
        self.heard.retain(|node, _| !silent.contains(node));
        for service in self.services.values_mut() {
            silent.iter().for_each(|node| service.queue.withdraw_node(*node));
            service.asked.retain(|id, _| !silent.contains(&id.node));
        }
    }

    fn tell(&mut self, now: Instant) {
        let waiting: usize = self.services.values().map(|service| service.queue.len()).sum();
        if waiting > 0 && now.since(self.told_at) >= TELL_EVERY {
            self.told_at = now;
            let tenants = self.services.values().map(|service| service.queue.stored_tenants()).sum();
            emit("", &Event::ClaimsWait { claims: waiting, tenants, nodes: self.heard.len() });
        }
    }
}

impl ServiceClaims {
    fn grant<D: Dialect>(&mut self, shared: &Shared<D>, now: Instant) -> Vec<ClaimAnswer> {
        let (asked, server_wait) = (&self.asked, &mut self.server_wait);
        let mut keeps_none = false;
        let granted = self.queue.grant(now, |claim| {
            let mut request = asked.get(&claim.id)?.request.clone();
            if !claim.is_timely(now) {
                // It would be at the head of a server's queue, before others that can be in time.
                request.wait_limit_ms = 0;
            }
            let (advice, order) = reserve_server(shared, claim.id.node, &request);
            *server_wait = Duration::from_millis(u64::from(advice.wait_ms));
            keeps_none |= advice.keeps_none;
            advice.server.map(|_| (advice, order))
        });
        let answer = |granted: Granted<(v1::PlacementAdvice, Option<RoomOrder>)>| {
            let (advice, order) = granted.place;
            let id = granted.claim.id;
            let address = self.asked.remove(&id)?.address;
            Some(ClaimAnswer { node: id.node, address, advice, order })
        };
        let mut answers: Vec<ClaimAnswer> = granted.into_iter().filter_map(answer).collect();
        if keeps_none {
            answers.extend(std::mem::take(self).dissolve());
        }
        answers
    }

    /// This node keeps no servers of the service any more: all that wait are told so.
    fn dissolve(self) -> impl Iterator<Item = ClaimAnswer> {
        self.asked.into_iter().map(|(id, asked)| ClaimAnswer {
            node: id.node,
            address: asked.address,
            advice: v1::PlacementAdvice { number: id.number, keeps_none: true, ..v1::PlacementAdvice::default() },
            order: None,
        })
    }

    /// Tells a claim that its time is over.
    fn refuse(&mut self, now: Instant, refused: Refused) -> Option<ClaimAnswer> {
        let id = refused.claim.id;
        let address = self.asked.remove(&id)?.address;
        let position = self.queue.position(now, &refused.claim);
        let advice = crowded_out(id.number, refused.retry_after, &position);
        Some(ClaimAnswer { node: id.node, address, advice, order: None })
    }
}

/// A claim as a node tells it; its precedence is that of the newer table.
fn claim_of(now: Instant, node: NodeId, number: u64, message: &v1::Claim, table: &RoutingTable) -> Claim {
    let (tenant, route) = (TenantKey(message.tenant), RouteKey(message.route));
    let is_older = message.table_version < table.version;
    let by_own_table = if is_older { table.precedence(tenant, route) } else { None };
    Claim {
        id: ClaimId { node, number },
        precedence: by_own_table.unwrap_or(message.precedence),
        table_version: message.table_version.max(table.version),
        tenant,
        route,
        work: message.work,
        timely_until: now + Duration::from_millis(u64::from(message.timely_ms)),
        waits_until: now + Duration::from_millis(u64::from(message.waits_ms)),
    }
}

/// A wait is told as at least a millisecond, so that it does not look free.
fn full(number: u64, wait: Duration) -> v1::PlacementAdvice {
    let wait_ms = (wait.as_millis() as u32).max(1);
    v1::PlacementAdvice { number, wait_ms, ..v1::PlacementAdvice::default() }
}

fn queued(number: u64, position: &QueuePosition) -> v1::PlacementAdvice {
    let wait = position.wait.unwrap_or_default();
    v1::PlacementAdvice { queued: true, ..with_standing(full(number, wait), position) }
}

fn crowded_out(number: u64, retry_after: Duration, position: &QueuePosition) -> v1::PlacementAdvice {
    v1::PlacementAdvice { crowded_out: true, ..with_standing(full(number, retry_after), position) }
}

fn with_standing(advice: v1::PlacementAdvice, position: &QueuePosition) -> v1::PlacementAdvice {
    let ClaimStanding { ahead, waiting, tenant_waiting, tenants } = ClaimStanding::from(position);
    v1::PlacementAdvice {
        claims_ahead: ahead,
        claims_waiting: waiting,
        tenant_waiting,
        tenants_competing: tenants,
        ..advice
    }
}
