//! The runs of all jobs of a worker by server, so that one can be broken off
//! at once where an urgent request wants its slot.

use latchwheel_core::dispatch::ServerKey;
use latchwheel_core::preemption::{first_to_preempt, RunOutlook};
use latchwheel_core::time::Instant;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A run that starts, as far as it decides which one gives way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedRun {
    /// Whether its item can't be in time any more.
    pub(crate) overdue: bool,
    /// When its job is due, in milliseconds since 1970.
    pub(crate) due_ms: u64,
    /// When it is expected to end without a pause.
    pub(crate) expected_end: Instant,
    /// Whether an earlier run of the item was broken off.
    pub(crate) preempted_before: bool,
}

/// Number of a run in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunNumber(u64);

/// Runs at one server: a few, since it has few slots.
#[derive(Debug, Default)]
struct ServerRuns {
    server: Arc<str>,
    outlooks: Vec<RunOutlook>,
    /// What breaks each of them off.
    give_way: Vec<Arc<Notify>>,
}

impl ServerRuns {
    fn take(&mut self, position: usize) -> Arc<Notify> {
        self.outlooks.swap_remove(position);
        self.give_way.swap_remove(position)
    }
}

#[derive(Debug, Default)]
struct State {
    started: u64,
    servers: HashMap<ServerKey, ServerRuns>,
}

/// The runs of a worker.
#[derive(Debug, Default)]
pub(crate) struct RunRegistry(Mutex<State>);

impl RunRegistry {
    /// A run starts that `give_way` breaks off. Gives back its number.
    pub(crate) fn add(&self, server: &Arc<str>, run: StartedRun, give_way: Arc<Notify>) -> RunNumber {
        let mut state = self.lock();
        state.started += 1;
        let number = state.started;
        let StartedRun { overdue, due_ms, expected_end, preempted_before } = run;
        let runs = state.servers.entry(ServerKey::of(server)).or_default();
        runs.server = server.clone();
        runs.outlooks.push(RunOutlook { overdue, due_ms, expected_end, preempted_before, number });
        runs.give_way.push(give_way);
        RunNumber(number)
    }

    /// A run has ended.
    pub(crate) fn remove(&self, server: &str, run: RunNumber) {
        let mut state = self.lock();
        let key = ServerKey::of(server);
        let Some(runs) = state.servers.get_mut(&key) else { return };
        if let Some(position) = runs.outlooks.iter().position(|outlook| outlook.number == run.0) {
            runs.take(position);
        }
        if runs.outlooks.is_empty() {
            state.servers.remove(&key);
        }
    }

    /// The server of that key, if runs are there.
    pub(crate) fn server(&self, key: ServerKey) -> Option<Arc<str>> {
        self.lock().servers.get(&key).map(|runs| runs.server.clone())
    }

    /// Breaks off the run at a server that gives way first.
    pub(crate) fn break_first(&self, now: Instant, key: ServerKey) {
        let mut state = self.lock();
        let Some(runs) = state.servers.get_mut(&key) else { return };
        if let Some(first) = first_to_preempt(now, &runs.outlooks) {
            runs.take(first).notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
