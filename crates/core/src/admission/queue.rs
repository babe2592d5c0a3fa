//! Queue of the claims on the servers of one service.

use super::claim::{Claim, ClaimId};
use super::drain::DrainRate;
use super::precedence_claims::PrecedenceClaims;
use crate::identity::NodeId;
use crate::routes::RoutingTable;
use crate::tenants::TenantKey;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Maximum number of waiting claims. That is more than the servers of a tracker can serve while
/// callers wait; a claim takes some hundred bytes.
pub const CLAIM_LIMIT: usize = 2048;
/// Maximum number of slots in a row granted to higher precedences while a lower one waits, so
/// that no precedence starves. A lower precedence gets at least a ninth of the slots.
pub const PASSED_OVER_LIMIT: u32 = 8;
/// Part of its remaining time within which a claim has to expect a slot; the rest is for
/// claims that arrive later and are served first.
const MAX_WAIT_PART: f64 = 0.8;
/// Maximum number of claims tried for a slot, since some may be unable to use the free server.
const MAX_CANDIDATES: usize = 4;

/// Result of adding a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The claim waits.
    Queued(QueuePosition),
    /// The claim isn't expected to get a slot before its deadline, or the queue is full.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Position that the claim would have had.
        position: QueuePosition,
    },
}

/// Position and expected wait of a claim in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuePosition {
    /// Number of claims served before it, if no others arrive.
    pub ahead: usize,
    /// Number of all waiting claims.
    pub waiting: usize,
    /// Number of waiting claims of its tenant and precedence.
    pub tenant_waiting: usize,
    /// Number of tenants with claims of its precedence, including its own.
    pub tenants: usize,
    /// Expected wait; `None` if no rate is measured.
    pub wait: Option<Duration>,
}

/// A claim that got a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Granted<T> {
    /// The claim.
    pub claim: Claim,
    /// The slot that `place` of [`ClaimQueue::grant`] returned.
    pub place: T,
}

/// A claim that was removed without a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// The claim.
    pub claim: Claim,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Claims that wait for slots of one service.
#[derive(Debug, Default)]
pub struct ClaimQueue {
    by_precedence: BTreeMap<u32, PrecedenceClaims>,
    waiting: HashMap<ClaimId, Place>,
    /// All claims by the time at which they expire.
    expiries: BTreeSet<(Instant, ClaimId)>,
    drain: DrainRate,
    /// Version of the routing table applied last.
    table_version: u64,
}

/// Where a claim is stored.
#[derive(Clone, Copy, Debug)]
struct Place {
    precedence: u32,
    tenant: TenantKey,
    waits_until: Instant,
}

impl ClaimQueue {
    /// Whether no claim waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting claims.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether any waiting claim can still be in time.
    pub fn has_timely(&self, now: Instant) -> bool {
        self.by_precedence.values().any(|claims| claims.has_timely(now))
    }

    /// Number of tenants with stored state.
    pub fn stored_tenants(&self) -> usize {
        self.by_precedence.values().map(PrecedenceClaims::stored_tenants).sum()
    }

    /// Numbers of the waiting claims, by node.
    pub fn by_node(&self) -> HashMap<NodeId, Vec<u64>> {
        let mut nodes: HashMap<NodeId, Vec<u64>> = HashMap::new();
        for id in self.waiting.keys() {
            nodes.entry(id.node).or_default().push(id.number);
        }
        nodes
    }

    /// Adds a claim. If the queue is full, a claim of a lower precedence is evicted for it and
    /// returned.
    pub fn add(&mut self, now: Instant, claim: Claim) -> (Admission, Option<Refused>) {
        self.withdraw(claim.id);
        self.tick(now);
        let position = self.position(now, &claim);
        let too_late = is_too_late(now, &claim, &position);
        let evicted = if self.len() >= CLAIM_LIMIT { self.evictable(&claim) } else { None };
        if too_late || (self.len() >= CLAIM_LIMIT && evicted.is_none()) {
            let retry_after = self.drain.schedule_retry(now, position.ahead);
            return (Admission::Refused { retry_after, position }, None);
        }
        let refused = evicted.map(|last| self.refuse(now, last));
        self.insert(now, claim);
        (Admission::Queued(position), refused)
    }

    fn tick(&mut self, now: Instant) {
        self.drain.tick(now);
        self.by_precedence.values_mut().for_each(|claims| claims.tick(now));
    }

