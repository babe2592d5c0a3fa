//! What all requests of a process share.

use crate::crashes::CrashWatch;
use crate::dialect::Dialect;
use crate::handoff::Handoff;
use crate::keeper_claims::KeeperClaims;
use crate::machine_room::MachineRoom;
use crate::own_claims::OwnClaims;
use crate::permits::Permits;
use crate::placements::Placements;
use crate::pool::Pool;
use crate::start::Start;
use crate::stream_origins::StreamOrigins;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::Response;
use latchwheel_clock::planned_stop::PlannedStop;
use latchwheel_clock::Clock;
use latchwheel_core::directory::DirectoryChange;
use latchwheel_core::dispatch::{Dispatcher, ServerKey};
use latchwheel_core::holding::HoldOutcomes;
use latchwheel_core::identity::stable_hash;
use latchwheel_core::key_acceptance::KeyAcceptance;
use latchwheel_core::permits::LimitMargin;
use latchwheel_core::planned_stop::{AnswerTimes, StopTimes};
use latchwheel_core::routes::{ClientLimits, Route, RoutingTable, WeightedRoundRobin};
use latchwheel_core::second_attempt::SecondAttempts;
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::time::Instant;
use latchwheel_http::AnswerBudget;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// Time after which a table should be here that others have: news come in polls and
/// watches with pauses of 100 ms.
const TABLE_PATIENCE: Duration = Duration::from_millis(200);

/// What all requests of a process share.
#[derive(Debug)]
pub struct Shared<D> {
    /// The site's headers.
    pub dialect: D,
    /// The clock.
    pub clock: Clock,
    pub(crate) pool: Pool,
    /// Memory that answers of servers may take.
    pub answers: AnswerBudget,
    /// Permits of tenants whose requests are limited.
    pub permits: Permits,
    /// Calls to the keepers of servers.
    pub placements: Placements,
    /// Claims that wait here for slots of kept servers.
    pub keeper_claims: KeeperClaims,
    /// Own requests that wait for slots while no keeper answers.
    pub(crate) own_claims: OwnClaims,
    /// Servers that ended, and the requests that they worked on.
    pub crashes: CrashWatch,
    /// Software that began the streams of clients.
    pub stream_origins: StreamOrigins,
    /// Room of this machine and of the others.
    pub machine_room: MachineRoom,
    /// Something changed that keepers are to be told soon.
    pub(crate) load_changed: Notify,
    dispatcher: Mutex<Dispatcher>,
    table: Mutex<Arc<RoutingTable>>,
    client_limits: watch::Sender<ClientLimits>,
    /// Until when all changes of the table are known.
    table_confirmed: Mutex<Option<Instant>>,
    /// Until when keys of the table in force are accepted.
    pub(crate) key_life: Mutex<KeyAcceptance>,
    turns: Mutex<WeightedRoundRobin>,
    held: Mutex<HoldOutcomes>,
    second_attempts: Mutex<SecondAttempts>,
    /// Newest version of the table that another node told of.
    newest_table: AtomicU64,
    newer_table: Notify,
    leaving: AtomicBool,
    /// The planned stop of the process.
    pub(crate) stop: Arc<PlannedStop>,
    pub(crate) answer_times: Mutex<AnswerTimes>,
    ended: AtomicBool,
    in_progress: AtomicUsize,
    sent: AtomicU64,
    pub(crate) start: Start,
    /// Servers at which deferrable work of other nodes is to give way.
    pub(crate) room_asked: Handoff<ServerKey>,
    /// Servers at which other nodes ask this one's work to give way.
    pub(crate) room_wanted: Handoff<ServerKey>,
    /// Servers at which a keeper orders this node to break off a run.
    pub(crate) room_ordered: Handoff<ServerKey>,
}

impl<D: Dialect> Shared<D> {
    /// Nothing is known yet: the table has version zero.
    pub fn new(dialect: D, clock: Clock) -> Arc<Self> {
        Self::with_margin(dialect, clock, LimitMargin::default())
    }

    /// The same where limits of tenants may be exceeded by a margin.
    pub fn with_margin(dialect: D, clock: Clock, margin: LimitMargin) -> Arc<Self> {
        let answers = AnswerBudget::default();
        Arc::new(Self {
            dialect,
            permits: Permits::new(clock, margin),
            placements: Placements::default(),
            keeper_claims: KeeperClaims::default(),
            own_claims: OwnClaims::default(),
            crashes: CrashWatch::new(clock),
            stream_origins: StreamOrigins::default(),
            machine_room: MachineRoom::default(),
            load_changed: Notify::new(),
            clock,
            pool: Pool::new(answers.clone()),
            answers,
            dispatcher: Mutex::default(),
            table: Mutex::default(),
            client_limits: watch::Sender::default(),
            table_confirmed: Mutex::default(),
            key_life: Mutex::default(),
            turns: Mutex::default(),
            held: Mutex::default(),
            second_attempts: Mutex::default(),
            newest_table: AtomicU64::new(0),
            newer_table: Notify::new(),
            leaving: AtomicBool::new(false),
            stop: PlannedStop::new(clock),
            answer_times: Mutex::default(),
            ended: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            sent: AtomicU64::new(0),
            start: Start::default(),
            room_asked: Handoff::default(),
            room_wanted: Handoff::default(),
            room_ordered: Handoff::default(),
        })
    }

