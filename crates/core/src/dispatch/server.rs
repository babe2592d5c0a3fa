//! State of one server on one node, and the estimates made from it.

use super::cost::{Prompt, ServiceCost};
use super::failure_rate::{failure_rate_cost, FailureRate};
use super::peers::{PeerShare, ServerKey, ServerShare};
use super::slowdown::{ServerSpeed, SpeedUpdate};
use super::{Congestion, Ending, Placement, PlacementQuery};
use crate::directory::ServerRecord;
use crate::identity::{stable_hash, stable_pair_hash, HashKeyMap};
use crate::software::SoftwareKey;
use crate::time::Instant;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Time over which the weight of a reported load falls from 1 to 0.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(800);
/// Time for which a server is avoided after a failure, doubled at each failure in a row.
const MIN_AVOID_TIME: Duration = Duration::from_millis(250);
const MAX_AVOID_TIME: Duration = Duration::from_secs(4);
/// Time for which a server that rejected a request is avoided.
const REJECTION_AVOID_TIME: Duration = Duration::from_millis(100);
/// Time without any data from a server with requests in progress after which it is avoided.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of consecutive attempts overtaken at other servers, without data from this server,
/// after which it is avoided.
const OVERTAKEN_LIMIT: u32 = 2;
/// Time constant of the exponential decay of a server's failures.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(4);
/// Cost in seconds for each failure in the decayed failure count.
const FAILURE_COST: f64 = 0.25;
/// Decayed failure count above which a server is reported as suspect.
const SUSPECT_FAILURES: f64 = 1.5;
/// Cost in seconds added for an avoided server; a server with at least this penalty counts as
/// avoided.
const AVOIDED_COST: f64 = 100.0;
/// Smallest weight of a server in the random order of servers of equal cost.
const MIN_SPREAD_WEIGHT: f64 = 0.1;
/// Largest number of prefixes recorded as cached at one server.
const MAX_PREFIXES: usize = 512;
/// Time after which a prefix that was sent counts as evicted.
const PREFIX_TTL: Duration = Duration::from_secs(60);
/// Cost of a server with one free slot, as a multiple of the mean service time:
/// other nodes may take the slot before their reports arrive here.
const LAST_SLOT_COST: f64 = 0.25;
/// Number of free slots from which `LAST_SLOT_COST` no longer applies.
const AMPLE_SLOTS: f64 = 3.0;

/// Largest number of slots that preemption keeps free at a server, since reports of new online
/// requests arrive late. The number is proportional to the share of slots that deferrable runs
/// hold.
const MAX_SLOTS_KEPT_FREE: f64 = 2.0;

/// Cost in seconds, for deferrable work, of a server for which this node is not a preferred
/// worker.
const NOT_PREFERRED_COST: f64 = 0.05;

/// Load that a server reports in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Number of requests that the server runs at a time.
    pub slots: u32,
    /// Time that work takes at the server now, in percent of the usual; `None` if the server
    /// does not report it.
    pub slowdown: Option<u32>,
}

/// Estimated state of a server, for reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// Identity.
    pub id: Arc<str>,
    /// Requests of this node in progress.
    pub own: u32,
    /// Estimated requests of all nodes.
    pub load: f64,
    /// Whether this node avoids the server.
    pub avoided: bool,
    /// Estimated time that work takes at the server relative to the usual; `None` if no server
    /// of the service reports its slowdown.
    pub time_factor: Option<f64>,
}

