//! Estimates of the run times of batch items.

use latchwheel_core::run_times::RunTimes;
use std::time::Duration;

#[test]
fn the_estimate_is_zero_before_the_first_sample() {
    assert_eq!(RunTimes::default().remaining(0), Duration::ZERO);
}

#[test]
fn an_item_with_events_has_less_remaining_time() {
    let mut times = RunTimes::default();
    times.note_completed(200, 200, Duration::from_secs(4));
    assert_eq!(times.remaining(0), Duration::from_secs(4));
    assert_eq!(times.remaining(150), Duration::from_secs(1));
    assert_eq!(times.remaining(500), Duration::ZERO);
}

#[test]
fn the_time_per_event_is_that_of_the_last_run() {
    let mut times = RunTimes::default();
    times.note_completed(200, 50, Duration::from_secs(1));
    times.note_completed(200, 0, Duration::from_secs(9));
    assert_eq!(times.remaining(0), Duration::from_secs(4));
}
