//! Choice of a server by any node that sends to all servers of a service.
//!
//! No node owns a server: each places its requests by what it knows itself.
//! That is its own requests in progress, the load that servers tell in their
//! answers, and the order of servers for a prompt prefix, which rendezvous
//! hashing makes the same on all nodes. A request goes where its first token
//! is expected soonest; one whose wait would be too long is refused at once.

mod cost;
mod deferrable;
mod expectation;
mod failure_rate;
mod heartbeats;
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
pub use peers::{Coverage, NodeShares, ServerKey, ServerShare, SharesSum, REPORT_TTL};
pub use preferred_workers::{is_preferred_worker, preferred_workers};
pub use queues::{RouteKey, RouteQueue};
pub use server::{ServerLoad, ServerReport};
pub use slowdown::{Slowdown, SpeedUpdate};
pub use tracker::{select_trackers, tracker_of, TrackerQuery, TrackerReply};

use crate::identity::{stable_hash, NodeId};
use crate::time::Instant;
use cost::ServiceCost;
use peers::PeerReports;
use queues::LocalQueues;
use ring::ServerRing;
use server::{ServerState, ServerView};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tracker::TrackedServers;

/// Bounds on the time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time for which a refusal counts as pressure on its service.
const OVERLOAD_TTL: Duration = Duration::from_secs(1);
/// Expected times to the first token that differ less than this are equal.
const TIE_SECONDS: f64 = 0.000_5;

/// A request that wants a server.
#[derive(Debug)]
pub struct PlacementQuery<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// Servers that were asked before.
    pub avoid: &'a [Arc<str>],
    /// Longest wait for a free slot that is worth taking.
    pub wait_limit: Duration,
    /// Share of every server's slots that must stay free, 0 to 1: batch work
    /// leaves room for online work.
    pub reserve: f64,
    /// Any number; spreads requests among equal servers.
    pub spread: u64,
    /// Whether it can wait and give way. Such work goes to any server with
    /// room, so that nodes that place it at once don't all choose the emptiest.
    pub deferrable: bool,
}

/// What the request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this server.
    Send(Placement),
    /// All servers are too busy; come back after this time.
    Full(Duration),
    /// There is no server of the service.
    NoServer,
}

/// A server for a request, with the figures that decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Identity of the server.
    pub server: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// Expected wait for a slot.
    pub expected_wait: Duration,
    /// Prompt tokens that are expected to be read anew.
    pub uncached: u32,
    /// Requests that are believed to run or wait there.
    pub load: f64,
    /// Whether it can give way.
    pub deferrable: bool,
    /// Whether deferrable work at the server is to give way to it.
    pub preempts: bool,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With an answer.
    Answered,
    /// The server ran it and says that it failed.
    Failed,
    /// It was withdrawn by this side.
    Withdrawn,
    /// The server said that it is full or didn't run the request.
    Rejected,
    /// Another server has the address.
    Misdirected,
    /// No connection, or the connection broke.
    Broken,
    /// Nothing was heard for too long.
    Unresponsive,
}

/// What is known of all servers, for the choice among them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    servers: HashMap<Arc<str>, ServerState>,
    /// Those that may get new work, by service.
    rings: HashMap<Arc<str>, ServerRing>,
    /// Counts changes of these.
    servers_version: u64,
    services: HashMap<Arc<str>, ServiceCost>,
    refused_at: HashMap<Arc<str>, Instant>,
    peers: PeerReports,
    waiting: u32,
    queues: LocalQueues,
    /// This node and all that run deferrable work, if it does itself.
    deferrable_nodes: Option<(NodeId, Vec<NodeId>)>,
    /// Identities of servers by their names among nodes.
    ids: HashMap<ServerKey, Arc<str>>,
    tracked: TrackedServers,
    coverage: Coverage,
}

