//! Requests during a planned stop: none is sent too late to be answered before the process
//! ends, and what is unanswered shortly before that gets an answer of the process's own.
//!
//! [`latchwheel_core::planned_stop`] decides how late a request may be sent.

use crate::dialect::Dialect;
use crate::shared::Shared;
use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::planned_stop::{AnswerTimes, SendLimit, StoppingRequest};
use latchwheel_core::routes::Route;
use latchwheel_core::time::Instant;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

/// What is logged of an answer that is broken off because the process ends.
pub(crate) const PROCESS_ENDS: &str = "process_ends";

/// The process could not answer the request before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLate;

impl<D: Dialect> Shared<D> {
    /// Times of the answers of the routes.
    pub(crate) fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.answer_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The end of the time that a request has, at a process that may stop before.
    pub(crate) fn answered_until(&self, until: Instant) -> Instant {
        self.stop.times().map_or(until, |times| until.min(times.last_answer))
    }

    /// Does what comes before a request is sent, for as long as it may be sent.
    ///
    /// # Errors
    /// [`TooLate`] as soon as it could not be answered any more before the process ends.
    pub(crate) async fn before_too_late<T>(
        &self,
        route: &Route,
        until: Instant,
        preparation: impl Future<Output = T>,
    ) -> Result<T, TooLate> {
        tokio::select! {
            biased;
            () = self.too_late(route, until) => Err(TooLate),
            prepared = preparation => Ok(prepared),
        }
    }

    /// Completes when a request of the route, which has time until then, is not to be sent any
    /// more because the process stops.
    async fn too_late(&self, route: &Route, until: Instant) {
        let times = self.stop.begun().await;
        let longest_answer = self.answer_times().longest(RouteKey::of(&route.name));
        match times.send_limit(&StoppingRequest { kind: route.kind, until, longest_answer }) {
            SendLimit::OwnTime => std::future::pending().await,
            SendLimit::Until(time) => sleep(time.since(self.clock.now())).await,
            SendLimit::Never => {}
        }
    }

    /// Does something for as long as its result can be answered with.
    ///
    /// # Errors
    /// [`TooLate`] once everything in progress has to be answered.
    pub async fn before_answers_due<T>(&self, work: impl Future<Output = T>) -> Result<T, TooLate> {
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = self.answers_due() => Err(TooLate),
        }
    }

    /// Whether the process lives for at least that time.
    pub fn has_time_for(&self, time: Duration) -> bool {
        let until = self.clock.now() + time;
        self.answered_until(until) == until
    }

    /// Whether everything in progress has to be answered now because the process ends.
    pub(crate) fn are_answers_due(&self) -> bool {
        self.stop.times().is_some_and(|times| times.last_answer <= self.clock.now())
    }

    /// Completes when everything in progress has to be answered because the process ends.
    pub(crate) async fn answers_due(&self) {
        self.stop.answers_due().await;
    }
}

/// Completes at once after no time; a timer would take another millisecond.
async fn sleep(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Completes when everything in progress has to be answered because the process ends.
pub(crate) struct AnswersDue(Pin<Box<dyn Future<Output = ()> + Send>>);

impl AnswersDue {
    pub(crate) fn new<D: Dialect>(shared: Arc<Shared<D>>) -> Self {
        Self(Box::pin(async move { shared.answers_due().await }))
    }
}

impl Future for AnswersDue {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl std::fmt::Debug for AnswersDue {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("AnswersDue")
    }
}
