//! Requests that wait for their turn after a start, before keepers of servers are known.
//!
//! [`latchwheel_core::startup_pacing`] decides whose turn it is.

use crate::dialect::Dialect;
use crate::shared::Shared;
use latchwheel_core::startup_pacing::{PacedRequest, PacingDecision, StartupPacer};
use latchwheel_core::time::Instant;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct State {
    pacing: StartupPacer,
    waiting: HashMap<u64, oneshot::Sender<()>>,
}

impl State {
    /// Tells a waiting request to go; `false` if it has left.
    fn wake(&mut self, number: u64) -> bool {
        self.waiting.remove(&number).is_some_and(|waiter| waiter.send(()).is_ok())
    }

    /// Tells all waiting requests of a service to go for which there is room.
    fn give_turns(&mut self, now: Instant, service: &str, free_slots: f64) {
        while let Some(number) = self.pacing.next(now, service, free_slots) {
            if !self.wake(number) {
                self.pacing.note_end(service);
            }
        }
    }
}

/// The requests of a process that are paced after its start.
#[derive(Debug, Default)]
pub(crate) struct StartTurns {
    state: Mutex<State>,
}

impl StartTurns {
    /// The process knows enough to serve from now on.
    pub(crate) fn begin(&self, now: Instant) {
        self.lock().pacing.begin(now);
    }

    /// So many nodes send requests, this one among them.
    pub(crate) fn set_nodes(&self, nodes: usize) {
        self.lock().pacing.set_nodes(nodes);
    }

    /// Keepers of servers are known: requests are placed by them.
    pub(crate) fn finish(&self, now: Instant) {
        let mut state = self.lock();
        for number in state.pacing.finish(now) {
            state.wake(number);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that was given a turn; its end gives another one a turn.
#[derive(Debug)]
pub(crate) struct StartTurn<D: Dialect> {
    shared: Arc<Shared<D>>,
    service: Arc<str>,
}

impl<D: Dialect> Drop for StartTurn<D> {
    fn drop(&mut self) {
        self.shared.end_start_turn(&self.service);
    }
}

/// A request that waits for its turn; dropped with the request whose caller leaves.
struct Waiting<'a, D: Dialect> {
    shared: &'a Shared<D>,
    service: &'a str,
    number: u64,
    /// The turn that it was given is used.
    is_used: bool,
}

impl<D: Dialect> Drop for Waiting<'_, D> {
    fn drop(&mut self) {
        let was_woken = {
            let mut state = self.shared.start.turns.lock();
            state.pacing.forget(self.service, self.number);
            state.waiting.remove(&self.number).is_none()
        };
        // Woken and gone: the turn is another one's.
        if was_woken && !self.is_used {
            self.shared.end_start_turn(self.service);
        }
    }
}

impl<D: Dialect> Shared<D> {
    /// So many nodes send requests, this one among them.
    pub fn note_senders(&self, nodes: usize) {
        self.start.turns.set_nodes(nodes);
    }

    /// Waits for a request's turn; `None` where requests are not paced, or no longer.
    pub(crate) async fn start_turn(
        self: &Arc<Self>,
        service: &Arc<str>,
        request: PacedRequest,
    ) -> Option<StartTurn<D>> {
        let now = self.clock.now();
        let turns = &self.start.turns;
        let end = turns.lock().pacing.ends(now)?;
        let free_slots = self.free_slots_of(service);
        let (number, turn) = {
            let mut state = turns.lock();
            let PacingDecision::Wait(number) = state.pacing.submit(now, service, free_slots, request) else {
                drop(state);
                return Some(StartTurn { shared: self.clone(), service: service.clone() });
            };
            let (sender, turn) = oneshot::channel();
            state.waiting.insert(number, sender);
            state.give_turns(now, service, free_slots);
            (number, turn)
        };
        let mut waiting = Waiting { shared: &**self, service, number, is_used: false };
        let end = end.min(request.until);
        let told = tokio::time::timeout(end.since(now), turn).await;
        let is_paced = told.is_ok() && turns.lock().pacing.ends(self.clock.now()).is_some();
        waiting.is_used = is_paced;
        drop(waiting);
        is_paced.then(|| StartTurn { shared: self.clone(), service: service.clone() })
    }

    /// A request that had its turn has ended: others may have one.
    fn end_start_turn(&self, service: &str) {
        let free_slots = self.free_slots_of(service);
        let mut state = self.start.turns.lock();
        state.pacing.note_end(service);
        state.give_turns(self.clock.now(), service, free_slots);
    }

    fn free_slots_of(&self, service: &str) -> f64 {
        self.dispatcher().free_slots_of(self.clock.now(), service, 0.0)
    }
}
