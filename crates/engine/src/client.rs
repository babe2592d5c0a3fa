//! Client of the engines.

use crate::report::{CacheEvents, CachedBlocks, LoadReport};
use crate::stream::AnswerStream;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use latchwheel_http::{full, AnswerBudget, AnswerShare, CallFault, Client};
use serde::de::IgnoredAny;
use serde::Serialize;
use std::time::Duration;

/// Longest answer that is read whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Request id; the engine counts runs and stores resume points under it.
    pub identity: String,
    /// Path of the engine's API.
    pub path: String,
    /// JSON body.
    pub body: Bytes,
    /// Whether the body asks for a streamed answer.
    pub streamed: bool,
    /// Whether to resume an interrupted run.
    pub resume: bool,
    /// Timeout for the whole answer, or for the head of a streamed one.
    pub timeout: Duration,
}

/// An engine's answer.
#[derive(Debug)]
pub enum EngineAnswer {
    /// The whole answer.
    Whole(Bytes),
    /// A stream of events.
    Stream(AnswerStream),
}

/// Why a request to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// No byte of the request was sent.
    Unreachable,
    /// The engine refused the request for now, without running it.
    Refused,
    /// Status and body with which the engine refused the request as invalid.
    InvalidRequest(u16, Bytes),
    /// The engine no longer has the run to resume.
    RunNotFound,
    /// The request was sent, but no complete answer arrived.
    Interrupted,
}

#[derive(Debug, Serialize)]
struct Order<'a> {
    epoch: u64,
    kind: &'a str,
    value: &'a str,
}

/// Client of all engines, with one connection pool and one budget for their answers.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: Client,
    answers: AnswerBudget,
}

impl Default for EngineClient {
    fn default() -> Self {
        Self { client: Client::http1(), answers: AnswerBudget::default() }
    }
}

impl EngineClient {
    /// Sends a request to the engine at an address.
    ///
    /// # Errors
    /// [`EngineFault`] if the engine gives no answer.
    pub async fn send(&self, address: &str, request: EngineRequest) -> Result<EngineAnswer, EngineFault> {
        let time = request.timeout;
        let streamed = request.streamed;
        let path = if request.resume { format!("/v1/streams/{}/resume", request.identity) } else { request.path };
        let message = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .header("x-request-id", request.identity)
            .body(full(request.body))
            .map_err(|_| EngineFault::Unreachable)?;
        let exchange = async {
            let response = self.client.send(message).await.map_err(|fault| match fault {
                CallFault::NotSent => EngineFault::Unreachable,
                CallFault::MaybeSent | CallFault::BadAnswer(..) => EngineFault::Interrupted,
            })?;
            let status = response.status().as_u16();
            if streamed && status == 200 {
                return Ok(EngineAnswer::Stream(AnswerStream::within(self.answers.share(), response.into_body())));
            }
            let whole = read_whole(response.into_body(), self.answers.share()).await;
            let bytes = whole.ok_or(EngineFault::Interrupted)?;
            match status {
                200 if is_complete_json(&bytes) => Ok(EngineAnswer::Whole(bytes)),
                200 => Err(EngineFault::Interrupted),
                410 => Err(EngineFault::RunNotFound),
                429 | 503 => Err(EngineFault::Refused),
                400..=499 => Err(EngineFault::InvalidRequest(status, bytes)),
                _ => Err(EngineFault::Interrupted),
            }
        };
        tokio::time::timeout(time, exchange).await.unwrap_or(Err(EngineFault::Interrupted))
    }

    /// Cancels a run; it can't be resumed.
    pub async fn cancel(&self, address: &str, identity: &str) {
        let path = format!("/v1/streams/{identity}/cancel");
        // If the call fails, the run only uses engine time: its result is dropped.
        let _ = self.client.call(Method::POST, address, &path, Bytes::new(), CALL_TIMEOUT).await;
    }

    /// Reads the engine's load report, which lags.
    ///
    /// # Errors
    /// [`CallFault`] if the engine does not answer as expected.
    pub async fn load(&self, address: &str) -> Result<LoadReport, CallFault> {
        self.client.json(Method::GET, address, "/v1/load", &(), CALL_TIMEOUT).await
    }

    /// Reads the cache events from a sequence number on.
    ///
    /// # Errors
    /// [`CallFault`] if the engine does not answer as expected.
    pub async fn cache_events(&self, address: &str, from: u64) -> Result<CacheEvents, CallFault> {
        let path = format!("/v1/cache/events?from={from}");
        self.client.json(Method::GET, address, &path, &(), CALL_TIMEOUT).await
    }

    /// Reads all cached blocks.
    ///
    /// # Errors
    /// [`CallFault`] if the engine does not answer as expected.
    pub async fn cached_blocks(&self, address: &str) -> Result<CachedBlocks, CallFault> {
        self.client.json(Method::GET, address, "/v1/cache/blocks", &(), CALL_TIMEOUT).await
    }

    /// Sends an order fenced by an epoch; returns `false` if the engine has seen a higher one.
    ///
    /// # Errors
    /// [`CallFault`] if the engine does not answer as expected.
    pub async fn order(&self, address: &str, epoch: u64, kind: &str, value: &str) -> Result<bool, CallFault> {
        let order = Order { epoch, kind, value };
        let answer: Result<serde_json::Value, CallFault> =
            self.client.json(Method::POST, address, "/v1/orders", &order, CALL_TIMEOUT).await;
        match answer {
            Ok(_) => Ok(true),
            Err(CallFault::BadAnswer(409, _)) => Ok(false),
            Err(fault) => Err(fault),
        }
    }
}

/// Reads an answer whole; `None` if it broke off, is too long or has no room in the budget.
async fn read_whole(mut body: Incoming, mut share: AnswerShare) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = whole.len() + data.len();
        if length > MAX_ANSWER_BYTES {
            return None;
        }
        share.hold(length).ok()?;
        whole.extend_from_slice(&data);
    }
    Some(share.into_bytes(whole.freeze()))
}

/// Whether an answer is a complete JSON document: one with neither a length nor chunks ends
/// with its connection, also when its engine crashes.
fn is_complete_json(bytes: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(bytes).is_ok()
}
