//! Cancellations of jobs that the record store did not accept before the callers' timeout.
//!
//! They are retried in turn, so that a failing cancellation does not block the others, each
//! for a limited time. Their number is limited too.

use crate::retry::exponential_backoff;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of pending cancellations, of some hundred bytes each.
pub const MAX_PENDING_CANCELLATIONS: usize = 1024;
/// Time for which a cancellation is retried: the maximum lease that stores grant, for which
/// they also keep the cancellation of a job that is not stored yet.
pub const MAX_RETRY_TIME: Duration = Duration::from_secs(600);
/// Backoff after the first failure, doubled with each further one up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(480);

/// A cancellation requested by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCancellation {
    /// Identity of the job.
    pub job: String,
    /// Tenant of the caller.
    pub caller: Option<String>,
    retry_until: Instant,
}

/// Reason for abandoning a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The number of pending cancellations exceeded the limit, and this was the oldest.
    TooMany,
    /// The cancellation was retried for [`MAX_RETRY_TIME`].
    TooOld,
}

impl GiveUpReason {
    /// Name of the reason in logs.
    pub fn word(self) -> &'static str {
        match self {
            GiveUpReason::TooMany => "too_many",
            GiveUpReason::TooOld => "too_old",
        }
    }
}

/// An abandoned cancellation and the reason.
pub type AbandonedCancellation = (PendingCancellation, GiveUpReason);

/// Pending cancellations of a node, without the one in progress.
#[derive(Debug, Default)]
pub struct PendingCancellations {
    cancellations: VecDeque<PendingCancellation>,
    failures: u32,
}

impl PendingCancellations {
    /// Adds a cancellation that the store did not accept in time, if not yet present.
    /// Returns the oldest one if the limit is exceeded.
    pub fn push(&mut self, now: Instant, job: &str, caller: Option<&str>) -> Option<AbandonedCancellation> {
        // The call on behalf of the caller has just failed.
        self.failures = self.failures.max(1);
        if self
            .cancellations
            .iter()
            .any(|cancellation| cancellation.job == job && cancellation.caller.as_deref() == caller)
        {
            return None;
        }
        let retry_until = now + MAX_RETRY_TIME;
        self.cancellations.push_back(PendingCancellation {
            job: job.to_owned(),
            caller: caller.map(str::to_owned),
            retry_until,
        });
        if self.cancellations.len() <= MAX_PENDING_CANCELLATIONS {
            return None;
        }
        self.cancellations.pop_front().map(|cancellation| (cancellation, GiveUpReason::TooMany))
    }

    /// Number of cancellations that wait for a retry.
    pub fn len(&self) -> usize {
        self.cancellations.len()
    }

    /// Whether no cancellation waits for a retry.
    pub fn is_empty(&self) -> bool {
        self.cancellations.is_empty()
    }

    /// Removes and returns the cancellation to retry next.
    pub fn next_cancellation(&mut self) -> Option<PendingCancellation> {
        self.cancellations.pop_front()
    }

    /// Backoff before the next retry.
    pub fn backoff(&self) -> Duration {
        match self.failures.checked_sub(1) {
            Some(earlier_failures) => exponential_backoff(INITIAL_BACKOFF, MAX_BACKOFF, earlier_failures),
            None => Duration::ZERO,
        }
    }

    /// Records a retry that settled its cancellation.
    pub fn note_settled(&mut self) {
        self.failures = 0;
    }

    /// Records a failed retry. Returns the cancellation if it is abandoned.
    pub fn note_failed(&mut self, now: Instant, cancellation: PendingCancellation) -> Option<AbandonedCancellation> {
        self.failures = self.failures.saturating_add(1);
        if now >= cancellation.retry_until {
            return Some((cancellation, GiveUpReason::TooOld));
        }
        self.cancellations.push_back(cancellation);
        None
    }
}
