//! An answer that has begun.

use crate::dialect::Dialect;
use crate::exchange::{AttemptEnd, Exchange, Outgoing};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::Response;
use latchwheel_core::attempts::AttemptFailure;
use latchwheel_core::dispatch::Ending;
use std::time::Duration;

/// What reading a body brings: a frame, its end or a fault.
pub(crate) type NextFrame = Option<hyper::Result<Frame<Bytes>>>;

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(crate) struct Started<D: Dialect> {
    pub(crate) exchange: Exchange<D>,
    pub(crate) response: Response<Incoming>,
    /// What was read of the body, if it was waited for.
    pub(crate) first_frame: Option<NextFrame>,
}

impl<D: Dialect> Started<D> {
    /// The head of the answer came.
    pub(crate) fn at_head(exchange: Exchange<D>, response: Response<Incoming>) -> Self {
        Self { exchange, response, first_frame: None }
    }

    /// Waits for the first frame of the body.
    ///
    /// # Errors
    /// [`AttemptEnd`] if the answer broke off or nothing came in `limit`.
    pub(crate) async fn with_first_frame(mut self, outgoing: &Outgoing, limit: Duration) -> Result<Self, AttemptEnd> {
        let Ok(frame) = tokio::time::timeout(limit, self.response.body_mut().frame()).await else {
            let end = self.exchange.attempt_end(AttemptFailure::MayHaveRun, "no_event");
            self.exchange.fail(Ending::Unresponsive);
            return Err(end);
        };
        if let Some(Err(_)) = frame {
            return Err(self.broken_off(outgoing, "stream_broke"));
        }
        if frame.is_some() {
            self.exchange.note_piece();
        } else if let Some(interruption) =
            self.exchange.stream_progress(true).and_then(|progress| progress.interruption())
        {
            return Err(self.broken_off(outgoing, interruption.as_str()));
        }
        self.first_frame = Some(frame);
        Ok(self)
    }

    /// The server broke the answer off.
    fn broken_off(self, outgoing: &Outgoing, reason: &'static str) -> AttemptEnd {
        let end = self.exchange.attempt_end(AttemptFailure::Lost, reason);
        self.exchange.note_connection_lost(outgoing);
        self.exchange.fail(Ending::Broken);
        end
    }
}

/// The pieces of an answer, the first of which may have been read.
#[derive(Debug)]
pub(crate) struct Pieces {
    pub(crate) first: Option<NextFrame>,
    pub(crate) rest: Incoming,
}

impl Pieces {
    /// What comes next.
    pub(crate) async fn next(&mut self) -> NextFrame {
        match self.first.take() {
            Some(frame) => frame,
            None => self.rest.frame().await,
        }
    }
}
