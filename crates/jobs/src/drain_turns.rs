//! The order in which the jobs on a disk are brought into the store.
//!
//! A look at the disk ends early where jobs fail. Some may fail for good, for example
//! because they are too large for the time of a call to the store: each look begins
//! behind the last job that was tried, so that these hold up no others.

/// Whose turn it is.
#[derive(Debug, Default)]
pub(crate) struct DrainTurns {
    /// Name of the job that was tried last; empty if none was.
    last_tried: String,
}

impl DrainTurns {
    /// Puts jobs into the order of their names, beginning behind the one tried last.
    pub(crate) fn order<T>(&self, jobs: &mut [T], name: impl Fn(&T) -> &str) {
        jobs.sort_unstable_by(|one, other| name(one).cmp(name(other)));
        let first = jobs.partition_point(|job| name(job) <= self.last_tried.as_str());
        jobs.rotate_left(first);
    }

    /// A job was tried.
    pub(crate) fn note_tried(&mut self, job: String) {
        self.last_tried = job;
    }
}
