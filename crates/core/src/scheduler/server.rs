//! State of one server: running work and the adaptive limit on batch work.

use super::Work;
use crate::table::Class;
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Weights in the choice of a server: eight cached blocks offset one running request.
const MATCHED_BLOCK_WEIGHT: i64 = 125;
const RUNNING_WEIGHT: i64 = 1000;

/// The batch limit shrinks when the time between tokens exceeds this multiple of its
/// value without batch work.
const GAP_LIMIT: f64 = 1.05;
/// Factor by which the batch limit shrinks.
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum time between two changes of the batch limit.
const ADAPT_INTERVAL: Duration = Duration::from_millis(250);
/// Weight of a new sample in the smoothed time between tokens.
const SMOOTHING: f64 = 0.1;

/// Properties of a server from the machine list and its load report.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerProfile {
    /// Name in the machine list.
    pub name: Arc<str>,
    /// Service of the server.
    pub service: Arc<str>,
    /// Loaded models and adapters; empty means any.
    pub models: Vec<Arc<str>>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the cache memory in tokens.
    pub token_capacity: u64,
}

/// Load of a server, for reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Name in the machine list.
    pub name: Arc<str>,
    /// Service of the server.
    pub service: Arc<str>,
    /// Running online requests.
    pub online: u32,
    /// Running batch items.
    pub batch: u32,
    /// Current limit on running batch items.
    pub batch_limit: u32,
    /// Whether the server is draining.
    pub leaving: bool,
}

/// Adaptive limit on batch work, with additive increase and multiplicative decrease.
#[derive(Debug)]
pub(super) struct BatchLimit {
    limit: f64,
    ceiling: f64,
    gap_without_batch: Option<f64>,
    smoothed_gap: Option<f64>,
    changed_at: Instant,
}

impl BatchLimit {
    fn new(slots: u32) -> Self {
        Self {
            limit: f64::from(slots),
            ceiling: f64::from(slots),
            gap_without_batch: None,
            smoothed_gap: None,
            changed_at: Instant::default(),
        }
    }

    fn allowed(&self) -> u32 {
        self.limit.max(1.0) as u32
    }

    /// Adapts the limit to the observed time between tokens of an online answer.
    pub(super) fn note_token_gap(&mut self, now: Instant, gap: Duration, batch: u32) {
        let gap = gap.as_secs_f64();
        if batch == 0 {
            self.gap_without_batch = Some(smooth(self.gap_without_batch, gap));
        }
        let smoothed_gap = smooth(self.smoothed_gap, gap);
        self.smoothed_gap = Some(smoothed_gap);
        if now.since(self.changed_at) < ADAPT_INTERVAL {
            return;
        }
        self.changed_at = now;
        match self.gap_without_batch {
            Some(gap_without_batch) if smoothed_gap > gap_without_batch * GAP_LIMIT => {
                self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
            }
            _ => self.limit = (self.limit + 1.0).min(self.ceiling),
        }
    }
}

fn smooth(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + (sample - old) * SMOOTHING)
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) profile: ServerProfile,
    pub(super) online: u32,
    pub(super) batch: u32,
    tokens: u64,
    pub(super) starts: u64,
    pub(super) leaving: bool,
    pub(super) closed_until: Instant,
    pub(super) batch_limit: BatchLimit,
}

impl Server {
    pub(super) fn new(profile: ServerProfile) -> Self {
        let batch_limit = BatchLimit::new(profile.slots);
        Self {
            profile,
            online: 0,
            batch: 0,
            tokens: 0,
            starts: 0,
            leaving: false,
            closed_until: Instant::default(),
            batch_limit,
        }
    }

    pub(super) fn is_open(&self, now: Instant) -> bool {
        !self.leaving && now >= self.closed_until
    }

    pub(super) fn serves(&self, now: Instant, work: &Work) -> bool {
        let named = |model: &Arc<str>| *model == work.model;
        self.is_open(now)
            && self.profile.service == work.service
            && (work.model.is_empty() || self.profile.models.is_empty() || self.profile.models.iter().any(named))
    }

    pub(super) fn fits(&self, cost: u32) -> bool {
        let running = self.online + self.batch;
        running < self.profile.slots && (running == 0 || self.tokens + u64::from(cost) <= self.profile.token_capacity)
    }

    /// Whether an online request can start, with preemption of batch work if allowed.
    pub(super) fn has_online_slot(&self, batch_yields: bool, cost: u32) -> bool {
        if batch_yields && self.batch > 0 {
            return self.online < self.profile.slots;
        }
        self.fits(cost)
    }

    pub(super) fn has_batch_slot(&self, cost: u32) -> bool {
        self.batch < self.batch_limit.allowed() && self.fits(cost)
    }

    /// Number of batch items to hold for the server: those that can start now, and a
    /// reserve of half the slots without online work, so that slots don't idle.
    pub(super) fn batch_target(&self) -> u32 {
        let free = self.profile.slots.saturating_sub(self.online + self.batch);
        let allowed = self.batch_limit.allowed().saturating_sub(self.batch);
        free.min(allowed).saturating_add(self.profile.slots.saturating_sub(self.online).div_ceil(2))
    }

    pub(super) fn online_cost(&self, matched: usize) -> i64 {
        i64::from(self.online) * RUNNING_WEIGHT - matched as i64 * MATCHED_BLOCK_WEIGHT
    }

    pub(super) fn note_start(&mut self, class: Class, cost: u32) {
        match class {
            Class::Online => self.online += 1,
            Class::Batch => self.batch += 1,
        }
        self.tokens += u64::from(cost);
        self.starts += 1;
    }

    pub(super) fn note_end(&mut self, class: Class, cost: u32) {
        match class {
            Class::Online => self.online = self.online.saturating_sub(1),
            Class::Batch => self.batch = self.batch.saturating_sub(1),
        }
        self.tokens = self.tokens.saturating_sub(u64::from(cost));
    }

    pub(super) fn view(&self) -> ServerView {
        ServerView {
            name: self.profile.name.clone(),
            service: self.profile.service.clone(),
            online: self.online,
            batch: self.batch,
            batch_limit: self.batch_limit.allowed(),
            leaving: self.leaving,
        }
    }
}
