//! Forwards the body of a stream, and continues it at another server.
//!
//! A body that ends inside an event, or whose server crashed at its end, is broken off at the
//! client too. Only complete events of a resumable stream are forwarded. When its server breaks
//! off, or another one takes over while it is silent, the connection to it is closed, and another
//! server of the same software continues after the last event. The client receives one answer,
//! with the head of the first server.

use crate::answer_log::AnswerLog;
use crate::dialect::Dialect;
use crate::exchange::{AttemptEnd, Exchange};
use crate::forward::Context;
use crate::planned_stop::{AnswersDue, PROCESS_ENDS};
use crate::pool::ConnectionUse;
use crate::shared::InProgress;
use crate::started::Pieces;
use crate::takeover::Takeover;
use crate::whole_answer::TIME_IS_OVER;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::Response;
use latchwheel_core::answer_end::{Framing, StreamProgress};
use latchwheel_core::attempts::AttemptFailure;
use latchwheel_core::code::ResultCode;
use latchwheel_core::dispatch::Ending;
use latchwheel_core::event_stream::EventFramer;
use latchwheel_core::routes::RequestKind;
use latchwheel_core::time::Instant;
use latchwheel_http::{AnswerShare, Body};
use std::time::Duration;

/// Another server is looked for to continue a resumable stream after a pause of this many of the
/// longest pauses that are in time.
const PAUSE_TARGETS: u32 = 2;
/// The longest pause in time where the route states none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// What is logged of an event that is beyond the framer's limit.
const EVENT_TOO_LONG: &str = "event_too_long";
/// The same of one that there is no memory for.
const NO_MEMORY: &str = "no_memory";

/// A stream that is being passed on.
#[derive(Debug)]
pub(crate) struct Streaming<D: Dialect> {
    pub(crate) context: Context<D>,
    pub(crate) exchange: Option<Exchange<D>>,
    pub(crate) incoming: Pieces,
    /// How the server of the present attempt marks the end of its answer.
    framing: Framing,
    /// What came of the events of the present attempt; `None` if its answer has none.
    progress: Option<StreamProgress>,
    /// The answer as its first server began it.
    log: AnswerLog,
    resumable: bool,
    framer: EventFramer,
    /// What is held for the event that is not passed on yet.
    share: AnswerShare,
    pub(crate) last_event: Option<u64>,
    first_piece: Option<Instant>,
    /// Whether events were passed on.
    passed_events: bool,
    /// Whether the head and the first bytes were passed on.
    has_begun: bool,
    /// The answer if the stream ends before it has begun and its last attempt gave one.
    refusal: Option<Response<Body>>,
    ended: bool,
    /// Too many servers have refused to take over while the present one was silent.
    pub(crate) stays_at_server: bool,
    pub(crate) answers_due: AnswersDue,
    _guard: InProgress<D>,
}

/// What to do after a piece.
pub(crate) enum Step<D: Dialect> {
    Pass(Bytes),
    Wait,
    End,
    /// The present attempt ends, perhaps because another server takes the stream over.
    Broken(&'static str, Ending, Option<Takeover<D>>),
}

impl<D: Dialect> Streaming<D> {
    pub(crate) fn new(
        context: Context<D>,
        exchange: Exchange<D>,
        incoming: Pieces,
        status: u16,
        resumable: bool,
        guard: InProgress<D>,
    ) -> Self {
        let answers_due = AnswersDue::new(context.shared.clone());
        let share = context.shared.answers.share();
        let log = context.answer_log(&exchange, status, 0);
        Self {
            context,
            framing: exchange.framing(),
            progress: progress_of(&exchange, resumable),
            exchange: Some(exchange),
            incoming,
            log,
            resumable,
            framer: EventFramer::default(),
            share,
            last_event: None,
            first_piece: None,
            passed_events: false,
            has_begun: false,
            refusal: None,
            ended: false,
            stays_at_server: false,
            answers_due,
            _guard: guard,
        }
    }

    /// The first bytes for the client, before which its head is not passed on; `None` if the
    /// stream is complete without any.
    ///
    /// # Errors
    /// The answer to the request where no server brought any bytes.
    pub(crate) async fn begin(&mut self) -> Result<Option<Bytes>, Response<Body>> {
        let first = self.next().await.transpose();
        self.has_begun = first.is_ok();
        first.map_err(|_| {
            let refusal = self.refusal.take();
            refusal.unwrap_or_else(|| self.context.refuse(ResultCode::EngineUnreachable, None))
        })
    }

