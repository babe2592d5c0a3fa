//! The budget of lines.

use crate::event::Importance;

/// Lines a second that are written of all requests.
const UNSAMPLED_LINES_PER_SECOND: u32 = 60;
/// Routine lines beyond that are written for one request in so many.
const SAMPLE_INTERVAL: u64 = 16;
/// Lines a second beyond which even failures are only counted.
const MAX_LINES_PER_SECOND: u32 = 400;

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
    pub fn admit(&mut self, second: u64, weight: Importance, sample: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        let admitted = match weight {
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

    /// Lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
