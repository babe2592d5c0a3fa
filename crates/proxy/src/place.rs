//! A place at a server for a request: advised by a keeper, or chosen by this node.

use crate::continued::VERSION_RETRY_AFTER;
use crate::dialect::Dialect;
use crate::forward::Context;
use crate::placements::PlaceAsk;
use hyper::Response;
use latchwheel_core::code::ResultCode;
use latchwheel_core::dispatch::{Choice, Placement, PlacementQuery};
use latchwheel_core::holding::{max_hold, timely_wait};
use latchwheel_core::startup_pacing::PacedRequest;
use latchwheel_events::{emit, Event};
use latchwheel_http::Body;
use std::sync::Arc;
use std::time::Duration;

/// Least time between two looks for a free slot for a request that is held, twice
/// that at most.
const HOLD_PAUSE: Duration = Duration::from_millis(100);
/// Time over which copies of a suspected request that wait for one moment are spread:
/// many times what a message between nodes takes.
const RELEASE_SPREAD: Duration = Duration::from_millis(100);

/// Why a request gets no place at a server, and when it may come back.
pub(crate) struct NoPlace {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Option<Duration>,
}

impl<D: Dialect> Context<D> {
    /// A place at a server for a request that may be sent now.
    pub(crate) async fn place_unless_suspected(&mut self) -> Result<Placement, Response<Body>> {
        match self.find_place().await {
            Ok(placement) => Ok(placement),
            Err(NoPlace { code, retry_after }) => {
                if matches!(code, ResultCode::CrowdedOut | ResultCode::WaitTooLong) {
                    self.shared.dispatcher().note_refused(self.shared.clock.now(), &self.service);
                }
                Err(self.refuse(code, retry_after))
            }
        }
    }

    /// The same for a request that isn't refused where there is none.
    pub(crate) async fn find_place(&mut self) -> Result<Placement, NoPlace> {
        loop {
            self.await_verdict().await?;
            if self.left().is_zero() {
                return Err(NoPlace { code: ResultCode::DeadlinePassed, retry_after: None });
            }
            let placement = match self.place().await {
                Choice::Send(placement) => placement,
                Choice::Full(retry_after) => {
                    let code = if self.takes_turns() { ResultCode::CrowdedOut } else { ResultCode::WaitTooLong };
                    return Err(NoPlace { code, retry_after: Some(retry_after) });
                }
                Choice::NoServer if self.software.is_some() => {
                    let (code, retry_after) = (ResultCode::StreamVersionAway, Some(VERSION_RETRY_AFTER));
                    return Err(NoPlace { code, retry_after });
                }
                Choice::NoServer => return Err(NoPlace { code: ResultCode::NoServer, retry_after: None }),
            };
            // It may have been held, and servers may have ended under it meanwhile.
            if let Some(rest) = self.shared.quarantined_for(&self.outgoing) {
                return Err(NoPlace { code: ResultCode::Quarantined, retry_after: Some(rest) });
            }
            if self.shared.begin_run(&self.outgoing).is_none() {
                return Ok(placement);
            }
        }
    }

    /// Waits until it is decided whether servers ended under the request. One that has no
    /// time for that is refused at once.
    async fn await_verdict(&self) -> Result<(), NoPlace> {
        let quarantined = |rest| NoPlace { code: ResultCode::Quarantined, retry_after: Some(rest) };
        while let Some(pause) = self.shared.hold_remaining(&self.outgoing) {
            if pause >= self.left() {
                return Err(quarantined(pause));
            }
            // Copies at other nodes wait for the same moment; the first one holds the rest.
            tokio::time::sleep(pause + RELEASE_SPREAD.mul_f64(rand::random())).await;
            if let Some(rest) = self.shared.quarantined_for(&self.outgoing) {
                return Err(quarantined(rest));
            }
        }
        Ok(())
    }

