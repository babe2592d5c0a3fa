//! The trial that a run of an item has in progress.

use crate::worker_context::WorkerContext;
use std::sync::Arc;
use std::time::Duration;

/// A trial in progress; dropping it ends it.
pub(crate) struct ItemTrial<S, D> {
    context: Arc<WorkerContext<S, D>>,
}

impl<S, D> ItemTrial<S, D> {
    /// Begins a trial of the worker.
    ///
    /// # Errors
    /// The time until another attempt, if no trial may begin now.
    pub(crate) fn begin(context: &Arc<WorkerContext<S, D>>) -> Result<Self, Duration> {
        context.trials().begin(context.shared.clock.now())?;
        Ok(Self { context: context.clone() })
    }

    /// Has the next trial wait: this one lost its server.
    pub(crate) fn end_lost(self) {
        let now = self.context.shared.clock.now();
        self.context.trials().end_lost(now);
    }
}

impl<S, D> Drop for ItemTrial<S, D> {
    fn drop(&mut self) {
        self.context.trials().end();
    }
}