    /// The table in force; its version is zero until one is known.
    pub fn table(&self) -> Arc<RoutingTable> {
        lock(&self.table).clone()
    }

    /// Puts a table in force if it is newer than the present one, whose
    /// version is given back.
    pub fn put_in_force(&self, table: RoutingTable) -> Option<u64> {
        let mut present = lock(&self.table);
        let previous = present.version;
        if table.version <= previous {
            return None;
        }
        let limits = table.limits;
        *present = Arc::new(table);
        self.client_limits.send_if_modified(|current| std::mem::replace(current, limits) != limits);
        self.start.note_table(self.clock.now());
        Some(previous)
    }

    /// Limits on clients of the table in force.
    pub fn client_limits(&self) -> watch::Receiver<ClientLimits> {
        self.client_limits.subscribe()
    }

    pub(crate) fn note_confirmation(&self, until: Instant) {
        let mut confirmed = lock(&self.table_confirmed);
        *confirmed = (*confirmed).max(Some(until));
    }

    /// Time until which all changes of the table are known; `None` before the store was reached.
    pub fn table_confirmed(&self) -> Option<Instant> {
        *lock(&self.table_confirmed)
    }

    /// Another node told of a table of that version.
    pub(crate) fn note_table_elsewhere(&self, version: u64) {
        let newest = self.newest_table.fetch_max(version, Ordering::Relaxed).max(version);
        if newest > self.table().version {
            self.newer_table.notify_one();
        }
    }

    /// Newest version of the table that is known to be in force anywhere.
    pub(crate) fn newest_table(&self) -> u64 {
        self.newest_table.load(Ordering::Relaxed).max(self.table().version)
    }

    /// Completes when this node has missed a table for a while that others have.
    pub async fn missed_a_table(&self) {
        loop {
            self.newer_table.notified().await;
            tokio::time::sleep(TABLE_PATIENCE).await;
            if self.newest_table() > self.table().version {
                return;
            }
        }
    }

    /// The dispatcher, for one decision.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Servers at which other nodes ask this one's deferrable work to give way,
    /// one run for each; `None` if they were taken before.
    pub fn take_room_wanted(&self) -> Option<tokio::sync::mpsc::Receiver<ServerKey>> {
        self.room_wanted.take_receiver()
    }

    /// Servers at which keepers order this node to break off a run, one for each;
    /// `None` if they were taken before.
    pub fn take_room_ordered(&self) -> Option<tokio::sync::mpsc::Receiver<ServerKey>> {
        self.room_ordered.take_receiver()
    }

    /// Takes over what changed of the servers, and closes connections to those that
    /// get no new work. What it costs grows with the changes and the open connections,
    /// not with the servers: 10,000 of them change up to 2.5 times a second while a
    /// release goes on.
    pub fn note_servers(&self, changes: &[DirectoryChange]) {
        let mut dispatcher = self.dispatcher();
        // A version may come and leave within these changes.
        let mut served = dispatcher.ready_software();
        served.extend(changes.iter().filter_map(software_of));
        for change in changes {
            match change {
                DirectoryChange::Ready(record) => dispatcher.set_one_ready(record),
                DirectoryChange::Draining(server) | DirectoryChange::Gone(server) => dispatcher.set_draining(server),
                DirectoryChange::Restarted(server) => {
                    dispatcher.set_draining(server);
                    self.crashes.note_restarted(server);
                }
                DirectoryChange::Unconfirmed(_) => {}
            }
        }
        let now = self.clock.now();
        self.stream_origins.observe(now, &served);
        self.stream_origins.observe(now, &dispatcher.ready_software());
        self.pool.retain(|server| dispatcher.is_ready(server));
    }

    /// The service that takes the next request of a route.
    pub fn next_service(&self, route: &Route) -> Option<Arc<str>> {
        lock(&self.turns).next(route)
    }

    /// How requests ended that were held.
    pub(crate) fn held(&self) -> MutexGuard<'_, HoldOutcomes> {
        lock(&self.held)
    }

    /// What is known for second attempts.
    pub fn second_attempts(&self) -> MutexGuard<'_, SecondAttempts> {
        lock(&self.second_attempts)
    }

    /// The process leaves: answers close their connections from now on, and only requests are
    /// taken that can be answered in these times.
    pub fn leave(&self, times: StopTimes) {
        self.leaving.store(true, Ordering::Relaxed);
        self.stop.begin(times);
        self.start.note_leaving(self.clock.now());
    }

    /// Has the connection of an answer close if the process leaves.
    pub fn close_if_leaving<B>(&self, answer: &mut Response<B>) {
        if self.is_leaving() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Whether the process leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// The process ends now: what is still in progress gets no answer.
    pub fn note_end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Whether the process has ended its service.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgress<D> {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// A number that differs for each request.
    pub(crate) fn next_spread(&self) -> u64 {
        self.sent.fetch_add(1, Ordering::Relaxed)
    }
}

/// Counts a request as in progress.
#[derive(Debug)]
pub struct InProgress<D>(Arc<Shared<D>>);

impl<D> Drop for InProgress<D> {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The software of a server that accepts requests by this change, with the hash of its service.
fn software_of(change: &DirectoryChange) -> Option<(u64, SoftwareKey)> {
    let DirectoryChange::Ready(record) = change else { return None };
    Some((stable_hash(record.service.as_bytes()), SoftwareKey::of(&record.service, &record.version)))
}
