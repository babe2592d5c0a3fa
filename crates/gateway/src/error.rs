//! Error answers: a numbered code, whether the request ran, and when to come
//! back.

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::Response;
use latchwheel_core::code::ResultCode;
use latchwheel_http::{json, Body};
use std::time::Duration;

/// Header with the number of the result code.
pub const CODE_HEADER: &str = "x-latchwheel-code";
/// Header with `not-run`, `ran` or `unknown`.
pub const RAN_HEADER: &str = "x-latchwheel-ran";

/// Body of an error in the form that client libraries read.
pub fn error_body(code: ResultCode, detail: &str) -> serde_json::Value {
    let message = if detail.is_empty() { code.text().to_owned() } else { format!("{} ({detail})", code.text()) };
    serde_json::json!({
        "error": {
            "message": message,
            "type": code.name(),
            "code": code.number(),
            "ran": code.ran().as_str(),
        }
    })
}

/// When to come back after an error that is not the caller's, where nothing
/// better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const FIRST_SERVER_STATUS: u16 = 500;

/// An error answer. Errors that are not the caller's say when to come back.
pub fn refuse(code: ResultCode, detail: &str) -> Response<Body> {
    if code.http_status() >= FIRST_SERVER_STATUS {
        return refuse_after(code, detail, DEFAULT_RETRY_AFTER);
    }
    refuse_for_good(code, detail)
}

fn refuse_for_good(code: ResultCode, detail: &str) -> Response<Body> {
    let mut response = json(code.http_status(), &error_body(code, detail));
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    headers.insert(RAN_HEADER, HeaderValue::from_static(code.ran().as_str()));
    response
}

/// An error answer that says when to come back, in whole seconds and exactly.
pub fn refuse_after(code: ResultCode, detail: &str, after: Duration) -> Response<Body> {
    let mut response = refuse_for_good(code, detail);
    let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response.headers_mut().insert("retry-after-ms", HeaderValue::from(after.as_millis() as u64));
    response
}