impl Dispatcher {
    /// Chooses the server with the soonest first token.
    pub fn choose(&self, now: Instant, query: &PlacementQuery<'_>) -> Choice {
        let cost = self.services.get(query.service).copied().unwrap_or_default();
        let key = query.prompt.affinity_key();
        let affinity = key.and_then(|key| self.affinity_server(query.service, key));
        let mut best: Option<(f64, f64, Placement)> = None;
        let mut shortest_wait = f64::INFINITY;
        // Where all others were asked before, one of them is asked again.
        let skips_avoided = !query.avoid.is_empty() && self.ready_count(query.service) > query.avoid.len();
        for (id, server) in self.sampled_servers(query.service, key, query.spread) {
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
                    address: server.address.clone(),
                    expected_wait: Duration::from_secs_f64(wait.min(3600.0)),
                    uncached,
                    load: view.load(),
                    deferrable: query.deferrable,
                    preempts: !query.deferrable && view.preempts(),
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

    /// The place at a server that a keeper advised; `None` if this node knows that
    /// the server takes no work, or something bad of it.
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
            address: state.address.clone(),
            expected_wait: wait,
            uncached,
            load: view.load(),
            deferrable,
            // The keeper has seen to that.
            preempts: false,
        })
    }

    /// A request was sent to a server.
    pub fn note_sent(&mut self, now: Instant, placement: &Placement, prompt: &Prompt) {
        if let Some(server) = self.servers.get_mut(&placement.server) {
            server.note_sent(now, prompt, placement);
            self.tracked.note_change(server.key);
        }
    }

    /// The first piece of the answer came after `time`.
    pub fn note_first_piece(&mut self, now: Instant, placement: &Placement, time: Duration) {
        let Some(server) = self.servers.get_mut(&placement.server) else { return };
        server.note_first_piece(now, placement.uncached);
        self.tracked.note_change(server.key);
        let cost = self.services.entry(server.service.clone()).or_default();
        cost.note_first_piece(time, placement.uncached);
    }

    /// Something was heard from a server.
    pub fn note_contact(&mut self, now: Instant, server: &str) {
        if let Some(server) = self.servers.get_mut(server) {
            server.note_contact(now);
        }
    }

    /// A server told its load.
    pub fn note_load(&mut self, now: Instant, server: &str, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(server) {
            server.note_load(now, load);
        }
        self.note_reported_slowdown(now, server, load.slowdown);
    }

    /// An attempt ended `time` after it was sent; `started` tells whether its
    /// first piece had come.
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

    /// What is believed of each server, for reports.
    pub fn reports(&self, now: Instant) -> Vec<ServerReport> {
        let report = |(id, server): (&Arc<str>, &ServerState)| {
            self.view(now, server).report(id, self.services.get(&server.service))
        };
        self.servers.iter().map(report).collect()
    }

    /// A request of the service was refused for want of slots.
    pub fn note_refused(&mut self, now: Instant, service: &Arc<str>) {
        self.refused_at.insert(service.clone(), now);
    }

    /// Whether requests of the service are being refused, here or elsewhere:
    /// work that can wait holds few slots meanwhile.
    pub fn is_overloaded(&self, now: Instant, service: &str) -> bool {
        let own = self.refused_at.get(service).is_some_and(|at| now.since(*at) < OVERLOAD_TTL);
        own || self.peers.is_overloaded_for(now, stable_hash(service.as_bytes()))
    }

    /// Slots of all servers of the service.
    pub fn slots_of(&self, service: &str) -> u32 {
        self.of_service(service).map(|(_, server)| server.slots()).sum()
    }

    /// What this node tells others of itself.
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

    /// This node keeps so many tokens of unfinished batch work on a route.
    pub fn set_queued_tokens(&mut self, now: Instant, route: RouteKey, tokens: u64) {
        self.queues.set(now, route, tokens);
    }

    /// Tokens of unfinished batch work on a route at the other nodes.
    pub fn queued_tokens_elsewhere(&self, now: Instant, route: RouteKey) -> u64 {
        self.peers.queued_tokens(now, route)
    }

    /// This node would start so many deferrable runs if there were room.
    pub fn set_waiting(&mut self, runs: u32) {
        self.waiting = runs;
    }

    /// This node's share, 0 to 1, of the deferrable runs that wait at all nodes.
    pub fn share_of_waiting(&self, now: Instant) -> f64 {
        let all = self.waiting.saturating_add(self.waiting_at_others(now));
        f64::from(self.waiting) / f64::from(all.max(1))
    }

    /// Deferrable runs that wait at other nodes. Without a sum it is reckoned from the
    /// workers that this node hears.
    fn waiting_at_others(&self, now: Instant) -> u32 {
        let workers = self.deferrable_nodes.as_ref().map_or(0, |(_, all)| all.len());
        let parts = u32::try_from(heartbeats::parts(workers)).unwrap_or(u32::MAX);
        self.peers.waiting_by_sum(now).unwrap_or_else(|| self.peers.waiting_reported(now).saturating_mul(parts))
    }

    /// Deferrable runs that wait at another node, as it told lately.
    pub fn waiting_at(&self, now: Instant, node: NodeId) -> Option<u32> {
        self.peers.waiting_at(now, node)
    }

    /// How well another node hears others; `Few` if it is not heard itself.
    pub fn coverage_of(&self, now: Instant, node: NodeId) -> Coverage {
        self.peers.coverage_of(now, node)
    }

    /// How well this node hears others: `nodes` of them, with these workers.
    pub fn update_coverage(&mut self, now: Instant, nodes: usize, workers: &[NodeId]) -> Coverage {
        self.coverage = self.peers.own_coverage(now, nodes, workers);
        self.coverage
    }

    /// Another node tells of itself; `sequence` rises with its reports.
    pub fn note_peer(&mut self, now: Instant, from: NodeId, sequence: u64, report: NodeShares) {
        self.peers.note(now, from, sequence, report);
    }

    /// A part of the sum over all nodes was told; `own` is what this node told
    /// when it asked for it.
    pub fn note_sum(&mut self, now: Instant, sum: SharesSum, own: &NodeShares) {
        self.peers.note_sum(now, sum, own);
    }

    /// This node hears all others directly and uses no sum.
    pub fn forget_sum(&mut self) {
        self.peers.forget_sum();
    }

    /// What all nodes do, as far as they told this one.
    pub fn shares_of_all(&self, now: Instant) -> NodeShares {
        self.peers.sum_with(now, self.shares(now))
    }

    /// Slots of a server that are free, if a share of all stays free; negative
    /// where requests wait. `None` if the server is not known.
    pub fn free_slots(&self, now: Instant, server: &str, reserve: f64) -> Option<f64> {
        self.servers.get(server).map(|server| self.view(now, server).free_slots(reserve))
    }

    /// Room for deferrable work at all servers of a service, in runs. Where there are
    /// many servers it is reckoned from some, others at each time.
    pub fn free_slots_of(&self, now: Instant, service: &str, reserve: f64) -> f64 {
        let spread = now.since(Instant::default()).as_micros() as u64;
        let sampled_servers = self.sampled_servers(service, None, spread);
        let free = sampled_servers.map(|(_, server)| self.view(now, server).free_slots(reserve).max(0.0).floor());
        let (servers, sum) = free.fold((0_usize, 0.0), |(servers, sum), free| (servers + 1, sum + free));
        sum * self.ready_count(service) as f64 / servers.max(1) as f64
    }

    /// How crowded a server is by deferrable work; `None` if it is not known.
    pub fn congestion(&self, now: Instant, server: &str) -> Option<Congestion> {
        self.servers.get(server).map(|server| self.view(now, server).congestion())
    }

    /// Share, 0 to 1, of the deferrable runs at a server that are this node's.
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
