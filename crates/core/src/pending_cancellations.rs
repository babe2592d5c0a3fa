//! The ends of jobs that a node still owes to its callers.
//!
//! The record store did not take them in their callers' time. They are tried in turn, so
//! that one that can't be done holds up none; each for a limited time, and so many at most.

use crate::retry::exponential_backoff;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Most ends that are owed; some hundred bytes each.
pub const MAX_PENDING_CANCELLATIONS: usize = 1024;
/// Time for which an end is tried: as long as one is kept for a job that is not in the
/// store when it is ended, which is the longest lease that stores grant.
pub const MAX_RETRY_TIME: Duration = Duration::from_secs(600);
/// Pause after a try that failed, doubled at each failure in a row up to the longest:
/// the same as between the tries for which a caller waits.
const PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(480);

/// An end that a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCancellation {
    /// Job.
    pub job: String,
    /// Tenant of the caller.
    pub caller: Option<String>,
    until: Instant,
}

/// Why an end is tried no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// More are owed than a node keeps; this one was owed longest.
    TooMany,
    /// It was tried for [`MAX_RETRY_TIME`].
    TooOld,
}

impl GiveUpReason {
    /// A word for the log.
    pub fn word(self) -> &'static str {
        match self {
            GiveUpReason::TooMany => "too_many",
            GiveUpReason::TooOld => "too_old",
        }
    }
}

/// An end that is tried no more, and why.
pub type AbandonedCancellation = (PendingCancellation, GiveUpReason);

/// The ends that a node owes, but for the one that is being tried.
#[derive(Debug, Default)]
pub struct PendingCancellations {
    ends: VecDeque<PendingCancellation>,
    failures: u32,
}

impl PendingCancellations {
    /// The store did not take an end in its caller's time. Gives back the one that
    /// had to give way, if any.
    pub fn push(&mut self, now: Instant, job: &str, caller: Option<&str>) -> Option<AbandonedCancellation> {
        // The caller's own tries have just failed.
        self.failures = self.failures.max(1);
        if self.ends.iter().any(|end| end.job == job && end.caller.as_deref() == caller) {
            return None;
        }
        let until = now + MAX_RETRY_TIME;
        self.ends.push_back(PendingCancellation { job: job.to_owned(), caller: caller.map(str::to_owned), until });
        if self.ends.len() <= MAX_PENDING_CANCELLATIONS {
            return None;
        }
        self.ends.pop_front().map(|end| (end, GiveUpReason::TooMany))
    }

    /// Ends that wait for a try.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether none waits for a try.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The end to try next.
    pub fn next_end(&mut self) -> Option<PendingCancellation> {
        self.ends.pop_front()
    }

    /// Pause before the next try.
    pub fn pause(&self) -> Duration {
        match self.failures.checked_sub(1) {
            Some(before) => exponential_backoff(PAUSE, LONGEST_PAUSE, before),
            None => Duration::ZERO,
        }
    }

    /// A try has settled its end.
    pub fn note_settled(&mut self) {
        self.failures = 0;
    }

    /// A try of an end has failed. Gives it back if it is tried no more.
    pub fn note_failed(&mut self, now: Instant, end: PendingCancellation) -> Option<AbandonedCancellation> {
        self.failures = self.failures.saturating_add(1);
        if now >= end.until {
            return Some((end, GiveUpReason::TooOld));
        }
        self.ends.push_back(end);
        None
    }
}
