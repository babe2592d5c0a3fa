//! Evaluates which request, or which part of prompts, crashed a server.

use super::entries::QuarantineStatus;
use super::parts::{find_crashing_parts, CrashedParts, PartCrash};
use crate::dispatch::ServerKey;
use crate::fingerprint::{Fingerprint, RequestKey};
use crate::time::Instant;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Number of crashes under a request, and under no other request that explains them as
/// well, after which it is quarantined. Two may be a coincidence for a request that ran on
/// the same servers as the cause.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes after which all requests that explain them equally well are quarantined.
pub(super) const CRASHES_TO_QUARANTINE_ALL: usize = 6;
/// Number of crashes under a request after which all nodes report its success. With two, a
/// request whose second crash has another cause could succeed at other nodes without a report.
const CRASHES_TO_WATCH: usize = 1;
/// Number of crashes under a request after which it is held while the last one is evaluated.
/// With fewer, many requests that only ran on the same servers as the cause would be held
/// and released together with it, and run with it again.
const CRASHES_TO_HOLD: usize = 3;
/// Time after the first report of a crash within which all nodes with requests there report
/// theirs: each tries the address up to twice, 150 ms apart. A crash is not evaluated earlier,
/// as the cause may be missing from the first reports.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Delay between the decisions of nodes that evaluate the same evidence, so that usually
/// only one of them sends an entry.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Nodes of this rank and beyond decide at the same time.
const MAX_RANK: usize = 8;
/// Minimum number of servers in a group loss: crashes within [`GROUP_LOSS_WINDOW`] without a
/// common request, as from a failed rack or a bad release. They count against no request.
const MIN_GROUP_LOSS: usize = 3;
pub(super) const GROUP_LOSS_WINDOW: Duration = Duration::from_millis(100);
/// Two crashes under a request within this time count once unless there is a third one: a
/// group loss may interrupt two copies of a harmless request, and is not recognised then as
/// its servers have a request in common. A retried request crashes its next server later.
const PAIR_WINDOW: Duration = Duration::from_millis(20);
/// Time for which a crash is retained.
const EVIDENCE_TTL: Duration = Duration::from_secs(3600);
/// Maximum number of retained crashes.
const CRASH_LIMIT: usize = 256;
/// Maximum number of requests of each crash.
const REQUEST_LIMIT: usize = 128;

#[derive(Debug)]
struct Crash {
    at: Instant,
    /// Time at which this node evaluates the crash.
    settled_at: Instant,
    requests: Vec<RequestKey>,
    /// Requests that have succeeded elsewhere. Further reports don't add them again.
    cleared: HashSet<Fingerprint>,
    /// Shared parts of the requests' prompts.
    parts: CrashedParts,
    /// The request or part that was quarantined for the crash, which counts against no other
    /// request.
    explained_by: Option<Fingerprint>,
    /// Whether the crash is part of a group loss and counts against no request; updated at
    /// each decision.
    lost: bool,
}

impl Crash {
    fn note_request(&mut self, request: RequestKey) {
        let already_listed = self.requests.contains(&request) || self.cleared.contains(&request.fingerprint);
        if !already_listed && self.requests.len() + self.cleared.len() < REQUEST_LIMIT {
            self.requests.push(request);
        }
    }

    fn clear(&mut self, request: Fingerprint) {
        if let Some(part) = request.part() {
            self.parts.clear(part);
            self.explained_by = self.explained_by.filter(|cause| *cause != request);
            return;
        }
        let before = self.requests.len();
        self.requests.retain(|present| present.fingerprint != request);
        if self.requests.len() < before {
            self.cleared.insert(request);
        }
    }

    /// Whether the crash has settled, without a quarantined request or group loss that
    /// explains it.
    fn is_unexplained(&self, now: Instant) -> bool {
        self.explained_by.is_none() && !self.lost && self.settled_at <= now
    }

    /// Whether the crash has settled, without a quarantined part that explains it.
    fn may_count_against_parts(&self, now: Instant) -> bool {
        self.settled_at <= now && self.explained_by.is_none_or(|cause| cause.part().is_none())
    }