    /// A place that a keeper advises, or the one that looks best from here. A request
    /// that would be late anyway is held for a while until a slot is free.
    async fn place(&mut self) -> Choice {
        if self.takes_turns() {
            if !self.shared.placements.has_keepers() {
                self.await_start_turn().await;
            }
            return self.place_in_turn().await;
        }
        let Some(choice) = self.ask_keepers_or_wait().await else { return self.choose() };
        let Choice::Full(_) = choice else { return choice };
        let now = self.shared.clock.now();
        if !self.shared.held().should_hold(now, &self.service, rand::random()) {
            return choice;
        }
        let held = self.hold().await;
        let served = matches!(held, Choice::Send(_));
        let end = self.shared.clock.now();
        self.shared.held().note(end, &self.service, served);
        let held_ms = end.since(now).as_millis() as u64;
        emit(&self.id, &Event::RequestHeld { id: &self.id, route: &self.route.name, held_ms, served });
        held
    }

    /// Asks for a free slot now and then.
    async fn hold(&self) -> Choice {
        let end = self.shared.clock.now() + self.max_hold();
        loop {
            tokio::time::sleep(HOLD_PAUSE.mul_f64(1.0 + rand::random::<f64>())).await;
            match self.shared.placements.ask_for_free(&self.shared, &self.place_ask()).await {
                Some(Choice::Full(_)) if self.shared.clock.now() < end => {}
                Some(Choice::Send(placement)) => return Choice::Send(placement),
                // The last chance: a place with a wait.
                Some(_) => return self.ask_keepers().await.unwrap_or_else(|| self.choose()),
                None => return self.choose(),
            }
        }
    }

    /// Longest time to wait for a slot from now on.
    pub(crate) fn max_hold(&self) -> Duration {
        let waited = self.shared.clock.now().since(self.received);
        let patience = self.route.caller_timeout.map(|patience| patience.saturating_sub(waited));
        max_hold(self.left(), patience)
    }

    /// Asks keepers for a place. Where none is known yet after a start, the request waits
    /// for its turn, and for keepers meanwhile.
    async fn ask_keepers_or_wait(&mut self) -> Option<Choice> {
        let choice = self.ask_keepers().await;
        if choice.is_some() || self.start_turn.is_some() {
            return choice;
        }
        self.await_start_turn().await;
        match self.shared.placements.has_keepers() {
            true => self.ask_keepers().await,
            false => None,
        }
    }

    /// Waits for the request's turn where requests are paced after a start.
    async fn await_start_turn(&mut self) {
        if self.start_turn.is_none() {
            let send_deadline = self.received + self.route.latency_target;
            let paced = PacedRequest { received: self.received, send_deadline, until: self.until };
            self.start_turn = self.shared.start_turn(&self.service, paced).await;
        }
    }

    async fn ask_keepers(&self) -> Option<Choice> {
        self.shared.placements.ask(&self.shared, &self.place_ask()).await
    }

    pub(crate) fn place_ask(&self) -> PlaceAsk<'_> {
        PlaceAsk {
            service: &self.service,
            software: self.software,
            prompt: &self.outgoing.prompt,
            avoid: &self.asked,
            wait_limit: timely_wait(self.route.latency_target).min(self.left()),
            deferrable: false,
            reserve: 0.0,
        }
    }

    /// Who would be late anyway is told at once when to come back.
    pub(crate) fn wait_limit(&self) -> Duration {
        self.route.latency_target.min(self.left())
    }

    pub(crate) fn choose(&self) -> Choice {
        self.choose_among(&self.asked, self.wait_limit())
    }

    /// The place that looks best from here at a server that is none of these, if another
    /// is ready.
    pub(crate) fn choose_among(&self, avoid: &[Arc<str>], wait_limit: Duration) -> Choice {
        let ask = PlacementQuery {
            service: &self.service,
            software: self.software,
            prompt: &self.outgoing.prompt,
            avoid,
            wait_limit,
            reserve: 0.0,
            spread: self.shared.next_spread(),
            deferrable: false,
        };
        self.shared.dispatcher().choose(self.shared.clock.now(), &ask)
    }
}
