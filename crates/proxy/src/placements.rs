//! Asking the keepers of servers for a place.
//!
//! [`latchwheel_core::dispatch::tracker_of`] names the keepers; a keeper that gives
//! no answer is not asked for a while, and the node chooses by itself then.

use crate::claims::Withdrawal;
use crate::dialect::Dialect;
use crate::handoff::Handoff;
use crate::keeper_claims::ClaimAnswer;
use crate::shared::Shared;
use latchwheel_core::dispatch::{Choice, Placement, Prompt, PromptPart, ServerKey, TrackerQuery, TrackerReply};
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::software::SoftwareKey;
use latchwheel_protocol::v1;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time in which a keeper must answer: twice the way between zones and back, and
/// some for a process that waits for its turn.
pub(crate) const ADVICE_TIME: Duration = Duration::from_millis(25);
/// A keeper that gave no answer is not asked for this time.
const SILENT_TIME: Duration = Duration::from_millis(500);
/// A prompt whose shared part takes longer to read goes to the keeper of the server
/// where it is kept.
const LONG_READING: f64 = 0.01;
/// Time after which to come back is told beyond the wait that was worth taking.
const LEAST_COME_BACK: Duration = Duration::from_millis(50);
const LONGEST_COME_BACK: Duration = Duration::from_secs(5);
/// Answers to one call that wait to be read; a keeper may tell several times that a claim
/// waits.
const ANSWERS_WAITING: usize = 4;

/// A request that looks for a place.
#[derive(Debug)]
pub struct PlaceAsk<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Software that wrote the events after which it continues; only its servers are considered.
    pub software: Option<SoftwareKey>,
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

#[derive(Debug)]
struct State {
    own: NodeId,
    /// Keepers that live, with the free slots that they are believed to have.
    keepers: Vec<(NodeId, f64)>,
    silent_until: HashMap<NodeId, Instant>,
    waiting: HashMap<u64, mpsc::Sender<v1::PlacementAdvice>>,
    last_number: u64,
    /// When a waiting claim on a service, named by its hash, asked other keepers last.
    looked_elsewhere: HashMap<u64, Instant>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            own: NodeId::default(),
            keepers: Vec::new(),
            silent_until: HashMap::new(),
            waiting: HashMap::new(),
            // Answers to a former process of this node must not pass for answers to this one.
            last_number: u64::from(rand::random::<u32>()) << 16,
            looked_elsewhere: HashMap::new(),
        }
    }
}

/// Calls to keepers.
#[derive(Debug, Default)]
pub struct Placements {
    state: Mutex<State>,
    pub(crate) calls: Handoff<KeeperCall>,
    pub(crate) withdrawals: Handoff<Withdrawal>,
}

