//! Progress of batch items at the worker that runs them.
//!
//! An item may run several times, but each of its events is kept once. An item is
//! given up only if a server rejects it as impossible, if it failed as often as its
//! route allows, or if it expired. Failures at a single server count less, since one
//! server may fail at every item. A broken connection is not a failure of the item:
//! the next run continues after the last complete event, at the software that wrote the kept
//! events; at any other one the item starts over.

use crate::item_trials::LOST_RUNS_BEFORE_TRIAL;
use crate::retry::exponential_backoff;
use crate::software::SoftwareKey;
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Backoff after the first failed or interrupted run, doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// An item is given up after this multiple of the failures that its route allows, even
/// if all were at one server. Clients tolerate at most three times the allowed failures.
const MAX_FAILURES_FACTOR: u32 = 2;

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The output is complete.
    Completed,
    /// The server failed to process the item.
    Failed,
    /// The server rejected the item as impossible to process.
    Impossible,
    /// The server did not finish the run, or the run did not start.
    Interrupted,
    /// The server's output can't be that of the item.
    Unusable,
    /// The connection to the server was lost during the run.
    ServerLost,
    /// The run was preempted by an online request.
    Preempted,
}

/// State of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The item waits and may start from this time on.
    Waiting(Instant),
    /// A run is in progress.
    Running,
    /// The output is complete.
    Completed,
    /// The item was given up and does not run again.
    GivenUp,
}

/// Conditions for giving up an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GiveUpRules {
    /// Number of failures, at as many different servers, after which an item is given up.
    pub max_failures: u32,
    /// Number of servers that could run the item.
    pub servers: usize,
    /// Time from which on an item that does not run is given up.
    pub expires: Instant,
}

/// Start of an item's first run at this worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// Time of the start.
    pub at: Instant,
    /// Events kept before the start.
    pub events: u64,
}

/// Progress of one item.
#[derive(Clone, Debug)]
pub struct ItemProgress {
    state: ItemState,
    failures: u32,
    /// Servers where a run failed.
    failed_at: Vec<Arc<str>>,
    interruptions: u32,
    /// Runs in a row that lost their servers before any event.
    lost_runs: u32,
    first_run: Option<RunStart>,
    events: u64,
    last_event: Option<u64>,
    /// Software of the server of the last run, which wrote all kept events.
    software: Option<SoftwareKey>,
    text: Vec<u8>,
}

impl Default for ItemProgress {
    fn default() -> Self {
        Self {
            state: ItemState::Waiting(Instant::default()),
            failures: 0,
            failed_at: Vec::new(),
            interruptions: 0,
            lost_runs: 0,
            first_run: None,
            events: 0,
            last_event: None,
            software: None,
            text: Vec::new(),
        }
    }
}

impl ItemProgress {
    /// Current state.
    pub fn state(&self) -> ItemState {
        self.state
    }

    /// Number of failed runs.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Takes over the failures that another worker recorded.
    pub fn note_earlier_failures(&mut self, failures: u32, servers: &[Arc<str>]) {
        self.failures = self.failures.max(failures);
        for server in servers {
            if !self.failed_at.contains(server) {
                self.failed_at.push(server.clone());
            }
        }
    }

    /// Whether the item may be the cause of crashes, so that its next run is a trial.
    pub fn needs_trial(&self) -> bool {
        self.lost_runs >= LOST_RUNS_BEFORE_TRIAL
    }

    /// Servers where a run failed, to be avoided by the next run.
    pub fn failed_at(&self) -> &[Arc<str>] {
        &self.failed_at
    }

    /// Number of kept events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Identifier of the last kept event, after which the next run continues.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Software that wrote the kept events; `None` without any.
    pub fn software(&self) -> Option<SoftwareKey> {
        self.software.filter(|_| self.events > 0)
    }

    /// Prepares a run at a server with this software. Returns the number of kept events that
    /// are dropped because other software wrote them.
    pub fn begin_run(&mut self, software: SoftwareKey) -> u64 {
        let dropped = if self.software() == Some(software) { 0 } else { self.drop_events() };
        self.software = Some(software);
        dropped
    }

    /// Drops all kept events, so that the item starts over. Returns their number.
    fn drop_events(&mut self) -> u64 {
        self.text.clear();
        self.last_event = None;
        std::mem::take(&mut self.events)
    }