/// State of one server, from this node's own requests and the server's responses.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) service: Arc<str>,
    /// Name under which it registers.
    pub(super) name: Arc<str>,
    pub(super) address: Arc<str>,
    /// Version of the server's software.
    pub(super) version: Arc<str>,
    pub(super) software: SoftwareKey,
    pub(super) ready: bool,
    /// Whether this node is one of the preferred workers of the server.
    pub(super) is_preferred: bool,
    pub(super) key: ServerKey,
    /// Hash of the identity, for rendezvous hashing of prefixes.
    pub(super) id_hash: u64,
    slots: u32,
    own: u32,
    own_deferrable: u32,
    own_prefill_tokens: u32,
    reported_load: Option<(Instant, ServerLoad)>,
    /// Own requests sent minus own requests ended since the load was reported.
    own_since_report: i64,
    last_contact: Instant,
    /// Time at which a request was sent while none was in progress.
    waiting_since: Instant,
    avoid_until: Instant,
    failures_in_row: u32,
    /// Attempts in a row that were overtaken without data from the server.
    overtaken_in_row: u32,
    /// Decayed failure count at `failed_at`.
    failures: f64,
    failed_at: Instant,
    failure_rate: FailureRate,
    pub(super) speed: ServerSpeed,
    /// Speed data that was not sent to the tracker of the server yet.
    pub(super) speed_update: SpeedUpdate,
    prefixes: HashKeyMap<u64, Instant>,
    prefix_order: VecDeque<u64>,
}

/// State of one server together with what other nodes reported of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerView<'a> {
    pub(super) state: &'a ServerState,
    pub(super) peers: PeerShare,
    pub(super) now: Instant,
}

