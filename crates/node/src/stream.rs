//! Passes a streamed answer on, token by token, and makes sure that a
//! broken-off answer is seen as such.

use crate::owner::{Owner, WorkHandle};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::Response;
use latchwheel_clock::planned_stop::PlannedStop;
use latchwheel_core::code::ResultCode;
use latchwheel_core::scheduler::Event;
use latchwheel_engine::{AnswerStream, StreamEvent};
use latchwheel_gateway::error_body;
use latchwheel_http::{channel, Body};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

const PIECES: usize = 64;
/// Tokens over which the time between tokens is averaged.
const GAP_TOKENS: u32 = 8;

/// What a streamed answer came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    Whole,
    Cut,
    CallerGone,
}

/// A streamed answer whose first event is here.
pub(crate) struct StartedStream {
    pub(crate) first: String,
    pub(crate) rest: AnswerStream,
    pub(crate) handle: WorkHandle,
    pub(crate) owner: Owner,
    pub(crate) stop: Arc<PlannedStop>,
    /// Time that the whole answer may take.
    pub(crate) time: Duration,
}

/// Makes the response, and tells in the end what it came to.
pub(crate) fn respond(stream: StartedStream, ended: oneshot::Sender<StreamEnd>) -> Response<Body> {
    let (sender, body) = channel(PIECES);
    tokio::spawn(async move {
        let StartedStream { first, mut rest, handle, owner, stop, time } = stream;
        let mut gaps = GapMeter::new(owner, handle.id());
        let pump = async {
            if !sender.send(event_text(&first)).await {
                return StreamEnd::CallerGone;
            }
            loop {
                let event = tokio::select! {
                    event = rest.next() => event,
                    () = sender.closed() => return StreamEnd::CallerGone,
                };
                match event {
                    StreamEvent::Data(data) => {
                        gaps.note_token();
                        if !sender.send(event_text(&data)).await {
                            return StreamEnd::CallerGone;
                        }
                    }
                    StreamEvent::End => {
                        sender.send("data: [DONE]\n\n").await;
                        return StreamEnd::Whole;
                    }
                    StreamEvent::Interrupted => return StreamEnd::Cut,
                }
            }
        };
        let end = tokio::select! {
            biased;
            end = tokio::time::timeout(time, pump) => end.unwrap_or(StreamEnd::Cut),
            () = stop.answers_due() => StreamEnd::Cut,
        };
        // Freed first: whoever sees the end may ask again at once.
        handle.finish();
        drop(rest);
        if end == StreamEnd::Cut {
            let error = error_body(ResultCode::StreamCut, "").to_string();
            sender.send(event_text(&error)).await;
            sender.abort().await;
        }
        let _ = ended.send(end);
    });
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

fn event_text(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Tells the scheduler the mean time between tokens.
struct GapMeter {
    owner: Owner,
    work: latchwheel_core::identity::WorkId,
    since: Instant,
    tokens: u32,
}

impl GapMeter {
    fn new(owner: Owner, work: latchwheel_core::identity::WorkId) -> Self {
        Self { owner, work, since: Instant::now(), tokens: 0 }
    }

    fn note_token(&mut self) {
        self.tokens += 1;
        if self.tokens == GAP_TOKENS {
            let gap = self.since.elapsed() / GAP_TOKENS;
            self.owner.handle(Event::TokenGap(self.work, gap));
            self.since = Instant::now();
            self.tokens = 0;
        }
    }
}
