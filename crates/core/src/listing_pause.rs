//! Time for which results of a batch job are collected before they are listed together.
//!
//! Each list is a call to the record store, so results are listed in groups. Results that
//! complete shortly before the due time must be listed before callers poll for the last
//! time, so the pause shrinks near the due time.

use std::time::Duration;

/// Divisor of the remaining time that gives the usual pause.
const REMAINING_DIVISOR: u32 = 6;
/// Minimum pause far from the due time.
pub const MIN_PAUSE: Duration = Duration::from_millis(600);
/// Maximum pause. Results that are not listed are lost if their worker fails.
const MAX_PAUSE: Duration = Duration::from_millis(2500);
/// Time before the due time at which results must be sent: a write to the record store
/// and one poll interval of a caller.
const LISTING_LEAD_TIME: Duration = Duration::from_millis(800);
/// Pause near the due time.
pub const PAUSE_NEAR_DUE: Duration = Duration::from_millis(100);
/// Time after the due time during which the pause stays short: callers poll about twice
/// a second, and once shortly after the due time.
const FINAL_POLL_TIME: Duration = Duration::from_millis(700);

/// Pause before results of a job of this age are listed; `due` is the age at which the
/// job is due.
pub fn listing_pause(age: Duration, due: Duration) -> Duration {
    if age > due + FINAL_POLL_TIME {
        return MIN_PAUSE;
    }
    let remaining = due.saturating_sub(age);
    let usual = (remaining / REMAINING_DIVISOR).clamp(MIN_PAUSE, MAX_PAUSE);
    usual.min(remaining.saturating_sub(LISTING_LEAD_TIME).max(PAUSE_NEAR_DUE))
}
