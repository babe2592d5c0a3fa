//! Scenario files: a site, nodes, a table, load and faults.

use eyre::{Result, WrapErr};
use latchwheel_core::table::Row;
use latchwheel_emulator::site::SiteSettings;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// What it stands for.
    #[serde(default)]
    pub text: String,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Length of the measured part.
    pub seconds: u64,
    /// Stand-ins.
    pub site: SiteSettings,
    /// Nodes.
    pub nodes: NodePlan,
    /// Rows of the table.
    pub rows: Vec<Row>,
    /// Online load.
    #[serde(default)]
    pub online: Vec<OnlineLoad>,
    /// Batch load.
    #[serde(default)]
    pub batch: Vec<BatchLoad>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What may go wrong, for scenarios that are tests.
    #[serde(default)]
    pub allowed: Allowed,
}

/// What may go wrong in a scenario. What no fault excuses is not here: lost,
/// doubled or wrong results, double runs, a wrong `not-run`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Allowed {
    /// Online answers that break off, and are seen to.
    pub cut: u64,
    /// Online requests that find no node.
    pub unreachable: u64,
    /// Online requests that are refused.
    pub refused: u64,
    /// Batch items that end with a code instead of a result.
    pub failed_items: u64,
}

/// The nodes of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodePlan {
    /// Nodes in each zone.
    pub per_zone: usize,
    /// Nodes with a disk, spread over the zones in turn.
    pub with_disk: usize,
    /// Voters of the store group.
    pub replicas: usize,
    /// `quorum` or `reachable`.
    #[serde(default = "default_acknowledge")]
    pub acknowledge: String,
    /// One-way delay between zones, in microseconds.
    #[serde(default)]
    pub zone_delay_microseconds: u64,
}

fn default_acknowledge() -> String {
    "quorum".into()
}

/// Online load of one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// Row.
    pub row: String,
    /// Model named in the requests.
    pub model: String,
    /// Requests a second outside bursts.
    pub requests_per_second: f64,
    /// Bytes of the prompt that many requests share.
    pub shared_bytes: usize,
    /// Number of different shared parts.
    pub shared_parts: usize,
    /// Bytes of the prompt that are a request's own.
    pub own_bytes: usize,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Whether answers are streamed.
    #[serde(default = "default_streamed")]
    pub streamed: bool,
    /// Whether a request may run more than once; others carry a key.
    #[serde(default = "default_streamed")]
    pub repeatable: bool,
    /// Weight of an answered request in the score of service.
    pub weight: f64,
    /// Bursts.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

fn default_streamed() -> bool {
    true
}

/// A burst at an event's start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start.
    pub at_seconds: f64,
    /// Length.
    pub seconds: f64,
    /// Requests a second while it lasts.
    pub requests_per_second: f64,
}

/// Batch load: jobs that arrive in heaps.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// Row.
    pub row: String,
    /// Model named in the items.
    pub model: String,
    /// Time between heaps.
    pub every_seconds: f64,
    /// Jobs in a heap.
    pub jobs: usize,
    /// Items in a job.
    pub items: usize,
    /// Bytes of an item's prompt.
    pub prompt_bytes: usize,
    /// Tokens of an item's answer.
    pub tokens: u32,
    /// Whether items may run more than once.
    #[serde(default = "default_streamed")]
    pub repeatable: bool,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node is killed, and started again after `seconds`.
    KillNode,
    /// A node is stopped as planned, and started again after `seconds`.
    StopNode,
    /// A node is paused for `seconds`.
    PauseNode,
    /// A node is killed and its disk emptied; it starts again after `seconds`.
    LoseDisk,
    /// The key-value service refuses for `seconds`.
    KeyValueAway,
    /// The key-value service answers no call for `seconds`.
    KeyValueHangs,
    /// The next `count` answers of the key-value service are lost.
    KeyValueLosesAnswers,
    /// A back end is leaving for `seconds`.
    EngineLeaves,
    /// A back end refuses for `seconds`.
    EngineRefuses,
    /// A zone is cut off from the others, both ways, for `seconds`.
    CutZone,
    /// A zone's messages don't reach the others for `seconds`.
    CutZoneOutward,
    /// Two operators edit the table at once, `count` times each.
    OperatorRace,
}

/// A fault at a time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time.
    pub at_seconds: f64,
    /// Kind.
    pub kind: FaultKind,
    /// Number of the node, engine or zone.
    #[serde(default)]
    pub target: usize,
    /// How long it lasts.
    #[serde(default)]
    pub seconds: f64,
    /// How many.
    #[serde(default)]
    pub count: u32,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// With the file and the key that is wrong.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
        toml::from_str(&text).wrap_err_with(|| format!("{} has a fault", path.display()))
    }
}
