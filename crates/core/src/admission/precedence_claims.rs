//! Claims of one precedence, and fair shares among their tenants.

use super::claim::{Claim, ClaimId};
use super::drain::DrainRate;
use crate::tenants::TenantKey;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Number of tenants without a waiting claim whose shares are stored. Beyond it the ones
/// with the earliest virtual finish times are evicted, which gains them least.
pub const TENANT_LIMIT: usize = 1024;

/// The claims of one tenant, by deadline.
#[derive(Debug, Default)]
struct TenantClaims {
    /// Virtual finish time of the work granted to the tenant.
    finish: u64,
    timely: BTreeMap<(Instant, ClaimId), Claim>,
    /// Claims that can't be in time any more.
    late: BTreeMap<(Instant, ClaimId), Claim>,
    /// Rate of slots granted to the tenant.
    drain: DrainRate,
}

/// Sort key of tenants: whether the first claim is late, virtual start time, deadline, id.
type ServingOrder = (bool, u64, Instant, ClaimId);

impl TenantClaims {
    fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    fn add(&mut self, now: Instant, claim: Claim) {
        self.drain.tick(now);
        if claim.is_timely(now) {
            self.timely.insert((claim.timely_until, claim.id), claim);
        } else {
            self.late.insert((claim.waits_until, claim.id), claim);
        }
    }

    /// Moves claims that can't be in time any more to the late ones.
    fn move_late(&mut self, now: Instant, newly_late: &mut Vec<Claim>) {
        while let Some(entry) = self.timely.first_entry().filter(|entry| !entry.get().is_timely(now)) {
            let claim = entry.remove();
            self.late.insert((claim.waits_until, claim.id), claim);
            newly_late.push(claim);
        }
    }

    fn serving_order(&self, virtual_time: u64) -> Option<ServingOrder> {
        let start = self.finish.max(virtual_time);
        let timely = self.timely.first_key_value().map(|((until, id), _)| (false, start, *until, *id));
        timely.or_else(|| self.late.first_key_value().map(|((until, id), _)| (true, start, *until, *id)))
    }

    fn claim(&self, id: ClaimId) -> Option<Claim> {
        self.claims().find(|claim| claim.id == id).copied()
    }

    fn remove(&mut self, id: ClaimId) -> Option<Claim> {
        let remove_from = |claims: &mut BTreeMap<(Instant, ClaimId), Claim>| {
            let key = claims.keys().find(|(_, other)| *other == id).copied()?;
            claims.remove(&key)
        };
        remove_from(&mut self.timely).or_else(|| remove_from(&mut self.late))
    }

    fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.timely.values().chain(self.late.values())
    }
}

/// Tenants without claims whose granted work still counts against their share.
#[derive(Debug, Default)]
struct IdleTenants {
    finishes: HashMap<TenantKey, u64>,
    /// The same by virtual finish time.
    order: BTreeSet<(u64, TenantKey)>,
}

impl IdleTenants {
    fn insert(&mut self, tenant: TenantKey, finish: u64) {
        self.finishes.insert(tenant, finish);
        self.order.insert((finish, tenant));
    }

    fn remove(&mut self, tenant: TenantKey) -> Option<u64> {
        let finish = self.finishes.remove(&tenant)?;
        self.order.remove(&(finish, tenant));
        Some(finish)
    }

    /// Removes tenants whose finish time has passed, and the earliest ones above the limit.
    fn evict(&mut self, virtual_time: u64) {
        while let Some((finish, tenant)) = self.order.first().copied() {
            if finish > virtual_time && self.order.len() <= TENANT_LIMIT {
                return;
            }
            self.remove(tenant);
        }
    }
}

