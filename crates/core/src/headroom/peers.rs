//! The room of the other nodes, by what they tell.

use super::FULL;
use crate::identity::NodeId;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// What a node told of its room counts for this time: some reports may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// The rooms of several nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerHeadroomCounts {
    /// Nodes that tell their room.
    pub nodes: u32,
    /// Those that are busy.
    pub busy: u32,
}

/// The room of the other nodes. Holds one entry for each node that was heard lately, and
/// none where sums are heard instead.
#[derive(Debug, Default)]
pub struct PeerHeadroom {
    reports: HashMap<NodeId, Report>,
    /// When entries of nodes that fell silent were dropped last.
    pruned_at: Instant,
    /// By the last sum over all nodes.
    sum: Option<(Instant, PeerHeadroomCounts)>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    busy: bool,
    percent: u8,
}

impl PeerHeadroom {
    /// Another node told its room in percent, and whether it is busy.
    pub fn note(&mut self, now: Instant, node: NodeId, percent: u8, busy: bool) {
        // Not at each word: those that sum up hear all nodes several times a second.
        if now.since(self.pruned_at) >= REPORT_TTL {
            self.pruned_at = now;
            self.reports.retain(|_, report| now.since(report.at) < REPORT_TTL);
        }
        self.reports.insert(node, Report { at: now, busy, percent: percent.min(FULL) });
    }

    /// A node that sums up what all tell told of the others.
    pub fn note_sum(&mut self, now: Instant, counts: PeerHeadroomCounts) {
        self.sum = Some((now, counts));
    }

    /// The nodes that are heard directly.
    pub fn counts_from_reports(&self, now: Instant) -> PeerHeadroomCounts {
        let current = self.reports.values().filter(|report| now.since(report.at) < REPORT_TTL);
        let mut counts = PeerHeadroomCounts::default();
        for report in current {
            counts.nodes += 1;
            counts.busy += u32::from(report.busy);
        }
        counts
    }

    /// The other nodes by the last sum, or as they are heard where there is none.
    pub fn all(&self, now: Instant) -> PeerHeadroomCounts {
        let sum = self.sum.filter(|(at, _)| now.since(*at) < REPORT_TTL);
        sum.map_or_else(|| self.counts_from_reports(now), |(_, counts)| counts)
    }

    /// The room of one node in percent, as it told lately.
    pub fn percent_of(&self, now: Instant, node: NodeId) -> Option<u8> {
        self.reports.get(&node).filter(|report| now.since(report.at) < REPORT_TTL).map(|report| report.percent)
    }
}
