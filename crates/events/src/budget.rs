//! The budget of lines.

use crate::event::Weight;

/// Lines a second that are written of all requests.
const FULL_LINES: u32 = 60;
/// Routine lines beyond that are written for one request in so many.
const SAMPLE: u64 = 16;
/// Lines a second beyond which even failures are only counted.
const HARD_LINES: u32 = 400;

/// Counts the lines of the present second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    second: u64,
    lines: u32,
    dropped: u64,
}

impl LineBudget {
    /// Whether a line may be written in that second; `sample` is a hash of
    /// the request, the same on every node.
    pub fn admit(&mut self, second: u64, weight: Weight, sample: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        let admitted = match weight {
            Weight::Routine => self.lines < FULL_LINES || (self.lines < HARD_LINES && sample.is_multiple_of(SAMPLE)),
            Weight::Essential => self.lines < HARD_LINES,
        };
        if admitted {
            self.lines += 1;
        } else {
            self.dropped += 1;
        }
        admitted
    }

    /// Lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
