//! Tests of a process's own record in a store that reports changes late and in any order.

use latchwheel_core::own_record::OwnRecord;

fn held_at(revision: u64) -> OwnRecord {
    let mut record = OwnRecord::default();
    record.note_written(revision);
    record
}

#[test]
fn the_first_write_expects_no_record() {
    assert_eq!(OwnRecord::default().expected(), 0);
    assert_eq!(OwnRecord::default().removable(), None);
}

#[test]
fn a_write_after_a_conflict_expects_what_is_there() {
    let mut record = OwnRecord::default();
    record.note_conflict(7);
    assert_eq!(record.expected(), 7);
    assert_eq!(record.removable(), None, "another process wrote it");
    record.note_written(9);
    assert_eq!((record.expected(), record.removable()), (9, Some(9)));
}

#[test]
fn changes_from_before_the_own_write_lose_nothing() {
    let mut record = held_at(9);
    assert!(!record.note_seen(8, 0));
    assert!(!record.note_seen(7, 7));
    assert!(!record.note_seen(9, 9));
    assert!(record.is_held());
}

#[test]
fn a_later_removal_or_write_loses_the_record() {
    let mut removed = held_at(9);
    assert!(removed.note_seen(10, 0));
    assert_eq!((removed.is_held(), removed.is_lost(), removed.expected()), (false, true, 0));
    let mut replaced = held_at(9);
    assert!(replaced.note_seen(12, 12));
    assert_eq!((replaced.is_held(), replaced.expected(), replaced.removable()), (false, 12, None));
}

/// The removal is reported before the write is acknowledged.
#[test]
fn a_loss_that_is_known_before_the_acknowledgement_counts() {
    let mut record = OwnRecord::default();
    record.note_seen(10, 0);
    record.note_written(9);
    assert!(!record.is_held());
    assert_eq!(record.expected(), 0);
}

#[test]
fn a_record_is_gone_with_its_lease() {
    let mut record = held_at(9);
    record.note_lease_ended();
    assert_eq!((record.is_held(), record.expected(), record.removable()), (false, 0, None));
    assert!(!record.is_lost() && !OwnRecord::default().is_lost(), "there is none to be lost");
}
