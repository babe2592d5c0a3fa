//! Leases to start items of a job, also under random delays of job updates.

use latchwheel_core::start_lease::StartLease;
use latchwheel_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const CANCEL_DEADLINE: Duration = Duration::from_secs(3);

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(100_000_000) + Duration::from_millis(milliseconds)
}

#[test]
fn nothing_starts_before_the_job_was_known_to_be_open() {
    let lease = StartLease::new(CANCEL_DEADLINE);
    assert!(!lease.allows(at(0)) && lease.is_due(at(0)));
}

#[test]
fn it_runs_out_unless_it_is_renewed() {
    let mut lease = StartLease::new(CANCEL_DEADLINE);
    lease.note_open(at(0));
    assert!(lease.allows(at(2_499)) && !lease.allows(at(2_500)));
    assert!(!lease.is_due(at(1_499)) && lease.is_due(at(1_500)));
    lease.note_open(at(2_000));
    assert!(lease.allows(at(4_499)) && !lease.allows(at(4_500)));
    // A late, older update changes nothing.
    lease.note_open(at(1_000));
    assert!(lease.allows(at(4_499)));
}

#[test]
fn a_short_bound_leaves_some_time_to_start() {
    let mut lease = StartLease::new(Duration::from_millis(400));
    lease.note_open(at(0));
    assert!(lease.allows(at(199)) && !lease.allows(at(200)));
}

/// With late or lost updates, no item reaches a server after the cancellation deadline if
/// sending takes at most half a second.
#[test]
fn no_item_reaches_a_server_after_the_cancellation_deadline() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut lease = StartLease::new(CANCEL_DEADLINE);
        let cancelled_at = random.random_range(0..5_000);
        let mut started = 0;
        for now in (0..20_000).step_by(10) {
            // Occasionally the worker receives the state of an earlier moment.
            if random.random_bool(0.02) {
                let learned = now - random.random_range(0..=now.min(6_000));
                if learned < cancelled_at {
                    lease.note_open(at(learned));
                }
            }
            if lease.allows(at(now)) {
                started += 1;
                let arrives = now + random.random_range(0..500);
                assert!(arrives < cancelled_at + 3_000, "seed {seed}: ended at {cancelled_at}, arrives at {arrives}");
            }
        }
        assert!(started > 0 || cancelled_at < 2_000, "seed {seed}: nothing ever started");
    }
}
