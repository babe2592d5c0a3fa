//! Requests that wait while the ends of servers under them are weighed, and run one at a
//! time after that.
//!
//! Answers a burst of copies of a request that ends its servers: all that come between
//! the end of a server and the verdict would reach servers otherwise, one each. Where the
//! evidence is not enough for a verdict, one more run shows as much as many.

use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a request is held after the word of an end: until the first two nodes
/// that weigh it have decided (400 and 500 ms after it, `evidence`).
pub const HOLD_TIME: Duration = Duration::from_millis(500);
/// Time for which other copies wait for the fate of one that was sent: a request that ends
/// its servers does so soon, and a harmless one is not to be held for long.
pub const RUN_HOLD_TIME: Duration = Duration::from_secs(1);
/// Time for which copies run one after the other once they were held.
const HOLD_RETENTION: Duration = Duration::from_secs(60);
/// Requests that are held or remembered at a time.
pub const HOLD_LIMIT: usize = 256;

#[derive(Debug)]
struct Hold {
    /// Servers that had ended under the request.
    crashes: usize,
    until: Instant,
}

/// The requests that are held now, or were held shortly before.
#[derive(Debug, Default)]
pub(super) struct Holds {
    held: HashMap<Fingerprint, Hold>,
}

impl Holds {
    /// So many servers have ended under a request; `true` if it is held for longer by
    /// that. Old news, and news beyond the limit, change nothing.
    pub(super) fn note_crashes(&mut self, request: Fingerprint, crashes: usize, now: Instant) -> bool {
        self.prune(now);
        let is_full = self.held.len() >= HOLD_LIMIT;
        match self.held.get_mut(&request) {
            Some(hold) if hold.crashes >= crashes => false,
            Some(hold) => {
                *hold = Hold { crashes, until: hold.until.max(now + HOLD_TIME) };
                true
            }
            None if is_full => false,
            None => self.held.insert(request, Hold { crashes, until: now + HOLD_TIME }).is_none(),
        }
    }

    /// Another node has sent a copy to a server.
    pub(super) fn note_run(&mut self, request: Fingerprint, now: Instant) {
        self.prune(now);
        if self.held.len() >= HOLD_LIMIT && !self.held.contains_key(&request) {
            return;
        }
        let hold = self.held.entry(request).or_insert(Hold { crashes: 0, until: now });
        hold.until = hold.until.max(now + RUN_HOLD_TIME);
    }

    /// A copy is to be sent now. All others wait for its fate if this gives back `true`.
    pub(super) fn begin_run(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.prune(now);
        let Some(hold) = self.held.get_mut(&request) else { return false };
        hold.until = hold.until.max(now + RUN_HOLD_TIME);
        true
    }

    /// Time for which a request is still held; `None` if it isn't.
    pub(super) fn remaining(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let remaining = self.held.get(&request)?.until.since(now);
        Some(remaining).filter(|remaining| !remaining.is_zero())
    }

    /// A request is not suspected any more.
    pub(super) fn remove(&mut self, request: Fingerprint) {
        self.held.remove(&request);
    }

    fn prune(&mut self, now: Instant) {
        self.held.retain(|_, hold| now < hold.until + HOLD_RETENTION);
    }
}
