//! The leader's leases of batch items, with the answers that wait until the
//! start of items that must not run twice is committed.

use crate::disk::{DiskFault, StateView};
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::{Job, JobState, StateKey, StateTable};
use latchwheel_core::leasing::{Grant, LeaseRequester, Leasing, RowWeight};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{
    Batch, Command, CompleteItems, Item, ItemResult, LeaseAnswer, LeaseRequest, LeasedItem, StartItems,
};
use latchwheel_protocol::Message;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// What a leader has to know of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct RowFact {
    /// Service whose servers do the work.
    pub service: String,
    /// Weight among the rows of the service.
    pub weight: f64,
    /// Time for which results are kept after the end, in seconds; zero means
    /// for ever.
    pub retention_seconds: u64,
}

/// The batch rows by name.
pub type RowFacts = HashMap<String, RowFact>;

/// Reply to a lease request.
pub(crate) type LeaseReply = oneshot::Sender<LeaseAnswer>;

/// An answer that has to wait for a commit.
pub(crate) struct Held {
    pub(crate) identity: u64,
    pub(crate) command: Command,
}

pub(crate) struct LeaseDesk {
    pub(crate) leasing: Leasing,
    term: u64,
    next: u64,
    held: HashMap<u64, (LeaseReply, LeaseAnswer)>,
}

impl LeaseDesk {
    pub(crate) fn new(now: Instant, term: u64, state: &JobState) -> Self {
        Self { leasing: Leasing::new(now, term, state), term, next: 0, held: HashMap::new() }
    }

    /// Renews and grants. Returns what must be committed before the answer
    /// goes out, if anything.
    pub(crate) fn serve(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
        reply: LeaseReply,
        rows: &RowFacts,
        state: &JobState,
        view: &StateView,
    ) -> Result<Option<Held>, DiskFault> {
        let node = NodeId(request.node);
        self.leasing.reclaim(now, node, &request.unanswered, state);
        let mut answer = LeaseAnswer { code: ResultCode::Done.number(), term: self.term, ..LeaseAnswer::default() };
        if request.term != self.term
            && !request.held.is_empty()
            && request.held.iter().all(|held| held.positions.is_empty())
        {
            // The holder's leases are an earlier leader's: it has to tell the
            // positions, which it does once it sees the term.
            let _ = reply.send(answer);
            return Ok(None);
        }
        answer.cancelled_jobs = self.leasing.renew(now, node, &request.held, state);
        let asker = LeaseRequester { node, request: request.request };
        let mut starts = Vec::new();
        let open_rows = self.leasing.open_rows();
        for room in &request.rooms {
            let weights: Vec<RowWeight<'_>> = open_rows
                .iter()
                .filter_map(|row| Some((row, rows.get(row)?)))
                .filter(|(_, facts)| facts.service == room.service)
                .map(|(row, facts)| RowWeight { row, weight: facts.weight })
                .collect();
            for grant in self.leasing.grant_shared(now, asker, &weights, room.room as usize, state) {
                let Some(job) = state.job(&grant.job) else { continue };
                if !job.record.repeatable {
                    starts.push(start_command(&grant, asker));
                }
                answer.items.extend(leased_items(&grant, job, view)?);
            }
        }
        if starts.is_empty() {
            let _ = reply.send(answer);
            return Ok(None);
        }
        self.next += 1;
        self.held.insert(self.next, (reply, answer));
        let command = Command { body: Some(Body::Batch(Batch { commands: starts })) };
        Ok(Some(Held { identity: self.next, command }))
    }

    /// The starts of a held answer are committed: the items may go out.
    pub(crate) fn release(&mut self, identity: u64) {
        if let Some((reply, answer)) = self.held.remove(&identity) {
            let _ = reply.send(answer);
        }
    }

    /// The starts of a held answer are given up: the holder hears nothing of
    /// the items and says so.
    pub(crate) fn drop_held(&mut self, identity: u64) {
        self.held.remove(&identity);
    }

    /// An entry of this term is applied.
    pub(crate) fn note_entry(&mut self, term: u64) {
        if term == self.term {
            self.leasing.note_own_term_applied();
        }
    }

    /// Follows an applied command.
    pub(crate) fn note_applied(&mut self, command: &Command, state: &JobState) {
        match &command.body {
            Some(Body::CreateJob(created)) => {
                if let Some(job) = state.job(&created.job).filter(|job| !job.has_ended()) {
                    self.leasing.open_job(job);
                }
            }
            Some(Body::CancelJob(cancelled)) => {
                if let Some(job) = state.job(&cancelled.job) {
                    self.leasing.close_job(job);
                }
            }
            Some(Body::CompleteItems(completed)) => {
                let positions: Vec<u64> = completed.results.iter().map(|result| result.position).collect();
                self.leasing.note_completed(&completed.job, &positions);
                if let Some(job) = state.job(&completed.job).filter(|job| job.has_ended()) {
                    self.leasing.close_job(job);
                }
            }
            Some(Body::Batch(batch)) => batch.commands.iter().for_each(|command| self.note_applied(command, state)),
            _ => {}
        }
    }
}

fn start_command(grant: &Grant, asker: LeaseRequester) -> Command {
    let (holder, request) = (asker.node.0, asker.request);
    let start = StartItems { job: grant.job.clone(), positions: grant.positions.clone(), holder, request };
    Command { body: Some(Body::StartItems(start)) }
}

fn leased_items(grant: &Grant, job: &Job, view: &StateView) -> Result<Vec<LeasedItem>, DiskFault> {
    let record = &job.record;
    let mut items = Vec::with_capacity(grant.positions.len());
    for position in &grant.positions {
        let key = StateKey::item(&record.file, *position);
        let value = view.value(StateTable::Item, &key)?;
        let item = value.and_then(|value| Item::decode(value).ok());
        let item = item.ok_or_else(|| DiskFault::Damaged(format!("item {position} of {}", record.file)))?;
        items.push(LeasedItem {
            job: record.job.clone(),
            position: *position,
            body: item.body,
            row: record.row.clone(),
            endpoint: record.endpoint.clone(),
            repeatable: record.repeatable,
            tenant: record.tenant.clone(),
            lease: grant.lease,
        });
    }
    Ok(items)
}

/// The completion of items whose result can't be told.
pub(crate) fn unknown_results(job: String, positions: &[u64], at_seconds: u64) -> Command {
    let code = ResultCode::OutcomeUnknown;
    let result = |position: &u64| ItemResult {
        position: *position,
        code: code.number(),
        status: u32::from(code.http_status()),
        body: bytes::Bytes::from_static(code.text().as_bytes()),
    };
    let results = positions.iter().map(result).collect();
    Command { body: Some(Body::CompleteItems(CompleteItems { job, results, at_seconds })) }
}