impl ServerView<'_> {
    /// Estimated requests of all nodes at the server: the sum of the nodes' own counts, or the
    /// load that the server reported lately if that is more.
    pub(super) fn load(&self) -> f64 {
        let counted_requests = self.counted_requests();
        let Some((at, load)) = self.state.reported_load else { return counted_requests };
        let age = self.now.since(at).as_secs_f64();
        let weight = (1.0 - age / LOAD_REPORT_TTL.as_secs_f64()).max(0.0);
        let reported = f64::from(load.running) + f64::from(load.waiting) + self.state.own_since_report as f64;
        (reported * weight + counted_requests * (1.0 - weight)).max(counted_requests)
    }

    /// Free slots beyond the reserved share; may be negative.
    pub(super) fn free_slots(&self, reserve: f64) -> f64 {
        (f64::from(self.state.slots) * (1.0 - reserve)).max(1.0) - self.load()
    }

    /// Free slots for an online request beyond the reserved share, counting slots of
    /// deferrable runs, which can be preempted.
    pub(super) fn free_for_online(&self, reserve: f64) -> f64 {
        self.free_slots(reserve) + f64::from(self.deferrable()).min(self.load())
    }

    /// Whether an online request that is sent now has to preempt a deferrable run. The more
    /// slots deferrable runs hold, the more slots preemption keeps free, since it takes longer
    /// until a slot becomes free by itself.
    pub(super) fn preempts(&self) -> bool {
        self.free_slots(0.0) < MAX_SLOTS_KEPT_FREE * f64::from(self.deferrable()) / f64::from(self.state.slots)
    }

    pub(super) fn congestion(&self) -> Congestion {
        Congestion::new(self.free_slots(0.0), self.deferrable())
    }

    /// Seconds until a slot is free for a request. An online request can preempt deferrable
    /// runs; a deferrable request leaves the reserve free.
    pub(super) fn wait(&self, cost: &ServiceCost, query: &PlacementQuery<'_>) -> f64 {
        let free = if query.deferrable { self.free_slots(query.reserve) } else { self.free_for_online(query.reserve) };
        let over = 1.0 - free;
        if over <= 0.0 {
            return 0.0;
        }
        over * cost.service_seconds() / f64::from(self.state.slots) * self.time_factor(cost)
    }

    /// Requests of all nodes at the server, by their own counts.
    fn counted_requests(&self) -> f64 {
        f64::from(self.state.own + self.peers.requests)
    }

    /// Deferrable runs of all nodes at the server.
    fn deferrable(&self) -> u32 {
        self.state.own_deferrable + self.peers.deferrable
    }

    /// Free slots by the counts of all nodes, which are up to date on the server's tracker.
    /// Slots of deferrable runs count as free if `online` is set.
    pub(super) fn exact_free(&self, online: bool) -> f64 {
        let preemptible = if online { f64::from(self.deferrable()) } else { 0.0 };
        f64::from(self.state.slots) - (self.counted_requests() - preemptible)
    }

    /// Seconds until a slot is free, computed from [`Self::exact_free`].
    pub(super) fn exact_wait(&self, cost: &ServiceCost, deferrable: bool) -> f64 {
        let over = (1.0 - self.exact_free(!deferrable)).max(0.0);
        over * cost.service_seconds() / f64::from(self.state.slots) * self.time_factor(cost)
    }

    /// Whether no slot is free and deferrable runs hold some of them.
    pub(super) fn is_held_by_deferrable(&self) -> bool {
        self.deferrable() > 0 && self.exact_free(false) < 1.0
    }

    /// Seconds to prefill the prompt after those of the requests sent earlier.
    pub(super) fn prefill(&self, cost: &ServiceCost, uncached: u32) -> f64 {
        let ahead = f64::from(self.state.own_prefill_tokens) + f64::from(self.peers.prompt_tokens);
        cost.prefill(ahead + f64::from(uncached)) * self.time_factor(cost)
    }

    /// Seconds between two pieces of an answer.
    pub(super) fn step_seconds(&self, cost: &ServiceCost) -> f64 {
        cost.steps(1) * self.time_factor(cost)
    }

    /// Estimated time that work takes at the server now, relative to the usual of the service;
    /// 1 if no server of the service reports its slowdown.
    pub(super) fn time_factor(&self, cost: &ServiceCost) -> f64 {
        cost.slowdown_validity.as_ref().map_or(1.0, |validity| self.state.speed.time_factor(self.now, validity))
    }

    /// Seconds by which other requests at the server delay an answer with this number of
    /// pieces. The delay grows with the share of the slots in use, which limits the load of
    /// slow servers. Zero if no server of the service reports its slowdown.
    pub(super) fn contention(&self, cost: &ServiceCost, pieces: u32) -> f64 {
        if cost.slowdown_validity.is_none() {
            return 0.0;
        }
        let taken = (self.counted_requests() / f64::from(self.state.slots)).min(1.0);
        cost.steps(pieces) * self.time_factor(cost) * taken
    }

    /// Seconds to prefill the prompt, and the cost of the risk that other nodes take the last
    /// free slots before their reports arrive.
    pub(super) fn prefill_with_scarcity(&self, cost: &ServiceCost, uncached: u32) -> f64 {
        self.prefill(cost, uncached) + self.scarcity() * cost.service_seconds() * LAST_SLOT_COST
    }

    /// Scarcity of free slots: 0 with ample ones, 1 with one left, at most 2. Servers with ample slots
    /// have equal cost, or all nodes would choose the emptiest one before they receive each
    /// other's reports.
    fn scarcity(&self) -> f64 {
        let ample = AMPLE_SLOTS.min(f64::from(self.state.slots));
        ((ample - self.free_for_online(0.0)) / (ample - 1.0).max(1.0)).clamp(0.0, 2.0)
    }

    /// Random sort key for servers of equal cost; emptier and faster ones come first more
    /// often.
    pub(super) fn spread_order(&self, cost: &ServiceCost, query: &PlacementQuery<'_>) -> f64 {
        let free = self.free_slots(0.0).max(MIN_SPREAD_WEIGHT);
        let weight = if query.deferrable { free } else { free + self.free_for_online(0.0).max(0.0) };
        let hash = stable_pair_hash(u64::from(self.state.key.0), query.spread);
        let chance = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -chance.ln() / weight * self.time_factor(cost)
    }

    /// Cost in seconds for failures that this node saw or other nodes reported. A report of the
    /// server as suspect is ignored if this node had contact with the server later.
    pub(super) fn penalty(&self) -> f64 {
        let suspected = self.peers.suspect_at.is_some_and(|at| at > self.state.last_contact);
        let failing = self.state.failure_rate.percent(self.now).max(self.peers.failing);
        let failure_cost = self.state.decayed_failures(self.now) * FAILURE_COST + failure_rate_cost(failing);
        if self.now < self.state.avoid_until || self.state.is_unresponsive(self.now) || suspected {
            AVOIDED_COST + failure_cost
        } else {
            failure_cost
        }
    }

    pub(super) fn is_avoided(&self) -> bool {
        self.penalty() >= AVOIDED_COST
    }

    /// Cost in seconds, for deferrable work, if this node is not a preferred worker of the server.
    pub(super) fn preference_cost(&self) -> f64 {
        if self.state.is_preferred {
            0.0
        } else {
            NOT_PREFERRED_COST
        }
    }

    pub(super) fn report(&self, id: &Arc<str>, cost: Option<&ServiceCost>) -> ServerReport {
        let reporting = cost.filter(|cost| cost.slowdown_validity.is_some());
        ServerReport {
            id: id.clone(),
            own: self.state.own,
            load: self.load(),
            avoided: self.is_avoided(),
            time_factor: reporting.map(|cost| self.time_factor(cost)),
        }
    }
}

