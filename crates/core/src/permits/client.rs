//! A node that has requests of tenants: it asks their homes for permits.

use super::{coordinators_of, Coordinator, PERMIT_TTL};
use crate::identity::NodeId;
use crate::tenants::{RateLimit, Tenant, TenantKey};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// A call without an answer is made again after this time: a home answers within
/// 4 ms, and datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(30);
/// Homes that may send a call on to another one before it rests for that time.
const REDIRECTS_BEFORE_BACKOFF: usize = 3;
/// Calls to one home before the next one is asked.
const MAX_CALLS_PER_COORDINATOR: u32 = 2;
/// A home that gave no answer is asked last for this time.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(2);
/// A request that waits for this time without an answer may use the node's own part.
const LOCAL_SHARE_AFTER: Duration = Duration::from_millis(150);
/// Longest time that a request waits: a home that is away is replaced within 0.5 s.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// What a request is told that waited in vain.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// All nodes that reach no home use this part of a limit together.
const LOCAL_SHARE: f64 = 0.3;
/// Time over which requests are counted to know how many come.
const RATE_TIME_CONSTANT_SECONDS: f64 = 0.5;
/// Part of the permits used in their life that are asked for ahead.
const AHEAD_SHARE: f64 = 0.5;
/// Tenants without a request for this time are forgotten.
const IDLE_TTL: Duration = Duration::from_secs(10);

/// A call to a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitCall {
    /// Home that is asked.
    pub coordinator: NodeId,
    /// Tenant.
    pub tenant: TenantKey,
    /// Number of the call.
    pub number: u64,
    /// Requests that wait.
    pub urgent: u32,
    /// Permits that will be needed soon.
    pub ahead: u32,
}

/// What an answer means for the requests that wait for a tenant's permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitOutcome {
    /// So many may go on, the first ones.
    pub go: u32,
    /// So many of the next ones are refused.
    pub refused: u32,
    /// Time after which they may come back.
    pub retry_after: Duration,
}

/// What waiting means for the requests of a tenant that had no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantOutcome {
    /// Tenant.
    pub tenant: TenantKey,
    /// The outcome.
    pub answered: PermitOutcome,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    number: u64,
    coordinator: NodeId,
    sent_at: Instant,
    urgent: u32,
    /// Calls to this home in a row.
    calls: u32,
}

#[derive(Clone, Debug)]
struct TenantState {
    limit: RateLimit,
    stock: u32,
    stock_until: Instant,
    /// Requests a second, and when that was reckoned.
    rate: f64,
    at: Instant,
    /// Requests that wait.
    waiting: u32,
    /// Since when none of them got an answer.
    waiting_since: Instant,
    call: Option<Call>,
    /// Homes in a row that said that another one is to be asked.
    redirects: usize,
    /// No home is asked before this time.
    backoff_until: Instant,
    /// The node's own part, used where no home answers.
    local_tokens: f64,
    local_updated_at: Instant,
}

impl TenantState {
    fn new(now: Instant, limit: RateLimit) -> Self {
        Self {
            limit,
            stock: 0,
            stock_until: now,
            rate: 0.0,
            at: now,
            waiting: 0,
            waiting_since: now,
            call: None,
            redirects: 0,
            backoff_until: now,
            local_tokens: 0.0,
            local_updated_at: now,
        }
    }

    fn rate_now(&self, now: Instant) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / RATE_TIME_CONSTANT_SECONDS).exp()
    }

    fn note_arrival(&mut self, now: Instant) {
        self.rate = self.rate_now(now) + 1.0 / RATE_TIME_CONSTANT_SECONDS;
        self.at = now;
    }

    fn stock(&self, now: Instant) -> u32 {
        if now < self.stock_until {
            self.stock
        } else {
            0
        }
    }

    /// Permits to hold for requests to come.
    fn ahead(&self, now: Instant) -> u32 {
        (self.rate_now(now) * PERMIT_TTL.as_secs_f64() * AHEAD_SHARE) as u32
    }

    fn needs_call(&self, now: Instant) -> bool {
        self.waiting > 0 || self.stock(now) < self.ahead(now) / 2
    }

    fn add_stock(&mut self, permits: u32, until: Instant, now: Instant) {
        self.stock = self.stock(now) + permits;
        // Older ones count by the newer end: a home reckons with one life more.
        self.stock_until = until;
    }

    /// Takes one of the node's own part of the limit.
    fn take_local(&mut self, now: Instant, nodes: usize) -> bool {
        let rate = self.limit.per_second * LOCAL_SHARE / nodes.max(1) as f64;
        self.local_tokens = (self.local_tokens + now.since(self.local_updated_at).as_secs_f64() * rate).min(1.0);
        self.local_updated_at = now;
        let takes = self.local_tokens >= 1.0;
        if takes {
            self.local_tokens -= 1.0;
        }
        takes
    }
}

/// The permits that a node holds and asks for.
#[derive(Debug, Default)]
pub struct PermitClient {
    tenants: BTreeMap<TenantKey, TenantState>,
    unresponsive_until: BTreeMap<NodeId, Instant>,
    last_number: u64,
}

impl PermitClient {
    /// A request of a tenant came: it takes a permit, or waits for one.
    /// Gives back whether it may go on.
    pub fn take(&mut self, now: Instant, tenant: &Tenant) -> bool {
        let state = self.tenants.entry(tenant.key).or_insert_with(|| TenantState::new(now, tenant.limit));
        state.limit = tenant.limit;
        state.note_arrival(now);
        if state.waiting == 0 && state.stock(now) > 0 {
            state.stock -= 1;
            return true;
        }
        if state.waiting == 0 {
            state.waiting_since = now;
        }
        state.waiting += 1;
        false
    }

