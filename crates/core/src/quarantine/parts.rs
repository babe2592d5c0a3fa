//! Evaluates which prompt part crashed servers.
//!
//! Requests with such a part may have nothing else in common, so that none of their contents
//! crashes more than a server or two. A part is shared by many requests, most of them sound: a
//! single successful run with it clears it of all crashes before.

use super::entries::QuarantineStatus;
use super::evidence::{CRASHES_TO_QUARANTINE, CRASHES_TO_QUARANTINE_ALL, GROUP_LOSS_WINDOW};
use super::groups::{CrashGroups, CrashTime};
use crate::dispatch::ServerKey;
use crate::fingerprint::{Fingerprint, RequestKey};
use crate::time::Instant;
use std::collections::{HashMap, HashSet};

/// A part is not the cause if something more specific accounts for this share of its crashes:
/// a single content, or a part that follows it in the same prompts.
const NESTED_SHARE: f64 = 0.75;
/// Maximum number of parts that are retained of a crash.
const PART_LIMIT: usize = 1024;

/// A shared part of the prompt of a request that was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RunningPart {
    part: u64,
    request: Fingerprint,
}

/// Shared parts of the prompts of all requests that a crashed server was running.
#[derive(Debug, Default)]
pub(super) struct CrashedParts {
    running: Vec<RunningPart>,
    /// Parts of requests that have succeeded elsewhere. Further reports don't add them again.
    cleared: HashSet<u64>,
}

impl CrashedParts {
    /// Records the parts of a running request, in their order.
    pub(super) fn note(&mut self, request: Fingerprint, parts: &[RequestKey]) {
        for part in parts.iter().filter_map(|part| part.fingerprint.part()) {
            let running = RunningPart { part, request };
            let is_full = self.running.len() + self.cleared.len() >= PART_LIMIT;
            if !is_full && !self.cleared.contains(&part) && !self.running.contains(&running) {
                self.running.push(running);
            }
        }
    }

    /// Removes a part that is not the cause.
    pub(super) fn clear(&mut self, part: u64) {
        let before = self.running.len();
        self.running.retain(|running| running.part != part);
        if self.running.len() < before {
            self.cleared.insert(part);
        }
    }

    /// Whether a running request had this part.
    pub(super) fn contains(&self, part: u64) -> bool {
        self.running.iter().any(|running| running.part == part)
    }
}

/// A crash that may count against parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartCrash<'a> {
    pub(super) server: ServerKey,
    pub(super) at: Instant,
    pub(super) parts: &'a CrashedParts,
    /// The content that explains the crash, if one was quarantined for it. The crash then counts
    /// against the parts of this content only.
    pub(super) content: Option<Fingerprint>,
}

impl PartCrash<'_> {
    /// Parts of the requests against which the crash counts; those of a request are adjacent.
    fn running(&self) -> impl Iterator<Item = &RunningPart> {
        let counts = |running: &&RunningPart| self.content.is_none_or(|content| running.request == content);
        self.parts.running.iter().filter(counts)
    }

    /// Pairs of suspected parts of which the second one follows the first one in a prompt.
    fn nested_pairs(&self, suspects: &HashMap<u64, PartSuspect>) -> HashSet<(u64, u64)> {
        let suspected: Vec<&RunningPart> =
            self.running().filter(|running| suspects.contains_key(&running.part)).collect();
        let mut pairs = HashSet::new();
        for (place, first) in suspected.iter().enumerate() {
            let later = suspected[place + 1..].iter().take_while(|later| later.request == first.request);
            pairs.extend(later.map(|later| (first.part, later.part)));
        }
        pairs
    }
}

/// Evidence against one part.
#[derive(Debug, Default)]
struct PartSuspect {
    crashes: Vec<CrashTime>,
    /// Number of crashes under each content with the part.
    contents: HashMap<Fingerprint, usize>,
}

impl PartSuspect {
    /// Number of crashes, where those within [`GROUP_LOSS_WINDOW`] count once: servers that are
    /// lost together were running requests with a common part more often than not.
    fn counted(&self) -> usize {
        let mut times: Vec<Instant> = self.crashes.iter().map(|(at, _)| *at).collect();
        times.sort_unstable();
        let (mut windows, mut start) = (0, None);
        for at in times {
            if start.is_none_or(|start| at.since(start) > GROUP_LOSS_WINDOW) {
                windows += 1;
                start = Some(at);
            }
        }
        windows
    }

