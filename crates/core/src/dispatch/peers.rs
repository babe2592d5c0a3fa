//! Reports of other nodes about their requests at the servers.
//!
//! Each node counts its own requests exactly; the sum over all nodes is the load of a server. A
//! report replaces the previous one of the same node and expires after [`REPORT_TTL`], so
//! nothing has to be reclaimed when a node fails.
//!
//! In large clusters, nodes don't report to all others: they report to the aggregators, which
//! return the sum over all nodes.

use super::own_reservations::OwnReservations;
use super::queues::{PeerQueues, RouteKey, RouteQueue};
use super::slowdown::SpeedUpdate;
use crate::identity::{stable_hash, HashKeyMap, NodeId};
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which a report is ignored.
pub const REPORT_TTL: Duration = Duration::from_millis(1500);

/// Time between two looks for expired reports while only reservations come.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a report after which a node no longer counts as covered or as a tracker.
const COVERAGE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which a node sends a report again that has not changed: well before the others
/// stop to count on the node.
pub const REPORT_REPEAT_INTERVAL: Duration = COVERAGE_TIMEOUT.checked_div(2).expect("not divided by zero");

/// Key of a server in messages between nodes: a short hash of the identity. Two servers with
/// the same key are assumed to have the load of both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u32);

impl ServerKey {
    /// Returns the key of a server's identity.
    pub fn of(id: &str) -> Self {
        Self(stable_hash(id.as_bytes()) as u32)
    }
}

impl std::fmt::Display for ServerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// One node's requests at one server, and its observations there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerShare {
    /// Key of the server.
    pub server: ServerKey,
    /// Requests in progress.
    pub requests: u32,
    /// Requests in progress that can be preempted.
    pub deferrable: u32,
    /// Prompt tokens of requests without a first piece of the answer yet.
    pub prompt_tokens: u32,
    /// Whether the node considers the server failed or unresponsive.
    pub suspect: bool,
    /// Percentage of requests that the server fails; zero if it is within the tolerance.
    pub failing: u32,
    /// Speed data for the server's tracker; empty in reports and sums.
    pub speed: SpeedUpdate,
}

/// Report of one node, or the sum of such reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeShares {
    /// Requests of the node, by server.
    pub servers: Vec<ServerShare>,
    /// Hashes of the services for which the node refused requests lately, in order.
    pub overloaded: Vec<u64>,
    /// Number of deferrable runs that the node would start if slots were free.
    pub waiting: u32,
    /// Unfinished batch work of the node, ordered by route.
    pub queues: Vec<RouteQueue>,
    /// Coverage of the node, by which trackers are selected.
    pub coverage: Coverage,
}

/// How many of the other nodes and workers a node receives reports from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Coverage {
    /// Fewer than half of the nodes.
    #[default]
    Few,
    /// At least half of the nodes, but fewer than half of the workers: the load of the servers
    /// is incomplete.
    Most,
    /// At least half of the nodes and half of the workers.
    Enough,
}

#[derive(Debug)]
struct Report {
    at: Instant,
    sequence: u64,
    shares: HashMap<ServerKey, ServerShare>,
    overloaded: Vec<u64>,
    waiting: u32,
    coverage: Coverage,
}

impl Report {
    /// State of a node that has not reported yet.
    fn empty(now: Instant) -> Self {
        Self {
            at: now,
            sequence: 0,
            shares: HashMap::new(),
            overloaded: Vec::new(),
            waiting: 0,
            coverage: Coverage::Few,
        }
    }
}

/// Part of the sum over all nodes, without this node's own share.
#[derive(Debug)]
struct SumPart {
    at: Instant,
    shares: HashMap<ServerKey, ServerShare>,
    overloaded: Vec<u64>,
    waiting: u32,
}

/// Part of the sum over all nodes that fits into one datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharesSum {
    /// Number of parts; the hash of a server selects its part.
    pub parts: usize,
    /// Index of this part, from zero.
    pub part: usize,
    /// Sum over all nodes, including the one that requested it.
    pub shares: NodeShares,
}

fn part_of(server: ServerKey, parts: usize) -> usize {
    server.0 as usize % parts.max(1)
}

/// Sum of all reports about one server, updated as reports arrive and expire.
#[derive(Debug, Default)]
struct Total {
    requests: u32,
    deferrable: u32,
    prompt_tokens: u32,
    /// Nodes that report the server as suspect or failing.
    warnings: Vec<Warning>,
}

#[derive(Clone, Copy, Debug)]
struct Warning {
    node: u64,
    at: Instant,
    suspect: bool,
    failing: u32,
}

