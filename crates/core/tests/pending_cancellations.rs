//! Retries of cancellations that the record store did not accept in time.

use latchwheel_core::pending_cancellations::{
    GiveUpReason, PendingCancellations, MAX_PENDING_CANCELLATIONS, MAX_RETRY_TIME,
};
use latchwheel_core::time::Instant;
use std::time::Duration;

const START: Instant = Instant::from_micros(1_000_000);

#[test]
fn a_cancellation_is_pending_once_per_caller() {
    let mut pending = PendingCancellations::default();
    for _ in 0..2 {
        assert_eq!(pending.push(START, "job-1", None), None);
        assert_eq!(pending.push(START, "job-1", Some("red")), None);
    }
    assert_eq!(pending.len(), 2);
}

/// A failing cancellation must not block the others.
#[test]
fn cancellations_are_retried_in_turn() {
    let mut pending = PendingCancellations::default();
    for job in ["job-1", "job-2"] {
        pending.push(START, job, None);
    }
    let mut retried = Vec::new();
    for _ in 0..4 {
        let cancellation = pending.next_cancellation().unwrap();
        retried.push(cancellation.job.clone());
        assert_eq!(pending.note_failed(START, cancellation), None);
    }
    assert_eq!(retried, ["job-1", "job-2", "job-1", "job-2"]);
}

#[test]
fn a_cancellation_is_abandoned_after_its_retry_time() {
    let mut pending = PendingCancellations::default();
    pending.push(START, "job-1", None);
    let cancellation = pending.next_cancellation().unwrap();
    let just_before = START + MAX_RETRY_TIME - Duration::from_millis(1);
    assert_eq!(pending.note_failed(just_before, cancellation), None);
    let cancellation = pending.next_cancellation().unwrap();
    let (abandoned, reason) = pending.note_failed(START + MAX_RETRY_TIME, cancellation).unwrap();
    assert_eq!((abandoned.job.as_str(), reason), ("job-1", GiveUpReason::TooOld));
    assert!(pending.is_empty());
}

#[test]
fn the_oldest_cancellation_is_abandoned_when_there_are_too_many() {
    let mut pending = PendingCancellations::default();
    for number in 0..MAX_PENDING_CANCELLATIONS {
        assert_eq!(pending.push(START, &format!("job-{number}"), None), None);
    }
    let (abandoned, reason) = pending.push(START, "job-more", None).unwrap();
    assert_eq!((abandoned.job.as_str(), reason), ("job-0", GiveUpReason::TooMany));
    assert_eq!(pending.len(), MAX_PENDING_CANCELLATIONS);
}

#[test]
fn backoff_grows_with_failures_and_ends_with_a_success() {
    let mut pending = PendingCancellations::default();
    pending.push(START, "job-1", None);
    let mut backoffs = Vec::new();
    for _ in 0..5 {
        backoffs.push(pending.backoff().as_millis());
        let cancellation = pending.next_cancellation().unwrap();
        pending.note_failed(START, cancellation);
    }
    assert_eq!(backoffs, [60, 120, 240, 480, 480]);
    pending.note_settled();
    assert_eq!(pending.backoff(), Duration::ZERO);
}
