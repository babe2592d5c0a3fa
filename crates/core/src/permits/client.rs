//! A node that has requests of tenants: it asks their homes for permits.

use super::{coordinators_of, Coordinator, PERMIT_TTL};
use crate::identity::NodeId;
use crate::tenants::{RateLimit, Tenant, TenantKey};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// A call without an answer is made again after this time: a home answers within
/// 4 ms, and datagrams may be lost.
const ASK_AGAIN: Duration = Duration::from_millis(30);
/// Homes that may send a call on to another one before it rests for that time.
const HOPS_BEFORE_REST: usize = 3;
/// Calls to one home before the next one is asked.
const CALLS_TO_ONE_HOME: u32 = 2;
/// A home that gave no answer is asked last for this time.
const SILENT_TIME: Duration = Duration::from_secs(2);
/// A request that waits for this time without an answer may use the node's own part.
const OWN_PART_AFTER: Duration = Duration::from_millis(150);
/// Longest time that a request waits: a home that is away is replaced within 0.5 s.
const LONGEST_WAIT: Duration = Duration::from_millis(700);
/// What a request is told that waited in vain.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// All nodes that reach no home use this part of a limit together.
const OWN_PART: f64 = 0.3;
/// Time over which requests are counted to know how many come.
const RATE_TIME: f64 = 0.5;
/// Part of the permits used in their life that are asked for ahead.
const AHEAD_PART: f64 = 0.5;
/// Tenants without a request for this time are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

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
struct Held {
    limit: RateLimit,
    stock: u32,
    stock_until: Instant,
    /// Requests a second, and when that was reckoned.
    rate: f64,
    at: Instant,
    /// Requests that wait.
    waiting: u32,
    /// Since when none of them got an answer.
    waits_since: Instant,
    call: Option<Call>,
    /// Homes in a row that said that another one is to be asked.
    hops: usize,
    /// No home is asked before this time.
    rests_until: Instant,
    /// The node's own part, used where no home answers.
    own: f64,
    own_at: Instant,
}

impl Held {
    fn new(now: Instant, limit: RateLimit) -> Self {
        Self {
            limit,
            stock: 0,
            stock_until: now,
            rate: 0.0,
            at: now,
            waiting: 0,
            waits_since: now,
            call: None,
            hops: 0,
            rests_until: now,
            own: 0.0,
            own_at: now,
        }
    }

    fn rate_now(&self, now: Instant) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / RATE_TIME).exp()
    }

    fn note_arrival(&mut self, now: Instant) {
        self.rate = self.rate_now(now) + 1.0 / RATE_TIME;
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
        (self.rate_now(now) * PERMIT_TTL.as_secs_f64() * AHEAD_PART) as u32
    }

    fn wants(&self, now: Instant) -> bool {
        self.waiting > 0 || self.stock(now) < self.ahead(now) / 2
    }

    fn add_stock(&mut self, permits: u32, until: Instant, now: Instant) {
        self.stock = self.stock(now) + permits;
        // Older ones count by the newer end: a home reckons with one life more.
        self.stock_until = until;
    }

    /// Takes one of the node's own part of the limit.
    fn take_own(&mut self, now: Instant, nodes: usize) -> bool {
        let rate = self.limit.per_second * OWN_PART / nodes.max(1) as f64;
        self.own = (self.own + now.since(self.own_at).as_secs_f64() * rate).min(1.0);
        self.own_at = now;
        let takes = self.own >= 1.0;
        if takes {
            self.own -= 1.0;
        }
        takes
    }
}

/// The permits that a node holds and asks for.
#[derive(Debug, Default)]
pub struct PermitClient {
    tenants: BTreeMap<TenantKey, Held>,
    silent_until: BTreeMap<NodeId, Instant>,
    last_number: u64,
}

impl PermitClient {
    /// A request of a tenant came: it takes a permit, or waits for one.
    /// Gives back whether it may go on.
    pub fn take(&mut self, now: Instant, tenant: &Tenant) -> bool {
        let held = self.tenants.entry(tenant.key).or_insert_with(|| Held::new(now, tenant.limit));
        held.limit = tenant.limit;
        held.note_arrival(now);
        if held.waiting == 0 && held.stock(now) > 0 {
            held.stock -= 1;
            return true;
        }
        if held.waiting == 0 {
            held.waits_since = now;
        }
        held.waiting += 1;
        false
    }

    /// Whether permits of a tenant are to be asked for ahead.
    pub fn is_short(&self, now: Instant, tenant: TenantKey) -> bool {
        self.tenants.get(&tenant).is_some_and(|held| held.call.is_none() && held.wants(now))
    }

