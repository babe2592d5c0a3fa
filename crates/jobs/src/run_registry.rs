//! The runs of all jobs of a worker by server, so that one can be broken off
//! at once where an urgent request wants its slot.

use crate::start_order::StartRank;
use latchwheel_core::dispatch::ServerKey;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Place of a run among those of a server; the greatest gives way first: one
/// that is late anyway, else the one that is due last, the latest of equals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunRank {
    late: bool,
    due_ms: u64,
    number: u64,
}

/// Runs at one server.
#[derive(Debug, Default)]
struct ServerRuns {
    server: Arc<str>,
    runs: BTreeMap<RunRank, Arc<Notify>>,
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
    /// A run of a job starts that `give_way` breaks off. Gives back its place.
    pub(crate) fn add(&self, server: &Arc<str>, job: &StartRank, give_way: Arc<Notify>) -> RunRank {
        let mut state = self.lock();
        state.started += 1;
        let rank = RunRank { late: job.late, due_ms: job.due_ms, number: state.started };
        let runs = state.servers.entry(ServerKey::of(server)).or_default();
        runs.server = server.clone();
        runs.runs.insert(rank, give_way);
        rank
    }

    /// A run has ended.
    pub(crate) fn remove(&self, server: &str, rank: RunRank) {
        let mut state = self.lock();
        let key = ServerKey::of(server);
        let Some(runs) = state.servers.get_mut(&key) else { return };
        runs.runs.remove(&rank);
        if runs.runs.is_empty() {
            state.servers.remove(&key);
        }
    }

    /// The server of that key, if runs are there.
    pub(crate) fn server(&self, key: ServerKey) -> Option<Arc<str>> {
        self.lock().servers.get(&key).map(|runs| runs.server.clone())
    }

    /// Breaks off the run at a server that gives way first.
    pub(crate) fn break_first(&self, key: ServerKey) {
        let first = self.lock().servers.get_mut(&key).and_then(|runs| runs.runs.pop_last());
        if let Some((_, give_way)) = first {
            give_way.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
