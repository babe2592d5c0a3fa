//! A node's planned stop: its times, and the answers of the node's own to what is unanswered
//! when the process ends.

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Response, Version};
use latchwheel_clock::planned_stop::PlannedStop;
use latchwheel_core::code::ResultCode;
use latchwheel_core::event_stream::EventBoundary;
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

/// Error of a body that is broken off.
const PROCESS_ENDS: &str = "the process ends";

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
    let open = OpenBody { body, boundary: is_stream.then(EventBoundary::default) };
    let due = Box::pin(after_answers_due(stop.clone(), LAST_COMMIT_TIME));
    let failed = Box::pin(after_answers_due(stop, LAST_WRITE_TIME));
    let frames = futures::stream::unfold((Part::Open(open, due), failed), |(part, mut failed)| async move {
        let (frame, next) = next_frame(part, &mut failed).await?;
        Some((frame, (next, failed)))
    });
    boxed(StreamBody::new(Box::pin(frames)))
}

async fn after_answers_due(stop: Arc<PlannedStop>, time: Duration) {
    stop.after_answers_due(time).await;
}

/// The next frame of a body that ends with the process, and where the body is then.
async fn next_frame<D>(part: Part<D>, failed: &mut D) -> Option<(BodyFrame, Part<D>)>
where
    D: Future<Output = ()> + Unpin,
{
    match part {
        Part::Open(mut open, mut due) => tokio::select! {
            biased;
            // A body that is always ready would go before the timer.
            () = &mut due => Some(if open.is_inside_event() {
                (Ok(Frame::data(Bytes::new())), Part::InsideEvent(open))
            } else {
                (Ok(Frame::data(open.last_event())), Part::BrokenOff)
            }),
            frame = open.next() => frame.map(|frame| (frame, Part::Open(open, due))),
        },
        Part::InsideEvent(mut open) => {
            let rest = tokio::select! {
                biased;
                () = &mut *failed => None,
                rest = open.rest_of_event() => rest,
            };
            match rest {
                Some(rest) if open.is_inside_event() => Some((Ok(Frame::data(rest)), Part::InsideEvent(open))),
                Some(rest) => {
                    let last = [rest, open.last_event()].concat();
                    Some((Ok(Frame::data(last.into())), Part::BrokenOff))
                }
                // An event after the half one would complete it.
                None => Some((Err(PROCESS_ENDS.into()), Part::Ended)),
            }
        }
        Part::BrokenOff => {
            // The connection drops what it has not written when its body fails.
            failed.await;
            Some((Err(PROCESS_ENDS.into()), Part::Ended))
        }
        Part::Ended => None,
    }
}

/// A frame of a body, or why it breaks off.
type BodyFrame = Result<Frame<Bytes>, BoxError>;

/// Where a body is that ends with the process.
enum Part<D> {
    Open(OpenBody, D),
    /// The process ends, and the event that was begun is passed on to its end.
    InsideEvent(OpenBody),
    BrokenOff,
    Ended,
}

/// A body that is passed on.
struct OpenBody {
    body: Body,
    /// Where a stream is relative to its events.
    boundary: Option<EventBoundary>,
}

impl OpenBody {
    async fn next(&mut self) -> Option<BodyFrame> {
        let frame = self.body.frame().await?;
        if let (Some(boundary), Ok(Some(data))) = (&mut self.boundary, frame.as_ref().map(Frame::data_ref)) {
            boundary.push(data);
        }
        Some(frame)
    }

    fn is_inside_event(&self) -> bool {
        self.boundary.is_some_and(|boundary| boundary.is_inside_event())
    }

    /// The next piece, up to the end of the event that was begun; `None` if there is none.
    async fn rest_of_event(&mut self) -> Option<Bytes> {
        let boundary = self.boundary.as_mut()?;
        let mut data = self.body.frame().await?.ok()?.into_data().unwrap_or_default();
        let end = data.iter().position(|byte| {
            boundary.push(&[*byte]);
            !boundary.is_inside_event()
        });
        data.truncate(end.map_or(data.len(), |end| end + 1));
        Some(data)
    }

    /// What ends a body that is broken off: an event that tells it, in a stream.
    fn last_event(&self) -> Bytes {
        if self.boundary.is_none() {
            return Bytes::new();
        }
        format!("data: {}\n\n", error_body(ResultCode::StreamCut, "")).into()
    }
}