impl Total {
    fn add(&mut self, node: u64, at: Instant, share: &ServerShare) {
        self.requests += share.requests;
        self.deferrable += share.deferrable;
        self.prompt_tokens = self.prompt_tokens.saturating_add(share.prompt_tokens);
        if share.suspect || share.failing > 0 {
            self.warnings.push(Warning { node, at, suspect: share.suspect, failing: share.failing });
        }
    }

    fn subtract(&mut self, node: u64, share: &ServerShare) {
        self.release(share);
        self.warnings.retain(|warning| warning.node != node);
    }

    fn release(&mut self, share: &ServerShare) {
        self.requests = self.requests.saturating_sub(share.requests);
        self.deferrable = self.deferrable.saturating_sub(share.deferrable);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(share.prompt_tokens);
    }

    fn is_empty(&self) -> bool {
        self.requests == 0 && self.prompt_tokens == 0 && self.warnings.is_empty()
    }

    fn share(&self) -> PeerShare {
        PeerShare {
            requests: self.requests,
            deferrable: self.deferrable,
            prompt_tokens: self.prompt_tokens,
            suspect_at: self.warnings.iter().filter(|warning| warning.suspect).map(|warning| warning.at).max(),
            failing: self.warnings.iter().map(|warning| warning.failing).max().unwrap_or(0),
        }
    }
}

/// Last report of each other node.
#[derive(Debug, Default)]
pub(super) struct PeerReports {
    reports: HashKeyMap<u64, Report>,
    /// Sums over the reports, by server.
    totals: HashMap<ServerKey, Total>,
    last_at: Instant,
    own_reservations: OwnReservations,
    expired_at: Instant,
    /// Parts of the last sum; empty if this node requests none.
    sum: Vec<Option<SumPart>>,
    queues: PeerQueues,
}

impl PeerReports {
    /// Records a report, unless a later one of the same node is present.
    pub(super) fn note(&mut self, now: Instant, from: NodeId, sequence: u64, reported: NodeShares) {
        if self.is_outdated(now, from, sequence) {
            return;
        }
        self.queues.note(now, from.0, &reported.queues);
        if let Some(former) = self.reports.remove(&from.0) {
            self.subtract_from_totals(from.0, &former);
        }
        let shares: HashMap<ServerKey, ServerShare> =
            reported.servers.into_iter().map(|share| (share.server, share)).collect();
        for share in shares.values() {
            self.totals.entry(share.server).or_default().add(from.0, now, share);
        }
        let (overloaded, waiting, coverage) = (reported.overloaded, reported.waiting, reported.coverage);
        let report = Report { at: now, sequence, shares, overloaded, waiting, coverage };
        self.reports.insert(from.0, report);
        self.last_at = now;
        self.expire(now);
    }

    /// Records the changes at some servers since the last report of a node.
    pub(super) fn note_changes(&mut self, now: Instant, from: NodeId, sequence: u64, changed: Vec<ServerShare>) {
        if self.is_outdated(now, from, sequence) {
            return;
        }
        let Some(report) = self.reports.get_mut(&from.0) else { return };
        report.sequence = sequence;
        self.last_at = now;
        for share in changed {
            let total = self.totals.entry(share.server).or_default();
            if let Some(former) = report.shares.remove(&share.server) {
                total.subtract(from.0, &former);
            }
            total.add(from.0, now, &share);
            if total.is_empty() {
                self.totals.remove(&share.server);
            }
            if share != (ServerShare { server: share.server, ..ServerShare::default() }) {
                report.shares.insert(share.server, share);
            }
        }
    }

    /// Counts a reserved request for a node until the node itself reports on the server.
    pub(super) fn note_reserved(&mut self, now: Instant, from: NodeId, reserved: &ServerShare) {
        let report = self.reports.entry(from.0).or_insert_with(|| Report::empty(now));
        let share = report
            .shares
            .entry(reserved.server)
            .or_insert(ServerShare { server: reserved.server, ..ServerShare::default() });
        share.add(reserved);
        self.last_at = now;
        self.totals.entry(reserved.server).or_default().add(from.0, now, reserved);
        self.expire_if_due(now);
    }

    /// Counts a reserved request of this node until the node sends it.
    pub(super) fn note_own_reserved(&mut self, now: Instant, own: NodeId, reserved: ServerShare) {
        self.last_at = now;
        self.totals.entry(reserved.server).or_default().add(own.0, now, &reserved);
        self.own_reservations.add(now, reserved);
        self.expire_if_due(now);
    }

    /// This node sent a request to a server: from now on it counts among the node's own.
    pub(super) fn note_own_sent(&mut self, server: ServerKey) {
        if let Some(reserved) = self.own_reservations.take_newest(server) {
            self.release(&reserved);
        }
    }

    fn release(&mut self, reserved: &ServerShare) {
        let Some(total) = self.totals.get_mut(&reserved.server) else { return };
        total.release(reserved);
        if total.is_empty() {
            self.totals.remove(&reserved.server);
        }
    }

