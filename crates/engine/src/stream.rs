//! Streamed answers. A stream is complete only if its end marker arrived.

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures::stream::BoxStream;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;

const END_MARKER: &str = "[DONE]";

/// Next element of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Payload of one event, usually one token.
    Data(String),
    /// The end marker: the answer is complete.
    End,
    /// The stream ended without its end marker.
    Interrupted,
}

/// A streamed answer.
pub struct AnswerStream {
    events: EventStream<BoxStream<'static, Result<Bytes, hyper::Error>>>,
}

impl std::fmt::Debug for AnswerStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("AnswerStream")
    }
}

impl AnswerStream {
    /// Reads a body as a stream of events.
    pub fn new(body: Incoming) -> Self {
        Self { events: body.into_data_stream().boxed().eventsource() }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> StreamEvent {
        match self.events.next().await {
            Some(Ok(event)) if event.data == END_MARKER => StreamEvent::End,
            Some(Ok(event)) => StreamEvent::Data(event.data),
            Some(Err(_)) | None => StreamEvent::Interrupted,
        }
    }
}