impl ServerState {
    pub(super) fn new(record: &ServerRecord) -> Self {
        Self {
            service: record.service.clone(),
            name: record.name.clone(),
            address: record.address.clone(),
            version: record.version.clone(),
            software: SoftwareKey::of(&record.service, &record.version),
            ready: true,
            is_preferred: true,
            key: ServerKey::of(&record.id),
            id_hash: stable_hash(record.id.as_bytes()),
            slots: record.slots.max(1),
            own: 0,
            own_deferrable: 0,
            own_prefill_tokens: 0,
            reported_load: None,
            own_since_report: 0,
            last_contact: Instant::default(),
            waiting_since: Instant::default(),
            avoid_until: Instant::default(),
            failures_in_row: 0,
            overtaken_in_row: 0,
            failures: 0.0,
            failed_at: Instant::default(),
            failure_rate: FailureRate::default(),
            speed: ServerSpeed::default(),
            speed_update: SpeedUpdate::default(),
            prefixes: HashKeyMap::default(),
            prefix_order: VecDeque::new(),
        }
    }

    pub(super) fn update(&mut self, record: &ServerRecord) {
        self.ready = true;
        self.address = record.address.clone();
        self.version = record.version.clone();
        self.software = SoftwareKey::of(&record.service, &record.version);
        self.slots = record.slots.max(1);
    }

    /// Whether it runs this software, if any is required.
    pub(super) fn runs(&self, software: Option<SoftwareKey>) -> bool {
        software.is_none_or(|software| software == self.software)
    }

    pub(super) fn own(&self) -> u32 {
        self.own
    }

