//! One attempt at a server, up to the head of its answer.

use crate::answer_head::states_event_stream;
use crate::crashes::has_just_ended;
use crate::dialect::{Dialect, HeaderNames};
use crate::in_flight::{InFlight, InFlightAttempt};
use crate::pool::{keep_time, Connection, ConnectionUse};
use crate::shared::Shared;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, HOST, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use latchwheel_core::answer_end::{Framing, StreamProgress};
use latchwheel_core::attempts::AttemptFailure;
use latchwheel_core::dispatch::{Ending, Placement, Prompt, ServerKey};
use latchwheel_core::fingerprint::RequestContent;
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::time::Instant;
use latchwheel_http::{check_head, full, read_bounded, AnswerShare, HeadFault, InterimHeads};
use std::sync::Arc;
use std::time::Duration;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    hyper::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    hyper::header::PROXY_AUTHENTICATE,
    hyper::header::PROXY_AUTHORIZATION,
    hyper::header::TE,
    hyper::header::TRAILER,
    TRANSFER_ENCODING,
    hyper::header::UPGRADE,
];

/// Bytes and time within which the body of a rejection is read, so that its
/// connection can be kept.
const REJECTION_LIMIT: usize = 16 << 10;
const REJECTION_TIME: Duration = Duration::from_millis(50);

/// No connection to the server came up.
const NO_CONNECTION: &str = "no_connection";

/// A request as it goes to any server.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers; those of one connection are taken out.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Its identity, which the answer must carry back.
    pub id: HeaderValue,
    /// Its prompt.
    pub prompt: Prompt,
    /// Its attempts in progress.
    pub in_flight: InFlight,
}

impl Outgoing {
    /// What stays the same when the request comes again.
    pub fn content(&self, names: &HeaderNames) -> RequestContent<'_> {
        let caller = self.headers.get(&names.tenant).or_else(|| self.headers.get(AUTHORIZATION));
        RequestContent {
            method: self.method.as_str(),
            host: self.headers.get(HOST).map_or(&[], HeaderValue::as_bytes),
            target: self.uri.path_and_query().map_or("/", PathAndQuery::as_str),
            caller: caller.map_or(&[], HeaderValue::as_bytes),
            body: &self.body,
            shared_parts: self.prompt.shared_parts(),
        }
    }

    /// Takes out the headers that concern one connection only. A server must not run a
    /// request without its identity or prompt because a connection names them.
    pub fn strip(headers: &mut HeaderMap, names: &HeaderNames) {
        let named: Vec<HeaderName> = headers
            .get_all(hyper::header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .filter(|name| !names.is_for_server(name))
            .collect();
        for name in named.iter().chain(&CONNECTION_HEADERS) {
            headers.remove(name);
        }
    }
}

/// Why an attempt brought no answer for the caller.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Whether it can have run.
    pub failure: AttemptFailure,
    /// What was seen, for the log.
    pub reason: &'static str,
    /// Connection that the attempt had.
    pub connection: ConnectionUse,
}

/// A server that works on a request.
pub(crate) struct ServerWork<'a> {
    /// Where it was sent.
    pub(crate) placement: &'a Placement,
    /// When it was sent.
    pub(crate) sent_at: Instant,
}

/// The pieces of an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Pieces {
    count: u32,
    first: Instant,
    last: Instant,
}

impl Pieces {
    fn note(&mut self, now: Instant) {
        if self.count == 0 {
            self.first = now;
        }
        self.count = self.count.saturating_add(1);
        self.last = now;
    }
}

/// An attempt in progress. Dropping it closes its connection, so that the
/// server drops the request.
#[derive(Debug)]
pub struct Exchange<D: Dialect> {
    shared: Arc<Shared<D>>,
    placement: Placement,
    /// Identity of the request.
    id: HeaderValue,
    connection: Option<Connection>,
    connection_use: ConnectionUse,
    keep: Option<Duration>,
    sent_at: Instant,
    started: bool,
    /// Pieces of the answer that came, and when the first and the last did.
    pieces: Pieces,
    /// The server said that it failed at the request.
    failed: bool,
    /// How its server marks the end of the answer.
    framing: Framing,
    /// Whether its answer is an event stream, if its head says so.
    is_event_stream: Option<bool>,
    /// Its answer is a success.
    is_success: bool,
    /// The end of its answer can't be that of a server that crashed.
    has_verified_end: bool,
    ending: Ending,
    /// Present once the request was sent.
    in_flight: Option<InFlightAttempt>,
}

