//! Client of the key-value service.

use hyper::Method;
use latchwheel_http::{CallFault, Client};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the ten seconds after which the service ends a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct VersionedValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Version; each write increases it.
    pub version: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The value was written.
    Written(VersionedValue),
    /// The key has another version; nothing was written.
    VersionMismatch(VersionedValue),
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValueFault {
    /// The service did not answer, and the call had no effect.
    Unavailable,
    /// The call may have had an effect.
    OutcomeUnknown,
}

#[derive(Debug, Serialize)]
struct WriteBody<'a> {
    value: &'a str,
    version: u64,
}

#[derive(Debug, Serialize)]
struct LeaseBody<'a> {
    key: &'a str,
    holder: &'a str,
    milliseconds: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseAnswer {
    epoch: u64,
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    values: Vec<VersionedValue>,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer {
    version: u64,
}

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct KeyValueClient {
    client: Client,
    address: String,
}

impl KeyValueClient {
    /// Creates a client for the service at an address.
    pub fn new(address: String) -> Self {
        Self { client: Client::http1(), address }
    }

    /// Reads a key.
    ///
    /// # Errors
    /// [`KeyValueFault`] if the service does not answer as expected.
    pub async fn read(&self, key: &str) -> Result<Option<VersionedValue>, KeyValueFault> {
        let path = format!("/v1/keys/{key}");
        match self.client.json(Method::GET, &self.address, &path, &(), CALL_TIMEOUT).await {
            Ok(stored) => Ok(Some(stored)),
            Err(CallFault::BadAnswer(404, _)) => Ok(None),
            Err(_) => Err(KeyValueFault::Unavailable),
        }
    }

    /// Writes a key if it has this version; zero stands for an absent key.
    ///
    /// # Errors
    /// [`KeyValueFault`] if the service does not answer as expected.
    pub async fn write(&self, key: &str, value: &str, version: u64) -> Result<WriteOutcome, KeyValueFault> {
        let path = format!("/v1/keys/{key}");
        let body = WriteBody { value, version };
        match self.client.json(Method::PUT, &self.address, &path, &body, CALL_TIMEOUT).await {
            Ok(stored) => Ok(WriteOutcome::Written(stored)),
            Err(CallFault::BadAnswer(409, bytes)) => serde_json::from_slice(&bytes)
                .map(WriteOutcome::VersionMismatch)
                .map_err(|_| KeyValueFault::OutcomeUnknown),
            Err(CallFault::NotSent | CallFault::BadAnswer(429 | 503, _)) => Err(KeyValueFault::Unavailable),
            Err(_) => Err(KeyValueFault::OutcomeUnknown),
        }
    }

    /// Reads up to a thousand keys with a prefix, starting after a key.
    ///
    /// # Errors
    /// [`KeyValueFault`] if the service does not answer as expected.
    pub async fn range(&self, prefix: &str, after: &str) -> Result<Vec<VersionedValue>, KeyValueFault> {
        let path = format!("/v1/range?prefix={prefix}&after={after}");
        let answer: Result<RangeAnswer, CallFault> =
            self.client.json(Method::GET, &self.address, &path, &(), CALL_TIMEOUT).await;
        answer.map(|answer| answer.values).map_err(|_| KeyValueFault::Unavailable)
    }

    /// Waits for a change after a version, at most as long as the service allows; returns
    /// the current version.
    ///
    /// # Errors
    /// [`KeyValueFault`] if the service does not answer as expected.
    pub async fn watch(&self, since: u64) -> Result<u64, KeyValueFault> {
        let path = format!("/v1/watch?since={since}");
        let answer: Result<WatchAnswer, CallFault> =
            self.client.json(Method::GET, &self.address, &path, &(), WATCH_TIMEOUT).await;
        answer.map(|answer| answer.version).map_err(|_| KeyValueFault::Unavailable)
    }

    /// Acquires or renews a lease; returns its fencing epoch, or `None` if another holder
    /// has it.
    ///
    /// # Errors
    /// [`KeyValueFault`] if the service does not answer as expected.
    pub async fn lease(&self, key: &str, holder: &str, time: Duration) -> Result<Option<u64>, KeyValueFault> {
        let body = LeaseBody { key, holder, milliseconds: time.as_millis() as u64 };
        let answer: Result<LeaseAnswer, CallFault> =
            self.client.json(Method::POST, &self.address, "/v1/leases", &body, CALL_TIMEOUT).await;
        match answer {
            Ok(answer) => Ok(Some(answer.epoch)),
            Err(CallFault::BadAnswer(409, _)) => Ok(None),
            Err(_) => Err(KeyValueFault::Unavailable),
        }
    }
}
