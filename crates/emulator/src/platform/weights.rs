//! The weight store: files of weights, given out at a limited rate.

use super::rate::RateLimit;
use crate::request::{refuse, Response};
use hyper::body::Incoming;
use hyper::Request;
use latchwheel_http::{json, serve, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How the store is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Loads that may begin a second.
    pub loads_per_second: f64,
    /// Sizes in bytes by model or adapter.
    pub sizes: BTreeMap<String, u64>,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self { loads_per_second: 2.0, sizes: BTreeMap::new() }
    }
}

/// A running weight store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    settings: Arc<WeightSettings>,
    rate: Arc<RateLimit>,
}

impl WeightStore {
    /// A store.
    pub fn new(settings: WeightSettings) -> Self {
        let rate = Arc::new(RateLimit::new(settings.loads_per_second));
        Self { settings: Arc::new(settings), rate }
    }

    /// Serves on a listener until `stop`.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        serve(listener, Version::Http1, stop, move |request| {
            let store = self.clone();
            async move { store.answer(&request) }
        })
        .await;
    }

    fn answer(&self, request: &Request<Incoming>) -> Response {
        let Some(name) = request.uri().path().strip_prefix("/v1/weights/") else {
            return refuse(404, "no such path");
        };
        let Some(size) = self.settings.sizes.get(name) else { return refuse(404, "no such weights") };
        if !self.rate.admit() {
            return refuse(429, "too many loads");
        }
        json(200, &serde_json::json!({ "name": name, "size": size }))
    }
}
