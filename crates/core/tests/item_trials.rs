//! Trial runs of items whose runs lost their servers.

use latchwheel_core::item_trials::{ItemTrials, TRIAL_PAUSE};
use latchwheel_core::time::Instant;
use std::time::Duration;

const START: Instant = Instant::from_micros(100_000_000);

#[test]
fn one_trial_runs_at_a_time() {
    let mut trials = ItemTrials::default();
    assert_eq!(trials.begin(START), Ok(()));
    assert!(trials.begin(START).is_err());
    trials.end();
    assert_eq!(trials.begin(START), Ok(()), "the next one may begin at once");
}

#[test]
fn a_pause_follows_a_trial_that_lost_its_server() {
    let mut trials = ItemTrials::default();
    assert_eq!(trials.begin(START), Ok(()));
    trials.end_lost(START);
    assert_eq!(trials.begin(START), Err(TRIAL_PAUSE));
    let just_before = START + TRIAL_PAUSE - Duration::from_millis(1);
    assert_eq!(trials.begin(just_before), Err(Duration::from_millis(1)));
    assert_eq!(trials.begin(START + TRIAL_PAUSE), Ok(()));
}
