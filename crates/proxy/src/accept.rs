//! Taking a request in: what it names, its route, its body and its tenant.

use crate::ambiguity::is_ambiguous;
use crate::answer::{error_answer, DEFAULT_RETRY_AFTER};
use crate::caller::{bearer_key, put_tenant};
use crate::dialect::Dialect;
use crate::exchange::Outgoing;
use crate::forward::{log_refusal, Context};
use crate::in_flight::InFlight;
use crate::planned_stop::TooLate;
use crate::shared::Shared;
use crate::start::{look_for_departure, HeldAtStart};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, AUTHORIZATION, CONTENT_LENGTH, HOST};
use hyper::{Request, Response};
use latchwheel_core::attempts::Attempts;
use latchwheel_core::code::ResultCode;
use latchwheel_core::routes::{RequestKind, Route};
use latchwheel_core::stream_origins::StreamKey;
use latchwheel_core::time::Instant;
use latchwheel_http::{read_client_body, Body, BodyFault};
use std::sync::Arc;
use std::time::Duration;

/// Time after which to come back where another node can take a request at once.
pub(crate) const OTHER_NODE_COME_BACK: Duration = Duration::from_millis(10);

/// A request that is refused before it is routed.
pub(crate) struct Refusal {
    id: String,
    route: Option<Arc<Route>>,
    code: ResultCode,
    retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn answer<D: Dialect>(&self, shared: &Shared<D>, received: Instant) -> Response<Body> {
        let route = self.route.as_ref().map_or("", |route| &*route.name);
        let leaving = self.code == ResultCode::Leaving;
        let retry_after = self.retry_after.unwrap_or(if leaving { OTHER_NODE_COME_BACK } else { DEFAULT_RETRY_AFTER });
        log_refusal(shared, &self.id, route, self.code, received, retry_after);
        error_answer(self.code, Some(retry_after))
    }
}

/// Reads a request and finds its route, tenant and service.
///
/// # Errors
/// [`Refusal`]: nothing was sent to a server.
pub(crate) async fn accept<D: Dialect>(
    shared: &Arc<Shared<D>>,
    request: Request<Incoming>,
    received: Instant,
) -> Result<Context<D>, Refusal> {
    let names = shared.dialect.names();
    let (mut head, body) = request.into_parts();
    let was_held = head.extensions.get::<HeldAtStart>().is_some();
    let id_header = head.headers.get(&names.request_id).cloned();
    let id = id_header.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    let refuse = |code, route| Refusal { id: id.clone(), route, code, retry_after: None };
    if let Some(code) = shared.start.refusal(was_held) {
        return Err(refuse(code, None));
    }
    let table = shared.table();
    let Some(id_header) = id_header.filter(|_| !is_ambiguous(&head.headers, names)) else {
        return Err(refuse(ResultCode::BadHeader, None));
    };
    let host = host_of(&head.headers, &head.uri);
    let Some(route) = table.find(&host, head.uri.path()) else { return Err(refuse(ResultCode::NoRow, None)) };
    // Jobs are kept, not forwarded; this one came before its route was known.
    if route.kind == RequestKind::Batch {
        return Err(refuse(ResultCode::NotReady, Some(route)));
    }
    let tenant = shared
        .caller(&table, bearer_key(&head.headers), route.public)
        .map_err(|code| refuse(code, Some(route.clone())))?;
    let deadline = shared.deadline_of(&head.headers);
    let time = deadline.map_or(route.timeout, |time| time.min(route.timeout));
    let until = received + time;
    let read = async {
        let read = read_client_body(&head.extensions, body, table.limits.body_bytes, time).await;
        look_for_departure(was_held).await;
        read
    };
    let read = shared.before_too_late(&route, until, read).await;
    let body = read.map_err(|TooLate| refuse(ResultCode::Leaving, Some(route.clone())))?.map_err(|fault| {
        let code = match fault {
            BodyFault::TooLarge => ResultCode::TooLarge,
            BodyFault::Slow => ResultCode::SlowBody,
            BodyFault::Gone => ResultCode::CallerGone,
            BodyFault::NoRoom => ResultCode::NoMemory,
        };
        refuse(code, Some(route.clone()))
    })?;
    let prompt = shared.dialect.prompt(&head.headers);
    Outgoing::strip(&mut head.headers, names);
    head.headers.remove(CONTENT_LENGTH);
    if !table.tenants.is_empty() {
        head.headers.remove(AUTHORIZATION);
    }
    put_tenant(&mut head.headers, names, tenant.as_ref().map(|tenant| &*tenant.name));
    let outgoing = Outgoing {
        method: head.method,
        uri: path_only(&head.uri),
        headers: head.headers,
        body,
        id: id_header,
        prompt,
        in_flight: InFlight::default(),
    };
    if let Some(left) = shared.quarantined_for(&outgoing) {
        return Err(Refusal { id, route: Some(route), code: ResultCode::Quarantined, retry_after: Some(left) });
    }
    if let Some(tenant) = &tenant {
        let admitted = shared.before_too_late(&route, until, shared.permits.admit(tenant)).await;
        admitted.map_err(|TooLate| refuse(ResultCode::Leaving, Some(route.clone())))?.map_err(|retry_after| {
            let (id, route, retry_after) = (id.clone(), Some(route.clone()), Some(retry_after));
            Refusal { id, route, code: ResultCode::RateLimited, retry_after }
        })?;
    }
    let service = shared.next_service(&route).ok_or_else(|| refuse(ResultCode::NoServer, Some(route.clone())))?;
    Ok(Context {
        shared: shared.clone(),
        stream: StreamKey::of(&id),
        id,
        service,
        software: None,
        table_version: table.version,
        received,
        until,
        outgoing,
        attempts: Attempts::new(route.kind, route.max_attempts),
        route,
        tenant,
        asked: Vec::new(),
        start_turn: None,
    })
}

/// Host that a request names, in lower case and without a port.
pub fn host_of(headers: &HeaderMap, uri: &hyper::Uri) -> String {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or_else(|| uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

/// A target in origin form, whatever form the caller used.
fn path_only(uri: &hyper::Uri) -> hyper::Uri {
    uri.path_and_query().map_or_else(|| hyper::Uri::from_static("/"), |path| hyper::Uri::from(path.clone()))
}
