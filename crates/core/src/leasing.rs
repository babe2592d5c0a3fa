//! Leases of batch items, granted by the leader of a store group to owners.
//!
//! Leases are soft state. Each request of the holder renews them; when they expire, their
//! items are granted again, and the first committed completion wins. Items that must not
//! run twice are not granted again: they get the outcome `unknown`.
//!
//! A holder that abandons a lease request reports it with its next requests. Items granted
//! to that request did not run, although their start may be committed, so they are
//! granted again. Each committed start contains its request, so this also works after a
//! change of leader.
//!
//! A new leader has no leases. If jobs are open at its election, it grants nothing for one
//! lease duration and restores the leases that holders report.

use crate::identity::NodeId;
use crate::jobs::{Job, JobState};
use crate::time::Instant;
use latchwheel_protocol::v1::HeldChunk;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Time without renewal after which a lease expires.
pub const LEASE_LENGTH: Duration = Duration::from_secs(3);
/// Timeout of a lease request, after which its holder abandons it. Two calls to an
/// unresponsive leader and a backoff of 250 ms must fit into the time in which the next
/// leader grants nothing. Otherwise that leader would treat the started items of all
/// holders as unknown.
pub const LEASE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A holder that renewed within this time counts as present, whatever membership reports:
/// a node that returns from a network partition reports all others as dead. Holders renew
/// every 750 ms.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a holder reports, and a leader remembers, an abandoned request. Covers
/// several repeated elections (2.4 s each) and the maximum delay of a message (6 s).
pub const ABANDONED_REPORT_TIME: Duration = Duration::from_secs(30);
/// Maximum number of items in one grant.
const CHUNK_ITEMS: usize = 64;

/// Items of one job under one lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identity of the lease.
    pub lease: u64,
    /// The job.
    pub job: String,
    /// Positions of the items.
    pub positions: Vec<u64>,
}

/// Node and request that a lease is granted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequester {
    /// The node.
    pub node: NodeId,
    /// Lease request, unique over all nodes; zero if there is none.
    pub request: u64,
}

/// A row and its weight among the rows of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowWeight<'a> {
    /// The row.
    pub row: &'a str,
    /// Its weight.
    pub weight: f64,
}

/// Items of expired leases that are not granted again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lapsed {
    /// Items by job that must not run twice and whose outcome is unknown.
    pub unknown: Vec<(String, Vec<u64>)>,
}

#[derive(Debug)]
struct Lease {
    node: NodeId,
    /// Request that the lease was granted to; zero if an earlier leader granted it.
    request: u64,
    job: String,
    positions: BTreeSet<u64>,
    expires_at: Instant,
}

impl Lease {
    /// Whether the holder has not renewed the lease within the contact timeout.
    fn has_missed_renewal(&self, now: Instant) -> bool {
        now + LEASE_LENGTH >= self.expires_at + CONTACT_TIMEOUT
    }
}

/// Items of a job that may be granted next.
#[derive(Debug, Default)]
struct JobCursor {
    /// First position that was not granted yet.
    next: u64,
    /// Positions that were returned, reclaimed or expired.
    returned: VecDeque<u64>,
}

/// Leases of a store group, held by its leader.
#[derive(Debug)]
pub struct Leasing {
    granting_from: Instant,
    next_lease: u64,
    leases: HashMap<u64, Lease>,
    held: HeldPositions,
    cursors: HashMap<String, JobCursor>,
    /// Jobs with items to grant, per row, by deadline.
    open: BTreeMap<String, BTreeSet<(u64, String)>>,
    /// Abandoned requests, with the time at which they are forgotten.
    abandoned: HashMap<u64, Instant>,
    /// Whether all entries of earlier leaders are applied.
    has_applied_own_term: bool,
}

impl Leasing {
    /// Creates the state of a new leader of this term.
    pub fn new(now: Instant, term: u64, state: &JobState) -> Self {
        let may_be_held = state.jobs().any(|job| !job.has_ended());
        let mut leasing = Self {
            granting_from: if may_be_held { now + LEASE_LENGTH } else { now },
            next_lease: term << 32,
            leases: HashMap::new(),
            held: HeldPositions::default(),
            cursors: HashMap::new(),
            open: BTreeMap::new(),
            abandoned: HashMap::new(),
            has_applied_own_term: false,
        };
        for job in state.jobs().filter(|job| !job.has_ended()) {
            leasing.open_job(job);
        }
        leasing
    }

    /// Makes the items of a job available for grants.
    pub fn open_job(&mut self, job: &Job) {
        let record = &job.record;
        self.cursors.entry(record.job.clone()).or_default();
        self.open.entry(record.row.clone()).or_default().insert((record.deadline_seconds, record.job.clone()));
    }

