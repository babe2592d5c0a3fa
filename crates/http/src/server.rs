//! HTTP server with graceful shutdown.

use crate::body::Body;
use crate::reset_stream::{ResetFlag, ResetStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time in which the head of a request must arrive, counted from the end of the previous
/// answer: it also closes idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection is closed whose peer takes none of the bytes that wait for it.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Concurrent streams allowed on one HTTP/2 connection.
pub(crate) const MAX_STREAMS_PER_CONNECTION: u32 = 10_000;
/// Delay after a failed accept, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// HTTP version of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Serves connections of the system's own processes until `stop` becomes true, then stops
/// accepting and returns when all requests in progress are done.
pub async fn serve<H, F>(listener: TcpListener, version: Version, stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let serve_stream = |stream| serve_connection(stream, version, stop.clone(), handler.clone());
    accept_until_stopped(listener, stop.clone(), |stream| Some(serve_stream(stream))).await;
}

/// Accepts connections until `stop` becomes true, and returns when all of them have ended.
/// Those for which `serve_stream` returns nothing are closed.
pub(crate) async fn accept_until_stopped<S, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    mut serve_stream: S,
) where
    S: FnMut(TcpStream) -> Option<F>,
    F: Future<Output = ()> + Send + 'static,
{
    let (guard, mut finished) = tokio::sync::mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(serving) = serve_stream(stream) else { continue };
                let guard = guard.clone();
                tokio::spawn(async move {
                    serving.await;
                    drop(guard);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    drop(guard);
    let _ = finished.recv().await;
}

async fn serve_connection<H, F>(stream: TcpStream, version: Version, mut stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let reset = ResetFlag::default();
    let io = TokioIo::new(ResetStream::new(stream, reset.clone()).with_write_timeout(WRITE_TIMEOUT));
    let service = service_fn(move |request: Request<Incoming>| {
        let knows_chunks = request.version() > hyper::Version::HTTP_10;
        let (answer, reset) = (handler(request), reset.clone());
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(if knows_chunks { answer } else { reset_if_aborted(answer, reset) })
        }
    });
    let stopped = async move {
        let _ = stop.wait_for(|stop| *stop).await;
    };
    // Errors of a connection are ignored: the handlers of its requests see them.
    match version {
        Version::Http1 => {
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(io, service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => {}
                () = stopped => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        }
        Version::Http2 => {
            let connection = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                .timer(TokioTimer::new())
                .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
                .serve_connection(io, service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => {}
                () = stopped => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        }
    }
}

/// Has the connection reset if the body is aborted: without chunks, a regular close would mark
/// the end of a complete body.
pub(crate) fn reset_if_aborted(answer: Response<Body>, reset: ResetFlag) -> Response<Body> {
    let on_error = move |error| {
        reset.set();
        error
    };
    answer.map(|body| body.map_err(on_error).boxed_unsync())
}
