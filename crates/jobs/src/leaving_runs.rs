//! Runs of jobs that were told to leave and haven't ended yet.
//!
//! Such a run still lists what it has. Meanwhile the job may fall to this worker again:
//! the next run begins once the one before has ended, so that only one of them shows the
//! job to readers, and none believes that nobody else lists.

use crate::job_run::{JobOrder, LeaveReason};
use std::collections::HashMap;
use std::future::Future;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A run of a job, and the way to tell it something.
pub(crate) type Run = (watch::Sender<JobOrder>, JoinHandle<()>);

/// The runs that leave, by job; of several runs of one job the last one, which ends last.
#[derive(Debug, Default)]
pub(crate) struct LeavingRuns {
    runs: HashMap<String, JoinHandle<()>>,
}

impl LeavingRuns {
    /// A run is to leave its job.
    pub(crate) fn leave(&mut self, job: &str, (orders, run): Run, reason: LeaveReason) {
        orders.send_replace(JobOrder::Leave(reason));
        self.runs.insert(job.to_owned(), run);
    }

    /// What runs a job once its run before has ended.
    pub(crate) fn then<F: Future<Output = ()>>(&mut self, job: &str, next: F) -> impl Future<Output = ()> + use<F> {
        let before = self.runs.remove(job);
        async move {
            if let Some(before) = before {
                // One that failed has ended, too.
                let _ = before.await;
            }
            next.await;
        }
    }

    /// Forgets those that have ended.
    pub(crate) fn forget_ended(&mut self) {
        self.runs.retain(|_, run| !run.is_finished());
    }

    /// All that haven't ended.
    pub(crate) fn into_runs(self) -> impl Iterator<Item = JoinHandle<()>> {
        self.runs.into_values()
    }
}
