//! Seeded schedules of claims at trackers with callers and nodes that leave, tables that change,
//! lost messages and a tracker that fails.
//!
//! Each seed is printed before its run; `LATCHWHEEL_SEEDS=N..N+1` runs one again.

use latchwheel_core::admission::{Admission, Claim, ClaimId, ClaimQueue};
use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::identity::NodeId;
use latchwheel_core::tenants::TenantKey;
use latchwheel_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::time::Duration;

const TRACKERS: usize = 3;
const NODES: u64 = 12;
const SIMULATED_MS: u64 = 4000;
const STEP_MS: u64 = 5;
/// Time without an answer after which a node sends its claim to another tracker.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);
const LOSS: f64 = 0.02;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros((60_000 + milliseconds) * 1000)
}

/// A waiting request at its node.
struct Waiting {
    claim: Claim,
    tracker: usize,
    contact_at: Instant,
}

struct World {
    random: SmallRng,
    trackers: Vec<ClaimQueue>,
    waiting: HashMap<ClaimId, Waiting>,
    ended: HashSet<ClaimId>,
    numbers: u64,
    /// Precedence of each tenant in the current table.
    precedences: [u32; 4],
    failed: Option<usize>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            trackers: (0..TRACKERS).map(|_| ClaimQueue::default()).collect(),
            waiting: HashMap::new(),
            ended: HashSet::new(),
            numbers: 0,
            precedences: [0, 0, 1, 2],
            failed: None,
        }
    }

    fn run(&mut self) {
        let fails_at = self.random.random_range(500..2500);
        for millisecond in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
            let now = at(millisecond);
            if millisecond < SIMULATED_MS - 2500 {
                (0..self.random.random_range(0..4)).for_each(|_| self.arrive(now));
            }
            if self.failed.is_none() && millisecond >= fails_at {
                self.failed = Some(self.random.random_range(0..TRACKERS));
            }
            self.inject_faults(now);
            let failed = self.failed;
            (0..TRACKERS).filter(|tracker| Some(*tracker) != failed).for_each(|tracker| self.serve(now, tracker));
            self.retry_unanswered(now);
        }
        assert!(self.waiting.is_empty(), "{} requests never end", self.waiting.len());
        let alive = (0..TRACKERS).filter(|tracker| Some(*tracker) != self.failed);
        let left: usize = alive.map(|tracker| self.trackers[tracker].len()).sum();
        assert_eq!(left, 0, "claims without a request stay in a queue");
    }

    fn arrive(&mut self, now: Instant) {
        self.numbers += 1;
        let tenant = self.random.random_range(0..4);
        let claim = Claim {
            id: ClaimId { node: NodeId(self.random.random_range(0..NODES)), number: self.numbers },
            precedence: self.precedences[tenant as usize],
            tenant: TenantKey(tenant),
            table_version: 1,
            route: RouteKey::of("route"),
            work: self.random.random_range(1..1000),
            timely_until: now + Duration::from_millis(180),
            waits_until: now + CALLER_TIMEOUT,
        };
        self.send_claim(now, claim);
    }

    /// Sends a claim to a random tracker; the message may be lost.
    fn send_claim(&mut self, now: Instant, claim: Claim) {
        let tracker = self.random.random_range(0..TRACKERS);
        self.waiting.insert(claim.id, Waiting { claim, tracker, contact_at: now });
        if Some(tracker) == self.failed || self.random.random_bool(LOSS) {
            return;
        }
        let (entry, evicted) = self.trackers[tracker].add(now, claim);
        assert!(evicted.is_none());
        if let Admission::Refused { retry_after, .. } = entry {
            assert!(retry_after > Duration::ZERO);
            self.end(claim.id);
        }
    }

    /// Makes callers leave, nodes unresponsive and tables change, at random.
    fn inject_faults(&mut self, now: Instant) {
        if self.random.random_bool(0.05) {
            let gone = self.waiting.keys().min().copied();
            if let Some(id) = gone {
                let tracker = self.waiting[&id].tracker;
                self.trackers[tracker].withdraw(id);
                self.end(id);
            }
        }
        if self.random.random_bool(0.01) {
            let node = NodeId(self.random.random_range(0..NODES));
            self.trackers.iter_mut().for_each(|tracker| tracker.withdraw_node(node));
            let of_node: Vec<ClaimId> = self.waiting.keys().filter(|id| id.node == node).copied().collect();
            of_node.into_iter().for_each(|id| self.end(id));
        }
        if self.random.random_bool(0.02) {
            let tenant = self.random.random_range(0..4);
            self.precedences[tenant] = self.random.random_range(0..3);
            let precedences = self.precedences;
            for tracker in &mut self.trackers {
                tracker.set_precedences(now, |claim| precedences[claim.tenant.0 as usize]);
            }
        }
    }

    fn serve(&mut self, now: Instant, tracker: usize) {
        for refused in self.trackers[tracker].expire(now) {
            self.end_unless_lost(refused.claim.id, tracker);
        }
        let mut slots = self.random.random_range(0..2_usize);
        let place = |_: &Claim| {
            slots = slots.checked_sub(1)?;
            Some(())
        };
        let granted = self.trackers[tracker].grant(now, place);
        let mut seen = HashSet::new();
        for granted in granted {
            assert!(seen.insert(granted.claim.id), "granted twice by one tracker");
            self.end_unless_lost(granted.claim.id, tracker);
        }
        for (node, numbers) in self.trackers[tracker].by_node() {
            for number in numbers {
                if let Some(waiting) = self.waiting.get_mut(&ClaimId { node, number }) {
                    waiting.contact_at = if waiting.tracker == tracker { now } else { waiting.contact_at };
                }
            }
        }
    }

    /// Ends a request, unless the tracker's answer is lost.
    fn end_unless_lost(&mut self, id: ClaimId, tracker: usize) {
        let waits_there = self.waiting.get(&id).is_some_and(|waiting| waiting.tracker == tracker);
        if waits_there && !self.random.random_bool(LOSS) {
            self.end(id);
        }
    }

    fn retry_unanswered(&mut self, now: Instant) {
        let unanswered = self.waiting.values().filter(|waiting| now.since(waiting.contact_at) >= RESPONSE_TIMEOUT);
        let mut unanswered: Vec<(Claim, usize)> = unanswered.map(|waiting| (waiting.claim, waiting.tracker)).collect();
        unanswered.sort_unstable_by_key(|(claim, _)| claim.id);
        for (claim, tracker) in unanswered {
            self.trackers[tracker].withdraw(claim.id);
            if now >= claim.waits_until {
                self.end(claim.id);
            } else {
                self.send_claim(now, claim);
            }
        }
    }

    fn end(&mut self, id: ClaimId) {
        assert!(self.waiting.remove(&id).is_some() && self.ended.insert(id), "{id:?} ended twice");
    }
}

fn seeds() -> Range<u64> {
    let chosen = std::env::var("LATCHWHEEL_SEEDS").ok();
    let range = chosen.as_deref().and_then(|text| text.split_once(".."));
    range.map_or(0..60, |(first, end)| first.parse().unwrap()..end.parse().unwrap())
}

#[test]
fn every_claim_ends_once_whatever_is_lost() {
    for seed in seeds() {
        println!("seed {seed}");
        World::new(seed).run();
    }
}
