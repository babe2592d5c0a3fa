//! Claims of this node's own requests while no keeper answers: the node orders them by the
//! same rules, and gives them places by what it knows itself.

use crate::claims::{ClaimStanding, ClaimTerms};
use crate::dialect::Dialect;
use crate::shared::Shared;
use latchwheel_core::admission::{Admission, Claim, ClaimId, ClaimQueue, Refused};
use latchwheel_core::dispatch::{Choice, Placement, PlacementQuery, Prompt};
use latchwheel_core::identity::NodeId;
use latchwheel_core::time::Instant;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Least time between two grants: a request that got a place counts only once it is sent,
/// and a second one would be given the same slot.
const GRANT_PAUSE: Duration = Duration::from_millis(5);
/// A keeper may answer again after this time.
const KEEPERS_AGAIN_AFTER: Duration = Duration::from_millis(500);

/// A request that waits here.
#[derive(Debug)]
struct Waiting {
    prompt: Prompt,
    avoid: Vec<Arc<str>>,
    wait_limit: Duration,
    answer: oneshot::Sender<Choice>,
}

#[derive(Debug, Default)]
struct ServiceClaims {
    queue: ClaimQueue,
    waiting: HashMap<ClaimId, Waiting>,
    granted_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<Arc<str>, ServiceClaims>,
    last_number: u64,
}

/// Own requests that wait for places without a keeper.
#[derive(Debug, Default)]
pub(crate) struct OwnClaims {
    state: Mutex<State>,
}

/// Takes a claim out of the queue when its request leaves.
struct Entered<'a> {
    claims: &'a OwnClaims,
    service: &'a Arc<str>,
    id: ClaimId,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.claims.withdraw(self.service, self.id);
    }
}

/// What a request that waits here asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnAsk<'a> {
    pub(crate) service: &'a Arc<str>,
    pub(crate) prompt: &'a Prompt,
    pub(crate) avoid: &'a [Arc<str>],
    pub(crate) wait_limit: Duration,
}

impl OwnClaims {
    /// Whether requests of the service wait here.
    pub(crate) fn has_claims(&self, service: &str) -> bool {
        self.lock().services.get(service).is_some_and(|service| !service.queue.is_empty())
    }

    /// Waits for a place in turn; no choice if keepers are to be asked again before.
    pub(crate) async fn wait<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: OwnAsk<'_>,
        terms: &ClaimTerms,
    ) -> (Option<Choice>, ClaimStanding) {
        let now = shared.clock.now();
        let (sender, mut answer) = oneshot::channel();
        let waiting = Waiting {
            prompt: ask.prompt.clone(),
            avoid: ask.avoid.to_vec(),
            wait_limit: ask.wait_limit,
            answer: sender,
        };
        let (id, entry) = self.enter(now, ask.service, waiting, terms);
        let _entered = Entered { claims: self, service: ask.service, id };
        let position = match entry {
            Admission::Refused { retry_after, position } => {
                return (Some(Choice::Full(retry_after)), (&position).into())
            }
            Admission::Queued(position) => ClaimStanding::from(&position),
        };
        let until = now + KEEPERS_AGAIN_AFTER;
        while shared.clock.now() < until {
            self.grant(shared, ask.service);
            tokio::select! {
                choice = &mut answer => return (choice.ok(), position),
                () = tokio::time::sleep(GRANT_PAUSE) => {}
            }
        }
        (None, position)
    }

    fn enter(&self, now: Instant, service: &Arc<str>, waiting: Waiting, terms: &ClaimTerms) -> (ClaimId, Admission) {
        let mut state = self.lock();
        state.last_number += 1;
        let id = ClaimId { node: NodeId::default(), number: state.last_number };
        let claim = Claim {
            id,
            precedence: terms.precedence,
            table_version: terms.table_version,
            tenant: terms.tenant,
            route: terms.route,
            work: terms.work,
            timely_until: terms.timely_until,
            waits_until: terms.waits_until,
        };
        let service = state.services.entry(service.clone()).or_default();
        let (entry, displaced) = service.queue.add(now, claim);
        if matches!(entry, Admission::Queued(_)) {
            service.waiting.insert(id, waiting);
        }
        service.refuse(displaced);
        (id, entry)
    }

    /// Gives a place to the claim whose turn it is, if there is one.
    fn grant<D: Dialect>(&self, shared: &Shared<D>, service: &Arc<str>) {
        let now = shared.clock.now();
        let mut state = self.lock();
        let Some(claims) = state.services.get_mut(service) else { return };
        if now.since(claims.granted_at) < GRANT_PAUSE {
            return;
        }
        claims.granted_at = now;
        claims.queue.apply_table(now, &shared.table());
        let expired = claims.queue.expire(now);
        claims.refuse(expired);
        let waiting = &claims.waiting;
        let mut is_granted = false;
        let granted = claims.queue.grant(now, |claim| {
            if is_granted {
                return None;
            }
            let placement = waiting.get(&claim.id)?.place(shared, now, service)?;
            is_granted = true;
            Some(placement)
        });
        for granted in granted {
            if let Some(waiting) = claims.waiting.remove(&granted.claim.id) {
                // Whoever is gone needs no place.
                let _ = waiting.answer.send(Choice::Send(granted.place));
            }
        }
    }

    fn withdraw(&self, service: &str, id: ClaimId) {
        let mut state = self.lock();
        let Some(claims) = state.services.get_mut(service) else { return };
        claims.queue.withdraw(id);
        claims.waiting.remove(&id);
        if claims.queue.is_empty() {
            state.services.remove(service);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceClaims {
    fn refuse(&mut self, refused: impl IntoIterator<Item = Refused>) {
        for refused in refused {
            if let Some(waiting) = self.waiting.remove(&refused.claim.id) {
                // Whoever is gone needs no answer.
                let _ = waiting.answer.send(Choice::Full(refused.retry_after));
            }
        }
    }
}

impl Waiting {
    fn place<D: Dialect>(&self, shared: &Shared<D>, now: Instant, service: &str) -> Option<Placement> {
        let ask = PlacementQuery {
            service,
            software: None,
            prompt: &self.prompt,
            avoid: &self.avoid,
            wait_limit: self.wait_limit,
            reserve: 0.0,
            spread: shared.next_spread(),
            deferrable: false,
        };
        match shared.dispatcher().choose(now, &ask) {
            Choice::Send(placement) => Some(placement),
            Choice::Full(_) | Choice::NoServer => None,
        }
    }
}
