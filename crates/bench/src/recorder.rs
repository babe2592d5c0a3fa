//! What became of the online requests.

use crate::load::PlannedRequest;
use crate::scenario::OnlineLoad;
use hdrhistogram::Histogram;
use latchwheel_core::code::{Ran, ResultCode};
use latchwheel_core::identity::stable_hash;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const SIGNIFICANT_DIGITS: u8 = 3;

/// What an answer came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Whole, and the answer to its own request.
    Whole,
    /// Not the answer to its request, or not all of it, without a sign of that.
    Wrong,
    /// Broken off, and seen to be.
    Cut,
    /// Refused with a code.
    Refused(u32),
    /// No connection.
    Unreachable,
    /// No answer in time.
    Timeout,
}

/// An answer as the client saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What it came to.
    pub kind: AnswerKind,
    /// Time from when the request was due to its first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time from when the request was due to the end.
    pub total: Duration,
    /// Whether a refusal said when to come back.
    pub retry_after: bool,
}

impl Answer {
    /// An answer without content.
    pub fn failed(kind: AnswerKind, due: Instant) -> Self {
        Self { kind, first_token: None, gaps: Vec::new(), total: due.elapsed(), retry_after: false }
    }
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Percentiles {
    /// Half of the values are at most this.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// The largest.
    pub max: f64,
    /// Number of values.
    pub count: u64,
}

impl Percentiles {
    /// Percentiles of a histogram of microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / 1000.0,
            count: histogram.len(),
        }
    }
}

/// What became of the requests, for a report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OnlineReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Wrong answers that looked whole.
    pub wrong: u64,
    /// Answers that broke off.
    pub cut: u64,
    /// Requests that found no node.
    pub unreachable: u64,
    /// Requests without an answer in time.
    pub timeout: u64,
    /// Refusals by code.
    pub refused: BTreeMap<u32, u64>,
    /// Refusals that did not say when to come back.
    pub refused_without_time: u64,
    /// Slowest refusal, in milliseconds.
    pub slowest_refusal: f64,
    /// First-token times.
    pub first_token: Percentiles,
    /// Times between tokens.
    pub token_gap: Percentiles,
    /// Service: answered requests weighted by kind, as a share of all.
    pub service: f64,
}

#[derive(Debug)]
struct State {
    report: OnlineReport,
    first_token: Histogram<u64>,
    gaps: Histogram<u64>,
    answered_weight: f64,
    all_weight: f64,
    /// Prompts of requests that were told they were not run.
    not_run: Vec<u64>,
    /// Prompts of requests that must not run twice.
    once: Vec<u64>,
}

/// Gathers answers.
#[derive(Debug)]
pub struct Recorder {
    state: Mutex<State>,
}

impl Default for Recorder {
    fn default() -> Self {
        let histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are allowed");
        let state = State {
            report: OnlineReport::default(),
            first_token: histogram(),
            gaps: histogram(),
            answered_weight: 0.0,
            all_weight: 0.0,
            not_run: Vec::new(),
            once: Vec::new(),
        };
        Self { state: Mutex::new(state) }
    }
}

impl Recorder {
    /// Takes an answer.
    pub fn note(&self, load: &OnlineLoad, request: &PlannedRequest, answer: Answer) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let state = &mut *state;
        state.report.sent += 1;
        state.all_weight += load.weight;
        match answer.kind {
            AnswerKind::Whole => {
                state.report.whole += 1;
                state.answered_weight += load.weight;
                if let Some(first) = answer.first_token {
                    let _ = state.first_token.record(first.as_micros() as u64);
                }
                for gap in answer.gaps {
                    let _ = state.gaps.record(gap.as_micros() as u64);
                }
            }
            AnswerKind::Wrong => state.report.wrong += 1,
            AnswerKind::Cut => state.report.cut += 1,
            AnswerKind::Unreachable => state.report.unreachable += 1,
            AnswerKind::Timeout => state.report.timeout += 1,
            AnswerKind::Refused(code) => {
                *state.report.refused.entry(code).or_default() += 1;
                state.report.refused_without_time += u64::from(!answer.retry_after);
                let slowest = state.report.slowest_refusal.max(answer.total.as_secs_f64() * 1000.0);
                state.report.slowest_refusal = slowest;
                let code = ResultCode::from_number(code);
                if code.is_some_and(|code| code.ran() == Ran::NotRun) {
                    state.not_run.push(stable_hash(request.prompt.as_bytes()));
                }
            }
        }
        if !load.repeatable {
            state.once.push(stable_hash(request.prompt.as_bytes()));
        }
    }

    /// Requests that were told they were not run and had run, and runs above
    /// the first of requests that must not run twice, by the engines' counts.
    pub fn broken_promises(&self, prompt_runs: &HashMap<u64, u32>) -> (u64, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let runs = |prompt: &u64| prompt_runs.get(prompt).copied().unwrap_or(0);
        let wrong_not_run = state.not_run.iter().filter(|prompt| runs(prompt) > 0).count() as u64;
        let double_runs = state.once.iter().map(|prompt| u64::from(runs(prompt).saturating_sub(1))).sum();
        (wrong_not_run, double_runs)
    }

    /// The report so far.
    pub fn report(&self) -> OnlineReport {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let service = if state.all_weight > 0.0 { state.answered_weight / state.all_weight } else { 1.0 };
        OnlineReport {
            first_token: Percentiles::of(&state.first_token),
            token_gap: Percentiles::of(&state.gaps),
            service,
            ..state.report.clone()
        }
    }
}
