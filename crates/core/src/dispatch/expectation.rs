//! Expected time of the first piece of an answer, and servers whose attempts were overtaken.

use super::{Dispatcher, Placement};
use crate::time::Instant;
use std::time::Duration;

/// Kind of the first piece of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstPiece {
    /// First of several pieces of a stream.
    OfStream,
    /// The whole answer.
    WholeAnswer,
}

impl Dispatcher {
    /// Returns the expected time until the first piece of the answer of a request that is sent
    /// now; `None` if no server of the service reports its slowdown.
    pub fn expected_first_piece(&self, now: Instant, placement: &Placement, piece: FirstPiece) -> Option<Duration> {
        let server = self.servers.get(&placement.server)?;
        let cost = self.services.get(&server.service).filter(|cost| cost.slowdown_validity.is_some())?;
        let view = self.view(now, server);
        let work = match piece {
            FirstPiece::OfStream => view.prefill(cost, placement.uncached) + view.step_seconds(cost),
            FirstPiece::WholeAnswer => cost.service_seconds() * view.time_factor(cost),
        };
        Some(placement.expected_wait + Duration::from_secs_f64(work.min(3600.0)))
    }

    /// Records that another server answered a request before this server, to which it was sent
    /// at `sent_at`.
    pub fn note_overtaken(&mut self, now: Instant, server: &str, sent_at: Instant) {
        let Some(server) = self.servers.get_mut(server) else { return };
        server.note_overtaken(now, sent_at);
        self.tracked.note_change(server.key);
    }
}
