//! Weighing which request ended a server.

use super::entries::QuarantineStatus;
use crate::dispatch::ServerKey;
use crate::fingerprint::{Fingerprint, RequestKey};
use crate::time::Instant;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Servers that must have ended under a request, and under no other that explains them
/// as well, before it is quarantined. Two may be chance for a request that ran beside
/// the cause (`core/tests/quarantine.rs` has the figures).
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// With so many servers a request is quarantined even if others explain them as well.
const CRASHES_TO_QUARANTINE_ALL: usize = 6;
/// Servers that ended under a request before its good end is asked for. With two, one
/// whose second end is explained would run to its end at other nodes without a word of it.
const CRASHES_TO_WATCH: usize = 1;
/// Servers that ended under a request before it waits until the last end is weighed. With
/// fewer, much that only ran beside a cause would wait for the same moments as the cause,
/// and run beside it again.
const CRASHES_TO_HOLD: usize = 3;
/// After the first word of a server's end all nodes that had work there tell of it within
/// this time: each tries its address up to twice, 150 ms apart. An end is not weighed
/// before: whoever is told of late would go free, and who ran beside it be held for it.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Nodes that weigh the same evidence decide one after the other, so that mostly one
/// of them tells the verdict.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Nodes of this rank and beyond decide at the same time.
const MAX_RANK: usize = 8;
/// So many servers that end within this time, and of which no two worked on the same
/// request, were lost together: a rack, a zone, a release that went wrong. No request is
/// held for it.
const MIN_GROUP_LOSS: usize = 3;
const GROUP_LOSS_WINDOW: Duration = Duration::from_millis(100);
/// Two servers that end within this time under one request, which ran at no third one of
/// that moment, count once: a fault cuts two copies of a harmless request as well. Its
/// servers have a request in common then, and of idle ones nobody tells, so that they
/// don't count as lost together. A request that goes on elsewhere ends its next server as
/// long after the first as it takes to run; one word of an end takes 10 ms.
const PAIR_WINDOW: Duration = Duration::from_millis(20);
/// Evidence is kept for this time.
const EVIDENCE_TTL: Duration = Duration::from_secs(3600);
/// Ended servers that are kept at most, and requests of each.
const CRASH_LIMIT: usize = 256;
const REQUEST_LIMIT: usize = 128;

#[derive(Debug)]
struct Crash {
    at: Instant,
    /// When all nodes have told of it.
    settled_at: Instant,
    requests: Vec<RequestKey>,
    /// Requests that ran to their end elsewhere; news that come again don't count.
    cleared: HashSet<Fingerprint>,
    /// A quarantined request was among them: no other request is held to be the cause.
    explained: bool,
    /// The server was lost with others, as far as can be told: no request is held to be
    /// the cause. Three causes that come again at the same pace look so until each of them
    /// has come often enough.
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
        let before = self.requests.len();
        self.requests.retain(|present| present.fingerprint != request);
        if self.requests.len() < before {
            self.cleared.insert(request);
        }
    }

    /// Whether it has settled and nothing explains it.
    fn is_unexplained(&self, now: Instant) -> bool {
        !self.explained && !self.lost && self.settled_at <= now
    }
}

/// What speaks against one request.
#[derive(Debug)]
struct Suspect {
    /// Servers that ended under it.
    servers: HashSet<ServerKey>,
    /// How many of these ends count.
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

/// What follows from the evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Requests to quarantine, and the servers that ended under each.
    pub quarantine: Vec<(RequestKey, Vec<ServerKey>)>,
    /// Requests whose good end is to be told.
    pub watch: Vec<RequestKey>,
    /// Servers that were lost together, group by group.
    pub lost: Vec<Vec<ServerKey>>,
}

/// Servers that ended, and the requests under which they did.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: HashMap<ServerKey, Crash>,
    /// Servers in the order in which their ends were heard of.
    order: VecDeque<ServerKey>,
    decide_at: Option<Instant>,
}

