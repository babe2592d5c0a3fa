//! A request's claim: asking keepers for a slot, and waiting at one of them for its turn.

use crate::dialect::Dialect;
use crate::keeper_claims::RENEW_EVERY;
use crate::placements::{PlaceAsk, Placements, Terms, Told, ADVICE_TIME};
use crate::shared::Shared;
use latchwheel_core::admission::QueuePosition;
use latchwheel_core::dispatch::{Choice, Placement, RouteKey};
use latchwheel_core::identity::NodeId;
use latchwheel_core::tenants::TenantKey;
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1;
use std::time::Duration;

/// A keeper that names a claim no more for this time has lost it: three renewals, and some
/// for a process that waits for its turn.
const RENEWAL_SILENCE: Duration = Duration::from_millis(350);

/// What a request claims of any keeper.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimTerms {
    pub(crate) precedence: u32,
    pub(crate) table_version: u64,
    pub(crate) tenant: TenantKey,
    pub(crate) route: RouteKey,
    /// Work in prompt tokens.
    pub(crate) work: u64,
    pub(crate) timely_until: Instant,
    pub(crate) waits_until: Instant,
}

impl ClaimTerms {
    /// The claim as it is told now; `queue` if it may wait for its turn.
    pub(crate) fn message(&self, now: Instant, queue: bool) -> v1::Claim {
        v1::Claim {
            precedence: self.precedence,
            table_version: self.table_version,
            tenant: self.tenant.0,
            route: self.route.0,
            work: self.work,
            timely_ms: self.timely_until.since(now).as_millis() as u32,
            waits_ms: self.waits_until.since(now).as_millis() as u32,
            queue,
        }
    }
}

/// How a claim stood when it was told last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClaimStanding {
    pub(crate) ahead: u32,
    pub(crate) waiting: u32,
    pub(crate) tenant_waiting: u32,
    pub(crate) tenants: u32,
}

impl From<&QueuePosition> for ClaimStanding {
    fn from(standing: &QueuePosition) -> Self {
        Self {
            ahead: standing.ahead as u32,
            waiting: standing.waiting as u32,
            tenant_waiting: standing.tenant_waiting as u32,
            tenants: standing.tenants as u32,
        }
    }
}

impl From<&v1::PlacementAdvice> for ClaimStanding {
    fn from(advice: &v1::PlacementAdvice) -> Self {
        Self {
            ahead: advice.claims_ahead,
            waiting: advice.claims_waiting,
            tenant_waiting: advice.tenant_waiting,
            tenants: advice.tenants_competing,
        }
    }
}

/// What became of a claim.
#[derive(Debug)]
pub(crate) struct ClaimOutcome {
    pub(crate) choice: Choice,
    /// How it stood, if it had to wait or was refused.
    pub(crate) standing: Option<ClaimStanding>,
    /// Keepers that lost it.
    pub(crate) lost: u32,
}

/// How waiting at one keeper ended.
enum WaitOutcome {
    Placed(Placement),
    /// Refused, with a time to come back.
    CrowdedOut(Duration),
    /// The keeper is silent.
    Lost,
    /// The keeper has no queue: it is of a version that knows none.
    NoQueue,
    /// The keeper keeps no such servers any more, or named one that takes no work.
    Unusable,
}

/// A claim that waits at a keeper; the keeper is told when it is dropped before its end.
struct WaitingClaim<'a> {
    placements: &'a Placements,
    keeper: NodeId,
    number: u64,
    ended: bool,
}

impl Drop for WaitingClaim<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.placements.withdrawals.put(Withdrawal { keeper: self.keeper, number: self.number });
        }
    }
}

/// A claim that a keeper is to forget.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Withdrawal {
    pub(crate) keeper: NodeId,
    pub(crate) number: u64,
}

