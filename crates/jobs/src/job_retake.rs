//! Taking jobs again whose run here ended although they are open.
//!
//! A run that ended leaves its job to the news: they say that the job is finished, ended,
//! or falls to another worker. Where they say nothing of the kind, the job would lie in the
//! store for ever, since all other workers count it as this one's. This worker then asks
//! the store, and takes the job again if it is open there, whatever the run ended for.

use crate::desk::read_record;
use crate::job_run::{run_job, JobOrder};
use crate::layout::{job_key, JobState};
use crate::worker::Job;
use crate::worker_context::WorkerContext;
use latchwheel_events::{emit, Event};
use latchwheel_proxy::Dialect;
use latchwheel_records::RecordStore;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time that the news of a job's end have before the store is asked: an upstream tells
/// them within a second while the store answers.
const NEWS_PATIENCE: Duration = Duration::from_secs(2);
/// Most jobs of which the store is asked at one look. What the looks cost does not grow
/// with the jobs.
const READS_IN_A_LOOK: usize = 8;

/// A run that ended while its job is believed open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRun {
    /// When it was seen first, or the store was asked last.
    since: Instant,
}

/// Notes which runs have ended, and asks the store for those jobs that have waited
/// longest.
pub(crate) fn begin_retakes<S: RecordStore, D: Dialect>(
    context: &Arc<WorkerContext<S, D>>,
    jobs: &mut HashMap<String, Job>,
) {
    let now = Instant::now();
    let mut due = Vec::new();
    for (name, job) in jobs.iter_mut() {
        let has_ended = job.run.as_ref().is_some_and(|(_, run)| run.is_finished());
        if !has_ended {
            job.ended = None;
            continue;
        }
        let since = job.ended.get_or_insert(EndedRun { since: now }).since;
        if now.duration_since(since) >= NEWS_PATIENCE {
            due.push((since, name, job));
        }
    }
    due.sort_unstable_by_key(|(since, _, _)| *since);
    for (_, name, job) in due.into_iter().take(READS_IN_A_LOOK) {
        let (orders, received) = watch::channel(JobOrder::Run);
        let run = tokio::spawn(retake(context.clone(), name.clone(), received));
        job.run = Some((orders, run));
        job.ended = Some(EndedRun { since: now });
    }
}

/// Runs a job if the store says that it is open. Otherwise the next look asks again,
/// until the news say what became of the job.
async fn retake<S: RecordStore, D: Dialect>(
    context: Arc<WorkerContext<S, D>>,
    job: String,
    orders: watch::Receiver<JobOrder>,
) {
    let present = match context.store.get(&job_key(&job)).await {
        Ok(Some(present)) => present,
        Ok(None) => return,
        Err(fault) => {
            emit(&job, &Event::JobNotConfirmed { job: &job, reason: fault.word() });
            return;
        }
    };
    let record = read_record(&present.value).filter(|record| record.state == JobState::Open);
    let Some(record) = record else { return };
    emit(&job, &Event::JobTakenAgain { job: &job });
    run_job(context, job, record, present.revision, orders).await;
}
