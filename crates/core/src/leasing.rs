//! Leases of batch items from a store group's leader to owners.
//!
//! Soft state of the leader: a lease is renewed by each of the owner's
//! requests and lapses when they stop; its items then go to others, and the
//! first committed completion wins. Items that must not run twice are never
//! given out again: their holder's lapse leaves `unknown`.
//!
//! A holder that gives up waiting for the answer to a request says so with its next
//! ones. What was granted to that request has not run, although its start may be
//! committed: it is granted again. The start names the request, so that the next leader
//! knows it too.
//!
//! A new leader knows no leases. Where jobs were open when it was elected, it
//! grants nothing for one lease length and takes up the leases that holders
//! tell it of.

use crate::identity::NodeId;
use crate::jobs::{Job, JobState};
use crate::time::Instant;
use latchwheel_protocol::v1::HeldChunk;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Time without renewal after which a lease lapses.
pub const LEASE_LENGTH: Duration = Duration::from_secs(3);
/// Time in which a leader must answer a call for leases; a grant that comes later is
/// not taken, which the holder tells. A holder that asks a silent leader twice, with a
/// pause of 250 ms between, still reaches the next leader within the lease length in
/// which that one grants nothing. With the 6 s of other calls every started item of every
/// holder was given up as unknown.
pub const LEASE_CALL_TIME: Duration = Duration::from_secs(1);
/// A holder that renewed within this time is not gone, whatever other nodes say: it
/// renews each 750 ms. A node that was cut off tells, once it is heard again, that all
/// others are gone.
const HEARD_TIME: Duration = Duration::from_secs(1);
/// Time for which a holder tells, and a leader remembers, that a request was given up:
/// more than a group is without a leader in an election that is repeated several times
/// (2.4 s each), and than a message may be under way (6 s).
pub const ABANDONED_REPORT_TIME: Duration = Duration::from_secs(30);
/// Most items in one grant of one job.
const CHUNK_ITEMS: usize = 64;

/// Items of one job that are granted together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identity of the lease.
    pub lease: u64,
    /// The job.
    pub job: String,
    /// Positions of the items.
    pub positions: Vec<u64>,
}

/// Who asks for items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequester {
    /// The node.
    pub node: NodeId,
    /// Its lease request, never used again by any node; zero is none.
    pub request: u64,
}

/// A row with its weight among the rows of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowWeight<'a> {
    /// The row.
    pub row: &'a str,
    /// Its weight.
    pub weight: f64,
}

/// Items whose holder is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lapsed {
    /// Items that must not run twice, so that their result can't be told.
    pub unknown: Vec<(String, Vec<u64>)>,
}

#[derive(Debug)]
struct Lease {
    node: NodeId,
    /// The request that it was granted to; zero for one of an earlier leader.
    request: u64,
    job: String,
    positions: BTreeSet<u64>,
    until: Instant,
}

impl Lease {
    /// Whether its holder could have renewed it since, and did not.
    fn is_silent(&self, now: Instant) -> bool {
        now + LEASE_LENGTH >= self.until + HEARD_TIME
    }
}

#[derive(Debug, Default)]
struct JobCursor {
    next: u64,
    returned: VecDeque<u64>,
}

/// The leases of a store group, kept by its leader.
#[derive(Debug)]
pub struct Leasing {
    granting_from: Instant,
    next_lease: u64,
    leases: HashMap<u64, Lease>,
    held: HeldPositions,
    cursors: HashMap<String, JobCursor>,
    /// Jobs with items to grant, per row, by deadline.
    open: BTreeMap<String, BTreeSet<(u64, String)>>,
    /// Requests whose answer no holder takes any more, and until when that is remembered.
    unanswered: HashMap<u64, Instant>,
    /// Whether all that earlier leaders committed is known here.
    is_settled: bool,
}

