//! A request's way to a slot where slots are given in the order of claims.

use crate::claims::{ClaimOutcome, ClaimStanding, ClaimTerms};
use crate::dialect::Dialect;
use crate::forward::Context;
use crate::own_claims::OwnAsk;
use crate::placements::PlaceAsk;
use latchwheel_core::admission::work_of;
use latchwheel_core::dispatch::{Choice, RouteKey};
use latchwheel_core::holding::timely_wait;
use latchwheel_core::tenants::TenantKey;
use latchwheel_events::{count_claim, emit, Event, SlotOutcome};
use std::time::Duration;

/// Part of the wait that is in time which a request may spend at a server: its slot is
/// taken up at once then, and the rest of the wait is left for its turn.
const PART_AT_SERVER: f64 = 0.5;

impl<D: Dialect> Context<D> {
    /// Whether the request gets a slot in the order of the claims on the service. A stream that
    /// continues had a slot already, and only some of the servers can take it.
    pub(crate) fn takes_turns(&self) -> bool {
        self.software.is_none() && self.shared.table().orders_requests(&self.service)
    }

    /// A place at a server, in its turn: by a keeper, or by this node itself while none
    /// answers.
    pub(crate) async fn place_in_turn(&self) -> Choice {
        let now = self.shared.clock.now();
        let terms = self.claim_terms();
        loop {
            let outcome = match self.claim_at_keepers(&terms).await {
                Some(outcome) => Some(outcome),
                None => self.claim_here(&terms).await,
            };
            let Some(outcome) = outcome else { continue };
            self.log_claim(&terms, &outcome, self.shared.clock.now().since(now));
            return outcome.choice;
        }
    }

    async fn claim_at_keepers(&self, terms: &ClaimTerms) -> Option<ClaimOutcome> {
        let wait_limit = timely_wait(self.route.latency_target).mul_f64(PART_AT_SERVER);
        let ask = PlaceAsk { wait_limit: wait_limit.min(self.left()), ..self.place_ask() };
        self.shared.placements.claim(&self.shared, &ask, terms).await
    }

    /// `None` if keepers are to be asked again.
    async fn claim_here(&self, terms: &ClaimTerms) -> Option<ClaimOutcome> {
        let own_claims = &self.shared.own_claims;
        if !own_claims.has_claims(&self.service) {
            let choice = self.choose();
            if !matches!(choice, Choice::Full(_)) {
                return Some(ClaimOutcome { choice, standing: None, lost: 0 });
            }
        }
        let ask = OwnAsk {
            service: &self.service,
            prompt: &self.outgoing.prompt,
            avoid: &self.asked,
            wait_limit: self.wait_limit(),
        };
        let (choice, standing) = own_claims.wait(&self.shared, ask, terms).await;
        Some(ClaimOutcome { choice: choice?, standing: Some(standing), lost: 0 })
    }

    pub(crate) fn claim_terms(&self) -> ClaimTerms {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.precedence);
        let tenant = self.tenant.as_ref().map_or(TenantKey::default(), |tenant| tenant.key);
        ClaimTerms {
            precedence: of_tenant.unwrap_or(self.route.precedence),
            table_version: self.table_version,
            tenant,
            route: RouteKey::of(&self.route.name),
            work: work_of(&self.outgoing.prompt),
            timely_until: self.received + timely_wait(self.route.latency_target),
            waits_until: self.shared.clock.now() + self.max_hold(),
        }
    }

    fn log_claim(&self, terms: &ClaimTerms, outcome: &ClaimOutcome, waited: Duration) {
        let tenant = self.tenant.as_ref().map_or("", |tenant| &*tenant.name);
        let late = self.shared.clock.now() > terms.timely_until;
        let Some(end) = end_of(outcome, late) else { return };
        count_claim(terms.precedence, tenant, end, terms.work);
        let Some(standing) = outcome.standing else { return };
        let logged = LoggedClaim { terms, tenant, standing, waited, late, lost: outcome.lost };
        match outcome.choice {
            Choice::Full(retry_after) => emit(&self.id, &self.claim_refused(&logged, retry_after)),
            Choice::Send(_) | Choice::NoServer => emit(&self.id, &self.claim_granted(&logged)),
        }
    }

    fn claim_granted<'a>(&'a self, claim: &LoggedClaim<'a>) -> Event<'a> {
        let ClaimStanding { ahead, waiting, tenant_waiting, tenants } = claim.standing;
        Event::ClaimGranted {
            id: &self.id,
            route: &self.route.name,
            tenant: claim.tenant,
            precedence: claim.terms.precedence,
            work: claim.terms.work,
            waited_ms: claim.waited.as_millis() as u64,
            late: claim.late,
            ahead,
            waiting,
            tenant_waiting,
            tenants,
            lost: claim.lost,
        }
    }

    fn claim_refused<'a>(&'a self, claim: &LoggedClaim<'a>, retry_after: Duration) -> Event<'a> {
        let ClaimStanding { ahead, waiting, tenant_waiting, tenants } = claim.standing;
        Event::ClaimRefused {
            id: &self.id,
            route: &self.route.name,
            tenant: claim.tenant,
            precedence: claim.terms.precedence,
            work: claim.terms.work,
            waited_ms: claim.waited.as_millis() as u64,
            ahead,
            waiting,
            tenant_waiting,
            tenants,
            lost: claim.lost,
            come_back_ms: retry_after.as_millis() as u64,
        }
    }
}

/// What is logged of a claim that waited or was refused.
struct LoggedClaim<'a> {
    terms: &'a ClaimTerms,
    tenant: &'a str,
    standing: ClaimStanding,
    waited: Duration,
    late: bool,
    lost: u32,
}

/// How a claim ended; `None` where there was no server to claim a slot of.
fn end_of(outcome: &ClaimOutcome, late: bool) -> Option<SlotOutcome> {
    match (&outcome.choice, outcome.standing) {
        (Choice::NoServer, _) => None,
        (Choice::Full(_), _) => Some(SlotOutcome::CrowdedOut),
        (Choice::Send(_), None) => Some(SlotOutcome::AtOnce),
        (Choice::Send(_), Some(_)) if late => Some(SlotOutcome::Late),
        (Choice::Send(_), Some(_)) => Some(SlotOutcome::InTurn),
    }
}
