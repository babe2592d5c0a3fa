//! The way of a request: attempts at servers until there is an answer.

use crate::accept::{accept, OTHER_NODE_COME_BACK};
use crate::answer::{error_answer, DEFAULT_RETRY_AFTER};
use crate::answer_head::strip_connection;
use crate::answer_log::AnswerLog;
use crate::dialect::Dialect;
use crate::exchange::{AttemptEnd, Exchange, Outgoing};
use crate::in_flight::{InFlight, LastSent};
use crate::planned_stop::{TooLate, PROCESS_ENDS};
use crate::pool::ConnectionUse;
use crate::shared::Shared;
use crate::start_pacing::StartTurn;
use crate::started::{Pieces, Started};
use crate::streaming::{progress_of, stream_body, Streaming};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Request, Response};
use latchwheel_core::attempts::{AttemptFailure, Attempts, NextStep};
use latchwheel_core::code::ResultCode;
use latchwheel_core::dispatch::Placement;
use latchwheel_core::routes::{RequestKind, Route};
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::stream_origins::StreamKey;
use latchwheel_core::tenants::Tenant;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_http::{empty, Body};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// An attempt that could be repeated is given up after this many latency
/// targets without an answer.
const PATIENCE_TARGETS: u32 = 2;
/// Least time that an attempt is waited for.
const LEAST_PATIENCE: Duration = Duration::from_millis(200);

/// What is known of a request on its way.
#[derive(Debug)]
pub(crate) struct Context<D: Dialect> {
    pub(crate) shared: Arc<Shared<D>>,
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    /// The stream that is answered with: its own, or the one that it continues.
    pub(crate) stream: StreamKey,
    /// Software that wrote the events which the client has; only its servers may continue.
    pub(crate) software: Option<SoftwareKey>,
    pub(crate) table_version: u64,
    pub(crate) received: Instant,
    pub(crate) until: Instant,
    pub(crate) outgoing: Outgoing,
    pub(crate) attempts: Attempts,
    /// Tenant that it is run for.
    pub(crate) tenant: Option<Arc<Tenant>>,
    pub(crate) asked: Vec<Arc<str>>,
    /// Its turn among the requests that are paced after a start.
    pub(crate) start_turn: Option<StartTurn<D>>,
}

/// Forwards a request that was received at that time to a server of its route
/// and gives back the answer.
pub async fn forward<D: Dialect>(
    shared: Arc<Shared<D>>,
    request: Request<Incoming>,
    received: Instant,
) -> Response<Body> {
    let guard = shared.enter();
    let mut response = match accept(&shared, request, received).await {
        Ok(context) => run(context, guard).await,
        Err(refusal) => refusal.answer(&shared, received),
    };
    shared.close_if_leaving(&mut response);
    response
}

/// An answer to pass on.
enum Answer<D: Dialect> {
    Whole(Response<Body>),
    Stream(Box<Started<D>>),
}

/// Attempts until there is an answer, the request is given up or the process ends.
async fn run<D: Dialect>(mut context: Context<D>, guard: crate::shared::InProgress<D>) -> Response<Body> {
    let mut departure = Departure::new(&context);
    let (shared, in_flight) = (context.shared.clone(), context.outgoing.in_flight.clone());
    let answer = {
        let mut answering = pin!(context.find_answer());
        tokio::select! {
            biased;
            answer = &mut answering => Ok(answer),
            () = shared.answers_due() => Err(in_flight.may_have_run()),
        }
    };
    departure.arrived();
    match answer {
        Ok(Answer::Whole(answer)) => answer,
        Ok(Answer::Stream(started)) => stream_answer(context, *started, guard).await,
        Err(attempt) => context.end_unanswered(attempt),
    }
}

/// Passes the head of a stream on with its first piece. A stream that breaks off before is
/// answered with a status of the node's own.
async fn stream_answer<D: Dialect>(
    context: Context<D>,
    started: Started<D>,
    guard: crate::shared::InProgress<D>,
) -> Response<Body> {
    let Started { exchange, response, first_frame } = started;
    let (mut head, incoming) = response.into_parts();
    strip_connection(&mut head, context.shared.dialect.names());
    let is_resumable_route = context.route.kind == RequestKind::Stream { resumable: true };
    let resumable = is_resumable_route && exchange.is_event_stream().unwrap_or(true);
    // An answer of the stated length could not be broken off at its end any more.
    if progress_of(&exchange, resumable).is_some() {
        head.headers.remove(CONTENT_LENGTH);
    }
    let incoming = Pieces { first: first_frame, rest: incoming };
    let mut streaming = Streaming::new(context, exchange, incoming, head.status.as_u16(), resumable, guard);
    match streaming.begin().await {
        Ok(Some(first)) => Response::from_parts(head, stream_body(first, streaming)),
        Ok(None) => Response::from_parts(head, empty()),
        Err(refusal) => refusal,
    }
}

