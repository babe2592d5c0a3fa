//! Serves online requests from this node's own servers.

use crate::metrics::Metrics;
use crate::owner::{Assigned, Order, Owner, WorkHandle};
use crate::stream::{respond, StartedStream, StreamEnd};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::Response;
use latchwheel_clock::planned_stop::PlannedStop;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::ServerId;
use latchwheel_core::retry::RetryBudgets;
use latchwheel_core::scheduler::Work;
use latchwheel_core::table::Class;
use latchwheel_engine::{AnswerStream, EngineAnswer, EngineClient, EngineFault, EngineRequest, StreamEvent};
use latchwheel_gateway::{refuse, refuse_after, OnlineRequest};
use latchwheel_http::{full, Body};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time that an answer may take where neither row nor caller sets a deadline.
const DEFAULT_TIME: Duration = Duration::from_secs(600);
/// A refused caller comes back after this time where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves requests from the own servers.
#[derive(Clone, Debug)]
pub(crate) struct OnlineServer {
    pub(crate) owner: Owner,
    pub(crate) engines: EngineClient,
    pub(crate) retries: Arc<Mutex<RetryBudgets>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: Arc<PlannedStop>,
}

/// What one attempt came to.
enum Attempt {
    Answer(Response<Body>),
    /// It was not started, and comes again after this time.
    Refused(ResultCode, Duration),
    /// The engine did not run the request.
    NotRun(ServerId, ResultCode),
    /// The engine may have run the request, and no part of the answer was
    /// passed on.
    Broken(ServerId),
}

/// A streamed answer that an engine has begun.
struct SentStream {
    stream: AnswerStream,
    server: ServerId,
    handle: WorkHandle,
    left: Duration,
    sent: Instant,
}

impl OnlineServer {
    /// Serves a request; `ended` tells in the end whether a streamed answer
    /// was whole.
    pub(crate) async fn serve(&self, request: &OnlineRequest, ended: oneshot::Sender<StreamEnd>) -> Response<Body> {
        self.with_budgets(|budgets| budgets.deposit(&request.row.name, &request.row.retry));
        let begun = Instant::now();
        let time = request.deadline.unwrap_or(DEFAULT_TIME);
        let mut avoid = None;
        let mut ended = Some(ended);
        let mut number = 1;
        let mut may_have_run = false;
        loop {
            let left = time.saturating_sub(begun.elapsed());
            let handle = self.owner.submit(self.work(request, left, avoid));
            let attempt = self.attempt(request, handle, left, &mut ended).await;
            let (server, code) = match attempt {
                Attempt::Answer(response) => return response,
                Attempt::Refused(_, after) if may_have_run => return refuse_after(broken_code(request), "", after),
                Attempt::Refused(code, after) => return refuse_after(code, "", after),
                Attempt::NotRun(server, code) => (server, code),
                Attempt::Broken(server) => {
                    may_have_run = true;
                    (server, broken_code(request))
                }
            };
            self.owner.server_failed(server);
            avoid = Some(server);
            number += 1;
            let safe = request.repeatable || code == ResultCode::EngineUnreachable;
            if !safe || !self.with_budgets(|budgets| budgets.withdraw(&request.row.name, &request.row.retry, number)) {
                return refuse_after(code, "", DEFAULT_RETRY_AFTER);
            }
            log::info!(target: "E2000", "request {} is tried again after code {}", request.identity, code.number());
        }
    }

    fn with_budgets<T>(&self, with: impl FnOnce(&mut RetryBudgets) -> T) -> T {
        with(&mut self.retries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn work(&self, request: &OnlineRequest, left: Duration, avoid: Option<ServerId>) -> Work {
        let row = &request.row;
        Work {
            id: self.owner.new_work(),
            row: row.name.as_str().into(),
            class: Class::Online,
            service: row.service.as_str().into(),
            model: row.model.as_str().into(),
            cost: request.cost,
            blocks: request.blocks.clone(),
            deadline: Some(self.owner.now() + left),
            first_token_limit: row.first_token_limit(),
            preemptible: false,
            avoid,
        }
    }

    async fn attempt(
        &self,
        request: &OnlineRequest,
        mut handle: WorkHandle,
        left: Duration,
        ended: &mut Option<oneshot::Sender<StreamEnd>>,
    ) -> Attempt {
        let order = tokio::select! {
            biased;
            // The servers are handed over as the stop begins.
            _ = self.stop.begun() => Order::Refuse(ResultCode::Leaving, DEFAULT_RETRY_AFTER),
            order = handle.next() => order,
        };
        let assigned = match order {
            Order::Start(assigned) => assigned,
            Order::Refuse(code, after) => return Attempt::Refused(code, after),
            Order::Preempt => return Attempt::Answer(refuse(ResultCode::OutcomeUnknown, "")),
        };
        let Assigned { server, address } = assigned;
        let sent = Instant::now();
        let message = EngineRequest {
            identity: request.identity.clone(),
            path: request.path.clone(),
            body: request.body.clone(),
            streamed: request.streamed,
            resume: false,
            timeout: left,
        };
        let answer = tokio::select! {
            biased;
            answer = self.engines.send(&address, message) => answer,
            () = self.stop.answers_due() => return Attempt::Answer(refuse(ResultCode::OutcomeUnknown, "")),
        };
        match answer {
            Ok(EngineAnswer::Whole(bytes)) => {
                handle.finish();
                let mut response = Response::new(full(bytes));
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                Attempt::Answer(response)
            }
            Ok(EngineAnswer::Stream(stream)) => {
                let stream = SentStream { stream, server, handle, left, sent };
                self.begin_stream(stream, ended).await
            }
            Err(EngineFault::Unreachable | EngineFault::Refused) => {
                Attempt::NotRun(server, ResultCode::EngineUnreachable)
            }
            Err(EngineFault::InvalidRequest(status, bytes)) => {
                handle.finish();
                let detail = String::from_utf8_lossy(&bytes);
                Attempt::Answer(refuse(ResultCode::EngineRejected, &format!("status {status}: {detail}")))
            }
            Err(EngineFault::RunNotFound | EngineFault::Interrupted) => Attempt::Broken(server),
        }
    }

    /// Waits for the first token: until then another server can be tried.
    async fn begin_stream(&self, stream: SentStream, ended: &mut Option<oneshot::Sender<StreamEnd>>) -> Attempt {
        let SentStream { mut stream, server, handle, left, sent } = stream;
        let first = tokio::select! {
            biased;
            first = tokio::time::timeout(left, stream.next()) => first,
            () = self.stop.answers_due() => return Attempt::Answer(refuse(ResultCode::OutcomeUnknown, "")),
        };
        match (first, ended.take()) {
            (Ok(StreamEvent::Data(first)), Some(ended)) => {
                self.metrics.note_first_token(sent.elapsed());
                let time = left.saturating_sub(sent.elapsed());
                let (owner, stop) = (self.owner.clone(), self.stop.clone());
                let started = StartedStream { first, rest: stream, handle, owner, stop, time };
                Attempt::Answer(respond(started, ended))
            }
            (_, kept) => {
                *ended = kept;
                Attempt::Broken(server)
            }
        }
    }
}

/// The code of a request whose answer broke off before anything was passed on.
fn broken_code(request: &OnlineRequest) -> ResultCode {
    if request.repeatable {
        ResultCode::StreamCut
    } else {
        ResultCode::OutcomeUnknown
    }
}
