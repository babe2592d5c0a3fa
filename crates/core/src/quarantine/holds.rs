//! Requests that are held while crashes are evaluated, and run one at a time afterwards.
//!
//! Without a hold, each copy of a request sent between a crash and the decision could
//! crash another server. If the evidence does not suffice, one more run provides as much
//! of it as many.

use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a request is held after a crash report: until the first two nodes that
/// evaluate the crash have decided. They decide 400 and 500 ms after the report.
pub const HOLD_TIME: Duration = Duration::from_millis(500);
/// Time for which other copies wait after one was sent. A crash usually follows sooner, and
/// a harmless request is not delayed for long.
pub const RUN_HOLD_TIME: Duration = Duration::from_secs(1);
/// Time after a hold for which copies of the request still run one at a time.
const HOLD_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of requests that are held or were held recently.
pub const HOLD_LIMIT: usize = 256;

#[derive(Debug)]
struct Hold {
    /// Number of servers that crashed while they ran the request.
    crashes: usize,
    until: Instant,
}

/// Requests that are held or were held within [`HOLD_RETENTION`].
#[derive(Debug, Default)]
pub(super) struct Holds {
    held: HashMap<Fingerprint, Hold>,
}

impl Holds {
    /// Records the number of crashes under a request. Returns whether this starts or extends
    /// a hold; a repeated report, or a new request beyond the limit, does not.
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

    /// Records that another node has sent a copy to a server.
    pub(super) fn note_run(&mut self, request: Fingerprint, now: Instant) {
        self.prune(now);
        if self.held.len() >= HOLD_LIMIT && !self.held.contains_key(&request) {
            return;
        }
        let hold = self.held.entry(request).or_insert(Hold { crashes: 0, until: now });
        hold.until = hold.until.max(now + RUN_HOLD_TIME);
    }

    /// Records that this node sends a copy. Returns whether the other copies wait for its
    /// result.
    pub(super) fn begin_run(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.prune(now);
        let Some(hold) = self.held.get_mut(&request) else { return false };
        hold.until = hold.until.max(now + RUN_HOLD_TIME);
        true
    }

    /// Remaining time for which a request is held; `None` if it is not held.
    pub(super) fn remaining(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let remaining = self.held.get(&request)?.until.since(now);
        Some(remaining).filter(|remaining| !remaining.is_zero())
    }

    pub(super) fn remove(&mut self, request: Fingerprint) {
        self.held.remove(&request);
    }

    fn prune(&mut self, now: Instant) {
        self.held.retain(|_, hold| now < hold.until + HOLD_RETENTION);
    }
}
