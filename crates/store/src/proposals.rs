//! Proposals that wait for their commit.

use latchwheel_core::code::ResultCode;
use latchwheel_protocol::v1::Outcome;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time after which a proposal is given up; it may still be committed.
const PROPOSAL_TIME: Duration = Duration::from_secs(4);

/// What a proposal came to.
pub type ProposalResult = Result<Outcome, ResultCode>;

/// Whoever waits for a proposal.
pub(crate) enum Waiter {
    /// A caller.
    Caller(oneshot::Sender<ProposalResult>),
    /// A grant of items that must not run twice.
    Grant(u64),
    /// Nobody.
    Nobody,
}

struct Pending {
    waiter: Waiter,
    since: Instant,
}

/// Proposals by identity, and by the index that they got.
#[derive(Default)]
pub(crate) struct Proposals {
    next: u64,
    pending: HashMap<u64, Pending>,
    by_index: BTreeMap<u64, (u64, u64)>,
    /// Applied proposals that may not be acknowledged yet, by index.
    applied: BTreeMap<u64, (Pending, Outcome)>,
}

impl Proposals {
    pub(crate) fn add(&mut self, waiter: Waiter) -> u64 {
        self.next += 1;
        self.pending.insert(self.next, Pending { waiter, since: Instant::now() });
        self.next
    }

    pub(crate) fn proposed(&mut self, identity: u64, index: u64, term: u64) {
        self.by_index.insert(index, (term, identity));
    }

    /// The entry at an index was applied; if it is the one that was proposed
    /// there, its waiter hears of it once it is acknowledged.
    pub(crate) fn applied(&mut self, index: u64, term: u64, outcome: Outcome) {
        let Some((proposed_term, identity)) = self.by_index.remove(&index) else { return };
        let Some(pending) = self.pending.remove(&identity) else { return };
        if proposed_term == term {
            self.applied.insert(index, (pending, outcome));
        } else {
            // Another leader's entry stands there: this one can't be committed.
            refuse(pending.waiter, ResultCode::NotLeader);
        }
    }

    /// Waiters of applied entries up to an acknowledged index.
    pub(crate) fn acknowledged(&mut self, index: u64) -> Vec<(Waiter, Outcome)> {
        let later = self.applied.split_off(&(index + 1));
        let ready = std::mem::replace(&mut self.applied, later);
        ready.into_values().map(|(pending, outcome)| (pending.waiter, outcome)).collect()
    }

    pub(crate) fn rejected(&mut self, identity: u64) {
        if let Some(pending) = self.pending.remove(&identity) {
            refuse(pending.waiter, ResultCode::NotLeader);
        }
    }

    /// Gives up what has waited for too long. Returns the grants among it,
    /// whose holders wait as well.
    pub(crate) fn expire(&mut self) -> Vec<u64> {
        let mut grants = Vec::new();
        let over: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.since.elapsed() > PROPOSAL_TIME)
            .map(|(identity, _)| *identity)
            .collect();
        for identity in over {
            if let Some(pending) = self.pending.remove(&identity) {
                grants.extend(refuse(pending.waiter, ResultCode::NoQuorum));
            }
        }
        let pending = &self.pending;
        self.by_index.retain(|_, (_, identity)| pending.contains_key(identity));
        let late: Vec<u64> = self
            .applied
            .iter()
            .filter(|(_, (pending, _))| pending.since.elapsed() > PROPOSAL_TIME)
            .map(|(index, _)| *index)
            .collect();
        for index in late {
            if let Some((pending, _)) = self.applied.remove(&index) {
                grants.extend(refuse(pending.waiter, ResultCode::NoQuorum));
            }
        }
        grants
    }

    /// Gives up everything: whether it is committed can't be told here.
    pub(crate) fn give_up(&mut self) {
        let applied = std::mem::take(&mut self.applied).into_values().map(|(pending, _)| pending);
        for pending in self.pending.drain().map(|(_, pending)| pending).chain(applied) {
            refuse(pending.waiter, ResultCode::NoQuorum);
        }
        self.by_index.clear();
    }
}

/// Tells a caller; a grant is given back to be told by whoever keeps it.
fn refuse(waiter: Waiter, code: ResultCode) -> Option<u64> {
    match waiter {
        Waiter::Caller(reply) => {
            let _ = reply.send(Err(code));
            None
        }
        Waiter::Grant(identity) => Some(identity),
        Waiter::Nobody => None,
    }
}
