//! The lagging list of live and leaving machines.

use crate::request::{read_json, refuse, Response};
use hyper::body::Incoming;
use hyper::{Method, Request};
use latchwheel_http::{json, serve, Version};
use latchwheel_platform::Machine;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

const HISTORY_LIMIT: usize = 4096;

#[derive(Debug, Default)]
struct Listed {
    present: BTreeMap<String, Machine>,
    history: VecDeque<(Instant, Vec<Machine>)>,
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
            (Method::GET, "/v1/machines") => json(200, &serde_json::json!({ "machines": self.lock().as_of(self.lag) })),
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

impl Listed {
    fn keep(&mut self) {
        self.history.push_back((Instant::now(), self.present.values().cloned().collect()));
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    fn as_of(&self, lag: Duration) -> Vec<Machine> {
        let old_enough = |entry: &&(Instant, Vec<Machine>)| entry.0.elapsed() >= lag;
        self.history.iter().rev().find(old_enough).map(|(_, machines)| machines.clone()).unwrap_or_default()
    }
}