    fn insert(&mut self, now: Instant, claim: Claim) {
        let place = Place { precedence: claim.precedence, tenant: claim.tenant, waits_until: claim.waits_until };
        self.waiting.insert(claim.id, place);
        self.expiries.insert((claim.waits_until, claim.id));
        self.by_precedence.entry(claim.precedence).or_default().add(now, claim);
    }

    /// The last claim of the lowest precedence, if that is lower than the claim's.
    fn evictable(&self, claim: &Claim) -> Option<Claim> {
        let (precedence, claims) = self.by_precedence.last_key_value()?;
        claims.last().filter(|_| *precedence > claim.precedence)
    }

    fn refuse(&mut self, now: Instant, claim: Claim) -> Refused {
        let ahead = self.position(now, &claim).ahead;
        self.withdraw(claim.id);
        Refused { claim, retry_after: self.drain.schedule_retry(now, ahead) }
    }

    /// Position of a claim, whether or not it is in the queue.
    pub fn position(&self, now: Instant, claim: &Claim) -> QueuePosition {
        let of_precedence = self.by_precedence.get(&claim.precedence);
        let tenant_waiting = of_precedence.map_or(0, |claims| claims.waiting_of(claim.tenant));
        let is_alone = tenant_waiting == 0;
        let mut ahead = self.ahead_of(claim, true);
        let mut wait = self.time_for(claim, ahead, true);
        let in_time = claim.is_timely(now + wait.unwrap_or_default());
        if !in_time {
            ahead = self.ahead_of(claim, false);
            wait = self.time_for(claim, ahead, false);
        }
        let tenants = of_precedence.map_or(0, PrecedenceClaims::tenant_count) + usize::from(is_alone);
        QueuePosition { ahead, waiting: self.len(), tenant_waiting, tenants, wait }
    }

    fn ahead_of(&self, claim: &Claim, in_time: bool) -> usize {
        let higher: usize = self.by_precedence.range(..claim.precedence).map(|(_, claims)| claims.len()).sum();
        let same = self.by_precedence.get(&claim.precedence).map_or(0, |claims| claims.ahead_of(claim, in_time));
        higher + same
    }

    /// Expected wait of a claim: the longer one by the claims ahead of it now, and by the slots
    /// that its precedence got lately, which accounts for claims that still arrive.
    fn time_for(&self, claim: &Claim, ahead: usize, in_time: bool) -> Option<Duration> {
        let by_queue = self.drain.time_for((ahead + 1) as f64 * self.slowdown_by_lower(claim.precedence));
        let by_queue = by_queue?;
        let of_precedence = self.by_precedence.get(&claim.precedence);
        let by_class = of_precedence.and_then(|claims| claims.expected_wait(claim, in_time));
        Some(by_class.map_or(by_queue, |by_class| by_class.max(by_queue)))
    }

    /// Factor on the wait of a precedence for the slots that go to lower ones.
    fn slowdown_by_lower(&self, precedence: u32) -> f64 {
        let lower = self.by_precedence.range(precedence.saturating_add(1)..).count();
        1.0 + lower as f64 / f64::from(PASSED_OVER_LIMIT)
    }

    /// Removes a claim whose caller left or that got a slot elsewhere.
    pub fn withdraw(&mut self, id: ClaimId) -> Option<Claim> {
        let place = self.remove_place(id)?;
        let claims = self.by_precedence.get_mut(&place.precedence)?;
        let claim = claims.remove(place.tenant, id);
        self.remove_if_empty(place.precedence);
        claim
    }

    fn remove_place(&mut self, id: ClaimId) -> Option<Place> {
        let place = self.waiting.remove(&id)?;
        self.expiries.remove(&(place.waits_until, id));
        Some(place)
    }

    /// Removes the claims of a node that is unresponsive.
    pub fn withdraw_node(&mut self, node: NodeId) {
        let of_node: Vec<ClaimId> = self.waiting.keys().filter(|id| id.node == node).copied().collect();
        for id in of_node {
            self.withdraw(id);
        }
    }

    /// Drops the shares of a precedence without claims.
    fn remove_if_empty(&mut self, precedence: u32) {
        if self.by_precedence.get(&precedence).is_some_and(|claims| claims.len() == 0) {
            self.by_precedence.remove(&precedence);
        }
        if self.waiting.is_empty() {
            self.drain.set_idle();
        }
    }

