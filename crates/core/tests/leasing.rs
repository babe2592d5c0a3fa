//! Leases of items when the leader that granted them falls silent: its holders
//! reach the next leader before that one takes their items for lost. And grants whose
//! answer comes too late: their start is committed, but no holder runs them.

use latchwheel_core::abandoned_requests::AbandonedRequests;
use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::{Effect, JobState, StateKey, StateTable};
use latchwheel_core::leasing::{LeaseRequester, Leasing, ABANDONED_REPORT_TIME, LEASE_CALL_TIME, LEASE_LENGTH};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{Command, HeldChunk, JobRecord, StartItems};
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

// A job that must not run items twice was handed in, and its items ended as failed with
// an unknown outcome, although no server had seen them. The leader granted them, the
// commit of their start took longer than the holder waits (a disk that was slow to sync,
// or an election meanwhile), and the holder took no late answer. The items were started
// and held by nobody, so that they lapsed as unknown. Runs with a delayed sync of the
// store's disk showed it: the failed items are those that were granted in the delay.

const OTHER: NodeId = NodeId(8);
const LOST: LeaseRequester = LeaseRequester { node: HOLDER, request: 11 };
const NEXT: LeaseRequester = LeaseRequester { node: HOLDER, request: 12 };
const OF_OTHER: LeaseRequester = LeaseRequester { node: OTHER, request: 21 };

/// A job none of whose items has started.
fn new_job() -> JobState {
    let record = JobRecord { job: JOB.into(), row: "bulk".into(), items: ITEMS, ..JobRecord::default() };
    let mut state = JobState::default();
    state.load(StateTable::Job, JOB.as_bytes(), &record.encode_to_vec());
    state
}

/// A leader that may grant at once, and knows all.
fn leader_of(state: &JobState) -> Leasing {
    let mut leasing = Leasing::new(Instant::default(), 1, &JobState::default());
    leasing.open_job(state.job(JOB).unwrap());
    leasing.note_own_term_applied();
    leasing
}

fn commit_start(state: &mut JobState, asker: LeaseRequester) {
    let positions = (0..ITEMS).collect();
    let start = StartItems { job: JOB.into(), positions, holder: asker.node.0, request: asker.request };
    state.apply(Command { body: Some(Body::StartItems(start)) });
}

fn granted(leasing: &mut Leasing, now: Instant, asker: LeaseRequester, state: &JobState) -> BTreeSet<u64> {
    let grants = leasing.grant(now, asker, "bulk", ITEMS as usize, state);
    grants.into_iter().flat_map(|grant| grant.positions).collect()
}

fn unknown(leasing: &mut Leasing, now: Instant, state: &JobState) -> BTreeSet<u64> {
    let lapsed = leasing.expire(now, state, |_| true);
    lapsed.unknown.into_iter().flat_map(|(_, positions)| positions).collect()
}

fn all_items() -> BTreeSet<u64> {
    (0..ITEMS).collect()
}

fn none() -> BTreeSet<u64> {
    BTreeSet::new()
}

#[test]
fn a_grant_that_was_not_taken_is_granted_again() {
    let mut state = new_job();
    let mut leasing = leader_of(&state);
    let start = Instant::default();
    assert_eq!(granted(&mut leasing, start, LOST, &state), all_items());
    commit_start(&mut state, LOST);
    let told_at = start + LEASE_CALL_TIME + ROUND_PAUSE;
    // Only its holder can say so.
    leasing.reclaim(told_at, OTHER, &[LOST.request], &state);
    assert_eq!(granted(&mut leasing, told_at, OF_OTHER, &state), none());
    leasing.reclaim(told_at, HOLDER, &[LOST.request], &state);
    assert_eq!(unknown(&mut leasing, start + LEASE_LENGTH * 2, &state), none());
    assert_eq!(granted(&mut leasing, told_at, NEXT, &state), all_items());
    // Told once more, it doesn't concern what the holder has now.
    leasing.reclaim(told_at, HOLDER, &[LOST.request], &state);
    assert_eq!(granted(&mut leasing, told_at, OF_OTHER, &state), none());
}

#[test]
fn a_request_that_comes_after_its_holder_gave_it_up_gets_nothing() {
    let state = new_job();
    let mut leasing = leader_of(&state);
    let start = Instant::default();
    leasing.reclaim(start, HOLDER, &[LOST.request], &state);
    assert_eq!(granted(&mut leasing, start + STEP, LOST, &state), none());
    assert_eq!(granted(&mut leasing, start + STEP, NEXT, &state), all_items());
}

#[test]
fn the_next_leader_grants_again_what_was_not_taken() {
    let mut state = new_job();
    commit_start(&mut state, LOST);
    let elected = Instant::default();
    let mut leasing = Leasing::new(elected, 2, &state);
    leasing.reclaim(elected + STEP, HOLDER, &[LOST.request], &state);
    let granting = elected + LEASE_LENGTH;
    // Until all earlier entries are applied, a later start of them may follow.
    assert_eq!(unknown(&mut leasing, granting, &state), none());
    assert_eq!(granted(&mut leasing, granting, NEXT, &state), none());
    leasing.note_own_term_applied();
    assert_eq!(unknown(&mut leasing, granting, &state), none());
    assert_eq!(granted(&mut leasing, granting, NEXT, &state), all_items());
}

/// Items that came back were granted to another node, which is gone: what their first
/// holder says of its own request must not let them run a second time.
#[test]
fn only_the_last_holder_can_say_that_items_did_not_run() {
    let mut state = new_job();
    commit_start(&mut state, LOST);
    commit_start(&mut state, OF_OTHER);
    let elected = Instant::default();
    let mut leasing = Leasing::new(elected, 2, &state);
    leasing.note_own_term_applied();
    leasing.reclaim(elected + STEP, HOLDER, &[LOST.request], &state);
    assert_eq!(unknown(&mut leasing, elected + LEASE_LENGTH, &state), all_items());
    assert_eq!(granted(&mut leasing, elected + LEASE_LENGTH, NEXT, &state), none());
}

#[test]
fn a_start_names_its_request_after_a_restart_too() {
    let mut state = new_job();
    let start = StartItems { job: JOB.into(), positions: vec![3], holder: HOLDER.0, request: LOST.request };
    let applied = state.apply(Command { body: Some(Body::StartItems(start)) });
    let mut restored = new_job();
    for effect in applied.effects {
        if let Effect::Put(table, key, value) = effect {
            restored.load(table, &key, &value);
        }
    }
    assert_eq!(restored.job(JOB).unwrap().start_requests.get(&3), Some(&LOST.request));
}

#[test]
fn a_holder_tells_what_it_gave_up_for_a_bounded_time() {
    let start = Instant::default();
    let mut unanswered = AbandonedRequests::default();
    unanswered.note(start, &[1]);
    // To tell it again is no news.
    unanswered.note(start + STEP, &[1, 2]);
    assert_eq!(unanswered.to_report(start + STEP), [1, 2]);
    assert_eq!(unanswered.to_report(start + ABANDONED_REPORT_TIME), [2]);
    assert_eq!(unanswered.to_report(start + STEP + ABANDONED_REPORT_TIME), [0; 0]);
}
