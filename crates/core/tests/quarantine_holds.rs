//! Holds of requests while crashes are evaluated.

use latchwheel_core::dispatch::ServerKey;
use latchwheel_core::fingerprint::{Fingerprint, RequestKey, RequestShape};
use latchwheel_core::quarantine::{CrashEvidence, Quarantine, QuarantineStatus, HOLD_LIMIT, HOLD_TIME, RUN_HOLD_TIME};
use latchwheel_core::time::{Instant, WallTime};

const NOW: WallTime = WallTime(1_000_000_000);

fn request(number: u64) -> RequestKey {
    RequestKey { shape: RequestShape(number % 7), fingerprint: Fingerprint(u128::from(number)) }
}

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1000)
}

/// Two simultaneous crashes count once for a quarantine, but each counts for a hold.
#[test]
fn three_crashes_hold_a_request_that_is_not_quarantined() {
    let mut evidence = CrashEvidence::default();
    let key = request(1).fingerprint;
    for (server, milliseconds) in [0, 19, 212].into_iter().enumerate() {
        assert_eq!(evidence.crashes_for_hold(key), None);
        evidence.note_crash(at(milliseconds), ServerKey(server as u32), &[request(1)], 0, |_| QuarantineStatus::Free);
    }
    assert_eq!(evidence.crashes_for_hold(key), Some(3));
    assert!(evidence.decide(at(700), |_| QuarantineStatus::Free).quarantine.is_empty());
    evidence.note_success(key);
    assert_eq!(evidence.crashes_for_hold(key), None);
}

#[test]
fn repeated_reports_do_not_extend_a_hold() {
    let mut quarantine = Quarantine::default();
    let key = request(1).fingerprint;
    assert!(quarantine.hold(request(1), 3, at(0)));
    assert!(!quarantine.hold(request(1), 3, at(350)), "repeated report");
    assert_eq!(quarantine.hold_remaining(key, at(0)), Some(HOLD_TIME));
    assert_eq!(quarantine.hold_remaining(key, at(0) + HOLD_TIME), None);
    assert!(quarantine.hold(request(1), 4, at(600)), "a further crash");
    assert_eq!(quarantine.hold_remaining(key, at(600)), Some(HOLD_TIME));
    assert_eq!(quarantine.hold_remaining(request(2).fingerprint, at(600)), None);
}

#[test]
fn copies_run_one_at_a_time_after_a_hold() {
    let (mut own, mut other) = (Quarantine::default(), Quarantine::default());
    let key = request(1).fingerprint;
    assert!(!own.begin_run(key, at(0)), "the request was not held");
    own.hold(request(1), 3, at(0));
    assert!(own.begin_run(key, at(600)));
    other.note_run(request(1), at(601));
    for node in [&own, &other] {
        assert!(node.hold_remaining(key, at(700)).is_some());
        assert_eq!(node.hold_remaining(key, at(601) + RUN_HOLD_TIME), None);
    }
}

#[test]
fn success_releases_all_copies() {
    let mut quarantine = Quarantine::default();
    let key = request(1).fingerprint;
    quarantine.hold(request(1), 3, at(0));
    assert!(quarantine.has_shape(request(1).shape), "a held request is watched");
    quarantine.note_success(key, NOW);
    assert_eq!(quarantine.hold_remaining(key, at(1)), None);
    assert!(!quarantine.begin_run(key, at(1)));
}

#[test]
fn holds_are_bounded() {
    let mut quarantine = Quarantine::default();
    let held = (0..HOLD_LIMIT as u64 * 2).filter(|number| quarantine.hold(request(*number), 3, at(0))).count();
    assert_eq!(held, HOLD_LIMIT);
}
