//! The budget for answers of servers.

use bytes::Bytes;
use latchwheel_core::client_budget::NoRoom;
use latchwheel_http::AnswerBudget;

const MEMORY: usize = 6 << 20;
/// The part of the memory that answers may take.
const LIMIT: usize = 1 << 20;

fn budget() -> AnswerBudget {
    let budget = AnswerBudget::default();
    budget.limit_to_machine(MEMORY);
    budget
}

#[test]
fn the_sum_of_all_answers_is_bounded() {
    let budget = budget();
    let mut shares: Vec<_> = (0..16).map(|_| budget.share()).collect();
    let held = shares.iter_mut().filter_map(|share| share.hold(LIMIT / 4).ok()).count();
    assert!((4..=5).contains(&held), "{held} answers of a quarter of the limit");
    assert!(budget.used_bytes() <= LIMIT);
}

#[test]
fn an_answer_that_has_no_room_keeps_what_it_holds() {
    let budget = budget();
    let mut share = budget.share();
    assert_eq!(share.hold(LIMIT / 2), Ok(()));
    let held = budget.used_bytes();
    assert_eq!(share.hold(2 * LIMIT), Err(NoRoom));
    assert_eq!(budget.used_bytes(), held);
}

#[test]
fn short_answers_have_room_beside_a_full_budget() {
    let budget = budget();
    let mut long = budget.share();
    assert_eq!(long.hold(LIMIT), Ok(()));
    let mut shares: Vec<_> = (0..100).map(|_| budget.share()).collect();
    assert!(shares.iter_mut().all(|share| share.hold(16 << 10).is_ok()));
}

#[test]
fn what_is_held_is_given_back() {
    let budget = budget();
    let mut share = budget.share();
    assert_eq!(share.hold(LIMIT), Ok(()));
    assert_eq!(share.hold(0), Ok(()));
    assert_eq!(budget.used_bytes(), 0);
    assert_eq!(share.hold(LIMIT), Ok(()));
    drop(share);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn bytes_hold_their_share_until_the_last_copy_is_dropped() {
    let budget = budget();
    let mut share = budget.share();
    assert_eq!(share.hold(LIMIT), Ok(()));
    let held = budget.used_bytes();
    let bytes = share.into_bytes(Bytes::from(vec![b'x'; LIMIT]));
    let copy = bytes.slice(..10);
    drop(bytes);
    assert_eq!(budget.used_bytes(), held);
    drop(copy);
    assert_eq!(budget.used_bytes(), 0);
}
