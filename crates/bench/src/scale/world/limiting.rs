//! Limits of hollow nodes.

use super::{Happening, World, CALL_HEADER};
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::limits::ShareDemand;
use latchwheel_core::ownership::home_of;
use std::collections::BTreeMap;

impl World {
    pub(super) fn ask_limits(&mut self, number: usize, demands: Vec<ShareDemand>) {
        let begun = std::time::Instant::now();
        let node = &self.nodes[number];
        let region = &node.record.region;
        let live: Vec<NodeId> = node
            .membership
            .live()
            .filter(|record| record.region == *region)
            .map(|record| NodeId(record.node))
            .chain([NodeId(node.record.node)])
            .collect();
        let mut by_home: BTreeMap<NodeId, Vec<ShareDemand>> = BTreeMap::new();
        for demand in demands {
            let name = stable_hash(demand.row.as_bytes());
            if let Some(home) = home_of(name, live.iter().copied()) {
                by_home.entry(home).or_default().push(demand);
            }
        }
        self.nodes[number].cost.busy += begun.elapsed();
        for (home, demands) in by_home {
            let Some(to) = self.by_identity.get(&home.0).copied() else { continue };
            if to != number {
                self.nodes[number].cost.sent += demand_bytes(&demands) + CALL_HEADER;
                self.nodes[number].cost.messages += 1;
            }
            let delay = self.delay(number, to);
            self.schedule(delay, Happening::LimitAsk { from: number, to, demands });
        }
    }

    pub(super) fn grant_limits(&mut self, from: usize, to: usize, demands: Vec<ShareDemand>) {
        if !self.nodes[to].alive {
            return;
        }
        let now = self.now;
        let begun = std::time::Instant::now();
        let node = &mut self.nodes[to];
        let grant = |demand: &ShareDemand| {
            let rate = node.home.grant(now, &demand.row, 100.0, NodeId(from as u64), demand.per_second);
            (demand.row.clone(), rate)
        };
        let shares: Vec<(String, f64)> = demands.iter().map(grant).collect();
        node.cost.busy += begun.elapsed();
        if to != from {
            let bytes = demand_bytes(&demands) + CALL_HEADER;
            node.cost.received += bytes;
            node.cost.sent += bytes;
            node.cost.messages += 2;
            self.nodes[from].cost.received += bytes;
        }
        let delay = self.delay(to, from);
        self.schedule(delay, Happening::LimitGrant { to: from, shares, asked_at: now });
    }
}

/// Bytes of the rows and rates of a call about limits.
fn demand_bytes(demands: &[ShareDemand]) -> u64 {
    const RATE_AND_TAGS: u64 = 13;
    demands.iter().map(|demand| demand.row.len() as u64 + RATE_AND_TAGS).sum()
}
