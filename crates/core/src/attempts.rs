//! Decides what follows an attempt that failed.
//!
//! An attempt that certainly did not run may be retried at another server for all kinds of
//! requests. One that may have run is retried only if the kind allows it; otherwise the
//! caller receives the code for an unknown outcome. A refusal (`not-run`) is returned only
//! if no attempt can have run.

use crate::code::ResultCode;
use crate::routes::RequestKind;
use std::time::Duration;

/// Maximum number of retries after attempts that certainly did not run. They don't count
/// against the limit of the route.
const MAX_UNCOUNTED_ATTEMPTS: u32 = 3;
/// Maximum number of servers lost under one request. Requests interrupted together are often
/// retried at the same server, so a further attempt could count another crash against
/// requests that only ran with the cause.
const MAX_LOST_SERVERS: u32 = 2;
/// Minimum time left for a further attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection: no byte of the request was sent.
    NotSent,
    /// The server reported that it did not run the request.
    NotRun,
    /// The request may have run; no server is assumed to be still running it.
    MayHaveRun,
    /// The request may have run; the connection was lost while the server ran it.
    Lost,
}

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another server.
    TryAgain,
    /// Answer the caller with this code.
    GiveUp(ResultCode),
}

/// Attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: RequestKind,
    limit: u32,
    counted: u32,
    uncounted: u32,
    lost: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Starts without attempts; the route allows `limit`, at least one.
    pub fn new(kind: RequestKind, limit: u32) -> Self {
        Self { kind, limit: limit.max(1), counted: 0, uncounted: 0, lost: 0, may_have_run: false }
    }

    /// Number of attempts that have ended.
    pub fn made(&self) -> u32 {
        self.counted + self.uncounted
    }

    /// Whether another attempt could follow if the current one failed after it was sent.
    pub fn may_repeat(&self) -> bool {
        self.may_repeat_with_others(0)
    }

    /// Like [`Self::may_repeat`], with `others` further attempts in progress.
    pub fn may_repeat_with_others(&self, others: u32) -> bool {
        self.kind.is_repeatable() && self.counted + 1 + others < self.limit
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records a failed attempt and returns the next step; `left` is the time until the
    /// deadline of the request.
    pub fn note_failure(&mut self, failure: AttemptFailure, left: Duration) -> NextStep {
        match failure {
            AttemptFailure::NotSent | AttemptFailure::NotRun => self.uncounted += 1,
            AttemptFailure::MayHaveRun | AttemptFailure::Lost => {
                self.counted += 1;
                self.lost += u32::from(failure == AttemptFailure::Lost);
                self.may_have_run = true;
            }
        }
        let allowed = match failure {
            AttemptFailure::MayHaveRun => self.kind.is_repeatable(),
            AttemptFailure::Lost => self.kind.is_repeatable() && self.lost < MAX_LOST_SERVERS,
            AttemptFailure::NotSent | AttemptFailure::NotRun => self.uncounted <= MAX_UNCOUNTED_ATTEMPTS,
        };
        if allowed && self.counted < self.limit && left > MIN_TIME_LEFT {
            return NextStep::TryAgain;
        }
        NextStep::GiveUp(self.result_code(ResultCode::EngineUnreachable))
    }

    /// Records that an attempt was withdrawn because another one delivered its first piece. It
    /// may have run, and counts against the limit of the route.
    pub fn note_withdrawn(&mut self) {
        self.counted += 1;
        self.may_have_run = true;
    }

    /// Result code for the caller: `not_run` unless an attempt may have run.
    pub fn result_code(&self, not_run: ResultCode) -> ResultCode {
        if self.may_have_run {
            ResultCode::OutcomeUnknown
        } else {
            not_run
        }
    }
}
