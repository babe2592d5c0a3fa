//! What a site's headers are called and how they are read.

use hyper::header::{HeaderMap, HeaderName, HOST};
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
    /// Identity of the request that brought the first event of the stream that a request
    /// continues.
    pub resumes: HeaderName,
    /// Name of the tenant that a request is run for.
    pub tenant: HeaderName,
    /// What a request asks for beside its path and body.
    pub prompt: Vec<HeaderName>,
}

impl HeaderNames {
    /// Whether a header says which request it is, what it asks for or what it continues: it is
    /// not a matter of the connection, also where a caller names it as one.
    pub(crate) fn is_for_server(&self, name: &HeaderName) -> bool {
        let own = [&HOST, &self.request_id, &self.last_event, &self.resumes];
        own.contains(&name) || self.prompt.contains(name)
    }
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
