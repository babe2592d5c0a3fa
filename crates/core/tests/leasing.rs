//! Leases across a change of leader, and grants whose answer arrives after the holder's
//! timeout.

use latchwheel_core::abandoned_requests::AbandonedRequests;
use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::{Effect, JobState, StateKey, StateTable};
use latchwheel_core::leasing::{LeaseRequester, Leasing, ABANDONED_REPORT_TIME, LEASE_CALL_TIMEOUT, LEASE_LENGTH};
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
/// Backoff of a holder between two rounds over the nodes that may be leader.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// A follower starts an election after one to two election timeouts (600 ms); a split vote
/// doubles that time.
const ELECTION_MILLISECONDS: std::ops::RangeInclusive<u64> = 600..=2400;
const STEP: Duration = Duration::from_millis(50);

/// State with a job that must not run twice and whose items have all started.
fn started_job() -> JobState {
    let record = JobRecord { job: JOB.into(), row: "bulk".into(), items: ITEMS, ..JobRecord::default() };
    let mut state = JobState::default();
    state.load(StateTable::Job, JOB.as_bytes(), &record.encode_to_vec());
    for position in 0..ITEMS {
        state.load(StateTable::Start, &StateKey::item(JOB, position), &[]);
    }
    state
}

/// Time from the failure of the leader until a holder reaches the next leader, which is
/// elected after `election`. The holder makes its first call after `first_call`.
fn contact_with_new_leader(election: Duration, first_call: Duration) -> Duration {
    let mut at = first_call;
    loop {
        at += LEASE_CALL_TIMEOUT;
        // The same round calls the other nodes.
        if at >= election {
            return at;
        }
        at += ROUND_PAUSE;
    }
}

#[test]
fn held_items_survive_an_unresponsive_leader() {
    let state = started_job();
    for election in ELECTION_MILLISECONDS.step_by(100).map(Duration::from_millis) {
        for first_call in (0..20).map(|step| STEP * step) {
            let failed_at = Instant::default();
            let mut leasing = Leasing::new(failed_at + election, 2, &state);
            let reported_at = failed_at + contact_with_new_leader(election, first_call);
            let mut now = failed_at + election;
            let mut reported = false;
            let end = failed_at + election + Duration::from_secs(5);
            while now < end {
                let lapsed = leasing.expire(now, &state, |_| true);
                assert!(lapsed.unknown.is_empty(), "items lost: election {election:?}, call at {first_call:?}");
                // The holder renews its lease at each round from then on.
                if now >= reported_at {
                    let positions = if reported { Vec::new() } else { (0..ITEMS).collect() };
                    let held = HeldChunk { lease: FORMER_LEASE, job: JOB.into(), positions };
                    let stop = leasing.renew(now, HOLDER, &[held], &state);
                    assert!(stop.is_empty());
                    reported = true;
                }
                now = now + STEP;
            }
            assert_eq!(leasing.held_items() as u64, ITEMS);
        }
    }
}

