//! Use of record snapshots that were stored before a start.

use latchwheel_core::startup_snapshot::{
    is_newer_revision, replaces, snapshot_age, RecordState, StartSnapshots, StoreReachability, MAX_SNAPSHOT_AGE,
    STORE_TIMEOUT,
};
use latchwheel_core::time::{Instant, WallTime};
use std::time::Duration;

const NOW: WallTime = WallTime(10_000_000);
const NEVER: StoreReachability = StoreReachability { own_age: None, upstream_reaches_store: false };

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1000)
}

#[test]
fn only_newer_revisions_replace_and_never_received_records() {
    assert!(replaces(RecordState::Nothing, 7, NOW, NOW));
    assert!(replaces(RecordState::Stored(6), 7, NOW, NOW));
    assert!(!replaces(RecordState::Stored(7), 7, NOW, NOW));
    assert!(!replaces(RecordState::Stored(8), 7, NOW, NOW));
    assert!(!replaces(RecordState::Received, 7, NOW, NOW));
}

#[test]
fn snapshots_that_are_too_old_are_not_used() {
    let oldest = WallTime(NOW.0 - MAX_SNAPSHOT_AGE.as_millis() as u64);
    assert!(replaces(RecordState::Nothing, 7, oldest, NOW));
    assert!(!replaces(RecordState::Nothing, 7, WallTime(oldest.0 - 1), NOW));
    // The clocks of the nodes differ.
    let ahead = WallTime(NOW.0 + 2000);
    assert_eq!(snapshot_age(ahead, NOW), Duration::ZERO);
    assert!(replaces(RecordState::Nothing, 7, ahead, NOW));
}

#[test]
fn snapshots_are_not_used_before_the_store_timeout() {
    let snapshots = StartSnapshots::new(at(1000));
    assert!(!snapshots.may_use_snapshots(at(1000), NEVER));
    assert!(snapshots.may_use_snapshots(at(1000) + STORE_TIMEOUT, NEVER));
    let answered = StoreReachability { own_age: Some(Duration::from_millis(100)), upstream_reaches_store: false };
    assert!(!snapshots.may_use_snapshots(at(9000), answered));
    let long_ago = StoreReachability { own_age: Some(Duration::from_secs(4)), upstream_reaches_store: false };
    assert!(snapshots.may_use_snapshots(at(9000), long_ago));
    let upstream_reached = StoreReachability { own_age: None, upstream_reaches_store: true };
    assert!(!snapshots.may_use_snapshots(at(9000), upstream_reached), "the store answers others");
}

/// A starting node polled by 150 nodes with snapshots, ten times per second each, fetches each
/// prefix at most 3.4 times per second, and not again once it has the newest.
#[test]
fn calls_for_snapshots_do_not_grow_with_the_nodes_that_have_them() {
    let mut snapshots = StartSnapshots::new(at(0));
    let mut held_state = RecordState::Nothing;
    let mut calls = 0;
    for poll in 0..1500_u64 {
        let (now, offered) = (at(300 + poll * 1000 / 1500), 100 + poll % 150);
        if snapshots.should_fetch(now, NEVER, "a/", held_state, offered) {
            snapshots.note_fetch(now, "a/");
            calls += 1;
            held_state = RecordState::Stored(offered);
        }
    }
    assert!((1..=4).contains(&calls), "{calls}");
    assert!(!snapshots.should_fetch(at(5000), NEVER, "a/", RecordState::Stored(249), 249));
    assert!(!snapshots.should_fetch(at(5000), NEVER, "a/", RecordState::Received, 900));
    assert!(!snapshots.should_fetch(at(5000), NEVER, "a/", RecordState::Nothing, 0), "the other node has no records");
}

/// A node restarted during a long outage uses the same records as its neighbours.
#[test]
fn records_of_a_running_node_are_used_at_any_age() {
    assert!(is_newer_revision(RecordState::Nothing, 7));
    assert!(is_newer_revision(RecordState::Stored(6), 7));
    assert!(!is_newer_revision(RecordState::Stored(7), 7));
    assert!(!is_newer_revision(RecordState::Received, 7));
}
