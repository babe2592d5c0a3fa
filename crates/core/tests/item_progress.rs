//! Progress of batch items: kept events, waits between runs, and giving up.

use latchwheel_core::item_progress::{GiveUpRules, ItemProgress, ItemState, RunEnd};
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::time::Instant;
use std::sync::Arc;
use std::time::Duration;

fn at(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

fn server(number: u64) -> Arc<str> {
    format!("server-{number}").into()
}

const RULES: GiveUpRules = GiveUpRules { max_failures: 3, servers: 9, expires: Instant::from_micros(60_000_000) };

#[test]
fn an_item_that_always_fails_is_given_up_after_max_failures() {
    let mut item = ItemProgress::default();
    for failure in 1..=3 {
        assert!(item.may_start(at(failure * 10)));
        item.start();
        item.end_run(at(failure * 10), &server(failure), RunEnd::Failed, &RULES);
    }
    assert_eq!(item.state(), ItemState::GivenUp);
}

#[test]
fn an_impossible_item_is_given_up_at_once() {
    let mut item = ItemProgress::default();
    item.start();
    item.end_run(at(1), &server(1), RunEnd::Impossible, &RULES);
    assert_eq!(item.state(), ItemState::GivenUp);
}

#[test]
fn interruptions_do_not_count_as_failures() {
    let mut item = ItemProgress::default();
    for time in 0..20 {
        item.start();
        item.end_run(at(time), &server(1), RunEnd::Interrupted, &RULES);
        assert!(matches!(item.state(), ItemState::Waiting(_)));
    }
    assert_eq!(item.failures(), 0);
}

#[test]
fn a_waiting_item_is_given_up_only_when_it_expires() {
    let mut item = ItemProgress::default();
    item.tick(at(59), &RULES);
    assert!(matches!(item.state(), ItemState::Waiting(_)));
    item.tick(at(60), &RULES);
    assert_eq!(item.state(), ItemState::GivenUp);
}

#[test]
fn a_backoff_follows_each_interrupted_run() {
    let mut item = ItemProgress::default();
    item.start();
    item.end_run(at(1), &server(1), RunEnd::Interrupted, &RULES);
    assert!(!item.may_start(at(1)));
    assert!(item.may_start(at(2)));
}

#[test]
fn events_are_kept_once_and_in_order() {
    let mut item = ItemProgress::default();
    assert!(item.push_event(Some(1), b"a"));
    assert!(item.push_event(Some(2), b"b"));
    assert!(!item.push_event(Some(2), b"b"));
    assert!(item.push_event(Some(3), b""));
    assert!(item.push_event(Some(4), b"c"));
    assert_eq!((item.text(), item.events(), item.last_event()), (&b"a\nb\n\nc"[..], 4, Some(4)));
}

/// A server that fails at every item must not make items fail for good, unless it is the
/// only one or an item reaches twice the allowed failures there.
#[test]
fn failures_at_one_server_count_less() {
    let mut item = ItemProgress::default();
    for failure in 1..=5 {
        item.start();
        item.end_run(at(failure), &server(1), RunEnd::Failed, &RULES);
        assert!(matches!(item.state(), ItemState::Waiting(_)), "failure {failure}");
    }
    assert_eq!(item.failed_at(), [server(1)]);
    item.start();
    item.end_run(at(6), &server(1), RunEnd::Failed, &RULES);
    assert_eq!(item.state(), ItemState::GivenUp);

    let only_one = GiveUpRules { servers: 1, ..RULES };
    let mut item = ItemProgress::default();
    for failure in 1..=3 {
        item.start();
        item.end_run(at(failure), &server(1), RunEnd::Failed, &only_one);
    }
    assert_eq!(item.state(), ItemState::GivenUp);
}

/// Preemptions must not lead to backoff.
#[test]
fn a_preempted_item_may_start_again_at_once() {
    let mut item = ItemProgress::default();
    for _ in 0..30 {
        assert!(item.may_start(at(1)));
        item.start();
        item.end_run(at(1), &server(1), RunEnd::Preempted, &RULES);
    }
    assert_eq!(item.failures(), 0);
    item.start();
    item.end_run(at(1), &server(1), RunEnd::Interrupted, &RULES);
    assert!(item.may_start(at(2)), "preemptions must not lengthen the backoff");
}

#[test]
fn events_of_other_software_are_dropped_at_the_start_of_a_run() {
    let (first, second) = (SoftwareKey::of("s", "1"), SoftwareKey::of("s", "2"));
    let mut item = ItemProgress::default();
    assert_eq!((item.begin_run(first), item.software()), (0, None));
    assert!(item.push_event(Some(1), b"a") && item.push_event(Some(2), b"b"));
    assert_eq!((item.begin_run(first), item.software(), item.last_event()), (0, Some(first), Some(2)));
    assert_eq!((item.begin_run(second), item.software()), (2, None));
    assert_eq!((item.text(), item.events(), item.last_event()), (&b""[..], 0, None));
    assert!(item.push_event(Some(1), b"c"));
    assert_eq!((item.text(), item.software()), (&b"c"[..], Some(second)));
}

#[test]
fn an_item_waits_from_the_time_at_which_it_may_start() {
    let mut item = ItemProgress::default();
    item.start();
    assert_eq!(item.waited(at(9)), Duration::ZERO);
    item.wait_until(at(2));
    assert_eq!((item.waited(at(1)), item.waited(at(5))), (Duration::ZERO, at(5).since(at(2))));
}
