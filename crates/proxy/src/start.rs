//! Requests that come before the process knows a table and servers.
//!
//! [`latchwheel_core::startup_hold`] decides which of them are held, and for how long.

use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::start_pacing::StartTurns;
use hyper::header::HeaderMap;
use hyper::Request;
use latchwheel_core::code::ResultCode;
use latchwheel_core::startup_hold::{Arrival, StartupHold, StartupState, TableState};
use latchwheel_core::time::Instant as CoreInstant;
use latchwheel_events::{emit, Event};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time in which a connection notices that its caller has left, once the request's body
/// was read.
const DEPARTURE_LOOK: Duration = Duration::from_millis(2);

/// A request was held while the process started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldAtStart;

/// Whether the process knows what it needs to serve, and what is held until it does.
#[derive(Debug)]
pub(crate) struct Start {
    at: Instant,
    known: watch::Sender<StartupState>,
    holding: Mutex<StartupHold>,
    pub(crate) turns: StartTurns,
}

impl Default for Start {
    fn default() -> Self {
        Self {
            at: Instant::now(),
            known: watch::Sender::default(),
            holding: Mutex::default(),
            turns: StartTurns::default(),
        }
    }
}

impl Start {
    /// A table is in force.
    pub(crate) fn note_table(&self, now: CoreInstant) {
        self.note(now, |known| known.table = TableState::InForce);
    }

    /// The process leaves: nothing is held any more.
    pub(crate) fn note_leaving(&self, now: CoreInstant) {
        self.note(now, |known| known.leaving = true);
    }

    /// Why a request is refused that is not held, or no longer.
    pub(crate) fn refusal(&self, was_held: bool) -> Option<ResultCode> {
        self.known.borrow().refusal(was_held)
    }

    fn note(&self, now: CoreInstant, change: impl FnOnce(&mut StartupState)) {
        let mut serves_now = false;
        self.known.send_if_modified(|known| {
            let before = *known;
            change(known);
            serves_now = !before.serves() && known.serves();
            before != *known
        });
        if serves_now {
            self.turns.begin(now);
            let after_ms = self.at.elapsed().as_millis() as u64;
            emit("", &Event::ServesFromNowOn { after_ms, held: self.lock().held() });
        }
    }

    fn lock(&self) -> MutexGuard<'_, StartupHold> {
        self.holding.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place among the held requests.
struct HeldPlace<'a>(&'a Start);

impl Drop for HeldPlace<'_> {
    fn drop(&mut self) {
        self.0.lock().leave();
    }
}

impl<D: Dialect> Shared<D> {
    /// The servers are known from now on.
    pub fn note_servers_known(&self) {
        self.start.note(self.clock.now(), |known| known.servers = true);
    }

    /// All changes of the operator's records until that time are known: where no table is in
    /// force now, there is none.
    pub fn note_table_confirmed(&self, until: CoreInstant) {
        self.note_confirmation(until);
        self.start.note(self.clock.now(), StartupState::note_table_received);
    }

    /// Holds a request until the process knows a table and servers, for as long as its
    /// caller waits, unless the process leaves or the store has told that there is no
    /// table; `true` if it was held. Whether they are known then shows in the table and
    /// the servers.
    pub async fn hold_at_start(&self, headers: &HeaderMap) -> bool {
        let mut known = self.start.known.subscribe();
        let now_known = *known.borrow();
        let arrival = self.start.lock().arrive(&now_known, self.deadline_of(headers));
        let Arrival::Hold(longest) = arrival else { return false };
        let _place = HeldPlace(&self.start);
        let _ = tokio::time::timeout(longest, known.wait_for(|known| !known.waits())).await;
        true
    }

    /// The same for a request that is forwarded.
    pub async fn hold_request_at_start<B>(&self, request: &mut Request<B>) {
        if self.hold_at_start(request.headers()).await {
            request.extensions_mut().insert(HeldAtStart);
        }
    }

    /// Time that the caller of a request waits, if it says so.
    pub(crate) fn deadline_of(&self, headers: &HeaderMap) -> Option<Duration> {
        let text = headers.get(&self.dialect.names().deadline)?.to_str().ok()?;
        text.trim().parse().ok().map(Duration::from_millis)
    }
}

/// Gives a held request's connection time to notice that its caller has left: until the
/// body was read it can't.
pub(crate) async fn look_for_departure(was_held: bool) {
    if was_held {
        tokio::time::sleep(DEPARTURE_LOOK).await;
    }
}
