//! Selection of a server for each request. Every node can send to every server of a service.
//!
//! No node owns a server. Each node places requests by its own state: its requests in progress,
//! the load that servers report in their responses, the reports of other nodes, and the order
//! of servers for a prompt prefix, which rendezvous hashing makes the same on all nodes. A
//! request goes to the server with the earliest expected first token, and is refused at once if
//! the expected wait is too long.

mod cost;
mod deferrable;
mod expectation;
mod failure_rate;
mod heartbeats;
mod own_reservations;
mod peers;
mod preferred_workers;
mod queues;
mod ring;
mod server;
mod server_set;
mod slowdown;
mod speeds;
mod tracker;

pub use cost::{Prompt, PromptPart};
pub use deferrable::{reserve_of, reserve_of_overdue, Congestion, RecentPreemptions, StartBudget};
pub use expectation::FirstPiece;
pub use heartbeats::sends_heartbeat;
pub use peers::{Coverage, NodeShares, ServerKey, ServerShare, SharesSum, REPORT_REPEAT_INTERVAL, REPORT_TTL};
pub use preferred_workers::{is_preferred_worker, preferred_workers};
pub use queues::{RouteKey, RouteQueue};
pub use server::{ServerLoad, ServerReport};
pub use slowdown::{Slowdown, SpeedUpdate};
pub use tracker::{select_trackers, tracker_of, TrackerQuery, TrackerReply};

use crate::identity::{stable_hash, NodeId};
use crate::software::SoftwareKey;
use crate::time::Instant;
use cost::ServiceCost;
use peers::PeerReports;
use queues::LocalQueues;
use ring::ServerRing;
use server::{ServerState, ServerView};
use server_set::{Candidates, SoftwareRing};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tracker::TrackedServers;

/// Bounds on the retry time that is returned with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time after a refusal during which the service counts as overloaded.
const OVERLOAD_TTL: Duration = Duration::from_secs(1);
/// Difference in seconds below which two expected times to the first token count as equal.
const TIE_SECONDS: f64 = 0.000_5;

/// Query for a server for one request.
#[derive(Debug)]
pub struct PlacementQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Software that wrote the events after which the request continues; only its servers are
    /// considered.
    pub software: Option<SoftwareKey>,
    /// Prompt of the request.
    pub prompt: &'a Prompt,
    /// Servers of earlier attempts, skipped while other servers are ready.
    pub avoid: &'a [Arc<str>],
    /// Longest acceptable wait for a free slot.
    pub wait_limit: Duration,
    /// Share of each server's slots that has to stay free for online requests, 0 to 1.
    pub reserve: f64,
    /// Number that differs between requests, to spread them over equal servers.
    pub spread: u64,
    /// Whether the request can wait and be preempted. Such requests go to any server with a
    /// free slot, so that nodes that place them at the same time don't all choose the emptiest
    /// server.
    pub deferrable: bool,
}

/// Result of a placement query.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to this server.
    Send(Placement),
    /// The wait is too long at every server; retry after this time.
    Full(Duration),
    /// The service has no ready server, or none of the software.
    NoServer,
}

/// Server selected for a request, with the estimates at the time of the selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Identity of the server.
    pub server: Arc<str>,
    /// Name under which the server registers.
    pub name: Arc<str>,
    /// Address of the server.
    pub address: Arc<str>,
    /// Version of the server's software.
    pub version: Arc<str>,
    /// Key of the server's software.
    pub software: SoftwareKey,
    /// Expected wait for a free slot.
    pub expected_wait: Duration,
    /// Prompt tokens that are expected not to be in the server's prefix cache.
    pub uncached: u32,
    /// Estimated number of requests that run or wait at the server.
    pub load: f64,
    /// Whether the request can be preempted.
    pub deferrable: bool,
    /// Whether a deferrable run at the server has to be preempted for the request.
    pub preempts: bool,
    /// Whether a tracker reserved the server for the request.
    pub by_tracker: bool,
}

/// Outcome of an attempt to run a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The server answered.
    Answered,
    /// The server ran the request and reported a failure.
    Failed,
    /// This node cancelled the attempt.
    Withdrawn,
    /// The server reported that it is full or did not run the request.
    Rejected,
    /// A different server answered at this address.
    Misdirected,
    /// The connection could not be opened, or it broke.
    Broken,
    /// The server sent nothing within the timeout.
    Unresponsive,
}

