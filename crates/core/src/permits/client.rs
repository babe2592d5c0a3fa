//! Client side: a node requests permits from the coordinators of its tenants.

use super::{coordinators_of, Coordinator, PERMIT_TTL};
use crate::identity::NodeId;
use crate::tenants::{RateLimit, Tenant, TenantKey};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// An unanswered call is sent again after this time. A coordinator replies within 4 ms, and
/// datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(30);
/// Redirects in a row before the client waits for [`RESEND_AFTER`].
const REDIRECTS_BEFORE_BACKOFF: usize = 3;
/// Unanswered calls to one coordinator before the next one is tried.
const MAX_CALLS_PER_COORDINATOR: u32 = 2;
/// An unresponsive coordinator is tried last for this time.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(2);
/// Waiting time after which a request may use the node's local share of the limit.
const LOCAL_SHARE_AFTER: Duration = Duration::from_millis(150);
/// Maximum waiting time; an unreachable coordinator is replaced sooner.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// Retry-after time of a request that got no answer.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Share of a limit that all nodes without a coordinator may use together.
const LOCAL_SHARE: f64 = 0.3;
/// Time constant of the request rate estimate.
const RATE_TIME_CONSTANT_SECONDS: f64 = 0.5;
/// Permits requested ahead, as a share of those used within [`PERMIT_TTL`].
const AHEAD_SHARE: f64 = 0.5;
/// State of a tenant without requests is dropped after this time.
const IDLE_TTL: Duration = Duration::from_secs(10);

/// A call to a coordinator for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitCall {
    /// Coordinator that receives the call.
    pub coordinator: NodeId,
    /// Tenant that the permits are for.
    pub tenant: TenantKey,
    /// Call number, returned with the answer.
    pub number: u64,
    /// Waiting requests.
    pub urgent: u32,
    /// Further permits for expected requests.
    pub ahead: u32,
}

/// How many of a tenant's waiting requests proceed or are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitOutcome {
    /// Number of requests that proceed, first come first.
    pub admitted: u32,
    /// Number of the following requests that are refused.
    pub refused: u32,
    /// Time after which the refused requests should be retried.
    pub retry_after: Duration,
}

/// Outcome for requests of a tenant whose calls got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantOutcome {
    /// Tenant that the permits are for.
    pub tenant: TenantKey,
    /// Requests that proceed or are refused.
    pub outcome: PermitOutcome,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    number: u64,
    coordinator: NodeId,
    sent_at: Instant,
    urgent: u32,
    /// Consecutive unanswered calls to this coordinator.
    calls: u32,
}

#[derive(Clone, Debug)]
struct TenantState {
    limit: RateLimit,
    stock: u32,
    stock_until: Instant,
    /// Requests per second at `at`.
    rate: f64,
    at: Instant,
    /// Waiting requests.
    waiting: u32,
    /// Time of the last answer, or of the first waiting request.
    waiting_since: Instant,
    call: Option<Call>,
    /// Consecutive redirects to another coordinator.
    redirects: usize,
    /// No call is sent before this time.
    backoff_until: Instant,
    /// Tokens of the node's local share, used if no coordinator answers.
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

    /// Permits to hold for expected requests.
    fn ahead(&self, now: Instant) -> u32 {
        (self.rate_now(now) * PERMIT_TTL.as_secs_f64() * AHEAD_SHARE) as u32
    }

    fn needs_call(&self, now: Instant) -> bool {
        self.waiting > 0 || self.stock(now) < self.ahead(now) / 2
    }

    fn add_stock(&mut self, permits: u32, until: Instant, now: Instant) {
        self.stock = self.stock(now) + permits;
        // Older permits take the newer expiry; the bucket capacity allows for one more TTL.
        self.stock_until = until;
    }

    /// Takes a token of the node's local share of the limit.
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

/// Permits that a node holds, and its calls for more.
#[derive(Debug, Default)]
pub struct PermitClient {
    tenants: BTreeMap<TenantKey, TenantState>,
    unresponsive_until: BTreeMap<NodeId, Instant>,
    last_number: u64,
}

impl PermitClient {
    /// Takes a permit for a new request and returns true, or queues the request.
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

    /// Whether a call for permits of the tenant is due and none is outstanding.
    pub fn should_call(&self, now: Instant, tenant: TenantKey) -> bool {
        self.tenants.get(&tenant).is_some_and(|state| state.call.is_none() && state.needs_call(now))
    }

    /// Returns the permit of a request that was not sent to any server.
    pub fn return_permit(&mut self, now: Instant, tenant: TenantKey) {
        if let Some(state) = self.tenants.get_mut(&tenant) {
            let until = state.stock_until.max(now);
            state.add_stock(1, until, now);
        }
    }

    /// Returns the calls to send now; `coordinators` lists all coordinators.
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

    /// Time of the next call or timeout; `None` if no request waits.
    pub fn next_due(&self) -> Option<Instant> {
        let dues = self.tenants.values().filter(|state| state.waiting > 0);
        let due = |state: &TenantState| state.call.map_or(state.waiting_since, |call| call.sent_at) + RESEND_AFTER;
        dues.map(due).min()
    }

    /// Handles the answer to call `number`; expired permits are dropped.
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
        let admitted = granted.min(state.waiting);
        let refused = call.urgent.saturating_sub(granted).min(state.waiting - admitted);
        state.waiting -= admitted + refused;
        state.waiting_since = now;
        if granted > admitted {
            state.add_stock(granted - admitted, until, now);
        }
        PermitOutcome { admitted, refused, retry_after }
    }

    /// Handles a redirect: the called node does not coordinate the tenant now.
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

    /// Resolves requests that waited too long: those within the node's local share proceed,
    /// and the others are refused after [`MAX_WAIT`]. `nodes` is the number of nodes that
    /// accept requests.
    pub fn overdue(&mut self, now: Instant, nodes: usize) -> Vec<TenantOutcome> {
        let mut result = Vec::new();
        for (tenant, state) in &mut self.tenants {
            let waited = now.since(state.waiting_since);
            if state.waiting == 0 || waited < LOCAL_SHARE_AFTER {
                continue;
            }
            let mut outcome = PermitOutcome { retry_after: DEFAULT_RETRY_AFTER, ..PermitOutcome::default() };
            if state.take_local(now, nodes) {
                outcome.admitted = 1;
            }
            if waited >= MAX_WAIT {
                outcome.refused = state.waiting - outcome.admitted;
            }
            state.waiting -= outcome.admitted + outcome.refused;
            if outcome.admitted + outcome.refused > 0 {
                result.push(TenantOutcome { tenant: *tenant, outcome });
            }
        }
        result
    }
}
