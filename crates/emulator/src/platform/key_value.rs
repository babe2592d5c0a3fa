//! The key-value service: compare-and-swap, leases, watches; rate-limited,
//! with outages and with answers that are lost after the change took effect.

use super::rate::RateLimit;
use crate::request::{query, read_json, refuse, Response};
use hyper::body::Incoming;
use hyper::{Method, Request};
use latchwheel_http::{json, serve, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

const RANGE_LIMIT: usize = 1000;
const WATCH_TIME: Duration = Duration::from_secs(10);

/// How the service is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueSettings {
    /// Calls that it takes a second.
    pub calls_per_second: f64,
}

impl Default for KeyValueSettings {
    fn default() -> Self {
        Self { calls_per_second: 500.0 }
    }
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Every call is refused with 503.
    pub refuse: bool,
    /// No call is answered, and none takes effect.
    pub hang: bool,
    /// The next so many writes take effect, but their answers are lost.
    pub lose_answers: u32,
    /// Every answer is delayed by so many milliseconds.
    pub delay_milliseconds: u64,
}

#[derive(Clone, Debug, Serialize)]
struct Stored {
    key: String,
    value: String,
    version: u64,
}

#[derive(Debug)]
struct Lease {
    holder: String,
    epoch: u64,
    until: Instant,
}

#[derive(Debug, Default)]
struct Contents {
    values: BTreeMap<String, Stored>,
    leases: BTreeMap<String, Lease>,
    faults: KeyValueFaults,
    version: u64,
    epoch: u64,
}

#[derive(Debug, Deserialize)]
struct WriteBody {
    value: String,
    /// Version that the key must have; zero means that it must be absent.
    version: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseBody {
    key: String,
    holder: String,
    milliseconds: u64,
}

/// A running key-value service.
#[derive(Clone, Debug)]
pub struct KeyValue {
    contents: Arc<Mutex<Contents>>,
    rate: Arc<RateLimit>,
    changes: Arc<watch::Sender<u64>>,
}

impl KeyValue {
    /// A service without keys.
    pub fn new(settings: &KeyValueSettings) -> Self {
        Self {
            contents: Arc::default(),
            rate: Arc::new(RateLimit::new(settings.calls_per_second)),
            changes: Arc::new(watch::channel(0).0),
        }
    }

    /// Serves on a listener until `stop`.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        serve(listener, Version::Http1, stop, move |request| self.clone().answer(request)).await;
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: KeyValueFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request<Incoming>) -> Response {
        let path = request.uri().path().to_owned();
        if path == "/admin/faults" {
            return match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json(200, &serde_json::json!({}))
                }
                Err(refusal) => refusal,
            };
        }
        let faults = self.lock().faults.clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_milliseconds)).await;
        if faults.refuse {
            return refuse(503, "the service is away");
        }
        if !self.rate.admit() {
            return refuse(429, "too many calls");
        }
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/v1/range") => self.range(&request),
            (Method::GET, "/v1/watch") => self.watch(&request).await,
            (Method::POST, "/v1/leases") => self.lease(request).await,
            (method, path) => match path.strip_prefix("/v1/keys/") {
                Some(key) if method == Method::GET => self.read(key),
                Some(key) if method == Method::PUT => self.write(key.to_owned(), request).await,
                _ => refuse(404, "no such path"),
            },
        }
    }

    fn read(&self, key: &str) -> Response {
        match self.lock().values.get(key) {
            Some(stored) => json(200, stored),
            None => refuse(404, "no such key"),
        }
    }

    async fn write(&self, key: String, request: Request<Incoming>) -> Response {
        let body: WriteBody = match read_json(request).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let (response, lost) = self.compare_and_swap(key, body);
        if lost {
            std::future::pending::<()>().await;
        }
        response
    }

    fn compare_and_swap(&self, key: String, body: WriteBody) -> (Response, bool) {
        let mut contents = self.lock();
        if let Some(present) = contents.values.get(&key) {
            if present.version != body.version {
                return (json(409, present), false);
            }
        } else if body.version != 0 {
            return (refuse(404, "no such key"), false);
        }
        contents.version += 1;
        let stored = Stored { key: key.clone(), value: body.value, version: contents.version };
        contents.values.insert(key, stored.clone());
        let lost = contents.faults.lose_answers > 0;
        contents.faults.lose_answers = contents.faults.lose_answers.saturating_sub(1);
        self.changes.send_replace(contents.version);
        (json(200, &stored), lost)
    }

    fn range(&self, request: &Request<Incoming>) -> Response {
        let prefix: String = query(request, "prefix").unwrap_or_default();
        let after: String = query(request, "after").unwrap_or_default();
        let contents = self.lock();
        let values: Vec<&Stored> = contents
            .values
            .range(prefix.clone()..)
            .map(|(_, stored)| stored)
            .take_while(|stored| stored.key.starts_with(&prefix))
            .filter(|stored| stored.key > after)
            .take(RANGE_LIMIT)
            .collect();
        json(200, &serde_json::json!({ "values": values, "version": contents.version }))
    }

    /// Waits until something changes after a version, for a bounded time.
    async fn watch(&self, request: &Request<Incoming>) -> Response {
        let since: u64 = query(request, "since").unwrap_or(0);
        let mut changes = self.changes.subscribe();
        let _ = tokio::time::timeout(WATCH_TIME, changes.wait_for(|version| *version > since)).await;
        json(200, &serde_json::json!({ "version": self.lock().version }))
    }

    async fn lease(&self, request: Request<Incoming>) -> Response {
        let body: LeaseBody = match read_json(request).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let mut contents = self.lock();
        let now = Instant::now();
        let until = now + Duration::from_millis(body.milliseconds);
        if let Some(lease) = contents.leases.get_mut(&body.key).filter(|lease| lease.until > now) {
            if lease.holder != body.holder {
                return refuse(409, "another holds the lease");
            }
            lease.until = until;
            return json(200, &serde_json::json!({ "epoch": lease.epoch }));
        }
        contents.epoch += 1;
        let epoch = contents.epoch;
        contents.leases.insert(body.key, Lease { holder: body.holder, epoch, until });
        json(200, &serde_json::json!({ "epoch": epoch }))
    }
}
