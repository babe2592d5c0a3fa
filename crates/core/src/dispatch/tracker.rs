//! Trackers: nodes with an up-to-date count of the requests at some servers.
//!
//! Reports between nodes are a few hundred milliseconds old. That is too old where nearly all
//! slots are taken: requests queue at one server while another has a free slot. So each server
//! has a tracker, one of the coordinators, selected by rendezvous hashing. A node requests a
//! server from a tracker, which reserves a slot there; nodes send the tracker an update as soon
//! as a request ends.
//!
//! Reservations are advisory. The reports of the nodes replace the tracker's counts, and a node
//! that gets no reply places the request using its own load estimates. So no consensus
//! is needed, no reservation leaks, and two trackers of one server do no harm.

use super::ring::ServerRing;
use super::{Coverage, Dispatcher, Prompt, ServerKey, ServerShare, ServerView};
use crate::identity::{stable_hash, stable_pair_hash, NodeId};
use crate::permits::Coordinator;
use crate::software::SoftwareKey;
use crate::time::Instant;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Cost in seconds of preempting a deferrable run: the time to send a datagram to the worker of
/// the run and to close the connection there.
const PREEMPTION_COST: f64 = 0.004;

/// Servers whose free slots are added up in one call. With a call each 150 ms, a pass over
/// 10,000 servers takes 3 s.
const SERVERS_PER_CALL: usize = 512;

/// Retry time for deferrable work when no slot is free for it.
const DEFERRABLE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Query for a server, sent to a tracker.
#[derive(Debug)]
pub struct TrackerQuery<'a> {
    /// Node that sent the query.
    pub from: NodeId,
    /// Hash of the service's name.
    pub service: u64,
    /// Software that wrote the events after which the request continues; only its servers are
    /// considered.
    pub software: Option<SoftwareKey>,
    /// Prompt of the request.
    pub prompt: &'a Prompt,
    /// Servers of earlier attempts, skipped while there are others.
    pub avoid: &'a [ServerKey],
    /// Longest acceptable wait for a free slot.
    pub wait_limit: Duration,
    /// Whether the request can wait and be preempted.
    pub deferrable: bool,
    /// Share of the slots of all tracked servers that has to stay free, 0 to 1.
    pub reserve: f64,
    /// Whether a deferrable run may be preempted for the request.
    pub may_preempt: bool,
    /// Number that differs between requests, to spread them over equal servers.
    pub spread: u64,
}

/// Reply of a tracker.
#[derive(Clone, Debug, PartialEq)]
pub enum TrackerReply {
    /// Send the request to this server, where it is counted from now on.
    Send {
        /// Key of the server.
        server: ServerKey,
        /// Prompt tokens that are expected not to be in the server's prefix cache.
        uncached: u32,
        /// Expected wait for a free slot.
        wait: Duration,
        /// Node that has to stop a deferrable run at the server.
        preempts: Option<NodeId>,
    },
    /// No server is available within the wait limit; contains the expected wait, or the retry
    /// time if a deferrable request would take a slot of the reserve.
    Full(Duration),
    /// This node tracks no server of the service, or none of the software.
    TracksNone,
}

/// Servers that this node tracks, and changes that it has to send to other trackers.
#[derive(Debug, Default)]
pub(super) struct TrackedServers {
    /// Tracked servers by the hash of the service name.
    rings: HashMap<u64, ServerRing>,
    /// The same by their software.
    software_rings: HashMap<SoftwareKey, ServerRing>,
    /// Inputs from which the tracked servers were computed.
    computed_from: Option<TrackingInputs>,
    /// Servers with changes that were not sent to their trackers yet.
    changed: BTreeSet<ServerKey>,
    free_slots_pass: FreeSlotsPass,
}

/// Incremental pass over all servers that adds up the free slots of each tracker's servers.
#[derive(Debug, Default)]
struct FreeSlotsPass {
    trackers: Vec<NodeId>,
    /// Servers that are left in this pass.
    left: Vec<Arc<str>>,
    sums: Vec<(NodeId, f64)>,
    /// Sums of the last complete pass; partial until the first pass is complete.
    last_sums: Vec<(NodeId, f64)>,
}