impl Leasing {
    /// The leases of a new leader of this term.
    pub fn new(now: Instant, term: u64, state: &JobState) -> Self {
        let may_be_held = state.jobs().any(|job| !job.has_ended());
        let mut leasing = Self {
            granting_from: if may_be_held { now + LEASE_LENGTH } else { now },
            next_lease: term << 32,
            leases: HashMap::new(),
            held: HeldPositions::default(),
            cursors: HashMap::new(),
            open: BTreeMap::new(),
            unanswered: HashMap::new(),
            is_settled: false,
        };
        for job in state.jobs().filter(|job| !job.has_ended()) {
            leasing.open_job(job);
        }
        leasing
    }

    /// A job was created, or items of it came back.
    pub fn open_job(&mut self, job: &Job) {
        let record = &job.record;
        self.cursors.entry(record.job.clone()).or_default();
        self.open.entry(record.row.clone()).or_default().insert((record.deadline_seconds, record.job.clone()));
    }

    /// The job has ended: its items are granted no more.
    pub fn close_job(&mut self, job: &Job) {
        let record = &job.record;
        self.cursors.remove(&record.job);
        if let Some(jobs) = self.open.get_mut(&record.row) {
            jobs.remove(&(record.deadline_seconds, record.job.clone()));
        }
        self.leases.retain(|_, lease| lease.job != record.job);
        self.held.forget(&record.job);
    }

    /// Renews what a node holds, and takes up leases of an earlier leader.
    /// Returns jobs that the node should stop.
    pub fn renew(&mut self, now: Instant, node: NodeId, held: &[HeldChunk], state: &JobState) -> Vec<String> {
        let mut ended = BTreeSet::new();
        for chunk in held {
            match state.job(&chunk.job) {
                Some(job) if !job.has_ended() => self.renew_chunk(now, node, chunk, job),
                _ => {
                    ended.insert(chunk.job.clone());
                }
            }
        }
        ended.into_iter().collect()
    }

    fn renew_chunk(&mut self, now: Instant, node: NodeId, chunk: &HeldChunk, job: &Job) {
        let until = now + LEASE_LENGTH;
        if let Some(lease) = self.leases.get_mut(&chunk.lease) {
            lease.until = until;
            return;
        }
        let positions: BTreeSet<u64> =
            chunk.positions.iter().copied().filter(|position| !job.done.get(*position)).collect();
        if now < self.granting_from && !positions.is_empty() {
            self.held.hold(&chunk.job, positions.iter().copied());
            self.leases.insert(chunk.lease, Lease { node, request: 0, job: chunk.job.clone(), positions, until });
        }
    }

    /// An entry of this leader's own term is applied, and so all entries before it.
    pub fn note_own_term_applied(&mut self) {
        self.is_settled = true;
    }

    /// A holder takes no answer to these requests any more: what was granted to them
    /// has not run.
    pub fn reclaim(&mut self, now: Instant, node: NodeId, unanswered: &[u64], state: &JobState) {
        for request in unanswered {
            self.unanswered.insert(*request, now + ABANDONED_REPORT_TIME);
        }
        let is_lost = |lease: &Lease| lease.request != 0 && lease.node == node && unanswered.contains(&lease.request);
        let lost: Vec<u64> = self.leases.iter().filter(|(_, lease)| is_lost(lease)).map(|(id, _)| *id).collect();
        for id in lost {
            let Some(lease) = self.leases.remove(&id) else { continue };
            let positions: Vec<u64> = lease.positions.into_iter().collect();
            self.held.release(&lease.job, &positions);
            if let Some(job) = state.job(&lease.job) {
                self.grant_again(job, &positions);
            }
        }
    }

