//! Selection of the record source among the store and upstreams.

use latchwheel_core::record_source::{
    PollCondition, RecordSource, SourceSelector, UpstreamState, AGE_LIMIT, CATCH_UP_TIMEOUT, DEFERRAL_TIMEOUT,
    OUTAGE_LIMIT,
};
use latchwheel_core::time::Instant;
use proptest::prelude::*;
use std::time::Duration;

const START: Instant = Instant::from_micros(60_000_000);
const RELIABLE: UpstreamState =
    UpstreamState { age: Duration::ZERO, outage: Duration::ZERO, complete: true, defers: false, behind: false };

fn later(milliseconds: u64) -> Instant {
    START + Duration::from_millis(milliseconds)
}

#[test]
fn without_upstreams_the_store_is_the_source() {
    let selector = SourceSelector::new(0, 7, START);
    assert_eq!(selector.source(), RecordSource::Store);
    assert_eq!(selector.upstream(), None);
}

#[test]
fn a_starting_node_waits_briefly_for_an_upstream() {
    let mut selector = SourceSelector::new(3, 1, START);
    selector.note_failure(later(10));
    assert_eq!(selector.source(), RecordSource::Undecided);
    selector.note_answer(later(200), &RELIABLE);
    assert_eq!(selector.source(), RecordSource::Upstream);
    let mut alone = SourceSelector::new(3, 1, START);
    alone.note_failure(later(1_500));
    assert_eq!(alone.source(), RecordSource::Store);
}

#[test]
fn an_unreliable_upstream_is_replaced_by_the_next_and_then_by_the_store() {
    let unreliable = [
        UpstreamState { age: AGE_LIMIT + Duration::from_millis(1), ..RELIABLE },
        UpstreamState { outage: OUTAGE_LIMIT + Duration::from_millis(1), ..RELIABLE },
        UpstreamState { complete: false, ..RELIABLE },
    ];
    for state in unreliable {
        let mut selector = SourceSelector::new(2, 0, START);
        selector.note_answer(later(100), &RELIABLE);
        assert_eq!(selector.poll_condition(), PollCondition::Change);
        assert_eq!(selector.note_answer(later(5_000), &state), Duration::ZERO);
        assert_eq!(selector.source(), RecordSource::Upstream, "the next upstream is polled before the store");
        assert_eq!((selector.upstream(), selector.poll_condition()), (Some(1), PollCondition::Nothing));
        selector.note_answer(later(5_010), &state);
        assert_eq!(selector.source(), RecordSource::Store, "{state:?}");
        assert_eq!((selector.upstream(), selector.poll_condition()), (Some(0), PollCondition::Reliable));
        let backoff = selector.note_answer(later(5_610), &state);
        assert_eq!(backoff.is_zero(), state.complete, "an upstream that holds polls is polled again at once");
        selector.note_answer(later(6_000), &RELIABLE);
        assert_eq!(selector.source(), RecordSource::Upstream);
    }
}

#[test]
fn a_single_failed_upstream_is_replaced_by_the_store_at_once() {
    let mut selector = SourceSelector::new(1, 0, START);
    selector.note_answer(later(100), &RELIABLE);
    selector.note_failure(later(1_100));
    assert_eq!(selector.source(), RecordSource::Store);
}

/// An upstream that stays behind is replaced by the next one, and by the store if that one is behind
/// too.
#[test]
fn an_upstream_that_is_behind_gets_time_to_catch_up() {
    let behind = UpstreamState { behind: true, ..RELIABLE };
    let mut selector = SourceSelector::new(3, 0, START);
    selector.note_answer(later(100), &RELIABLE);
    assert_eq!(selector.note_answer(later(5_000), &behind), Duration::ZERO);
    assert_eq!((selector.upstream(), selector.poll_condition()), (Some(0), PollCondition::Reliable));
    assert_eq!(selector.source(), RecordSource::Upstream);
    let timeout_end = later(5_000) + CATCH_UP_TIMEOUT;
    selector.note_answer(timeout_end, &behind);
    assert_eq!((selector.upstream(), selector.source()), (Some(1), RecordSource::Upstream));
    selector.note_answer(timeout_end + Duration::from_millis(10), &behind);
    assert_eq!(selector.source(), RecordSource::Store);
    selector.note_answer(later(9_000), &RELIABLE);
    assert_eq!((selector.source(), selector.poll_condition()), (RecordSource::Upstream, PollCondition::Change));
}

