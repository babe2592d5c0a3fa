//! Which handler a request goes to.

use crate::backend::Backend;
use crate::error::refuse;
use crate::keys::hash_key;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::http::Extensions;
use hyper::{Request, Response};
use latchwheel_core::client_budget::NoRoom;
use latchwheel_core::code::ResultCode;
use latchwheel_core::parsed_size::parsed_bytes;
use latchwheel_http::{full, read_client_body, Body, BodyFault, RequestHold, Reservation};
use std::sync::Arc;
use std::time::Duration;

/// Tenant of callers where no keys are required.
pub(crate) const OPEN_TENANT: &str = "default";

/// Whether callers need a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyPolicy {
    /// Every request needs a tenant's key.
    #[default]
    Required,
    /// All callers are one tenant; for development.
    Open,
}

/// Copies of a body while its request is served: its prompt, and the text for the server.
const BODY_COPIES: usize = 3;

/// Settings of the interfaces.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Whether callers need a key.
    pub keys: KeyPolicy,
    /// Most bytes of an online request's body.
    pub body_limit: usize,
    /// Time in which a body must arrive.
    pub body_time: Duration,
    /// Hash of the operators' key; none means that no key is asked for.
    pub admin_key_hash: Option<String>,
}

/// The interfaces of one node.
#[derive(Clone, Debug)]
pub struct Gateway<B> {
    pub(crate) backend: B,
    pub(crate) settings: Arc<GatewaySettings>,
}

impl<B: Backend> Gateway<B> {
    /// The interfaces over a node.
    pub fn new(backend: B, settings: GatewaySettings) -> Self {
        Self { backend, settings: Arc::new(settings) }
    }

    /// Answers a caller.
    pub async fn answer_caller(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().trim_end_matches('/').to_owned();
        match path.as_str() {
            "/healthz" => return plain(200, "alive\n"),
            "/readyz" => return self.readiness(),
            _ => {}
        }
        let Some(tenant) = self.authenticate(&request) else { return refuse(ResultCode::Unauthorized, "") };
        self.route_caller(request, &path, tenant).await
    }

    /// Answers an operator.
    pub async fn answer_operator(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().trim_end_matches('/').to_owned();
        match path.as_str() {
            "/healthz" => return plain(200, "alive\n"),
            "/readyz" => return self.readiness(),
            "/metrics" => return plain(200, self.backend.metrics()),
            _ => {}
        }
        if let Some(expected) = &self.settings.admin_key_hash {
            if bearer(&request).map(|key| hash_key(&key)).as_ref() != Some(expected) {
                return refuse(ResultCode::Unauthorized, "");
            }
        }
        self.route_operator(request, &path).await
    }

    fn readiness(&self) -> Response<Body> {
        self.refuse_new_work().unwrap_or_else(|| plain(200, "ready\n"))
    }

    /// The refusal of a node that takes no new work.
    pub(crate) fn refuse_new_work(&self) -> Option<Response<Body>> {
        if self.backend.is_leaving() {
            return Some(refuse(ResultCode::Leaving, ""));
        }
        (!self.backend.is_ready()).then(|| refuse(ResultCode::NotReady, ""))
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Option<String> {
        match self.settings.keys {
            KeyPolicy::Open => Some(OPEN_TENANT.to_owned()),
            KeyPolicy::Required => self.backend.table().keys.get(&hash_key(&bearer(request)?)).cloned(),
        }
    }

    /// Reads a bounded body, and holds memory for its values and for the copies that are sent on.
    ///
    /// # Errors
    /// The refusal to send.
    pub(crate) async fn read_body(&self, head: &Parts, body: Incoming) -> Result<ReadBody, Box<Response<Body>>> {
        let read = read_client_body(&head.extensions, body, self.settings.body_limit, self.settings.body_time);
        let read = tokio::select! {
            biased;
            read = read => read,
            () = self.backend.left() => return Err(Box::new(refuse(ResultCode::Leaving, ""))),
        };
        let bytes = read.map_err(|fault| Box::new(refuse(body_code(fault), "")))?;
        let needed = parsed_bytes(&bytes) + BODY_COPIES * bytes.len();
        let memory = reserve(&head.extensions, needed).map_err(|code| Box::new(refuse(code, "")))?;
        Ok(ReadBody { bytes, _memory: memory })
    }
}

/// A body that was read, with the memory that is held for it.
#[derive(Debug)]
pub(crate) struct ReadBody {
    pub(crate) bytes: bytes::Bytes,
    _memory: Option<Reservation>,
}

/// Holds memory for a caller's request.
///
/// # Errors
/// The code of the refusal.
pub(crate) fn reserve(extensions: &Extensions, bytes: usize) -> Result<Option<Reservation>, ResultCode> {
    let Some(request) = extensions.get::<Arc<RequestHold>>() else { return Ok(None) };
    if bytes > request.guard().most_request_bytes() {
        return Err(ResultCode::TooLarge);
    }
    request.guard().reserve(bytes).map(Some).map_err(|NoRoom| ResultCode::NoMemory)
}

pub(crate) fn body_code(fault: BodyFault) -> ResultCode {
    match fault {
        BodyFault::TooLarge => ResultCode::TooLarge,
        BodyFault::Slow => ResultCode::SlowBody,
        BodyFault::Gone => ResultCode::CallerGone,
        BodyFault::NoRoom => ResultCode::NoMemory,
    }
}

fn bearer(request: &Request<Incoming>) -> Option<String> {
    let value = request.headers().get(hyper::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::to_owned)
}

pub(crate) fn plain(status: u16, text: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let value = hyper::header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}
