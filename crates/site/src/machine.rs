//! Client of the platform's machine list. The list lags; membership uses it only to find
//! its first members.

use hyper::Method;
use latchwheel_core::directory::is_host_and_port;
use latchwheel_http::{CallFault, Client};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the five seconds after which the list ends a wait.
const LIST_TIMEOUT: Duration = Duration::from_secs(8);

/// Purpose of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// A node of the system.
    Node,
    /// A model server.
    Engine,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// Draining: takes no new work and leaves soon.
    Leaving,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Name.
    pub name: String,
    /// Purpose.
    pub kind: MachineKind,
    /// Address that it serves on.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Service of an engine; empty for a node.
    #[serde(default)]
    pub service: String,
    /// State.
    pub state: MachineState,
}

/// The listed machines of a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionMachines {
    /// Version of this content.
    pub version: u64,
    /// Zones of the region that have machines.
    pub zones: Vec<String>,
    /// All nodes of the region, and the engines of the requested zones. Entries that name no
    /// machine to use are left out.
    #[serde(deserialize_with = "usable_machines")]
    pub machines: Vec<Machine>,
}

/// Reads each entry by itself: one that can't be read must not hide the others.
fn usable_machines<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Machine>, D::Error> {
    let entries: Vec<Box<RawValue>> = Vec::deserialize(deserializer)?;
    Ok(entries.iter().filter_map(|entry| usable_machine(entry)).collect())
}

fn usable_machine(entry: &RawValue) -> Option<Machine> {
    let machine: Result<Machine, serde_json::Error> = serde_json::from_str(entry.get());
    match machine {
        Ok(machine) if is_host_and_port(&machine.address) => Some(machine),
        Ok(machine) => {
            log::warn!(target: "E4003", "machine {} has no valid address and is left out", machine.name);
            None
        }
        Err(fault) => {
            log::warn!(target: "E4003", "an entry of the machine list is left out: {fault}");
            None
        }
    }
}

/// Client of the machine list.
#[derive(Clone, Debug)]
pub struct MachineListClient {
    client: Client,
    address: String,
}

impl MachineListClient {
    /// Creates a client for the list at an address.
    pub fn new(address: String) -> Self {
        Self { client: Client::http1(), address }
    }

    /// Waits until the version differs from `known_version`, then returns the nodes of a
    /// region and the engines of some of its zones; `None` if nothing changed before the
    /// list ended the wait.
    ///
    /// # Errors
    /// [`CallFault`] if the list does not answer.
    pub async fn machines(
        &self,
        region: &str,
        zones: &[String],
        known_version: Option<u64>,
    ) -> Result<Option<RegionMachines>, CallFault> {
        let zones = zones.join(",");
        let known_version = known_version.map(|version| format!("&known={version}")).unwrap_or_default();
        let path = format!("/v1/machines?region={region}&zones={zones}{known_version}");
        match self.client.json(Method::GET, &self.address, &path, &(), LIST_TIMEOUT).await {
            Ok(machines) => Ok(Some(machines)),
            Err(CallFault::BadAnswer(304, _)) => Ok(None),
            Err(fault) => Err(fault),
        }
    }

    /// Adds a machine to the list of an emulated platform; real platforms maintain the list
    /// themselves.
    ///
    /// # Errors
    /// [`CallFault`] if the list does not answer.
    pub async fn register(&self, machine: &Machine) -> Result<(), CallFault> {
        let answer: serde_json::Value =
            self.client.json(Method::POST, &self.address, "/admin/machines", machine, CALL_TIMEOUT).await?;
        drop(answer);
        Ok(())
    }
}
