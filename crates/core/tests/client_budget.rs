//! What clients may make a process keep, and whom the budget evicts.

use latchwheel_core::client_budget::{
    BudgetLimits, ClientBudget, HolderId, NoRoom, CONNECTION_BYTES, SMALL_REQUEST_BYTES, STALL_TIME,
};
use latchwheel_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const START: Instant = Instant::from_micros(1_000_000);
const BYTES: usize = 4 << 20;
const LARGE: usize = 1 << 20;

fn budget(connections: usize) -> ClientBudget {
    ClientBudget::new(BudgetLimits { bytes: BYTES, connections })
}

fn open(budget: &mut ClientBudget, now: Instant) -> HolderId {
    let (connection, evicted) = budget.open_connection(now).unwrap();
    assert_eq!(evicted, []);
    connection
}

/// A connection with a body of which so much has arrived.
fn arriving(budget: &mut ClientBudget, bytes: usize, now: Instant) -> (HolderId, HolderId) {
    let connection = open(budget, now);
    assert!(budget.begin_request(connection));
    let body = budget.begin_body(connection, now);
    assert_eq!(budget.grow(body, bytes, now), Ok(Vec::new()));
    (connection, body)
}

#[test]
fn a_stalled_body_gives_way_to_any_request() {
    let mut budget = budget(100);
    let (_, stalled) = arriving(&mut budget, 2 * LARGE, START);
    let later = START + STALL_TIME;
    let (_, active) = arriving(&mut budget, LARGE / 2, later);
    assert_eq!(budget.grow(active, LARGE, later), Ok(vec![stalled]));
}

#[test]
fn a_large_request_is_refused_while_other_large_ones_arrive() {
    let mut budget = budget(100);
    arriving(&mut budget, 2 * LARGE, START);
    let (_, next) = arriving(&mut budget, LARGE / 2, START);
    assert_eq!(budget.grow(next, LARGE, START), Err(NoRoom));
}

#[test]
fn a_small_request_goes_before_large_bodies_that_are_not_whole() {
    let mut budget = budget(100);
    let (_, large) = arriving(&mut budget, 2 * LARGE, START);
    budget.reserve_for_answer(BYTES - budget.used_bytes(), START);
    assert_eq!(budget.reserve(SMALL_REQUEST_BYTES, START).unwrap().1, [large]);
}

#[test]
fn requests_that_may_run_are_not_evicted() {
    let mut budget = budget(100);
    let (connection, body) = arriving(&mut budget, 2 * LARGE, START);
    budget.complete(body);
    budget.reserve_for_answer(BYTES - budget.used_bytes(), START);
    assert_eq!(budget.reserve(1, START + STALL_TIME), Err(NoRoom));
    budget.release(body);
    budget.end_request(connection, START);
    assert!(budget.reserve(LARGE / 2, START + STALL_TIME).is_ok());
}

#[test]
fn large_requests_leave_room_for_small_ones() {
    let mut budget = budget(100);
    let most = budget.most_request_bytes();
    assert!(budget.reserve(most + 1, START).is_err());
    assert!(budget.reserve(most, START).is_ok());
    assert!(budget.reserve(SMALL_REQUEST_BYTES, START).is_ok());
}

#[test]
fn a_connection_that_stays_silent_gives_way_to_a_new_one() {
    let mut budget = budget(2);
    let silent = open(&mut budget, START);
    let used = open(&mut budget, START);
    budget.begin_request(used);
    budget.end_request(used, START);
    assert_eq!(budget.open_connection(START), Err(NoRoom), "none has been silent for long");
    let (_, evicted) = budget.open_connection(START + STALL_TIME).unwrap();
    assert_eq!(evicted, [silent]);
    assert!(!budget.begin_request(silent), "an evicted connection begins no request");
}

#[test]
fn a_stalled_body_gives_its_connection_to_a_new_one() {
    let mut budget = budget(1);
    let (connection, body) = arriving(&mut budget, 1, START);
    assert_eq!(budget.open_connection(START), Err(NoRoom));
    let (_, evicted) = budget.open_connection(START + STALL_TIME).unwrap();
    assert_eq!(evicted, [body, connection]);
    assert_eq!(budget.connections(), 1);
}

#[test]
fn a_body_with_progress_is_not_stalled() {
    let mut budget = budget(1);
    let (_, body) = arriving(&mut budget, 1, START);
    let later = START + STALL_TIME - Duration::from_millis(1);
    budget.note_progress(body, later);
    assert_eq!(budget.open_connection(START + STALL_TIME), Err(NoRoom));
}

#[test]
fn the_limits_leave_most_of_the_machine_free() {
    for (memory, descriptors) in [(120 << 20, 3075), (64 << 20, 512), (24 << 30, 1 << 20)] {
        let limits = BudgetLimits::of_machine(memory, descriptors);
        assert!(limits.bytes <= memory / 2);
        assert!(limits.connections <= descriptors / 2);
        assert!(limits.connections * CONNECTION_BYTES <= limits.bytes);
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Begin(usize),
    Grow(usize, usize),
    Complete(usize),
    Reserve(usize),
    Release(usize),
    Wait,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        any::<usize>().prop_map(Step::Begin),
        (any::<usize>(), 0..BYTES).prop_map(|(holder, bytes)| Step::Grow(holder, bytes)),
        any::<usize>().prop_map(Step::Complete),
        (0..BYTES).prop_map(Step::Reserve),
        any::<usize>().prop_map(Step::Release),
        Just(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// The budget is never exceeded, and everything that is released comes back.
    #[test]
    fn no_steps_exceed_the_budget(steps in proptest::collection::vec(step(), 1..200)) {
        let mut budget = budget(5);
        let (mut now, mut holders) = (START, Vec::new());
        for step in steps {
            let chosen = |choice: usize| (!holders.is_empty()).then(|| holders[choice % holders.len()]);
            match step {
                Step::Open => holders.extend(budget.open_connection(now).map(|(connection, _)| connection)),
                Step::Begin(choice) => if let Some(connection) = chosen(choice) {
                    if budget.begin_request(connection) {
                        holders.push(budget.begin_body(connection, now));
                    }
                },
                Step::Grow(choice, bytes) => if let Some(holder) = chosen(choice) {
                    let _ = budget.grow(holder, bytes, now);
                },
                Step::Complete(choice) => if let Some(holder) = chosen(choice) { budget.complete(holder) },
                Step::Reserve(bytes) => holders.extend(budget.reserve(bytes, now).map(|(holder, _)| holder)),
                Step::Release(choice) => if let Some(holder) = chosen(choice) { budget.release(holder) },
                Step::Wait => now = now + STALL_TIME,
            }
            prop_assert!(budget.used_bytes() <= BYTES);
            prop_assert!(budget.connections() <= 5);
        }
        holders.into_iter().for_each(|holder| budget.release(holder));
        prop_assert_eq!((budget.used_bytes(), budget.connections()), (0, 0));
    }
}
