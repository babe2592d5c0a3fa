//! A TCP stream that can be reset when it is closed.
//!
//! Closing a stream normally sends what the system still holds of it, and its end looks like
//! the end of what was sent. A reset does neither.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a stream is reset when it is closed.
#[derive(Clone, Debug, Default)]
pub struct ResetFlag(Arc<AtomicBool>);

impl ResetFlag {
    /// Has the stream reset when it is closed.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A TCP stream that is reset when it is closed if its flag is set by then.
#[derive(Debug)]
pub struct ResetStream {
    stream: TcpStream,
    reset: ResetFlag,
}

impl ResetStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, reset: ResetFlag) -> Self {
        Self { stream, reset }
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl Drop for ResetStream {
    fn drop(&mut self) {
        if self.reset.is_set() {
            // Without it the stream is closed as any other.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ResetStream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        self.inner().poll_read(context, buffer)
    }
}

impl AsyncWrite for ResetStream {
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
