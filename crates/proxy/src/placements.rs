//! Asking the keepers of servers for a place.
//!
//! [`latchwheel_core::dispatch::keeper_of`] names the keepers; a keeper that gives
//! no answer is not asked for a while, and the node chooses by itself then.

use crate::dialect::Dialect;
use crate::handoff::Handoff;
use crate::shared::Shared;
use latchwheel_core::dispatch::{Advice, Choice, KeeperAsk, Placement, Prompt, PromptPart, ServerKey};
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_protocol::v1;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time in which a keeper must answer: twice the way between zones and back, and
/// some for a process that waits for its turn.
const ADVICE_TIME: Duration = Duration::from_millis(25);
/// A keeper that gave no answer is not asked for this time.
const SILENT_TIME: Duration = Duration::from_millis(500);
/// A prompt whose shared part takes longer to read goes to the keeper of the server
/// where it is kept.
const LONG_READING: f64 = 0.01;
/// Time after which to come back is told beyond the wait that was worth taking.
const LEAST_COME_BACK: Duration = Duration::from_millis(50);
const LONGEST_COME_BACK: Duration = Duration::from_secs(5);

/// A request that looks for a place.
#[derive(Debug)]
pub struct PlaceAsk<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// Servers that were asked before.
    pub avoid: &'a [std::sync::Arc<str>],
    /// Longest wait for a slot that is worth taking.
    pub wait_limit: Duration,
    /// Whether the work can wait and give way.
    pub deferrable: bool,
    /// Share of the slots of a keeper's servers that must stay free, 0 to 1.
    pub reserve: f64,
}

/// A message to a keeper.
#[derive(Debug)]
pub(crate) struct KeeperCall {
    pub(crate) keeper: NodeId,
    pub(crate) request: v1::PlacementRequest,
}

/// A run that is to give way at a server for a request that this node, as keeper,
/// placed itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomOrder {
    pub(crate) worker: NodeId,
    pub(crate) server: ServerKey,
}

#[derive(Debug, Default)]
struct State {
    own: NodeId,
    /// Keepers that live, with the free slots that they are believed to have.
    keepers: Vec<(NodeId, f64)>,
    silent_until: HashMap<NodeId, Instant>,
    waiting: HashMap<u64, oneshot::Sender<v1::PlacementAdvice>>,
    last_number: u64,
}

/// Calls to keepers.
#[derive(Debug, Default)]
pub struct Placements {
    state: Mutex<State>,
    pub(crate) calls: Handoff<KeeperCall>,
    pub(crate) room_orders: Handoff<RoomOrder>,
}

impl Placements {
    /// This node's identity, and the keepers that live with the free slots that they
    /// are believed to have.
    pub(crate) fn set_keepers(&self, own: NodeId, keepers: Vec<(NodeId, f64)>) {
        let mut state = self.lock();
        state.own = own;
        state.keepers = keepers;
    }

    /// Whether a keeper is known that is not silent.
    pub fn has_keepers(&self) -> bool {
        let now = Instant::now();
        let state = self.lock();
        let silent = |keeper: &NodeId| state.silent_until.get(keeper).is_some_and(|until| now < *until);
        state.keepers.iter().any(|(keeper, _)| !silent(keeper))
    }

    /// A keeper answered.
    pub(crate) fn take_advice(&self, advice: v1::PlacementAdvice) {
        if let Some(waiter) = self.lock().waiting.remove(&advice.number) {
            // Whoever is gone needs no place.
            let _ = waiter.send(advice);
        }
    }

    /// Asks keepers for a place, one that should have a free slot first; `None` if
    /// they can't tell, so that the node has to choose by itself.
    pub async fn ask<D: Dialect>(&self, shared: &Shared<D>, ask: &PlaceAsk<'_>) -> Option<Choice> {
        let mut least: Option<(Duration, NodeId)> = None;
        for keeper in self.order(shared, ask) {
            match self.ask_one(shared, ask, keeper, Terms::FREE_ONLY).await? {
                Told::Place(placement) => return Some(Choice::Send(placement)),
                Told::Wait(wait) if least.is_none_or(|(least, _)| wait < least) => least = Some((wait, keeper)),
                Told::Wait(_) | Told::Nothing => {}
            }
        }
        let (wait, keeper) = least?;
        if wait <= ask.wait_limit && !ask.deferrable {
            let terms = Terms { wait_limit: ask.wait_limit, may_displace: true };
            return match self.ask_one(shared, ask, keeper, terms).await? {
                Told::Place(placement) => Some(Choice::Send(placement)),
                Told::Wait(wait) => Some(full(wait, ask)),
                Told::Nothing => None,
            };
        }
        Some(full(wait, ask))
    }

    /// Asks one keeper for a slot that is free now; `None` if it can't tell.
    pub async fn ask_for_free<D: Dialect>(&self, shared: &Shared<D>, ask: &PlaceAsk<'_>) -> Option<Choice> {
        let keeper = self.order(shared, ask).first().copied()?;
        match self.ask_one(shared, ask, keeper, Terms::FREE_ONLY).await? {
            Told::Place(placement) => Some(Choice::Send(placement)),
            Told::Wait(wait) => Some(full(wait, ask)),
            Told::Nothing => None,
        }
    }

