//! Tests of the server directory with draining, late heartbeats and store outages.

use latchwheel_core::directory::{Directory, DirectoryChange, Heartbeat, ServerRecord, LAPSE_GRACE};
use latchwheel_core::time::Instant;
use proptest::prelude::*;
use std::time::Duration;

fn record(id: &str, draining: bool, sequence: u64) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        name: id.into(),
        started_ms: 0,
        service: "s".into(),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        version: "1".into(),
        slots: 4,
        draining,
        sequence,
    }
}

/// Registration of a start of a server.
fn record_of(name: &str, started_ms: u64, draining: bool, sequence: u64) -> ServerRecord {
    let id = ServerRecord::identity(name, started_ms);
    ServerRecord { id, started_ms, ..record(name, draining, sequence) }
}

fn at(seconds: f64) -> Instant {
    Instant::default() + Duration::from_secs_f64(seconds)
}

fn directory_with_reachable_store() -> Directory {
    let mut directory = Directory::default();
    directory.note_store(at(10_000.0), Some(Duration::from_secs(10_000)));
    directory
}

fn ready(directory: &Directory) -> Vec<String> {
    let mut ready: Vec<String> = directory.ready().map(|record| record.id.to_string()).collect();
    ready.sort();
    ready
}

#[test]
fn a_heartbeat_alone_is_no_change() {
    let mut directory = directory_with_reachable_store();
    assert_eq!(directory.note_record(record("a", false, 1)), [DirectoryChange::Ready(record("a", false, 1))]);
    assert_eq!(directory.note_record(record("a", false, 2)), []);
}

#[test]
fn a_draining_server_never_becomes_ready_again() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record("a", false, 1));
    assert_eq!(directory.note_record(record("a", true, 2)), [DirectoryChange::Draining("a".into())]);
    assert_eq!(directory.note_record(record("a", false, 3)), []);
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_vanished_registration_means_a_leaving_server() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record("a", false, 5));
    assert_eq!(directory.note_missing(at(10.0), "a"), Some(DirectoryChange::Gone("a".into())));
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_late_heartbeat_does_not_bring_a_gone_server_back() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record("a", false, 5));
    directory.note_missing(at(10.0), "a");
    assert_eq!(directory.note_record(record("a", false, 4)), []);
    assert_eq!(directory.note_record(record("a", false, 5)), []);
    assert!(ready(&directory).is_empty());
    assert_eq!(directory.note_record(record("a", false, 6)), [DirectoryChange::Ready(record("a", false, 6))]);
}

#[test]
fn a_registration_missing_after_an_outage_is_kept_for_the_grace_period() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record("alive", false, 1));
    directory.note_record(record("dead", false, 1));
    directory.note_record(record("leaving", true, 1));
    directory.note_store(at(9.0), None);
    assert_eq!(directory.note_missing(at(9.0), "alive"), Some(DirectoryChange::Unconfirmed("alive".into())));
    assert!(directory.tick(at(9.9)).is_empty(), "a server was removed while the store was unreachable");
    directory.note_store(at(10.0), Some(Duration::ZERO));
    let changes = directory.replace_all(at(10.5), Vec::new());
    assert!(changes.contains(&DirectoryChange::Unconfirmed("alive".into())));
    assert!(changes.contains(&DirectoryChange::Gone("leaving".into())));
    assert_eq!(ready(&directory), ["alive", "dead"]);
    directory.note_record(record("alive", false, 2));
    assert!(directory.tick(at(11.0)).is_empty());
    assert_eq!(directory.next_removal(), Some(at(10.0) + LAPSE_GRACE));
    assert_eq!(directory.tick(at(10.0) + LAPSE_GRACE), [DirectoryChange::Gone("dead".into())]);
    assert_eq!(ready(&directory), ["alive"]);
    assert_eq!(directory.next_removal(), None);
}