/// Claims of one precedence.
#[derive(Debug, Default)]
pub(super) struct PrecedenceClaims {
    /// Tenants with claims.
    tenants: HashMap<TenantKey, TenantClaims>,
    idle: IdleTenants,
    /// Virtual start time of the claim granted last; never decreases.
    virtual_time: u64,
    waiting: usize,
    /// Rate of slots granted to claims that can be in time.
    timely_drain: DrainRate,
    /// Rate of slots granted to late claims.
    late_drain: DrainRate,
    has_timely: bool,
    has_late: bool,
    /// Claims that became late since the last [`Self::take_newly_late`].
    newly_late: Vec<Claim>,
    /// Slots granted in a row to higher precedences while a claim of this one waited.
    pub(super) passed_over: u32,
}

impl PrecedenceClaims {
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    pub(super) fn add(&mut self, now: Instant, claim: Claim) {
        let idle = &mut self.idle;
        let tenant = self.tenants.entry(claim.tenant).or_insert_with(|| TenantClaims {
            finish: idle.remove(claim.tenant).unwrap_or_default(),
            ..TenantClaims::default()
        });
        tenant.add(now, claim);
        self.waiting += 1;
        self.has_timely |= claim.is_timely(now);
        self.has_late |= !claim.is_timely(now);
    }

    /// Up to `limit` claims to try for one slot: the first one of each tenant in serving order,
    /// then further claims of these tenants. Several, since a claim may be unable to use the
    /// server with a free slot.
    pub(super) fn candidates(&mut self, now: Instant, limit: usize) -> Vec<Claim> {
        let virtual_time = self.virtual_time;
        let mut candidates: Vec<(ServingOrder, TenantKey)> = Vec::new();
        for (key, tenant) in &mut self.tenants {
            tenant.move_late(now, &mut self.newly_late);
            candidates.extend(tenant.serving_order(virtual_time).map(|serving_order| (serving_order, *key)));
        }
        self.has_timely = self.tenants.values().any(|tenant| !tenant.timely.is_empty());
        self.has_late = self.tenants.values().any(|tenant| !tenant.late.is_empty());
        if candidates.len() > limit {
            candidates.select_nth_unstable(limit);
            candidates.truncate(limit);
        }
        candidates.sort_unstable();
        let tenants = candidates.iter().filter_map(|(_, key)| self.tenants.get(key));
        let first = tenants.clone().filter_map(|tenant| tenant.claims().next());
        let further = tenants.flat_map(|tenant| tenant.claims().skip(1));
        first.chain(further).take(limit).copied().collect()
    }

    /// Removes a claim that gets a slot, and charges its tenant with the work.
    pub(super) fn grant(&mut self, now: Instant, claim: &Claim) {
        if let Some(tenant) = self.tenants.get_mut(&claim.tenant) {
            tenant.drain.tick(now);
            tenant.drain.note_granted();
            let start = tenant.finish.max(self.virtual_time);
            self.virtual_time = start;
            let drain = if claim.is_timely(now) { &mut self.timely_drain } else { &mut self.late_drain };
            drain.note_granted();
            tenant.finish = start.saturating_add(claim.work);
        }
        self.remove(claim.tenant, claim.id);
    }

    pub(super) fn remove(&mut self, tenant: TenantKey, id: ClaimId) -> Option<Claim> {
        let claims = self.tenants.get_mut(&tenant)?;
        let claim = claims.remove(id)?;
        self.waiting -= 1;
        if claims.len() == 0 {
            self.idle.insert(tenant, claims.finish);
            self.tenants.remove(&tenant);
        }
        self.idle.evict(self.virtual_time);
        Some(claim)
    }

    /// Number of claims of this precedence served before a claim that gets its slot in time or
    /// late: those of its tenant, and at most one more of each other tenant.
    pub(super) fn ahead_of(&self, claim: &Claim, in_time: bool) -> usize {
        let own = self.tenants.get(&claim.tenant).map_or(0, |tenant| tenant.ahead_of(claim, in_time));
        let others = self.tenants.iter().filter(|(key, _)| **key != claim.tenant);
        own + others.map(|(_, tenant)| tenant.competing(in_time).min(own + 1)).sum::<usize>()
    }

