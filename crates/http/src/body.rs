//! Request and response bodies: whole, streamed, and reads with limits.

use crate::client_guard::{ArrivingBody, RequestHold};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HyperBody, Frame, Incoming};
use hyper::http::Extensions;
use hyper::{Response, StatusCode};
use latchwheel_core::client_budget::NoRoom;
use serde::Serialize;
use std::sync::Arc;
use std::task::{ready, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Error of a streamed body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of every request and response that the program sends.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The body is longer than allowed.
    TooLarge,
    /// The body did not arrive in time.
    Slow,
    /// The connection broke.
    Gone,
    /// The process has no memory left for the body.
    NoRoom,
}

/// Creates a body that holds these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Converts another body, without reading it.
pub fn boxed<B>(body: B) -> Body
where
    B: HyperBody<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// Creates a response with a JSON body.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// The sending side of a streamed body. Dropping the sender completes the body;
/// [`BodySender::abort`] ends it with an error, so that the reader sees that it is incomplete.
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<Result<Bytes, BoxError>>);

impl BodySender {
    /// Sends a chunk; returns `false` if the reader is gone.
    pub async fn send(&self, bytes: impl Into<Bytes>) -> bool {
        self.0.send(Ok(bytes.into())).await.is_ok()
    }

    /// Ends the body with an error.
    pub async fn abort(&self) {
        let _ = self.0.send(Err("the stream was aborted".into())).await;
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Creates a streamed body that buffers up to `pieces` unsent chunks.
pub fn channel(pieces: usize) -> (BodySender, Body) {
    let (sender, mut receiver) = mpsc::channel(pieces);
    let mut error = None;
    let stream = futures::stream::poll_fn(move |context| {
        if let Some(error) = error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(receiver.poll_recv(context)) {
            Some(Err(aborted)) => {
                // What was sent before is written while the body has nothing ready: the
                // connection drops what it has not written when its body fails.
                error = Some(aborted);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            piece => Poll::Ready(piece),
        }
    });
    let frames = stream.map(|piece: Result<Bytes, BoxError>| piece.map(Frame::data));
    (BodySender(sender), StreamBody::new(frames).boxed_unsync())
}

/// Reads a whole body of at most `limit` bytes within `time`.
///
/// # Errors
/// [`BodyFault`] if the body is too long, late or broken off.
pub async fn read_bounded<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, BodyFault>
where
    B: HyperBody<Data = Bytes> + Unpin,
{
    read_with_timeouts(body, limit, time, time).await
}

/// Reads a whole body of at most `limit` bytes within `total`; fails earlier if no chunk
/// arrives for `idle`.
///
/// # Errors
/// [`BodyFault`] if the body is too long, late or broken off.
pub async fn read_with_timeouts<B>(
    mut body: B,
    limit: usize,
    idle: Duration,
    total: Duration,
) -> Result<Bytes, BodyFault>
where
    B: HyperBody<Data = Bytes> + Unpin,
{
    let read = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = tokio::time::timeout(idle, body.frame()).await.map_err(|_| BodyFault::Slow)? {
            let frame = frame.map_err(|_| BodyFault::Gone)?;
            if let Ok(data) = frame.into_data() {
                if whole.len() + data.len() > limit {
                    return Err(BodyFault::TooLarge);
                }
                whole.extend_from_slice(&data);
            }
        }
        Ok(whole.freeze())
    };
    tokio::time::timeout(total, read).await.unwrap_or(Err(BodyFault::Slow))
}

/// Reads the whole body of a client's request, of at most `limit` bytes, within `time` and
/// within the budget of the process.
///
/// # Errors
/// [`BodyFault`] if the body is too long, late or broken off, or if there is no room for it.
pub async fn read_client_body(
    extensions: &Extensions,
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, BodyFault> {
    let Some(request) = extensions.get::<Arc<RequestHold>>() else {
        return read_bounded(body, limit, time).await;
    };
    let stated = body.size_hint().exact().map_or(limit, |stated| usize::try_from(stated).unwrap_or(usize::MAX));
    if stated > limit {
        return Err(BodyFault::TooLarge);
    }
    let arriving = request.begin_body(stated);
    let read = tokio::time::timeout(time, fill(&arriving, body, limit));
    let read = tokio::select! {
        read = read => read.unwrap_or(Err(BodyFault::Slow)),
        () = arriving.evicted() => Err(BodyFault::NoRoom),
    };
    read?;
    arriving.complete().map_err(|NoRoom| BodyFault::NoRoom)
}

async fn fill(arriving: &ArrivingBody, mut body: Incoming, limit: usize) -> Result<(), BodyFault> {
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Gone)?;
        if let Ok(data) = frame.into_data() {
            received += data.len();
            if received > limit {
                return Err(BodyFault::TooLarge);
            }
            arriving.push(&data).map_err(|NoRoom| BodyFault::NoRoom)?;
        }
    }
    Ok(())
}
