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
    /// A client for the store at an address.
    pub fn new(address: String) -> Self {
        Self { client: Client::http1(), address }
    }

    /// Size in bytes of a model's weights, if the store's rate allows a load
    /// now.
    ///
    /// # Errors
    /// [`CallFault`]; status 429 means that the rate is used up.
    pub async fn begin_load(&self, model: &str) -> Result<u64, CallFault> {
        let path = format!("/v1/weights/{model}");
        let answer: WeightsAnswer = self.client.json(Method::GET, &self.address, &path, &(), CALL_TIMEOUT).await?;
        Ok(answer.size)
    }
}
