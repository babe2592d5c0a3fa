//! Replication progress of the other replicas, and which entries are committed
//! and acknowledged.

use super::AckRule;
use crate::time::Instant;
use latchwheel_protocol::v1::{AppendAnswer, Members};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Zones that must hold an entry, or all zones of the voters if those are fewer.
const ZONES_FOR_ACK: usize = 2;

#[derive(Debug)]
pub(super) struct Progress {
    pub(super) next: u64,
    pub(super) matched: u64,
    pub(super) in_flight: u64,
    pub(super) round: u64,
    last_response: Instant,
    last_offer: Option<Instant>,
}

impl Progress {
    pub(super) fn new(next: u64, now: Instant) -> Self {
        Self { next, matched: 0, in_flight: 0, round: 0, last_response: now, last_offer: None }
    }

    pub(super) fn responded_within(&self, now: Instant, reachable_window: Duration) -> bool {
        now.since(self.last_response) < reachable_window
    }

    /// Called before a heartbeat: if the replica has not responded for half the
    /// timeout, treats unanswered appends as lost and resends from `matched`.
    pub(super) fn note_heartbeat(&mut self, now: Instant, timeout: Duration) {
        if self.in_flight > 0 && !self.responded_within(now, timeout / 2) {
            self.in_flight = 0;
            if self.matched > 0 {
                self.next = self.matched + 1;
            }
        }
    }

    pub(super) fn note_answer(&mut self, now: Instant, answer: &AppendAnswer, last: u64) {
        self.last_response = now;
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

    pub(super) fn may_offer_snapshot(&mut self, now: Instant, interval: Duration) -> bool {
        let due = self.last_offer.is_none_or(|last_offer| now.since(last_offer) >= interval);
        if due {
            self.last_offer = Some(now);
        }
        due
    }

    pub(super) fn note_snapshot(&mut self, now: Instant, index: u64) {
        self.last_response = now;
        self.in_flight = 0;
        self.last_offer = None;
        self.matched = self.matched.max(index);
        self.next = self.matched + 1;
    }
}

/// Copies of an entry on stable storage.
#[derive(Debug, Default)]
struct Copies<'a> {
    voters: usize,
    copies: usize,
    zones: BTreeSet<&'a String>,
    zones_with_copy: BTreeSet<&'a String>,
    missing_reachable: bool,
}

impl Copies<'_> {
    fn on_quorum(&self) -> bool {
        self.copies > self.voters / 2
    }

    fn spans_zones(&self) -> bool {
        self.zones_with_copy.len() >= self.zones.len().min(ZONES_FOR_ACK)
    }
}

/// Computes the committed and the acknowledged index.
pub(super) struct Tally<'a> {
    pub(super) members: &'a Members,
    pub(super) me: u64,
    pub(super) persisted: u64,
    pub(super) peers: &'a BTreeMap<u64, Progress>,
    pub(super) rule: AckRule,
    pub(super) now: Instant,
    pub(super) reachable_window: Duration,
}

impl Tally<'_> {
    fn matched(&self, replica: u64) -> u64 {
        if replica == self.me {
            return self.persisted;
        }
        self.peers.get(&replica).map_or(0, |peer| peer.matched)
    }

    /// Highest index that a quorum has on stable storage.
    pub(super) fn committed(&self) -> u64 {
        self.highest(|index| self.copies(index).on_quorum())
    }

    /// Highest index whose copies satisfy the acknowledgement rule.
    pub(super) fn acknowledged(&self) -> u64 {
        self.highest(|index| {
            let copies = self.copies(index);
            copies.on_quorum() && copies.spans_zones() && (self.rule == AckRule::Quorum || !copies.missing_reachable)
        })
    }

    fn highest(&self, condition: impl Fn(u64) -> bool) -> u64 {
        let voters = self.members.replicas.iter().filter(|replica| replica.voter);
        let mut indexes: Vec<u64> = voters.map(|replica| self.matched(replica.replica)).collect();
        indexes.sort_unstable();
        indexes.into_iter().rev().find(|index| condition(*index)).unwrap_or(0)
    }

    fn copies(&self, index: u64) -> Copies<'_> {
        let mut copies = Copies::default();
        for replica in self.members.replicas.iter().filter(|replica| replica.voter) {
            copies.voters += 1;
            copies.zones.insert(&replica.zone);
            if self.matched(replica.replica) >= index {
                copies.copies += 1;
                copies.zones_with_copy.insert(&replica.zone);
            } else if self.is_reachable(replica.replica) {
                copies.missing_reachable = true;
            }
        }
        copies
    }

    fn is_reachable(&self, replica: u64) -> bool {
        replica == self.me
            || self.peers.get(&replica).is_some_and(|peer| peer.responded_within(self.now, self.reachable_window))
    }
}
