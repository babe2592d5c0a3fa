//! Permits of tenants: requests that wait for one, and the calls between nodes.
//!
//! [`latchwheel_core::permits`] decides; here requests wait and messages are made.

use latchwheel_clock::Clock;
use latchwheel_core::identity::NodeId;
use latchwheel_core::permits::{
    coordinators_of, Coordinator, LimitMargin, PermitCall, PermitClient, PermitIssuer, PermitOutcome,
};
use latchwheel_core::tenants::{Tenant, TenantKey, Tenants};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};

/// A request is refused after this time at the latest, also where nobody
/// exchanges messages with other nodes.
const LATEST: Duration = Duration::from_millis(1000);
/// Time between two looks of a home at whom it hears.
const HOME_TICK: Duration = Duration::from_millis(50);
/// What such a request is told.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Whether a request may go on, or when it may come back.
type Outcome = Result<(), Duration>;

#[derive(Debug)]
struct State {
    holder: PermitClient,
    home: PermitIssuer,
    ticked_at: Instant,
    waiters: HashMap<TenantKey, VecDeque<oneshot::Sender<Outcome>>>,
}

/// The permits of a node, as a holder and as a home.
#[derive(Debug)]
pub struct Permits {
    clock: Clock,
    state: Mutex<State>,
    /// A request waits that no call was made for.
    pub(crate) wanted: Notify,
}

impl Permits {
    /// No permits yet; limits may be exceeded by this margin.
    pub fn new(clock: Clock, margin: LimitMargin) -> Self {
        let now = clock.now();
        let home = PermitIssuer::new(now, margin);
        let state = State { holder: PermitClient::default(), home, ticked_at: now, waiters: HashMap::new() };
        Self { clock, state: Mutex::new(state), wanted: Notify::new() }
    }

    /// Waits until a request of the tenant may go on.
    ///
    /// # Errors
    /// The time after which it may come back, if the tenant's limit is used up.
    pub async fn admit(&self, tenant: &Tenant) -> Outcome {
        if !tenant.limit.is_limited() {
            return Ok(());
        }
        let answer = {
            let mut state = self.lock();
            let now = self.clock.now();
            if state.holder.take(now, tenant) {
                if state.holder.should_call(now, tenant.key) {
                    self.wanted.notify_one();
                }
                return Ok(());
            }
            let (sender, answer) = oneshot::channel();
            state.waiters.entry(tenant.key).or_default().push_back(sender);
            answer
        };
        self.wanted.notify_one();
        match tokio::time::timeout(LATEST, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(DEFAULT_RETRY_AFTER),
        }
    }

    /// A request that had a permit was not sent to any server.
    pub fn give_back(&self, tenant: &Tenant) {
        if tenant.limit.is_limited() {
            self.lock().holder.return_permit(self.clock.now(), tenant.key);
        }
    }

    /// Another node was heard; `nodes` is the number of all other nodes.
    pub(crate) fn note_heard(&self, node: NodeId, nodes: usize) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.home.note_contact(now, node);
        state.tick_home(now, nodes);
    }

    /// Time passes at a home; `nodes` is the number of all other nodes.
    pub(crate) fn tick_home(&self, nodes: usize) {
        let now = self.clock.now();
        self.lock().tick_home(now, nodes);
    }

    /// Calls that are to be made now; those to this node itself are answered at
    /// once. `nodes` is the number of all other nodes.
    pub(crate) fn calls(&self, own: NodeId, homes: &[Coordinator], nodes: usize, tenants: &Tenants) -> Vec<PermitCall> {
        let now = self.clock.now();
        let mut state = self.lock();
        for waited in state.holder.overdue(now, nodes + 1) {
            state.settle(now, waited.tenant, waited.outcome);
        }
        let calls = state.holder.calls(now, homes);
        let (to_self, to_others): (Vec<_>, Vec<_>) = calls.into_iter().partition(|ask| ask.coordinator == own);
        for ask in to_self {
            let grant = state.answer(now, own, homes, tenants, &request_of(&ask));
            state.take_grant(now, &grant);
        }
        to_others
    }

    /// Answers another node's calls.
    pub(crate) fn answer(
        &self,
        own: NodeId,
        homes: &[Coordinator],
        tenants: &Tenants,
        requests: &[v1::PermitRequest],
    ) -> Vec<v1::PermitGrant> {
        let now = self.clock.now();
        let mut state = self.lock();
        requests.iter().map(|request| state.answer(now, own, homes, tenants, request)).collect()
    }

    /// Takes a home's answers.
    pub(crate) fn take_grants(&self, grants: &[v1::PermitGrant]) {
        let now = self.clock.now();
        let mut state = self.lock();
        grants.iter().for_each(|grant| state.take_grant(now, grant));
        drop(state);
        // What waits still, or has to ask another home, is looked at again.
        self.wanted.notify_one();
    }

    /// Time until something is to be done without news.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.lock().holder.next_due().map(|at| at.since(self.clock.now()))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn tick_home(&mut self, now: Instant, nodes: usize) {
        if now.since(self.ticked_at) >= HOME_TICK {
            self.ticked_at = now;
            self.home.tick(now, nodes);
        }
    }

    fn answer(
        &mut self,
        now: Instant,
        own: NodeId,
        homes: &[Coordinator],
        tenants: &Tenants,
        request: &v1::PermitRequest,
    ) -> v1::PermitGrant {
        let key = TenantKey(request.tenant);
        let ordered = coordinators_of(key, homes);
        let place = ordered.iter().position(|home| *home == own);
        let since = place.and_then(|place| self.home.may_grant(now, &ordered[..place]));
        let (Some(since), Some(tenant)) = (since, tenants.get(key)) else {
            let (tenant, number) = (request.tenant, request.number);
            return v1::PermitGrant { tenant, number, not_home: true, ..v1::PermitGrant::default() };
        };
        let grant = self.home.grant(now, key, &tenant.limit, since, request.urgent, request.ahead);
        v1::PermitGrant {
            tenant: request.tenant,
            number: request.number,
            granted: grant.granted,
            come_back_ms: grant.retry_after.as_millis() as u32,
            not_home: false,
        }
    }

    fn take_grant(&mut self, now: Instant, grant: &v1::PermitGrant) {
        let tenant = TenantKey(grant.tenant);
        if grant.not_home {
            self.holder.note_not_coordinator(now, tenant, grant.number);
            return;
        }
        let retry_after = Duration::from_millis(u64::from(grant.come_back_ms));
        let answered = self.holder.note_grant(now, tenant, grant.number, grant.granted, retry_after);
        self.settle(now, tenant, answered);
    }

    /// Tells the requests that waited longest.
    fn settle(&mut self, now: Instant, tenant: TenantKey, answered: PermitOutcome) {
        let Some(waiters) = self.waiters.get_mut(&tenant) else { return };
        for _ in 0..answered.admitted {
            let gone = waiters.pop_front().is_none_or(|waiter| waiter.send(Ok(())).is_err());
            if gone {
                self.holder.return_permit(now, tenant);
            }
        }
        for _ in 0..answered.refused {
            // Whoever is gone needs no answer.
            let _ = waiters.pop_front().map(|waiter| waiter.send(Err(answered.retry_after)));
        }
        if waiters.is_empty() {
            self.waiters.remove(&tenant);
        }
    }
}

/// A call as it goes to a home.
pub(crate) fn request_of(ask: &PermitCall) -> v1::PermitRequest {
    v1::PermitRequest { tenant: ask.tenant.0, number: ask.number, urgent: ask.urgent, ahead: ask.ahead }
}
