//! An attempt whose first piece is waited for, and a second one beside it.
//!
//! [`latchwheel_core::second_attempt`] decides when the first piece is overdue and whether
//! a second attempt is paid for. The first attempt to bring its first piece is delivered;
//! the other one is dropped, which closes its connection. An answer that tells of a fault
//! ends nothing while the other attempt is in progress: a server that fails at once must not
//! take the place of one that is slow.

use crate::dialect::Dialect;
use crate::exchange::{AttemptEnd, Exchange};
use crate::forward::Context;
use crate::placements::{PlaceAsk, Terms, ADVICE_TIME};
use crate::started::Started;
use hyper::{Response, StatusCode};
use latchwheel_core::dispatch::{Choice, Ending, FirstPiece, Placement, RouteKey};
use latchwheel_core::second_attempt::AttemptTime;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_http::Body;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks for a second server: what an answer of a keeper may take.
const LOOK_PAUSE: Duration = ADVICE_TIME;

/// What came of an attempt: the first piece of its answer, or a failure.
type Attempted<D> = Result<Started<D>, AttemptEnd>;

/// An attempt that failed beside another one or by itself.
struct Failed {
    server: Arc<str>,
    sent_at: Instant,
    end: AttemptEnd,
}

/// What came of one or two attempts.
struct Outcome<D: Dialect> {
    started: Option<Started<D>>,
    failed: Vec<Failed>,
    /// Servers whose attempts were withdrawn.
    withdrawn: Vec<Arc<str>>,
}

/// One of the attempts of a request.
#[derive(Clone)]
struct Sent {
    placement: Placement,
    at: Instant,
    expected: Duration,
}

/// Which attempt brought the first piece of the answer that is delivered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Winner {
    First,
    Second,
    Neither,
}

impl Winner {
    fn word(self) -> &'static str {
        match self {
            Winner::First => "first",
            Winner::Second => "second",
            Winner::Neither => "neither",
        }
    }
}

/// Logs a second attempt at its end, also if the caller leaves before.
struct SecondLog<'a, D: Dialect> {
    context: &'a Context<D>,
    first: &'a Sent,
    second: &'a Sent,
    winner: Winner,
}

impl<D: Dialect> Drop for SecondLog<'_, D> {
    fn drop(&mut self) {
        let event = Event::SecondAttempt {
            id: &self.context.id,
            route: &self.context.route.name,
            server: &self.first.placement.server,
            expected_ms: self.first.expected.as_millis() as u64,
            waited_ms: self.second.at.since(self.first.at).as_millis() as u64,
            second_server: &self.second.placement.server,
            second_expected_ms: self.second.expected.as_millis() as u64,
            won: self.winner.word(),
        };
        emit(&self.context.id, &event);
    }
}

impl<D: Dialect> Context<D> {
    /// Time in which the first piece is expected of an attempt beside which a second one
    /// may begin; `None` if none may.
    pub(crate) fn expected_if_repeatable(&self, placement: &Placement) -> Option<Duration> {
        let is_first = self.attempts.may_repeat() && !self.attempts.may_have_run();
        if !is_first || self.start_turn.is_some() || self.route.latency_target.is_zero() {
            return None;
        }
        self.expected(placement)
    }

    fn expected(&self, placement: &Placement) -> Option<Duration> {
        let piece = if self.is_stream() { FirstPiece::OfStream } else { FirstPiece::WholeAnswer };
        self.shared.dispatcher().expected_first_piece(self.shared.clock.now(), placement, piece)
    }

    /// Sends the request, to a second server too if its first piece is overdue. The errors
    /// are those of [`Context::attempt`].
    pub(crate) async fn attempt_in_time(
        &mut self,
        placement: Placement,
        expected: Duration,
    ) -> Result<Started<D>, Option<Response<Body>>> {
        let sent = Sent { placement, at: self.shared.clock.now(), expected };
        let Outcome { started, failed, withdrawn } = self.first_and_second(&sent).await;
        for server in withdrawn {
            self.asked.push(server);
            self.attempts.note_withdrawn();
        }
        self.asked.extend(failed.iter().map(|failed| failed.server.clone()));
        match started {
            Some(started) => {
                failed.iter().for_each(|failed| self.note_one_failed(failed));
                self.asked.push(started.exchange.server().clone());
                Ok(started)
            }
            None => Err(self.all_failed(&failed)),
        }
    }

