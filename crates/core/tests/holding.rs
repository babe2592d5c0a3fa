//! Which requests are held, and for how long.

use latchwheel_core::holding::{max_hold, timely_wait, HoldOutcomes};
use latchwheel_core::time::Instant;
use std::sync::Arc;
use std::time::Duration;

fn at(seconds: u64) -> Instant {
    Instant::from_micros(seconds * 1_000_000)
}

#[test]
fn no_request_is_held_longer_than_its_caller_waits() {
    let left = Duration::from_secs(5);
    assert_eq!(max_hold(left, None), Duration::from_millis(2500));
    assert_eq!(max_hold(left, Some(Duration::from_secs(2))), Duration::from_secs(1));
    assert_eq!(max_hold(Duration::ZERO, Some(left)), Duration::ZERO);
    assert!(timely_wait(Duration::from_millis(300)) < Duration::from_millis(300));
}

#[test]
fn no_request_is_held_where_held_ones_are_refused() {
    let mut outcomes = HoldOutcomes::default();
    let service: Arc<str> = "service".into();
    assert!(outcomes.should_hold(at(60), &service, 0.99));
    (0..20).for_each(|_| outcomes.note(at(60), &service, false));
    assert!(!outcomes.should_hold(at(61), &service, 0.99));
    assert!(outcomes.should_hold(at(61), &service, 0.05), "a few are held as probes");
    assert!(outcomes.should_hold(at(61), "other", 0.99));
    (0..20).for_each(|_| outcomes.note(at(62), &service, true));
    assert!(outcomes.should_hold(at(62), &service, 0.99));
    (0..20).for_each(|_| outcomes.note(at(63), &service, false));
    assert!(outcomes.should_hold(at(69), &service, 0.99), "old outcomes are not used");
}
