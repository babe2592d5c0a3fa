//! Live workers during and after outages of the record store.

use latchwheel_core::live_workers::{LiveWorkers, RETURN_GRACE};
use latchwheel_core::time::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

fn at(seconds: f64) -> Instant {
    Instant::default() + Duration::from_secs_f64(seconds)
}

fn names(workers: &LiveWorkers) -> Vec<&str> {
    workers.names().iter().map(String::as_str).collect()
}

/// Three registered workers and a store that has answered for 100 s.
fn three() -> LiveWorkers {
    let mut workers = LiveWorkers::default();
    workers.note_store(at(100.0), Some(Duration::from_secs(100)));
    ["a", "b", "c"].into_iter().for_each(|worker| assert!(workers.note_registered(worker)));
    workers
}

#[test]
fn a_worker_whose_lease_expires_is_removed_at_once() {
    let mut workers = three();
    assert!(workers.note_missing(at(101.0), "b"));
    assert_eq!(names(&workers), ["a", "c"]);
    assert!(!workers.note_missing(at(101.0), "b"), "a worker must be reported as removed once");
}

/// All leases expire in an outage. Workers are removed only if they have not registered
/// again by the end of the grace period.
#[test]
fn leases_that_expire_in_an_outage_move_no_job() {
    let mut workers = three();
    workers.note_store(at(110.0), None);
    assert!(!workers.note_missing(at(111.0), "c"));
    workers.note_store(at(120.0), Some(Duration::from_millis(100)));
    assert!(!workers.note_all(at(120.0), &BTreeSet::from(["a"])));
    assert_eq!(names(&workers), ["a", "b", "c"]);
    assert!(!workers.note_registered("b"), "a vanished worker that registers again is not new");
    assert_eq!(workers.grace_end(), Some(at(119.9) + RETURN_GRACE));
    assert!(!workers.tick(at(121.0)));
    assert!(workers.tick(at(122.0)));
    assert_eq!(names(&workers), ["a", "b"]);
    assert_eq!(workers.grace_end(), None);
    assert!(workers.note_registered("c"), "a removed worker that registers again is new");
}
