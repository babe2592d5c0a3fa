//! The load report, which shows the load as it was some time ago.

use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const SAMPLE_LIMIT: usize = 512;

/// The load at one time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct LoadSample {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) tokens: u64,
}

#[derive(Debug)]
pub(super) struct LoadReport {
    samples: VecDeque<(Instant, LoadSample)>,
    last: Instant,
}

impl LoadReport {
    pub(super) fn new(now: Instant) -> Self {
        Self { samples: VecDeque::new(), last: now }
    }

    pub(super) fn note(&mut self, now: Instant, running: u32, waiting: u32, tokens: u64) {
        if now.duration_since(self.last) < SAMPLE_INTERVAL {
            return;
        }
        self.last = now;
        self.samples.push_back((now, LoadSample { running, waiting, tokens }));
        if self.samples.len() > SAMPLE_LIMIT {
            self.samples.pop_front();
        }
    }

    /// The latest sample that is at least as old as the lag.
    pub(super) fn lagged(&self, lag: Duration) -> LoadSample {
        let old_enough = |sample: &&(Instant, LoadSample)| sample.0.elapsed() >= lag;
        self.samples.iter().rev().find(old_enough).map(|(_, sample)| *sample).unwrap_or_default()
    }
}
