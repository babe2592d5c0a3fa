//! Whether the end of an answer's body is the end of the answer.
//!
//! An answer with neither a length nor chunks ends with its connection, and so does one whose
//! server crashes. Only the content distinguishes the two: an event stream that ends inside an
//! event, or before its first one, was interrupted.

use crate::event_stream::EventBoundary;

/// How a server marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head states the length, or that there is no body.
    Length,
    /// The body is sent in chunks and has a last chunk.
    Chunks,
    /// The body ends when the connection is closed.
    Connection,
}

impl Framing {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// Why an event stream whose body has ended is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The last event is not terminated.
    WithinEvent,
    /// The connection was closed before the first event.
    BeforeFirstEvent,
}

impl Interruption {
    /// Reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Interruption::WithinEvent => "ended_within_an_event",
            Interruption::BeforeFirstEvent => "ended_before_an_event",
        }
    }
}

/// What has arrived of the event stream of one server.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    framing: Framing,
    boundary: EventBoundary,
    is_empty: bool,
}

impl StreamProgress {
    /// Nothing of the body has arrived.
    pub fn new(framing: Framing) -> Self {
        Self { framing, boundary: EventBoundary::default(), is_empty: true }
    }

    /// Records that bytes of the body have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.is_empty &= bytes.is_empty();
        self.boundary.push(bytes);
    }

    /// Returns why the stream is not complete, if its body ends here.
    pub fn interruption(&self) -> Option<Interruption> {
        if self.boundary.is_inside_event() {
            return Some(Interruption::WithinEvent);
        }
        let ended_unmarked = self.is_empty && self.framing == Framing::Connection;
        ended_unmarked.then_some(Interruption::BeforeFirstEvent)
    }
}
