//! Streamed answers. A stream is complete only if its end marker arrived.

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures::stream::BoxStream;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use latchwheel_http::{AnswerBudget, AnswerShare, BoxError};
use std::sync::{Arc, Mutex, PoisonError};

const END_MARKER: &str = "[DONE]";
/// Most bytes that are read for one event.
const EVENT_LIMIT: usize = 1 << 20;

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
    events: EventStream<BoxStream<'static, Result<Bytes, BoxError>>>,
    pending: PendingBytes,
}

/// Bytes that were read since the last event. Clones share the count.
#[derive(Clone)]
struct PendingBytes(Arc<Mutex<(usize, AnswerShare)>>);

impl PendingBytes {
    /// Counts bytes that came.
    fn add(&self, data: Bytes) -> Result<Bytes, BoxError> {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (bytes, share) = &mut *pending;
        *bytes += data.len();
        if *bytes > EVENT_LIMIT || share.hold(*bytes).is_err() {
            return Err("no room for the event".into());
        }
        Ok(data)
    }

    /// An event is complete.
    fn clear(&self) {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (bytes, share) = &mut *pending;
        *bytes = 0;
        // Holding nothing always succeeds.
        let _ = share.hold(0);
    }
}

impl std::fmt::Debug for AnswerStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("AnswerStream")
    }
}

impl AnswerStream {
    /// Reads a body as a stream of events.
    pub fn new(body: Incoming) -> Self {
        Self::within(AnswerBudget::default().share(), body)
    }

    /// The same where what comes of an event is held in this share until it is complete.
    pub(crate) fn within(share: AnswerShare, body: Incoming) -> Self {
        let pending = PendingBytes(Arc::new(Mutex::new((0, share))));
        let counted = pending.clone();
        let data = body.into_data_stream().map(move |data| counted.add(data?));
        Self { events: data.boxed().eventsource(), pending }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> StreamEvent {
        let event = self.events.next().await;
        self.pending.clear();
        match event {
            Some(Ok(event)) if event.data == END_MARKER => StreamEvent::End,
            Some(Ok(event)) => StreamEvent::Data(event.data),
            Some(Err(_)) | None => StreamEvent::Interrupted,
        }
    }
}
