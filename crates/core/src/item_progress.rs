//! Progress of a batch job's items at the worker that runs them.
//!
//! An item may run several times; what it yields is listed once. It is given
//! up only for a reason that its client can check: the server said that it
//! can never be done, it failed as often as its route allows, or its time is
//! over. Failures count against the item only where servers fail at it that
//! are not the same: one server may fail at everything. A broken connection is no failure of the item: the next run goes on
//! after the last whole event.

use crate::retry::exponential_backoff;
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Pause after the first failed run of an item; doubled at each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// After so many times the failures that its route allows, an item is given up
/// wherever they were; its client counts three times as many as too many.
const MOST_FAILURES_FACTOR: u32 = 2;

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its output is whole.
    Whole,
    /// The server failed at it.
    Failed,
    /// The server says that it can never be done.
    Impossible,
    /// It was broken off, or did not start.
    Interrupted,
    /// It gave way to an urgent request: nothing is wrong with it.
    GaveWay,
}

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// It may start from this time on.
    Waiting(Instant),
    /// It runs.
    Running,
    /// Its output is whole.
    Completed,
    /// It was given up.
    GivenUp,
}

/// The rules for giving up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GiveUpRules {
    /// Failures after which an item is given up, if they are of as many
    /// servers.
    pub max_failures: u32,
    /// Servers that could run it.
    pub servers: usize,
    /// Time from which on any item may be given up.
    pub expires: Instant,
}

/// When an item's first run at this worker began, and what was kept of it then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// Start of its first run.
    pub at: Instant,
    /// Events that were kept before.
    pub events: u64,
}

/// One item.
#[derive(Clone, Debug)]
pub struct ItemProgress {
    state: ItemState,
    failures: u32,
    /// Servers that failed at it.
    failed_at: Vec<Arc<str>>,
    interruptions: u32,
    begun: Option<RunStart>,
    events: u64,
    last_event: Option<u64>,
    text: Vec<u8>,
}

impl Default for ItemProgress {
    fn default() -> Self {
        Self {
            state: ItemState::Waiting(Instant::default()),
            failures: 0,
            failed_at: Vec::new(),
            interruptions: 0,
            begun: None,
            events: 0,
            last_event: None,
            text: Vec::new(),
        }
    }
}

impl ItemProgress {
    /// Where it stands.
    pub fn state(&self) -> ItemState {
        self.state
    }

    /// Failures so far.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// It failed so often at these servers while another worker ran it.
    pub fn note_earlier_failures(&mut self, failures: u32, servers: &[Arc<str>]) {
        self.failures = self.failures.max(failures);
        for server in servers {
            if !self.failed_at.contains(server) {
                self.failed_at.push(server.clone());
            }
        }
    }

    /// Servers that failed at it; the next run is better made elsewhere.
    pub fn failed_at(&self) -> &[Arc<str>] {
        &self.failed_at
    }

    /// Events that are kept.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Number of the last event that is kept; the next run goes on after it.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// The data of all events, joined by line feeds.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Whether it may start now.
    pub fn may_start(&self, now: Instant) -> bool {
        matches!(self.state, ItemState::Waiting(from) if from <= now)
    }

    /// It is not to start before this time, unless it is given up meanwhile.
    pub fn wait_until(&mut self, from: Instant) {
        self.state = ItemState::Waiting(from);
    }

    /// It waits for so much longer, if it waits.
    pub fn delay(&mut self, time: Duration) {
        if let ItemState::Waiting(from) = self.state {
            self.state = ItemState::Waiting(from + time);
        }
    }

    /// A run is about to start; the first one is remembered.
    pub fn note_run_started(&mut self, now: Instant) {
        self.begun.get_or_insert(RunStart { at: now, events: self.events });
    }

    /// When its first run began; `None` if it was never started here.
    pub fn begun(&self) -> Option<RunStart> {
        self.begun
    }

    /// A run starts.
    pub fn start(&mut self) {
        self.state = ItemState::Running;
    }

    /// The item stands in the list of results already.
    pub fn note_listed(&mut self, completed: bool) {
        self.state = if completed { ItemState::Completed } else { ItemState::GivenUp };
    }

    /// An event came; `false` if it does not follow the last one and must not
    /// be kept.
    pub fn push_event(&mut self, id: Option<u64>, data: &[u8]) -> bool {
        if let (Some(id), Some(last)) = (id, self.last_event) {
            if id <= last {
                return false;
            }
        }
        if self.events > 0 {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(data);
        self.events += 1;
        self.last_event = id.or(self.last_event);
        true
    }

    /// A run at a server ended.
    pub fn end_run(&mut self, now: Instant, server: &Arc<str>, end: RunEnd, rules: &GiveUpRules) {
        match end {
            RunEnd::Whole => self.state = ItemState::Completed,
            RunEnd::Impossible => self.state = ItemState::GivenUp,
            RunEnd::Failed => {
                self.failures += 1;
                if !self.failed_at.contains(server) {
                    self.failed_at.push(server.clone());
                }
                self.wait_or_give_up(now, self.has_failed_for_good(rules), rules, self.pause());
            }
            RunEnd::GaveWay => self.wait_or_give_up(now, false, rules, Duration::ZERO),
            RunEnd::Interrupted => {
                self.interruptions += 1;
                self.wait_or_give_up(now, false, rules, self.pause());
            }
        }
    }

    /// Time passes: an item that waits beyond its time is given up. Gives back whether it
    /// was given up now.
    pub fn tick(&mut self, now: Instant, rules: &GiveUpRules) -> bool {
        let expires = matches!(self.state, ItemState::Waiting(_)) && now >= rules.expires;
        if expires {
            self.state = ItemState::GivenUp;
        }
        expires
    }

    fn has_failed_for_good(&self, rules: &GiveUpRules) -> bool {
        let different = (rules.max_failures as usize).min(rules.servers.max(1));
        let often = self.failures >= rules.max_failures && self.failed_at.len() >= different;
        often || self.failures >= rules.max_failures.saturating_mul(MOST_FAILURES_FACTOR)
    }

    /// Pause after a failed run.
    fn pause(&self) -> Duration {
        let tries = (self.failures + self.interruptions).saturating_sub(1);
        exponential_backoff(FIRST_PAUSE, LONGEST_PAUSE, tries)
    }

    fn wait_or_give_up(&mut self, now: Instant, failed_for_good: bool, rules: &GiveUpRules, pause: Duration) {
        if failed_for_good || now >= rules.expires {
            self.state = ItemState::GivenUp;
            return;
        }
        self.state = ItemState::Waiting(now + pause);
    }
}
