//! Requests that come while a node knows too little to serve them: held, or refused.
//!
//! The load: all nodes start together, without a table or without servers, and callers
//! come at their usual rate. Whoever is refused asks another node that starts as well,
//! and has used up one of its tries; whoever is held is served once the node knows
//! enough. So a request is held for as long as its caller waits, within a bound of
//! memory. The deadline can be read without a table.
//!
//! Nobody is held for what waiting doesn't bring: where the store has told that there is
//! no table, only its operator knows when there will be one; and a node that leaves gives
//! its callers the time to ask another one.

use crate::code::ResultCode;
use std::time::Duration;

/// Part of the time that a caller waits in which its request is held: the rest is for
/// being served.
const HOLD_SHARE: f64 = 0.9;
/// Time for which a request without a deadline is held: whoever is told to come back
/// later than that is no worse off.
const DEFAULT_HOLD: Duration = Duration::from_millis(800);
/// Longest time for which a request is held, whatever deadline it names.
const MAX_HOLD: Duration = Duration::from_secs(30);
/// Memory that a held request takes: what its connection has read of it, and its task.
const REQUEST_BYTES: usize = 16 << 10;
/// Memory that all held requests may take. The smallest machines have 120 MB.
const MAX_HELD_BYTES: usize = 16 << 20;

/// Time for which a request is held at most whose caller waits for `left`, if it says so.
fn max_hold(left: Option<Duration>) -> Duration {
    left.map_or(DEFAULT_HOLD, |left| left.mul_f64(HOLD_SHARE).min(MAX_HOLD))
}

/// What is known of the table by which requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableState {
    /// Nothing.
    #[default]
    Unknown,
    /// The store has told all that there is, and there is none that can be put in force.
    Absent,
    /// One is in force.
    InForce,
}

/// What a node knows of what it needs to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartupState {
    /// The table.
    pub table: TableState,
    /// The servers are known.
    pub servers: bool,
    /// The node leaves.
    pub leaving: bool,
}

impl StartupState {
    /// Whether requests can be served.
    pub fn serves(&self) -> bool {
        self.table == TableState::InForce && self.servers
    }

    /// The store, or a node that it answers, has told all of the operator's records.
    pub fn note_table_received(&mut self) {
        if self.table == TableState::Unknown {
            self.table = TableState::Absent;
        }
    }

    /// Whether requests wait for more to be known.
    pub fn waits(&self) -> bool {
        !self.serves() && !self.leaving && self.table != TableState::Absent
    }

    /// Why a request is refused that does not wait, or waits no longer; `None` if it goes
    /// its usual way. A node that leaves sends nobody to wait for servers once more.
    pub fn refusal(&self, was_held: bool) -> Option<ResultCode> {
        let has_table = self.table == TableState::InForce;
        if has_table && (self.servers || !self.leaving || !was_held) {
            return None;
        }
        Some(if self.leaving { ResultCode::Leaving } else { ResultCode::NotReady })
    }
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is served, or refused, by what is known.
    Proceed,
    /// It is held for that time at most, and then goes on.
    Hold(Duration),
}

/// The requests that are held at a start.
#[derive(Debug, Default)]
pub struct StartupHold {
    held: usize,
}

impl StartupHold {
    /// Most requests that are held at a time.
    pub const LIMIT: usize = MAX_HELD_BYTES / REQUEST_BYTES;

    /// A request arrives whose caller waits for `left`, if it says so. Whoever is held is
    /// to be told of by [`Self::leave`].
    pub fn arrive(&mut self, state: &StartupState, left: Option<Duration>) -> Arrival {
        if !state.waits() || self.held >= Self::LIMIT {
            return Arrival::Proceed;
        }
        self.held += 1;
        Arrival::Hold(max_hold(left))
    }

    /// A held request goes on, is refused, or has lost its caller.
    pub fn leave(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Requests that are held now.
    pub fn held(&self) -> usize {
        self.held
    }
}