/// State of all servers, from which this node selects one for each request.
#[derive(Debug, Default)]
pub struct Dispatcher {
    servers: HashMap<Arc<str>, ServerState>,
    /// Servers that accept new requests, by service.
    rings: HashMap<Arc<str>, ServerRing>,
    /// The same by their software, with the service.
    software_rings: HashMap<SoftwareKey, SoftwareRing>,
    /// Incremented when a server is added, updated or removed.
    servers_version: u64,
    services: HashMap<Arc<str>, ServiceCost>,
    refused_at: HashMap<Arc<str>, Instant>,
    peers: PeerReports,
    waiting: u32,
    queues: LocalQueues,
    /// This node and all nodes that run deferrable work; `None` if this node runs none.
    deferrable_nodes: Option<(NodeId, Vec<NodeId>)>,
    /// Identities of servers by the keys that nodes use in messages.
    ids: HashMap<ServerKey, Arc<str>>,
    tracked: TrackedServers,
    coverage: Coverage,
}

impl Dispatcher {
    /// Selects the server with the earliest expected first token.
    pub fn choose(&self, now: Instant, query: &PlacementQuery<'_>) -> Choice {
        let cost = self.services.get(query.service).copied().unwrap_or_default();
        let key = query.prompt.affinity_key();
        let affinity = key.and_then(|key| self.affinity_server(query.service, key));
        let mut best: Option<(f64, f64, Placement)> = None;
        let mut shortest_wait = f64::INFINITY;
        let candidates = Candidates { service: query.service, software: query.software };
        // Servers of earlier attempts are used again once no other server is left.
        let skips_avoided = !query.avoid.is_empty() && self.has_others(&candidates, query.avoid);
        for (id, server) in self.sampled_servers(&candidates, key, query.spread) {
            if skips_avoided && query.avoid.contains(id) {
                continue;
            }
            let view = self.view(now, server);
            let uncached = server.uncached(now, query.prompt, affinity.as_ref() == Some(id));
            let wait = view.wait(&cost, query);
            let cost_seconds = if query.deferrable {
                view.penalty() + view.preference_cost()
            } else {
                let contention = view.contention(&cost, query.prompt.output_tokens);
                wait + view.penalty() + view.prefill_with_scarcity(&cost, uncached) + contention
            };
            shortest_wait = shortest_wait.min(wait);
            if wait > query.wait_limit.as_secs_f64() {
                continue;
            }
            let order = view.spread_order(&cost, query);
            let better = best.as_ref().is_none_or(|(lowest_cost, lowest_order, _)| {
                cost_seconds < lowest_cost - TIE_SECONDS
                    || (cost_seconds < lowest_cost + TIE_SECONDS && order < *lowest_order)
            });
            if better {
                let placement = Placement {
                    server: id.clone(),
                    name: server.name.clone(),
                    address: server.address.clone(),
                    version: server.version.clone(),
                    software: server.software,
                    expected_wait: Duration::from_secs_f64(wait.min(3600.0)),
                    uncached,
                    load: view.load(),
                    deferrable: query.deferrable,
                    preempts: !query.deferrable && view.preempts(),
                    by_tracker: false,
                };
                best = Some((cost_seconds, order, placement));
            }
        }
        match best {
            Some((_, _, placement)) => Choice::Send(placement),
            None if shortest_wait.is_finite() => {
                Choice::Full(retry_after(shortest_wait - query.wait_limit.as_secs_f64()))
            }
            None => Choice::NoServer,
        }
    }

    /// Returns the placement at a server that a tracker reserved; `None` if the server is not
    /// ready or this node avoids it.
    pub fn place_at(
        &self,
        now: Instant,
        server: ServerKey,
        uncached: u32,
        wait: Duration,
        deferrable: bool,
    ) -> Option<Placement> {
        let id = self.ids.get(&server)?;
        let state = self.servers.get(id).filter(|state| state.ready)?;
        let view = self.view(now, state);
        (!view.is_avoided()).then(|| Placement {
            server: id.clone(),
            name: state.name.clone(),
            address: state.address.clone(),
            version: state.version.clone(),
            software: state.software,
            expected_wait: wait,
            uncached,
            load: view.load(),
            deferrable,
            // The tracker has requested the preemption.
            preempts: false,
            by_tracker: true,
        })
    }