    /// Whether a request, or one with this part, was running.
    fn was_running(&self, request: Fingerprint) -> bool {
        match request.part() {
            Some(part) => self.parts.contains(part),
            None => self.requests.iter().any(|present| present.fingerprint == request),
        }
    }

    /// A part may explain a crash although a content did before, but not the reverse.
    fn explain(&mut self, cause: Fingerprint) {
        if self.explained_by.is_none() || cause.part().is_some() {
            self.explained_by = Some(cause);
        }
    }
}

/// Evidence against one request.
#[derive(Debug)]
struct Suspect {
    /// Servers that crashed while they ran the request.
    servers: HashSet<ServerKey>,
    /// Number of crashes, where two within [`PAIR_WINDOW`] count once.
    counted: usize,
}

impl Suspect {
    fn of(mut crashes: Vec<(Instant, ServerKey)>) -> Self {
        crashes.sort_unstable();
        let windows = crashes.chunk_by(|(one, _), (next, _)| next.since(*one) <= PAIR_WINDOW);
        let counted = windows.map(|window| if window.len() == 2 { 1 } else { window.len() }).sum();
        Self { servers: crashes.iter().map(|(_, server)| *server).collect(), counted }
    }
}

/// Decisions that follow from the evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Requests to quarantine, each with the servers that crashed under it.
    pub quarantine: Vec<(RequestKey, Vec<ServerKey>)>,
    /// Requests whose success must be reported.
    pub watch: Vec<RequestKey>,
    /// Newly detected group losses: servers that crashed together without a common request.
    pub lost: Vec<Vec<ServerKey>>,
}

/// Crashed servers, and the requests that they were running.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: HashMap<ServerKey, Crash>,
    /// Crashed servers in the order of their first reports.
    order: VecDeque<ServerKey>,
    decide_at: Option<Instant>,
}

impl CrashEvidence {
    /// Records that a server crashed while it ran `requests`, and possibly others. `rank` is
    /// the rank of this node among those that evaluate the same evidence. Returns whether
    /// this is the first report of the crash.
    pub fn note_crash(
        &mut self,
        now: Instant,
        server: ServerKey,
        requests: &[RequestKey],
        rank: usize,
        status: impl Fn(Fingerprint) -> QuarantineStatus,
    ) -> bool {
        self.drop_old(now);
        let is_first_report = !self.crashes.contains_key(&server);
        let crash = self.crashes.entry(server).or_insert_with(|| {
            self.order.push_back(server);
            let settled_at = now + SETTLE_TIME + RANK_DELAY * rank.min(MAX_RANK) as u32;
            Crash {
                at: now,
                settled_at,
                requests: Vec::new(),
                cleared: HashSet::new(),
                parts: CrashedParts::default(),
                explained_by: None,
                lost: false,
            }
        });
        let before = crash.requests.len();
        for request in requests {
            crash.note_request(*request);
        }
        let is_quarantined = |request: &&RequestKey| status(request.fingerprint) == QuarantineStatus::Quarantined;
        if let Some(cause) = requests.iter().find(is_quarantined) {
            crash.explain(cause.fingerprint);
        }
        if crash.requests.len() > before && crash.explained_by.is_none() {
            let due = crash.settled_at.max(now);
            self.decide_at = Some(self.decide_at.map_or(due, |at| at.min(due)));
        }
        is_first_report
    }

    /// Records the shared parts of a request's prompt, which was running at a server when it
    /// crashed.
    pub fn note_parts(
        &mut self,
        server: ServerKey,
        request: Fingerprint,
        parts: &[RequestKey],
        status: impl Fn(Fingerprint) -> QuarantineStatus,
    ) {
        let Some(crash) = self.crashes.get_mut(&server) else { return };
        crash.parts.note(request, parts);
        let is_quarantined = |part: &&RequestKey| status(part.fingerprint) == QuarantineStatus::Quarantined;
        if let Some(cause) = parts.iter().find(is_quarantined) {
            crash.explain(cause.fingerprint);
        }
    }