    /// The keepers to ask: one with much room first, or the one of the server where
    /// a long prompt is kept.
    fn order<D: Dialect>(&self, shared: &Shared<D>, ask: &PlaceAsk<'_>) -> Vec<NodeId> {
        let now = Instant::now();
        let mut keepers: Vec<(f64, NodeId)> = {
            let mut state = self.lock();
            state.silent_until.retain(|_, until| now < *until);
            let asked = state.keepers.iter().filter(|(keeper, _)| !state.silent_until.contains_key(keeper));
            asked.map(|(keeper, room)| (-rand::random::<f64>().ln() / room.max(1.0), *keeper)).collect()
        };
        keepers.sort_unstable_by(|first, second| first.0.total_cmp(&second.0));
        let mut order: Vec<NodeId> = keepers.into_iter().map(|(_, keeper)| keeper).collect();
        let dispatcher = shared.dispatcher();
        if dispatcher.shared_reading(ask.service, ask.prompt) > LONG_READING {
            let first = dispatcher.keeper_of_prompt(ask.service, ask.prompt, &order);
            order.sort_by_key(|keeper| Some(*keeper) != first);
        }
        order
    }

    /// Asks one keeper; `None` if it gave no answer.
    async fn ask_one<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        keeper: NodeId,
        terms: Terms,
    ) -> Option<Told> {
        let (request, answer) = self.request(ask, terms);
        let number = request.number;
        let _waiting = Waiting { placements: self, number };
        let own = self.lock().own;
        let advice = if keeper == own {
            let (advice, order) = advise(shared, own, &request);
            order.into_iter().for_each(|order| self.room_orders.put(order));
            advice
        } else {
            self.calls.put(KeeperCall { keeper, request });
            match tokio::time::timeout(ADVICE_TIME, answer).await {
                Ok(Ok(advice)) => advice,
                Ok(Err(_)) | Err(_) => {
                    self.lock().silent_until.insert(keeper, Instant::now() + SILENT_TIME);
                    return None;
                }
            }
        };
        let wait = Duration::from_millis(u64::from(advice.wait_ms));
        let Some(server) = advice.server else {
            return Some(if advice.keeps_none { Told::Nothing } else { Told::Wait(wait) });
        };
        let (now, key) = (shared.clock.now(), ServerKey(server.server));
        let placement = shared.dispatcher().place_at(now, key, server.uncached, wait, ask.deferrable);
        Some(placement.map_or(Told::Nothing, Told::Place))
    }

    fn request(
        &self,
        ask: &PlaceAsk<'_>,
        terms: Terms,
    ) -> (v1::PlacementRequest, oneshot::Receiver<v1::PlacementAdvice>) {
        let (sender, answer) = oneshot::channel();
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.waiting.insert(number, sender);
        let parts = ask.prompt.parts.iter().map(|part| v1::PromptPart { key: part.key, tokens: part.tokens });
        let request = v1::PlacementRequest {
            number,
            service: stable_hash(ask.service.as_bytes()),
            parts: parts.collect(),
            avoid: ask.avoid.iter().map(|server| ServerKey::of(server).0).collect(),
            wait_limit_ms: terms.wait_limit.as_millis() as u32,
            may_displace: terms.may_displace,
            deferrable: ask.deferrable,
            reserve_percent: (ask.reserve * 100.0) as u32,
        };
        (request, answer)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that waits for advice; dropped with the request whose caller leaves.
struct Waiting<'a> {
    placements: &'a Placements,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.placements.lock().waiting.remove(&self.number);
    }
}

/// On which terms a place is taken.
#[derive(Clone, Copy, Debug)]
struct Terms {
    wait_limit: Duration,
    may_displace: bool,
}

impl Terms {
    /// Only a slot that is free now.
    const FREE_ONLY: Terms = Terms { wait_limit: Duration::ZERO, may_displace: false };
}

/// What a keeper told.
#[derive(Debug)]
enum Told {
    Place(Placement),
    Wait(Duration),
    Nothing,
}

fn full(wait: Duration, ask: &PlaceAsk<'_>) -> Choice {
    let beyond = wait.saturating_sub(ask.wait_limit);
    Choice::Full(beyond.clamp(LEAST_COME_BACK, LONGEST_COME_BACK))
}

/// Advises a server as its keeper; gives back the answer, and the run that is to
/// give way.
pub(crate) fn advise<D: Dialect>(
    shared: &Shared<D>,
    from: NodeId,
    request: &v1::PlacementRequest,
) -> (v1::PlacementAdvice, Option<RoomOrder>) {
    let parts = request.parts.iter().map(|part| PromptPart { key: part.key, tokens: part.tokens });
    let prompt = Prompt { parts: parts.collect(), output_tokens: 0 };
    let avoid: Vec<ServerKey> = request.avoid.iter().map(|server| ServerKey(*server)).collect();
    let ask = KeeperAsk {
        from,
        service: request.service,
        prompt: &prompt,
        avoid: &avoid,
        wait_limit: Duration::from_millis(u64::from(request.wait_limit_ms)),
        deferrable: request.deferrable,
        may_displace: request.may_displace,
        reserve: f64::from(request.reserve_percent) / 100.0,
        spread: rand::random(),
    };
    let number = request.number;
    match shared.dispatcher().advise(shared.clock.now(), &ask) {
        Advice::Send { server, uncached, wait, displaces } => {
            let order = displaces.map(|worker| RoomOrder { worker, server });
            let server = Some(v1::AdvisedServer { server: server.0, uncached });
            (v1::PlacementAdvice { number, server, wait_ms: wait.as_millis() as u32, keeps_none: false }, order)
        }
        // A wait is told as at least a millisecond, so that it does not look free.
        Advice::Full(wait) => {
            let wait_ms = (wait.as_millis() as u32).max(1);
            (v1::PlacementAdvice { number, wait_ms, ..v1::PlacementAdvice::default() }, None)
        }
        Advice::KeepsNone => (v1::PlacementAdvice { number, keeps_none: true, ..v1::PlacementAdvice::default() }, None),
    }
}