    fn note_one_failed(&mut self, failed: &Failed) {
        self.note_failed(&failed.server, failed.sent_at, &failed.end);
    }

    /// What follows where all attempts failed: as if they had been made in turn.
    fn all_failed(&mut self, failed: &[Failed]) -> Option<Response<Body>> {
        let (last, others) = failed.split_last()?;
        others.iter().for_each(|failed| self.note_one_failed(failed));
        self.failed(&last.server, last.sent_at, &last.end)
    }

    async fn first_and_second(&self, sent: &Sent) -> Outcome<D> {
        let mut first = pin!(self.first_piece_of(sent, 0));
        let second = tokio::select! {
            biased;
            ended = &mut first => return self.alone(sent, ended),
            second = self.second_once_due(sent) => second,
        };
        match second {
            Some(second) => self.both(sent, first, &second).await,
            None => self.alone(sent, first.await),
        }
    }

    /// A place for a second attempt once one is due. Where there is none it is looked for
    /// again while an answer can be in time.
    async fn second_once_due(&self, sent: &Sent) -> Option<Sent> {
        let time = self.attempt_time(sent.at, sent.expected);
        let due = self.shared.second_attempts().due_after(self.route_key(), &time)?;
        tokio::time::sleep(due).await;
        while self.shared.clock.now().since(self.received) < self.route.latency_target {
            if let Some(second) = self.second_place(&sent.placement.server).await {
                return Some(second);
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        None
    }

    fn attempt_time(&self, at: Instant, expected: Duration) -> AttemptTime {
        AttemptTime { expected, spent: at.since(self.received), latency_target: self.route.latency_target }
    }

    /// What came of an attempt without a second one.
    fn alone(&self, sent: &Sent, ended: Attempted<D>) -> Outcome<D> {
        match ended {
            Ok(started) => {
                self.note_in_time(sent, started.response.status());
                Outcome { started: Some(started), failed: Vec::new(), withdrawn: Vec::new() }
            }
            Err(end) => Outcome { started: None, failed: vec![failed(sent, end)], withdrawn: Vec::new() },
        }
    }

    /// Two attempts at once. Each is polled until both have ended or one is delivered.
    async fn both(
        &self,
        sent: &Sent,
        mut first: Pin<&mut impl Future<Output = Attempted<D>>>,
        second_sent: &Sent,
    ) -> Outcome<D> {
        let mut log = SecondLog { context: self, first: sent, second: second_sent, winner: Winner::Neither };
        let mut second = pin!(self.first_piece_of(second_sent, 1));
        let (winner, ended, other) = tokio::select! {
            biased;
            ended = &mut first => {
                if is_final(&ended) {
                    (Winner::First, ended, None)
                } else {
                    let other = second.await;
                    choose(Winner::First, ended, Winner::Second, other)
                }
            }
            ended = &mut second => {
                if is_final(&ended) {
                    (Winner::Second, ended, None)
                } else {
                    let other = first.await;
                    choose(Winner::Second, ended, Winner::First, other)
                }
            }
        };
        let (of_winner, of_other) = if winner == Winner::Second { (second_sent, sent) } else { (sent, second_sent) };
        let mut outcome = Outcome { started: None, failed: Vec::new(), withdrawn: Vec::new() };
        match other {
            Some(Err(end)) => outcome.failed.push(failed(of_other, end)),
            // It told of a fault.
            Some(Ok(started)) => {
                let is_full = started.response.status() == StatusCode::TOO_MANY_REQUESTS;
                started.exchange.fail(if is_full { Ending::Rejected } else { Ending::Failed });
                outcome.withdrawn.push(of_other.placement.server.clone());
            }
            None => outcome.withdrawn.push(of_other.placement.server.clone()),
        }
        match ended {
            Ok(started) => {
                log.winner = winner;
                self.note_winner(winner, sent, started.response.status(), outcome.failed.is_empty());
                outcome.started = Some(started);
            }
            Err(end) => outcome.failed.push(failed(of_winner, end)),
        }
        outcome
    }

    fn note_winner(&self, winner: Winner, first: &Sent, status: StatusCode, was_withdrawn: bool) {
        if winner == Winner::First {
            return self.note_in_time(first, status);
        }
        if was_withdrawn {
            let now = self.shared.clock.now();
            self.shared.dispatcher().note_overtaken(now, &first.placement.server, first.at);
            let waited = now.since(first.at);
            self.shared.second_attempts().note_overtaken(self.route_key(), first.expected, waited);
        }
    }

    /// A first attempt brought its first piece just now. A fault pays for nothing, and tells
    /// nothing of how long work takes.
    fn note_in_time(&self, sent: &Sent, status: StatusCode) {
        if !status.is_success() {
            return;
        }
        let time = self.shared.clock.now().since(sent.at);
        self.shared.second_attempts().note_answered(self.route_key(), sent.expected, time);
    }

    fn route_key(&self) -> RouteKey {
        RouteKey::of(&self.route.name)
    }

    /// Sends the request and waits for the first piece of its answer, with so many other
    /// attempts in progress.
    async fn first_piece_of(&self, sent: &Sent, others: u32) -> Attempted<D> {
        let left = self.left();
        let exchange = Exchange::reserve(&self.shared, sent.placement.clone(), &self.outgoing);
        let (exchange, response) = exchange.send(&self.outgoing, left, self.patience(left, others), None).await?;
        let started = Started::at_head(exchange, response);
        if !self.is_stream() || !started.response.status().is_success() {
            return Ok(started);
        }
        started.with_first_frame(&self.outgoing, self.pause_limit(others)).await
    }

    /// A place for a second attempt now, paid for; `None` if there is none to be made.
    async fn second_place(&self, first: &Arc<str>) -> Option<Sent> {
        if !self.may_send_second() {
            return None;
        }
        let placement = self.free_place_beside(first).await?;
        let now = self.shared.clock.now();
        let second = self.expected(&placement).and_then(|expected| {
            let time = self.attempt_time(now, expected);
            let begins = self.may_send_second() && self.shared.second_attempts().begin(self.route_key(), &time);
            begins.then(|| Sent { placement: placement.clone(), at: now, expected })
        });
        match &second {
            Some(second) => self.log_sent(&second.placement, self.left(), self.attempts.made() + 2, None),
            // The keeper that gave the place is told that it isn't taken.
            None => drop(Exchange::reserve(&self.shared, placement, &self.outgoing)),
        }
        second
    }

    /// Whether a second attempt is paid for and may run: not of a request whose shape is
    /// suspected of ending servers, not where slots are scarce, and not at a process that leaves.
    fn may_send_second(&self) -> bool {
        let now = self.shared.clock.now();
        !self.shared.is_leaving()
            && self.shared.second_attempts().has_budget()
            && !self.shared.is_suspected(&self.outgoing)
            && !self.shared.own_claims.has_claims(&self.service)
            && !self.shared.dispatcher().is_overloaded(now, &self.service)
    }

    /// A free slot at another server than the first one's, which no waiting claim has to get.
    async fn free_place_beside(&self, first: &Arc<str>) -> Option<Placement> {
        let avoid = [self.asked.as_slice(), std::slice::from_ref(first)].concat();
        let ask = PlaceAsk { avoid: &avoid, wait_limit: Duration::ZERO, ..self.place_ask() };
        let claim = self.takes_turns().then(|| self.claim_terms().message(self.shared.clock.now(), false));
        let terms = Terms { claim, ..Terms::FREE_ONLY };
        let choice = self.shared.placements.ask_on_terms(&self.shared, &ask, terms).await;
        match choice.unwrap_or_else(|| self.choose_among(&avoid, Duration::ZERO)) {
            Choice::Send(placement) if !placement.preempts && !avoid.contains(&placement.server) => Some(placement),
            Choice::Send(_) | Choice::Full(_) | Choice::NoServer => None,
        }
    }
}

fn failed(sent: &Sent, end: AttemptEnd) -> Failed {
    Failed { server: sent.placement.server.clone(), sent_at: sent.at, end }
}

/// Whether an answer is delivered though the other attempt is in progress: one that tells of
/// a fault or of a full server is not.
fn is_final<D: Dialect>(ended: &Attempted<D>) -> bool {
    let Ok(started) = ended else { return false };
    let status = started.response.status();
    !status.is_server_error() && !matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT)
}

/// Which of two attempts that both ended is delivered: the later one, unless only the
/// earlier one has an answer.
fn choose<D: Dialect>(
    earlier_is: Winner,
    earlier: Attempted<D>,
    later_is: Winner,
    later: Attempted<D>,
) -> (Winner, Attempted<D>, Option<Attempted<D>>) {
    if later.is_err() && earlier.is_ok() {
        (earlier_is, earlier, Some(later))
    } else {
        (later_is, later, Some(earlier))
    }
}