    /// The next bytes for the client; `None` at the end, an error if the
    /// answer has to be broken off.
    async fn next(&mut self) -> Option<Result<Bytes, &'static str>> {
        loop {
            match self.step().await {
                Step::Pass(bytes) => return Some(Ok(bytes)),
                Step::Wait => {}
                Step::End => {
                    self.end();
                    return None;
                }
                Step::Broken(reason, ending, takeover) => {
                    if !self.continue_elsewhere(reason, ending, takeover).await {
                        return Some(Err(reason));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step<D> {
        if self.context.left().is_zero() {
            return self.out_of_time();
        }
        let may_move = self.resumable && !self.stays_at_server;
        let limit = if may_move { self.context.pause_limit(0) } else { self.context.left() };
        let is_noted = self.incoming.first.is_some();
        let next = tokio::time::timeout(limit, self.incoming.next());
        let next = tokio::select! {
            biased;
            next = next => next,
            () = &mut self.answers_due => return self.out_of_time(),
        };
        let Ok(frame) = next else {
            if !may_move || !self.context.attempts.may_repeat() || self.context.left().is_zero() {
                return self.out_of_time();
            }
            return self.while_silent().await;
        };
        let data = match frame {
            None => return self.at_end_of_body().await,
            Some(Err(_)) => return Step::Broken("stream_broke", Ending::Broken, None),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        self.note_piece(is_noted);
        if let Some(progress) = &mut self.progress {
            progress.push(&data);
        }
        if !self.resumable {
            return Step::Pass(data);
        }
        let pending = self.framer.remainder().len() + data.len();
        if self.share.hold(pending.next_power_of_two()).is_err() {
            return Step::Broken(NO_MEMORY, Ending::Withdrawn, None);
        }
        let Ok(events) = self.framer.push(&data) else { return Step::Broken(EVENT_TOO_LONG, Ending::Broken, None) };
        self.last_event = events.iter().filter_map(|event| event.id).next_back().or(self.last_event);
        self.note_events(!events.is_empty());
        let bytes = match events.as_slice() {
            [] => return Step::Wait,
            [only] => only.bytes.clone(),
            several => several.iter().flat_map(|event| event.bytes.clone()).collect(),
        };
        let share = std::mem::replace(&mut self.share, self.context.shared.answers.share());
        Step::Pass(share.into_bytes(bytes))
    }

    /// What follows where the request or the process has no time left.
    pub(crate) fn out_of_time(&self) -> Step<D> {
        if self.context.shared.are_answers_due() {
            return Step::Broken(PROCESS_ENDS, Ending::Withdrawn, None);
        }
        Step::Broken(TIME_IS_OVER, Ending::Unresponsive, None)
    }

    /// What follows where the body of the present attempt ends without an error: a server that
    /// crashes ends a body that its connection delimits, too.
    async fn at_end_of_body(&mut self) -> Step<D> {
        if let Some(exchange) = &mut self.exchange {
            if let Some(reason) = exchange.cut_reason(self.progress).await {
                return Step::Broken(reason, Ending::Broken, None);
            }
        }
        let remainder = Bytes::copy_from_slice(self.framer.remainder());
        self.framer.reset();
        if remainder.is_empty() {
            Step::End
        } else {
            Step::Pass(remainder)
        }
    }

    /// A piece came; `is_noted` if the exchange knows it.
    fn note_piece(&mut self, is_noted: bool) {
        self.first_piece.get_or_insert_with(|| self.context.shared.clock.now());
        if let Some(exchange) = self.exchange.as_mut().filter(|_| !is_noted) {
            exchange.note_piece();
        }
    }

    /// Events of the present attempt are passed on.
    fn note_events(&mut self, any: bool) {
        if !any || std::mem::replace(&mut self.passed_events, true) {
            return;
        }
        if let Some(exchange) = &self.exchange {
            self.context.note_events_passed(exchange);
        }
    }

    fn end(&mut self) {
        self.ended = true;
        if let Some(exchange) = self.exchange.take() {
            exchange.note_served(&self.context.outgoing);
            exchange.finish();
        }
        let first = self.first_piece.unwrap_or(self.context.received);
        let first_piece_ms = first.since(self.context.received).as_millis() as u64;
        let (attempts, framing) = (self.context.attempts.made() + 1, self.framing);
        let log = AnswerLog { first_piece_ms, attempts, framing, ..self.log.clone() };
        log.complete(&self.context.shared);
    }

    /// Continues at another server; `false` if the answer has to be broken off.
    async fn continue_elsewhere(
        &mut self,
        reason: &'static str,
        ending: Ending,
        takeover: Option<Takeover<D>>,
    ) -> bool {
        let server = self.exchange.as_ref().map(|exchange| exchange.server().clone()).unwrap_or_default();
        let lost = ending == Ending::Broken && reason != EVENT_TOO_LONG;
        let failure = if lost { AttemptFailure::Lost } else { AttemptFailure::MayHaveRun };
        let mut end = AttemptEnd { failure, reason, connection: ConnectionUse::None };
        if let Some(exchange) = self.exchange.take() {
            if lost {
                exchange.note_connection_lost(&self.context.outgoing);
            }
            end = exchange.attempt_end(failure, reason);
            exchange.fail(ending);
        }
        self.framer.reset();
        if self.resumable && !self.context.left().is_zero() {
            match self.ask_another_until_due(&server, &end, takeover).await {
                Ok(()) => return true,
                Err(refusal) => self.refusal = refusal,
            }
        } else if !self.has_begun {
            let now = self.context.shared.clock.now();
            self.context.note_failed(&server, now, &end);
        }
        self.ended = true;
        if self.has_begun {
            let log = AnswerLog { framing: self.framing, ..self.log.clone() };
            log.cut(&self.context.shared, &server, reason);
        }
        false
    }

    async fn ask_another_until_due(
        &mut self,
        server: &str,
        end: &AttemptEnd,
        takeover: Option<Takeover<D>>,
    ) -> Result<(), Option<Response<Body>>> {
        let shared = self.context.shared.clone();
        shared.before_answers_due(self.ask_another(server, end, takeover)).await.unwrap_or(Err(None))
    }

    /// Has another server continue. The error is the final answer of an attempt, if it gave one.
    async fn ask_another(
        &mut self,
        server: &str,
        end: &AttemptEnd,
        mut takeover: Option<Takeover<D>>,
    ) -> Result<(), Option<Response<Body>>> {
        let now = self.context.shared.clock.now();
        if let Some(refusal) = self.context.failed(server, now, end) {
            return Err(Some(refusal));
        }
        loop {
            let attempted = match takeover.take() {
                Some(Takeover { server, sent_at, answer }) => {
                    answer.await.map_err(|end| self.context.failed(&server, sent_at, &end))
                }
                None => self.context.attempt(self.last_event).await,
            };
            match attempted {
                Ok(started) if started.response.status().is_success() => {
                    self.stays_at_server = false;
                    self.framing = started.exchange.framing();
                    self.progress = progress_of(&started.exchange, self.resumable);
                    self.exchange = Some(started.exchange);
                    self.incoming = Pieces { first: started.first_frame, rest: started.response.into_body() };
                    return Ok(());
                }
                Ok(started) => {
                    started.exchange.fail(Ending::Rejected);
                    return Err(None);
                }
                Err(None) => {}
                Err(refusal) => return Err(refusal),
            }
        }
    }
}

/// What comes of the events of an attempt. All answers of a resumable stream are event
/// streams unless they state another type.
pub(crate) fn progress_of<D: Dialect>(exchange: &Exchange<D>, resumable: bool) -> Option<StreamProgress> {
    exchange.stream_progress(resumable || exchange.framing() == Framing::Connection)
}

impl<D: Dialect> Context<D> {
    /// Longest pause to wait for the next piece, with so many other attempts in progress:
    /// silence ends an attempt only where the stream can go on elsewhere.
    pub(crate) fn pause_limit(&self, others: u32) -> Duration {
        let left = self.left();
        let resumable = self.route.kind == RequestKind::Stream { resumable: true };
        if resumable && self.attempts.may_repeat_with_others(others) {
            let pause = self.route.gap_target.unwrap_or(DEFAULT_PAUSE) * PAUSE_TARGETS;
            return pause.min(left);
        }
        left
    }
}

impl<D: Dialect> Drop for Streaming<D> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.log.dropped(&self.context.shared, &self.context.outgoing.in_flight);
    }
}

/// The body of a stream that began with these bytes. Dropping it closes the connection to the
/// server.
pub(crate) fn stream_body<D: Dialect>(first: Bytes, streaming: Streaming<D>) -> Body {
    let first = futures::stream::iter([Ok(Frame::data(first))]);
    let rest = futures::stream::unfold(Some(streaming), |streaming| async move {
        let mut streaming = streaming?;
        match streaming.next().await? {
            Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(streaming))),
            Err(reason) => Some((Err(reason.into()), None)),
        }
    });
    StreamBody::new(first.chain(rest)).boxed_unsync()
}