impl<D: Dialect> Exchange<D> {
    /// Reserves a place at the server: from now on the dispatcher counts it.
    pub fn reserve(shared: &Arc<Shared<D>>, placement: Placement, outgoing: &Outgoing) -> Self {
        let sent_at = shared.clock.now();
        shared.dispatcher().note_sent(sent_at, &placement, &outgoing.prompt);
        shared.load_changed.notify_one();
        if placement.preempts {
            shared.room_asked.put(ServerKey::of(&placement.server));
        }
        Self {
            shared: shared.clone(),
            placement,
            id: outgoing.id.clone(),
            connection: None,
            connection_use: ConnectionUse::None,
            keep: None,
            sent_at,
            started: false,
            pieces: Pieces::default(),
            failed: false,
            framing: Framing::Length,
            is_event_stream: None,
            is_success: false,
            has_verified_end: false,
            ending: Ending::Withdrawn,
            in_flight: None,
        }
    }

    /// Takes a connection to the server, if none is taken yet.
    ///
    /// # Errors
    /// [`AttemptEnd`]: nothing was sent.
    pub async fn connect(&mut self) -> Result<(), AttemptEnd> {
        if self.connection.is_none() {
            self.connection = self.shared.pool.take(&self.placement.server, &self.placement.address, &self.id).await;
        }
        let Some(connection) = &self.connection else {
            self.ending = Ending::Broken;
            return Err(self.attempt_end(AttemptFailure::NotSent, NO_CONNECTION));
        };
        self.connection_use = connection.used;
        Ok(())
    }