/// A node that returns from a network partition reports all others as dead. Holders that
/// renew must keep their leases; those of an absent holder end before their expiry.
#[test]
fn a_holder_that_renews_keeps_its_leases_when_reported_absent() {
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

// If the commit of a start takes longer than the request timeout of the holder, the items
// are started but no holder runs them. They must be granted again, not end as unknown.

const OTHER: NodeId = NodeId(8);
const ABANDONED: LeaseRequester = LeaseRequester { node: HOLDER, request: 11 };
const NEXT: LeaseRequester = LeaseRequester { node: HOLDER, request: 12 };
const BY_OTHER: LeaseRequester = LeaseRequester { node: OTHER, request: 21 };

/// State with a job whose items have not started.
fn new_job() -> JobState {
    let record = JobRecord { job: JOB.into(), row: "bulk".into(), items: ITEMS, ..JobRecord::default() };
    let mut state = JobState::default();
    state.load(StateTable::Job, JOB.as_bytes(), &record.encode_to_vec());
    state
}

/// Leader that may grant at once and has applied all earlier entries.
fn leader_of(state: &JobState) -> Leasing {
    let mut leasing = Leasing::new(Instant::default(), 1, &JobState::default());
    leasing.open_job(state.job(JOB).unwrap());
    leasing.note_own_term_applied();
    leasing
}

fn commit_start(state: &mut JobState, requester: LeaseRequester) {
    let positions = (0..ITEMS).collect();
    let start = StartItems { job: JOB.into(), positions, holder: requester.node.0, request: requester.request };
    state.apply(Command { body: Some(Body::StartItems(start)) });
}

fn granted(leasing: &mut Leasing, now: Instant, requester: LeaseRequester, state: &JobState) -> BTreeSet<u64> {
    let grants = leasing.grant(now, requester, "bulk", ITEMS as usize, state);
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
fn items_of_an_abandoned_request_are_granted_again() {
    let mut state = new_job();
    let mut leasing = leader_of(&state);
    let start = Instant::default();
    assert_eq!(granted(&mut leasing, start, ABANDONED, &state), all_items());
    commit_start(&mut state, ABANDONED);
    let reported_at = start + LEASE_CALL_TIMEOUT + ROUND_PAUSE;
    // Reports by other nodes are ignored.
    leasing.reclaim(reported_at, OTHER, &[ABANDONED.request], &state);
    assert_eq!(granted(&mut leasing, reported_at, BY_OTHER, &state), none());
    leasing.reclaim(reported_at, HOLDER, &[ABANDONED.request], &state);
    assert_eq!(unknown(&mut leasing, start + LEASE_LENGTH * 2, &state), none());
    assert_eq!(granted(&mut leasing, reported_at, NEXT, &state), all_items());
    // A repeated report must not reclaim items of a later request.
    leasing.reclaim(reported_at, HOLDER, &[ABANDONED.request], &state);
    assert_eq!(granted(&mut leasing, reported_at, BY_OTHER, &state), none());
}

#[test]
fn a_request_that_arrives_after_it_was_abandoned_gets_no_items() {
    let state = new_job();
    let mut leasing = leader_of(&state);
    let start = Instant::default();
    leasing.reclaim(start, HOLDER, &[ABANDONED.request], &state);
    assert_eq!(granted(&mut leasing, start + STEP, ABANDONED, &state), none());
    assert_eq!(granted(&mut leasing, start + STEP, NEXT, &state), all_items());
}

#[test]
fn the_next_leader_grants_items_of_an_abandoned_request_again() {
    let mut state = new_job();
    commit_start(&mut state, ABANDONED);
    let elected = Instant::default();
    let mut leasing = Leasing::new(elected, 2, &state);
    leasing.reclaim(elected + STEP, HOLDER, &[ABANDONED.request], &state);
    let granting = elected + LEASE_LENGTH;
    // Until all earlier entries are applied, the log may contain a later start.
    assert_eq!(unknown(&mut leasing, granting, &state), none());
    assert_eq!(granted(&mut leasing, granting, NEXT, &state), none());
    leasing.note_own_term_applied();
    assert_eq!(unknown(&mut leasing, granting, &state), none());
    assert_eq!(granted(&mut leasing, granting, NEXT, &state), all_items());
}

/// Reclaimed items were granted to another node, which failed. A late report of the first
/// holder must not make them run twice.
#[test]
fn only_the_last_holder_can_report_that_items_did_not_run() {
    let mut state = new_job();
    commit_start(&mut state, ABANDONED);
    commit_start(&mut state, BY_OTHER);
    let elected = Instant::default();
    let mut leasing = Leasing::new(elected, 2, &state);
    leasing.note_own_term_applied();
    leasing.reclaim(elected + STEP, HOLDER, &[ABANDONED.request], &state);
    assert_eq!(unknown(&mut leasing, elected + LEASE_LENGTH, &state), all_items());
    assert_eq!(granted(&mut leasing, elected + LEASE_LENGTH, NEXT, &state), none());
}

#[test]
fn a_stored_start_contains_its_request() {
    let mut state = new_job();
    let start = StartItems { job: JOB.into(), positions: vec![3], holder: HOLDER.0, request: ABANDONED.request };
    let applied = state.apply(Command { body: Some(Body::StartItems(start)) });
    let mut restored = new_job();
    for effect in applied.effects {
        if let Effect::Put(table, key, value) = effect {
            restored.load(table, &key, &value);
        }
    }
    assert_eq!(restored.job(JOB).unwrap().start_requests.get(&3), Some(&ABANDONED.request));
}

#[test]
fn abandoned_requests_are_reported_for_a_bounded_time() {
    let start = Instant::default();
    let mut abandoned = AbandonedRequests::default();
    abandoned.note(start, &[1]);
    // Recording a request again does not extend its time.
    abandoned.note(start + STEP, &[1, 2]);
    assert_eq!(abandoned.to_report(start + STEP), [1, 2]);
    assert_eq!(abandoned.to_report(start + ABANDONED_REPORT_TIME), [2]);
    assert_eq!(abandoned.to_report(start + STEP + ABANDONED_REPORT_TIME), [0; 0]);
}
