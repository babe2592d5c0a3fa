//! Trial runs of batch items that may crash servers.
//!
//! A worker never gives an item up because servers crashed under it: servers crash for other
//! reasons, too. But an item whose runs keep losing their servers starts on trial. A worker has
//! one trial at a time. It ends with the first event of the item's output, and after one that
//! loses its server, too, the next trial waits. So an item that does crash servers crashes few
//! of them, and one that does not is delayed little.

use crate::time::Instant;
use std::time::Duration;

/// Number of servers in a row that runs of an item lost before any event of theirs, after which
/// the item starts on trial.
pub const LOST_RUNS_BEFORE_TRIAL: u32 = 3;
/// Pause after a trial that lost its server.
pub const TRIAL_PAUSE: Duration = Duration::from_secs(5);
/// Time after which to look again while another trial is in progress.
const TRIAL_LOOK: Duration = Duration::from_millis(200);

/// The trials of one worker.
#[derive(Debug, Default)]
pub struct ItemTrials {
    is_in_progress: bool,
    paused_until: Instant,
}

impl ItemTrials {
    /// Begins a trial.
    ///
    /// # Errors
    /// The time until another attempt, if no trial may begin now.
    pub fn begin(&mut self, now: Instant) -> Result<(), Duration> {
        let pause = self.paused_until.since(now);
        if !pause.is_zero() {
            return Err(pause);
        }
        if std::mem::replace(&mut self.is_in_progress, true) {
            return Err(TRIAL_LOOK);
        }
        Ok(())
    }

    /// Ends the trial: the item has an event, or its run ended otherwise.
    pub fn end(&mut self) {
        self.is_in_progress = false;
    }

    /// Ends the trial, which lost its server.
    pub fn end_lost(&mut self, now: Instant) {
        self.is_in_progress = false;
        self.paused_until = now + TRIAL_PAUSE;
    }
}