    /// Number of crashes under a request, if they are enough to hold it while the last one is
    /// evaluated.
    pub fn crashes_for_hold(&self, request: Fingerprint) -> Option<usize> {
        let counts = |crash: &&Crash| crash.explained_by.is_none() && !crash.lost;
        let crashes = self.crashes.values().filter(counts).filter(|crash| crash.was_running(request)).count();
        (crashes >= CRASHES_TO_HOLD).then_some(crashes)
    }

    /// Time at which [`Self::decide`] is due; `None` without new evidence.
    pub fn decide_at(&self) -> Option<Instant> {
        self.decide_at
    }

    /// Records that a request succeeded, which removes it from all crashes.
    pub fn note_success(&mut self, request: Fingerprint) {
        for crash in self.crashes.values_mut() {
            crash.clear(request);
        }
    }

    /// Records that a request was quarantined for the crashes of `servers`. These and all
    /// other crashes under the request count against no other request.
    pub fn note_quarantined(&mut self, request: Fingerprint, servers: &[ServerKey]) {
        for (server, crash) in &mut self.crashes {
            if crash.was_running(request) || servers.contains(server) {
                crash.explain(request);
            }
        }
    }

    /// Evaluates all crashes that have settled.
    pub fn decide(&mut self, now: Instant, status: impl Fn(Fingerprint) -> QuarantineStatus) -> Decisions {
        self.decide_at = self.crashes.values().map(|crash| crash.settled_at).filter(|at| *at > now).min();
        let mut decisions = Decisions { lost: self.find_group_losses(now), ..Decisions::default() };
        loop {
            let suspects = self.suspects(now);
            let causes = find_causes(&suspects, &status);
            if causes.is_empty() {
                if self.decide_on_parts(now, &mut decisions, &status) {
                    continue;
                }
                let watched = suspects.into_iter().filter(|(_, suspect)| suspect.servers.len() >= CRASHES_TO_WATCH);
                decisions.watch = watched.map(|(request, _)| request).collect();
                return decisions;
            }
            for request in causes {
                let servers: Vec<ServerKey> = suspects[&request].servers.iter().copied().collect();
                self.note_quarantined(request.fingerprint, &servers);
                decisions.quarantine.push((request, servers));
            }
        }
    }

    /// Decides which parts are quarantined; returns whether there are any.
    fn decide_on_parts(
        &mut self,
        now: Instant,
        decisions: &mut Decisions,
        status: impl Fn(Fingerprint) -> QuarantineStatus,
    ) -> bool {
        let counting = self.crashes.iter().filter(|(_, crash)| crash.may_count_against_parts(now));
        let crashes: Vec<PartCrash<'_>> = counting
            .map(|(server, crash)| PartCrash {
                server: *server,
                at: crash.at,
                parts: &crash.parts,
                content: crash.explained_by,
            })
            .collect();
        let causes = find_crashing_parts(&crashes, status);
        let is_any = !causes.is_empty();
        for (part, servers) in causes {
            self.note_quarantined(part.fingerprint, &servers);
            decisions.quarantine.push((part, servers));
        }
        is_any
    }

    /// Requests with the unexplained crashes under them.
    fn suspects(&self, now: Instant) -> HashMap<RequestKey, Suspect> {
        let mut crashes: HashMap<RequestKey, Vec<(Instant, ServerKey)>> = HashMap::new();
        for (server, crash) in self.crashes.iter().filter(|(_, crash)| crash.is_unexplained(now)) {
            for request in &crash.requests {
                crashes.entry(*request).or_default().push((crash.at, *server));
            }
        }
        crashes.into_iter().map(|(request, crashes)| (request, Suspect::of(crashes))).collect()
    }

