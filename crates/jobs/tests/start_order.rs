//! The order in which the jobs of a worker start items.

use latchwheel_jobs::{StartOrder, StartRank};

fn rank(route: &str, due_ms: u64, job: &str) -> StartRank {
    StartRank { route: route.into(), late: false, due_ms, job: job.into() }
}

#[test]
fn the_job_that_is_due_first_goes_first() {
    let mut order = StartOrder::default();
    let (early, late) = (rank("route", 500, "early"), rank("route", 900, "late"));
    order.set(&late, 3);
    assert!(order.is_first(&late));
    order.set(&early, 2);
    assert!(!order.is_first(&late));
    assert!(order.is_first(&early));
    assert_eq!(order.total(), 5);
    order.set(&early, 0);
    assert!(order.is_first(&late));
    assert_eq!(order.total(), 3);
}

#[test]
fn jobs_that_are_due_at_once_take_turns_by_their_names() {
    let mut order = StartOrder::default();
    let (first, second) = (rank("route", 500, "a"), rank("route", 500, "b"));
    order.set(&second, 1);
    order.set(&first, 1);
    assert!(order.is_first(&first) && !order.is_first(&second));
}

/// The servers of one route may be away for long.
#[test]
fn a_job_does_not_wait_for_jobs_of_another_route() {
    let mut order = StartOrder::default();
    order.set(&rank("away", 100, "stuck"), 5);
    order.set(&rank("sound", 900, "job"), 2);
    assert!(order.is_first(&rank("sound", 900, "job")));
    assert!(order.is_first(&rank("away", 100, "stuck")));
}

/// Where there is more work than room, those that can be in time go first.
#[test]
fn a_job_that_will_be_late_goes_after_those_that_can_be_in_time() {
    let mut order = StartOrder::default();
    let late = StartRank { late: true, ..rank("route", 100, "late") };
    let timely = rank("route", 900, "timely");
    order.set(&late, 80);
    assert!(order.is_first(&late));
    order.set(&timely, 3);
    assert!(order.is_first(&timely) && !order.is_first(&late));
    assert_eq!(order.total(), 13, "late items count for less");
}
