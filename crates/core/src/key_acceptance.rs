//! Until when keys are accepted that a table names which was kept before a start.
//!
//! The fault: a key is taken away while the store is away for this node, which serves by a
//! snapshot. The node can't hear of it; so it accepts keys for a bounded time only, counted
//! from when the store last confirmed the snapshot, however late it was taken from a disk.

use crate::startup_snapshot::MAX_SNAPSHOT_AGE;
use crate::time::Instant;
use std::time::Duration;

/// How long the keys of the table in force are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyAcceptance {
    /// `None` for the keys that a source told this process.
    until: Option<Instant>,
}

impl KeyAcceptance {
    /// The table was kept on a disk; the store confirmed it so long ago.
    pub fn note_snapshot_used(&mut self, now: Instant, age: Duration) {
        self.until = Some(now + MAX_SNAPSHOT_AGE.saturating_sub(age));
    }

    /// A source has told what the table is now.
    pub fn note_told(&mut self) {
        self.until = None;
    }

    /// Whether keys are accepted.
    pub fn accepts(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}
