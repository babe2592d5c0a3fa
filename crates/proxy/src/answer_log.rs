//! What is logged at the end of an answer.

use crate::dialect::Dialect;
use crate::forward::log_dropped;
use crate::in_flight::InFlight;
use crate::shared::Shared;
use latchwheel_core::answer_end::Framing;
use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::routes::Route;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use std::sync::Arc;

/// An answer that is passed on, as it is logged.
#[derive(Clone, Debug)]
pub(crate) struct AnswerLog {
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    /// When the request was read.
    pub(crate) received: Instant,
    /// When it was sent to the server that began the answer.
    pub(crate) sent_at: Instant,
    pub(crate) status: u16,
    pub(crate) first_piece_ms: u64,
    /// Attempts so far.
    pub(crate) attempts: u32,
    pub(crate) framing: Framing,
}

impl AnswerLog {
    /// The answer is complete.
    pub(crate) fn complete<D: Dialect>(&self, shared: &Shared<D>) {
        let now = shared.clock.now();
        shared.answer_times().note(now, RouteKey::of(&self.route.name), now.since(self.sent_at));
        let total_ms = now.since(self.received).as_millis() as u64;
        let Self { id, route, status, first_piece_ms, attempts, framing, .. } = self;
        let event = Event::RequestAnswered {
            id,
            route: &route.name,
            status: *status,
            total_ms,
            first_piece_ms: *first_piece_ms,
            attempts: *attempts,
            framing: framing.as_str(),
        };
        emit(id, &event);
    }

    /// The answer is broken off.
    pub(crate) fn cut<D: Dialect>(&self, shared: &Shared<D>, server: &str, reason: &str) {
        let after_ms = shared.clock.now().since(self.received).as_millis() as u64;
        let (id, framing) = (&self.id, self.framing.as_str());
        emit(id, &Event::AnswerCut { id, server, reason, framing, after_ms });
    }

    /// Nobody reads the answer any more.
    pub(crate) fn dropped<D: Dialect>(&self, shared: &Shared<D>, in_flight: &InFlight) {
        log_dropped(shared, &self.id, &self.route.name, self.received, in_flight.in_progress());
    }
}
