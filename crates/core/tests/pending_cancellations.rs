//! Ends of jobs that a node still owes to its callers.

use latchwheel_core::pending_cancellations::{
    GiveUpReason, PendingCancellations, MAX_PENDING_CANCELLATIONS, MAX_RETRY_TIME,
};
use latchwheel_core::time::Instant;
use std::time::Duration;

const START: Instant = Instant::from_micros(1_000_000);

#[test]
fn an_end_is_owed_once_for_each_caller() {
    let mut owed = PendingCancellations::default();
    for _ in 0..2 {
        assert_eq!(owed.push(START, "job-1", None), None);
        assert_eq!(owed.push(START, "job-1", Some("red")), None);
    }
    assert_eq!(owed.len(), 2);
}

/// One end that can't be done lets the others come to their turn.
#[test]
fn ends_are_tried_in_turn() {
    let mut owed = PendingCancellations::default();
    for job in ["job-1", "job-2"] {
        owed.push(START, job, None);
    }
    let mut tried = Vec::new();
    for _ in 0..4 {
        let end = owed.next_end().unwrap();
        tried.push(end.job.clone());
        assert_eq!(owed.note_failed(START, end), None);
    }
    assert_eq!(tried, ["job-1", "job-2", "job-1", "job-2"]);
}

#[test]
fn an_end_is_given_up_after_its_time() {
    let mut owed = PendingCancellations::default();
    owed.push(START, "job-1", None);
    let end = owed.next_end().unwrap();
    let just_before = START + MAX_RETRY_TIME - Duration::from_millis(1);
    assert_eq!(owed.note_failed(just_before, end), None);
    let end = owed.next_end().unwrap();
    let (given_up, reason) = owed.note_failed(START + MAX_RETRY_TIME, end).unwrap();
    assert_eq!((given_up.job.as_str(), reason), ("job-1", GiveUpReason::TooOld));
    assert!(owed.is_empty());
}

#[test]
fn where_too_many_are_owed_the_oldest_gives_way() {
    let mut owed = PendingCancellations::default();
    for number in 0..MAX_PENDING_CANCELLATIONS {
        assert_eq!(owed.push(START, &format!("job-{number}"), None), None);
    }
    let (given_up, reason) = owed.push(START, "job-more", None).unwrap();
    assert_eq!((given_up.job.as_str(), reason), ("job-0", GiveUpReason::TooMany));
    assert_eq!(owed.len(), MAX_PENDING_CANCELLATIONS);
}

/// A store that fails is asked less and less often; once it answers, what is owed
/// follows without a pause.
#[test]
fn pauses_grow_with_failures_and_end_with_a_success() {
    let mut owed = PendingCancellations::default();
    owed.push(START, "job-1", None);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        pauses.push(owed.pause().as_millis());
        let end = owed.next_end().unwrap();
        owed.note_failed(START, end);
    }
    assert_eq!(pauses, [60, 120, 240, 480, 480]);
    owed.note_settled();
    assert_eq!(owed.pause(), Duration::ZERO);
}
