//! A small deployment: the platform's store, servers, and the project's processes.

use crate::client::HOST;
use crate::cluster::{Cluster, Layout};
use crate::late_link::LateLink;
use crate::record::Record;
use crate::server::{Pace, Server};
use crate::{Outcome, Run};
use latchwheel_stand_in::StoreStandIn;
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const SERVICE: &str = "llm-pool";
const FRONTS: usize = 3;
const WORKERS: usize = 3;
/// Servers have run for a while when the system starts.
const BEATS_BEFORE: u64 = 3000;
const START_TIME: Duration = Duration::from_secs(15);
/// Time from readiness to the first job: workers learn of the servers too.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// A deployment that runs.
pub struct Site {
    /// Servers of the service.
    pub servers: Vec<Arc<Server>>,
    /// The project's processes.
    pub cluster: Cluster,
    /// Links of the machines with disks to the store, by name of the machine.
    pub links: HashMap<String, Arc<LateLink>>,
}

impl Site {
    /// Starts it, and waits until it serves.
    pub async fn start(run: &Run, servers: usize, pace: Pace) -> Result<Self, Outcome> {
        let record = &run.record;
        let store = StoreStandIn::start().await;
        store.write("op/config", &configuration()).await;
        let mut started = Vec::new();
        for number in 0..servers {
            let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
            let id = format!("i-{:08x}", 0x7f3a_91c0 + number);
            started.push(Server::start(&id, zone, SERVICE, &store, record, pace, BEATS_BEFORE).await?);
        }
        let mut links = HashMap::new();
        for zone in ["hall-a", "hall-b", "hall-c"] {
            links.insert(format!("store-{zone}-1"), LateLink::start(&store.address, record).await?);
        }
        let layout = Layout { root: &run.root, folder: &run.folder, fronts: FRONTS, workers: WORKERS };
        let store_of =
            |machine: &str| links.get(machine).map_or_else(|| store.address.clone(), |link| link.address.clone());
        let cluster = Cluster::start(layout, record, store_of)?;
        if !cluster.wait_until_ready(START_TIME).await {
            cluster.end().await;
            return Err(Outcome::NotRun("the fronts do not become ready".to_owned()));
        }
        record.line("all fronts are ready");
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(Self { servers: started, cluster, links })
    }

    /// Address of a front.
    pub fn front(&self, number: usize) -> &str {
        &self.cluster.fronts[number % self.cluster.fronts.len()].front
    }
}

/// Waits until something is so, for a time at most.
pub async fn wait_for(time: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while !is_so() {
        if Instant::now() >= end {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}

/// Hands a job in until it is taken, as a client does: at another front each time.
pub async fn hand_in(record: &Record, site: &Site, job: &str, items: usize) -> bool {
    for attempt in 0..6 {
        if crate::client::submit(record, site.front(attempt), job, items).await == Some(202) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    false
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{ "name": "r-lots", "host": HOST, "path-prefix": "/lot/", "kind": "batch", "service": SERVICE,
            "timeout-ms": 30000, "target-latency-ms": 400, "priority": 2, "max-attempts": 3, "sticky": true,
            "resumable": true, "gap-aim-ms": 500, "due-ms": 20000, "retention-s": 60.0 }],
        "services": [{ "name": SERVICE, "health-path": "/health", "max-conns": 300, "protocol": "h1", "tls": false,
            "engine": { "slots": 19, "kv-tokens": 171_000, "kv-bytes": 327_680, "link-mbps": 740_000.0,
                "migrations": true, "backups": true, "stride": 9, "max-queued-tokens": 12, "pin-ms": 4000.0,
                "hold-ms": 2000.0, "handle_s": 5.0, "models": [{ "name": "m" }] } }],
        "limits": { "max-header-bytes": 16384, "max-body-bytes": 4_194_304, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000 }
    })
}
