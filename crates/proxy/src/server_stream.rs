//! A stream to a server that can be given up.
//!
//! The system goes on sending what it holds of a closed stream: over a link that was cut
//! or to a server that doesn't read, the request would arrive long after it was given up.
//! A stream that is given up is reset instead, so that nothing more of it is sent.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a stream is to be reset when it is closed.
#[derive(Clone, Debug, Default)]
pub(crate) struct GivenUp(Arc<AtomicBool>);

impl GivenUp {
    /// The stream is reset when it is closed.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A stream to a server.
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
    given_up: GivenUp,
}

impl ServerStream {
    /// A stream that is reset at its end if it is given up by then.
    pub(crate) fn new(stream: TcpStream, given_up: GivenUp) -> Self {
        Self { stream, given_up }
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl Drop for ServerStream {
    fn drop(&mut self) {
        if self.given_up.is_set() {
            // Without it the stream is closed as any other.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        self.inner().poll_read(context, buffer)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.inner().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.inner().poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_shutdown(context)
    }
}