    /// Records that a request was sent to a server.
    pub fn note_sent(&mut self, now: Instant, placement: &Placement, prompt: &Prompt) {
        if let Some(server) = self.servers.get_mut(&placement.server) {
            server.note_sent(now, prompt, placement);
            self.tracked.note_change(server.key);
            if placement.by_tracker {
                self.peers.note_own_sent(server.key);
            }
        }
    }

    /// Records that the first piece of the answer arrived `time` after the request was sent.
    pub fn note_first_piece(&mut self, now: Instant, placement: &Placement, time: Duration) {
        let Some(server) = self.servers.get_mut(&placement.server) else { return };
        server.note_first_piece(now, placement.uncached);
        self.tracked.note_change(server.key);
        let cost = self.services.entry(server.service.clone()).or_default();
        cost.note_first_piece(time, placement.uncached);
    }

    /// Records that a server sent something.
    pub fn note_contact(&mut self, now: Instant, server: &str) {
        if let Some(server) = self.servers.get_mut(server) {
            server.note_contact(now);
        }
    }

    /// Records the load that a server reported.
    pub fn note_load(&mut self, now: Instant, server: &str, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(server) {
            server.note_load(now, load);
        }
        self.note_reported_slowdown(now, server, load.slowdown);
    }

    /// Records the end of an attempt, `time` after it was sent; `started` is set if the first
    /// piece of the answer had arrived.
    pub fn note_end(&mut self, now: Instant, placement: &Placement, ending: Ending, started: bool, time: Duration) {
        let Some(server) = self.servers.get_mut(&placement.server) else { return };
        server.note_end(now, ending, placement, started);
        self.tracked.note_change(server.key);
        if ending == Ending::Answered {
            let service = server.service.clone();
            self.services.entry(service).or_default().note_service_time(time);
        }
        if !server.ready && server.own() == 0 {
            self.forget(&placement.server);
        }
    }

    /// Returns the estimated state of each server, for reports.
    pub fn reports(&self, now: Instant) -> Vec<ServerReport> {
        let report = |(id, server): (&Arc<str>, &ServerState)| {
            self.view(now, server).report(id, self.services.get(&server.service))
        };
        self.servers.iter().map(report).collect()
    }

    /// Records that a request of the service was refused because no slot was free.
    pub fn note_refused(&mut self, now: Instant, service: &Arc<str>) {
        self.refused_at.insert(service.clone(), now);
    }

    /// Whether this node or another one refused requests of the service lately. Deferrable work
    /// then holds few slots.
    pub fn is_overloaded(&self, now: Instant, service: &str) -> bool {
        let own = self.refused_at.get(service).is_some_and(|at| now.since(*at) < OVERLOAD_TTL);
        own || self.peers.is_overloaded_for(now, stable_hash(service.as_bytes()))
    }

    /// Returns the number of slots of all ready servers of a service.
    pub fn slots_of(&self, service: &str) -> f64 {
        self.of_service(service).map(|(_, server)| f64::from(server.slots())).sum()
    }

    /// Returns the report that this node sends to other nodes.
    pub fn shares(&self, now: Instant) -> NodeShares {
        let refused = self.refused_at.iter().filter(|(_, at)| now.since(**at) < OVERLOAD_TTL);
        let mut overloaded: Vec<u64> = refused.map(|(service, _)| stable_hash(service.as_bytes())).collect();
        overloaded.sort_unstable();
        let servers = self.servers.values().filter_map(|server| server.share(now)).collect();
        NodeShares {
            servers,
            overloaded,
            waiting: self.waiting,
            queues: self.queues.to_report(),
            coverage: self.coverage,
        }
    }

    /// Sets the number of tokens of unfinished batch work that this node has on a route.
    pub fn set_queued_tokens(&mut self, now: Instant, route: RouteKey, tokens: u64) {
        self.queues.set(now, route, tokens);
    }

    /// Returns the number of tokens of unfinished batch work on a route at other nodes.
    pub fn queued_tokens_elsewhere(&self, now: Instant, route: RouteKey) -> u64 {
        self.peers.queued_tokens(now, route)
    }

    /// Sets the number of deferrable runs that this node would start if slots were free.
    pub fn set_waiting(&mut self, runs: u32) {
        self.waiting = runs;
    }

