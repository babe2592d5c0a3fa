//! Leases of items when the leader that granted them falls silent: its holders
//! reach the next leader before that one takes their items for lost.

use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::{JobState, StateKey, StateTable};
use latchwheel_core::leasing::{Leasing, LEASE_CALL_TIME};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::{HeldChunk, JobRecord};
use latchwheel_protocol::Message;
use std::collections::BTreeSet;
use std::time::Duration;

const JOB: &str = "job";
const ITEMS: u64 = 60;
const HOLDER: NodeId = NodeId(7);
const FORMER_LEASE: u64 = 1;
/// Pause of a holder between two rounds over the nodes that may lead.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// A follower stands for election after one to two of its timeouts of 600 ms; a
/// vote that was split is repeated after as long again.
const ELECTION_MILLISECONDS: std::ops::RangeInclusive<u64> = 600..=2400;
const STEP: Duration = Duration::from_millis(50);

/// All items of a job that must not run twice have started.
fn started_job() -> JobState {
    let record = JobRecord { job: JOB.into(), row: "bulk".into(), items: ITEMS, ..JobRecord::default() };
    let mut state = JobState::default();
    state.load(StateTable::Job, JOB.as_bytes(), &record.encode_to_vec());
    for position in 0..ITEMS {
        state.load(StateTable::Start, &StateKey::item(JOB, position), &[]);
    }
    state
}

/// When a holder that asks the silent leader first reaches the one that is elected
/// `election` after the silence began; its first call leaves `phase` after that.
fn reaches_new_leader(election: Duration, phase: Duration) -> Duration {
    let mut at = phase;
    loop {
        at += LEASE_CALL_TIME;
        // The others are asked in the same round.
        if at >= election {
            return at;
        }
        at += ROUND_PAUSE;
    }
}

#[test]
fn items_outlast_a_leader_that_falls_silent() {
    let state = started_job();
    for election in ELECTION_MILLISECONDS.step_by(100).map(Duration::from_millis) {
        for phase in (0..20).map(|step| STEP * step) {
            let silent_from = Instant::default();
            let mut leasing = Leasing::new(silent_from + election, 2, &state);
            let told_at = silent_from + reaches_new_leader(election, phase);
            let mut now = silent_from + election;
            let mut told = false;
            let end = silent_from + election + Duration::from_secs(5);
            while now < end {
                let lapsed = leasing.expire(now, &state, |_| true);
                assert!(lapsed.unknown.is_empty(), "items lost: election {election:?}, call at {phase:?}");
                // The holder renews its lease at each round from then on.
                if now >= told_at {
                    let positions = if told { Vec::new() } else { (0..ITEMS).collect() };
                    let held = HeldChunk { lease: FORMER_LEASE, job: JOB.into(), positions };
                    let stop = leasing.renew(now, HOLDER, &[held], &state);
                    assert!(stop.is_empty());
                    told = true;
                }
                now = now + STEP;
            }
            assert_eq!(leasing.held_items() as u64, ITEMS);
        }
    }
}

/// A node that was cut off tells others of each other's end; who renews lives. One
/// that is gone is not waited for until its leases end.
#[test]
fn a_holder_that_renews_is_not_gone() {
    let state = started_job();
    let elected = Instant::default();
    let mut leasing = Leasing::new(elected, 2, &state);
    let chunk = |positions: Vec<u64>| HeldChunk { lease: FORMER_LEASE, job: JOB.into(), positions };
    leasing.renew(elected, HOLDER, &[chunk((0..ITEMS).collect())], &state);
    let mut now = elected;
    for _ in 0..20 {
        now = now + Duration::from_millis(750);
        leasing.renew(now, HOLDER, &[chunk(Vec::new())], &state);
        let lapsed = leasing.expire(now + STEP, &state, |_| false);
        assert!(lapsed.unknown.is_empty(), "a holder that renews lost its items");
    }
    let gone = leasing.expire(now + Duration::from_millis(1500), &state, |_| false);
    let lost: BTreeSet<u64> = gone.unknown.into_iter().flat_map(|(_, positions)| positions).collect();
    assert_eq!(lost, (0..ITEMS).collect());
}