    pub(super) fn own_deferrable(&self) -> u32 {
        self.own_deferrable
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns what this node reports of the server; `None` if there is nothing to report.
    pub(super) fn share(&self, now: Instant) -> Option<ServerShare> {
        let failing = now < self.avoid_until && self.failures_in_row > 0;
        let suspect = failing || self.is_unresponsive(now) || self.decayed_failures(now) > SUSPECT_FAILURES;
        let failing = self.failure_rate.percent(now);
        if self.own == 0 && !suspect && failing == 0 {
            return None;
        }
        Some(ServerShare {
            server: self.key,
            requests: self.own,
            deferrable: self.own_deferrable,
            prompt_tokens: self.own_prefill_tokens,
            suspect,
            failing,
            speed: SpeedUpdate::default(),
        })
    }

    fn decayed_failures(&self, now: Instant) -> f64 {
        let age = now.since(self.failed_at).as_secs_f64();
        self.failures * (-age / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    fn is_unresponsive(&self, now: Instant) -> bool {
        self.own > 0 && now.since(self.last_contact.max(self.waiting_since)) > UNRESPONSIVE_TIMEOUT
    }

    /// Prompt tokens that are expected not to be in the server's prefix cache.
    pub(super) fn uncached(&self, now: Instant, prompt: &Prompt, is_affinity_server: bool) -> u32 {
        let recorded = prompt
            .prefixes()
            .filter(|(key, _)| self.prefixes.get(key).is_some_and(|at| now.since(*at) < PREFIX_TTL))
            .map(|(_, tokens)| tokens)
            .last()
            .unwrap_or(0);
        let cached = if is_affinity_server { recorded.max(prompt.shared_tokens()) } else { recorded };
        prompt.tokens() - cached.min(prompt.tokens())
    }

    pub(super) fn note_sent(&mut self, now: Instant, prompt: &Prompt, placement: &Placement) {
        if self.own == 0 {
            self.waiting_since = now;
        }
        self.own += 1;
        self.own_deferrable += u32::from(placement.deferrable);
        self.own_since_report += 1;
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_add(placement.uncached);
        self.note_prefixes(now, prompt);
    }

    /// Records the shared parts of a prompt as cached at the server.
    pub(super) fn note_prefixes(&mut self, now: Instant, prompt: &Prompt) {
        for (key, _) in prompt.prefixes().take(prompt.parts.len().saturating_sub(1)) {
            if self.prefixes.insert(key, now).is_none() {
                self.prefix_order.push_back(key);
            }
        }
        while self.prefix_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.prefix_order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }

    pub(super) fn note_first_piece(&mut self, now: Instant, uncached: u32) {
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(uncached);
        self.failures_in_row = 0;
        self.note_contact(now);
    }

    pub(super) fn note_contact(&mut self, now: Instant) {
        self.last_contact = now;
        self.overtaken_in_row = 0;
    }

    pub(super) fn note_load(&mut self, now: Instant, load: ServerLoad) {
        if load.slots > 0 {
            self.slots = load.slots;
        }
        self.reported_load = Some((now, load));
        self.own_since_report = 0;
        self.note_contact(now);
    }

    /// Records the end of an attempt; `started` is set if the first piece of the answer had
    /// arrived.
    pub(super) fn note_end(&mut self, now: Instant, ending: Ending, placement: &Placement, started: bool) {
        let unprocessed = if started { 0 } else { placement.uncached };
        self.own = self.own.saturating_sub(1);
        self.own_deferrable = self.own_deferrable.saturating_sub(u32::from(placement.deferrable));
        self.own_since_report -= 1;
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(unprocessed);
        match ending {
            Ending::Answered | Ending::Failed => {
                self.failures_in_row = 0;
                self.failure_rate.note(now, ending == Ending::Failed);
                self.note_contact(now);
            }
            Ending::Withdrawn => {}
            Ending::Rejected => {
                self.note_contact(now);
                self.avoid_until = self.avoid_until.max(now + REJECTION_AVOID_TIME);
            }
            Ending::Misdirected | Ending::Broken | Ending::Unresponsive => self.note_failure(now),
        }
    }

    /// Records that an attempt sent at `sent_at` was overtaken by one at another server. An
    /// unresponsive server would otherwise keep receiving requests, since none of them runs
    /// into its timeout.
    pub(super) fn note_overtaken(&mut self, now: Instant, sent_at: Instant) {
        if self.last_contact > sent_at {
            return;
        }
        self.overtaken_in_row += 1;
        if self.overtaken_in_row >= OVERTAKEN_LIMIT {
            self.overtaken_in_row = 0;
            self.note_failure(now);
        }
    }

    fn note_failure(&mut self, now: Instant) {
        self.failures = self.decayed_failures(now) + 1.0;
        self.failed_at = now;
        let avoid_time = MIN_AVOID_TIME * 2_u32.saturating_pow(self.failures_in_row.min(8));
        self.failures_in_row += 1;
        self.avoid_until = now + avoid_time.min(MAX_AVOID_TIME);
        self.prefixes.clear();
        self.prefix_order.clear();
    }
}