/// Logs that the client left or that the process ended, unless the attempt comes to an end before.
struct Departure<D: Dialect> {
    shared: Arc<Shared<D>>,
    id: String,
    route: Arc<Route>,
    in_flight: InFlight,
    received: Instant,
    gone: bool,
}

impl<D: Dialect> Departure<D> {
    fn new(context: &Context<D>) -> Self {
        Self {
            shared: context.shared.clone(),
            id: context.id.clone(),
            route: context.route.clone(),
            in_flight: context.outgoing.in_flight.clone(),
            received: context.received,
            gone: true,
        }
    }

    fn arrived(&mut self) {
        self.gone = false;
    }
}

impl<D: Dialect> Drop for Departure<D> {
    fn drop(&mut self) {
        if self.gone {
            log_dropped(&self.shared, &self.id, &self.route.name, self.received, self.in_flight.in_progress());
        }
    }
}

/// Logs a request that was dropped without a complete answer, with its attempt in progress.
pub(crate) fn log_dropped<D: Dialect>(
    shared: &Shared<D>,
    id: &str,
    route: &str,
    received: Instant,
    attempt: Option<LastSent>,
) {
    let now = shared.clock.now();
    let after_ms = now.since(received).as_millis() as u64;
    let server = attempt.as_ref().map_or("", |attempt| &*attempt.server);
    if !shared.has_ended() {
        return emit(id, &Event::ClientGone { id, server, after_ms });
    }
    let sent_ms = attempt.as_ref().map_or(0, |attempt| now.since(attempt.at).as_millis() as u64);
    emit(id, &Event::RequestUnfinished { id, route, server, after_ms, sent_ms });
}

impl<D: Dialect> Context<D> {
    async fn find_answer(&mut self) -> Answer<D> {
        if let Err(refusal) = self.find_software().await {
            return Answer::Whole(refusal);
        }
        loop {
            let started = match self.attempt(None).await {
                Ok(started) => started,
                Err(Some(answer)) => return Answer::Whole(answer),
                Err(None) => continue,
            };
            if self.is_stream() && started.response.status().is_success() {
                return Answer::Stream(Box::new(started));
            }
            match self.whole_answer(started.exchange, started.response).await {
                Ok(answer) | Err(Some(answer)) => return Answer::Whole(answer),
                Err(None) => {}
            }
        }
    }

    /// The answer where the process ends before there is one; `attempt` may have run.
    fn end_unanswered(&mut self, attempt: Option<LastSent>) -> Response<Body> {
        if let Some(LastSent { server, at }) = attempt {
            let failure = AttemptFailure::MayHaveRun;
            let end = AttemptEnd { failure, reason: PROCESS_ENDS, connection: ConnectionUse::None };
            self.note_failed(&server, at, &end);
            self.asked.push(server);
        }
        self.refuse(ResultCode::Leaving, Some(OTHER_NODE_COME_BACK))
    }

