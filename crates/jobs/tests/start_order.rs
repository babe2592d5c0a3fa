//! The order in which the jobs of a worker start items.

use latchwheel_jobs::StartOrder;

#[test]
fn the_job_that_is_due_first_goes_first() {
    let mut order = StartOrder::default();
    order.set("late", 900, 3);
    assert!(order.is_first("late", 900));
    order.set("early", 500, 2);
    assert!(!order.is_first("late", 900));
    assert!(order.is_first("early", 500));
    assert_eq!(order.total(), 5);
    order.set("early", 500, 0);
    assert!(order.is_first("late", 900));
    assert_eq!(order.total(), 3);
}

#[test]
fn jobs_that_are_due_at_once_take_turns_by_their_names() {
    let mut order = StartOrder::default();
    order.set("b", 500, 1);
    order.set("a", 500, 1);
    assert!(order.is_first("a", 500) && !order.is_first("b", 500));
}