/// Inputs that determine which servers a node tracks.
#[derive(Debug, PartialEq, Eq)]
struct TrackingInputs {
    own: NodeId,
    trackers: Vec<NodeId>,
    servers_version: u64,
}

impl TrackedServers {
    pub(super) fn note_change(&mut self, server: ServerKey) {
        self.changed.insert(server);
    }

    /// Whether that node is this one.
    fn is_own(&self, node: NodeId) -> bool {
        self.computed_from.as_ref().is_some_and(|inputs| inputs.own == node)
    }

    /// Tracked servers that a query may get.
    fn ring_of(&self, query: &TrackerQuery<'_>) -> Option<&ServerRing> {
        match query.software {
            Some(software) => self.software_rings.get(&software),
            None => self.rings.get(&query.service),
        }
    }
}

/// Server that a tracker selected.
struct TrackedChoice {
    id: Arc<str>,
    /// Seconds until a slot is free.
    wait: f64,
    /// Prompt tokens that are expected not to be in the server's prefix cache.
    uncached: u32,
    /// Whether a deferrable run has to be preempted.
    preempts: bool,
}

/// Selects the trackers among the coordinators: those with the best coverage, and fallback
/// coordinators only if no regular one has that coverage. Empty if all have too few reports.
pub fn select_trackers(candidates: &[(Coordinator, Coverage)]) -> Vec<NodeId> {
    let best = candidates.iter().map(|(_, coverage)| *coverage).max().unwrap_or_default();
    if best == Coverage::Few {
        return Vec::new();
    }
    let of_best = candidates.iter().filter(|(_, coverage)| *coverage == best);
    let (fallbacks, regular): (Vec<Coordinator>, Vec<Coordinator>) =
        of_best.map(|(coordinator, _)| *coordinator).partition(|coordinator| coordinator.fallback);
    let chosen = if regular.is_empty() { fallbacks } else { regular };
    chosen.into_iter().map(|coordinator| coordinator.node).collect()
}

/// Returns the tracker of a server among these nodes.
pub fn tracker_of(server: ServerKey, trackers: &[NodeId]) -> Option<NodeId> {
    trackers.iter().copied().max_by_key(|tracker| stable_pair_hash(tracker.0, u64::from(server.0)))
}

impl Dispatcher {
    /// Selects the servers that this node tracks, given all `trackers`. Does nothing while the
    /// inputs are unchanged.
    pub fn set_tracked(&mut self, own: NodeId, trackers: &[NodeId]) {
        let present = TrackingInputs { own, trackers: trackers.to_vec(), servers_version: self.servers_version };
        if self.tracked.computed_from.as_ref() == Some(&present) {
            return;
        }
        self.tracked.computed_from = Some(present);
        self.tracked.rings.clear();
        self.tracked.software_rings.clear();
        for (id, server) in self.servers.iter().filter(|(_, server)| server.ready) {
            if tracker_of(server.key, trackers) == Some(own) {
                let service = stable_hash(server.service.as_bytes());
                self.tracked.rings.entry(service).or_default().insert(server.id_hash, id);
                self.tracked.software_rings.entry(server.software).or_default().insert(server.id_hash, id);
            }
        }
    }

