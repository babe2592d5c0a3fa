//! Selection of the deferrable run that is preempted for an online request.

use latchwheel_core::preemption::{first_to_preempt, RunOutlook};
use latchwheel_core::time::Instant;
use std::time::Duration;

fn now() -> Instant {
    Instant::default() + Duration::from_secs(60)
}

/// A run that ends in two seconds.
fn run(number: u64) -> RunOutlook {
    let expected_end = now() + Duration::from_secs(2);
    RunOutlook { overdue: false, due_ms: 18_000, expected_end, preempted_before: false, number }
}

#[test]
fn the_latest_of_equal_runs_is_preempted() {
    assert_eq!(first_to_preempt(now(), &[run(1), run(3), run(2)]), Some(1));
    assert_eq!(first_to_preempt(now(), &[]), None);
}

#[test]
fn a_run_close_to_its_end_is_spared_if_another_can_be_preempted() {
    let ending = RunOutlook { expected_end: now() + Duration::from_millis(100), overdue: true, ..run(9) };
    assert_eq!(first_to_preempt(now(), &[run(1), ending]), Some(0));
    assert_eq!(first_to_preempt(now(), &[ending]), Some(0));
}

#[test]
fn an_overdue_run_is_preempted_first() {
    let overdue = RunOutlook { overdue: true, preempted_before: true, due_ms: 1, ..run(1) };
    assert_eq!(first_to_preempt(now(), &[run(2), overdue, run(3)]), Some(1));
}

#[test]
fn an_item_is_preempted_twice_only_if_no_other_can_be() {
    let preempted_before = RunOutlook { preempted_before: true, due_ms: 30_000, ..run(9) };
    assert_eq!(first_to_preempt(now(), &[run(1), preempted_before]), Some(0));
    assert_eq!(
        first_to_preempt(now(), &[preempted_before, RunOutlook { due_ms: 31_000, ..preempted_before }]),
        Some(1)
    );
}

#[test]
fn of_other_runs_the_one_due_last_is_preempted() {
    let due_last = RunOutlook { due_ms: 20_000, ..run(1) };
    assert_eq!(first_to_preempt(now(), &[run(5), due_last, run(7)]), Some(1));
}

/// Two peaks that each need half of all slots preempt every item once, not some items twice.
#[test]
fn preemptions_are_spread_over_items() {
    const RUNS: u64 = 40;
    let mut preemptions = vec![0_u32; RUNS as usize];
    for _ in 0..2 {
        let mut running: Vec<RunOutlook> = (0..RUNS)
            .map(|number| RunOutlook { preempted_before: preemptions[number as usize] > 0, ..run(number) })
            .collect();
        for _ in 0..RUNS / 2 {
            let first = first_to_preempt(now(), &running).unwrap();
            preemptions[running.remove(first).number as usize] += 1;
        }
    }
    assert!(preemptions.iter().all(|preemptions| *preemptions == 1), "{preemptions:?}");
}
