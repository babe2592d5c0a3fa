//! Software versions of servers.
//!
//! Servers of one service may run several versions of their software side by side. Versions
//! have no order, and what two versions write doesn't fit together: a stream continues only at
//! servers of the version that began it.

use crate::identity::{stable_hash, stable_pair_hash};
use crate::time::Instant;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time for which versions that left are recorded.
const MAX_WINDOW: Duration = Duration::from_secs(600);
/// Longest time between two confirmations of the list of servers. A version may have come and
/// left unseen in a longer one.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(5);

/// Key of one version of a service's software; never zero, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareKey(u64);

impl SoftwareKey {
    /// Derives the key from the names of a service and a version.
    pub fn of(service: &str, version: &str) -> Self {
        let hash = stable_pair_hash(stable_hash(service.as_bytes()), stable_hash(version.as_bytes()));
        Self(hash.max(1))
    }

    /// Number in messages between nodes.
    pub fn number(self) -> u64 {
        self.0
    }

    /// The key with this number; `None` for zero.
    pub fn from_number(number: u64) -> Option<Self> {
        (number > 0).then_some(Self(number))
    }
}

/// Versions that a node saw in some services during a window of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionsSeen {
    /// Only this one.
    One(SoftwareKey),
    /// Several.
    Several,
    /// Unknown: the node has not observed the services for so long without a gap, or saw no
    /// server.
    Unknown,
}

impl VersionsSeen {
    /// Combines the observations of two nodes. A node that knows nothing contradicts none, but
    /// doesn't confirm either.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, seen) | (seen, Self::Unknown) => seen,
            (Self::One(first), Self::One(second)) if first == second => self,
            _ => Self::Several,
        }
    }
}

/// Versions of each service that accepted requests lately, as this node observed them.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Services by the hash of their names, with the time since which they are observed without
    /// a gap.
    observed_since: HashMap<u64, Instant>,
    /// All changes until this time are known.
    complete_as_of: Option<Instant>,
    /// Versions with the hash of their service and the time at which the last of their servers
    /// left; `None` while one accepts requests.
    versions: HashMap<SoftwareKey, (u64, Option<Instant>)>,
}

impl SoftwareHistory {
    /// Records the versions that accept requests now, each with the hash of its service.
    pub fn observe(&mut self, now: Instant, present: &[(u64, SoftwareKey)]) {
        let keys: HashSet<SoftwareKey> = present.iter().map(|(_, software)| *software).collect();
        for (software, (_, left_at)) in &mut self.versions {
            if !keys.contains(software) {
                left_at.get_or_insert(now);
            }
        }
        for (service, software) in present {
            self.observed_since.entry(*service).or_insert(now);
            self.versions.insert(*software, (*service, None));
        }
        self.versions.retain(|_, (_, left_at)| left_at.is_none_or(|at| now.since(at) < MAX_WINDOW));
    }

    /// All changes until this time have been observed. The observation begins anew where too
    /// much time has passed since the last such time.
    pub fn note_complete(&mut self, as_of: Instant) {
        let is_gap = self.complete_as_of.is_none_or(|known| as_of.since(known) > MAX_UNCONFIRMED);
        if is_gap {
            self.observed_since.values_mut().for_each(|since| *since = as_of.max(*since));
        }
        self.complete_as_of = self.complete_as_of.max(Some(as_of));
    }

    /// Versions that accepted requests of any of these services, given by the hashes of their
    /// names, within the window before `now`.
    pub fn seen(&self, now: Instant, services: &[u64], window: Duration) -> VersionsSeen {
        let in_window = |left_at: &Option<Instant>| left_at.is_none_or(|at| now.since(at) <= window);
        let mut seen =
            self.versions.iter().filter(|(_, (service, left_at))| services.contains(service) && in_window(left_at));
        let Some((first, _)) = seen.next() else { return VersionsSeen::Unknown };
        if seen.next().is_some() {
            return VersionsSeen::Several;
        }
        let observed = services.iter().filter_map(|service| self.observed_since.get(service));
        let is_long_enough = observed.max().is_some_and(|since| now.since(*since) >= window);
        let is_confirmed = self.complete_as_of.is_some_and(|known| now.since(known) <= MAX_UNCONFIRMED);
        if is_long_enough && is_confirmed && window < MAX_WINDOW {
            VersionsSeen::One(*first)
        } else {
            VersionsSeen::Unknown
        }
    }
}
