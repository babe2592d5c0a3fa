//! The planned stop of a process, for whoever waits for one of its times.

use crate::Clock;
use latchwheel_core::planned_stop::StopTimes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The planned stop of a process, once one has begun.
#[derive(Debug)]
pub struct PlannedStop {
    clock: Clock,
    times: watch::Sender<Option<StopTimes>>,
}

impl PlannedStop {
    /// A stop that has not begun.
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self { clock, times: watch::Sender::default() })
    }

    /// The stop begins, with these times.
    pub fn begin(&self, times: StopTimes) {
        self.times.send_replace(Some(times));
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.times().is_some()
    }

    /// Completes when the stop has begun.
    pub async fn begun(&self) -> StopTimes {
        let mut times = self.times.subscribe();
        match times.wait_for(Option::is_some).await.map(|times| *times) {
            Ok(Some(times)) => times,
            // The sender lives as long as `self`.
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }

    /// Time that is left for an answer to a request that has `time`.
    pub fn time_left(&self, time: Duration) -> Duration {
        self.times().map_or(time, |times| time.min(times.last_answer.since(self.clock.now())))
    }

    /// Completes when everything in progress has to be answered because the process ends.
    pub async fn answers_due(&self) {
        self.after_answers_due(Duration::ZERO).await;
    }

    /// Completes that long after everything in progress had to be answered.
    pub async fn after_answers_due(&self, time: Duration) {
        let due = self.begun().await.last_answer + time;
        let left = due.since(self.clock.now());
        // A timer takes a millisecond even for no time.
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }

    /// Its times, once it has begun.
    pub fn times(&self) -> Option<StopTimes> {
        *self.times.borrow()
    }
}
