//! The engine's batch loop as a state machine: what one step does, and how
//! long it takes.
//!
//! Decoding is bound by memory bandwidth, so that a step grows little with
//! the number of sequences; prefill is bound by arithmetic and grows with its
//! tokens (continuous batching with chunked prefill: Yu et al., "Orca", 2022;
//! Agrawal et al., "Sarathi-Serve", 2024). Urgent sequences are admitted and
//! prefilled first; a less urgent one makes room and goes on later.

use super::cache::PrefixCache;
use super::report::LoadReport;
use super::sequence::{OnDisconnect, Progress, Sequence};
use latchwheel_core::placement::Fence;
use latchwheel_core::prefix::BLOCK_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Priority at and above which work counts as batch.
pub(super) const BATCH_PRIORITY: i32 = 10;
/// Bytes of text per token.
pub(super) const BYTES_PER_TOKEN: usize = 4;
/// Paused sequences that are kept; the engine drops further ones.
const PAUSED_LIMIT: usize = 4096;

/// How an engine is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Model that it serves.
    pub model: String,
    /// Sequences that run at once.
    pub slots: u32,
    /// Tokens that fit into the cache memory.
    pub token_capacity: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time of an empty step, in microseconds.
    pub step_microseconds: u64,
    /// Time per decoding sequence and step, in nanoseconds.
    pub sequence_nanoseconds: u64,
    /// Time per prefilled token, in nanoseconds.
    pub prefill_nanoseconds: u64,
    /// Most tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Most tokens of batch work prefilled in a step beside online work.
    pub batch_prefill_chunk: u32,
    /// Delay of cache events, in milliseconds.
    pub event_lag_milliseconds: u64,
    /// Delay of the load report, in milliseconds.
    pub load_lag_milliseconds: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: "model".into(),
            slots: 16,
            token_capacity: 65_536,
            cache_blocks: 4096,
            step_microseconds: 8_000,
            sequence_nanoseconds: 5_000,
            prefill_nanoseconds: 10_000,
            prefill_chunk: 512,
            batch_prefill_chunk: 16,
            event_lag_milliseconds: 500,
            load_lag_milliseconds: 300,
        }
    }
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// New requests are refused with 503.
    pub refuse: bool,
    /// New requests get no answer at all.
    pub hang: bool,
    /// Streams are cut after so many tokens; zero means never.
    pub cut_after_tokens: u32,
    /// Cache events are lost.
    pub drop_events: bool,
    /// Steps take so many times as long; zero means once.
    pub slow_factor: u32,
    /// Paused sequences are lost.
    pub forget_paused: bool,
}

/// Slot time since the start, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTime {
    /// Slots times time.
    pub total: u64,
    /// Taken by online sequences.
    pub online: u64,
    /// Taken by batch sequences.
    pub batch: u64,
    /// Tokens generated for online sequences.
    pub online_tokens: u64,
    /// Tokens generated for batch sequences.
    pub batch_tokens: u64,
}

#[derive(Debug)]
pub(super) struct Model {
    pub(super) settings: EngineSettings,
    pub(super) faults: EngineFaults,
    pub(super) cache: PrefixCache,
    pub(super) fence: Fence,
    pub(super) models: Vec<String>,
    pub(super) role: String,
    pub(super) draining: bool,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    paused: HashMap<Arc<str>, Sequence>,
    runs: HashMap<String, u32>,
    prompt_runs: HashMap<u64, u32>,
    arrivals: u64,
    slot_time: SlotTime,
    accounted: Instant,
    pub(super) reports: LoadReport,
}

