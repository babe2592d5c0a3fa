//! Answers that are read whole before their head is passed on.

use crate::answer_head::strip_connection;
use crate::answer_log::AnswerLog;
use crate::dialect::Dialect;
use crate::exchange::{Exchange, Outgoing};
use crate::forward::Context;
use crate::planned_stop::{AnswersDue, PROCESS_ENDS};
use crate::shared::{InProgress, Shared};
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::Response;
use latchwheel_core::answer_end::StreamProgress;
use latchwheel_core::attempts::AttemptFailure;
use latchwheel_core::dispatch::Ending;
use latchwheel_core::time::Instant;
use latchwheel_http::{full, AnswerShare, Body, BoxError};
use std::sync::Arc;

/// Why an answer is broken off whose request has no time left.
pub(crate) const TIME_IS_OVER: &str = "time_is_over";
/// What is logged of an answer whose server broke off.
const ANSWER_BROKE: &str = "answer_broke";
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
        strip_connection(&mut head, self.shared.dialect.names());
        exchange.note_piece();
        let first_piece_ms = self.shared.clock.now().since(self.received).as_millis() as u64;
        let sent_at = self.shared.clock.now();
        let mut progress = exchange.stream_progress(false);
        let mut whole = Kept::new(self.shared.answers.share());
        let read = tokio::time::timeout(self.left(), read_whole(&mut incoming, &mut whole, &mut progress)).await;
        let read = match read {
            Ok(WholeRead::Whole) if exchange.cut_reason(progress).await.is_some() => Ok(WholeRead::Broken),
            read => read,
        };
        match read {
            Ok(WholeRead::Whole) => {
                exchange.note_served(&self.outgoing);
                self.answer_log(&exchange, head.status.as_u16(), first_piece_ms).complete(&self.shared);
                exchange.finish();
                Ok(Response::from_parts(head, full(whole.into_bytes())))
            }
            Ok(WholeRead::NotKept) => {
                let log = self.answer_log(&exchange, head.status.as_u16(), first_piece_ms);
                if progress.is_some() {
                    head.headers.remove(CONTENT_LENGTH);
                }
                let (shared, outgoing, until) = (self.shared.clone(), self.outgoing.clone(), self.until);
                let (answers_due, guard) = (AnswersDue::new(shared.clone()), shared.enter());
                let rest = LongAnswer {
                    outgoing,
                    exchange,
                    progress,
                    shared,
                    until,
                    log,
                    has_ended: false,
                    answers_due,
                    _guard: guard,
                };
                Ok(Response::from_parts(head, rest.body(whole.into_bytes(), incoming)))
            }
            Ok(WholeRead::Broken) | Err(_) => {
                let mut failure = AttemptFailure::MayHaveRun;
                if read.is_ok() {
                    exchange.note_connection_lost(&self.outgoing);
                    failure = AttemptFailure::Lost;
                }
                let server = exchange.server().clone();
                let end = exchange.attempt_end(failure, ANSWER_BROKE);
                let ending = if read.is_ok() { Ending::Broken } else { exchange.ending_out_of_time(Ending::Broken) };
                exchange.fail(ending);
                Err(self.failed(&server, sent_at, &end))
            }
        }
    }
}

enum WholeRead {
    Whole,
    /// It is too long to be kept whole, or there is no room for it.
    NotKept,
    Broken,
}

/// What is kept of an answer until it is whole, within the budget of the process.
struct Kept {
    bytes: Vec<u8>,
    share: AnswerShare,
}

impl Kept {
    fn new(share: AnswerShare) -> Self {
        Self { bytes: Vec::new(), share }
    }

