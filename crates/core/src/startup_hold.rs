//! Holds requests that arrive at a starting node until it can serve them.
//!
//! After a restart of all nodes, callers arrive at their usual rate. A refused caller
//! would retry at another starting node and use up an attempt, so requests are held
//! instead, within a bound on time and memory. The deadline of a request is readable
//! without a table.
//!
//! Requests are not held if waiting cannot help: if the store has no table, or if the node
//! is draining.

use crate::code::ResultCode;
use std::time::Duration;

/// Share of the caller's remaining time for which a request is held; the rest is for serving.
const HOLD_SHARE: f64 = 0.9;
/// Hold time of a request without a deadline.
const DEFAULT_HOLD: Duration = Duration::from_millis(800);
/// Maximum hold time, whatever the deadline.
const MAX_HOLD: Duration = Duration::from_secs(30);
/// Memory of a held request: the bytes read from its connection, and its task.
const REQUEST_BYTES: usize = 16 << 10;
/// Memory bound for all held requests. The smallest machines have 120 MB.
const MAX_HELD_BYTES: usize = 16 << 20;

/// Maximum hold time of a request whose caller waits for `left`, if it has a deadline.
fn max_hold(left: Option<Duration>) -> Duration {
    left.map_or(DEFAULT_HOLD, |left| left.mul_f64(HOLD_SHARE).min(MAX_HOLD))
}

/// State of the table by which requests are routed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableState {
    /// Nothing received yet.
    #[default]
    Unknown,
    /// All records were received and hold no usable table.
    Absent,
    /// A table is in force.
    InForce,
}

/// What a node holds of the data that it needs to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartupState {
    /// State of the table.
    pub table: TableState,
    /// Whether the node holds the list of servers.
    pub servers: bool,
    /// Whether the node is draining.
    pub leaving: bool,
}

impl StartupState {
    /// Whether requests can be served.
    pub fn serves(&self) -> bool {
        self.table == TableState::InForce && self.servers
    }

    /// Records that all of the operator's records were received.
    pub fn note_table_received(&mut self) {
        if self.table == TableState::Unknown {
            self.table = TableState::Absent;
        }
    }

    /// Whether requests are held until more data arrives.
    pub fn waits(&self) -> bool {
        !self.serves() && !self.leaving && self.table != TableState::Absent
    }

    /// Refusal of a request that is not held, or no longer; `None` if it proceeds. At a draining
    /// node, requests that were already held don't wait again for servers.
    pub fn refusal(&self, was_held: bool) -> Option<ResultCode> {
        let has_table = self.table == TableState::InForce;
        if has_table && (self.servers || !self.leaving || !was_held) {
            return None;
        }
        Some(if self.leaving { ResultCode::Leaving } else { ResultCode::NotReady })
    }
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request is served or refused at once.
    Proceed,
    /// The request is held for at most this time, and then proceeds.
    Hold(Duration),
}

/// Counts the requests held during startup.
#[derive(Debug, Default)]
pub struct StartupHold {
    held: usize,
}

impl StartupHold {
    /// Maximum number of held requests.
    pub const LIMIT: usize = MAX_HELD_BYTES / REQUEST_BYTES;

    /// Decides on a request whose caller waits for `left`, if it has a deadline. Call
    /// [`Self::leave`] once for each held request.
    pub fn arrive(&mut self, state: &StartupState, left: Option<Duration>) -> Arrival {
        if !state.waits() || self.held >= Self::LIMIT {
            return Arrival::Proceed;
        }
        self.held += 1;
        Arrival::Hold(max_hold(left))
    }

    /// Records that a held request proceeded, was refused, or lost its caller.
    pub fn leave(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Number of requests held now.
    pub fn held(&self) -> usize {
        self.held
    }
}
