//! In which order the jobs of a worker start items: the one that is due first
//! goes first.

use std::collections::BTreeMap;

/// When a job is due, in milliseconds since 1970, and its identity.
type Due = (u64, String);

/// The jobs of a worker that have items to start.
#[derive(Debug, Default)]
pub struct StartOrder {
    waiting: BTreeMap<Due, usize>,
}

impl StartOrder {
    /// A job that is due then has so many items to start.
    pub fn set(&mut self, job: &str, due_ms: u64, items: usize) {
        let due = (due_ms, job.to_owned());
        if items == 0 {
            self.waiting.remove(&due);
        } else {
            self.waiting.insert(due, items);
        }
    }

    /// Whether no other job that is due earlier has items to start.
    pub fn is_first(&self, job: &str, due_ms: u64) -> bool {
        let first = self.waiting.first_key_value();
        first.is_none_or(|((due, name), _)| (*due, name.as_str()) >= (due_ms, job))
    }

    /// Items that all jobs would start.
    pub fn total(&self) -> usize {
        self.waiting.values().sum()
    }
}
