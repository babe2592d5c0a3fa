//! The room of this machine itself.

use super::{percent_left, Headroom, MachineCapacity, ProcessUsage};
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which processor time and delays are measured: a machine that is paused by
/// its limit for a part of a second has used that part's time before.
const WINDOW: Duration = Duration::from_secs(3);
/// Time between two looks at what the process uses; each reads three files.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Processor time is not judged before it was measured for this time.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(2);
/// A machine with less room in percent is busy: where more than nine parts in ten are
/// in use, what comes waits for a multiple of its own time.
const BUSY_BELOW: u8 = 10;
/// A busy machine with this room in percent is busy no more. The distance to
/// [`BUSY_BELOW`] keeps a machine from changing with each small peak.
const FREE_AT: u8 = 30;

/// A machine became busy, or is so no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadroomChange {
    /// It has too little room.
    Busy,
    /// It has room again.
    Free,
}

/// Measures the room of this machine.
#[derive(Debug)]
pub struct HeadroomGauge {
    capacity: MachineCapacity,
    /// Processor time at each look in the window, and the last one before it.
    samples: VecDeque<(Instant, Duration)>,
    sampled_at: Option<Instant>,
    /// Mean of the delays, later ones counting more.
    delay: Duration,
    delay_at: Option<Instant>,
    headroom: Headroom,
    busy: bool,
}

impl HeadroomGauge {
    /// A machine of which nothing is used yet.
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

    /// Whether limits are known, so that there is something to measure.
    pub fn has_limits(&self) -> bool {
        self.capacity.has_limits()
    }

    /// A task ran so much later than it was due. `max_delay` is the delay with which no
    /// answer is in time; zero if that is not known.
    pub fn note_delay(&mut self, now: Instant, delay: Duration, max_delay: Duration) {
        let passed = self.delay_at.map_or(Duration::ZERO, |at| now.since(at));
        let weight = (passed.as_secs_f64() / WINDOW.as_secs_f64()).min(1.0);
        let mean = self.delay.as_secs_f64();
        self.delay = Duration::from_secs_f64((mean + (delay.as_secs_f64() - mean) * weight).max(0.0));
        self.delay_at = Some(now);
        self.headroom.delay = percent_left(self.delay.as_secs_f64(), max_delay.as_secs_f64());
    }

    /// Whether to look at what the process uses.
    pub fn sample_is_due(&self, now: Instant) -> bool {
        self.has_limits() && self.sampled_at.is_none_or(|at| now.since(at) >= SAMPLE_INTERVAL)
    }

    /// What the process uses now. Tells whether the machine has become busy or free.
    pub fn note_usage(&mut self, now: Instant, usage: &ProcessUsage) -> Option<HeadroomChange> {
        self.sampled_at = Some(now);
        if let Some(time) = usage.processor_time {
            self.note_processor_time(now, time);
        }
        self.headroom.memory = percent_left_if_measured(usage.memory_bytes, self.capacity.memory_bytes);
        self.headroom.descriptors = percent_left_if_measured(usage.descriptors, self.capacity.descriptors);
        self.update_busy()
    }

    /// What is left of the limits.
    pub fn headroom(&self) -> Headroom {
        self.headroom
    }

    /// Mean delay of tasks.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether the machine has too little room.
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
