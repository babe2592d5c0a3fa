//! Reports of items that are ready and are not started.
//!
//! Each job looks at its items now and then and adds those that wait to the sum of its worker,
//! which logs one line for each reason. So the log does not grow with the jobs.

use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a run after which an item counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(5);
/// Time between two reports, and between two looks of a job at its items.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Why a job starts no further item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StartBlocker {
    /// The routing table has no route for the job.
    NoRoute,
    /// Online requests are refused, and batch work holds its share of the slots.
    OnlineOverload,
    /// Another job of the route goes first.
    OtherJobFirst,
    /// Whether the job is still open is not known.
    NotConfirmed,
    /// No server of the route's services accepts work.
    NoServer,
    /// No server has a slot for batch work.
    NoSlot,
    /// Its runs lost their servers, or a part of its prompt is quarantined: it waits for its trial.
    AwaitsTrial,
    /// The pause after its last run is not over.
    Backoff,
}

impl StartBlocker {
    /// A word for the log.
    fn word(self) -> &'static str {
        match self {
            StartBlocker::NoRoute => "no_route",
            StartBlocker::OnlineOverload => "online_overload",
            StartBlocker::OtherJobFirst => "other_job_first",
            StartBlocker::NotConfirmed => "not_confirmed",
            StartBlocker::NoServer => "no_server",
            StartBlocker::NoSlot => "no_slot",
            StartBlocker::AwaitsTrial => "awaits_trial",
            StartBlocker::Backoff => "backoff",
        }
    }
}

/// Stalled items of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobStall {
    /// Number of the items.
    pub(crate) items: usize,
    /// Item that waits longest.
    pub(crate) longest: usize,
    /// Time since its last run.
    pub(crate) idle: Duration,
}

/// Time for which the items of one job have been without a run.
#[derive(Debug)]
pub(crate) struct IdleItems {
    since: Vec<Instant>,
    /// Why the job last started no further item.
    pub(crate) blocker: StartBlocker,
    next_look: Instant,
}

impl IdleItems {
    /// Starts with `items` items without a run.
    pub(crate) fn new(items: usize, now: Instant) -> Self {
        Self { since: vec![now; items], blocker: StartBlocker::Backoff, next_look: now + STALL_TIME }
    }

    /// Records the end of a run.
    pub(crate) fn note_run_ended(&mut self, item: usize, now: Instant) {
        self.since[item] = now;
    }

    /// The stalled ones among the waiting items, if a look is due.
    pub(crate) fn look(&mut self, now: Instant, is_waiting: impl Fn(usize) -> bool) -> Option<JobStall> {
        if now < self.next_look {
            return None;
        }
        self.next_look = now + REPORT_INTERVAL;
        let idle = |item: &usize| now.since(self.since[*item]);
        let stalled = (0..self.since.len()).filter(|item| is_waiting(*item) && idle(item) >= STALL_TIME);
        let stalled: Vec<usize> = stalled.collect();
        let longest = stalled.iter().copied().max_by_key(idle)?;
        Some(JobStall { items: stalled.len(), longest, idle: idle(&longest) })
    }
}

#[derive(Debug, Default)]
struct StalledSum {
    jobs: usize,
    items: usize,
    longest_job: String,
    longest_item: String,
    idle: Duration,
}

/// Stalled items of all jobs of a worker, by reason.
#[derive(Debug, Default)]
pub(crate) struct StallReport {
    sums: BTreeMap<StartBlocker, StalledSum>,
    next_report: Instant,
}

impl StallReport {
    /// Adds the stalled items of a job; `item` is the one that waits longest.
    pub(crate) fn add(&mut self, blocker: StartBlocker, job: &str, item: &str, stall: &JobStall) {
        let sum = self.sums.entry(blocker).or_default();
        sum.jobs += 1;
        sum.items += stall.items;
        if stall.idle > sum.idle {
            (sum.longest_job, sum.longest_item, sum.idle) = (job.to_owned(), item.to_owned(), stall.idle);
        }
    }

    /// Logs what was added since the last report, if one is due.
    pub(crate) fn log_if_due(&mut self, now: Instant) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        for (blocker, sum) in std::mem::take(&mut self.sums) {
            let event = Event::ItemsNotStarted {
                reason: blocker.word(),
                jobs: sum.jobs,
                items: sum.items,
                job: &sum.longest_job,
                item: &sum.longest_item,
                idle_ms: sum.idle.as_millis() as u64,
            };
            emit(&sum.longest_job, &event);
        }
    }
}
