//! What a leader knows of the other replicas, and the count of
//! acknowledgements.

use super::AckRule;
use crate::time::Instant;
use latchwheel_protocol::v1::{AppendAnswer, Members};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Zones that must hold an entry, where the group spans as many.
const ZONES_FOR_ACK: usize = 2;

#[derive(Debug)]
pub(super) struct Progress {
    pub(super) next: u64,
    pub(super) matched: u64,
    pub(super) in_flight: u64,
    pub(super) round: u64,
    heard: Instant,
    offered: Option<Instant>,
}

impl Progress {
    pub(super) fn new(next: u64, now: Instant) -> Self {
        Self { next, matched: 0, in_flight: 0, round: 0, heard: now, offered: None }
    }

    pub(super) fn heard_within(&self, now: Instant, window: Duration) -> bool {
        now.since(self.heard) < window
    }

    /// Before a heartbeat: if nothing was heard for long, appends under way
    /// are taken for lost and sent again from what is known to have arrived.
    pub(super) fn note_heartbeat(&mut self, now: Instant, timeout: Duration) {
        if self.in_flight > 0 && !self.heard_within(now, timeout / 2) {
            self.in_flight = 0;
            if self.matched > 0 {
                self.next = self.matched + 1;
            }
        }
    }

    pub(super) fn note_answer(&mut self, now: Instant, answer: &AppendAnswer, last: u64) {
        self.heard = now;
        self.round = self.round.max(answer.round);
        if answer.accepted {
            self.in_flight = self.in_flight.saturating_sub(1);
            self.matched = self.matched.max(answer.last_index.min(last));
            self.next = self.next.max(self.matched + 1);
        } else {
            self.in_flight = 0;
            self.next = (answer.last_index + 1).clamp(self.matched + 1, last + 1);
        }
    }

    pub(super) fn may_offer(&mut self, now: Instant, interval: Duration) -> bool {
        let due = self.offered.is_none_or(|offered| now.since(offered) >= interval);
        if due {
            self.offered = Some(now);
        }
        due
    }

    pub(super) fn note_snapshot(&mut self, now: Instant, index: u64) {
        self.heard = now;
        self.in_flight = 0;
        self.offered = None;
        self.matched = self.matched.max(index);
        self.next = self.matched + 1;
    }
}

/// Counts which index is acknowledged.
pub(super) struct Tally<'a> {
    pub(super) members: &'a Members,
    pub(super) me: u64,
    pub(super) persisted: u64,
    pub(super) peers: &'a BTreeMap<u64, Progress>,
    pub(super) rule: AckRule,
    pub(super) now: Instant,
    pub(super) window: Duration,
}

impl Tally<'_> {
    fn matched(&self, replica: u64) -> u64 {
        if replica == self.me {
            return self.persisted;
        }
        self.peers.get(&replica).map_or(0, |peer| peer.matched)
    }

    /// Highest index that is on stable storage as the rule wants it.
    pub(super) fn acknowledged(&self) -> u64 {
        let voters = self.members.replicas.iter().filter(|replica| replica.voter);
        let mut indexes: Vec<u64> = voters.map(|replica| self.matched(replica.replica)).collect();
        indexes.sort_unstable();
        indexes.into_iter().rev().find(|index| self.is_acknowledged(*index)).unwrap_or(0)
    }

    fn is_acknowledged(&self, index: u64) -> bool {
        let mut zones = BTreeSet::new();
        let mut zones_with_copy = BTreeSet::new();
        let (mut voters, mut copies) = (0, 0);
        for replica in self.members.replicas.iter().filter(|replica| replica.voter) {
            voters += 1;
            zones.insert(&replica.zone);
            if self.matched(replica.replica) >= index {
                copies += 1;
                zones_with_copy.insert(&replica.zone);
            } else if self.rule == AckRule::Reachable && self.is_reachable(replica.replica) {
                return false;
            }
        }
        copies > voters / 2 && zones_with_copy.len() >= zones.len().min(ZONES_FOR_ACK)
    }

    fn is_reachable(&self, replica: u64) -> bool {
        replica == self.me || self.peers.get(&replica).is_some_and(|peer| peer.heard_within(self.now, self.window))
    }
}
