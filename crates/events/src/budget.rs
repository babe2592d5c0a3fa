//! Line budget: limits the log lines per second.

use crate::event::Importance;

/// Lines per second up to which no line is sampled.
const UNSAMPLED_LINES_PER_SECOND: u32 = 60;
/// Beyond that, routine lines are written for one request in this many.
const SAMPLE_INTERVAL: u64 = 16;
/// Lines per second beyond which every line is dropped.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Counts the lines of the current second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    second: u64,
    lines: u32,
    dropped: u64,
}

impl LineBudget {
    /// Whether a line may be written in this second; `sample` is a hash of the request id,
    /// the same on every node.
    pub fn admit(&mut self, second: u64, importance: Importance, sample: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        let admitted = match importance {
            Importance::Routine => {
                self.lines < UNSAMPLED_LINES_PER_SECOND
                    || (self.lines < MAX_LINES_PER_SECOND && sample.is_multiple_of(SAMPLE_INTERVAL))
            }
            Importance::Essential => self.lines < MAX_LINES_PER_SECOND,
        };
        if admitted {
            self.lines += 1;
        } else {
            self.dropped += 1;
        }
        admitted
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