impl Placements {
    /// Whether one of the claims on a service that wait here may ask another keeper now: one
    /// in a pause does, or many that wait would flood the keepers with questions.
    pub(crate) fn may_look_elsewhere(&self, service: &str, pause: Duration) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let service = stable_hash(service.as_bytes());
        let is_due = state.looked_elsewhere.get(&service).is_none_or(|at| now.duration_since(*at) >= pause);
        if is_due {
            state.looked_elsewhere.insert(service, now);
        }
        is_due
    }

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

    /// A keeper answered; more answers follow for a claim that waits.
    pub(crate) fn take_advice(&self, advice: v1::PlacementAdvice) {
        let mut state = self.lock();
        let waiter = if advice.queued {
            // The last place is left for the final answer.
            state.waiting.get(&advice.number).filter(|waiter| waiter.capacity() > 1).cloned()
        } else {
            state.waiting.remove(&advice.number)
        };
        if let Some(waiter) = waiter {
            // Whoever is gone needs no place.
            let _ = waiter.try_send(advice);
        }
    }

    /// A keeper told which claims of this node wait there still.
    pub(crate) fn take_renewals(&self, numbers: &[u64]) {
        for number in numbers {
            self.take_advice(v1::PlacementAdvice { number: *number, queued: true, ..v1::PlacementAdvice::default() });
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
            let terms = Terms { wait_limit: ask.wait_limit, may_displace: true, claim: None };
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
        self.ask_on_terms(shared, ask, Terms::FREE_ONLY).await
    }

    /// Asks one keeper on these terms; `None` if it can't tell.
    pub(crate) async fn ask_on_terms<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        terms: Terms,
    ) -> Option<Choice> {
        let keeper = self.order(shared, ask).first().copied()?;
        match self.ask_one(shared, ask, keeper, terms).await? {
            Told::Place(placement) => Some(Choice::Send(placement)),
            Told::Wait(wait) => Some(full(wait, ask)),
            Told::Nothing => None,
        }
    }

    /// The keepers to ask: one with much room first, or the one of the server where
    /// a long prompt is kept.
    pub(crate) fn order<D: Dialect>(&self, shared: &Shared<D>, ask: &PlaceAsk<'_>) -> Vec<NodeId> {
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
        if dispatcher.shared_prefill_seconds(ask.service, ask.prompt) > LONG_READING {
            let first = dispatcher.tracker_of_prompt(ask.service, ask.prompt, &order);
            order.sort_by_key(|keeper| Some(*keeper) != first);
        }
        order
    }

    /// Asks one keeper; `None` if it gave no answer.
    pub(crate) async fn ask_one<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        keeper: NodeId,
        terms: Terms,
    ) -> Option<Told> {
        let mut call = self.call(shared, ask, keeper, &terms);
        match tokio::time::timeout(ADVICE_TIME, call.answers.recv()).await {
            Ok(Some(advice)) => Some(self.read(shared, ask, &advice)),
            Ok(None) | Err(_) => {
                self.note_silent(keeper);
                None
            }
        }
    }

    /// A keeper that gave no answer is not asked for a while.
    pub(crate) fn note_silent(&self, keeper: NodeId) {
        self.lock().silent_until.insert(keeper, Instant::now() + SILENT_TIME);
    }

    /// What a keeper's answer means here.
    pub(crate) fn read<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        advice: &v1::PlacementAdvice,
    ) -> Told {
        let wait = Duration::from_millis(u64::from(advice.wait_ms));
        let Some(server) = advice.server else {
            return if advice.keeps_none { Told::Nothing } else { Told::Wait(wait) };
        };
        let (now, key) = (shared.clock.now(), ServerKey(server.server));
        let placement = shared.dispatcher().place_at(now, key, server.uncached, wait, ask.deferrable);
        let placement = placement.filter(|placement| ask.software.is_none_or(|only| only == placement.software));
        placement.map_or(Told::Nothing, Told::Place)
    }

    /// Calls a keeper, which may be this node itself.
    pub(crate) fn call<D: Dialect>(
        &self,
        shared: &Shared<D>,
        ask: &PlaceAsk<'_>,
        keeper: NodeId,
        terms: &Terms,
    ) -> Call<'_> {
        let (request, answers) = self.request(ask, terms);
        let number = request.number;
        let own = self.lock().own;
        if keeper == own {
            for answer in shared.keeper_claims.ask(shared, own, None, request) {
                self.deliver(shared, own, answer);
            }
        } else {
            self.calls.put(KeeperCall { keeper, request });
        }
        Call { placements: self, number, answers }
    }

    /// An answer of this node as a keeper: to a request here, or to another node.
    fn deliver<D: Dialect>(&self, shared: &Shared<D>, own: NodeId, answer: ClaimAnswer) {
        if answer.node == own {
            self.take_advice(answer.advice);
        }
        if answer.node != own || answer.order.is_some() {
            shared.keeper_claims.answers.put(answer);
        }
    }

    fn request(
        &self,
        ask: &PlaceAsk<'_>,
        terms: &Terms,
    ) -> (v1::PlacementRequest, mpsc::Receiver<v1::PlacementAdvice>) {
        let (sender, answers) = mpsc::channel(ANSWERS_WAITING);
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.waiting.insert(number, sender);
        let parts = ask.prompt.parts.iter().map(|part| v1::PromptPart { key: part.key, tokens: part.tokens });
        let request = v1::PlacementRequest {
            number,
            service: stable_hash(ask.service.as_bytes()),
            software: ask.software.map_or(0, SoftwareKey::number),
            parts: parts.collect(),
            avoid: ask.avoid.iter().map(|server| ServerKey::of(server).0).collect(),
            wait_limit_ms: terms.wait_limit.as_millis() as u32,
            may_displace: terms.may_displace,
            deferrable: ask.deferrable,
            reserve_percent: (ask.reserve * 100.0) as u32,
            claim: terms.claim,
        };
        (request, answers)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that waits for advice; dropped with the request whose caller leaves.
pub(crate) struct Call<'a> {
    placements: &'a Placements,
    pub(crate) number: u64,
    pub(crate) answers: mpsc::Receiver<v1::PlacementAdvice>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        self.placements.lock().waiting.remove(&self.number);
    }
}

/// On which terms a place is taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    pub(crate) wait_limit: Duration,
    pub(crate) may_displace: bool,
    /// Where slots are given in the order of claims.
    pub(crate) claim: Option<v1::Claim>,
}

impl Terms {
    /// Only a slot that is free now.
    pub(crate) const FREE_ONLY: Terms = Terms { wait_limit: Duration::ZERO, may_displace: false, claim: None };
}

/// What a keeper told.
#[derive(Debug)]
pub(crate) enum Told {
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
pub(crate) fn reserve_server<D: Dialect>(
    shared: &Shared<D>,
    from: NodeId,
    request: &v1::PlacementRequest,
) -> (v1::PlacementAdvice, Option<RoomOrder>) {
    let parts = request.parts.iter().map(|part| PromptPart { key: part.key, tokens: part.tokens });
    let prompt = Prompt { parts: parts.collect(), output_tokens: 0 };
    let avoid: Vec<ServerKey> = request.avoid.iter().map(|server| ServerKey(*server)).collect();
    let ask = TrackerQuery {
        from,
        service: request.service,
        software: SoftwareKey::from_number(request.software),
        prompt: &prompt,
        avoid: &avoid,
        wait_limit: Duration::from_millis(u64::from(request.wait_limit_ms)),
        deferrable: request.deferrable,
        may_preempt: request.may_displace,
        reserve: f64::from(request.reserve_percent) / 100.0,
        spread: rand::random(),
    };
    let number = request.number;
    match shared.dispatcher().reserve_server(shared.clock.now(), &ask) {
        TrackerReply::Send { server, uncached, wait, preempts } => {
            let order = preempts.map(|worker| RoomOrder { worker, server });
            let server = Some(v1::AdvisedServer { server: server.0, uncached });
            let wait_ms = wait.as_millis() as u32;
            (v1::PlacementAdvice { number, server, wait_ms, ..v1::PlacementAdvice::default() }, order)
        }
        // A wait is told as at least a millisecond, so that it does not look free.
        TrackerReply::Full(wait) => {
            let wait_ms = (wait.as_millis() as u32).max(1);
            (v1::PlacementAdvice { number, wait_ms, ..v1::PlacementAdvice::default() }, None)
        }
        TrackerReply::TracksNone => {
            (v1::PlacementAdvice { number, keeps_none: true, ..v1::PlacementAdvice::default() }, None)
        }
    }
}
