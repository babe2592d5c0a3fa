//! What follows an attempt that did not bring an answer.
//!
//! Of an attempt that was surely not run another server may be asked, whatever
//! the request's kind. One that may have run is repeated only where the kind
//! allows it; of all others the caller is told at once that the outcome can't
//! be known. A refusal (`not-run`) is said only if no attempt can have run.

use crate::code::ResultCode;
use crate::routes::RequestKind;
use std::time::Duration;

/// Attempts that were surely not run and don't count against a route's limit.
const MAX_UNCOUNTED_ATTEMPTS: u32 = 3;
/// Servers that may be lost under one request. Requests that are cut together look for
/// servers together: one more attempt would bring another server's end upon those that
/// ran beside the cause, and hold it against them (`core/tests/quarantine.rs`).
const MAX_LOST_SERVERS: u32 = 2;
/// Time below which no further attempt is worth making.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection: no byte of the request left.
    NotSent,
    /// The server said that it did not run it.
    NotRun,
    /// It may have run, and no server works on it any more as far as known.
    MayHaveRun,
    /// The same, and the connection was lost while the server worked on it.
    Lost,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask another server.
    TryAgain,
    /// Give the caller this answer now.
    GiveUp(ResultCode),
}

/// The attempts of one request.
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
    /// No attempt was made yet; the route allows `limit`.
    pub fn new(kind: RequestKind, limit: u32) -> Self {
        Self { kind, limit: limit.max(1), counted: 0, uncounted: 0, lost: 0, may_have_run: false }
    }

    /// Attempts made so far, of any outcome.
    pub fn made(&self) -> u32 {
        self.counted + self.uncounted
    }

    /// Whether one more attempt could follow if the present one fails after
    /// it was sent.
    pub fn may_repeat(&self) -> bool {
        self.may_repeat_with_others(0)
    }

    /// The same for an attempt with so many others in progress beside it.
    pub fn may_repeat_with_others(&self, others: u32) -> bool {
        self.kind.is_repeatable() && self.counted + 1 + others < self.limit
    }

    /// Whether any attempt so far may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// An attempt failed with `left` until the request's time is over.
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

    /// An attempt was withdrawn because another one brought its first piece. It may have
    /// run, and its server is one of those to which the request was sent.
    pub fn note_withdrawn(&mut self) {
        self.counted += 1;
        self.may_have_run = true;
    }

    /// The code to tell the caller: `not_run` unless an attempt may have run.
    pub fn result_code(&self, not_run: ResultCode) -> ResultCode {
        if self.may_have_run {
            ResultCode::OutcomeUnknown
        } else {
            not_run
        }
    }
}
