//! Parts of a request that all stand-ins read.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::Request;
use latchwheel_http::{json, read_bounded, Body};
use serde::de::DeserializeOwned;
use std::time::Duration;

const BODY_LIMIT: usize = 8 << 20;
const BODY_TIME: Duration = Duration::from_secs(10);

/// A response of the stand-in.
pub type Response = hyper::Response<Body>;

/// Reads a JSON body.
///
/// # Errors
/// The response to send where the body is not such JSON.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Response> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes).map_err(|fault| refuse(400, &fault.to_string()))
}

/// Reads a whole body.
///
/// # Errors
/// The response to send where the body did not arrive.
pub async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Response> {
    read_bounded(request.into_body(), BODY_LIMIT, BODY_TIME).await.map_err(|fault| refuse(400, &format!("{fault:?}")))
}

/// A refusal in the form that engines use.
pub fn refuse(status: u16, message: &str) -> Response {
    json(status, &serde_json::json!({ "error": { "message": message, "code": status } }))
}

/// A value of the query string.
pub fn query<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
}
