//! A client's connection that is closed when a head does not end in time.

use crate::client_guard::ConnectionHold;
use crate::reset_stream::ResetStream;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Counts the reads of a connection, to tell requests that were sent ahead: those for which
/// nothing was read since the one before.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reads {
    reads: Arc<AtomicU64>,
    reads_at_request: Arc<AtomicU64>,
}

impl Reads {
    fn note_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether a request that begins now was read together with the one before.
    pub(crate) fn is_request_sent_ahead(&self) -> bool {
        let reads = self.reads.load(Ordering::Relaxed);
        self.reads_at_request.swap(reads, Ordering::Relaxed) == reads
    }
}

/// A stream whose reads fail when a head has begun and does not end in time.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: ResetStream,
    hold: Arc<ConnectionHold>,
    head_timeout: Option<Duration>,
    /// End of the time for the head that is being read; `None` between heads.
    head_deadline: Option<Pin<Box<Sleep>>>,
    /// Requests that had begun when the head did: with one more, it has ended.
    requests_before: usize,
    reads: Reads,
}

impl ClientStream {
    pub(crate) fn new(stream: ResetStream, hold: Arc<ConnectionHold>, head_timeout: Option<Duration>) -> Self {
        Self { stream, hold, head_timeout, head_deadline: None, requests_before: 0, reads: Reads::default() }
    }

    pub(crate) fn reads(&self) -> Reads {
        self.reads.clone()
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut ResetStream> {
        Pin::new(&mut self.get_mut().stream)
    }

    /// Whether the time for a head is over.
    fn is_head_late(&mut self, context: &mut Context<'_>) -> bool {
        let Some(deadline) = &mut self.head_deadline else { return false };
        deadline.as_mut().poll(context).is_ready()
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let stream = self.get_mut();
        let begun = stream.hold.begun();
        if begun != stream.requests_before {
            stream.head_deadline = None;
            stream.requests_before = begun;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut stream.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            stream.reads.note_read();
            if stream.hold.is_idle() && stream.head_deadline.is_none() {
                stream.head_deadline = stream.head_timeout.map(|timeout| Box::pin(sleep(timeout)));
            }
        }
        if polled.is_pending() && stream.is_head_late(context) {
            stream.hold.guard().note_slow_head();
            return Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the head does not end in time")));
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
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
