//! Time limit on accepting the keys of a table snapshot.
//!
//! A node that serves from a snapshot while the store is unreachable does not learn that a
//! key was revoked. It therefore accepts the keys of a snapshot for a bounded time only,
//! counted from the last confirmation by the store and not from the load from disk.

use crate::startup_snapshot::MAX_SNAPSHOT_AGE;
use crate::time::Instant;
use std::time::Duration;

/// Time until which the keys of the current table are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyAcceptance {
    /// `None` if a source sent the table to this process: no limit.
    accepted_until: Option<Instant>,
}

impl KeyAcceptance {
    /// Records that the table comes from a snapshot, which the store confirmed `age` ago.
    pub fn note_snapshot_used(&mut self, now: Instant, age: Duration) {
        self.accepted_until = Some(now + MAX_SNAPSHOT_AGE.saturating_sub(age));
    }

    /// Records that a source sent the current table.
    pub fn note_received(&mut self) {
        self.accepted_until = None;
    }

    /// Whether keys are accepted.
    pub fn accepts(&self, now: Instant) -> bool {
        self.accepted_until.is_none_or(|accepted_until| now < accepted_until)
    }
}