impl Model {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let now = Instant::now();
        Self {
            cache: PrefixCache::new(settings.cache_blocks),
            models: vec![settings.model.clone()],
            role: "serve".into(),
            settings,
            faults: EngineFaults::default(),
            fence: Fence::default(),
            draining: false,
            waiting: Vec::new(),
            running: Vec::new(),
            paused: HashMap::new(),
            runs: HashMap::new(),
            prompt_runs: HashMap::new(),
            arrivals: 0,
            slot_time: SlotTime::default(),
            accounted: now,
            reports: LoadReport::new(now),
        }
    }

    /// Takes a new sequence; each counts as one run of its identity and of
    /// its prompt.
    pub(super) fn submit(&mut self, mut sequence: Sequence, prompt: u64) {
        *self.runs.entry(sequence.id.to_string()).or_default() += 1;
        *self.prompt_runs.entry(prompt).or_default() += 1;
        self.arrivals += 1;
        sequence.arrival = self.arrivals;
        self.waiting.push(sequence);
    }

    /// Runs by identity of the request.
    pub(super) fn runs(&self) -> &HashMap<String, u32> {
        &self.runs
    }

    /// Runs by hash of the prompt.
    pub(super) fn prompt_runs(&self) -> &HashMap<u64, u32> {
        &self.prompt_runs
    }

    pub(super) fn slot_time(&mut self) -> SlotTime {
        self.account();
        self.slot_time
    }

    pub(super) fn load(&self) -> (u32, u32, u64) {
        let tokens = self.running.iter().map(Sequence::token_need).sum();
        (self.running.len() as u32, self.waiting.len() as u32, tokens)
    }

    /// The connection of a sequence went away.
    pub(super) fn disconnect(&mut self, id: &str, connection: u64) {
        let present = self.running.iter().chain(&self.waiting).find(|sequence| *sequence.id == *id);
        if present.is_none_or(|sequence| sequence.connection != connection) {
            return;
        }
        let Some(sequence) = self.take(id) else { return };
        if sequence.on_disconnect == OnDisconnect::Pause && self.paused.len() < PAUSED_LIMIT {
            self.paused.insert(sequence.id.clone(), sequence);
        }
    }

    /// Drops a sequence for good.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        self.take(id).is_some() || self.paused.remove(id).is_some()
    }

    /// Takes a paused sequence up again, or one whose connection has not
    /// been seen to go away yet; the new connection gets all its tokens.
    pub(super) fn resume(&mut self, id: &str, change: impl FnOnce(&mut Sequence)) -> bool {
        if self.faults.forget_paused {
            self.paused.clear();
        }
        let Some(mut sequence) = self.paused.remove(id).or_else(|| self.take(id)) else { return false };
        change(&mut sequence);
        self.waiting.push(sequence);
        true
    }

    fn take(&mut self, id: &str) -> Option<Sequence> {
        self.account();
        for list in [&mut self.running, &mut self.waiting] {
            if let Some(position) = list.iter().position(|sequence| *sequence.id == *id) {
                return Some(list.swap_remove(position));
            }
        }
        None
    }

    /// Begins a step: admits, prefills, and says how long the step takes;
    /// `None` where there is nothing to do.
    pub(super) fn begin_step(&mut self) -> Option<Duration> {
        self.account();
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prefilled = self.prefill();
        let decoding = self.running.iter().filter(|sequence| sequence.is_prefilled()).count() as u64;
        let nanoseconds = self.settings.step_microseconds * 1000
            + decoding * self.settings.sequence_nanoseconds
            + prefilled * self.settings.prefill_nanoseconds;
        Some(Duration::from_nanos(nanoseconds * u64::from(self.faults.slow_factor.max(1))))
    }

    /// Ends a step: every prefilled sequence gets one token.
    pub(super) fn end_step(&mut self) {
        self.account();
        let cut_after = self.faults.cut_after_tokens;
        let mut finished = Vec::new();
        for (position, sequence) in self.running.iter_mut().enumerate() {
            if !sequence.is_prefilled() {
                continue;
            }
            sequence.generated += 1;
            if sequence.priority >= BATCH_PRIORITY {
                self.slot_time.batch_tokens += 1;
            } else {
                self.slot_time.online_tokens += 1;
            }
            if sequence.streamed {
                let _ = sequence.sink.send(Progress::Token(sequence.generated - 1));
            }
            if cut_after > 0 && sequence.generated >= cut_after {
                let _ = sequence.sink.send(Progress::Cut);
                finished.push(position);
            } else if sequence.generated >= sequence.wanted {
                let _ = sequence.sink.send(Progress::Done(sequence.generated));
                finished.push(position);
            }
        }
        for position in finished.into_iter().rev() {
            self.running.swap_remove(position);
        }
        let (running, waiting, tokens) = self.load();
        self.reports.note(Instant::now(), running, waiting, tokens);
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(Sequence::order);
        while let Some(next) = self.waiting.first() {
            if !self.fits(next) && !self.make_room_for(next.priority) {
                return;
            }
            let mut sequence = self.waiting.remove(0);
            if sequence.prefilled == 0 {
                let tokens_per_block = BLOCK_BYTES / BYTES_PER_TOKEN;
                let cached = self.cache.matched(&sequence.blocks) * tokens_per_block;
                // The last token is always computed.
                sequence.prefilled = (cached as u32).min(sequence.prompt_tokens.saturating_sub(1));
            }
            self.running.push(sequence);
        }
    }

    fn fits(&self, sequence: &Sequence) -> bool {
        let tokens: u64 = self.running.iter().map(Sequence::token_need).sum();
        self.running.len() < self.settings.slots as usize
            && (self.running.is_empty() || tokens + sequence.token_need() <= self.settings.token_capacity)
    }

    /// Puts the least urgent running sequence back, if it is less urgent.
    fn make_room_for(&mut self, priority: i32) -> bool {
        let last = self.running.iter().enumerate().max_by_key(|(_, sequence)| sequence.order());
        match last {
            Some((position, sequence)) if sequence.priority > priority => {
                let displaced = self.running.swap_remove(position);
                self.waiting.push(displaced);
                self.waiting.sort_by_key(Sequence::order);
                true
            }
            _ => false,
        }
    }

    fn prefill(&mut self) -> u64 {
        self.running.sort_by_key(Sequence::order);
        let beside_online = self.running.first().is_some_and(|sequence| sequence.priority < BATCH_PRIORITY);
        let mut left = self.settings.prefill_chunk;
        let mut batch_left = if beside_online { self.settings.batch_prefill_chunk } else { left };
        let mut prefilled = 0;
        for sequence in self.running.iter_mut().filter(|sequence| !sequence.is_prefilled()) {
            let is_batch = sequence.priority >= BATCH_PRIORITY;
            let allowed = if is_batch { left.min(batch_left) } else { left };
            let tokens = allowed.min(sequence.prompt_tokens - sequence.prefilled);
            sequence.prefilled += tokens;
            left -= tokens;
            if is_batch {
                batch_left -= tokens;
            }
            prefilled += u64::from(tokens);
            if sequence.is_prefilled() {
                self.cache.store(&sequence.blocks, self.faults.drop_events);
            }
        }
        prefilled
    }

    fn account(&mut self) {
        let now = Instant::now();
        let passed = now.duration_since(self.accounted).as_micros() as u64;
        self.accounted = now;
        let online = self.running.iter().filter(|sequence| sequence.priority < BATCH_PRIORITY).count() as u64;
        let batch = self.running.len() as u64 - online;
        self.slot_time.total += passed * u64::from(self.settings.slots);
        self.slot_time.online += passed * online;
        self.slot_time.batch += passed * batch;
    }
}
