//! Run times of batch items, estimated from completed items.

use std::time::Duration;

/// Weight of a new sample in a running mean.
const MEAN_WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Means {
    events: f64,
    seconds_per_event: f64,
}

/// Run times of the items of one route; empty before the first completed item.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    runs: Option<Means>,
    /// Seconds per event since the first start of an item, including waits between its
    /// runs.
    seconds_per_event_with_waits: Option<f64>,
}

impl RunTimes {
    /// Records a completed item with `events` events; its last run produced
    /// `last_run_events` of them in `time`.
    pub fn note_completed(&mut self, events: u64, last_run_events: u64, time: Duration) {
        if last_run_events == 0 {
            return;
        }
        let sample = Means { events: events as f64, seconds_per_event: time.as_secs_f64() / last_run_events as f64 };
        self.runs = Some(self.runs.map_or(sample, |old| Means {
            events: mean(old.events, sample.events),
            seconds_per_event: mean(old.seconds_per_event, sample.seconds_per_event),
        }));
    }

    /// Records a completed item whose runs produced `events` events within `time` of its
    /// first start.
    pub fn note_elapsed(&mut self, events: u64, time: Duration) {
        if events == 0 {
            return;
        }
        let sample = time.as_secs_f64() / events as f64;
        self.seconds_per_event_with_waits =
            Some(self.seconds_per_event_with_waits.map_or(sample, |old| mean(old, sample)));
    }

    /// Expected remaining time of an item that has `events` events and runs without
    /// interruption; zero before the first completed item.
    pub fn remaining(&self, events: u64) -> Duration {
        let Some(means) = self.runs else { return Duration::ZERO };
        means.remaining_events(events).mul_f64(means.seconds_per_event)
    }

    /// Time that a run takes for `events` events; zero before the first completed item.
    pub fn time_for_events(&self, events: u64) -> Duration {
        self.runs.map_or(Duration::ZERO, |means| Duration::from_secs_f64(means.seconds_per_event * events as f64))
    }

    /// Expected time to completion of an item that has `events` events and starts now,
    /// if it is preempted as often as other items; zero before the first completed item.
    pub fn remaining_with_waits(&self, events: u64) -> Duration {
        let Some(means) = self.runs else { return Duration::ZERO };
        let seconds_per_event = self.seconds_per_event_with_waits.unwrap_or_default().max(means.seconds_per_event);
        means.remaining_events(events).mul_f64(seconds_per_event)
    }
}

impl Means {
    /// Expected number of remaining events, as seconds.
    fn remaining_events(&self, events: u64) -> Duration {
        Duration::from_secs_f64((self.events - events as f64).max(0.0))
    }
}

fn mean(old: f64, new: f64) -> f64 {
    old + (new - old) * MEAN_WEIGHT
}
