//! Quarantine of requests that end the servers that run them.
//!
//! Such a request comes again with the same content ([`crate::fingerprint`]) under
//! another identity and at any node, so that what one attempt or one node learns is not
//! enough. Nodes tell a few of them under which requests a server ended. These weigh the
//! evidence ([`CrashEvidence`]) and tell all nodes the verdicts, which every node keeps
//! ([`Quarantine`]) and asks before it sends a request to a server.
//!
//! When a server ends, everything that it worked on is cut, and only one of these
//! requests is the cause. Rules that keep the others from harm:
//!
//! - A request is quarantined only after [`CRASHES_TO_QUARANTINE`] servers ended under it
//!   that no other quarantined request explains.
//! - One under which three servers ended waits while the last end is weighed, half a second
//!   at most; unless there is a verdict, its copies run one after the other from then on.
//! - Where several requests explain the same servers equally well, more evidence is
//!   waited for.
//! - A request that a server runs to its end is innocent: what was held against it is
//!   forgotten, and a verdict is lifted.
//! - A verdict has an end. After it the request runs again; one more server that ends
//!   under it brings a longer quarantine.
//!
//! Everything is bounded, and no request is read for it unless one of its shape is
//! suspected.

mod entries;
mod evidence;
mod holds;

pub use entries::{
    ClearedState, Quarantine, QuarantineEntry, QuarantineStatus, QUARANTINE_LIMIT, QUARANTINE_RETENTION,
};
pub use evidence::{CrashEvidence, Decisions, CRASHES_TO_QUARANTINE};
pub use holds::{HOLD_LIMIT, HOLD_TIME, RUN_HOLD_TIME};