    /// A request that had a permit was not sent to any server.
    pub fn give_back(&mut self, now: Instant, tenant: TenantKey) {
        if let Some(held) = self.tenants.get_mut(&tenant) {
            let until = held.stock_until.max(now);
            held.add_stock(1, until, now);
        }
    }

    /// Calls that are to be made now. `coordinators` are all homes.
    pub fn calls(&mut self, now: Instant, coordinators: &[Coordinator]) -> Vec<PermitCall> {
        self.tenants.retain(|_, held| held.waiting > 0 || now.since(held.at) < FORGET_AFTER);
        self.silent_until.retain(|_, until| now < *until);
        let mut asks = Vec::new();
        for (tenant, held) in &mut self.tenants {
            let overdue = held.call.filter(|call| now.since(call.sent_at) >= ASK_AGAIN);
            if let Some(call) = overdue.filter(|call| call.calls >= CALLS_TO_ONE_HOME) {
                self.silent_until.insert(call.coordinator, now + SILENT_TIME);
                held.hops = 0;
            }
            let answer_may_come = held.call.is_some() && overdue.is_none();
            if answer_may_come || now < held.rests_until {
                continue;
            }
            held.call = None;
            if !held.wants(now) {
                continue;
            }
            let mut ordered = coordinators_of(*tenant, coordinators);
            ordered.sort_by_key(|coordinator| self.silent_until.contains_key(coordinator));
            let Some(coordinator) = ordered.get(held.hops % ordered.len().max(1)).copied() else { continue };
            let calls = overdue.filter(|call| call.coordinator == coordinator).map_or(0, |call| call.calls);
            self.last_number += 1;
            let ask = PermitCall {
                coordinator,
                tenant: *tenant,
                number: self.last_number,
                urgent: held.waiting,
                ahead: held.ahead(now).saturating_sub(held.stock(now)),
            };
            let (number, urgent) = (ask.number, ask.urgent);
            held.call = Some(Call { number, coordinator, sent_at: now, urgent, calls: calls + 1 });
            asks.push(ask);
        }
        asks
    }

    /// Time at which something is to be done without news; `None` if nothing waits.
    pub fn next_due(&self) -> Option<Instant> {
        let dues = self.tenants.values().filter(|held| held.waiting > 0);
        let due = |held: &Held| held.call.map_or(held.waits_since, |call| call.sent_at) + ASK_AGAIN;
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
        let Some(held) = self.tenants.get_mut(&tenant) else { return PermitOutcome::default() };
        let Some(call) = held.call.filter(|call| call.number == number) else { return PermitOutcome::default() };
        held.call = None;
        held.hops = 0;
        self.silent_until.remove(&call.coordinator);
        let until = call.sent_at + PERMIT_TTL;
        let granted = if now < until { granted } else { 0 };
        let go = granted.min(held.waiting);
        let refused = call.urgent.saturating_sub(granted).min(held.waiting - go);
        held.waiting -= go + refused;
        held.waits_since = now;
        if granted > go {
            held.add_stock(granted - go, until, now);
        }
        PermitOutcome { go, refused, retry_after }
    }

    /// A home said that another one is to be asked.
    pub fn note_not_coordinator(&mut self, now: Instant, tenant: TenantKey, number: u64) {
        let Some(held) = self.tenants.get_mut(&tenant) else { return };
        let Some(call) = held.call.filter(|call| call.number == number) else { return };
        self.silent_until.remove(&call.coordinator);
        held.call = None;
        held.hops += 1;
        if held.hops % HOPS_BEFORE_REST == 0 {
            held.rests_until = now + ASK_AGAIN;
        }
    }

    /// Requests that waited for too long: those for which the node's own part is
    /// enough go on, the others are refused in the end. `nodes` is the number of
    /// all nodes that take requests.
    pub fn overdue(&mut self, now: Instant, nodes: usize) -> Vec<TenantOutcome> {
        let mut result = Vec::new();
        for (tenant, held) in &mut self.tenants {
            let waited = now.since(held.waits_since);
            if held.waiting == 0 || waited < OWN_PART_AFTER {
                continue;
            }
            let mut answered = PermitOutcome { retry_after: DEFAULT_RETRY_AFTER, ..PermitOutcome::default() };
            if held.take_own(now, nodes) {
                answered.go = 1;
            }
            if waited >= LONGEST_WAIT {
                answered.refused = held.waiting - answered.go;
            }
            held.waiting -= answered.go + answered.refused;
            if answered.go + answered.refused > 0 {
                result.push(TenantOutcome { tenant: *tenant, answered });
            }
        }
        result
    }
}
