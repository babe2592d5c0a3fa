//! What a node knows of requests that end servers.

use super::messages::{request_of, running_requests_of, verdict_of, RunningRequest};
use super::outbox::{table_messages, Audience, CrashMessage, Outbox};
use latchwheel_clock::Clock;
use latchwheel_core::dispatch::ServerKey;
use latchwheel_core::fingerprint::{Fingerprint, RequestContent, RequestKey};
use latchwheel_core::quarantine::{ClearedState, CrashEvidence, Quarantine, QuarantineEntry};
use latchwheel_core::time::{Instant, WallTime};
use latchwheel_events::{emit, Event};
use latchwheel_protocol::v1;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Servers that are tried at a time; connections to others that are lost meanwhile are
/// only logged.
const PROBE_LIMIT: usize = 256;
/// Requests that are kept of one server.
const REQUEST_LIMIT: usize = 64;
/// Restarted servers that are remembered.
const RESTART_LIMIT: usize = 256;
/// Number of nodes that send holds and watches to all others: the first that weigh the evidence,
/// two for the case that one of them is lost.
const BROADCASTERS: usize = 2;
/// Pause for each message in which all verdicts were sent to a node that knows others:
/// 24 KB a second at most.
const TABLE_PAUSE: Duration = Duration::from_millis(50);
/// A node that weighs the evidence writes a verdict of another node to the store if
/// that has not done so after this time, one after the other.
const STORE_FOR_OTHERS_AFTER: Duration = Duration::from_secs(2);

/// Where a verdict comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictSource {
    /// This node decided it.
    Own,
    /// Another node told it.
    Node,
    /// It stands in the record store.
    Store,
}

impl VerdictSource {
    fn word(self) -> &'static str {
        match self {
            VerdictSource::Own => "own",
            VerdictSource::Node => "node",
            VerdictSource::Store => "store",
        }
    }
}

/// Which of the nodes that weigh the evidence this one is; those that hear only of
/// their own requests come after all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DecidingRank {
    pub(crate) place: usize,
    /// Whether all nodes tell this one of servers that ended.
    pub(crate) hears_all: bool,
    /// Whether it hears another node that all nodes tell.
    pub(crate) hears_others: bool,
}

impl DecidingRank {
    /// Whether this node weighs the evidence: all nodes tell it, or it hears no node that
    /// they tell. Any other knows only of its own requests, and would hold one of them for
    /// what a request of another node did beside it.
    fn weighs(self) -> bool {
        self.hears_all || !self.hears_others
    }
}

/// What a good end of a request changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cleared {
    /// It had only been suspected.
    OfSuspicion,
    /// Its verdict was lifted.
    Lifted,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    evidence: CrashEvidence,
    /// Requests that ran at servers which are being tried now.
    probed: HashMap<Arc<str>, Vec<RunningRequest>>,
    /// The last servers that ended without draining and started again.
    restarted: VecDeque<Arc<str>>,
    outbox: Outbox,
    rank: DecidingRank,
    /// Until when all verdicts are not sent again, whoever lacks some.
    table_rests_until: Instant,
    /// Verdicts that this node has to write to the store, and from when on.
    to_store: HashMap<Fingerprint, Instant>,
}

/// What a node knows of requests that end servers.
#[derive(Debug)]
pub struct CrashWatch {
    clock: Clock,
    state: Mutex<State>,
    /// There is something to decide or to send.
    pub(crate) changed: Notify,
    /// There is a verdict to write to the store.
    stores: Notify,
}

