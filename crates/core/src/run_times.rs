//! How long items of batch jobs take, as measured from whole runs.

use std::time::Duration;

/// Weight of a new measurement in a running mean.
const MEAN_WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Means {
    events: f64,
    seconds_per_event: f64,
}

/// What was measured of the items of one route; nothing at first.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes(Option<Means>);

impl RunTimes {
    /// An item is whole: it has `events`, of which its last run yielded
    /// `of_run` in `time`.
    pub fn note_whole(&mut self, events: u64, of_run: u64, time: Duration) {
        if of_run == 0 {
            return;
        }
        let measured = Means { events: events as f64, seconds_per_event: time.as_secs_f64() / of_run as f64 };
        let mean = |old: f64, new: f64| old + (new - old) * MEAN_WEIGHT;
        self.0 = Some(self.0.map_or(measured, |old| Means {
            events: mean(old.events, measured.events),
            seconds_per_event: mean(old.seconds_per_event, measured.seconds_per_event),
        }));
    }

    /// Time that an item with so many events is expected to run on; none is
    /// known before the first measurement.
    pub fn remaining(&self, events: u64) -> Duration {
        let Some(means) = self.0 else { return Duration::ZERO };
        Duration::from_secs_f64((means.events - events as f64).max(0.0) * means.seconds_per_event)
    }
}