    /// Whether permits of a tenant are to be asked for ahead.
    pub fn should_call(&self, now: Instant, tenant: TenantKey) -> bool {
        self.tenants.get(&tenant).is_some_and(|state| state.call.is_none() && state.needs_call(now))
    }

    /// A request that had a permit was not sent to any server.
    pub fn return_permit(&mut self, now: Instant, tenant: TenantKey) {
        if let Some(state) = self.tenants.get_mut(&tenant) {
            let until = state.stock_until.max(now);
            state.add_stock(1, until, now);
        }
    }

    /// Calls that are to be made now. `coordinators` are all homes.
    pub fn calls(&mut self, now: Instant, coordinators: &[Coordinator]) -> Vec<PermitCall> {
        self.tenants.retain(|_, state| state.waiting > 0 || now.since(state.at) < IDLE_TTL);
        self.unresponsive_until.retain(|_, until| now < *until);
        let mut due_calls = Vec::new();
        for (tenant, state) in &mut self.tenants {
            let overdue = state.call.filter(|call| now.since(call.sent_at) >= RESEND_AFTER);
            if let Some(call) = overdue.filter(|call| call.calls >= MAX_CALLS_PER_COORDINATOR) {
                self.unresponsive_until.insert(call.coordinator, now + UNRESPONSIVE_TTL);
                state.redirects = 0;
            }
            let answer_may_come = state.call.is_some() && overdue.is_none();
            if answer_may_come || now < state.backoff_until {
                continue;
            }
            state.call = None;
            if !state.needs_call(now) {
                continue;
            }
            let mut ordered = coordinators_of(*tenant, coordinators);
            ordered.sort_by_key(|coordinator| self.unresponsive_until.contains_key(coordinator));
            let Some(coordinator) = ordered.get(state.redirects % ordered.len().max(1)).copied() else { continue };
            let calls = overdue.filter(|call| call.coordinator == coordinator).map_or(0, |call| call.calls);
            self.last_number += 1;
            let permit_call = PermitCall {
                coordinator,
                tenant: *tenant,
                number: self.last_number,
                urgent: state.waiting,
                ahead: state.ahead(now).saturating_sub(state.stock(now)),
            };
            let (number, urgent) = (permit_call.number, permit_call.urgent);
            state.call = Some(Call { number, coordinator, sent_at: now, urgent, calls: calls + 1 });
            due_calls.push(permit_call);
        }
        due_calls
    }

    /// Time at which something is to be done without news; `None` if nothing waits.
    pub fn next_due(&self) -> Option<Instant> {
        let dues = self.tenants.values().filter(|state| state.waiting > 0);
        let due = |state: &TenantState| state.call.map_or(state.waiting_since, |call| call.sent_at) + RESEND_AFTER;
        dues.map(due).min()
    }

    /// A home answered the call of that number. A permit that comes too late for
    /// its life is not used.
    pub fn note_grant(
        &mut self,
        now: Instant,
        tenant: TenantKey,
        number: u64,
        granted: u32,
        retry_after: Duration,
    ) -> PermitOutcome {
        let Some(state) = self.tenants.get_mut(&tenant) else { return PermitOutcome::default() };
        let Some(call) = state.call.filter(|call| call.number == number) else { return PermitOutcome::default() };
        state.call = None;
        state.redirects = 0;
        self.unresponsive_until.remove(&call.coordinator);
        let until = call.sent_at + PERMIT_TTL;
        let granted = if now < until { granted } else { 0 };
        let go = granted.min(state.waiting);
        let refused = call.urgent.saturating_sub(granted).min(state.waiting - go);
        state.waiting -= go + refused;
        state.waiting_since = now;
        if granted > go {
            state.add_stock(granted - go, until, now);
        }
        PermitOutcome { go, refused, retry_after }
    }

    /// A home said that another one is to be asked.
    pub fn note_not_coordinator(&mut self, now: Instant, tenant: TenantKey, number: u64) {
        let Some(state) = self.tenants.get_mut(&tenant) else { return };
        let Some(call) = state.call.filter(|call| call.number == number) else { return };
        self.unresponsive_until.remove(&call.coordinator);
        state.call = None;
        state.redirects += 1;
        if state.redirects % REDIRECTS_BEFORE_BACKOFF == 0 {
            state.backoff_until = now + RESEND_AFTER;
        }
    }

    /// Requests that waited for too long: those for which the node's own part is
    /// enough go on, the others are refused in the end. `nodes` is the number of
    /// all nodes that take requests.
    pub fn overdue(&mut self, now: Instant, nodes: usize) -> Vec<TenantOutcome> {
        let mut result = Vec::new();
        for (tenant, state) in &mut self.tenants {
            let waited = now.since(state.waiting_since);
            if state.waiting == 0 || waited < LOCAL_SHARE_AFTER {
                continue;
            }
            let mut answered = PermitOutcome { retry_after: DEFAULT_RETRY_AFTER, ..PermitOutcome::default() };
            if state.take_local(now, nodes) {
                answered.go = 1;
            }
            if waited >= MAX_WAIT {
                answered.refused = state.waiting - answered.go;
            }
            state.waiting -= answered.go + answered.refused;
            if answered.go + answered.refused > 0 {
                result.push(TenantOutcome { tenant: *tenant, answered });
            }
        }
        result
    }
}
