//! Decisions about prompt parts that crash servers.

use latchwheel_core::dispatch::{PromptPart, ServerKey};
use latchwheel_core::fingerprint::{Fingerprint, RequestContent, RequestKey, RequestShape, MAX_SHARED_PARTS};
use latchwheel_core::quarantine::{CrashEvidence, Quarantine, QuarantineStatus};
use latchwheel_core::time::{Instant, WallTime};
use std::time::Duration;

const FIRST: u64 = 1;
const CAUSE: u64 = 2;
const OTHER: u64 = 3;

fn content(number: u64) -> RequestKey {
    RequestKey { shape: RequestShape(number), fingerprint: Fingerprint(u128::from(number)) }
}

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1000)
}

fn free(_: Fingerprint) -> QuarantineStatus {
    QuarantineStatus::Free
}

/// Crashes in the order in which they are reported.
#[derive(Default)]
struct Crashes {
    evidence: CrashEvidence,
    servers: u32,
}

impl Crashes {
    /// A server crashes while it runs these contents, each with the parts of its prompt.
    fn crash(&mut self, milliseconds: u64, running: &[(u64, &[u64])]) {
        let server = ServerKey(self.servers);
        self.servers += 1;
        let keys: Vec<RequestKey> = running.iter().map(|(number, _)| content(*number)).collect();
        self.evidence.note_crash(at(milliseconds), server, &keys, 0, free);
        for (number, parts) in running {
            let parts: Vec<RequestKey> = parts.iter().copied().map(RequestKey::of_part).collect();
            self.evidence.note_parts(server, content(*number).fingerprint, &parts, free);
        }
    }

    fn success(&mut self, part: u64) {
        self.evidence.note_success(RequestKey::of_part(part).fingerprint);
    }

    fn quarantined(&mut self, milliseconds: u64) -> Vec<RequestKey> {
        let decisions = self.evidence.decide(at(milliseconds), free);
        decisions.quarantine.into_iter().map(|(request, _)| request).collect()
    }
}

#[test]
fn a_part_under_which_three_servers_crashed_is_quarantined() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        assert_eq!(crashes.quarantined(number * 1000), []);
        crashes.crash(number * 1000, &[(10 + number, &[CAUSE]), (20 + number, &[30 + number])]);
    }
    assert_eq!(crashes.quarantined(3000), [RequestKey::of_part(CAUSE)]);
    assert_eq!(crashes.quarantined(4000), []);
}

#[test]
fn of_nested_parts_the_later_one_is_quarantined() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        crashes.crash(number * 1000, &[(10 + number, &[FIRST, CAUSE])]);
    }
    // The first part is common: a further crash has another reason.
    crashes.crash(3000, &[(40, &[FIRST, OTHER])]);
    assert_eq!(crashes.quarantined(3500), [RequestKey::of_part(CAUSE)]);
}

#[test]
fn a_first_part_is_quarantined_where_the_later_ones_differ() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        crashes.crash(number * 1000, &[(10 + number, &[FIRST, 50 + number])]);
    }
    assert_eq!(crashes.quarantined(3000), [RequestKey::of_part(FIRST)]);
}

#[test]
fn a_success_clears_a_part_of_all_crashes_before() {
    let mut crashes = Crashes::default();
    for number in 0..6 {
        crashes.crash(number * 1000, &[(10 + number, &[CAUSE])]);
        if number % 2 == 1 {
            crashes.success(CAUSE);
        }
        assert_eq!(crashes.quarantined(number * 1000 + 500), [], "crash {number}");
    }
}

#[test]
fn parts_with_equal_evidence_wait_for_more() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        crashes.crash(number * 1000, &[(10 + number, &[CAUSE]), (20 + number, &[OTHER])]);
    }
    assert_eq!(crashes.quarantined(2500), []);
    crashes.crash(3000, &[(13, &[CAUSE])]);
    assert_eq!(crashes.quarantined(3500), [RequestKey::of_part(CAUSE)]);
}

#[test]
fn servers_that_are_lost_together_count_once_against_a_part() {
    let mut crashes = Crashes::default();
    for loss in 0..2 {
        for number in 0..8 {
            crashes.crash(loss * 1000 + number * 10, &[(100 * loss + number, &[FIRST])]);
        }
    }
    assert_eq!(crashes.quarantined(2000), []);
}

#[test]
fn a_part_that_ran_at_few_servers_of_each_group_loss_is_not_the_cause() {
    let mut crashes = Crashes::default();
    for loss in 0..5 {
        crashes.crash(loss * 400, &[(10 + loss, &[CAUSE])]);
        for number in 1..5 {
            crashes.crash(loss * 400 + number, &[(100 + 10 * loss + number, &[OTHER + 10 * loss + number])]);
        }
        assert_eq!(crashes.quarantined(loss * 400 + 399), [], "group {loss}");
    }
    assert_eq!(crashes.quarantined(3000), []);
}

#[test]
fn parts_that_crash_servers_at_the_same_moments_are_both_quarantined() {
    let mut crashes = Crashes::default();
    for number in 0..6 {
        assert_eq!(crashes.quarantined(number * 1000), [], "crash {number}");
        crashes.crash(number * 1000, &[(10 + number, &[CAUSE])]);
        crashes.crash(number * 1000 + 10, &[(20 + number, &[OTHER])]);
    }
    let mut quarantined = crashes.quarantined(6000);
    quarantined.sort();
    let mut both = [RequestKey::of_part(CAUSE), RequestKey::of_part(OTHER)];
    both.sort();
    assert_eq!(quarantined, both);
}