    /// Returns the estimated free slots of each tracker's servers. Each call processes a
    /// bounded number of servers and returns the result of the last complete pass; it decides
    /// only which tracker is queried first.
    pub fn free_slots_of_trackers(&mut self, now: Instant, trackers: &[NodeId]) -> Vec<(NodeId, f64)> {
        let mut pass = std::mem::take(&mut self.tracked.free_slots_pass);
        if pass.trackers != trackers {
            pass = FreeSlotsPass { trackers: trackers.to_vec(), ..FreeSlotsPass::default() };
        }
        if pass.left.is_empty() {
            let ready = self.servers.iter().filter(|(_, server)| server.ready);
            pass.left = ready.map(|(id, _)| id.clone()).collect();
            pass.sums = trackers.iter().map(|tracker| (*tracker, 0.0)).collect();
        }
        let rest = pass.left.len().saturating_sub(SERVERS_PER_CALL);
        for id in pass.left.split_off(rest) {
            let Some(server) = self.servers.get(&id) else { continue };
            let Some(tracker) = tracker_of(server.key, trackers) else { continue };
            let free = self.view(now, server).free_for_online(0.0).max(0.0);
            pass.sums.iter_mut().filter(|(node, _)| *node == tracker).for_each(|(_, sum)| *sum += free);
        }
        if pass.left.is_empty() || pass.last_sums.is_empty() {
            pass.last_sums.clone_from(&pass.sums);
        }
        let last_sums = pass.last_sums.clone();
        self.tracked.free_slots_pass = pass;
        last_sums
    }

    /// Selects a server for a request of another node, and counts the request there from now
    /// on.
    pub fn reserve_server(&mut self, now: Instant, query: &TrackerQuery<'_>) -> TrackerReply {
        let Some(chosen) = self.choose_tracked(now, query) else { return TrackerReply::TracksNone };
        let TrackedChoice { id, wait, uncached, preempts } = chosen;
        if query.deferrable && !self.leaves_reserve_free(now, query) {
            return TrackerReply::Full(DEFERRABLE_RETRY_AFTER);
        }
        if wait > query.wait_limit.as_secs_f64() || (preempts && !query.may_preempt) {
            let preemption_cost = if preempts { PREEMPTION_COST } else { 0.0 };
            return TrackerReply::Full(Duration::from_secs_f64((wait + preemption_cost).min(3600.0)));
        }
        let Some(server) = self.servers.get_mut(&id) else { return TrackerReply::TracksNone };
        server.note_prefixes(now, query.prompt);
        let key = server.key;
        let reserved = ServerShare {
            server: key,
            requests: 1,
            deferrable: u32::from(query.deferrable),
            prompt_tokens: uncached,
            ..ServerShare::default()
        };
        let preempts = if preempts { self.peers.take_deferrable(now, key) } else { None };
        if self.tracked.is_own(query.from) {
            self.peers.note_own_reserved(now, query.from, reserved);
        } else {
            self.peers.note_reserved(now, query.from, &reserved);
        }
        TrackerReply::Send { server: key, uncached, wait: Duration::from_secs_f64(wait.min(3600.0)), preempts }
    }

    /// Whether the reserve stays free if one more deferrable request starts. It is checked over
    /// a sample of the tracked servers together, since an online request may go to any of them.
    fn leaves_reserve_free(&self, now: Instant, query: &TrackerQuery<'_>) -> bool {
        let rings = self.tracked.rings.get(&query.service).into_iter();
        let sampled_servers = rings.flat_map(|ring| ring.sampled_servers(None, query.spread));
        let servers = sampled_servers.filter_map(|id| self.servers.get(id)).filter(|server| server.ready);
        let (mut free, mut slots) = (0.0, 0.0);
        for server in servers {
            free += self.view(now, server).exact_free(false).max(0.0);
            slots += f64::from(server.slots());
        }
        free - 1.0 >= slots * query.reserve
    }