    /// Whether it is answered by a stream.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.route.kind, RequestKind::Stream { .. })
    }

    /// Time that the request has left, at a process that may stop before its end.
    pub(crate) fn left(&self) -> Duration {
        self.shared.answered_until(self.until).since(self.shared.clock.now())
    }

    /// Sends the request to one more server. `Err(None)` means that another
    /// attempt may follow, `Err(Some)` is the final answer.
    pub(crate) async fn attempt(&mut self, last_event: Option<u64>) -> Result<Started<D>, Option<Response<Body>>> {
        // Where an attempt may have run, another one is better than the end of the answer.
        let goes_on = last_event.is_some() || self.attempts.may_have_run();
        let placement = match goes_on {
            false => self.place_before_too_late().await,
            true => self.place_unless_suspected().await,
        };
        let placement = placement.map_err(Some)?;
        let left = self.left();
        self.log_sent(&placement, left, self.attempts.made() + 1, last_event);
        let expected = self.expected_if_repeatable(&placement).filter(|_| last_event.is_none());
        if let Some(expected) = expected {
            return self.attempt_in_time(placement, expected).await;
        }
        let server = placement.server.clone();
        let sent_at = self.shared.clock.now();
        let patience = self.patience(left, 0);
        let exchange = Exchange::reserve(&self.shared, placement, &self.outgoing);
        let started = exchange.send(&self.outgoing, left, patience, last_event).await;
        self.asked.push(server.clone());
        let started = started.map(|(exchange, response)| Started::at_head(exchange, response));
        started.map_err(|end| self.failed(&server, sent_at, &end))
    }

    /// A place at a server, unless the process stops too soon for the request.
    async fn place_before_too_late(&mut self) -> Result<Placement, Response<Body>> {
        let (shared, route, until) = (self.shared.clone(), self.route.clone(), self.until);
        match shared.before_too_late(&route, until, self.place_unless_suspected()).await {
            Ok(placed) => placed,
            Err(TooLate) => Err(self.refuse(ResultCode::Leaving, Some(OTHER_NODE_COME_BACK))),
        }
    }

    /// Time to wait for the head of an answer: to the end where the request
    /// can't be repeated anyway, with so many other attempts in progress.
    pub(crate) fn patience(&self, left: Duration, others: u32) -> Duration {
        if !self.attempts.may_repeat_with_others(others) {
            return left;
        }
        (self.route.latency_target * PATIENCE_TARGETS).max(LEAST_PATIENCE).min(left)
    }

    /// An attempt failed: `None` if another may follow, or the final answer.
    pub(crate) fn failed(&mut self, server: &str, sent_at: Instant, end: &AttemptEnd) -> Option<Response<Body>> {
        match self.note_failed(server, sent_at, end) {
            NextStep::TryAgain => None,
            NextStep::GiveUp(code) => Some(self.refuse(code, None)),
        }
    }

    /// The same for an attempt that may not be the last one in progress.
    pub(crate) fn note_failed(&mut self, server: &str, sent_at: Instant, end: &AttemptEnd) -> NextStep {
        let attempt = self.attempts.made() + 1;
        let step = self.attempts.note_failure(end.failure, self.left());
        let after_ms = self.shared.clock.now().since(sent_at).as_millis() as u64;
        let goes_on = step == NextStep::TryAgain;
        let (reason, connection) = (end.reason, end.connection.word());
        emit(&self.id, &Event::AttemptFailed { id: &self.id, server, attempt, reason, connection, after_ms, goes_on });
        step
    }

    /// Gives the request up with the code, or with one that says that it may
    /// have run.
    pub(crate) fn refuse(&self, not_run: ResultCode, retry_after: Option<Duration>) -> Response<Body> {
        if let Some(tenant) = self.tenant.as_ref().filter(|_| self.asked.is_empty()) {
            self.shared.permits.give_back(tenant);
        }
        let code = self.attempts.result_code(not_run);
        let come_back_time = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        log_refusal(&self.shared, &self.id, &self.route.name, code, self.received, come_back_time);
        error_answer(code, retry_after)
    }

    /// Logs that the request is sent; `last_event` is the last event that was passed on, if any.
    pub(crate) fn log_sent(&self, placement: &Placement, left: Duration, attempt: u32, last_event: Option<u64>) {
        let names = self.shared.dialect.names();
        let header = |name| self.outgoing.headers.get(name).and_then(|value| value.to_str().ok());
        let event = Event::RequestSent {
            id: &self.id,
            route: &self.route.name,
            server: &placement.server,
            version: &placement.version,
            after_event: last_event.or_else(|| header(&names.last_event)?.trim().parse().ok()),
            resumes: header(&names.resumes).unwrap_or_default(),
            attempt,
            expected_wait_ms: placement.expected_wait.as_millis() as u64,
            uncached_tokens: placement.uncached,
            load: placement.load,
            displaces: placement.preempts,
            table_version: self.table_version,
            left_ms: left.as_millis() as u64,
        };
        emit(&self.id, &event);
    }

    /// An answer of this exchange, as it is logged.
    pub(crate) fn answer_log(&self, exchange: &Exchange<D>, status: u16, first_piece_ms: u64) -> AnswerLog {
        AnswerLog {
            id: self.id.clone(),
            route: self.route.clone(),
            received: self.received,
            sent_at: exchange.sent_at(),
            status,
            first_piece_ms,
            attempts: self.attempts.made() + 1,
            framing: exchange.framing(),
        }
    }
}

pub(crate) fn log_refusal<D: Dialect>(
    shared: &Shared<D>,
    id: &str,
    route: &str,
    code: ResultCode,
    received: Instant,
    retry_after: Duration,
) {
    let event = Event::RequestRefused {
        id,
        route,
        code: code.number(),
        status: code.http_status(),
        after_ms: shared.clock.now().since(received).as_millis() as u64,
        come_back_ms: retry_after.as_millis() as u64,
        table_version: shared.table().version,
    };
    emit(id, &event);
}
