//! Fair queue over the rows of one service and class.

use super::RowShare;
use crate::identity::WorkId;
use crate::table::Class;
use crate::time::Instant;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A request or batch item to schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Identity, unique within the node.
    pub id: WorkId,
    /// Row of the table.
    pub row: Arc<str>,
    /// Online or batch.
    pub class: Class,
    /// Service whose servers do the work.
    pub service: Arc<str>,
    /// Required model or adapter; empty means any.
    pub model: Arc<str>,
    /// Tokens of the prompt plus the maximum number of output tokens.
    pub cost: u32,
    /// Hashes of the prompt's blocks.
    pub blocks: Arc<[u64]>,
    /// Time after which waiting online work is refused.
    pub deadline: Option<Instant>,
    /// Maximum predicted wait; work that would wait longer is refused.
    pub first_token_limit: Option<Duration>,
    /// Whether a run may be stopped and resumed.
    pub preemptible: bool,
    /// Server to exclude, after a failed attempt there.
    pub avoid: Option<crate::identity::ServerId>,
}

#[derive(Debug, Default)]
struct RowQueue {
    waiting: VecDeque<Work>,
    /// Virtual start time of the next work of the row.
    start: f64,
}

/// Queues by row, with the virtual time of fair queueing.
#[derive(Debug, Default)]
pub(super) struct RowQueues {
    rows: BTreeMap<Arc<str>, RowQueue>,
    virtual_time: f64,
    waiting: u32,
}

impl RowQueues {
    pub(super) fn waiting(&self) -> u32 {
        self.waiting
    }

    pub(super) fn waiting_of(&self, row: &str) -> u32 {
        self.rows.get(row).map_or(0, |queue| queue.waiting.len() as u32)
    }

    pub(super) fn push(&mut self, work: Work) {
        self.queue_for(&work).waiting.push_back(work);
        self.waiting += 1;
    }

    /// Returns popped work to the head of its row's queue and refunds its charge.
    pub(super) fn put_back(&mut self, work: Work, shares: &HashMap<Arc<str>, RowShare>) {
        let charge = charge(&work, shares);
        let queue = self.queue_for(&work);
        queue.start -= charge;
        queue.waiting.push_front(work);
        self.waiting += 1;
    }

    fn queue_for(&mut self, work: &Work) -> &mut RowQueue {
        let virtual_time = self.virtual_time;
        let queue = self.rows.entry(work.row.clone()).or_default();
        if queue.waiting.is_empty() {
            // Idle rows must not accumulate a share.
            queue.start = queue.start.max(virtual_time);
        }
        queue
    }

    /// Removes the next work of the row with the earliest virtual start among the
    /// rows below their concurrency limit.
    pub(super) fn pop(
        &mut self,
        shares: &HashMap<Arc<str>, RowShare>,
        running: &HashMap<Arc<str>, u32>,
    ) -> Option<Work> {
        let below_limit = |row: &Arc<str>| {
            let limit = shares.get(row).map_or(0, |share| share.concurrency);
            limit == 0 || running.get(row).copied().unwrap_or(0) < limit
        };
        let (_, queue) = self
            .rows
            .iter_mut()
            .filter(|(row, queue)| !queue.waiting.is_empty() && below_limit(row))
            .min_by(|(_, first), (_, second)| first.start.total_cmp(&second.start))?;
        let work = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.start);
        queue.start += charge(&work, shares);
        self.waiting -= 1;
        Some(work)
    }

    pub(super) fn remove(&mut self, id: WorkId) -> bool {
        for queue in self.rows.values_mut() {
            if let Some(position) = queue.waiting.iter().position(|work| work.id == id) {
                queue.waiting.remove(position);
                self.waiting -= 1;
                return true;
            }
        }
        false
    }

    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<WorkId> {
        let mut expired = Vec::new();
        for queue in self.rows.values_mut() {
            queue.waiting.retain(|work| {
                let is_expired = work.deadline.is_some_and(|deadline| deadline <= now);
                if is_expired {
                    expired.push(work.id);
                }
                !is_expired
            });
        }
        self.waiting -= expired.len() as u32;
        expired
    }

    pub(super) fn drain(&mut self) -> Vec<WorkId> {
        self.waiting = 0;
        self.rows.values_mut().flat_map(|queue| queue.waiting.drain(..)).map(|work| work.id).collect()
    }
}

/// Virtual time charged to a row for work.
fn charge(work: &Work, shares: &HashMap<Arc<str>, RowShare>) -> f64 {
    let weight = shares.get(&work.row).map_or(1.0, |share| share.weight);
    f64::from(work.cost) / weight
}
