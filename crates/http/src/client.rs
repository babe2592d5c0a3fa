//! HTTP client with pooled connections.

use crate::answer_head::{check_head, InterimHeads};
use crate::body::{full, read_with_timeouts, Body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::connect::{capture_connection, HttpConnector};
use hyper_util::client::legacy::Client as PooledClient;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::IpAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest answer that a client reads whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// No connection could be made, so no byte of the request was sent.
    NotSent,
    /// The request may have reached the server.
    MaybeSent,
    /// Status and body of an unexpected answer.
    BadAnswer(u16, Bytes),
}

impl std::fmt::Display for CallFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallFault::NotSent => write!(formatter, "no connection"),
            CallFault::MaybeSent => write!(formatter, "no complete answer"),
            CallFault::BadAnswer(status, _) => write!(formatter, "unexpected answer with status {status}"),
        }
    }
}

impl std::error::Error for CallFault {}

/// Timeouts of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeouts {
    /// Longest wait for the head of the answer, and between two chunks of its body.
    pub idle: Duration,
    /// Longest time for the whole call.
    pub total: Duration,
}

type Pool = PooledClient<HttpConnector, Body>;

/// An HTTP client. Clones share its connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<RwLock<Pool>>,
    /// Creates a new pool when the connections of the present one may be dead.
    make_pool: Option<fn() -> Pool>,
}

impl Client {
    /// Creates a client that uses HTTP/1.1.
    pub fn http1() -> Self {
        Self::of(new_pool(false, None), None)
    }

    /// Creates an HTTP/1.1 client that discards all pooled connections after a call without a
    /// complete answer. The other idle connections may be dead too, and every later call on
    /// one of them would wait for its timeout.
    pub fn http1_reconnecting() -> Self {
        Self::of(new_pool(false, None), Some(|| new_pool(false, None)))
    }

    /// Creates a client that uses HTTP/2 with prior knowledge, bound to the local address
    /// if one is given.
    pub fn http2(local: Option<IpAddr>) -> Self {
        Self::of(new_pool(true, local), None)
    }

    fn of(pool: Pool, make_pool: Option<fn() -> Pool>) -> Self {
        Self { pool: Arc::new(RwLock::new(pool)), make_pool }
    }

    fn pool(&self) -> Pool {
        self.pool.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the fault of a call without a complete answer, and replaces the pool if configured.
    fn unanswered(&self) -> CallFault {
        if let Some(make_pool) = self.make_pool {
            *self.pool.write().unwrap_or_else(PoisonError::into_inner) = make_pool();
        }
        CallFault::MaybeSent
    }

    /// Sends a request and waits for the head of the answer. A connection on which a head can't be
    /// used carries no further request.
    ///
    /// # Errors
    /// [`CallFault::NotSent`] or [`CallFault::MaybeSent`].
    pub async fn send(&self, mut request: Request<Body>) -> Result<Response<Incoming>, CallFault> {
        let method = request.method().clone();
        let connection = capture_connection(&mut request);
        let interim_heads = InterimHeads::of(&mut request);
        let answer = tokio::select! {
            biased;
            answer = self.pool().request(request) => answer,
            _ = interim_heads.fault() => return Err(CallFault::MaybeSent),
        };
        let mut answer = answer.map_err(|fault| match fault.is_connect() {
            true => CallFault::NotSent,
            false => CallFault::MaybeSent,
        })?;
        if check_head(&method, &mut answer).is_err() {
            if let Some(connection) = connection.connection_metadata().as_ref() {
                connection.poison();
            }
            return Err(CallFault::MaybeSent);
        }
        Ok(answer)
    }

    /// Sends a request and reads the whole answer within `time`.
    ///
    /// # Errors
    /// [`CallFault`]; `BadAnswer` for a status other than 2xx.
    pub async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        time: Duration,
    ) -> Result<Bytes, CallFault> {
        self.call_with_timeouts(method, address, path, body, AnswerTimeouts { idle: time, total: time }).await
    }

    /// Sends a request and reads the whole answer, with separate idle and total timeouts.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn call_with_timeouts(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        timeouts: AnswerTimeouts,
    ) -> Result<Bytes, CallFault> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(full(body))
            .map_err(|_| CallFault::NotSent)?;
        let exchange = async {
            let sent = tokio::time::timeout(timeouts.idle, self.send(request)).await;
            let response = sent.map_err(|_| self.unanswered())??;
            let status = response.status();
            let read = read_with_timeouts(response.into_body(), MAX_ANSWER_BYTES, timeouts.idle, timeouts.total).await;
            let bytes = read.map_err(|_| self.unanswered())?;
            if status.is_success() {
                Ok(bytes)
            } else {
                Err(CallFault::BadAnswer(status.as_u16(), bytes))
            }
        };
        tokio::time::timeout(timeouts.total, exchange).await.unwrap_or_else(|_| Err(self.unanswered()))
    }

    /// Sends a JSON body and parses the JSON answer.
    ///
    /// # Errors
    /// As [`Client::call`]; also `BadAnswer` if the answer can't be parsed.
    pub async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: &impl Serialize,
        time: Duration,
    ) -> Result<T, CallFault> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let bytes = self.call(method, address, path, body.into(), time).await?;
        serde_json::from_slice(&bytes).map_err(|_| CallFault::BadAnswer(200, bytes))
    }
}

fn new_pool(http2: bool, local: Option<IpAddr>) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_local_address(local);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    PooledClient::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .http2_only(http2)
        .build(connector)
}