    /// Marks crashes that are part of a group loss. Returns the groups with a crash that was
    /// not marked before.
    fn find_group_losses(&mut self, now: Instant) -> Vec<Vec<ServerKey>> {
        let settled = self.crashes.iter().filter(|(_, crash)| crash.settled_at <= now && crash.explained_by.is_none());
        let mut settled: Vec<(Instant, ServerKey)> = settled.map(|(server, crash)| (crash.at, *server)).collect();
        settled.sort_unstable();
        let crashes = self.crashes_by_request();
        let mut groups: Vec<Vec<ServerKey>> = Vec::new();
        let mut first = 0;
        while first < settled.len() {
            let start = settled[first].0;
            let count = settled[first..].iter().take_while(|(at, _)| at.since(start) <= GROUP_LOSS_WINDOW).count();
            let group = &settled[first..first + count];
            if count < MIN_GROUP_LOSS || self.share_a_request(group) || self.each_has_suspect(group, &crashes) {
                first += 1;
                continue;
            }
            groups.push(group.iter().map(|(_, server)| *server).collect());
            first += count;
        }
        let lost: HashSet<ServerKey> = groups.iter().flatten().copied().collect();
        groups.retain(|group| group.iter().any(|server| self.crashes.get(server).is_some_and(|crash| !crash.lost)));
        for (server, crash) in &mut self.crashes {
            crash.lost = lost.contains(server);
        }
        groups
    }

    /// Number of crashes under each request.
    fn crashes_by_request(&self) -> HashMap<RequestKey, usize> {
        let mut crashes: HashMap<RequestKey, usize> = HashMap::new();
        for request in self.crashes.values().flat_map(|crash| &crash.requests) {
            *crashes.entry(*request).or_default() += 1;
        }
        crashes
    }

    /// Whether each server of a group was running a request with enough crashes to be
    /// quarantined.
    fn each_has_suspect(&self, group: &[(Instant, ServerKey)], crashes: &HashMap<RequestKey, usize>) -> bool {
        let is_suspect = |request: &RequestKey| crashes[request] >= CRASHES_TO_QUARANTINE;
        group
            .iter()
            .filter_map(|(_, server)| self.crashes.get(server))
            .all(|crash| crash.requests.iter().any(is_suspect))
    }

    fn share_a_request(&self, group: &[(Instant, ServerKey)]) -> bool {
        let mut seen = HashSet::new();
        let crashes = group.iter().filter_map(|(_, server)| self.crashes.get(server));
        crashes.flat_map(|crash| &crash.requests).any(|request| !seen.insert(request))
    }

    fn drop_old(&mut self, now: Instant) {
        let is_old = |crash: &Crash| now.since(crash.at) > EVIDENCE_TTL;
        while let Some(first) = self.order.front().copied() {
            let old = self.crashes.get(&first).is_none_or(is_old);
            if !old && self.crashes.len() < CRASH_LIMIT {
                return;
            }
            self.order.pop_front();
            self.crashes.remove(&first);
        }
    }
}

/// Requests to quarantine: one on probation; else the one with the most crashes if no other
/// request explains these as well; else, with enough crashes, all that explain them equally.
fn find_causes(
    suspects: &HashMap<RequestKey, Suspect>,
    status: impl Fn(Fingerprint) -> QuarantineStatus,
) -> Vec<RequestKey> {
    let on_probation = suspects.keys().find(|request| status(request.fingerprint) == QuarantineStatus::OnProbation);
    if let Some(request) = on_probation {
        return vec![*request];
    }
    let most = suspects.values().map(|suspect| suspect.counted).max().unwrap_or(0);
    if most < CRASHES_TO_QUARANTINE {
        return Vec::new();
    }
    let leaders: Vec<(&RequestKey, &Suspect)> =
        suspects.iter().filter(|(_, suspect)| suspect.counted == most).collect();
    let has_disjoint_servers = |(request, suspect): &&(&RequestKey, &Suspect)| {
        let mut others = leaders.iter().filter(|(other, _)| other != request);
        others.all(|(_, other)| other.servers.is_disjoint(&suspect.servers))
    };
    match leaders.iter().find(has_disjoint_servers) {
        Some((request, _)) => vec![**request],
        None if most >= CRASHES_TO_QUARANTINE_ALL => leaders.iter().map(|(request, _)| **request).collect(),
        None => Vec::new(),
    }
}
