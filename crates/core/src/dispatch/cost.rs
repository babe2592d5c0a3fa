//! Prompts, and the expected cost of running them at a service, estimated from earlier answers.

use super::slowdown::SlowdownValidity;
use crate::identity::stable_pair_hash;
use std::time::Duration;

/// Weight of a new measurement in an exponential moving average.
const MEAN_WEIGHT: f64 = 0.05;
/// Shortest uncached prompt, in tokens, that updates the prefill speed.
const MIN_MEASURED_TOKENS: u32 = 1000;
/// Initial estimate: seconds to prefill one prompt token.
const INITIAL_TOKEN_SECONDS: f64 = 0.000_02;
/// Initial estimate: seconds that a request holds a slot.
const INITIAL_SERVICE_SECONDS: f64 = 0.1;

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash that identifies the text.
    pub key: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt in parts, and the limit on the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Maximum number of tokens of the answer.
    pub output_tokens: u32,
}

impl Prompt {
    /// Length in tokens.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the prefixes of whole parts with their lengths in tokens, the shortest first;
    /// each key covers all parts up to its end.
    pub fn prefixes(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.parts.iter().scan((0_u64, 0_u32), |(key, tokens), part| {
            *key = stable_pair_hash(part.key, *key);
            *tokens = tokens.saturating_add(part.tokens);
            Some((*key, *tokens))
        })
    }

    /// Returns the key of the prefix that other requests share, if there is one.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1).filter(|count| *count > 0)?;
        self.prefixes().nth(shared - 1).map(|(key, _)| key)
    }

    /// Returns the number of tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let last = self.parts.last().map_or(0, |part| part.tokens);
        self.tokens() - last
    }
}

/// Estimated costs of requests at a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceCost {
    token_seconds: f64,
    service_seconds: f64,
    /// Seconds between two pieces of an answer at the usual speed; `None` without an estimate.
    step_seconds: Option<f64>,
    /// Weight of a reported slowdown by its age; `None` if no server of the service reports
    /// slowdowns.
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
    /// Seconds to prefill this number of prompt tokens.
    pub(super) fn prefill(&self, tokens: f64) -> f64 {
        tokens * self.token_seconds
    }

    /// Mean time in seconds that a request holds a slot.
    pub(super) fn service_seconds(&self) -> f64 {
        self.service_seconds
    }

    pub(super) fn note_first_piece(&mut self, time: Duration, uncached: u32) {
        if uncached >= MIN_MEASURED_TOKENS {
            let measured = time.as_secs_f64() / f64::from(uncached);
            // The first piece may also have waited for other requests, so that high
            // measurements are capped.
            let bounded = measured.min(self.token_seconds * 2.0);
            self.token_seconds += (bounded - self.token_seconds) * MEAN_WEIGHT;
        }
    }

    /// Seconds that this number of pieces takes at the usual speed; zero without an estimate.
    pub(super) fn steps(&self, pieces: u32) -> f64 {
        f64::from(pieces) * self.step_seconds.unwrap_or(0.0)
    }

    /// Records the time between two pieces, scaled to the usual speed, and returns its ratio to
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
