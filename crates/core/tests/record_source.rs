//! The choice between the record store and other nodes' caches.

use latchwheel_core::record_source::{
    PollCondition, RecordSource, SourceSelector, UpstreamState, AGE_LIMIT, CATCH_UP_TIMEOUT, DEFERRAL_TIMEOUT,
    OUTAGE_LIMIT,
};
use latchwheel_core::time::Instant;
use proptest::prelude::*;
use std::time::Duration;

const START: Instant = Instant::from_micros(60_000_000);
const SOUND: UpstreamState =
    UpstreamState { age: Duration::ZERO, outage: Duration::ZERO, complete: true, defers: false, behind: false };

fn later(milliseconds: u64) -> Instant {
    START + Duration::from_millis(milliseconds)
}

#[test]
fn without_upstreams_the_store_is_the_source() {
    let choice = SourceSelector::new(0, 7, START);
    assert_eq!(choice.source(), RecordSource::Store);
    assert_eq!(choice.upstream(), None);
}

#[test]
fn a_node_that_starts_waits_a_moment_for_an_upstream_that_starts_too() {
    let mut choice = SourceSelector::new(3, 1, START);
    choice.note_failure(later(10));
    assert_eq!(choice.source(), RecordSource::Undecided);
    choice.note_answer(later(200), &SOUND);
    assert_eq!(choice.source(), RecordSource::Upstream);
    let mut alone = SourceSelector::new(3, 1, START);
    alone.note_failure(later(1_500));
    assert_eq!(alone.source(), RecordSource::Store);
}

#[test]
fn an_upstream_that_is_behind_is_left_at_once_for_the_next_and_then_for_the_store() {
    let unsound = [
        UpstreamState { age: AGE_LIMIT + Duration::from_millis(1), ..SOUND },
        UpstreamState { outage: OUTAGE_LIMIT + Duration::from_millis(1), ..SOUND },
        UpstreamState { complete: false, ..SOUND },
    ];
    for state in unsound {
        let mut choice = SourceSelector::new(2, 0, START);
        choice.note_answer(later(100), &SOUND);
        assert_eq!(choice.poll_wait(), PollCondition::Change);
        assert_eq!(choice.note_answer(later(5_000), &state), Duration::ZERO);
        assert_eq!(choice.source(), RecordSource::Upstream, "the other one is asked first");
        assert_eq!((choice.upstream(), choice.poll_wait()), (Some(1), PollCondition::Nothing));
        choice.note_answer(later(5_010), &state);
        assert_eq!(choice.source(), RecordSource::Store, "{state:?}");
        assert_eq!((choice.upstream(), choice.poll_wait()), (Some(0), PollCondition::Reliable));
        let pause = choice.note_answer(later(5_610), &state);
        assert_eq!(pause.is_zero(), state.complete, "an upstream that holds polls is asked again at once");
        choice.note_answer(later(6_000), &SOUND);
        assert_eq!(choice.source(), RecordSource::Upstream);
    }
}

#[test]
fn the_only_upstream_is_left_for_the_store_at_once() {
    let mut choice = SourceSelector::new(1, 0, START);
    choice.note_answer(later(100), &SOUND);
    choice.note_failure(later(1_100));
    assert_eq!(choice.source(), RecordSource::Store);
}

/// An upstream that knows less than the node is waited for, then left for the next one,
/// and that one for the store if it is behind as well.
#[test]
fn an_upstream_that_knows_less_is_waited_for_a_moment() {
    let behind = UpstreamState { behind: true, ..SOUND };
    let mut choice = SourceSelector::new(3, 0, START);
    choice.note_answer(later(100), &SOUND);
    assert_eq!(choice.note_answer(later(5_000), &behind), Duration::ZERO);
    assert_eq!((choice.upstream(), choice.poll_wait()), (Some(0), PollCondition::Reliable));
    assert_eq!(choice.source(), RecordSource::Upstream);
    let patience_ends = later(5_000) + CATCH_UP_TIMEOUT;
    choice.note_answer(patience_ends, &behind);
    assert_eq!((choice.upstream(), choice.source()), (Some(1), RecordSource::Upstream));
    choice.note_answer(patience_ends + Duration::from_millis(10), &behind);
    assert_eq!(choice.source(), RecordSource::Store);
    choice.note_answer(later(9_000), &SOUND);
    assert_eq!((choice.source(), choice.poll_wait()), (RecordSource::Upstream, PollCondition::Change));
}

