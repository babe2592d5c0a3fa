//! A node's planned stop: its times, and the answers of the node's own to what is unanswered
//! when the process ends.

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Response, Version};
use latchwheel_clock::planned_stop::PlannedStop;
use latchwheel_core::code::ResultCode;
use latchwheel_core::planned_stop::StopTimes;
use latchwheel_core::time::Instant;
use latchwheel_gateway::{error_body, refuse};
use latchwheel_http::{boxed, Body, BoxError};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// After a planned stop is announced, others need this long to send
/// elsewhere; until then connections are accepted.
pub(crate) const LEAVE_NOTICE: Duration = Duration::from_millis(1500);
/// Time in which the last answers are written.
pub(crate) const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Part of that in which what a request came to is stored before it is told.
const LAST_COMMIT_TIME: Duration = Duration::from_millis(100);
pub(crate) const HAND_OVER_TIME: Duration = Duration::from_millis(300);
/// Time for the end of the other nodes' calls.
const LAST_CALL_TIME: Duration = Duration::from_millis(100);
/// Time after the last answer in which what was passed on of a broken-off body is written.
const LAST_WRITE_TIME: Duration = LAST_ANSWER_TIME.saturating_add(HAND_OVER_TIME);
/// Time between the last answer and the end of the process.
const END_TIME: Duration = LAST_ANSWER_TIME.saturating_add(HAND_OVER_TIME).saturating_add(LAST_CALL_TIME);

/// Longest time of a stop.
pub(crate) fn stop_time(drain_time: Duration) -> Duration {
    drain_time.max(LEAVE_NOTICE + END_TIME)
}

/// Times of a stop that begins now.
pub(crate) fn stop_times(now: Instant, drain_time: Duration) -> StopTimes {
    StopTimes { clients_leave: now + LEAVE_NOTICE, last_answer: now + (stop_time(drain_time) - END_TIME) }
}

/// Answers a request by the end of the process: what has no answer by then gets one, and a body
/// that goes on is broken off.
pub(crate) async fn answer_by_end(
    stop: Arc<PlannedStop>,
    version: Version,
    answering: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    let mut answer = tokio::select! {
        biased;
        answer = answering => answer,
        () = stop.after_answers_due(LAST_COMMIT_TIME) => refuse(ResultCode::OutcomeUnknown, ""),
    };
    if stop.has_begun() && version < Version::HTTP_2 {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let is_stream = answer.headers().get(CONTENT_TYPE).is_some_and(|kind| kind == "text/event-stream");
    answer.map(|body| break_off_at_end(stop, body, is_stream))
}

/// A reader sees that a body that is broken off isn't whole, which it can't by the end of a
/// connection alone.
fn break_off_at_end(stop: Arc<PlannedStop>, body: Body, is_stream: bool) -> Body {
    if body.size_hint().exact().is_some() {
        return body;
    }
    let until = stop.clone();
    let due = Box::pin(async move { until.after_answers_due(LAST_COMMIT_TIME).await });
    let frames = futures::stream::unfold(Part::Open(body, due), move |part| {
        let stop = stop.clone();
        async move {
            match part {
                Part::Open(mut body, mut due) => tokio::select! {
                    biased;
                    // A body that is always ready would go before the timer.
                    () = &mut due => Some((Ok(Frame::data(last_event(is_stream))), Part::BrokenOff)),
                    frame = body.frame() => frame.map(|frame| (frame, Part::Open(body, due))),
                },
                Part::BrokenOff => {
                    // The connection drops what it has not written when its body fails.
                    stop.after_answers_due(LAST_WRITE_TIME).await;
                    Some((Err::<_, BoxError>("the process ends".into()), Part::Ended))
                }
                Part::Ended => None,
            }
        }
    });
    boxed(StreamBody::new(Box::pin(frames)))
}

/// Where a body is that ends with the process.
enum Part<D> {
    Open(Body, D),
    BrokenOff,
    Ended,
}

/// What ends a body that is broken off: an event that tells it, in a stream.
fn last_event(is_stream: bool) -> Bytes {
    if !is_stream {
        return Bytes::new();
    }
    format!("\n\ndata: {}\n\n", error_body(ResultCode::StreamCut, "")).into()
}
