//! Metrics by tenant, in a bounded number of series.
//!
//! The tenants with the most work have series of their own; all others share one. A tenant
//! that crowds out the others therefore always has a series.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Pairs of tenant and precedence with series of their own.
const MAX_TENANT_SERIES: usize = 16;
/// Pairs of tenant and precedence that are tracked; beyond it the one with the least work is
/// added to the common series.
const MAX_TRACKED_TENANTS: usize = 1024;
/// Label of the common series.
const OTHER_LABEL: &str = "other";

/// Labels of a tenant's requests of one precedence.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TenantLabels {
    precedence: u32,
    tenant: String,
}

/// Outcome of a claim on a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// A slot was free.
    AtOnce,
    /// The claim waited and got a slot in time.
    InTurn,
    /// The claim waited and got a slot too late.
    Late,
    /// Other claims went first until the claim had to give up.
    CrowdedOut,
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    work: u64,
    at_once: u64,
    in_turn: u64,
    late: u64,
    crowded_out: u64,
}

impl Totals {
    fn add(&mut self, other: &Totals) {
        self.work += other.work;
        self.at_once += other.at_once;
        self.in_turn += other.in_turn;
        self.late += other.late;
        self.crowded_out += other.crowded_out;
    }

    /// Totals of one claim.
    fn of(outcome: SlotOutcome, work: u64) -> Self {
        let mut totals = Totals::default();
        match outcome {
            SlotOutcome::AtOnce => totals.at_once = 1,
            SlotOutcome::InTurn => totals.in_turn = 1,
            SlotOutcome::Late => totals.late = 1,
            SlotOutcome::CrowdedOut => totals.crowded_out = 1,
        }
        if outcome != SlotOutcome::CrowdedOut {
            totals.work = work;
        }
        totals
    }
}

#[derive(Debug, Default)]
struct TrackedTenants {
    tenants: HashMap<TenantLabels, Totals>,
    /// Sums of the tenants that are no longer tracked, by precedence.
    others: HashMap<u32, Totals>,
}

/// Totals of the tenants and their series.
#[derive(Debug, Default)]
pub(crate) struct TenantMetrics {
    tracked: Mutex<TrackedTenants>,
    work: Family<TenantLabels, Gauge>,
    at_once: Family<TenantLabels, Gauge>,
    in_turn: Family<TenantLabels, Gauge>,
    late: Family<TenantLabels, Gauge>,
    crowded_out: Family<TenantLabels, Gauge>,
}

impl TenantMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let mut register = |name: &str, help: &str, family: &Family<TenantLabels, Gauge>| {
            registry.register(name, help, family.clone());
        };
        register("tenant_work", "Work that got slots, in prompt tokens, by precedence and tenant", &self.work);
        register("tenant_slots_at_once", "Requests that found a free slot", &self.at_once);
        register("tenant_slots_in_turn", "Requests that waited and got a slot in time", &self.in_turn);
        register("tenant_slots_late", "Requests that waited and got a slot late", &self.late);
        register("tenant_crowded_out", "Requests refused since others went first", &self.crowded_out);
    }

    /// Adds a finished claim; `work` is in prompt tokens.
    pub(crate) fn add_claim(&self, precedence: u32, tenant: &str, outcome: SlotOutcome, work: u64) {
        let mut tracked = self.lock();
        let key = TenantLabels { precedence, tenant: tenant.to_owned() };
        tracked.tenants.entry(key).or_default().add(&Totals::of(outcome, work));
        if tracked.tenants.len() <= MAX_TRACKED_TENANTS {
            return;
        }
        let least = tracked.tenants.iter().min_by_key(|(_, totals)| totals.work).map(|(key, _)| key.clone());
        if let Some((key, totals)) = least.and_then(|key| tracked.tenants.remove_entry(&key)) {
            tracked.others.entry(key.precedence).or_default().add(&totals);
        }
    }

    /// Updates the series from the totals.
    pub(crate) fn update_series(&self) {
        let tracked = self.lock();
        let mut ordered: Vec<(&TenantLabels, &Totals)> = tracked.tenants.iter().collect();
        ordered.sort_by(|(first, totals), (second, others)| {
            others.work.cmp(&totals.work).then_with(|| first.tenant.cmp(&second.tenant))
        });
        let mut others = tracked.others.clone();
        for (key, totals) in ordered.split_off(MAX_TENANT_SERIES.min(ordered.len())) {
            others.entry(key.precedence).or_default().add(totals);
        }
        self.clear();
        ordered.into_iter().for_each(|(key, totals)| self.set(key, totals));
        for (precedence, totals) in &others {
            self.set(&TenantLabels { precedence: *precedence, tenant: OTHER_LABEL.to_owned() }, totals);
        }
    }

    fn set(&self, key: &TenantLabels, totals: &Totals) {
        let set = |family: &Family<TenantLabels, Gauge>, value: u64| {
            family.get_or_create(key).set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        set(&self.work, totals.work);
        set(&self.at_once, totals.at_once);
        set(&self.in_turn, totals.in_turn);
        set(&self.late, totals.late);
        set(&self.crowded_out, totals.crowded_out);
    }

    fn clear(&self) {
        for family in [&self.work, &self.at_once, &self.in_turn, &self.late, &self.crowded_out] {
            family.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, TrackedTenants> {
        self.tracked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
