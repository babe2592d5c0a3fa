//! Headroom of the other nodes, from their reports.

use super::FULL;
use crate::identity::NodeId;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a report is valid; allows for a few lost reports.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// Counts of nodes by their headroom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerHeadroomCounts {
    /// Nodes that report their headroom.
    pub nodes: u32,
    /// Nodes among these that are busy.
    pub busy: u32,
}

/// Headroom of the other nodes: one entry for each node that reports directly, and the
/// last sum from an aggregator.
#[derive(Debug, Default)]
pub struct PeerHeadroom {
    reports: HashMap<NodeId, Report>,
    /// Last time at which expired reports were removed.
    pruned_at: Instant,
    /// Last sum over all nodes and its time of receipt.
    sum: Option<(Instant, PeerHeadroomCounts)>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    busy: bool,
    percent: u8,
}

impl PeerHeadroom {
    /// Records a node's report of its headroom in percent and whether the node is busy.
    pub fn note(&mut self, now: Instant, node: NodeId, percent: u8, busy: bool) {
        // Not on every report: an aggregator receives several a second from each node.
        if now.since(self.pruned_at) >= REPORT_TTL {
            self.pruned_at = now;
            self.reports.retain(|_, report| now.since(report.at) < REPORT_TTL);
        }
        self.reports.insert(node, Report { at: now, busy, percent: percent.min(FULL) });
    }

    /// Records an aggregator's sum over the other nodes.
    pub fn note_sum(&mut self, now: Instant, counts: PeerHeadroomCounts) {
        self.sum = Some((now, counts));
    }

    /// Counts the nodes that report directly.
    pub fn counts_from_reports(&self, now: Instant) -> PeerHeadroomCounts {
        let current = self.reports.values().filter(|report| now.since(report.at) < REPORT_TTL);
        let mut counts = PeerHeadroomCounts::default();
        for report in current {
            counts.nodes += 1;
            counts.busy += u32::from(report.busy);
        }
        counts
    }

    /// Counts of all other nodes: the last valid sum, else the direct reports.
    pub fn all(&self, now: Instant) -> PeerHeadroomCounts {
        let sum = self.sum.filter(|(at, _)| now.since(*at) < REPORT_TTL);
        sum.map_or_else(|| self.counts_from_reports(now), |(_, counts)| counts)
    }

    /// Headroom of a node in percent, if its last report is still valid.
    pub fn percent_of(&self, now: Instant, node: NodeId) -> Option<u8> {
        self.reports.get(&node).filter(|report| now.since(report.at) < REPORT_TTL).map(|report| report.percent)
    }
}
