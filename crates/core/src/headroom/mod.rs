//! What a machine can still carry.
//!
//! The load that it answers: machines of one zone are small and unequal and carry the
//! peak of its callers while others rest. A machine knows its own room, by what its
//! process uses of the limits, and how much of the others has room, by what they tell.

mod gauge;
mod peers;

pub use gauge::{HeadroomChange, HeadroomGauge};
pub use peers::{PeerHeadroom, PeerHeadroomCounts};

use std::time::Duration;

/// Limits of the machine; zero where one is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineCapacity {
    /// Processors that the process may use, in parts of one.
    pub processors: f64,
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl MachineCapacity {
    /// Whether any limit is known.
    pub fn has_limits(&self) -> bool {
        self.processors > 0.0 || self.memory_bytes > 0 || self.descriptors > 0
    }
}

/// What the process uses; `None` where it can't be told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub processor_time: Option<Duration>,
    /// Bytes of resident memory.
    pub memory_bytes: Option<u64>,
    /// Open descriptors.
    pub descriptors: Option<u64>,
}

/// What is left of each limit, in percent; 100 where it is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Headroom {
    /// Of the processor time, over the last seconds.
    pub processor: u8,
    /// Of the time by which a task may run late: answers in time need it.
    pub delay: u8,
    /// Of the memory.
    pub memory: u8,
    /// Of the descriptors.
    pub descriptors: u8,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { processor: FULL, delay: FULL, memory: FULL, descriptors: FULL }
    }
}

impl Headroom {
    /// What is left of the scarcest.
    pub fn least(&self) -> u8 {
        self.processor.min(self.delay).min(self.memory).min(self.descriptors)
    }

    /// What is left of each limit, by its name.
    pub fn by_limit(&self) -> [(&'static str, u8); 4] {
        [
            ("processor", self.processor),
            ("delay", self.delay),
            ("memory", self.memory),
            ("descriptors", self.descriptors),
        ]
    }

    /// What is left of each limit here or in `other`, whichever is less.
    pub fn min_of_each(&self, other: &Headroom) -> Headroom {
        Headroom {
            processor: self.processor.min(other.processor),
            delay: self.delay.min(other.delay),
            memory: self.memory.min(other.memory),
            descriptors: self.descriptors.min(other.descriptors),
        }
    }
}

/// Percent that is left of a limit that nothing is used of.
const FULL: u8 = 100;

/// Percent that is left where `used` of `limit` is taken.
fn percent_left(used: f64, limit: f64) -> u8 {
    if limit <= 0.0 {
        return FULL;
    }
    ((1.0 - used / limit).clamp(0.0, 1.0) * f64::from(FULL)).round() as u8
}
