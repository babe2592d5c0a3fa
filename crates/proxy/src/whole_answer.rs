//! Answers that are read whole before their head is passed on.

use crate::dialect::Dialect;
use crate::exchange::{Exchange, Outgoing};
use crate::forward::Context;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::Response;
use latchwheel_core::attempts::AttemptFailure;
use latchwheel_core::dispatch::Ending;
use latchwheel_http::{full, Body};

/// Answers up to this length are read whole before their head is passed on,
/// so that a broken one can be asked for again.
const WHOLE_ANSWER_LIMIT: usize = 1 << 20;

impl<D: Dialect> Context<D> {
    /// Reads an answer to its end before its head is passed on.
    pub(crate) async fn whole_answer(
        &mut self,
        mut exchange: Exchange<D>,
        response: Response<Incoming>,
    ) -> Result<Response<Body>, Option<Response<Body>>> {
        let (mut head, mut incoming) = response.into_parts();
        Outgoing::strip(&mut head.headers, self.shared.dialect.names());
        exchange.note_piece();
        let first_piece_ms = self.shared.clock.now().since(self.received).as_millis() as u64;
        let sent_at = self.shared.clock.now();
        let framing = exchange.framing();
        let mut whole = BytesMut::new();
        let read = tokio::time::timeout(self.left(), read_whole(&mut incoming, &mut whole)).await;
        match read {
            Ok(WholeRead::Whole) => {
                exchange.note_served(&self.outgoing);
                exchange.finish();
                self.log_answered(head.status.as_u16(), first_piece_ms, framing);
                Ok(Response::from_parts(head, full(Bytes::from(whole))))
            }
            Ok(WholeRead::TooLong) => {
                self.log_answered(head.status.as_u16(), first_piece_ms, framing);
                let rest = LongAnswer { outgoing: self.outgoing.clone(), exchange };
                Ok(Response::from_parts(head, rest.body(Bytes::from(whole), incoming)))
            }
            Ok(WholeRead::Broken) | Err(_) => {
                let mut failure = AttemptFailure::MayHaveRun;
                if read.is_ok() {
                    exchange.note_connection_lost(&self.outgoing);
                    failure = AttemptFailure::Lost;
                }
                let server = exchange.server().clone();
                exchange.fail(Ending::Broken);
                Err(self.failed(&server, sent_at, failure, "answer_broke"))
            }
        }
    }
}

enum WholeRead {
    Whole,
    TooLong,
    Broken,
}

async fn read_whole(incoming: &mut Incoming, whole: &mut BytesMut) -> WholeRead {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else { return WholeRead::Broken };
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if whole.len() > WHOLE_ANSWER_LIMIT {
            return WholeRead::TooLong;
        }
    }
    WholeRead::Whole
}

/// An answer whose head was passed on before it was whole. The exchange ends with it.
struct LongAnswer<D: Dialect> {
    outgoing: Outgoing,
    exchange: Exchange<D>,
}

impl<D: Dialect> LongAnswer<D> {
    /// The part that was read and the rest.
    fn body(self, read: Bytes, rest: Incoming) -> Body {
        let first = futures::stream::iter([Ok(Frame::data(read))]);
        let rest = BodyStream::new(latchwheel_http::boxed(rest)).map(move |frame| {
            if frame.is_err() {
                self.exchange.note_connection_lost(&self.outgoing);
            }
            frame
        });
        StreamBody::new(first.chain(rest)).boxed_unsync()
    }
}