#[test]
fn a_part_that_crashes_many_servers_at_a_time_is_quarantined() {
    let mut crashes = Crashes::default();
    for number in 0..30 {
        crashes.crash(number * 12, &[(100 + number, &[FIRST, CAUSE]), (200 + number, &[FIRST, OTHER + number])]);
    }
    assert_eq!(crashes.quarantined(1000), [RequestKey::of_part(CAUSE)]);
}

#[test]
fn a_content_that_crashes_servers_is_not_held_against_its_parts() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        crashes.crash(number * 1000, &[(10, &[FIRST, CAUSE]), (20 + number, &[FIRST, OTHER])]);
    }
    assert_eq!(crashes.quarantined(2500), [content(10)]);
    crashes.crash(4000, &[(30, &[FIRST, OTHER])]);
    assert_eq!(crashes.quarantined(4500), []);
}

#[test]
fn a_part_that_prompts_list_twice_is_quarantined() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        crashes.crash(number * 1000, &[(10 + number, &[CAUSE, CAUSE])]);
    }
    assert_eq!(crashes.quarantined(3000), [RequestKey::of_part(CAUSE)]);
}

#[test]
fn a_part_is_quarantined_although_its_contents_were() {
    let mut crashes = Crashes::default();
    for number in 0..6 {
        crashes.crash(number * 1000, &[(10 + number / 3, &[CAUSE])]);
    }
    let quarantined = crashes.quarantined(6000);
    assert!(quarantined.contains(&RequestKey::of_part(CAUSE)), "{quarantined:?}");
}

#[test]
fn a_success_after_the_quarantine_lifts_it_and_frees_the_evidence() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        crashes.crash(number * 1000, &[(10 + number, &[FIRST, 50 + number]), (20 + number, &[CAUSE])]);
    }
    let mut quarantine = Quarantine::default();
    let first = RequestKey::of_part(FIRST);
    quarantine.impose(first, Vec::new(), WallTime(0));
    crashes.evidence.note_quarantined(first.fingerprint, &[]);
    assert_eq!(crashes.quarantined(2500), []);
    assert!(quarantine.note_success(first.fingerprint, WallTime(1)).is_some());
    assert_eq!(quarantine.status(first.fingerprint, WallTime(2)), QuarantineStatus::Free);
    crashes.success(FIRST);
    assert_eq!(crashes.quarantined(3000), [RequestKey::of_part(CAUSE)]);
}

#[test]
fn a_part_on_probation_is_quarantined_after_one_crash() {
    let mut crashes = Crashes::default();
    crashes.crash(0, &[(10, &[FIRST, CAUSE])]);
    let cause = RequestKey::of_part(CAUSE);
    let on_probation = |request| match request == cause.fingerprint {
        true => QuarantineStatus::OnProbation,
        false => QuarantineStatus::Free,
    };
    let decisions = crashes.evidence.decide(at(500), on_probation);
    assert_eq!(decisions.quarantine, [(cause, vec![ServerKey(0)])]);
}

#[test]
fn evidence_against_parts_is_bounded() {
    let mut crashes = Crashes::default();
    for number in 0..600 {
        let parts: Vec<u64> = (0..16).map(|part| number * 10_000 + part).collect();
        let running: Vec<(u64, &[u64])> = (0..200).map(|request| (number * 1000 + request, &parts[..])).collect();
        crashes.crash(number * 200, &running);
    }
    assert!(format!("{:?}", crashes.evidence).matches("RunningPart").count() <= 256 * 1024);
}

#[test]
fn the_last_part_and_parts_beyond_the_limit_have_no_keys() {
    let parts: Vec<PromptPart> = (0..40).map(|key| PromptPart { key, tokens: 1 }).collect();
    let prompt = latchwheel_core::dispatch::Prompt { parts, output_tokens: 1 };
    assert_eq!(prompt.shared_parts().len(), 39);
    let shared_parts = prompt.shared_parts();
    let content = RequestContent { method: "POST", host: b"h", target: "/", caller: b"", body: b"", shared_parts };
    assert_eq!(content.part_keys().count(), MAX_SHARED_PARTS);
    let other = RequestContent { shared_parts: &[], ..content };
    assert_eq!(content.key(), other.key(), "parts don't belong to the content");
}

/// Sound requests of three parts a second at any rate, beside a part that crashes a server
/// each time: the part is stopped, and no other one for longer than a run takes.
#[test]
fn common_parts_of_sound_requests_are_cleared_in_time() {
    let mut crashes = Crashes::default();
    let mut wrong = Vec::new();
    let run = Duration::from_millis(400);
    let mut stopped_after = None;
    for number in 0..20_u64 {
        let now = number * 250;
        let common = 1000 + number % 4;
        crashes
            .crash(now, &[(10 + number, &[common, CAUSE]), (500 + number, &[1000 + (number + 1) % 4, 2000 + number])]);
        // One of the common parts has a successful run.
        crashes.success(1000 + number % 4);
        for part in crashes.quarantined(now + run.as_millis() as u64) {
            match part == RequestKey::of_part(CAUSE) {
                true => stopped_after = stopped_after.or(Some(number + 1)),
                false => wrong.push(part),
            }
        }
    }
    assert!(stopped_after.is_some_and(|crashes| crashes <= 5), "{stopped_after:?}");
    assert_eq!(wrong, []);
}
