//! Slopes that the capacity page is worked out from, all in one report.

use crate::added_latency::{self, LatencyReport};
use crate::decision::{self, DecisionReport};
use crate::plot::{plot, Line};
use crate::store_slope::{self, StoreReport};
use eyre::Result;
use latchwheel_core::replication::AckRule;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Numbers of servers at one owner; 31 is the target's mean.
const SERVERS: [usize; 6] = [8, 31, 100, 500, 2_000, 12_000];
const LATENCY_REQUESTS: usize = 2_000;

/// The report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlopeReport {
    /// Command line that made it.
    pub command: String,
    /// Decisions.
    pub decisions: Vec<DecisionReport>,
    /// Store groups.
    pub stores: Vec<StoreReport>,
    /// What a node adds.
    pub latency: LatencyReport,
}

/// Measures all slopes.
///
/// # Errors
/// If a process or a group can't be started.
pub async fn run(command: String, items: u64, seconds: u64) -> Result<SlopeReport> {
    let decisions = tokio::task::block_in_place(|| SERVERS.iter().map(|servers| decision::run(*servers)).collect());
    let mut stores = Vec::new();
    for (replicas, rule) in [(1, AckRule::Quorum), (3, AckRule::Quorum), (3, AckRule::Reachable), (5, AckRule::Quorum)]
    {
        stores.push(store_slope::run(replicas, rule, items).await?);
    }
    let latency = added_latency::run(LATENCY_REQUESTS, seconds).await?;
    Ok(SlopeReport { command, decisions, stores, latency })
}

impl SlopeReport {
    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = format!("{}\n", self.command);
        for decision in &self.decisions {
            text.push_str(&format!(
                "decision: {:>6} servers {:>4} owners: route {:.2} us, start {:.2} us, finish {:.2} us\n",
                decision.servers,
                decision.owners,
                decision.route_microseconds,
                decision.start_microseconds,
                decision.finish_microseconds,
            ));
        }
        for store in &self.stores {
            text.push_str(&format!(
                "store: {} replicas, {}: {:.0} items/s added, {:.0} results/s, commit {:.2} ms, {:.1} us, {:.0} B disk, {:.0} B network an item\n",
                store.replicas,
                store.acknowledge,
                store.added_per_second,
                store.completed_per_second,
                store.commit_milliseconds,
                store.processor_microseconds_per_item,
                store.disk_bytes_per_item,
                store.network_bytes_per_item,
            ));
        }
        let latency = &self.latency;
        text.push_str(&format!(
            "first token ms p50/p99: direct {:.3}/{:.3}, own server {:.3}/{:.3}, forwarded {:.3}/{:.3}; {:.0} requests/s on {:.2} cores, {:.0} streamed tokens/s on {:.2} cores; {:.1} MB idle, {:.1} MB loaded\n",
            latency.direct.p50,
            latency.direct.p99,
            latency.owned.p50,
            latency.owned.p99,
            latency.forwarded.p50,
            latency.forwarded.p99,
            latency.requests_per_second,
            latency.node_cores,
            latency.tokens_per_second,
            latency.token_cores,
            latency.idle_megabytes,
            latency.loaded_megabytes,
        ));
        text
    }

    /// Draws the decisions over the number of servers.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn draw(&self, folder: &Path) -> Result<()> {
        let points = |value: fn(&DecisionReport) -> f64| -> Vec<(f64, f64)> {
            self.decisions.iter().map(|decision| (decision.servers as f64, value(decision))).collect()
        };
        let lines = [
            Line { name: "choose the owner".into(), points: points(|decision| decision.route_microseconds) },
            Line { name: "choose the server".into(), points: points(|decision| decision.start_microseconds) },
        ];
        plot(&folder.join("decisions.svg"), "A decision: microseconds", "servers at one owner", &lines)
    }
}
