//! Streamed answers: a stream is whole only if its end marker came.

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures::stream::BoxStream;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;

const END_MARKER: &str = "[DONE]";

/// What comes next on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The payload of one event, mostly one token.
    Data(String),
    /// The end marker: the answer is whole.
    End,
    /// The stream broke off.
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
    /// The events of a body.
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
