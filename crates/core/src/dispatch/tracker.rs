//! Keepers: nodes that know what runs at some servers at any moment.
//!
//! What nodes hear of each other by reports is a few hundred milliseconds old, too
//! old where nearly all slots are taken: requests queue at one server while another
//! is free. So each server has a keeper, one of the nodes that sum up loads, named by
//! rendezvous hashing. A node asks a keeper for a server and is advised one that the
//! keeper counts as taken from then on; nodes tell the keeper at once when a request
//! has ended.
//!
//! A keeper only advises. What it counts is replaced by what nodes tell of
//! themselves, and a node that gets no answer chooses by what it knows itself. So
//! nothing is agreed upon, nothing leaks, and two keepers of one server do no harm.

use super::ring::ServerRing;
use super::{Coverage, Dispatcher, Prompt, ServerKey, ServerShare, ServerView};
use crate::identity::{stable_hash, stable_pair_hash, NodeId};
use crate::permits::Coordinator;
use crate::time::Instant;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Seconds by which a server is worse where deferrable work has to give way first:
/// its worker is asked by a datagram and closes a connection.
const PREEMPTION_COST: f64 = 0.004;

/// Servers at whose room one look around looks. A node looks around each 150 ms, so that
/// a round over 10,000 servers takes 3 s; up to so many servers each look sees all.
const SERVERS_PER_CALL: usize = 512;

/// Told to deferrable work for which there is no room.
const DEFERRABLE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request that asks a keeper for a server.
#[derive(Debug)]
pub struct TrackerQuery<'a> {
    /// Node that asks.
    pub from: NodeId,
    /// Hash of the service's name.
    pub service: u64,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Servers that were asked before.
    pub avoid: &'a [ServerKey],
    /// Longest wait for a slot that is worth taking.
    pub wait_limit: Duration,
    /// Whether the work can wait and give way.
    pub deferrable: bool,
    /// Share of the slots of all kept servers that must stay free, 0 to 1.
    pub reserve: f64,
    /// Whether deferrable work may have to give way to it.
    pub may_preempt: bool,
    /// Any number; spreads requests among equal servers.
    pub spread: u64,
}

/// A keeper's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum TrackerReply {
    /// Send it to this server.
    Send {
        /// The server.
        server: ServerKey,
        /// Prompt tokens that are expected to be read anew.
        uncached: u32,
        /// Expected wait for a slot.
        wait: Duration,
        /// Node that is to break off a deferrable run there.
        preempts: Option<NodeId>,
    },
    /// The least wait at a server is longer than what is worth taking.
    Full(Duration),
    /// This node keeps no server of the service.
    TracksNone,
}

/// The servers of which a node is the keeper, and what it has to tell keepers.
#[derive(Debug, Default)]
pub(super) struct TrackedServers {
    /// Kept servers by the hash of their service's name.
    rings: HashMap<u64, ServerRing>,
    /// For which keepers and servers that holds.
    computed_from: Option<TrackingInputs>,
    /// Servers at which something changed that their keepers were not told.
    changed: BTreeSet<ServerKey>,
    free_slots_pass: FreeSlotsPass,
}

/// A round over all servers that adds up the free slots of each keeper's.
#[derive(Debug, Default)]
struct FreeSlotsPass {
    trackers: Vec<NodeId>,
    /// Servers that the round has not looked at.
    left: Vec<Arc<str>>,
    sums: Vec<(NodeId, f64)>,
    /// What the last round found, or the first part of the first one.
    last_sums: Vec<(NodeId, f64)>,
}

/// What decides which servers a node keeps.
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
}

/// A server that a keeper chose.
struct TrackedChoice {
    id: Arc<str>,
    /// Seconds until a slot is free.
    wait: f64,
    /// Prompt tokens to read anew.
    uncached: u32,
    /// Whether a deferrable run is to give way.
    preempts: bool,
}

/// Which of the nodes that may keep servers do so: those that hear others best, and
/// deputies only where no other hears as well. None where all hear too few.
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

/// The keeper of a server among these nodes.
pub fn tracker_of(server: ServerKey, trackers: &[NodeId]) -> Option<NodeId> {
    trackers.iter().copied().max_by_key(|tracker| stable_pair_hash(tracker.0, u64::from(server.0)))
}