    /// Sends the request and waits up to `patience` for the head of the
    /// answer. `left` is the time that the request has, and `last_event` the
    /// number of the last event that the asker has.
    ///
    /// # Errors
    /// [`AttemptEnd`].
    pub async fn send(
        mut self,
        outgoing: &Outgoing,
        left: Duration,
        patience: Duration,
        last_event: Option<u64>,
    ) -> Result<(Self, Response<Incoming>), AttemptEnd> {
        self.connect().await?;
        let Some(mut connection) = self.connection.take() else {
            return Err(self.attempt_end(AttemptFailure::NotSent, NO_CONNECTION));
        };
        let now = self.shared.clock.now();
        let waited = now.since(self.sent_at);
        self.in_flight = Some(outgoing.in_flight.begin(&self.placement.server, now));
        let mut request = self.request(outgoing, left.saturating_sub(waited), last_event);
        let interim_heads = InterimHeads::of(&mut request);
        let answer = tokio::time::timeout(patience, connection.sender.send_request(request));
        let answer = tokio::select! {
            biased;
            answer = answer => Ok(answer),
            fault = interim_heads.fault() => Err(fault),
        };
        self.connection = Some(connection);
        let answer = answer.map_err(|fault| self.unusable_head(fault))?;
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(fault)) => return Err(self.broken(&fault, outgoing)),
            Err(_) => {
                self.ending = self.ending_out_of_time(Ending::Unresponsive);
                return Err(self.attempt_end(AttemptFailure::MayHaveRun, "no_answer"));
            }
        };
        self.check(response, outgoing).await
    }

    /// The end of this attempt without an answer for the caller.
    pub(crate) fn attempt_end(&self, failure: AttemptFailure, reason: &'static str) -> AttemptEnd {
        if let (Some(attempt), AttemptFailure::NotSent | AttemptFailure::NotRun) = (&self.in_flight, failure) {
            attempt.note_not_run();
        }
        AttemptEnd { failure, reason, connection: self.connection_use }
    }

    /// How an attempt ends whose time is over: a server is not to blame for the end of the process.
    pub(crate) fn ending_out_of_time(&self, of_server: Ending) -> Ending {
        if self.shared.are_answers_due() {
            Ending::Withdrawn
        } else {
            of_server
        }
    }

    /// When its place at the server was reserved.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// What is held of the memory for answers, nothing yet.
    pub fn answer_share(&self) -> AnswerShare {
        self.shared.answers.share()
    }

    /// Load that is believed of its server.
    pub fn load(&self) -> f64 {
        self.placement.load
    }

    /// Version of the software of its server.
    pub fn version(&self) -> &Arc<str> {
        &self.placement.version
    }

    /// Software of its server.
    pub fn software(&self) -> SoftwareKey {
        self.placement.software
    }

    /// Server that works on it.
    pub fn server(&self) -> &Arc<str> {
        &self.placement.server
    }

    /// How its server marks the end of the answer.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether its answer is an event stream, if its head says so.
    pub fn is_event_stream(&self) -> Option<bool> {
        self.is_event_stream
    }

    /// Progress of its answer's event stream; `None` if the answer is none. Where its head
    /// doesn't say, `assumed` does.
    pub fn stream_progress(&self, assumed: bool) -> Option<StreamProgress> {
        self.is_event_stream.unwrap_or(assumed).then(|| StreamProgress::new(self.framing))
    }

    /// Why the answer is not complete although its body has ended without an error; `None` if
    /// it is. `progress` is that of its event stream, if it is one.
    pub async fn cut_reason(&mut self, progress: Option<StreamProgress>) -> Option<&'static str> {
        match progress.and_then(|progress| progress.interruption()) {
            Some(interruption) => Some(interruption.as_str()),
            None => self.is_cut_by_crash().await.then_some("server_crashed"),
        }
    }

    /// Whether the server crashed where its answer ended: a success that only the end of its
    /// connection marks, whose server accepts no further connections or has started again since.
    /// A draining server ends as planned after its last answer.
    async fn is_cut_by_crash(&mut self) -> bool {
        if !self.is_success || self.has_verified_end {
            return false;
        }
        if self.shared.crashes.has_restarted(&self.placement.server) {
            return true;
        }
        if !self.is_at_work() {
            return false;
        }
        let has_crashed = has_just_ended(&self.placement.address).await;
        self.has_verified_end = !has_crashed;
        has_crashed
    }

    /// Whether the server is registered for work. The request may have met a later start of it.
    fn is_at_work(&self) -> bool {
        let Placement { server, name, address, .. } = &self.placement;
        let dispatcher = self.shared.dispatcher();
        dispatcher.is_ready(server) || dispatcher.is_ready_at(name, address)
    }

    /// The answer came to its end: where it is a success, the request ended no server.
    pub fn note_served(&self, outgoing: &Outgoing) {
        if self.is_success && self.has_verified_end {
            self.shared.crashes.note_served(&outgoing.content(self.shared.dialect.names()));
        }
    }

    /// The connection was lost while the server worked on the request.
    pub fn note_connection_lost(&self, outgoing: &Outgoing) {
        let work = ServerWork { placement: &self.placement, sent_at: self.sent_at };
        self.shared.note_connection_lost(outgoing, &work);
    }

    /// A piece of the answer came.
    pub fn note_piece(&mut self) {
        let now = self.shared.clock.now();
        self.pieces.note(now);
        let mut dispatcher = self.shared.dispatcher();
        if self.started {
            dispatcher.note_contact(now, &self.placement.server);
            return;
        }
        self.started = true;
        dispatcher.note_first_piece(now, &self.placement, now.since(self.sent_at));
    }

    /// The answer is whole: its connection may be kept.
    pub fn finish(mut self) {
        self.ending = if self.failed { Ending::Failed } else { Ending::Answered };
        if self.is_success && self.has_verified_end {
            let (now, pieces) = (self.shared.clock.now(), &self.pieces);
            self.shared.dispatcher().note_pieces(now, &self.placement, pieces.count, pieces.last.since(pieces.first));
        }
        self.keep_connection(self.failed);
    }

    /// Keeps the connection for other requests, and for retries of this one unless it was refused
    /// or has failed.
    fn keep_connection(&mut self, unserved: bool) {
        let Some(mut connection) = self.connection.take() else { return };
        if unserved {
            connection.note_unserved(self.id.clone());
        }
        self.shared.pool.put(&self.placement.server, connection, self.keep);
    }

    /// The answer broke off or is no answer.
    pub fn fail(mut self, ending: Ending) {
        self.ending = ending;
    }

    fn request(&self, outgoing: &Outgoing, left: Duration, last_event: Option<u64>) -> Request<latchwheel_http::Body> {
        let names = self.shared.dialect.names();
        let mut request = Request::new(full(outgoing.body.clone()));
        *request.method_mut() = outgoing.method.clone();
        *request.uri_mut() = outgoing.uri.clone();
        let headers = request.headers_mut();
        *headers = outgoing.headers.clone();
        headers.insert(names.deadline.clone(), HeaderValue::from(left.as_millis() as u64));
        if let Ok(server) = HeaderValue::from_str(&self.placement.name) {
            headers.insert(names.expected_server.clone(), server);
        }
        if let Some(event) = last_event {
            headers.insert(names.last_event.clone(), HeaderValue::from(event));
        }
        request
    }

    fn broken(mut self, fault: &hyper::Error, outgoing: &Outgoing) -> AttemptEnd {
        self.ending = Ending::Broken;
        if fault.is_canceled() {
            // An idle connection that the server had closed: nothing was sent.
            self.ending = Ending::Withdrawn;
            return self.attempt_end(AttemptFailure::NotSent, "connection_was_closed");
        }
        let is_flooded = self.connection.as_ref().is_some_and(Connection::is_flooded);
        if is_flooded || fault.is_parse() && !fault.is_incomplete_message() {
            return self.attempt_end(AttemptFailure::MayHaveRun, "no_http_answer");
        }
        self.note_connection_lost(outgoing);
        self.attempt_end(AttemptFailure::Lost, "connection_broke")
    }

    /// The head of the answer can't be used. The request may have run.
    fn unusable_head(&mut self, fault: HeadFault) -> AttemptEnd {
        self.ending = Ending::Broken;
        self.attempt_end(AttemptFailure::MayHaveRun, fault.as_str())
    }

    async fn check(
        mut self,
        mut response: Response<Incoming>,
        outgoing: &Outgoing,
    ) -> Result<(Self, Response<Incoming>), AttemptEnd> {
        if let Some(connection) = &self.connection {
            connection.note_head();
        }
        self.framing = check_head(&outgoing.method, &mut response).map_err(|fault| self.unusable_head(fault))?;
        let names = self.shared.dialect.names().clone();
        let headers = response.headers();
        if headers.get(&names.request_id) != Some(&outgoing.id) {
            self.ending = Ending::Broken;
            return Err(self.attempt_end(AttemptFailure::MayHaveRun, "answer_of_another_request"));
        }
        let load = self.shared.dialect.load(headers);
        if let Some(load) = load {
            let now = self.shared.clock.now();
            self.shared.dispatcher().note_load(now, &self.placement.server, load);
        }
        self.keep = keep_time(headers);
        // At the deadline a sound server answers so too.
        let status = response.status();
        self.is_event_stream = states_event_stream(headers);
        self.is_success = status.is_success();
        self.has_verified_end = self.framing != Framing::Connection;
        self.failed = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            self.ending = Ending::Misdirected;
            return Err(self.attempt_end(AttemptFailure::NotRun, "another_server"));
        }
        if headers.contains_key(&names.not_run) {
            self.ending = Ending::Rejected;
            let whole = read_bounded(response.into_body(), REJECTION_LIMIT, REJECTION_TIME).await.is_ok();
            if whole {
                self.keep_connection(true);
            }
            return Err(self.attempt_end(AttemptFailure::NotRun, "rejected"));
        }
        if promises_not_run(status) {
            self.ending = Ending::Failed;
            return Err(self.attempt_end(AttemptFailure::MayHaveRun, "unmarked_refusal"));
        }
        Ok((self, response))
    }
}

/// Whether callers take this status as a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status, StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

impl<D: Dialect> Drop for Exchange<D> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let time = now.since(self.sent_at);
        self.shared.dispatcher().note_end(now, &self.placement, self.ending, self.started, time);
        self.shared.load_changed.notify_one();
    }
}