    /// Keeps what came; `false` if no more can be kept.
    fn push(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        let mut has_room = true;
        if length > self.bytes.capacity() {
            let capacity = length.max((2 * self.bytes.capacity()).min(WHOLE_ANSWER_LIMIT));
            has_room = self.share.hold(capacity).is_ok();
            let capacity = if has_room { capacity } else { length };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        has_room && length <= WHOLE_ANSWER_LIMIT
    }

    fn into_bytes(self) -> Bytes {
        self.share.into_bytes(self.bytes.into())
    }
}

async fn read_whole(incoming: &mut Incoming, whole: &mut Kept, progress: &mut Option<StreamProgress>) -> WholeRead {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else { return WholeRead::Broken };
        if let Ok(data) = frame.into_data() {
            if let Some(progress) = progress {
                progress.push(&data);
            }
            if !whole.push(&data) {
                return WholeRead::NotKept;
            }
        }
    }
    WholeRead::Whole
}

/// An answer whose head was passed on before it was whole. The exchange ends with it.
struct LongAnswer<D: Dialect> {
    outgoing: Outgoing,
    exchange: Exchange<D>,
    progress: Option<StreamProgress>,
    shared: Arc<Shared<D>>,
    /// End of the time that the request has.
    until: Instant,
    log: AnswerLog,
    /// Its end was logged.
    has_ended: bool,
    answers_due: AnswersDue,
    _guard: InProgress<D>,
}

impl<D: Dialect> Drop for LongAnswer<D> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.log.dropped(&self.shared, &self.outgoing.in_flight);
        }
    }
}

impl<D: Dialect> LongAnswer<D> {
    /// The part that was read and the rest.
    fn body(self, read: Bytes, rest: Incoming) -> Body {
        let first = futures::stream::iter([Ok(Frame::data(read))]);
        let rest = futures::stream::unfold(Some((self, rest)), |state| async move {
            let (mut answer, mut rest) = state?;
            let frame = answer.next(&mut rest).await?;
            let goes_on = frame.is_ok().then_some((answer, rest));
            Some((frame, goes_on))
        });
        StreamBody::new(first.chain(rest)).boxed_unsync()
    }

    /// The next frame; `None` at the end of a complete answer.
    async fn next(&mut self, rest: &mut Incoming) -> Option<Result<Frame<Bytes>, BoxError>> {
        match self.next_piece(rest).await {
            Ok(Some(frame)) => Some(Ok(frame)),
            Ok(None) => {
                self.has_ended = true;
                self.log.complete(&self.shared);
                None
            }
            Err(reason) => {
                self.has_ended = true;
                self.log.cut(&self.shared, self.exchange.server(), reason);
                Some(Err(reason.into()))
            }
        }
    }

    /// Why an answer is broken off that the request or the process has no time left for.
    fn out_of_time(&self) -> &'static str {
        if self.shared.are_answers_due() {
            PROCESS_ENDS
        } else {
            TIME_IS_OVER
        }
    }

    /// The next frame, or why the answer is broken off.
    async fn next_piece(&mut self, rest: &mut Incoming) -> Result<Option<Frame<Bytes>>, &'static str> {
        let left = self.shared.answered_until(self.until).since(self.shared.clock.now());
        if left.is_zero() {
            // A frame that is ready would go before the timeout.
            return Err(self.out_of_time());
        }
        let next = tokio::time::timeout(left, rest.frame());
        let next = tokio::select! {
            biased;
            next = next => next,
            () = &mut self.answers_due => return Err(PROCESS_ENDS),
        };
        match next.map_err(|_| self.out_of_time())? {
            Some(Ok(frame)) => {
                if let (Some(progress), Some(data)) = (&mut self.progress, frame.data_ref()) {
                    progress.push(data);
                }
                Ok(Some(frame))
            }
            Some(Err(_)) => {
                self.exchange.note_connection_lost(&self.outgoing);
                Err(ANSWER_BROKE)
            }
            None => match self.exchange.cut_reason(self.progress).await {
                None => Ok(None),
                Some(reason) => {
                    self.exchange.note_connection_lost(&self.outgoing);
                    Err(reason)
                }
            },
        }
    }
}
