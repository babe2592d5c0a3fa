//! Unfinished tokens of the jobs that a worker runs, by route.

use latchwheel_core::dispatch::RouteKey;
use std::collections::HashMap;

/// Unfinished tokens of each job that a worker runs.
#[derive(Debug, Default)]
pub(crate) struct UnfinishedTokens {
    jobs: HashMap<String, (RouteKey, u64)>,
}

impl UnfinishedTokens {
    /// So many tokens of a job are unfinished. Returns the routes whose sums changed, with the
    /// sums: two if the job was counted on another route.
    pub(crate) fn set(&mut self, job: &str, route: RouteKey, tokens: u64) -> Vec<(RouteKey, u64)> {
        let former = self.jobs.insert(job.to_owned(), (route, tokens)).map(|(former, _)| former);
        let changed = [Some(route), former.filter(|former| *former != route)];
        changed.into_iter().flatten().map(|route| (route, self.of(route))).collect()
    }

    /// The job does not count any more. Returns its route and the sum of that, if the job
    /// counted.
    pub(crate) fn remove(&mut self, job: &str) -> Option<(RouteKey, u64)> {
        let (route, _) = self.jobs.remove(job)?;
        Some((route, self.of(route)))
    }

    fn of(&self, route: RouteKey) -> u64 {
        self.jobs.values().filter(|(of, _)| *of == route).map(|(_, tokens)| tokens).sum()
    }
}
