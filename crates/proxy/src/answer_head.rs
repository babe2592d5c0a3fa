//! What the head of a server's answer says about its body.

use crate::dialect::HeaderNames;
use crate::exchange::Outgoing;
use hyper::header::{HeaderMap, CONTENT_TYPE};
use hyper::http::response::Parts;
use hyper::Version;

const EVENT_STREAM: &str = "text/event-stream";

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
