//! The platform's list of machines. It lags: a seed for membership, not the
//! truth.

use hyper::Method;
use latchwheel_http::{CallFault, Client};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const CALL_TIME: Duration = Duration::from_secs(2);

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

#[derive(Debug, Deserialize)]
struct MachinesAnswer {
    machines: Vec<Machine>,
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

    /// The machines, as the list shows them.
    ///
    /// # Errors
    /// [`CallFault`] where the list does not answer.
    pub async fn machines(&self) -> Result<Vec<Machine>, CallFault> {
        let answer: MachinesAnswer =
            self.client.json(Method::GET, &self.address, "/v1/machines", &(), CALL_TIME).await?;
        Ok(answer.machines)
    }

    /// Enters a machine into a stand-in's list; real platforms do so
    /// themselves.
    ///
    /// # Errors
    /// [`CallFault`] where the list does not answer.
    pub async fn announce(&self, machine: &Machine) -> Result<(), CallFault> {
        let answer: serde_json::Value =
            self.client.json(Method::POST, &self.address, "/admin/machines", machine, CALL_TIME).await?;
        drop(answer);
        Ok(())
    }
}
