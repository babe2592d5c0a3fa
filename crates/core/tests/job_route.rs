//! When the route of an accepted job counts as removed.

use latchwheel_core::job_route::{RouteAbsence, RouteChange, RESTORE_TIME};
use latchwheel_core::time::Instant;
use std::time::Duration;

const START: Instant = Instant::from_micros(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_missing_route_is_removed_once_the_store_confirmed_it_for_the_restore_time() {
    let mut absence = RouteAbsence::default();
    assert_eq!(absence.observe(START, false), Some(RouteChange::Missing));
    assert_eq!(absence.observe(START + SECOND, false), None);
    assert!(!absence.is_final(Some(START + RESTORE_TIME - SECOND)));
    assert!(absence.is_final(Some(START + RESTORE_TIME)));
}

/// An unconfirmed table may be older than the route.
#[test]
fn a_route_that_is_missing_from_an_unconfirmed_table_is_not_removed() {
    let mut absence = RouteAbsence::default();
    absence.observe(START, false);
    assert!(!absence.is_final(None));
    assert!(!absence.is_final(Some(START)));
}

#[test]
fn a_restored_route_is_not_removed_and_its_next_absence_counts_anew() {
    let mut absence = RouteAbsence::default();
    absence.observe(START, false);
    assert_eq!(absence.observe(START + SECOND, true), Some(RouteChange::Found(SECOND)));
    assert!(!absence.is_final(Some(START + RESTORE_TIME * 2)));
    let again = START + RESTORE_TIME;
    assert_eq!(absence.observe(again, false), Some(RouteChange::Missing));
    assert!(!absence.is_final(Some(again + RESTORE_TIME - SECOND)));
    assert!(absence.is_final(Some(again + RESTORE_TIME)));
}
