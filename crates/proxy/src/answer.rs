//! Answers of the node's own.

use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::Response;
use latchwheel_core::code::ResultCode;
use latchwheel_http::{json, Body};
use std::time::Duration;

const CODE_HEADER: HeaderName = HeaderName::from_static("x-latchwheel-code");
const RAN_HEADER: HeaderName = HeaderName::from_static("x-latchwheel-ran");

/// Default time after which to come back.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// An answer with a result code; refusals say when to come back.
pub fn error_answer(code: ResultCode, retry_after: Option<Duration>) -> Response<Body> {
    let status = code.http_status();
    let body = serde_json::json!({ "code": code.number(), "name": code.name(), "text": code.text() });
    let mut response = json(status, &body);
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    headers.insert(RAN_HEADER, HeaderValue::from_static(code.ran().as_str()));
    if matches!(status, 408 | 429 | 503) {
        headers.insert(RETRY_AFTER, come_back_header(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)));
    }
    response
}

/// Seconds with fractions.
pub fn come_back_header(time: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64())).unwrap_or(HeaderValue::from_static("1"))
}
