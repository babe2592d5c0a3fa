//! Requests with an idempotency key: the start is committed in a store group
//! before the request is dispatched, so that a resend finds it at any node.

use crate::forward::Router;
use crate::members::Members;
use crate::store_calls::StoreCalls;
use crate::stream::StreamEnd;

use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use latchwheel_core::code::{Ran, ResultCode};
use latchwheel_gateway::{refuse, refuse_after, OnlineRequest, CODE_HEADER};
use latchwheel_http::{full, read_bounded, Body};
use latchwheel_protocol::v1::command::Body as CommandBody;
use latchwheel_protocol::v1::{Command, FinishRequest, Outcome, ReadRequest, RegisterRequest};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

const STORED_LIMIT: usize = 1 << 20;
const READ_TIME: Duration = Duration::from_secs(600);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves requests with an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Registrar {
    pub(crate) router: Router,
    pub(crate) store: Arc<StoreCalls>,
    pub(crate) members: Arc<Members>,
    /// Runs whose end is not stored yet, also those whose callers are gone.
    pub(crate) running: Arc<AtomicUsize>,
}

/// A run that counts until it is dropped.
struct CountedRun(Arc<AtomicUsize>);

impl CountedRun {
    fn new(running: Arc<AtomicUsize>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for CountedRun {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Registrar {
    /// Serves the request, or answers with what an earlier one came to.
    pub(crate) async fn serve(&self, request: OnlineRequest, idempotency_key: &str) -> Response<Body> {
        let key = format!("{}\n{idempotency_key}", request.tenant);
        let register = RegisterRequest {
            key: key.clone(),
            request_hash: request.request_hash,
            holder: self.members.view().me.node,
            at_seconds: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs()),
            token: rand::random(),
        };
        let command = Command { body: Some(CommandBody::RegisterRequest(register)) };
        let outcome = match self.store.propose_soon(&request.tenant, command).await {
            Ok(outcome) => outcome,
            // The start may be committed, but nothing was or will be dispatched
            // for it here; the resend is told that it can't be known.
            Err(code) => return refuse_after(code, "", RETRY_AFTER),
        };
        match ResultCode::from_number(outcome.code) {
            Some(ResultCode::Accepted) => self.run(request, key).await,
            Some(ResultCode::KeyReused) => refuse(ResultCode::KeyReused, idempotency_key),
            Some(ResultCode::InProgress) => self.find_running(&request, key, &outcome).await,
            _ => self.find_finished(&request, key).await,
        }
    }

    /// Runs whose end is not stored yet.
    pub(crate) fn in_progress(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    async fn commit(&self, tenant: &str, body: CommandBody) -> Result<Outcome, ResultCode> {
        self.store.propose(tenant, Command { body: Some(body) }).await
    }

    /// Runs the request and commits what it came to before it is told. The
    /// run goes on where the caller goes away, so that a resend finds it.
    async fn run(&self, request: OnlineRequest, key: String) -> Response<Body> {
        let this = self.clone();
        let counted = CountedRun::new(self.running.clone());
        let running = tokio::spawn(async move {
            let _counted = counted;
            this.run_to_end(request, key).await
        });
        running.await.unwrap_or_else(|_| refuse(ResultCode::OutcomeUnknown, ""))
    }

    async fn run_to_end(&self, request: OnlineRequest, key: String) -> Response<Body> {
        let (ended, end) = oneshot::channel();
        let response = self.router.route(&request, ended).await;
        let (head, body) = response.into_parts();
        let whole = read_bounded(body, STORED_LIMIT, READ_TIME).await;
        let streamed_cut = end.await == Ok(StreamEnd::Cut);
        let header = head.headers.get(CODE_HEADER).and_then(|value| value.to_str().ok());
        let code = header.and_then(|text| text.parse().ok()).and_then(ResultCode::from_number);
        let code = match (code, &whole) {
            (Some(code), _) => code,
            (None, Ok(_)) if !streamed_cut => ResultCode::Done,
            _ => ResultCode::OutcomeUnknown,
        };
        let bytes = whole.unwrap_or_default();
        let finish = FinishRequest {
            key,
            code: code.number(),
            status: u32::from(head.status.as_u16()),
            body: bytes.clone(),
            holder: self.members.view().me.node,
        };
        if let Err(fault) = self.commit(&request.tenant, CommandBody::FinishRequest(finish)).await {
            if code.ran() != Ran::NotRun {
                log::warn!(target: "E2001", "the end of request {} is not committed: {}", request.identity, fault.number());
            }
        }
        if code == ResultCode::OutcomeUnknown {
            return refuse(code, "");
        }
        let mut answer = Response::new(full(bytes));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = head.headers;
        answer
    }

    /// The first request still runs, or its holder is gone.
    async fn find_running(&self, request: &OnlineRequest, key: String, outcome: &Outcome) -> Response<Body> {
        let holder = outcome.accepted;
        if self.members.view().is_present(holder) {
            return refuse_after(ResultCode::InProgress, "", RETRY_AFTER);
        }
        let code = ResultCode::OutcomeUnknown;
        let finish = FinishRequest {
            key: key.clone(),
            code: code.number(),
            status: u32::from(code.http_status()),
            holder,
            ..FinishRequest::default()
        };
        match self.commit(&request.tenant, CommandBody::FinishRequest(finish)).await {
            Ok(_) => self.find_finished(request, key).await,
            Err(code) => refuse_after(code, "", RETRY_AFTER),
        }
    }

    async fn find_finished(&self, request: &OnlineRequest, key: String) -> Response<Body> {
        let read = ReadRequest { tenant: request.tenant.clone(), request: key, ..ReadRequest::default() };
        let record = match self.store.read(read).await {
            Ok(answer) => answer.request,
            Err(code) => return refuse_after(code, "", RETRY_AFTER),
        };
        let Some(record) = record else { return refuse(ResultCode::OutcomeUnknown, "") };
        if record.code == ResultCode::OutcomeUnknown.number() {
            return refuse(ResultCode::OutcomeUnknown, "");
        }
        let mut answer = Response::new(full(record.body));
        *answer.status_mut() = StatusCode::from_u16(record.status as u16).unwrap_or(StatusCode::OK);
        let kind = if request.streamed { "text/event-stream" } else { "application/json" };
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        answer
    }
}
