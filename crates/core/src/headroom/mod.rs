//! Headroom of machines: the free part of their CPU, memory and descriptors.
//!
//! Machines differ in size, and a peak in one zone loads only its own machines. A node
//! measures its own headroom from the usage of its process and receives that of the other
//! nodes in their reports.

mod gauge;
mod peers;

pub use gauge::{HeadroomChange, HeadroomGauge};
pub use peers::{PeerHeadroom, PeerHeadroomCounts};

use std::time::Duration;

/// Limits of the machine; zero means that the limit is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineCapacity {
    /// Processors that the process may use; may be a fraction.
    pub processors: f64,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Maximum of open descriptors.
    pub descriptors: u64,
}

impl MachineCapacity {
    /// Whether the machine has any limit.
    pub fn has_limits(&self) -> bool {
        self.processors > 0.0 || self.memory_bytes > 0 || self.descriptors > 0
    }
}

/// Usage of the process; `None` where it cannot be measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since the start of the process.
    pub processor_time: Option<Duration>,
    /// Resident memory in bytes.
    pub memory_bytes: Option<u64>,
    /// Open descriptors.
    pub descriptors: Option<u64>,
}

/// Free part of each limit in percent; 100 where the limit or the usage is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Headroom {
    /// Processor time, averaged over the last seconds.
    pub processor: u8,
    /// Delay of tasks, relative to the maximum delay that still allows timely answers.
    pub delay: u8,
    /// Memory.
    pub memory: u8,
    /// Open descriptors.
    pub descriptors: u8,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { processor: FULL, delay: FULL, memory: FULL, descriptors: FULL }
    }
}

impl Headroom {
    /// Headroom of the scarcest limit.
    pub fn least(&self) -> u8 {
        self.processor.min(self.delay).min(self.memory).min(self.descriptors)
    }

    /// Headroom of each limit with its name.
    pub fn by_limit(&self) -> [(&'static str, u8); 4] {
        [
            ("processor", self.processor),
            ("delay", self.delay),
            ("memory", self.memory),
            ("descriptors", self.descriptors),
        ]
    }

    /// Minimum of both headrooms for each limit.
    pub fn min_of_each(&self, other: &Headroom) -> Headroom {
        Headroom {
            processor: self.processor.min(other.processor),
            delay: self.delay.min(other.delay),
            memory: self.memory.min(other.memory),
            descriptors: self.descriptors.min(other.descriptors),
        }
    }
}

/// Headroom of an unused limit, in percent.
const FULL: u8 = 100;

/// Free part of `limit` in percent; [`FULL`] if there is no limit.
fn percent_left(used: f64, limit: f64) -> u8 {
    if limit <= 0.0 {
        return FULL;
    }
    ((1.0 - used / limit).clamp(0.0, 1.0) * f64::from(FULL)).round() as u8
}
