//! Unfinished tokens of the jobs that a worker runs, by route.

use latchwheel_core::dispatch::RouteKey;
use std::collections::HashMap;

/// Unfinished tokens of each job that a worker runs.
#[derive(Debug, Default)]
pub(crate) struct UnfinishedTokens {
    jobs: HashMap<String, (RouteKey, u64)>,
}

impl UnfinishedTokens {
    /// So many tokens of a job are unfinished. Gives back the sum of its route.
    pub(crate) fn set(&mut self, job: &str, route: RouteKey, tokens: u64) -> u64 {
        match self.jobs.get_mut(job) {
            Some(present) => *present = (route, tokens),
            None => {
                self.jobs.insert(job.to_owned(), (route, tokens));
            }
        }
        self.of(route)
    }

    /// The worker does not run the job any more. Gives back its route and the
    /// sum of that, if the job was counted.
    pub(crate) fn remove(&mut self, job: &str) -> Option<(RouteKey, u64)> {
        let (route, _) = self.jobs.remove(job)?;
        Some((route, self.of(route)))
    }

    fn of(&self, route: RouteKey) -> u64 {
        self.jobs.values().filter(|(of, _)| *of == route).map(|(_, tokens)| tokens).sum()
    }
}
