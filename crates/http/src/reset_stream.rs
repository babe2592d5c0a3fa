//! A TCP stream that can be reset when it is closed, and with bounds on its peer.
//!
//! Closing a stream normally sends what the system still holds of it, and its end looks like
//! the end of what was sent. A reset does neither.

use crate::read_allowance::ReadAllowance;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

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
    stream: Take<TcpStream>,
    reset: ResetFlag,
    allowance: Option<ReadAllowance>,
    /// Most bytes of one read.
    read_limit: u64,
    write_timeout: Option<Duration>,
    /// Ends when the peer has taken no bytes for the write timeout; `None` unless a write waits.
    write_deadline: Option<Pin<Box<Sleep>>>,
}

impl ResetStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, reset: ResetFlag) -> Self {
        let (stream, read_limit) = (stream.take(u64::MAX), u64::MAX);
        Self { stream, reset, allowance: None, read_limit, write_timeout: None, write_deadline: None }
    }

    /// Has reads fail beyond this allowance.
    pub fn with_allowance(mut self, allowance: ReadAllowance) -> Self {
        self.allowance = Some(allowance);
        self
    }

    /// Has a read bring at most so many bytes, whatever its buffer can take: the buffer of a
    /// reader that grows with what it gets stays small.
    pub fn with_read_limit(mut self, bytes: usize) -> Self {
        self.read_limit = bytes as u64;
        self
    }

    /// Has writes fail, and the stream reset, when the peer takes no bytes for this time.
    pub fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = Some(timeout);
        self
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().stream.get_mut())
    }

    /// The outcome of a write, which fails if it has waited for too long.
    fn bounded<T>(&mut self, context: &mut Context<'_>, written: Poll<Result<T>>) -> Poll<Result<T>> {
        let (Some(timeout), Poll::Pending) = (self.write_timeout, &written) else {
            self.write_deadline = None;
            return written;
        };
        let deadline = self.write_deadline.get_or_insert_with(|| Box::pin(sleep(timeout)));
        if deadline.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.reset.set();
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the peer takes no bytes")))
    }
}

impl Drop for ResetStream {
    fn drop(&mut self) {
        if self.reset.is_set() {
            // Without it the stream is closed as any other.
            let _ = self.stream.get_ref().set_zero_linger();
        }
    }
}

impl AsyncRead for ResetStream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let stream = self.get_mut();
        let before = buffer.filled().len();
        stream.stream.set_limit(stream.read_limit);
        let read = Pin::new(&mut stream.stream).poll_read(context, buffer);
        let Some(allowance) = &stream.allowance else { return read };
        read.map(|read| read.and_then(|()| allowance.take(buffer.filled().len() - before)))
    }
}

impl AsyncWrite for ResetStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let stream = self.get_mut();
        let written = Pin::new(stream.stream.get_mut()).poll_write(context, bytes);
        stream.bounded(context, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let stream = self.get_mut();
        let written = Pin::new(stream.stream.get_mut()).poll_write_vectored(context, parts);
        stream.bounded(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_shutdown(context)
    }
}
