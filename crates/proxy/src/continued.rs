//! Requests that continue a stream which another request began.

use crate::dialect::{Dialect, HeaderNames};
use crate::exchange::Exchange;
use crate::forward::Context;
use crate::stream_origins::{NewRecord, OriginQuery};
use hyper::header::{HeaderMap, HeaderName};
use hyper::Response;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::stable_hash;
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::stream_origins::{Origin, Quorum, StreamKey};
use latchwheel_events::{emit, Event};
use latchwheel_http::Body;
use std::sync::Arc;
use std::time::Duration;

/// Time for which the record of a stream is kept after the deadline of its request: clients take
/// the stream up within it.
const KEEP_AFTER_DEADLINE: Duration = Duration::from_secs(30);
/// Retry time while no server of a stream's version accepts requests.
pub(crate) const VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The stream that a request continues, and the replies that show that it is not recorded;
/// `None` if the request begins a stream.
fn continued_stream(headers: &HeaderMap, names: &HeaderNames, id: &str) -> Option<(StreamKey, Quorum)> {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    if let Some(first_request) = text(&names.resumes).filter(|first_request| !first_request.is_empty()) {
        return Some((StreamKey::of(first_request), Quorum::AllReplicas));
    }
    let has_events = text(&names.last_event).is_some_and(|event| !matches!(event, "" | "0"));
    // A client that names no request may have sent the same one before.
    has_events.then(|| (StreamKey::of(id), Quorum::AnyReplica))
}

impl<D: Dialect> Context<D> {
    /// Where the request continues a stream, restricts it to the software that began the
    /// stream.
    ///
    /// # Errors
    /// The answer, if that software is unknown or none of its servers can be used.
    pub(crate) async fn find_software(&mut self) -> Result<(), Response<Body>> {
        let names = self.shared.dialect.names();
        let continued = continued_stream(&self.outgoing.headers, names, &self.id).filter(|_| self.is_stream());
        let Some((stream, quorum)) = continued else { return Ok(()) };
        let services = self.route.targets.iter().map(|target| stable_hash(target.service.as_bytes())).collect();
        let query = OriginQuery { stream, quorum, services, window: self.route.timeout + KEEP_AFTER_DEADLINE };
        let origin = self.shared.stream_origins.find(&self.shared, &query).await;
        let (software, recorded) = match origin {
            Origin::Recorded(software) => (software, true),
            Origin::OnlyVersion(software) => (software, false),
            Origin::Pending | Origin::Unknown => return Err(self.refuse(ResultCode::StreamOriginUnknown, None)),
        };
        self.stream = stream;
        self.software = Some(software);
        match self.service_of(software) {
            Some(service) => self.service = service,
            None => return Err(self.refuse_version_away()),
        }
        let after_ms = self.shared.clock.now().since(self.received).as_millis() as u64;
        emit(&self.id, &Event::StreamContinued { id: &self.id, route: &self.route.name, recorded, after_ms });
        Ok(())
    }

    /// The service of the route whose servers run the software.
    fn service_of(&self, software: SoftwareKey) -> Option<Arc<str>> {
        let service = self.shared.dispatcher().service_of(software)?;
        self.route.targets.iter().any(|target| target.service == service).then_some(service)
    }

    /// Refuses a stream whose version has no server that accepts requests.
    fn refuse_version_away(&self) -> Response<Body> {
        self.refuse(ResultCode::StreamVersionAway, Some(VERSION_RETRY_AFTER))
    }

    /// Events of this attempt go to the client: the rest of the stream must come from the same
    /// software, also at other nodes.
    pub(crate) fn note_events_passed(&mut self, exchange: &Exchange<D>) {
        let software = exchange.software();
        self.software = Some(software);
        let keep = self.left() + KEEP_AFTER_DEADLINE;
        let record = NewRecord { stream: self.stream, software, keep };
        self.shared.stream_origins.note_begun(self.shared.clock.now(), record);
    }
}