    /// Selects the server with the lowest cost from a sample of the tracked servers.
    fn choose_tracked(&self, now: Instant, query: &TrackerQuery<'_>) -> Option<TrackedChoice> {
        let ring = self.tracked.ring_of(query)?;
        // The tracked servers may include one that was removed since they were computed.
        let first = ring.all().find_map(|id| self.servers.get(id))?;
        let cost = self.services.get(&first.service).copied().unwrap_or_default();
        let key = query.prompt.affinity_key();
        let affinity = key.and_then(|key| self.affinity_server(&first.service, key));
        let has_others = self.has_others_tracked(ring, query);
        let mut best: Option<(f64, f64, TrackedChoice)> = None;
        for id in ring.sampled_servers(key, query.spread) {
            let Some(server) = self.servers.get(id).filter(|server| server.ready) else { continue };
            let avoided = query.avoid.contains(&server.key) && has_others;
            if avoided {
                continue;
            }
            let view = self.view(now, server);
            let wait = view.exact_wait(&cost, query.deferrable);
            let preempts = !query.deferrable && view.is_held_by_deferrable();
            let uncached = server.uncached(now, query.prompt, affinity.as_ref() == Some(id));
            let preemption_cost = if preempts { PREEMPTION_COST } else { 0.0 };
            let contention = view.contention(&cost, query.prompt.output_tokens);
            let cost_seconds = wait + view.penalty() + view.prefill(&cost, uncached) + contention + preemption_cost;
            let order = spread_order(&view, query.spread);
            let better = best.as_ref().is_none_or(|(lowest_cost, lowest_order, _)| {
                cost_seconds < lowest_cost - super::TIE_SECONDS
                    || (cost_seconds < lowest_cost + super::TIE_SECONDS && order < *lowest_order)
            });
            if better {
                best = Some((cost_seconds, order, TrackedChoice { id: id.clone(), wait, uncached, preempts }));
            }
        }
        best.map(|(_, _, chosen)| chosen)
    }

    /// Whether the ring has more servers than those of earlier attempts.
    fn has_others_tracked(&self, ring: &ServerRing, query: &TrackerQuery<'_>) -> bool {
        let runs = |key: &&ServerKey| {
            let state = self.ids.get(*key).and_then(|id| self.servers.get(id));
            state.is_some_and(|state| state.runs(query.software))
        };
        let avoided = match query.software {
            None => query.avoid.len(),
            Some(_) => query.avoid.iter().filter(runs).count(),
        };
        ring.len() > avoided
    }

    /// Records the changes at servers that another node sent.
    pub fn note_peer_changes(&mut self, now: Instant, from: NodeId, sequence: u64, mut changed: Vec<ServerShare>) {
        self.take_speed_updates(now, &mut changed);
        self.peers.note_changes(now, from, sequence, changed);
    }

    /// Returns this node's present shares at the servers that changed since the last call, for
    /// their trackers.
    pub fn take_changes(&mut self, now: Instant) -> Vec<ServerShare> {
        let changed = std::mem::take(&mut self.tracked.changed);
        let shares = changed.into_iter().map(|key| {
            let state = self.ids.get(&key).and_then(|id| self.servers.get(id));
            let nothing = ServerShare { server: key, ..ServerShare::default() };
            state.and_then(|state| state.share(now)).unwrap_or(nothing)
        });
        let mut shares: Vec<ServerShare> = shares.collect();
        self.add_speed_updates(now, &mut shares);
        shares
    }

    /// Whether there are changes to send to trackers.
    pub fn has_changes(&self) -> bool {
        !self.tracked.changed.is_empty()
    }

    /// Returns the tracker of the affinity server of a prompt.
    pub fn tracker_of_prompt(&self, service: &str, prompt: &Prompt, trackers: &[NodeId]) -> Option<NodeId> {
        let affinity = self.affinity_server(service, prompt.affinity_key()?)?;
        tracker_of(self.servers.get(&affinity)?.key, trackers)
    }

    /// Returns the seconds to prefill the part of a prompt that other requests share.
    pub fn shared_prefill_seconds(&self, service: &str, prompt: &Prompt) -> f64 {
        let cost = self.services.get(service).copied().unwrap_or_default();
        cost.prefill(f64::from(prompt.shared_tokens()))
    }
}

/// Sort key for servers of equal cost: emptier ones first, then random.
fn spread_order(view: &ServerView<'_>, spread: u64) -> f64 {
    let hash = stable_pair_hash(u64::from(view.state.key.0), spread);
    let chance = hash as f64 / u64::MAX as f64;
    chance - view.exact_free(false)
}