impl CrashWatch {
    /// Nothing is known yet.
    pub fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::default(), changed: Notify::new(), stores: Notify::new() }
    }

    /// The content, or the part of the prompt, for which a request is not to be sent to any
    /// server, and for how long; `None` if it may be sent. The body is read only if a request of
    /// its shape is listed.
    pub fn quarantine_remaining(&self, content: &RequestContent<'_>) -> Option<(Fingerprint, Duration)> {
        let wall = self.clock.wall_time();
        let remaining = |key: RequestKey| {
            let left = self.lock().quarantine.quarantine_remaining(key.fingerprint, wall)?;
            Some((key.fingerprint, left))
        };
        let of_content = self.listed_content(content).and_then(remaining);
        of_content.or_else(|| self.listed_parts(content).into_iter().find_map(remaining))
    }

    /// Key of a request if a request of its shape has an entry or is watched.
    fn listed_content(&self, content: &RequestContent<'_>) -> Option<RequestKey> {
        let is_listed = self.lock().quarantine.has_shape(content.shape());
        is_listed.then(|| content.key())
    }

    /// Keys of the shared parts of a request's prompt that have an entry or are watched.
    fn listed_parts(&self, content: &RequestContent<'_>) -> Vec<RequestKey> {
        let state = self.lock();
        content.part_keys().filter(|part| state.quarantine.has_shape(part.shape)).collect()
    }

    /// Whether a request of this shape, or a part of the prompt, has an entry or is watched.
    pub(crate) fn concerns(&self, content: &RequestContent<'_>) -> bool {
        self.lock().quarantine.has_shape(content.shape()) || !self.listed_parts(content).is_empty()
    }

    /// The request and the time for which it waits until the ends of servers under it are
    /// weighed; `None` if it may be sent.
    pub fn hold_remaining(&self, content: &RequestContent<'_>) -> Option<(Fingerprint, Duration)> {
        if !self.lock().quarantine.has_shape(content.shape()) {
            return None;
        }
        let fingerprint = content.key().fingerprint;
        let left = self.lock().quarantine.hold_remaining(fingerprint, self.clock.now())?;
        Some((fingerprint, left))
    }

    /// A request is to be sent to a server now: gives back `None`, and other nodes hold its
    /// copies until its fate is known if it is suspected. Otherwise what
    /// [`CrashWatch::hold_remaining`] gives back.
    pub fn begin_run(&self, content: &RequestContent<'_>) -> Option<(Fingerprint, Duration)> {
        if !self.lock().quarantine.has_shape(content.shape()) {
            return None;
        }
        let (request, now) = (content.key(), self.clock.now());
        let mut state = self.lock();
        if let Some(left) = state.quarantine.hold_remaining(request.fingerprint, now) {
            return Some((request.fingerprint, left));
        }
        if state.quarantine.begin_run(request.fingerprint, now) {
            state.outbox.put_run(now, &request);
            drop(state);
            self.changed.notify_one();
        }
        None
    }

    /// Requests that this node keeps from servers now.
    pub fn quarantined(&self) -> Vec<RequestKey> {
        let now = self.clock.wall_time();
        let state = self.lock();
        let verdicts = state.quarantine.entries(now).filter(|verdict| !verdict.lifted && now < verdict.until);
        verdicts.map(|verdict| verdict.request).collect()
    }

    /// A server ran a request to its end and said so.
    pub fn note_served(&self, content: &RequestContent<'_>) {
        let (listed_content, listed_parts) = (self.listed_content(content), self.listed_parts(content));
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        let mut state = self.lock();
        let (mut any, mut any_lifted) = (false, false);
        for request in listed_content.into_iter().chain(listed_parts) {
            let Some(cleared) = state.clear(now, wall, &request, VerdictSource::Own) else { continue };
            let audience = state.success_audience(&request);
            state.outbox.put_success(now, audience, &request);
            any = true;
            any_lifted |= cleared == Cleared::Lifted;
        }
        drop(state);
        if any_lifted {
            self.stores.notify_one();
        }
        if any {
            self.changed.notify_one();
        }
    }

    /// Adds a request, if any, to those of a server; `true` if the server has to be tried.
    pub(super) fn put_probed(&self, server: &Arc<str>, request: Option<RunningRequest>) -> bool {
        let mut state = self.lock();
        if let Some(requests) = state.probed.get_mut(server) {
            let has_room = requests.len() < REQUEST_LIMIT;
            requests.extend(request.filter(|request| has_room && !requests.contains(request)));
            return false;
        }
        if state.probed.len() >= PROBE_LIMIT {
            return false;
        }
        state.probed.insert(server.clone(), request.into_iter().collect());
        true
    }

    /// Takes the requests of a server that was tried.
    pub(super) fn take_probed(&self, server: &Arc<str>) -> Vec<RunningRequest> {
        self.lock().probed.remove(server).unwrap_or_default()
    }

    /// A server ended without draining: a later start is registered under its name.
    pub(crate) fn note_restarted(&self, server: &Arc<str>) {
        let mut state = self.lock();
        if state.restarted.len() >= RESTART_LIMIT {
            state.restarted.pop_front();
        }
        state.restarted.push_back(server.clone());
    }

    /// Whether a server is known to have ended without draining and started again.
    pub(crate) fn has_restarted(&self, server: &str) -> bool {
        self.lock().restarted.iter().any(|restarted| **restarted == *server)
    }

    /// A server ended while it worked on these requests of this node.
    pub(super) fn note_ended(&self, server: &str, requests: &[RunningRequest]) {
        let now = self.clock.now();
        let key = ServerKey::of(server);
        let mut state = self.lock();
        state.outbox.put_crash(now, key, requests);
        state.take_crash(now, self.clock.wall_time(), key, requests);
        for request in requests.iter().flat_map(|request| request.parts.iter().chain([&request.key])) {
            state.quarantine.watch(*request, now);
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Takes what another node tells.
    pub(crate) fn take_news(&self, news: &v1::QuarantineNews) {
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        let mut state = self.lock();
        for crash in &news.crashes {
            state.take_crash(now, wall, ServerKey(crash.server), &running_requests_of(crash));
        }
        for request in news.succeeded.iter().map(request_of) {
            // The verdict may have been decided while this was on its way.
            let cleared = state.clear(now, wall, &request, VerdictSource::Node);
            if cleared == Some(Cleared::Lifted) {
                self.stores.notify_one();
            }
            if cleared.is_some() && request.fingerprint.part().is_some() && state.is_broadcaster() {
                state.outbox.put_success(now, Audience::All, &request);
            }
        }
        for request in news.watched.iter().map(request_of) {
            state.quarantine.watch(request, now);
        }
        for held in &news.held {
            let Some(request) = held.request.as_ref().map(request_of) else { continue };
            state.quarantine.hold(request, held.ends as usize, now);
        }
        for request in news.running.iter().map(request_of) {
            state.quarantine.note_run(request, now);
        }
        drop(state);
        for verdict in news.verdicts.iter().filter_map(verdict_of) {
            self.take_verdict(verdict, VerdictSource::Node);
        }
    }

    /// Takes a verdict over if it is news.
    pub fn take_verdict(&self, verdict: QuarantineEntry, source: VerdictSource) {
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        let mut state = self.lock();
        if source == VerdictSource::Store {
            state.note_stored(&verdict);
        }
        if !state.quarantine.merge(verdict.clone(), wall) {
            return;
        }
        let request = verdict.request.fingerprint;
        if verdict.lifted {
            state.evidence.note_success(request);
        } else {
            state.evidence.note_quarantined(request, &verdict.servers);
        }
        log_verdict(&verdict, source, wall);
        if source == VerdictSource::Node && state.rank.hears_all {
            let due = now + STORE_FOR_OTHERS_AFTER * (state.rank.place + 1) as u32;
            state.to_store.insert(request, due);
            self.stores.notify_one();
        }
    }

    /// An operator let a request go; other nodes are told.
    pub fn let_go(&self, request: Fingerprint) {
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        let mut state = self.lock();
        let Some(verdict) = state.quarantine.lift(request, wall) else { return };
        state.to_store.remove(&request);
        state.evidence.note_success(request);
        log_verdict(&verdict, VerdictSource::Store, wall);
        state.outbox.put_verdict(now, &verdict);
        drop(state);
        self.changed.notify_one();
    }

    /// Which of the deciding nodes this one is now. One that leaves the decision to others
    /// keeps no evidence: should it hear them no more, it weighs what ends from then on.
    pub(crate) fn set_rank(&self, rank: DecidingRank) {
        let mut state = self.lock();
        state.rank = rank;
        if !rank.weighs() {
            state.evidence = CrashEvidence::default();
        }
    }

    /// Whether this node is the first of those that weigh what all nodes tell.
    pub fn decides_first(&self) -> bool {
        let rank = self.lock().rank;
        rank.hears_all && rank.place == 0
    }

    /// Time until there is something to decide or to send.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        let state = self.lock();
        let due = [state.evidence.decide_at(), state.outbox.due()].into_iter().flatten().min()?;
        Some(due.since(self.clock.now()))
    }

    /// Decides what is to be decided, and gives back what is to be sent.
    pub(crate) fn take_messages(&self) -> Vec<CrashMessage> {
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        let mut state = self.lock();
        if state.evidence.decide_at().is_some_and(|at| at <= now) {
            state.decide(now, wall);
            if !state.to_store.is_empty() {
                self.stores.notify_one();
            }
        }
        state.outbox.take_due(now)
    }

    /// Digest of the verdicts that this node knows.
    pub(crate) fn digest(&self) -> u64 {
        self.lock().quarantine.digest(self.clock.wall_time())
    }

    /// All verdicts, if another node with this digest knows others; nothing if they
    /// were sent just before.
    pub(crate) fn table_for(&self, digest: u64) -> Vec<v1::QuarantineNews> {
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        let mut state = self.lock();
        if now < state.table_rests_until || state.quarantine.digest(wall) == digest {
            return Vec::new();
        }
        let messages = table_messages(state.quarantine.entries(wall));
        state.table_rests_until = now + TABLE_PAUSE * messages.len() as u32;
        messages
    }

    /// Waits for a verdict that this node has to write to the store.
    pub async fn verdict_to_store(&self) -> QuarantineEntry {
        loop {
            let due = {
                let mut state = self.lock();
                match state.next_to_store(self.clock.now()) {
                    Ok(verdict) => return verdict,
                    Err(due) => due.map(|due| due.since(self.clock.now())),
                }
            };
            tokio::select! {
                () = self.stores.notified() => {}
                () = crate::waiting::sleep_or_never(due) => {}
            }
        }
    }

    /// A verdict could not be written; it is given out again after a pause.
    pub fn store_again(&self, verdict: &QuarantineEntry, pause: Duration) {
        self.lock().to_store.insert(verdict.request.fingerprint, self.clock.now() + pause);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn take_crash(&mut self, now: Instant, wall: WallTime, server: ServerKey, requests: &[RunningRequest]) {
        if !self.rank.weighs() {
            return;
        }
        let keys: Vec<RequestKey> = requests.iter().map(|request| request.key).collect();
        let quarantine = &self.quarantine;
        let status = |request| quarantine.status(request, wall);
        if self.evidence.note_crash(now, server, &keys, self.rank.place, status) {
            let digests: Vec<String> = keys.iter().map(|request| request.fingerprint.to_string()).collect();
            emit("", &Event::ServerEndNoted { key: &server.to_string(), requests: &digests.join(" ") });
        }
        for request in requests {
            self.evidence.note_parts(server, request.key.fingerprint, &request.parts, status);
        }
        keys.iter().for_each(|request| self.hold(now, request));
        self.watch_parts(now, requests);
    }

    /// Has all nodes report successful runs with the parts of these requests. Sound requests with
    /// a part run at any node, and a single success clears it.
    fn watch_parts(&mut self, now: Instant, requests: &[RunningRequest]) {
        let parts: HashSet<RequestKey> = requests.iter().flat_map(|request| request.parts.iter().copied()).collect();
        let new_parts: Vec<RequestKey> = parts.into_iter().filter(|part| self.quarantine.watch(*part, now)).collect();
        if self.is_broadcaster() && !new_parts.is_empty() {
            self.outbox.put_watch(now, &new_parts);
        }
    }

    /// Whether this node sends holds, watches and cleared parts to all others.
    fn is_broadcaster(&self) -> bool {
        self.rank.hears_all && self.rank.place < BROADCASTERS
    }

    /// Recipients of a success report. Copies of a content may be held at any node. Many nodes run
    /// a part at the same time: if each sent to all, messages would grow with their square.
    fn success_audience(&self, request: &RequestKey) -> Audience {
        if request.fingerprint.part().is_none() || self.is_broadcaster() {
            Audience::All
        } else {
            Audience::Deciding
        }
    }

    /// Holds a request, here and at all nodes, until its last end is weighed.
    fn hold(&mut self, now: Instant, request: &RequestKey) {
        let Some(ends) = self.evidence.crashes_for_hold(request.fingerprint) else { return };
        let is_news = self.quarantine.hold(*request, ends, now);
        if is_news && self.is_broadcaster() {
            self.outbox.put_hold(now, request, ends);
        }
    }

    /// A request ran to its end; `None` if nothing was held against it here.
    fn clear(&mut self, now: Instant, wall: WallTime, request: &RequestKey, source: VerdictSource) -> Option<Cleared> {
        self.evidence.note_success(request.fingerprint);
        match self.quarantine.note_success(request.fingerprint, wall)? {
            ClearedState::Suspicion => Some(Cleared::OfSuspicion),
            ClearedState::Lifted(verdict) => {
                log_verdict(&verdict, source, wall);
                self.outbox.put_verdict(now, &verdict);
                self.to_store.insert(request.fingerprint, now);
                Some(Cleared::Lifted)
            }
        }
    }

    fn decide(&mut self, now: Instant, wall: WallTime) {
        let quarantine = &self.quarantine;
        let decisions = self.evidence.decide(now, |request| quarantine.status(request, wall));
        for servers in &decisions.lost {
            emit("", &Event::ServersLostTogether { ended: &keys_text(servers) });
        }
        for (request, servers) in decisions.quarantine {
            let verdict = self.quarantine.impose(request, servers, wall);
            log_verdict(&verdict, VerdictSource::Own, wall);
            self.outbox.put_verdict(now, &verdict);
            self.to_store.insert(request.fingerprint, now);
        }
        if !self.rank.hears_all {
            return;
        }
        for request in decisions.watch {
            self.quarantine.watch(request, now);
            self.outbox.put_watch(now, &[request]);
        }
    }

    /// A verdict stands in the store.
    fn note_stored(&mut self, verdict: &QuarantineEntry) {
        let request = verdict.request.fingerprint;
        let known = self.quarantine.entry(request);
        if known.is_none_or(|known| known.changed_at <= verdict.changed_at) {
            self.to_store.remove(&request);
        }
    }

    /// A verdict that is to be written now, or when there will be one.
    fn next_to_store(&mut self, now: Instant) -> Result<QuarantineEntry, Option<Instant>> {
        while let Some((request, due)) =
            self.to_store.iter().min_by_key(|(_, due)| **due).map(|(key, due)| (*key, *due))
        {
            if due > now {
                return Err(Some(due));
            }
            self.to_store.remove(&request);
            if let Some(verdict) = self.quarantine.entry(request) {
                return Ok(verdict.clone());
            }
        }
        Err(None)
    }
}

fn log_verdict(verdict: &QuarantineEntry, source: VerdictSource, now: WallTime) {
    let (request, kind) = (verdict.request.fingerprint.to_string(), verdict.request.fingerprint.kind());
    if verdict.lifted {
        emit("", &Event::QuarantineLifted { request: &request, kind, source: source.word() });
        return;
    }
    let event = Event::RequestQuarantined {
        request: &request,
        kind,
        servers: verdict.servers.len(),
        ended: &keys_text(&verdict.servers),
        offences: verdict.offences,
        for_ms: verdict.until.left_at(now).as_millis() as u64,
        source: source.word(),
    };
    emit("", &event);
}

fn keys_text(servers: &[ServerKey]) -> String {
    let keys: Vec<String> = servers.iter().map(ServerKey::to_string).collect();
    keys.join(" ")
}