    /// Returns the node with the most deferrable runs at a server and counts one less there;
    /// the node is expected to stop that run.
    pub(super) fn take_deferrable(&mut self, now: Instant, server: ServerKey) -> Option<NodeId> {
        let fresh = self.reports.iter_mut().filter(|(_, report)| now.since(report.at) < REPORT_TTL);
        let runs = fresh.filter_map(|(node, report)| report.shares.get_mut(&server).map(|share| (*node, share)));
        let (node, share) = runs.max_by_key(|(_, share)| share.deferrable).filter(|(_, share)| share.deferrable > 0)?;
        share.deferrable -= 1;
        share.requests = share.requests.saturating_sub(1);
        if let Some(total) = self.totals.get_mut(&server) {
            total.deferrable = total.deferrable.saturating_sub(1);
            total.requests = total.requests.saturating_sub(1);
        }
        Some(NodeId(node))
    }

    fn is_outdated(&self, now: Instant, from: NodeId, sequence: u64) -> bool {
        let present = self.reports.get(&from.0);
        present.is_some_and(|present| sequence <= present.sequence && now.since(present.at) < REPORT_TTL)
    }

    fn subtract_from_totals(&mut self, node: u64, report: &Report) {
        for share in report.shares.values() {
            let Some(total) = self.totals.get_mut(&share.server) else { continue };
            total.subtract(node, share);
            if total.is_empty() {
                self.totals.remove(&share.server);
            }
        }
    }

    /// Removes expired reports now and then: reservations come without any report too.
    fn expire_if_due(&mut self, now: Instant) {
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expire(now);
        }
    }

    /// Removes expired reports, and reservations of this node that it has not used.
    fn expire(&mut self, now: Instant) {
        self.expired_at = now;
        while let Some(unused) = self.own_reservations.take_unused(now, REPORT_TTL) {
            self.release(&unused);
        }
        let old = |report: &Report| now.since(report.at) >= REPORT_TTL;
        let nodes: Vec<u64> = self.reports.iter().filter(|(_, report)| old(report)).map(|(node, _)| *node).collect();
        for node in nodes {
            if let Some(report) = self.reports.remove(&node) {
                self.subtract_from_totals(node, &report);
            }
        }
    }

    /// Records a part of the sum over all nodes; `own` is what this node reported when it
    /// requested the sum.
    pub(super) fn note_sum(&mut self, now: Instant, sum: SharesSum, own: &NodeShares) {
        if self.sum.len() != sum.parts {
            self.sum = (0..sum.parts).map(|_| None).collect();
        }
        self.queues.note_sum(now, &sum.shares.queues, &own.queues);
        let Some(present) = self.sum.get_mut(sum.part) else { return };
        let mut shares: HashMap<ServerKey, ServerShare> =
            sum.shares.servers.into_iter().map(|share| (share.server, share)).collect();
        for reported in &own.servers {
            if let Some(share) = shares.get_mut(&reported.server) {
                share.subtract(reported);
            }
        }
        let waiting = sum.shares.waiting.saturating_sub(own.waiting);
        *present = Some(SumPart { at: now, shares, overloaded: sum.shares.overloaded, waiting });
    }

    /// Drops the sum; the direct reports are used instead.
    pub(super) fn forget_sum(&mut self) {
        self.sum.clear();
    }

    /// Adds up the recent reports of other nodes and this node's own.
    pub(super) fn sum_with(&self, now: Instant, own: NodeShares) -> NodeShares {
        let mut servers: HashMap<ServerKey, ServerShare> =
            own.servers.into_iter().map(|share| (share.server, share)).collect();
        let (mut overloaded, coverage) = (own.overloaded, own.coverage);
        let mut waiting = own.waiting;
        for report in self.fresh(now) {
            for (server, share) in &report.shares {
                servers.entry(*server).or_insert(ServerShare { server: *server, ..ServerShare::default() }).add(share);
            }
            overloaded.extend(&report.overloaded);
            waiting = waiting.saturating_add(report.waiting);
        }
        overloaded.sort_unstable();
        overloaded.dedup();
        let queues = self.queues.sum_with(now, &own.queues);
        NodeShares { servers: servers.into_values().collect(), overloaded, waiting, queues, coverage }
    }

    /// Whether another node reported that it refuses requests of a service.
    pub(super) fn is_overloaded_for(&self, now: Instant, service: u64) -> bool {
        let reported = self.fresh(now).any(|report| report.overloaded.contains(&service));
        let mut sums = self.sum.iter().flatten().filter(|part| now.since(part.at) < REPORT_TTL);
        reported || sums.any(|part| part.overloaded.contains(&service))
    }

    /// Deferrable runs that wait at other nodes by the last sum; `None` without a recent one.
    pub(super) fn waiting_by_sum(&self, now: Instant) -> Option<u32> {
        let mut sums = self.sum.iter().flatten().filter(|part| now.since(part.at) < REPORT_TTL);
        sums.next().map(|part| part.waiting)
    }

    /// Deferrable runs that wait at the nodes that report to this one directly.
    pub(super) fn waiting_reported(&self, now: Instant) -> u32 {
        self.fresh(now).map(|report| report.waiting).sum()
    }

    /// Tokens of unfinished batch work on a route at other nodes.
    pub(super) fn queued_tokens(&self, now: Instant, route: RouteKey) -> u64 {
        self.queues.tokens(now, route)
    }

    /// Deferrable runs that wait at one node by its last report; `None` without a recent one.
    pub(super) fn waiting_at(&self, now: Instant, node: NodeId) -> Option<u32> {
        self.reports.get(&node.0).filter(|report| now.since(report.at) < REPORT_TTL).map(|report| report.waiting)
    }

    /// Coverage that a node reported; `Few` without a recent report.
    pub(super) fn coverage_of(&self, now: Instant, node: NodeId) -> Coverage {
        let report = self.reports.get(&node.0).filter(|report| now.since(report.at) < COVERAGE_TIMEOUT);
        report.map_or(Coverage::Few, |report| report.coverage)
    }

    /// Coverage of this node among `nodes` nodes and these workers.
    pub(super) fn own_coverage(&self, now: Instant, nodes: usize, workers: &[NodeId]) -> Coverage {
        let is_recent = |report: &Report| now.since(report.at) < COVERAGE_TIMEOUT;
        let recent = self.reports.values().filter(|report| is_recent(report)).count();
        let of_workers = workers.iter().filter_map(|worker| self.reports.get(&worker.0));
        let recent_workers = of_workers.filter(|report| is_recent(report)).count();
        if recent * 2 < nodes {
            Coverage::Few
        } else if recent_workers * 2 < workers.len() {
            Coverage::Most
        } else {
            Coverage::Enough
        }
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.reports.values().filter(move |report| now.since(report.at) < REPORT_TTL)
    }

    /// Requests of all other nodes at a server. A fresh sum is used alone: it contains the
    /// direct reports, which must not count twice.
    pub(super) fn at(&self, now: Instant, server: ServerKey) -> PeerShare {
        let part = self.sum.get(part_of(server, self.sum.len())).and_then(Option::as_ref);
        let mut result = PeerShare::default();
        if let Some(part) = part.filter(|part| now.since(part.at) < REPORT_TTL) {
            if let Some(share) = part.shares.get(&server) {
                result.add(share, part.at);
            }
            return result;
        }
        // Without any recent report all totals are stale.
        if now.since(self.last_at) < REPORT_TTL {
            return self.totals.get(&server).map(Total::share).unwrap_or_default();
        }
        result
    }
}

