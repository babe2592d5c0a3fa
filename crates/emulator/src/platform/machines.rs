//! The lagging list of live and leaving machines.

use crate::request::{query, read_json, refuse, Response};
use hyper::body::Incoming;
use hyper::{Method, Request};
use latchwheel_core::identity::stable_hash;
use latchwheel_http::{json, serve, Version};
use latchwheel_site::{Machine, MachineKind, RegionMachines};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

const HISTORY_LIMIT: usize = 64;
/// Longest wait for a change, and how often it is looked for.
const WAIT_TIME: Duration = Duration::from_secs(5);
const WAIT_STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Listed {
    present: BTreeMap<String, Machine>,
    history: VecDeque<(Instant, Arc<Vec<Machine>>)>,
}

/// A running machine list.
#[derive(Clone, Debug)]
pub struct MachineList {
    listed: Arc<Mutex<Listed>>,
    lag: Duration,
}

impl MachineList {
    /// An empty list that shows changes after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { listed: Arc::default(), lag }
    }

    /// Serves on a listener until `stop`.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        serve(listener, Version::Http1, stop, move |request| self.clone().answer(request)).await;
    }

    /// Adds a machine or changes it.
    pub fn put(&self, machine: Machine) {
        let mut listed = self.lock();
        listed.present.insert(machine.name.clone(), machine);
        listed.keep();
    }

    /// Adds many machines at once.
    pub fn put_all(&self, machines: Vec<Machine>) {
        let mut listed = self.lock();
        listed.present.extend(machines.into_iter().map(|machine| (machine.name.clone(), machine)));
        listed.keep();
    }

    /// Removes a machine.
    pub fn remove(&self, name: &str) {
        let mut listed = self.lock();
        listed.present.remove(name);
        listed.keep();
    }

    fn lock(&self) -> MutexGuard<'_, Listed> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request<Incoming>) -> Response {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/v1/machines") => self.show(&request).await,
            (Method::POST, "/admin/machines") => match read_json::<Machine>(request).await {
                Ok(machine) => {
                    self.put(machine);
                    json(200, &serde_json::json!({}))
                }
                Err(refusal) => refusal,
            },
            (Method::DELETE, path) => match path.strip_prefix("/admin/machines/") {
                Some(name) => {
                    self.remove(name);
                    json(200, &serde_json::json!({}))
                }
                None => refuse(404, "no such path"),
            },
            _ => refuse(404, "no such path"),
        }
    }
}

impl MachineList {
    /// Shows a region once it differs from what the caller knows, or 304
    /// after a bounded time.
    async fn show(&self, request: &Request<Incoming>) -> Response {
        let region: String = query(request, "region").unwrap_or_default();
        let zones: String = query(request, "zones").unwrap_or_default();
        let known: Option<u64> = query(request, "known");
        let begun = Instant::now();
        loop {
            let shown = self.lock().as_of(self.lag).region(&region, &zones);
            if known != Some(shown.version) {
                return json(200, &shown);
            }
            if begun.elapsed() >= WAIT_TIME {
                return refuse(304, "");
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
    }
}

/// Nodes of each other region that are shown, for a first contact.
const CONTACTS_PER_REGION: usize = 3;

/// The whole list at one time.
struct Snapshot(Arc<Vec<Machine>>);

impl Snapshot {
    /// A few nodes of each other region.
    fn contacts(&self, region: &str) -> Vec<Machine> {
        let mut shown: BTreeMap<&str, usize> = BTreeMap::new();
        let far = self.0.iter().filter(|machine| machine.region != region && machine.kind == MachineKind::Node);
        far.filter(|machine| {
            let count = shown.entry(machine.region.as_str()).or_default();
            *count += 1;
            *count <= CONTACTS_PER_REGION
        })
        .cloned()
        .collect()
    }

    fn region(&self, region: &str, zones: &str) -> RegionMachines {
        let in_region = || self.0.iter().filter(|machine| machine.region == region);
        let wanted =
            |machine: &&Machine| machine.kind == MachineKind::Node || zones.split(',').any(|zone| zone == machine.zone);
        let mut machines: Vec<Machine> = in_region().filter(wanted).cloned().collect();
        machines.extend(self.contacts(region));
        let zones: BTreeSet<String> = in_region().map(|machine| machine.zone.clone()).collect();
        let zones: Vec<String> = zones.into_iter().collect();
        let content = serde_json::to_vec(&(&zones, &machines)).unwrap_or_default();
        RegionMachines { version: stable_hash(&content), zones, machines }
    }
}

impl Listed {
    fn keep(&mut self) {
        self.history.push_back((Instant::now(), Arc::new(self.present.values().cloned().collect())));
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    fn as_of(&self, lag: Duration) -> Snapshot {
        let old_enough = |entry: &&(Instant, Arc<Vec<Machine>>)| entry.0.elapsed() >= lag;
        let entry = self.history.iter().rev().find(old_enough);
        Snapshot(entry.map(|(_, machines)| machines.clone()).unwrap_or_default())
    }
}