/// Late detection of the store's return must not extend the grace period.
#[test]
fn the_grace_period_starts_at_the_return_of_the_store_not_at_its_detection() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record("a", false, 1));
    directory.note_record(record("b", false, 1));
    directory.note_store(at(9.0), None);
    // The return is detected 2.3 s late.
    directory.note_store(at(22.3), Some(Duration::from_millis(2_300)));
    assert_eq!(directory.note_missing(at(22.3), "a"), Some(DirectoryChange::Unconfirmed("a".into())));
    assert_eq!(directory.note_missing(at(22.6), "b"), Some(DirectoryChange::Gone("b".into())));
    assert_eq!(directory.tick(at(22.6)), [DirectoryChange::Gone("a".into())]);
}

#[test]
fn a_full_list_replaces_all_records() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record("a", false, 1));
    directory.note_record(record("b", false, 1));
    directory.replace_all(at(20.0), vec![record("b", false, 2), record("c", false, 1)]);
    assert_eq!(ready(&directory), ["b", "c"]);
}

#[test]
fn a_later_start_replaces_the_earlier_one() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record_of("a", 1, false, 9));
    let later = record_of("a", 2, false, 1);
    let changes = directory.note_record(later.clone());
    assert_eq!(changes, [DirectoryChange::Restarted("a@1".into()), DirectoryChange::Ready(later)]);
    assert_eq!(ready(&directory), ["a@2"]);
}

#[test]
fn a_later_start_after_draining_is_no_crash() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record_of("a", 1, true, 9));
    let changes = directory.note_record(record_of("a", 2, true, 1));
    assert_eq!(changes, [DirectoryChange::Gone("a@1".into()), DirectoryChange::Draining("a@2".into())]);
}

#[test]
fn a_start_that_follows_a_removal_is_no_crash() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record_of("a", 1, false, 9));
    assert_eq!(directory.note_missing(at(10.0), "a"), Some(DirectoryChange::Gone("a@1".into())));
    let later = record_of("a", 2, false, 1);
    assert_eq!(directory.note_record(later.clone()), [DirectoryChange::Ready(later)]);
}

#[test]
fn an_ignored_record_is_reported_once() {
    let mut directory = directory_with_reachable_store();
    directory.note_record(record_of("a", 2, false, 1));
    let late = record_of("a", 1, false, 9);
    assert_eq!(directory.note_record(late.clone()), []);
    let ignored = directory.take_ignored();
    assert_eq!(ignored.len(), 1);
    assert_eq!((&ignored[0].record, ignored[0].known), (&late, Heartbeat { started_ms: 2, sequence: 1 }));
    assert!(directory.take_ignored().is_empty());
}

/// What a node sees of the entry of one server.
#[derive(Clone, Debug)]
enum Sight {
    Entry { started_ms: u64, sequence: u64, draining: bool },
    Removal,
    Listing { started_ms: u64, sequence: u64 },
}

fn sight() -> impl Strategy<Value = Sight> {
    let (start, sequence) = (1..4_u64, 1..6_u64);
    prop_oneof![
        4 => (start.clone(), sequence.clone(), any::<bool>())
            .prop_map(|(started_ms, sequence, draining)| Sight::Entry { started_ms, sequence, draining }),
        1 => Just(Sight::Removal),
        1 => (start, sequence).prop_map(|(started_ms, sequence)| Sight::Listing { started_ms, sequence }),
    ]
}

proptest! {
    /// Entries of three starts come in any order, late ones among them: a later start is never
    /// replaced by an earlier one, and the next heartbeat of a fourth start is used.
    #[test]
    fn the_latest_start_counts(sights in prop::collection::vec(sight(), 0..30)) {
        let mut directory = directory_with_reachable_store();
        let mut latest = 0;
        for sight in sights {
            match sight {
                Sight::Entry { started_ms, sequence, draining } => {
                    directory.note_record(record_of("a", started_ms, draining, sequence));
                }
                Sight::Removal => {
                    directory.note_missing(at(10.0), "a");
                }
                Sight::Listing { started_ms, sequence } => {
                    directory.replace_all(at(10.0), vec![record_of("a", started_ms, false, sequence)]);
                }
            }
            if let Some(record) = directory.ready().next() {
                prop_assert!(record.started_ms >= latest, "start {} after {latest}", record.started_ms);
                latest = record.started_ms;
            }
        }
        directory.note_record(record_of("a", 4, false, 1));
        prop_assert_eq!(ready(&directory), ["a@4"]);
    }
}