    /// Data of all kept events, joined by line feeds.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Whether a run may start now.
    pub fn may_start(&self, now: Instant) -> bool {
        matches!(self.state, ItemState::Waiting(from) if from <= now)
    }

    /// Time for which the item has been waiting although it may start; zero if it runs.
    pub fn waited(&self, now: Instant) -> Duration {
        match self.state {
            ItemState::Waiting(from) => now.since(from),
            ItemState::Running | ItemState::Completed | ItemState::GivenUp => Duration::ZERO,
        }
    }

    /// Makes the item wait until this time before its next run.
    pub fn wait_until(&mut self, from: Instant) {
        self.state = ItemState::Waiting(from);
    }

    /// Extends the wait of a waiting item.
    pub fn delay(&mut self, time: Duration) {
        if let ItemState::Waiting(from) = self.state {
            self.state = ItemState::Waiting(from + time);
        }
    }

    /// Records the first start of a run; later starts are ignored.
    pub fn note_run_started(&mut self, now: Instant) {
        self.first_run.get_or_insert(RunStart { at: now, events: self.events });
    }

    /// Start of the first run; `None` if there was none at this worker.
    pub fn first_run(&self) -> Option<RunStart> {
        self.first_run
    }

    /// Marks the item as running.
    pub fn start(&mut self) {
        self.state = ItemState::Running;
    }

    /// Records that the list of results contains the item.
    pub fn note_listed(&mut self, completed: bool) {
        self.state = if completed { ItemState::Completed } else { ItemState::GivenUp };
    }

    /// Keeps an event. Returns `false` and drops the event if its identifier does not
    /// follow the last one.
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
        self.lost_runs = 0;
        self.last_event = id.or(self.last_event);
        true
    }

    /// Records the end of a run at a server.
    pub fn end_run(&mut self, now: Instant, server: &Arc<str>, end: RunEnd, rules: &GiveUpRules) {
        match end {
            RunEnd::Completed => self.state = ItemState::Completed,
            RunEnd::Impossible => self.state = ItemState::GivenUp,
            RunEnd::Failed => {
                self.failures += 1;
                if !self.failed_at.contains(server) {
                    self.failed_at.push(server.clone());
                }
                self.wait_or_give_up(now, self.has_failed_for_good(rules), rules, self.backoff());
            }
            RunEnd::Unusable => {
                self.drop_events();
                self.interruptions += 1;
                if !self.failed_at.contains(server) {
                    self.failed_at.push(server.clone());
                }
                self.wait_or_give_up(now, false, rules, self.backoff());
            }
            RunEnd::Preempted => self.wait_or_give_up(now, false, rules, Duration::ZERO),
            RunEnd::Interrupted | RunEnd::ServerLost => {
                self.lost_runs += u32::from(end == RunEnd::ServerLost);
                self.interruptions += 1;
                self.wait_or_give_up(now, false, rules, self.backoff());
            }
        }
    }

    /// Gives up a waiting item that has expired; returns whether it did.
    pub fn tick(&mut self, now: Instant, rules: &GiveUpRules) -> bool {
        let expires = matches!(self.state, ItemState::Waiting(_)) && now >= rules.expires;
        if expires {
            self.state = ItemState::GivenUp;
        }
        expires
    }

    fn has_failed_for_good(&self, rules: &GiveUpRules) -> bool {
        let required_servers = (rules.max_failures as usize).min(rules.servers.max(1));
        let at_enough_servers = self.failures >= rules.max_failures && self.failed_at.len() >= required_servers;
        at_enough_servers || self.failures >= rules.max_failures.saturating_mul(MAX_FAILURES_FACTOR)
    }

    /// Backoff after a failed or interrupted run.
    fn backoff(&self) -> Duration {
        let failed_runs = (self.failures + self.interruptions).saturating_sub(1);
        exponential_backoff(INITIAL_BACKOFF, MAX_BACKOFF, failed_runs)
    }

    fn wait_or_give_up(&mut self, now: Instant, failed_for_good: bool, rules: &GiveUpRules, backoff: Duration) {
        if failed_for_good || now >= rules.expires {
            self.state = ItemState::GivenUp;
            return;
        }
        self.state = ItemState::Waiting(now + backoff);
    }
}