impl Dispatcher {
    /// This node is the keeper of the servers that fall to it among `trackers`. Called
    /// again while nothing changed, it looks at no server.
    pub fn set_tracked(&mut self, own: NodeId, trackers: &[NodeId]) {
        let present = TrackingInputs { own, trackers: trackers.to_vec(), servers_version: self.servers_version };
        if self.tracked.computed_from.as_ref() == Some(&present) {
            return;
        }
        self.tracked.computed_from = Some(present);
        self.tracked.rings.clear();
        for (id, server) in self.servers.iter().filter(|(_, server)| server.ready) {
            if tracker_of(server.key, trackers) == Some(own) {
                let service = stable_hash(server.service.as_bytes());
                self.tracked.rings.entry(service).or_default().insert(server.id_hash, id);
            }
        }
    }

    /// The keepers with the free slots of their servers, as this node believes. Each
    /// call looks at a bounded number of servers, and gives back what the last round over
    /// all of them found: it decides only which keeper is asked first.
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
            let free = self.view(now, server).free_for_urgent(0.0).max(0.0);
            pass.sums.iter_mut().filter(|(node, _)| *node == tracker).for_each(|(_, sum)| *sum += free);
        }
        if pass.left.is_empty() || pass.last_sums.is_empty() {
            pass.last_sums.clone_from(&pass.sums);
        }
        let last_sums = pass.last_sums.clone();
        self.tracked.free_slots_pass = pass;
        last_sums
    }

    /// Advises a server to another node, and counts the request there from now on.
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
        self.peers.note_reserved(now, query.from, &reserved);
        TrackerReply::Send { server: key, uncached, wait: Duration::from_secs_f64(wait.min(3600.0)), preempts }
    }

    /// Whether deferrable work leaves enough slots free: of all kept servers together,
    /// since an urgent request may go to any of them.
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

    /// The kept server with the soonest first token.
    fn choose_tracked(&self, now: Instant, query: &TrackerQuery<'_>) -> Option<TrackedChoice> {
        let ring = self.tracked.rings.get(&query.service)?;
        // A server that was removed a moment ago may be among them.
        let first = ring.all().find_map(|id| self.servers.get(id))?;
        let cost = self.services.get(&first.service).copied().unwrap_or_default();
        let key = query.prompt.affinity_key();
        let affinity = key.and_then(|key| self.affinity_server(&first.service, key));
        let mut best: Option<(f64, f64, TrackedChoice)> = None;
        for id in ring.sampled_servers(key, query.spread) {
            let Some(server) = self.servers.get(id).filter(|server| server.ready) else { continue };
            let avoided = query.avoid.contains(&server.key) && ring.len() > query.avoid.len();
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

    /// What another node tells of servers at which something changed.
    pub fn note_peer_changes(&mut self, now: Instant, from: NodeId, sequence: u64, mut changed: Vec<ServerShare>) {
        self.take_speed_updates(now, &mut changed);
        self.peers.note_changes(now, from, sequence, changed);
    }

    /// What this node does at the servers where something changed since this was
    /// asked last, for their keepers.
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

    /// Whether there is something to tell keepers.
    pub fn has_changes(&self) -> bool {
        !self.tracked.changed.is_empty()
    }

    /// The keeper of the server where prompts with this prefix are kept.
    pub fn tracker_of_prompt(&self, service: &str, prompt: &Prompt, trackers: &[NodeId]) -> Option<NodeId> {
        let affinity = self.affinity_server(service, prompt.affinity_key()?)?;
        tracker_of(self.servers.get(&affinity)?.key, trackers)
    }

    /// Seconds to read the part of a prompt that other requests share.
    pub fn shared_prefill_seconds(&self, service: &str, prompt: &Prompt) -> f64 {
        let cost = self.services.get(service).copied().unwrap_or_default();
        cost.prefill(f64::from(prompt.shared_tokens()))
    }
}

/// Orders equal servers: the emptier ones first, then by chance.
fn spread_order(view: &ServerView<'_>, spread: u64) -> f64 {
    let hash = stable_pair_hash(u64::from(view.state.key.0), spread);
    let chance = hash as f64 / u64::MAX as f64;
    chance - view.exact_free(false)
}
