//! Time for which results of a batch job are collected before they are listed.

use latchwheel_core::listing_pause::{listing_pause, PAUSE_NEAR_DUE};
use std::time::Duration;

const DUE: Duration = Duration::from_secs(18);

fn at(milliseconds: u64) -> Duration {
    listing_pause(Duration::from_millis(milliseconds), DUE)
}

#[test]
fn the_pause_is_long_far_from_the_due_time() {
    assert_eq!(at(0), Duration::from_millis(2500));
    assert_eq!(at(12_000), Duration::from_secs(1));
    assert_eq!(at(15_000), Duration::from_millis(600));
}

/// Results that complete in time must not be listed late because of the pause.
#[test]
fn no_pause_ends_after_the_due_time() {
    for age in (0..17_900).step_by(50) {
        assert!(Duration::from_millis(age) + at(age) <= DUE, "at {age} ms");
    }
    assert_eq!(at(17_900), PAUSE_NEAR_DUE);
    assert_eq!(at(18_500), PAUSE_NEAR_DUE);
}

#[test]
fn late_results_are_collected_again() {
    assert_eq!(at(20_000), Duration::from_millis(600));
}
