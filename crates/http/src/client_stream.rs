//! A client's connection that is closed when a head does not end in time, and in stages after an
//! answer.

use crate::client_guard::ConnectionHold;
use crate::reset_stream::ResetStream;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// Time after the last bytes of an answer for which a connection is read on before it is closed:
/// the system resets a connection that is closed while bytes of the peer are unread or come
/// later, and the peer loses what it has not taken of the answer (RFC 9112, section 9.6).
const LINGER_TIME: Duration = Duration::from_secs(5);
/// Bytes that are read and dropped at a time.
const DROPPED_BYTES: usize = 1 << 10;

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
    /// When bytes were last written.
    written_at: Option<Instant>,
    /// End of the time for which a connection is read on after the end of its writing.
    linger_deadline: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub(crate) fn new(stream: ResetStream, hold: Arc<ConnectionHold>, head_timeout: Option<Duration>) -> Self {
        Self {
            stream,
            hold,
            head_timeout,
            head_deadline: None,
            requests_before: 0,
            reads: Reads::default(),
            written_at: None,
            linger_deadline: None,
        }
    }

    pub(crate) fn reads(&self) -> Reads {
        self.reads.clone()
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut ResetStream> {
        Pin::new(&mut self.get_mut().stream)
    }

    fn note_written(&mut self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.written_at = Some(Instant::now());
        }
        written
    }

    /// Drops what the peer sends until it closes the connection or has had time to take the
    /// answer.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(written_at) = self.written_at else { return Poll::Ready(()) };
        let deadline = self.linger_deadline.get_or_insert_with(|| Box::pin(sleep_until(written_at + LINGER_TIME)));
        // Looked at first: a peer that sends without a pause would go before it.
        if deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut dropped = [0; DROPPED_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut dropped);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
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
        let stream = self.get_mut();
        let written = Pin::new(&mut stream.stream).poll_write(context, bytes);
        stream.note_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let stream = self.get_mut();
        let written = Pin::new(&mut stream.stream).poll_write_vectored(context, parts);
        stream.note_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let stream = self.get_mut();
        ready!(Pin::new(&mut stream.stream).poll_shutdown(context))?;
        stream.poll_linger(context).map(Ok)
    }
}
