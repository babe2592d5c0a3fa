//! The volume of the log is bounded.

use latchwheel_events::{Importance, LineBudget};

/// Number of lines that are admitted of `lines` in one second.
fn admitted(budget: &mut LineBudget, second: u64, importance: Importance, lines: u64) -> u64 {
    (0..lines).filter(|line| budget.admit(second, importance, line * 7 + 1)).count() as u64
}

#[test]
fn essential_lines_are_written_while_routine_lines_are_sampled() {
    let mut budget = LineBudget::default();
    let routine = admitted(&mut budget, 1, Importance::Routine, 300);
    assert!((60..150).contains(&routine), "{routine}");
    assert_eq!(admitted(&mut budget, 1, Importance::Essential, 100), 100);
    assert_eq!(budget.take_dropped(), 300 - routine);
    assert_eq!(budget.take_dropped(), 0);
}

#[test]
fn every_line_counts_against_the_limit_of_its_second() {
    let mut budget = LineBudget::default();
    let first = admitted(&mut budget, 1, Importance::Essential, 100_000);
    assert!(first <= 1000, "{first}");
    assert_eq!(admitted(&mut budget, 2, Importance::Essential, 100), 100);
}

/// Guards against requests with only some of their lines.
#[test]
fn a_sampled_request_keeps_all_its_lines() {
    let mut budget = LineBudget::default();
    admitted(&mut budget, 1, Importance::Routine, 200);
    assert!((0..20).all(|_| budget.admit(1, Importance::Routine, 32)));
    assert!((0..20).all(|_| !budget.admit(1, Importance::Routine, 33)));
}
