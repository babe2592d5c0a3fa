//! The platform's list of machines. It lags: a seed for membership, not the
//! truth.

use hyper::Method;
use latchwheel_http::{CallFault, Client};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The list itself bounds a wait to five seconds.
const LIST_TIMEOUT: Duration = Duration::from_secs(8);

/// What a machine is for.
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
    /// It works.
    Live,
    /// It takes no new work and will be gone soon.
    Leaving,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Name.
    pub name: String,
    /// What it is for.
    pub kind: MachineKind,
    /// Address of its service.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Service that an engine belongs to.
    #[serde(default)]
    pub service: String,
    /// State.
    pub state: MachineState,
}

/// What the list shows of a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionMachines {
    /// Version of what is shown; changes with it.
    pub version: u64,
    /// Zones of the region with any machine.
    pub zones: Vec<String>,
    /// All nodes of the region, and the engines of the zones asked for.
    pub machines: Vec<Machine>,
}

/// Client of the machine list.
#[derive(Clone, Debug)]
pub struct MachineListClient {
    client: Client,
    address: String,
}

impl MachineListClient {
    /// A client for the list at an address.
    pub fn new(address: String) -> Self {
        Self { client: Client::http1(), address }
    }

    /// The nodes of a region and the engines of some of its zones, once their
    /// version is another than `known_version`; `None` if it stays the same for as
    /// long as the list waits.
    ///
    /// # Errors
    /// [`CallFault`] where the list does not answer.
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

    /// Enters a machine into a stand-in's list; real platforms do so
    /// themselves.
    ///
    /// # Errors
    /// [`CallFault`] where the list does not answer.
    pub async fn register(&self, machine: &Machine) -> Result<(), CallFault> {
        let answer: serde_json::Value =
            self.client.json(Method::POST, &self.address, "/admin/machines", machine, CALL_TIMEOUT).await?;
        drop(answer);
        Ok(())
    }
}
