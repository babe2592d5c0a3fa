//! What the head of a server's answer says about its body.

use crate::dialect::HeaderNames;
use crate::exchange::Outgoing;
use hyper::header::{HeaderMap, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode, Version};
use latchwheel_core::answer_end::Framing;

const EVENT_STREAM: &str = "text/event-stream";

/// How a server marks the end of an answer with this head.
pub(crate) fn framing_of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
    let has_no_body = *method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if headers.contains_key(TRANSFER_ENCODING) {
        Framing::Chunks
    } else if has_no_body || headers.contains_key(CONTENT_LENGTH) {
        Framing::Length
    } else {
        Framing::Connection
    }
}

/// Whether a body is an event stream; `None` if its type is not stated.
pub(crate) fn states_event_stream(headers: &HeaderMap) -> Option<bool> {
    let content_type = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    Some(media_type.eq_ignore_ascii_case(EVENT_STREAM))
}

/// Takes out of a server's head what concerns its connection only. An answer in the server's
/// older version would end with the caller's connection, also where it is broken off.
pub(crate) fn strip_connection(head: &mut Parts, names: &HeaderNames) {
    Outgoing::strip(&mut head.headers, names);
    head.version = Version::HTTP_11;
}