/// A node that watches the store itself goes on with that, however long its upstreams
/// are behind.
#[test]
fn an_upstream_that_knows_less_is_no_source() {
    let behind = UpstreamState { behind: true, ..SOUND };
    let mut choice = SourceSelector::new(2, 0, START);
    choice.note_failure(later(1_500));
    for poll in 0..40 {
        choice.note_answer(later(2_000 + 100 * poll), &behind);
        assert_eq!(choice.source(), RecordSource::Store);
    }
}

#[test]
fn upstreams_that_are_silent_are_asked_more_and_more_seldom() {
    let mut choice = SourceSelector::new(3, 0, START);
    choice.note_answer(later(100), &SOUND);
    let pauses: Vec<u128> = (0..6).map(|_| choice.note_failure(later(9_000)).as_millis()).collect();
    assert_eq!(pauses, [0, 0, 0, 250, 500, 1_000]);
}

/// Upstreams that have lists to send to many nodes are waited for; the store, which
/// would have to list all to each, is not asked before their time is over.
#[test]
fn a_node_that_starts_waits_for_upstreams_that_defer() {
    let defers = UpstreamState { complete: false, defers: true, ..SOUND };
    let mut choice = SourceSelector::new(3, 0, START);
    let mut now = later(10);
    let mut polls = 0;
    while now < START + DEFERRAL_TIMEOUT {
        let pause = choice.note_answer(now, &defers);
        assert_eq!(choice.source(), RecordSource::Undecided, "at {now:?}");
        assert!(!pause.is_zero(), "it must not be asked without a pause");
        now = now + pause;
        polls += 1;
    }
    assert!((30..=60).contains(&polls), "{polls} polls");
    choice.note_answer(now, &defers);
    assert_eq!(choice.source(), RecordSource::Store);
    choice.note_answer(now, &SOUND);
    assert_eq!(choice.source(), RecordSource::Upstream);
}

/// A deferral is no reason to believe an upstream that the store does not answer, nor
/// to rest on one that a node has followed so far.
#[test]
fn a_deferral_does_not_hide_an_outage() {
    let away = UpstreamState { age: AGE_LIMIT * 2, complete: false, defers: true, ..SOUND };
    let mut choice = SourceSelector::new(3, 0, START);
    choice.note_answer(later(1_100), &away);
    assert_eq!(choice.source(), RecordSource::Store);
    let mut following = SourceSelector::new(3, 0, START);
    following.note_answer(later(10), &SOUND);
    let defers = UpstreamState { complete: false, defers: true, ..SOUND };
    following.note_answer(later(1_000), &defers);
    following.note_answer(later(1_010), &defers);
    assert_eq!(following.source(), RecordSource::Store);
}

proptest! {
    /// Whatever upstreams say, a node is never left without a source once the
    /// start is over, and never follows upstreams of which two in a row were not
    /// sound.
    #[test]
    fn there_is_always_a_sound_source(
        outcomes in prop::collection::vec((any::<bool>(), 0_u64..3_000, 0_u64..1_000, any::<bool>()), 1..60),
    ) {
        let mut choice = SourceSelector::new(3, 5, START);
        let mut now = later(2_000);
        let mut unsound_in_a_row = u32::MAX;
        for (answers, age, outage, complete) in outcomes {
            let state = UpstreamState {
                age: Duration::from_millis(age),
                outage: Duration::from_millis(outage),
                complete,
                defers: false,
                behind: false,
            };
            let pause = if answers { choice.note_answer(now, &state) } else { choice.note_failure(now) };
            let sound = answers && state.is_reliable();
            unsound_in_a_row = if sound { 0 } else { unsound_in_a_row.saturating_add(1) };
            prop_assert_eq!(choice.source() == RecordSource::Upstream, unsound_in_a_row < 2);
            prop_assert!(choice.source() != RecordSource::Undecided);
            prop_assert!(choice.upstream().is_some_and(|number| number < 3));
            now = now + pause;
        }
    }
}