    /// Expected wait of a claim: the longer one by the rate of timely or late claims and by the
    /// rate of its tenant. The latter counts only if the tenant has its fair share of the claims
    /// or more, since tenants with less get slots as they need them.
    pub(super) fn expected_wait(&self, claim: &Claim, in_time: bool) -> Option<Duration> {
        let tenant = self.tenants.get(&claim.tenant).filter(|tenant| tenant.len() * self.tenants.len() >= self.waiting);
        let by_tenant = tenant.and_then(|tenant| tenant.expected_wait(claim, in_time));
        by_tenant.max(self.wait_by_timeliness(claim, in_time))
    }

    fn wait_by_timeliness(&self, claim: &Claim, in_time: bool) -> Option<Duration> {
        if in_time {
            return self.timely_drain.time_with_competition((self.ahead_of(claim, true) + 1) as f64);
        }
        let own = self.tenants.get(&claim.tenant).map_or(0, |tenant| tenant.late_ahead_of(claim));
        let others = self.tenants.iter().filter(|(key, _)| **key != claim.tenant);
        let ahead = own + others.map(|(_, tenant)| tenant.late.len().min(own + 1)).sum::<usize>();
        self.late_drain.time_with_competition((ahead + 1) as f64)
    }

    /// Counts waiting time for timely and for late claims, if there are any.
    pub(super) fn tick(&mut self, now: Instant) {
        for (drain, counts) in [(&mut self.timely_drain, self.has_timely), (&mut self.late_drain, self.has_late)] {
            drain.tick(now);
            if !counts {
                drain.set_idle();
            }
        }
    }

    /// Takes the claims that became late since the last call. They are served after others
    /// now, so the caller has to check again whether they will get a slot.
    pub(super) fn take_newly_late(&mut self) -> Vec<Claim> {
        std::mem::take(&mut self.newly_late)
    }

    /// Whether any waiting claim can still be in time. Checks the latest deadline of each tenant.
    pub(super) fn has_timely(&self, now: Instant) -> bool {
        let mut last = self.tenants.values().filter_map(|tenant| tenant.timely.last_key_value());
        last.any(|(_, claim)| claim.is_timely(now))
    }

    /// Number of tenants with waiting claims.
    pub(super) fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    pub(super) fn waiting_of(&self, tenant: TenantKey) -> usize {
        self.tenants.get(&tenant).map_or(0, TenantClaims::len)
    }

    pub(super) fn claim(&self, tenant: TenantKey, id: ClaimId) -> Option<Claim> {
        self.tenants.get(&tenant)?.claim(id)
    }

    pub(super) fn stored_tenants(&self) -> usize {
        self.tenants.len() + self.idle.order.len()
    }

    pub(super) fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.tenants.values().flat_map(TenantClaims::claims)
    }

    /// The claim to evict first: the one with the latest deadline of the tenant with most claims.
    pub(super) fn last(&self) -> Option<Claim> {
        let (_, largest) = self.tenants.iter().max_by_key(|(key, tenant)| (tenant.len(), **key))?;
        let last = largest.late.last_key_value().or_else(|| largest.timely.last_key_value())?;
        Some(*last.1)
    }
}

impl TenantClaims {
    /// Number of claims of the tenant that are served before this one.
    fn ahead_of(&self, claim: &Claim, in_time: bool) -> usize {
        if in_time {
            self.timely.range(..(claim.timely_until, claim.id)).count()
        } else {
            self.timely.len() + self.late_ahead_of(claim)
        }
    }

    /// Expected wait by the rate of the tenant.
    fn expected_wait(&self, claim: &Claim, in_time: bool) -> Option<Duration> {
        self.drain.time_for((self.ahead_of(claim, in_time) + 1) as f64)
    }

    fn late_ahead_of(&self, claim: &Claim) -> usize {
        self.late.range(..(claim.waits_until, claim.id)).count()
    }

    /// Number of claims that compete with one that gets its slot in time, or late.
    fn competing(&self, in_time: bool) -> usize {
        if in_time {
            self.timely.len()
        } else {
            self.len()
        }
    }
}
