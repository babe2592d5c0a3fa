//! Client of the rate-limited weight store.

use hyper::Method;
use latchwheel_http::{CallFault, Client};
use serde::Deserialize;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Deserialize)]
struct WeightsAnswer {
    size: u64,
}

/// Client of the weight store.
#[derive(Clone, Debug)]
pub struct WeightClient {
    client: Client,
    address: String,
}

impl WeightClient {
    /// Creates a client for the store at an address.
    pub fn new(address: String) -> Self {
        Self { client: Client::http1(), address }
    }

    /// Requests a load of a model; returns the size of its weights in bytes.
    ///
    /// # Errors
    /// [`CallFault`]; status 429 if the store's rate limit is reached.
    pub async fn begin_load(&self, model: &str) -> Result<u64, CallFault> {
        let path = format!("/v1/weights/{model}");
        let answer: WeightsAnswer = self.client.json(Method::GET, &self.address, &path, &(), CALL_TIMEOUT).await?;
        Ok(answer.size)
    }
}