    /// Drops the leases of an ended job and stops granting its items.
    pub fn close_job(&mut self, job: &Job) {
        let record = &job.record;
        self.cursors.remove(&record.job);
        if let Some(jobs) = self.open.get_mut(&record.row) {
            jobs.remove(&(record.deadline_seconds, record.job.clone()));
        }
        self.leases.retain(|_, lease| lease.job != record.job);
        self.held.forget(&record.job);
    }

    /// Renews the leases of a node and restores those of an earlier leader. Returns the
    /// ended or missing jobs, which the node should stop.
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
        let expires_at = now + LEASE_LENGTH;
        if let Some(lease) = self.leases.get_mut(&chunk.lease) {
            lease.expires_at = expires_at;
            return;
        }
        let positions: BTreeSet<u64> =
            chunk.positions.iter().copied().filter(|position| !job.done.get(*position)).collect();
        if now < self.granting_from && !positions.is_empty() {
            self.held.hold(&chunk.job, positions.iter().copied());
            self.leases.insert(chunk.lease, Lease { node, request: 0, job: chunk.job.clone(), positions, expires_at });
        }
    }

    /// Records that an entry of this leader's term, and so all entries before it, are
    /// applied.
    pub fn note_own_term_applied(&mut self) {
        self.has_applied_own_term = true;
    }

    /// Reclaims the items granted to requests that their holder abandoned; these items
    /// did not run.
    pub fn reclaim(&mut self, now: Instant, node: NodeId, abandoned: &[u64], state: &JobState) {
        for request in abandoned {
            self.abandoned.insert(*request, now + ABANDONED_REPORT_TIME);
        }
        let is_lost = |lease: &Lease| lease.request != 0 && lease.node == node && abandoned.contains(&lease.request);
        let lost: Vec<u64> = self.leases.iter().filter(|(_, lease)| is_lost(lease)).map(|(id, _)| *id).collect();
        for id in lost {
            let Some(lease) = self.leases.remove(&id) else { continue };
            let positions: Vec<u64> = lease.positions.into_iter().collect();
            self.held.release(&lease.job, &positions);
            if let Some(job) = state.job(&lease.job) {
                self.make_available(job, &positions);
            }
        }
    }

    /// Grants up to `max_items` items of several rows to a node. Each row gets a share by
    /// weight; unused shares go to the other rows.
    pub fn grant_shared(
        &mut self,
        now: Instant,
        requester: LeaseRequester,
        rows: &[RowWeight<'_>],
        max_items: usize,
        state: &JobState,
    ) -> Vec<Grant> {
        let weights: f64 = rows.iter().map(|row| row.weight).sum();
        let mut remaining = max_items;
        let mut grants = Vec::new();
        for row in rows {
            let share = (max_items as f64 * row.weight / weights).ceil() as usize;
            let granted = self.grant(now, requester, row.row, share.min(remaining), state);
            remaining -= granted.iter().map(|grant| grant.positions.len()).sum::<usize>();
            grants.extend(granted);
        }
        for row in rows {
            let granted = self.grant(now, requester, row.row, remaining, state);
            remaining -= granted.iter().map(|grant| grant.positions.len()).sum::<usize>();
            grants.extend(granted);
        }
        grants
    }

    /// Rows with items to grant.
    pub fn open_rows(&self) -> Vec<String> {
        self.open.iter().filter(|(_, jobs)| !jobs.is_empty()).map(|(row, _)| row.clone()).collect()
    }

    /// Grants up to `max_items` items of a row to a node, by deadline of their jobs.
    /// Grants nothing while leases of an earlier leader may be valid, and nothing to an
    /// abandoned request.
    pub fn grant(
        &mut self,
        now: Instant,
        requester: LeaseRequester,
        row: &str,
        max_items: usize,
        state: &JobState,
    ) -> Vec<Grant> {
        let mut grants = Vec::new();
        if now < self.granting_from || max_items == 0 || self.abandoned.contains_key(&requester.request) {
            return grants;
        }
        let Some(open) = self.open.get_mut(row) else { return grants };
        let mut remaining = max_items;
        let mut exhausted = Vec::new();
        for (deadline, name) in open.iter() {
            if remaining == 0 {
                break;
            }
            let (Some(job), Some(cursor)) = (state.job(name), self.cursors.get_mut(name)) else {
                exhausted.push((*deadline, name.clone()));
                continue;
            };
            let positions = cursor.take(job, remaining, &self.held);
            if positions.len() < remaining {
                exhausted.push((*deadline, name.clone()));
            }
            remaining -= positions.len();
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
            let LeaseRequester { node, request } = requester;
            let lease = Lease { node, request, job: grant.job.clone(), positions, expires_at: now + LEASE_LENGTH };
            self.leases.insert(grant.lease, lease);
        }
        grants
    }

    /// Removes items with a committed result from all leases.
    pub fn note_completed(&mut self, job: &str, positions: &[u64]) {
        self.held.release(job, positions);
        for lease in self.leases.values_mut().filter(|lease| lease.job == job) {
            for position in positions {
                lease.positions.remove(position);
            }
        }
        self.leases.retain(|_, lease| !lease.positions.is_empty());
    }

    /// Makes items available again that their holder returns without a start. Items that
    /// are no longer under this lease are ignored: a late or repeated message must not
    /// take an item from its next holder.
    pub fn return_items(&mut self, node: NodeId, chunk: &HeldChunk, job: &Job) {
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
        self.make_available(job, &positions);
    }

    fn make_available(&mut self, job: &Job, positions: &[u64]) {
        if job.has_ended() || positions.is_empty() {
            return;
        }
        self.open_job(job);
        if let Some(cursor) = self.cursors.get_mut(&job.record.job) {
            cursor.returned.extend(positions);
        }
    }

    /// Removes expired leases, and those of absent holders after the contact timeout.
    pub fn expire(&mut self, now: Instant, state: &JobState, is_present: impl Fn(NodeId) -> bool) -> Lapsed {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now || (lease.has_missed_renewal(now) && !is_present(lease.node)))
            .map(|(id, _)| *id)
            .collect();
        let mut lapsed = Lapsed::default();
        for id in expired {
            let Some(lease) = self.leases.remove(&id) else { continue };
            let positions: Vec<u64> = lease.positions.into_iter().collect();
            self.held.release(&lease.job, &positions);
            let Some(job) = state.job(&lease.job).filter(|job| !job.has_ended()) else { continue };
            if job.record.repeatable {
                self.make_available(job, &positions);
            } else {
                lapsed.unknown.push((lease.job, positions));
            }
        }
        if now >= self.granting_from {
            lapsed.unknown.extend(self.resolve_orphans(state));
        }
        self.abandoned.retain(|_, expires_at| *expires_at > now);
        lapsed
    }

    /// Makes orphans of abandoned requests available again; returns the others, whose
    /// outcome is unknown.
    fn resolve_orphans(&mut self, state: &JobState) -> Vec<(String, Vec<u64>)> {
        let mut unknown = Vec::new();
        for (name, positions) in self.orphans(state) {
            let Some(job) = state.job(&name) else { continue };
            let was_abandoned = |position: &u64| {
                job.start_requests.get(position).is_some_and(|request| self.abandoned.contains_key(request))
            };
            let (not_run, lost): (Vec<u64>, Vec<u64>) = positions.into_iter().partition(was_abandoned);
            // Until all earlier entries are applied, the log may contain a later start of
            // the item by a holder that runs it.
            if self.has_applied_own_term {
                self.make_available(job, &not_run);
            }
            if !lost.is_empty() {
                unknown.push((name, lost));
            }
        }
        unknown
    }

    /// Started items of jobs that must not run twice, without a lease: an earlier leader
    /// granted them, and their holder has not reported them to this leader.
    fn orphans(&self, state: &JobState) -> Vec<(String, Vec<u64>)> {
        let mut orphans = Vec::new();
        for (name, cursor) in &self.cursors {
            let Some(job) = state.job(name).filter(|job| !job.record.repeatable) else { continue };
            let is_orphan = |position: &u64| {
                job.started.get(*position)
                    && !job.done.get(*position)
                    && !cursor.returned.contains(position)
                    && !self.held.contains(name, *position)
            };
            let positions: Vec<u64> = (0..job.record.items).filter(is_orphan).collect();
            if !positions.is_empty() {
                orphans.push((name.clone(), positions));
            }
        }
        orphans
    }

    /// Number of items under leases.
    pub fn held_items(&self) -> usize {
        self.leases.values().map(|lease| lease.positions.len()).sum()
    }
}

/// Index of the positions under any lease, by job.
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
    /// Takes up to `max_items` items that are neither done, started nor held. Returned items
    /// did not run, so they are taken in spite of their committed start.
    fn take(&mut self, job: &Job, max_items: usize, held: &HeldPositions) -> Vec<u64> {
        let free = |position: u64| !job.done.get(position) && !held.contains(&job.record.job, position);
        let mut positions = Vec::new();
        while positions.len() < max_items {
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
