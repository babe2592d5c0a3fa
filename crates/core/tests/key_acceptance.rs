//! Until when keys of a table are accepted that was kept before a start.

use latchwheel_core::key_acceptance::KeyAcceptance;
use latchwheel_core::startup_snapshot::MAX_SNAPSHOT_AGE;
use latchwheel_core::time::Instant;
use std::time::Duration;

const TAKEN: Instant = Instant::from_micros(7_000_000_000);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_time_counts_from_the_confirmation_and_not_from_the_taking() {
    for age in [Duration::ZERO, MAX_SNAPSHOT_AGE / 2, MAX_SNAPSHOT_AGE - SECOND, MAX_SNAPSHOT_AGE, MAX_SNAPSHOT_AGE * 2]
    {
        let mut keys = KeyAcceptance::default();
        keys.note_snapshot_used(TAKEN, age);
        for later in [Duration::ZERO, SECOND / 2, SECOND, MAX_SNAPSHOT_AGE / 2, MAX_SNAPSHOT_AGE, MAX_SNAPSHOT_AGE * 3]
        {
            assert_eq!(keys.accepts(TAKEN + later), age + later < MAX_SNAPSHOT_AGE, "{age:?} and {later:?}");
        }
    }
}

#[test]
fn keys_that_a_source_told_are_accepted_and_the_next_snapshot_counts_anew() {
    let mut keys = KeyAcceptance::default();
    assert!(keys.accepts(TAKEN + MAX_SNAPSHOT_AGE * 9));
    keys.note_snapshot_used(TAKEN, MAX_SNAPSHOT_AGE);
    assert!(!keys.accepts(TAKEN));
    keys.note_snapshot_used(TAKEN, MAX_SNAPSHOT_AGE / 2);
    assert!(keys.accepts(TAKEN), "a snapshot that was confirmed later");
    keys.note_snapshot_used(TAKEN, MAX_SNAPSHOT_AGE);
    keys.note_told();
    assert!(keys.accepts(TAKEN + MAX_SNAPSHOT_AGE * 9));
}
