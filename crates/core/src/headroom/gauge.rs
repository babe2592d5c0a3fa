//! Headroom of this machine.

use super::{percent_left, Headroom, MachineCapacity, ProcessUsage};
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which processor time and delays are averaged. Covers several periods of a
/// processor quota, which throttles a process for parts of a second.
const WINDOW: Duration = Duration::from_secs(3);
/// Interval between samples of the process's usage; each sample reads three files.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest span of samples from which processor headroom is computed.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(2);
/// A machine with less headroom, in percent, becomes busy: queueing delay grows steeply
/// at higher utilization.
const BUSY_BELOW: u8 = 10;
/// A busy machine with at least this headroom, in percent, becomes free. The distance to
/// [`BUSY_BELOW`] is hysteresis against short peaks.
const FREE_AT: u8 = 30;

/// Change of a machine between busy and free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadroomChange {
    /// The headroom fell below the lower bound.
    Busy,
    /// The headroom reached the upper bound again.
    Free,
}

/// Measures the headroom of this machine.
#[derive(Debug)]
pub struct HeadroomGauge {
    capacity: MachineCapacity,
    /// Processor time at each sample in the window, and at the last one before it.
    samples: VecDeque<(Instant, Duration)>,
    sampled_at: Option<Instant>,
    /// Moving average of the delays, weighted by time.
    delay: Duration,
    delay_at: Option<Instant>,
    headroom: Headroom,
    busy: bool,
}

impl HeadroomGauge {
    /// Creates a gauge that has no samples and reports full headroom.
    pub fn new(capacity: MachineCapacity) -> Self {
        Self {
            capacity,
            samples: VecDeque::new(),
            sampled_at: None,
            delay: Duration::ZERO,
            delay_at: None,
            headroom: Headroom::default(),
            busy: false,
        }
    }

    /// Whether the machine has any limit to measure against.
    pub fn has_limits(&self) -> bool {
        self.capacity.has_limits()
    }

    /// Records that a task ran `delay` after its due time. `max_delay` is the delay that
    /// leaves no headroom; zero if there is no such limit.
    pub fn note_delay(&mut self, now: Instant, delay: Duration, max_delay: Duration) {
        let passed = self.delay_at.map_or(Duration::ZERO, |at| now.since(at));
        let weight = (passed.as_secs_f64() / WINDOW.as_secs_f64()).min(1.0);
        let mean = self.delay.as_secs_f64();
        self.delay = Duration::from_secs_f64((mean + (delay.as_secs_f64() - mean) * weight).max(0.0));
        self.delay_at = Some(now);
        self.headroom.delay = percent_left(self.delay.as_secs_f64(), max_delay.as_secs_f64());
    }

    /// Whether the next usage sample is due.
    pub fn sample_is_due(&self, now: Instant) -> bool {
        self.has_limits() && self.sampled_at.is_none_or(|at| now.since(at) >= SAMPLE_INTERVAL)
    }

    /// Records a usage sample. Returns the change if the machine became busy or free.
    pub fn note_usage(&mut self, now: Instant, usage: &ProcessUsage) -> Option<HeadroomChange> {
        self.sampled_at = Some(now);
        if let Some(time) = usage.processor_time {
            self.note_processor_time(now, time);
        }
        self.headroom.memory = percent_left_if_measured(usage.memory_bytes, self.capacity.memory_bytes);
        self.headroom.descriptors = percent_left_if_measured(usage.descriptors, self.capacity.descriptors);
        self.update_busy()
    }

    /// Current headroom of each limit.
    pub fn headroom(&self) -> Headroom {
        self.headroom
    }

    /// Average delay of tasks.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether the machine is busy.
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    fn note_processor_time(&mut self, now: Instant, time: Duration) {
        self.samples.push_back((now, time));
        while self.samples.get(1).is_some_and(|(at, _)| now.since(*at) >= WINDOW) {
            self.samples.pop_front();
        }
        let Some((first_at, first_time)) = self.samples.front() else { return };
        let measured = now.since(*first_at);
        if measured < MIN_MEASURED_TIME {
            return;
        }
        let used = time.saturating_sub(*first_time).as_secs_f64() / measured.as_secs_f64();
        self.headroom.processor = percent_left(used, self.capacity.processors);
    }

    fn update_busy(&mut self) -> Option<HeadroomChange> {
        let lowest = self.headroom.least();
        if !self.busy && lowest < BUSY_BELOW {
            self.busy = true;
            return Some(HeadroomChange::Busy);
        }
        if self.busy && lowest >= FREE_AT {
            self.busy = false;
            return Some(HeadroomChange::Free);
        }
        None
    }
}

fn percent_left_if_measured(used: Option<u64>, limit: u64) -> u8 {
    percent_left(used.unwrap_or_default() as f64, limit as f64)
}
