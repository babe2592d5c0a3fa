//! A resumable stream whose server is silent: another server takes it over, and until then it
//! goes on at the silent one.
//!
//! The attempt at the silent server ends once another server has begun to answer, or has worked
//! on the stream for [`OVERLAP`] without refusing it: a stream must not run on at one server
//! while it continues at another one.

use crate::dialect::Dialect;
use crate::exchange::{AttemptEnd, Exchange};
use crate::forward::Context;
use crate::started::{NextFrame, Started};
use crate::streaming::{Step, Streaming};
use futures::future::BoxFuture;
use futures::FutureExt;
use latchwheel_core::attempts::NextStep;
use latchwheel_core::dispatch::{Ending, Placement};
use latchwheel_core::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for which a stream runs at two servers.
const OVERLAP: Duration = Duration::from_millis(300);
/// Time between two searches for a server that takes a stream over.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);

/// What is logged of an attempt whose server is silent.
const NO_EVENT: &str = "no_event";

/// A continuation that was sent to another server.
pub(crate) struct Takeover<D: Dialect> {
    pub(crate) server: Arc<str>,
    pub(crate) sent_at: Instant,
    pub(crate) answer: BoxFuture<'static, Result<Started<D>, AttemptEnd>>,
}

impl<D: Dialect> Streaming<D> {
    /// The server is silent: what follows once it sends something or another one takes over.
    pub(crate) async fn while_silent(&mut self) -> Step<D> {
        let left = self.context.left();
        let placement = tokio::select! {
            biased;
            frame = self.incoming.next() => return self.spoke(frame),
            () = &mut self.answers_due => return self.out_of_time(),
            () = tokio::time::sleep(left) => return self.out_of_time(),
            placement = self.context.place_to_take_over() => placement,
        };
        let takeover = self.context.send_continuation(placement, self.last_event);
        if self.context.shared.is_suspected(&self.context.outgoing) {
            // It may end servers: it runs at one at a time.
            return Step::Broken(NO_EVENT, Ending::Unresponsive, Some(takeover));
        }
        self.during_overlap(takeover).await
    }

    async fn during_overlap(&mut self, mut takeover: Takeover<D>) -> Step<D> {
        let answered = tokio::select! {
            biased;
            frame = self.incoming.next() => {
                if matches!(frame, Some(Err(_))) {
                    return Step::Broken("stream_broke", Ending::Broken, Some(takeover));
                }
                self.context.attempts.note_withdrawn();
                return self.spoke(frame);
            }
            answered = &mut takeover.answer => answered,
            () = tokio::time::sleep(OVERLAP.min(self.context.left())) => {
                return Step::Broken(NO_EVENT, Ending::Unresponsive, Some(takeover));
            }
        };
        match answered {
            Ok(started) if started.response.status().is_success() => {
                takeover.answer = futures::future::ready(Ok(started)).boxed();
                return Step::Broken(NO_EVENT, Ending::Unresponsive, Some(takeover));
            }
            Ok(started) => {
                self.context.attempts.note_withdrawn();
                started.exchange.fail(Ending::Failed);
            }
            Err(end) => {
                let step = self.context.note_failed(&takeover.server, takeover.sent_at, &end);
                self.stays_at_server |= step != NextStep::TryAgain;
            }
        }
        Step::Wait
    }

    /// The silent server goes on, or its answer ends.
    fn spoke(&mut self, frame: NextFrame) -> Step<D> {
        if let (Some(Ok(_)), Some(exchange)) = (&frame, &mut self.exchange) {
            exchange.note_piece();
        }
        self.incoming.first = Some(frame);
        Step::Wait
    }
}

impl<D: Dialect> Context<D> {
    /// A place for a stream whose attempt is still in progress; there may never be one.
    async fn place_to_take_over(&mut self) -> Placement {
        loop {
            match self.find_place().await {
                Ok(placement) => return placement,
                Err(_) => tokio::time::sleep(SEARCH_PAUSE).await,
            }
        }
    }

    /// Sends the rest of a stream to another server beside its attempt in progress.
    fn send_continuation(&mut self, placement: Placement, last_event: Option<u64>) -> Takeover<D> {
        let left = self.left();
        self.log_sent(&placement, left, self.attempts.made() + 2, last_event);
        let (server, sent_at) = (placement.server.clone(), self.shared.clock.now());
        self.asked.push(server.clone());
        let patience = (OVERLAP + self.patience(left, 1)).min(left);
        let exchange = Exchange::reserve(&self.shared, placement, &self.outgoing);
        let outgoing = self.outgoing.clone();
        let answer = async move {
            let (exchange, response) = exchange.send(&outgoing, left, patience, last_event).await?;
            Ok(Started::at_head(exchange, response))
        };
        Takeover { server, sent_at, answer: answer.boxed() }
    }
}