/// Sum of all other nodes' requests and observations at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerShare {
    pub(super) requests: u32,
    pub(super) deferrable: u32,
    pub(super) prompt_tokens: u32,
    pub(super) suspect_at: Option<Instant>,
    pub(super) failing: u32,
}

impl PeerShare {
    fn add(&mut self, share: &ServerShare, reported_at: Instant) {
        self.requests += share.requests;
        self.deferrable += share.deferrable;
        self.prompt_tokens = self.prompt_tokens.saturating_add(share.prompt_tokens);
        self.failing = self.failing.max(share.failing);
        if share.suspect {
            self.suspect_at = self.suspect_at.max(Some(reported_at));
        }
    }
}

impl ServerShare {
    fn add(&mut self, other: &ServerShare) {
        self.requests += other.requests;
        self.deferrable += other.deferrable;
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.suspect |= other.suspect;
        self.failing = self.failing.max(other.failing);
    }

    fn subtract(&mut self, own: &ServerShare) {
        self.requests = self.requests.saturating_sub(own.requests);
        self.deferrable = self.deferrable.saturating_sub(own.deferrable);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(own.prompt_tokens);
    }
}

impl NodeShares {
    /// Splits the sum into parts of about `limit` servers; each part repeats the data that
    /// belongs to no server.
    pub fn into_parts(self, limit: usize) -> Vec<SharesSum> {
        let parts = self.servers.len().div_ceil(limit.max(1)).max(1);
        let part = |part| SharesSum {
            parts,
            part,
            shares: NodeShares {
                servers: Vec::new(),
                overloaded: self.overloaded.clone(),
                waiting: self.waiting,
                queues: self.queues.clone(),
                coverage: self.coverage,
            },
        };
        let mut sums: Vec<SharesSum> = (0..parts).map(part).collect();
        for share in self.servers {
            sums[part_of(share.server, parts)].shares.servers.push(share);
        }
        sums
    }
}