    /// Returns this node's share, 0 to 1, of the deferrable runs that wait at all nodes.
    pub fn share_of_waiting(&self, now: Instant) -> f64 {
        let all = self.waiting.saturating_add(self.waiting_at_others(now));
        f64::from(self.waiting) / f64::from(all.max(1))
    }

    /// Returns the number of deferrable runs that wait at other nodes. Without a recent sum, it
    /// is extrapolated from the workers that report to this node directly.
    fn waiting_at_others(&self, now: Instant) -> u32 {
        let workers = self.deferrable_nodes.as_ref().map_or(0, |(_, all)| all.len());
        let parts = u32::try_from(heartbeats::parts(workers)).unwrap_or(u32::MAX);
        self.peers.waiting_by_sum(now).unwrap_or_else(|| self.peers.waiting_reported(now).saturating_mul(parts))
    }

    /// Returns the number of deferrable runs that wait at another node by its last report;
    /// `None` without a recent one.
    pub fn waiting_at(&self, now: Instant, node: NodeId) -> Option<u32> {
        self.peers.waiting_at(now, node)
    }

    /// Returns the coverage that another node reported; `Few` without a recent report.
    pub fn coverage_of(&self, now: Instant, node: NodeId) -> Coverage {
        self.peers.coverage_of(now, node)
    }

    /// Recomputes the coverage of this node among `nodes` nodes and these workers, and returns
    /// it.
    pub fn update_coverage(&mut self, now: Instant, nodes: usize, workers: &[NodeId]) -> Coverage {
        self.coverage = self.peers.own_coverage(now, nodes, workers);
        self.coverage
    }

    /// Records the report of another node; `sequence` rises with each report of that node.
    pub fn note_peer(&mut self, now: Instant, from: NodeId, sequence: u64, report: NodeShares) {
        self.peers.note(now, from, sequence, report);
    }

    /// Records a part of the sum over all nodes; `own` is what this node reported when it
    /// requested the sum.
    pub fn note_sum(&mut self, now: Instant, sum: SharesSum, own: &NodeShares) {
        self.peers.note_sum(now, sum, own);
    }

    /// Drops the sum: all other nodes report to this node directly.
    pub fn forget_sum(&mut self) {
        self.peers.forget_sum();
    }

    /// Returns the sum over the recent reports of all nodes, this one included.
    pub fn shares_of_all(&self, now: Instant) -> NodeShares {
        self.peers.sum_with(now, self.shares(now))
    }

    /// Returns the free slots of a server beyond the reserved share; negative if requests wait.
    /// `None` if the server is unknown.
    pub fn free_slots(&self, now: Instant, server: &str, reserve: f64) -> Option<f64> {
        self.servers.get(server).map(|server| self.view(now, server).free_slots(reserve))
    }

    /// Returns the slots of a service that are free for deferrable work. With many servers it
    /// is extrapolated from a sample that changes with each call.
    pub fn free_slots_of(&self, now: Instant, service: &str, reserve: f64) -> f64 {
        let spread = now.since(Instant::default()).as_micros() as u64;
        let sampled_servers = self.sampled_servers(&Candidates { service, software: None }, None, spread);
        let free = sampled_servers.map(|(_, server)| self.view(now, server).free_slots(reserve).max(0.0).floor());
        let (servers, sum) = free.fold((0_usize, 0.0), |(servers, sum), free| (servers + 1, sum + free));
        sum * self.ready_count(service) as f64 / servers.max(1) as f64
    }

    /// Returns the congestion of a server; `None` if the server is unknown.
    pub fn congestion(&self, now: Instant, server: &str) -> Option<Congestion> {
        self.servers.get(server).map(|server| self.view(now, server).congestion())
    }

    /// Returns this node's share, 0 to 1, of the deferrable runs at a server.
    pub fn own_share_of_deferrable(&self, now: Instant, server: &str) -> f64 {
        let Some(state) = self.servers.get(server) else { return 1.0 };
        let others = self.peers.at(now, state.key).deferrable;
        let own = state.own_deferrable();
        f64::from(own) / f64::from((own + others).max(1))
    }

    fn view<'a>(&self, now: Instant, state: &'a ServerState) -> ServerView<'a> {
        ServerView { state, peers: self.peers.at(now, state.key), now }
    }
}

fn retry_after(seconds: f64) -> Duration {
    let time = Duration::from_secs_f64(seconds.clamp(0.0, 3600.0));
    time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