/// A node that watches the store keeps doing so while its upstreams are behind.
#[test]
fn an_upstream_that_is_behind_does_not_replace_the_store() {
    let behind = UpstreamState { behind: true, ..RELIABLE };
    let mut selector = SourceSelector::new(2, 0, START);
    selector.note_failure(later(1_500));
    for poll in 0..40 {
        selector.note_answer(later(2_000 + 100 * poll), &behind);
        assert_eq!(selector.source(), RecordSource::Store);
    }
}

#[test]
fn unresponsive_upstreams_are_polled_with_growing_backoff() {
    let mut selector = SourceSelector::new(3, 0, START);
    selector.note_answer(later(100), &RELIABLE);
    let backoffs: Vec<u128> = (0..6).map(|_| selector.note_failure(later(9_000)).as_millis()).collect();
    assert_eq!(backoffs, [0, 0, 0, 250, 500, 1_000]);
}

/// Many nodes that start together must not all list the records from the store.
#[test]
fn a_starting_node_waits_for_upstreams_that_defer() {
    let defers = UpstreamState { complete: false, defers: true, ..RELIABLE };
    let mut selector = SourceSelector::new(3, 0, START);
    let mut now = later(10);
    let mut polls = 0;
    while now < START + DEFERRAL_TIMEOUT {
        let backoff = selector.note_answer(now, &defers);
        assert_eq!(selector.source(), RecordSource::Undecided, "at {now:?}");
        assert!(!backoff.is_zero(), "an upstream that defers must not be polled without a backoff");
        now = now + backoff;
        polls += 1;
    }
    assert!((30..=60).contains(&polls), "{polls} polls");
    selector.note_answer(now, &defers);
    assert_eq!(selector.source(), RecordSource::Store);
    selector.note_answer(now, &RELIABLE);
    assert_eq!(selector.source(), RecordSource::Upstream);
}

/// Waiting for a deferral must not keep a node on an upstream without the store or on one that it
/// already follows.
#[test]
fn a_deferral_does_not_hide_an_outage() {
    let unreachable = UpstreamState { age: AGE_LIMIT * 2, complete: false, defers: true, ..RELIABLE };
    let mut selector = SourceSelector::new(3, 0, START);
    selector.note_answer(later(1_100), &unreachable);
    assert_eq!(selector.source(), RecordSource::Store);
    let mut following = SourceSelector::new(3, 0, START);
    following.note_answer(later(10), &RELIABLE);
    let defers = UpstreamState { complete: false, defers: true, ..RELIABLE };
    following.note_answer(later(1_000), &defers);
    following.note_answer(later(1_010), &defers);
    assert_eq!(following.source(), RecordSource::Store);
}

proptest! {
    /// After the start a node always has a source, and never follows an upstream after two
    /// consecutive unreliable answers.
    #[test]
    fn a_node_always_has_a_reliable_source(
        outcomes in prop::collection::vec((any::<bool>(), 0_u64..3_000, 0_u64..1_000, any::<bool>()), 1..60),
    ) {
        let mut selector = SourceSelector::new(3, 5, START);
        let mut now = later(2_000);
        let mut consecutive_unreliable = u32::MAX;
        for (answers, age, outage, complete) in outcomes {
            let state = UpstreamState {
                age: Duration::from_millis(age),
                outage: Duration::from_millis(outage),
                complete,
                defers: false,
                behind: false,
            };
            let backoff = if answers { selector.note_answer(now, &state) } else { selector.note_failure(now) };
            let reliable = answers && state.is_reliable();
            consecutive_unreliable = if reliable { 0 } else { consecutive_unreliable.saturating_add(1) };
            prop_assert_eq!(selector.source() == RecordSource::Upstream, consecutive_unreliable < 2);
            prop_assert!(selector.source() != RecordSource::Undecided);
            prop_assert!(selector.upstream().is_some_and(|number| number < 3));
            now = now + backoff;
        }
    }
}
