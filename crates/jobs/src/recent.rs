//! A small cache by job: the values that were put last.

use std::collections::{HashMap, VecDeque};

/// The values that were put last, by job.
#[derive(Debug)]
pub(crate) struct Recent<T> {
    limit: usize,
    values: HashMap<String, T>,
    order: VecDeque<String>,
}

impl<T> Recent<T> {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, values: HashMap::new(), order: VecDeque::new() }
    }

    pub(crate) fn get(&self, job: &str) -> Option<&T> {
        self.values.get(job)
    }

    pub(crate) fn remove(&mut self, job: &str) {
        self.values.remove(job);
        self.order.retain(|present| present != job);
    }

    pub(crate) fn put(&mut self, job: &str, value: T) {
        if self.values.insert(job.to_owned(), value).is_none() {
            self.order.push_back(job.to_owned());
        }
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.values.remove(&oldest);
            }
        }
    }
}