    /// Grants items of several rows to a node that has room for so many: each
    /// row its share by weight, and what a row has no items for to the others.
    pub fn grant_shared(
        &mut self,
        now: Instant,
        asker: LeaseRequester,
        rows: &[RowWeight<'_>],
        room: usize,
        state: &JobState,
    ) -> Vec<Grant> {
        let weights: f64 = rows.iter().map(|row| row.weight).sum();
        let mut left = room;
        let mut grants = Vec::new();
        for row in rows {
            let share = (room as f64 * row.weight / weights).ceil() as usize;
            let granted = self.grant(now, asker, row.row, share.min(left), state);
            left -= granted.iter().map(|grant| grant.positions.len()).sum::<usize>();
            grants.extend(granted);
        }
        for row in rows {
            let granted = self.grant(now, asker, row.row, left, state);
            left -= granted.iter().map(|grant| grant.positions.len()).sum::<usize>();
            grants.extend(granted);
        }
        grants
    }

    /// Rows with items to grant.
    pub fn open_rows(&self) -> Vec<String> {
        self.open.iter().filter(|(_, jobs)| !jobs.is_empty()).map(|(row, _)| row.clone()).collect()
    }

    /// Grants items of a row to a node, the job with the nearest deadline
    /// first. Nothing is granted while an earlier leader's leases may hold, nor to a
    /// request that comes after word that its answer isn't taken.
    pub fn grant(
        &mut self,
        now: Instant,
        asker: LeaseRequester,
        row: &str,
        room: usize,
        state: &JobState,
    ) -> Vec<Grant> {
        let mut grants = Vec::new();
        if now < self.granting_from || room == 0 || self.unanswered.contains_key(&asker.request) {
            return grants;
        }
        let Some(open) = self.open.get_mut(row) else { return grants };
        let mut left = room;
        let mut exhausted = Vec::new();
        for (deadline, name) in open.iter() {
            if left == 0 {
                break;
            }
            let (Some(job), Some(cursor)) = (state.job(name), self.cursors.get_mut(name)) else {
                exhausted.push((*deadline, name.clone()));
                continue;
            };
            let positions = cursor.take(job, left, &self.held);
            if positions.len() < left {
                exhausted.push((*deadline, name.clone()));
            }
            left -= positions.len();
            for part in positions.chunks(CHUNK_ITEMS) {
                self.next_lease += 1;
                grants.push(Grant { lease: self.next_lease, job: name.clone(), positions: part.to_vec() });
            }
        }
        for job in exhausted {
            open.remove(&job);
        }
        for grant in &grants {
            self.held.hold(&grant.job, grant.positions.iter().copied());
            let positions = grant.positions.iter().copied().collect();
            let LeaseRequester { node, request } = asker;
            let lease = Lease { node, request, job: grant.job.clone(), positions, until: now + LEASE_LENGTH };
            self.leases.insert(grant.lease, lease);
        }
        grants
    }

    /// Items with a committed result are no longer held.
    pub fn completed(&mut self, job: &str, positions: &[u64]) {
        self.held.release(job, positions);
        for lease in self.leases.values_mut().filter(|lease| lease.job == job) {
            for position in positions {
                lease.positions.remove(position);
            }
        }
        self.leases.retain(|_, lease| !lease.positions.is_empty());
    }

    /// A holder gives items back that it has not started. Only items that are
    /// still under the very lease count: a message that comes late or twice
    /// must not take an item from its next holder.
    pub fn returned(&mut self, node: NodeId, chunk: &HeldChunk, job: &Job) {
        let Some(lease) = self.leases.get_mut(&chunk.lease) else { return };
        if lease.node != node || lease.job != chunk.job {
            return;
        }
        let positions: Vec<u64> =
            chunk.positions.iter().copied().filter(|position| lease.positions.remove(position)).collect();
        if lease.positions.is_empty() {
            self.leases.remove(&chunk.lease);
        }
        self.held.release(&chunk.job, &positions);
        self.grant_again(job, &positions);
    }

    fn grant_again(&mut self, job: &Job, positions: &[u64]) {
        if job.has_ended() || positions.is_empty() {
            return;
        }
        self.open_job(job);
        if let Some(cursor) = self.cursors.get_mut(&job.record.job) {
            cursor.returned.extend(positions);
        }
    }

    /// Takes back what was not renewed, sooner from a node that is said to be gone.
    pub fn expire(&mut self, now: Instant, state: &JobState, is_present: impl Fn(NodeId) -> bool) -> Lapsed {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now || (lease.is_silent(now) && !is_present(lease.node)))
            .map(|(id, _)| *id)
            .collect();
        let mut lapsed = Lapsed::default();
        for id in over {
            let Some(lease) = self.leases.remove(&id) else { continue };
            let positions: Vec<u64> = lease.positions.into_iter().collect();
            self.held.release(&lease.job, &positions);
            let Some(job) = state.job(&lease.job).filter(|job| !job.has_ended()) else { continue };
            if job.record.repeatable {
                self.grant_again(job, &positions);
            } else {
                lapsed.unknown.push((lease.job, positions));
            }
        }
        if now >= self.granting_from {
            lapsed.unknown.extend(self.settle_orphans(state));
        }
        self.unanswered.retain(|_, until| *until > now);
        lapsed
    }