    /// Grants slots to claims in serving order until `place` returns `None` for all candidates;
    /// `place` returns the slot for a claim, if there is one.
    pub fn grant<T>(&mut self, now: Instant, mut place: impl FnMut(&Claim) -> Option<T>) -> Vec<Granted<T>> {
        let mut granted = Vec::new();
        while !self.is_empty() {
            self.tick(now);
            let candidates = self.candidates(now);
            let found = candidates.into_iter().find_map(|claim| place(&claim).map(|place| Granted { claim, place }));
            let Some(found) = found else { break };
            self.note_granted_claim(now, &found.claim);
            granted.push(found);
        }
        granted
    }

    /// The claims to try for the next slot, in serving order.
    fn candidates(&mut self, now: Instant) -> Vec<Claim> {
        let overdue = self.by_precedence.iter().find(|(_, claims)| claims.passed_over >= PASSED_OVER_LIMIT);
        let first = overdue.map(|(precedence, _)| *precedence);
        let mut order: Vec<u32> = self.by_precedence.keys().copied().collect();
        order.sort_by_key(|precedence| Some(*precedence) != first);
        let mut candidates = Vec::new();
        for precedence in order {
            let limit = MAX_CANDIDATES.saturating_sub(candidates.len());
            if limit == 0 {
                break;
            }
            candidates.extend(
                self.by_precedence.get_mut(&precedence).map(|claims| claims.candidates(now, limit)).unwrap_or_default(),
            );
        }
        candidates
    }

    fn note_granted_claim(&mut self, now: Instant, claim: &Claim) {
        for (_, claims) in self.by_precedence.range_mut(claim.precedence.saturating_add(1)..) {
            claims.passed_over = claims.passed_over.saturating_add(1);
        }
        if let Some(claims) = self.by_precedence.get_mut(&claim.precedence) {
            claims.passed_over = 0;
            claims.grant(now, claim);
        }
        self.remove_place(claim.id);
        self.drain.note_granted();
        self.remove_if_empty(claim.precedence);
    }

    /// Removes claims past their deadline, and claims that became late and aren't expected to
    /// get a slot before their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<Refused> {
        if self.is_empty() {
            return Vec::new();
        }
        self.tick(now);
        let expired: Vec<ClaimId> =
            self.expiries.iter().take_while(|(until, _)| *until <= now).map(|(_, id)| *id).collect();
        let expired: Vec<Claim> = expired.into_iter().filter_map(|id| self.claim(id)).collect();
        let mut refused: Vec<Refused> = expired.into_iter().map(|claim| self.refuse(now, claim)).collect();
        let newly_late: Vec<Claim> =
            self.by_precedence.values_mut().flat_map(PrecedenceClaims::take_newly_late).collect();
        for claim in newly_late {
            if self.waiting.contains_key(&claim.id) && is_too_late(now, &claim, &self.position(now, &claim)) {
                refused.push(self.refuse(now, claim));
            }
        }
        refused
    }

    fn claim(&self, id: ClaimId) -> Option<Claim> {
        let place = self.waiting.get(&id)?;
        self.by_precedence.get(&place.precedence)?.claim(place.tenant, id)
    }

    /// Applies the precedences of a newer routing table. Returns the number of claims whose
    /// precedence changed.
    pub fn apply_table(&mut self, now: Instant, table: &RoutingTable) -> usize {
        if self.table_version >= table.version {
            return 0;
        }
        self.table_version = table.version;
        self.set_precedences(now, |claim| {
            // A claim from a table at least as new keeps its precedence.
            let is_older = claim.table_version < table.version;
            let newer = if is_older { table.precedence(claim.tenant, claim.route) } else { None };
            newer.unwrap_or(claim.precedence)
        })
    }

    /// Sets the precedence of each claim. Returns the number of claims whose precedence changed.
    pub fn set_precedences(&mut self, now: Instant, precedence_of: impl Fn(&Claim) -> u32) -> usize {
        let claims = self.by_precedence.values().flat_map(PrecedenceClaims::claims);
        let changed: Vec<(Claim, u32)> = claims
            .map(|claim| (*claim, precedence_of(claim)))
            .filter(|(claim, precedence)| claim.precedence != *precedence)
            .collect();
        for (claim, precedence) in &changed {
            self.withdraw(claim.id);
            self.insert(now, Claim { precedence: *precedence, ..*claim });
        }
        changed.len()
    }
}

/// Whether a claim isn't expected to get a slot early enough before its deadline.
fn is_too_late(now: Instant, claim: &Claim, position: &QueuePosition) -> bool {
    let remaining = claim.waits_until.since(now);
    position.wait.is_some_and(|wait| wait > remaining.mul_f64(MAX_WAIT_PART))
}
