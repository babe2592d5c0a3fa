//! Serving of ports that clients reach, within the operator's limits and the budget of the
//! process.

use crate::body::Body;
use crate::client_guard::{held_answer, ClientGuard, ConnectionHold, HeadSize, RequestHold};
use crate::client_stream::ClientStream;
use crate::reset_stream::{ResetFlag, ResetStream};
use crate::server::{accept_until_stopped, reset_if_aborted, Version, MAX_STREAMS_PER_CONNECTION, WRITE_TIMEOUT};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HyperBody, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use latchwheel_core::client_budget::NoRoom;
use latchwheel_core::routes::ClientLimits;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Least buffer of a connection that the HTTP library allows.
const LEAST_BUFFER_BYTES: usize = 8 << 10;
/// Bytes of the shortest header, with the end of its line.
const SHORTEST_HEADER_BYTES: usize = 4;
/// Most bytes that an HTTP/2 stream keeps of an answer that is not taken.
const STREAM_SEND_BYTES: usize = 64 << 10;
/// Pieces of answers that are smaller count as part of their connection.
const COUNTED_PIECE_BYTES: usize = 4 << 10;

/// A port that clients reach.
#[derive(Clone, Debug)]
pub struct ClientPort {
    /// The budget of the process.
    pub guard: ClientGuard,
    /// The operator's limits; a change closes connections after the request in progress.
    pub limits: watch::Receiver<ClientLimits>,
    /// Answer to a request for which there is no room.
    pub no_room: fn() -> Response<Body>,
}

/// Serves connections of clients until `stop` becomes true, then stops accepting and returns
/// when all requests in progress are done.
pub async fn serve_clients<H, F>(
    listener: TcpListener,
    version: Version,
    stop: watch::Receiver<bool>,
    port: ClientPort,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let stopped = stop.clone();
    accept_until_stopped(listener, stop, |stream| {
        let hold = Arc::new(port.guard.open_connection()?);
        let connection = ClientConnection { hold, limits: *port.limits.borrow(), port: port.clone() };
        Some(connection.serve(stream, version, stopped.clone(), handler.clone()))
    })
    .await;
}

/// An accepted connection of a client.
struct ClientConnection {
    hold: Arc<ConnectionHold>,
    limits: ClientLimits,
    port: ClientPort,
}

impl ClientConnection {
    async fn serve<H, F>(self, stream: TcpStream, version: Version, stop: watch::Receiver<bool>, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let _ = stream.set_nodelay(true);
        let reset = ResetFlag::default();
        let stream = ResetStream::new(stream, reset.clone()).with_write_timeout(WRITE_TIMEOUT);
        // Frames of HTTP/2 are no heads: they arrive on idle connections too.
        let head_timeout = (version == Version::Http1).then_some(self.limits.header_timeout);
        let stream = ClientStream::new(stream, self.hold.clone(), head_timeout);
        let reads = stream.reads();
        let io = TokioIo::new(stream);
        let requests = Requests { hold: self.hold.clone(), limits: self.limits, no_room: self.port.no_room };
        let service = service_fn(move |request: Request<Incoming>| {
            let knows_chunks = request.version() > hyper::Version::HTTP_10;
            let was_sent_ahead = version == Version::Http1 && reads.is_request_sent_ahead();
            let (answer, reset) = (requests.clone().answer(request, handler.clone()), reset.clone());
            async move {
                let mut answer = answer.await;
                if was_sent_ahead && is_refusal(answer.status()) {
                    close_after(&mut answer);
                }
                Ok::<_, Infallible>(if knows_chunks { answer } else { reset_if_aborted(answer, reset) })
            }
        });
        match version {
            Version::Http1 => {
                let head_bytes = self.limits.header_bytes;
                let connection = hyper::server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(self.limits.idle_timeout)
                    .max_header_size(head_bytes)
                    .max_headers(head_bytes.div_ceil(SHORTEST_HEADER_BYTES))
                    .max_buf_size(head_bytes.max(LEAST_BUFFER_BYTES))
                    .serve_connection(io, service);
                self.run(connection, stop, |connection| connection.graceful_shutdown()).await;
            }
            Version::Http2 => {
                let connection = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                    .timer(TokioTimer::new())
                    .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
                    .max_header_list_size(u32::try_from(self.limits.header_bytes).unwrap_or(u32::MAX))
                    .max_send_buf_size(STREAM_SEND_BYTES)
                    .serve_connection(io, service);
                self.run(connection, stop, |connection| connection.graceful_shutdown()).await;
            }
        }
    }

    /// Runs a connection to its end: it closes when it is idle after a stop, a change of the
    /// limits or an eviction.
    async fn run<C: Future<Output = hyper::Result<()>>>(
        mut self,
        connection: C,
        mut stop: watch::Receiver<bool>,
        shut_down: impl FnOnce(Pin<&mut C>),
    ) {
        let mut connection = std::pin::pin!(connection);
        let limits = self.limits;
        // Errors of a connection are ignored: the handlers of its requests see them.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.hold.evicted() => if self.hold.is_idle() { return },
            _ = stop.wait_for(|stop| *stop) => {}
            Ok(_) = self.port.limits.wait_for(|current| *current != limits) => {}
        }
        shut_down(connection.as_mut());
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.hold.evicted() => if self.hold.is_idle() { return },
        }
        let _ = connection.await;
    }
}

/// What the requests of a connection share.
#[derive(Clone)]
struct Requests {
    hold: Arc<ConnectionHold>,
    limits: ClientLimits,
    no_room: fn() -> Response<Body>,
}

impl Requests {
    async fn answer<H, F>(self, mut request: Request<Incoming>, handler: H) -> Response<Body>
    where
        H: Fn(Request<Incoming>) -> F,
        F: Future<Output = Response<Body>>,
    {
        let head = head_size(&request);
        if head.bytes > self.limits.header_bytes {
            self.hold.guard().note_oversized_head();
            let mut answer = Response::new(crate::body::empty());
            *answer.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return answer;
        }
        let hold = match self.hold.begin_request(head) {
            Ok(hold) => hold,
            Err(NoRoom) => {
                let mut answer = (self.no_room)();
                close_after(&mut answer);
                return answer;
            }
        };
        request.extensions_mut().insert(hold.clone());
        let answer = handler(request).await;
        answer.map(|body| HeldAnswer { body, hold }.boxed_unsync())
    }
}

/// An answer, which ends the request when it is dropped.
struct HeldAnswer {
    body: Body,
    hold: Arc<RequestHold>,
}

impl HyperBody for HeldAnswer {
    type Data = Bytes;
    type Error = crate::body::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        polled.map_ok(|frame| {
            frame.map_data(|data| {
                if data.len() < COUNTED_PIECE_BYTES {
                    return data;
                }
                held_answer(self.hold.guard(), data)
            })
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn head_size(request: &Request<Incoming>) -> HeadSize {
    let headers = request.headers();
    let header_bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    HeadSize { bytes: request.method().as_str().len() + target + header_bytes, headers: headers.len() }
}

/// Whether an answer tells that the request has not run, and may come again.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

/// Has an HTTP/1 connection close after this answer.
fn close_after(answer: &mut Response<Body>) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
