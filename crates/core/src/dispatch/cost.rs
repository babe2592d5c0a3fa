//! Prompts, and what their work is expected to cost at a service.
//!
//! Speeds are measured from answers; nothing is taken from a description.

use super::slowdown::SlowdownValidity;
use crate::identity::stable_pair_hash;
use std::time::Duration;

/// Weight of a new measurement in a running mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Prompts shorter than this tell too little of the speed of reading.
const MIN_MEASURED_TOKENS: u32 = 1000;
/// Assumed until measured: seconds to read a prompt token.
const INITIAL_TOKEN_SECONDS: f64 = 0.000_02;
/// Assumed until measured: seconds that a request holds a slot.
const INITIAL_SERVICE_SECONDS: f64 = 0.1;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of its text.
    pub key: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A prompt as parts, and the most tokens that the answer may have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to the request itself.
    pub parts: Vec<PromptPart>,
    /// Most tokens of the answer.
    pub output_tokens: u32,
}

impl Prompt {
    /// Length in tokens.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Prefixes of whole parts with their lengths in tokens, the shortest
    /// first; each key covers all parts before it.
    pub fn prefixes(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.parts.iter().scan((0_u64, 0_u32), |(key, tokens), part| {
            *key = stable_pair_hash(part.key, *key);
            *tokens = tokens.saturating_add(part.tokens);
            Some((*key, *tokens))
        })
    }

    /// Key of the prefix that other requests share; none if there is none.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1).filter(|count| *count > 0)?;
        self.prefixes().nth(shared - 1).map(|(key, _)| key)
    }

    /// Tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let last = self.parts.last().map_or(0, |part| part.tokens);
        self.tokens() - last
    }
}

/// Measured costs at a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceCost {
    token_seconds: f64,
    service_seconds: f64,
    /// Seconds between two pieces of an answer at the usual pace, once measured.
    step_seconds: Option<f64>,
    /// For how long told paces hold; `None` where no server tells its pace.
    pub(super) slowdown_validity: Option<SlowdownValidity>,
}

impl Default for ServiceCost {
    fn default() -> Self {
        Self {
            token_seconds: INITIAL_TOKEN_SECONDS,
            service_seconds: INITIAL_SERVICE_SECONDS,
            step_seconds: None,
            slowdown_validity: None,
        }
    }
}

impl ServiceCost {
    /// Seconds to read that many prompt tokens.
    pub(super) fn prefill(&self, tokens: f64) -> f64 {
        tokens * self.token_seconds
    }

    /// Seconds that a request holds a slot.
    pub(super) fn service_seconds(&self) -> f64 {
        self.service_seconds
    }

    pub(super) fn note_first_piece(&mut self, time: Duration, uncached: u32) {
        if uncached >= MIN_MEASURED_TOKENS {
            let measured = time.as_secs_f64() / f64::from(uncached);
            // The first piece waits for other work too: the least is nearest.
            let bounded = measured.min(self.token_seconds * 2.0);
            self.token_seconds += (bounded - self.token_seconds) * MEAN_WEIGHT;
        }
    }

    /// Seconds that so many pieces of an answer take at the usual pace; zero until measured.
    pub(super) fn steps(&self, pieces: u32) -> f64 {
        f64::from(pieces) * self.step_seconds.unwrap_or(0.0)
    }

    /// A step took so long at the usual pace. Gives back how long that is in parts of
    /// the mean of all servers.
    pub(super) fn note_step(&mut self, seconds: f64) -> f64 {
        let mean = self.step_seconds.get_or_insert(seconds);
        let ratio = seconds / mean.max(f64::MIN_POSITIVE);
        *mean += (seconds - *mean) * MEAN_WEIGHT;
        ratio
    }

    pub(super) fn note_service_time(&mut self, time: Duration) {
        self.service_seconds += (time.as_secs_f64() - self.service_seconds) * MEAN_WEIGHT;
    }
}