impl Placements {
    /// Asks keepers for a free slot, and waits for a turn where there is none; `None` if
    /// no keeper answers with a place that can be used.
    pub(crate) async fn claim<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        terms: &ClaimTerms,
    ) -> Option<ClaimOutcome> {
        let mut lost = 0;
        let mut standing = None;
        loop {
            let keeper = match self.look_for_free(shared, ask, terms).await? {
                Found::Place(placement) => {
                    return Some(ClaimOutcome { choice: Choice::Send(placement), standing, lost });
                }
                Found::LeastWait(keeper) => keeper,
            };
            let waited = self.wait_at(shared, ask, terms, keeper, &mut standing).await;
            let choice = match waited {
                WaitOutcome::Placed(placement) => Choice::Send(placement),
                WaitOutcome::CrowdedOut(retry_after) => Choice::Full(retry_after),
                WaitOutcome::Lost if shared.clock.now() < terms.waits_until => {
                    lost += 1;
                    continue;
                }
                WaitOutcome::NoQueue if shared.clock.now() < terms.waits_until => {
                    tokio::time::sleep(RENEW_EVERY).await;
                    continue;
                }
                WaitOutcome::Lost | WaitOutcome::NoQueue => Choice::Full(RENEW_EVERY),
                WaitOutcome::Unusable => return None,
            };
            return Some(ClaimOutcome { choice, standing, lost });
        }
    }

    /// A free slot at any keeper, or the keeper with the least wait; `None` if none answers.
    async fn look_for_free<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        terms: &ClaimTerms,
    ) -> Option<Found> {
        let mut least: Option<(Duration, NodeId)> = None;
        for keeper in self.order(shared, ask) {
            let claim = Some(terms.message(shared.clock.now(), false));
            match self.ask_one(shared, ask, keeper, Terms { claim, ..Terms::FREE_ONLY }).await {
                Some(Told::Place(placement)) => return Some(Found::Place(placement)),
                Some(Told::Wait(wait)) if least.is_none_or(|(least, _)| wait < least) => least = Some((wait, keeper)),
                Some(Told::Wait(_) | Told::Nothing) | None => {}
            }
        }
        least.map(|(_, keeper)| Found::LeastWait(keeper))
    }

    async fn wait_at<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        terms: &ClaimTerms,
        keeper: NodeId,
        standing: &mut Option<ClaimStanding>,
    ) -> WaitOutcome {
        let claim = Some(terms.message(shared.clock.now(), true));
        let mut call = self.call(shared, ask, keeper, &Terms { wait_limit: ask.wait_limit, may_displace: true, claim });
        let mut waiting = WaitingClaim { placements: self, keeper, number: call.number, ended: false };
        let mut is_queued = false;
        loop {
            let patience = if is_queued { RENEWAL_SILENCE } else { ADVICE_TIME };
            let Ok(Some(advice)) = tokio::time::timeout(patience, call.answers.recv()).await else {
                if !is_queued {
                    self.note_silent(keeper);
                }
                return WaitOutcome::Lost;
            };
            if advice.queued {
                if !is_queued {
                    is_queued = true;
                    *standing = Some(ClaimStanding::from(&advice));
                } else if let Some(placement) = self.look_elsewhere(shared, ask, terms, keeper).await {
                    return WaitOutcome::Placed(placement);
                }
                continue;
            }
            waiting.ended = true;
            if advice.crowded_out {
                *standing = Some(ClaimStanding::from(&advice));
                return WaitOutcome::CrowdedOut(Duration::from_millis(u64::from(advice.wait_ms)));
            }
            return match self.read(shared, ask, &advice) {
                Told::Place(placement) => WaitOutcome::Placed(placement),
                Told::Wait(_) => WaitOutcome::NoQueue,
                Told::Nothing => WaitOutcome::Unusable,
            };
        }
    }

    /// Asks one other keeper for a slot that is free: none must stay so while claims wait
    /// here.
    async fn look_elsewhere<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        terms: &ClaimTerms,
        keeper: NodeId,
    ) -> Option<Placement> {
        if !self.may_look_elsewhere(ask.service, RENEW_EVERY) {
            return None;
        }
        let other = self.order(shared, ask).into_iter().find(|other| *other != keeper)?;
        let claim = Some(terms.message(shared.clock.now(), false));
        match self.ask_one(shared, ask, other, Terms { claim, ..Terms::FREE_ONLY }).await {
            Some(Told::Place(placement)) => Some(placement),
            Some(Told::Wait(_) | Told::Nothing) | None => None,
        }
    }
}

/// What a look at all keepers found.
enum Found {
    Place(Placement),
    LeastWait(NodeId),
}