    /// Grants orphans again that never reached their holder; gives back the others.
    fn settle_orphans(&mut self, state: &JobState) -> Vec<(String, Vec<u64>)> {
        let mut unknown = Vec::new();
        for (name, positions) in self.orphans(state) {
            let Some(job) = state.job(&name) else { continue };
            let never_taken = |position: &u64| {
                job.start_requests.get(position).is_some_and(|request| self.unanswered.contains_key(request))
            };
            let (unrun, lost): (Vec<u64>, Vec<u64>) = positions.into_iter().partition(never_taken);
            // Until all is known, a later start may stand in the log, of a holder that runs it.
            if self.is_settled {
                self.grant_again(job, &unrun);
            }
            if !lost.is_empty() {
                unknown.push((name, lost));
            }
        }
        unknown
    }

    /// Started items of jobs that must not run twice, held by nobody: left by
    /// an earlier leader whose holder did not tell this one of them.
    fn orphans(&self, state: &JobState) -> Vec<(String, Vec<u64>)> {
        let mut orphans = Vec::new();
        for (name, cursor) in &self.cursors {
            let Some(job) = state.job(name).filter(|job| !job.record.repeatable) else { continue };
            let nobody = |position: &u64| {
                job.started.get(*position)
                    && !job.done.get(*position)
                    && !cursor.returned.contains(position)
                    && !self.held.contains(name, *position)
            };
            let positions: Vec<u64> = (0..job.record.items).filter(nobody).collect();
            if !positions.is_empty() {
                orphans.push((name.clone(), positions));
            }
        }
        orphans
    }

    /// Items held at present.
    pub fn held_items(&self) -> usize {
        self.leases.values().map(|lease| lease.positions.len()).sum()
    }
}

/// Positions under any lease, by job, so that a grant need not look through
/// all leases.
#[derive(Debug, Default)]
struct HeldPositions {
    by_job: HashMap<String, HashSet<u64>>,
}

impl HeldPositions {
    fn hold(&mut self, job: &str, positions: impl Iterator<Item = u64>) {
        match self.by_job.get_mut(job) {
            Some(held) => held.extend(positions),
            None => drop(self.by_job.insert(job.to_owned(), positions.collect())),
        }
    }

    fn release(&mut self, job: &str, positions: &[u64]) {
        let Some(held) = self.by_job.get_mut(job) else { return };
        for position in positions {
            held.remove(position);
        }
        if held.is_empty() {
            self.by_job.remove(job);
        }
    }

    fn forget(&mut self, job: &str) {
        self.by_job.remove(job);
    }

    fn contains(&self, job: &str, position: u64) -> bool {
        self.by_job.get(job).is_some_and(|held| held.contains(&position))
    }
}

impl JobCursor {
    /// Takes up to so many items that are neither done, started nor held. An
    /// item that its holder gave back did not run, so its committed start
    /// stands for the next holder.
    fn take(&mut self, job: &Job, most: usize, held: &HeldPositions) -> Vec<u64> {
        let free = |position: u64| !job.done.get(position) && !held.contains(&job.record.job, position);
        let mut positions = Vec::new();
        while positions.len() < most {
            let (position, may_be_started) = match self.returned.pop_front() {
                Some(position) => (position, true),
                None if self.next < job.record.items => {
                    self.next += 1;
                    (self.next - 1, false)
                }
                None => break,
            };
            let startable = may_be_started || !job.started.get(position);
            if startable && free(position) && !positions.contains(&position) {
                positions.push(position);
            }
        }
        positions
    }
}
