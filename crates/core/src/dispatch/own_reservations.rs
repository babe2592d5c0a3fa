//! Servers that a tracker reserved for requests of its own that it has not sent yet.
//!
//! A tracker never reports to itself: its reservations end when it sends the requests, or
//! expire.

use super::peers::{ServerKey, ServerShare};
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// The reservations, oldest first.
#[derive(Debug, Default)]
pub(super) struct OwnReservations(VecDeque<Reservation>);

#[derive(Debug)]
struct Reservation {
    at: Instant,
    share: ServerShare,
}

impl OwnReservations {
    /// Records the reservation of a server.
    pub(super) fn add(&mut self, now: Instant, share: ServerShare) {
        self.0.push_back(Reservation { at: now, share });
    }

    /// Removes the newest reservation of a server: one that is never used grows old and expires.
    pub(super) fn take_newest(&mut self, server: ServerKey) -> Option<ServerShare> {
        let newest = self.0.iter().rposition(|reservation| reservation.share.server == server)?;
        self.0.remove(newest).map(|reservation| reservation.share)
    }

    /// Removes the oldest reservation if it was not used within `time`.
    pub(super) fn take_unused(&mut self, now: Instant, time: Duration) -> Option<ServerShare> {
        let oldest = self.0.front()?;
        if now.since(oldest.at) < time {
            return None;
        }
        self.0.pop_front().map(|reservation| reservation.share)
    }
}
