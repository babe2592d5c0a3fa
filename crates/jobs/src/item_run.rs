//! One run of an item at a server.

use crate::item_starts::ItemStart;
use crate::layout::ItemBody;
use base64::prelude::{Engine, BASE64_STANDARD};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response, Uri};
use latchwheel_core::answer_end::StreamProgress;
use latchwheel_core::attempts::AttemptFailure;
use latchwheel_core::dispatch::Ending;
use latchwheel_core::event_stream::{event_data, EventFramer};
use latchwheel_core::item_progress::{ItemProgress, RunEnd};
use latchwheel_http::read_bounded;
use latchwheel_proxy::{put_tenant, Dialect, Exchange, InFlight, Outgoing, Shared};
use latchwheel_records::RecordStore;
use std::time::Duration;

/// Silence after which an item is sent to another server.
const SILENCE: Duration = Duration::from_secs(3);
/// Most bytes of an item's output.
const TEXT_LIMIT: usize = 900 << 10;
/// Most bytes that a server sends for one run; events have some bytes beside the output.
const RUN_LIMIT: usize = 4 << 20;
/// Time beyond what the server was given after which a run is broken off.
const RUN_TIME_MARGIN: Duration = Duration::from_secs(1);
const UNPROCESSABLE: u16 = 422;
/// Bytes and time within which the answer to a failed run is read.
const FAILURE_LIMIT: usize = 64 << 10;
const FAILURE_TIME: Duration = Duration::from_millis(100);

/// The request of an item that is run for a tenant; `None` if it can't be formed
/// from what was handed in.
pub fn outgoing_of<D: Dialect>(
    shared: &Shared<D>,
    host: &str,
    tenant: Option<&str>,
    item: &ItemBody,
) -> Option<Outgoing> {
    let names = shared.dialect.names();
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        // Names that differ in case only are one header with several values.
        headers.append(name.parse::<HeaderName>().ok()?, HeaderValue::from_str(value).ok()?);
    }
    Outgoing::strip(&mut headers, names);
    headers.remove(hyper::header::CONTENT_LENGTH);
    let id = identity_of(&item.id)?;
    headers.insert(names.request_id.clone(), id.clone());
    headers.insert(HOST, HeaderValue::from_str(host).ok()?);
    put_tenant(&mut headers, names, tenant);
    let prompt = shared.dialect.prompt(&headers);
    Some(Outgoing {
        method: Method::POST,
        uri: target_of(&item.path)?,
        headers,
        body: BASE64_STANDARD.decode(&item.body).ok()?.into(),
        id,
        prompt,
        in_flight: InFlight::default(),
    })
}

/// An item's identity as a header; `None` where a server would read another one, or
/// none, out of it.
fn identity_of(id: &str) -> Option<HeaderValue> {
    let is_whole = !id.is_empty() && id.trim() == id;
    HeaderValue::from_str(id).ok().filter(|_| is_whole)
}

/// An item's path as a target; `None` where a server would get another one: what does
/// not begin with a slash is read as a host, and what follows a `#` is left out.
fn target_of(path: &str) -> Option<Uri> {
    let is_whole = path.starts_with('/') && !path.contains('#');
    let target: PathAndQuery = path.parse().ok().filter(|_| is_whole)?;
    Some(Uri::from(target))
}

/// Runs an item once, going on after the last event that is kept. Gives back
/// how the run ended and what was seen.
pub(crate) async fn run_item<S: RecordStore, D: Dialect>(
    start: &mut ItemStart<S, D>,
    mut exchange: Exchange<D>,
    outgoing: &Outgoing,
    left: Duration,
    progress: &mut ItemProgress,
) -> (RunEnd, &'static str) {
    if let Err(end) = exchange.connect().await {
        return (RunEnd::Interrupted, end.reason);
    }
    if !start.is_allowed() {
        return (RunEnd::Preempted, "may_be_ended");
    }
    start.begin_run(&exchange, progress);
    let last_event = progress.last_event();
    let (exchange, response) = match exchange.send(outgoing, left, SILENCE, last_event).await {
        Ok(started) => started,
        Err(end) if end.failure == AttemptFailure::Lost => return (RunEnd::ServerLost, end.reason),
        Err(end) => return (RunEnd::Interrupted, end.reason),
    };
    match response.status().as_u16() {
        200..=299 => {
            let collected = collect(start, exchange, outgoing, response, progress);
            tokio::time::timeout(left + RUN_TIME_MARGIN, collected)
                .await
                .unwrap_or((RunEnd::Interrupted, "time_is_over"))
        }
        UNPROCESSABLE => (RunEnd::Impossible, "impossible"),
        500 => {
            end_answer(exchange, response).await;
            (RunEnd::Failed, "failed")
        }
        _ => (RunEnd::Interrupted, "unexpected_status"),
    }
}

/// Reads a short answer to its end, so that its connection can be kept.
async fn end_answer<D: Dialect>(exchange: Exchange<D>, response: Response<Incoming>) {
    if read_bounded(response.into_body(), FAILURE_LIMIT, FAILURE_TIME).await.is_ok() {
        exchange.finish();
    }
}

async fn collect<S: RecordStore, D: Dialect>(
    start: &mut ItemStart<S, D>,
    mut exchange: Exchange<D>,
    outgoing: &Outgoing,
    response: Response<Incoming>,
    item: &mut ItemProgress,
) -> (RunEnd, &'static str) {
    let mut incoming = response.into_body();
    let mut framer = EventFramer::default();
    let mut progress = StreamProgress::new(exchange.framing());
    let mut share = exchange.answer_share();
    let mut received = 0;
    loop {
        let Ok(frame) = tokio::time::timeout(SILENCE, incoming.frame()).await else {
            exchange.fail(Ending::Unresponsive);
            return (RunEnd::Interrupted, "no_event");
        };
        let data = match frame {
            None => return end_of_body(exchange, outgoing, progress).await,
            Some(Err(_)) => {
                exchange.note_connection_lost(outgoing);
                exchange.fail(Ending::Broken);
                return (RunEnd::ServerLost, "stream_broke");
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        exchange.note_piece();
        progress.push(&data);
        received += data.len();
        if share.hold(framer.remainder().len() + data.len()).is_err() {
            exchange.fail(Ending::Withdrawn);
            return (RunEnd::Interrupted, "no_memory");
        }
        let Ok(events) = framer.push(&data) else {
            exchange.fail(Ending::Broken);
            return (RunEnd::Unusable, "event_too_long");
        };
        if !events.is_empty() {
            start.note_event();
        }
        for event in events {
            item.push_event(event.id, &event_data(&event.bytes));
        }
        if item.text().len() > TEXT_LIMIT || received > RUN_LIMIT {
            exchange.fail(Ending::Broken);
            return (RunEnd::Unusable, "output_too_long");
        }
    }
}

/// The body of a run's output has ended without an error.
async fn end_of_body<D: Dialect>(
    mut exchange: Exchange<D>,
    outgoing: &Outgoing,
    progress: StreamProgress,
) -> (RunEnd, &'static str) {
    if let Some(reason) = exchange.cut_reason(Some(progress)).await {
        exchange.note_connection_lost(outgoing);
        exchange.fail(Ending::Broken);
        return (RunEnd::ServerLost, reason);
    }
    exchange.note_served(outgoing);
    exchange.finish();
    (RunEnd::Completed, "whole")
}