    /// Whether the evidence is strong without the crashes that don't count, or with them after
    /// twice as many: two parts may always crash servers at the same moments.
    fn is_strong_beside(&mut self, groups: &CrashGroups) -> bool {
        self.counted() >= CRASHES_TO_QUARANTINE_ALL || (self.keep_counting(groups) && self.is_strong())
    }

    /// Drops the crashes that don't count; returns whether there are others.
    fn keep_counting(&mut self, groups: &CrashGroups) -> bool {
        groups.retain_counting(&mut self.crashes);
        !self.crashes.is_empty()
    }

    fn includes(&self, server: ServerKey) -> bool {
        self.crashes.iter().any(|(_, crashed)| *crashed == server)
    }

    fn is_strong(&self) -> bool {
        let most_of_content = self.contents.values().copied().max().unwrap_or(0);
        self.counted() >= CRASHES_TO_QUARANTINE && !self.is_most(most_of_content)
    }

    /// Whether so many crashes are most of those under the part.
    fn is_most(&self, crashes: usize) -> bool {
        crashes as f64 >= self.crashes.len() as f64 * NESTED_SHARE
    }
}

/// Parts to quarantine, each with the servers that crashed under it: one on probation; else the
/// one with the most crashes if no other part explains these as well; else, with enough
/// crashes, all that explain them equally.
pub(super) fn find_crashing_parts(
    crashes: &[PartCrash<'_>],
    status: impl Fn(Fingerprint) -> QuarantineStatus,
) -> Vec<(RequestKey, Vec<ServerKey>)> {
    let mut suspects = suspects(crashes);
    let unexplained = crashes.iter().filter(|crash| crash.content.is_none());
    let groups = CrashGroups::of(unexplained.map(|crash| (crash.at, crash.server)).collect());
    let servers_of = |suspect: &PartSuspect| suspect.crashes.iter().map(|(_, server)| *server).collect();
    for (part, suspect) in &mut suspects {
        let key = RequestKey::of_part(*part);
        if status(key.fingerprint) == QuarantineStatus::OnProbation && suspect.keep_counting(&groups) {
            return vec![(key, servers_of(suspect))];
        }
    }
    suspects.retain(|_, suspect| suspect.is_strong() && suspect.is_strong_beside(&groups));
    let accounted_for = parts_accounted_for(crashes, &suspects);
    let causes: Vec<(u64, usize)> = suspects
        .iter()
        .filter(|(part, _)| !accounted_for.contains(part))
        .map(|(part, suspect)| (*part, suspect.counted()))
        .collect();
    let most = causes.iter().map(|(_, counted)| *counted).max().unwrap_or(0);
    let leaders: Vec<u64> = causes.iter().filter(|(_, counted)| *counted == most).map(|(part, _)| *part).collect();
    let shares_no_crash = |part: &&u64| {
        let others = leaders.iter().filter(|other| other != part);
        others.into_iter().all(|other| suspects[other].crashes.iter().all(|(_, at)| !suspects[*part].includes(*at)))
    };
    let chosen = match leaders.iter().find(shares_no_crash) {
        Some(part) => vec![*part],
        None if most >= CRASHES_TO_QUARANTINE_ALL => leaders,
        None => Vec::new(),
    };
    chosen.into_iter().map(|part| (RequestKey::of_part(part), servers_of(&suspects[&part]))).collect()
}

fn suspects(crashes: &[PartCrash<'_>]) -> HashMap<u64, PartSuspect> {
    let mut suspects: HashMap<u64, PartSuspect> = HashMap::new();
    for crash in crashes {
        // A prompt may list a part twice.
        let contents: HashSet<(u64, Fingerprint)> =
            crash.running().map(|running| (running.part, running.request)).collect();
        for (part, content) in contents {
            let suspect = suspects.entry(part).or_default();
            *suspect.contents.entry(content).or_default() += 1;
            if !suspect.includes(crash.server) {
                suspect.crashes.push((crash.at, crash.server));
            }
        }
    }
    suspects
}

/// Parts for most of whose crashes a later part of the same prompts accounts.
fn parts_accounted_for(crashes: &[PartCrash<'_>], suspects: &HashMap<u64, PartSuspect>) -> HashSet<u64> {
    let mut crashes_by_pair: HashMap<(u64, u64), usize> = HashMap::new();
    for pair in crashes.iter().flat_map(|crash| crash.nested_pairs(suspects)) {
        *crashes_by_pair.entry(pair).or_default() += 1;
    }
    let accounts_for =
        |((part, later), crashes): &((u64, u64), usize)| part != later && suspects[part].is_most(*crashes);
    crashes_by_pair.into_iter().filter(accounts_for).map(|((part, _), _)| part).collect()
}
