//! Time limit on accepting the keys of a table snapshot.

use latchwheel_core::key_acceptance::KeyAcceptance;
use latchwheel_core::startup_snapshot::MAX_SNAPSHOT_AGE;
use latchwheel_core::time::Instant;
use std::time::Duration;

const TAKEN: Instant = Instant::from_micros(7_000_000_000);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_limit_counts_from_the_confirmation_and_not_from_the_load() {
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
fn keys_from_a_source_have_no_limit_and_each_snapshot_sets_its_own() {
    let mut keys = KeyAcceptance::default();
    assert!(keys.accepts(TAKEN + MAX_SNAPSHOT_AGE * 9));
    keys.note_snapshot_used(TAKEN, MAX_SNAPSHOT_AGE);
    assert!(!keys.accepts(TAKEN));
    keys.note_snapshot_used(TAKEN, MAX_SNAPSHOT_AGE / 2);
    assert!(keys.accepts(TAKEN), "the snapshot was confirmed more recently");
    keys.note_snapshot_used(TAKEN, MAX_SNAPSHOT_AGE);
    keys.note_received();
    assert!(keys.accepts(TAKEN + MAX_SNAPSHOT_AGE * 9));
}