impl CrashEvidence {
    /// A server ended while it worked on these requests, among others maybe. `rank` is
    /// this node's place among those that weigh the same evidence. Gives back whether
    /// this is the first word of it.
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
            Crash { at: now, settled_at, requests: Vec::new(), cleared: HashSet::new(), explained: false, lost: false }
        });
        let before = crash.requests.len();
        for request in requests {
            crash.note_request(*request);
        }
        crash.explained |= requests.iter().any(|request| status(request.fingerprint) == QuarantineStatus::Quarantined);
        if crash.requests.len() > before && !crash.explained {
            let due = crash.settled_at.max(now);
            self.decide_at = Some(self.decide_at.map_or(due, |at| at.min(due)));
        }
        is_first_report
    }

    /// How many servers have ended under a request, if it is to be held while the last end
    /// is weighed.
    pub fn crashes_for_hold(&self, request: Fingerprint) -> Option<usize> {
        let counts = |crash: &&Crash| !crash.explained && !crash.lost;
        let ran_there = |crash: &&Crash| crash.requests.iter().any(|present| present.fingerprint == request);
        let crashes = self.crashes.values().filter(counts).filter(ran_there).count();
        (crashes >= CRASHES_TO_HOLD).then_some(crashes)
    }

    /// Time at which to decide; `None` if there is nothing new.
    pub fn decide_at(&self) -> Option<Instant> {
        self.decide_at
    }

    /// A request ran to its end, so that it ended no server.
    pub fn note_success(&mut self, request: Fingerprint) {
        for crash in self.crashes.values_mut() {
            crash.clear(request);
        }
    }

    /// A request was quarantined elsewhere: the ends of these servers, and of all under
    /// which it ran, are explained.
    pub fn note_quarantined(&mut self, request: Fingerprint, servers: &[ServerKey]) {
        for (server, crash) in &mut self.crashes {
            let ran_there = crash.requests.iter().any(|present| present.fingerprint == request);
            crash.explained |= ran_there || servers.contains(server);
        }
    }

    /// Decides by all that has settled.
    pub fn decide(&mut self, now: Instant, status: impl Fn(Fingerprint) -> QuarantineStatus) -> Decisions {
        self.decide_at = self.crashes.values().map(|crash| crash.settled_at).filter(|at| *at > now).min();
        let mut decisions = Decisions { lost: self.find_group_losses(now), ..Decisions::default() };
        loop {
            let suspects = self.suspects(now);
            let causes = find_causes(&suspects, &status);
            if causes.is_empty() {
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

    /// Requests with the servers that ended under them, where nothing explains that.
    fn suspects(&self, now: Instant) -> HashMap<RequestKey, Suspect> {
        let mut crashes: HashMap<RequestKey, Vec<(Instant, ServerKey)>> = HashMap::new();
        for (server, crash) in self.crashes.iter().filter(|(_, crash)| crash.is_unexplained(now)) {
            for request in &crash.requests {
                crashes.entry(*request).or_default().push((crash.at, *server));
            }
        }
        crashes.into_iter().map(|(request, crashes)| (request, Suspect::of(crashes))).collect()
    }

    /// Tells which servers were lost together; gives back the groups that were not known.
    fn find_group_losses(&mut self, now: Instant) -> Vec<Vec<ServerKey>> {
        let settled = self.crashes.iter().filter(|(_, crash)| crash.settled_at <= now && !crash.explained);
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

    /// How many servers ended under each request.
    fn crashes_by_request(&self) -> HashMap<RequestKey, usize> {
        let mut crashes: HashMap<RequestKey, usize> = HashMap::new();
        for request in self.crashes.values().flat_map(|crash| &crash.requests) {
            *crashes.entry(*request).or_default() += 1;
        }
        crashes
    }

    /// Whether each of these servers ended under a request that would be quarantined for
    /// the servers that ended under it.
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

/// Requests that are a cause as far as can be told: one that nothing else explains as
/// well, or all of those between which even much evidence does not decide.
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
