//! Client of the key-value service.

use hyper::Method;
use latchwheel_http::{CallFault, Client};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The service itself bounds a watch to ten seconds.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct VersionedValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Version: every write has a higher one.
    pub version: u64,
}

/// What a compare-and-swap came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The value was written.
    Written(VersionedValue),
    /// The key has another version.
    VersionMismatch(VersionedValue),
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValueFault {
    /// The call had no effect.
    Unavailable,
    /// It can't be told whether the call had an effect.
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
    /// A client for the service at an address.
    pub fn new(address: String) -> Self {
        Self { client: Client::http1(), address }
    }

    /// Reads a key.
    ///
    /// # Errors
    /// [`KeyValueFault`].
    pub async fn read(&self, key: &str) -> Result<Option<VersionedValue>, KeyValueFault> {
        let path = format!("/v1/keys/{key}");
        match self.client.json(Method::GET, &self.address, &path, &(), CALL_TIMEOUT).await {
            Ok(stored) => Ok(Some(stored)),
            Err(CallFault::BadAnswer(404, _)) => Ok(None),
            Err(_) => Err(KeyValueFault::Unavailable),
        }
    }

    /// Writes a key that has this version; zero means that it is absent.
    ///
    /// # Errors
    /// [`KeyValueFault`].
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

    /// Reads up to a thousand keys with a prefix, behind a key.
    ///
    /// # Errors
    /// [`KeyValueFault`].
    pub async fn range(&self, prefix: &str, after: &str) -> Result<Vec<VersionedValue>, KeyValueFault> {
        let path = format!("/v1/range?prefix={prefix}&after={after}");
        let answer: Result<RangeAnswer, CallFault> =
            self.client.json(Method::GET, &self.address, &path, &(), CALL_TIMEOUT).await;
        answer.map(|answer| answer.values).map_err(|_| KeyValueFault::Unavailable)
    }

    /// Waits, for a bounded time, until anything changes after a version;
    /// gives the present version.
    ///
    /// # Errors
    /// [`KeyValueFault`].
    pub async fn watch(&self, since: u64) -> Result<u64, KeyValueFault> {
        let path = format!("/v1/watch?since={since}");
        let answer: Result<WatchAnswer, CallFault> =
            self.client.json(Method::GET, &self.address, &path, &(), WATCH_TIMEOUT).await;
        answer.map(|answer| answer.version).map_err(|_| KeyValueFault::Unavailable)
    }

    /// Takes or renews a lease; gives its fencing epoch, or `None` where
    /// another holds it.
    ///
    /// # Errors
    /// [`KeyValueFault`].
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
