//! What a site's headers are called and how they are read.

use hyper::header::{HeaderMap, HeaderName};
use latchwheel_core::dispatch::{Prompt, ServerLoad};

/// Names of the headers that this crate sets or checks.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request; every answer of a server carries it back.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Identity of the server that a request is meant for.
    pub expected_server: HeaderName,
    /// Present where a server did not run a request.
    pub not_run: HeaderName,
    /// Number of the last event that the asker has.
    pub last_event: HeaderName,
    /// Name of the tenant that a request is run for.
    pub tenant: HeaderName,
}

/// A site's way of telling things in headers.
pub trait Dialect: Send + Sync + 'static {
    /// The names of headers.
    fn names(&self) -> &HeaderNames;

    /// The prompt that a request describes.
    fn prompt(&self, headers: &HeaderMap) -> Prompt;

    /// The load that a server's answer tells.
    fn load(&self, headers: &HeaderMap) -> Option<ServerLoad>;
}
