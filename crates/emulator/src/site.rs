//! All stand-ins of one site in one process.

use crate::engine::{Engine, EngineSettings};
use crate::platform::{KeyValue, KeyValueSettings, MachineList, WeightSettings, WeightStore};
use eyre::{Result, WrapErr};
use latchwheel_site::{Machine, MachineKind, MachineState};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

const ANY_PORT: &str = "127.0.0.1:0";

/// One service of a site.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name.
    pub name: String,
    /// Number of servers, spread over the site's zones in turn.
    pub servers: u32,
    /// How each server is made.
    #[serde(default)]
    pub engine: EngineSettings,
}

/// A site.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// Region.
    pub region: String,
    /// Zones.
    pub zones: Vec<String>,
    /// Services.
    pub services: Vec<ServiceSettings>,
    /// Key-value service.
    #[serde(default)]
    pub key_value: KeyValueSettings,
    /// Weight store.
    #[serde(default)]
    pub weights: WeightSettings,
    /// Delay of the machine list, in milliseconds.
    #[serde(default = "default_lag")]
    pub machine_list_lag_milliseconds: u64,
}

fn default_lag() -> u64 {
    500
}

/// One engine of a running site.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineAddress {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Address.
    pub address: String,
}

/// Where the stand-ins of a running site listen.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SiteAddresses {
    /// Key-value service.
    pub key_value: String,
    /// Machine list.
    pub machines: String,
    /// Weight store.
    pub weights: String,
    /// Engines.
    pub engines: Vec<EngineAddress>,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// Where the stand-ins listen.
    pub addresses: SiteAddresses,
    /// Key-value service.
    pub key_value: KeyValue,
    /// Machine list.
    pub machines: MachineList,
    /// Engines, in the order of the addresses.
    pub engines: Vec<Engine>,
    tasks: JoinSet<()>,
}

impl Site {
    /// Starts all stand-ins on ports that the system chooses.
    ///
    /// # Errors
    /// If a port can't be bound.
    pub async fn start(settings: &SiteSettings, stop: &watch::Receiver<bool>) -> Result<Site> {
        let mut tasks = JoinSet::new();
        let key_value = KeyValue::new(&settings.key_value);
        let (listener, key_value_address) = bind().await?;
        tasks.spawn(key_value.clone().run(listener, stop.clone()));
        let machines = MachineList::new(Duration::from_millis(settings.machine_list_lag_milliseconds));
        let (listener, machines_address) = bind().await?;
        tasks.spawn(machines.clone().run(listener, stop.clone()));
        let (listener, weights_address) = bind().await?;
        tasks.spawn(WeightStore::new(settings.weights.clone()).run(listener, stop.clone()));
        let mut site = Site {
            addresses: SiteAddresses {
                key_value: key_value_address,
                machines: machines_address,
                weights: weights_address,
                engines: Vec::new(),
            },
            key_value,
            machines,
            engines: Vec::new(),
            tasks,
        };
        for service in &settings.services {
            site.start_service(settings, service, stop).await?;
        }
        Ok(site)
    }

    async fn start_service(
        &mut self,
        site: &SiteSettings,
        service: &ServiceSettings,
        stop: &watch::Receiver<bool>,
    ) -> Result<()> {
        for number in 0..service.servers {
            let (listener, address) = bind().await?;
            let engine = Engine::new(service.engine.clone());
            self.tasks.spawn(engine.clone().run(listener, stop.clone()));
            self.engines.push(engine);
            let name = format!("{}-{}", service.name, number + 1);
            let zone = site.zones[number as usize % site.zones.len()].clone();
            self.machines.put(Machine {
                name: name.clone(),
                kind: MachineKind::Engine,
                address: address.clone(),
                zone: zone.clone(),
                region: site.region.clone(),
                service: service.name.clone(),
                state: MachineState::Live,
            });
            self.addresses.engines.push(EngineAddress { name, service: service.name.clone(), zone, address });
        }
        Ok(())
    }

    /// Waits until all stand-ins have stopped.
    pub async fn stopped(mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn bind() -> Result<(TcpListener, String)> {
    let listener = TcpListener::bind(ANY_PORT).await.wrap_err("cannot bind a port of the loopback")?;
    let address = listener.local_addr()?.to_string();
    Ok((listener, address))
}
