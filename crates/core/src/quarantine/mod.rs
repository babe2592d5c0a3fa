//! Quarantine of requests that crash the servers that run them.
//!
//! Such a request is retried with the same content ([`crate::fingerprint`]) but another
//! identity, at any node. Nodes therefore report to a few of them which requests a server
//! was running when it crashed. These evaluate the reports ([`CrashEvidence`]) and send the
//! resulting entries to all nodes. Each node stores the entries ([`Quarantine`]) and checks
//! them before it sends a request to a server.
//!
//! A part of a prompt that many requests share may crash servers, too, whatever else these
//! requests hold. It is quarantined by the same entries, with a key of its own
//! ([`crate::fingerprint::RequestKey::of_part`]).
//!
//! A crash interrupts all requests of the server, and only one of them is the cause. To
//! protect the others, a request needs [`CRASHES_TO_QUARANTINE`] crashes that no other
//! request explains as well; a successful run clears it and lifts its entry. Entries expire,
//! and one crash after that quarantines the request again for longer. All state is bounded.

mod entries;
mod evidence;
mod groups;
mod holds;
mod parts;

pub use entries::{
    ClearedState, Quarantine, QuarantineEntry, QuarantineStatus, QUARANTINE_LIMIT, QUARANTINE_RETENTION,
};
pub use evidence::{CrashEvidence, Decisions, CRASHES_TO_QUARANTINE};
pub use holds::{HOLD_LIMIT, HOLD_TIME, RUN_HOLD_TIME};
