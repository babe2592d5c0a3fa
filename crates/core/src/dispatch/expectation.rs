//! When the first piece of an answer is expected, and servers that were overtaken.

use super::{Dispatcher, Placement};
use crate::time::Instant;
use std::time::Duration;

/// What the first piece of an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstPiece {
    /// One of several, sent as soon as it is there.
    OfStream,
    /// The whole answer.
    WholeAnswer,
}

impl Dispatcher {
    /// Time in which the first piece of an answer is expected of a request that is sent
    /// now; `None` where no server of the service tells its pace.
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

    /// A request that was sent at that time was answered by another server first.
    pub fn note_overtaken(&mut self, now: Instant, server: &str, sent_at: Instant) {
        let Some(server) = self.servers.get_mut(server) else { return };
        server.note_overtaken(now, sent_at);
        self.tracked.note_change(server.key);
    }
}
