//! What nodes do for each other beside telling of their requests: keeping servers, and
//! keeping the limits of tenants.

use super::known::{Candidate, OwnDuty};
use super::messages::message_of;
use super::{PeerExchange, Peers, AGGREGATOR_SILENCE, DIRECT_LIMIT, SHARE_LIMIT};
use crate::claims::Withdrawal;
use crate::dialect::Dialect;
use crate::keeper_claims::{ClaimAnswer, RENEW_EVERY};
use crate::permits::request_of;
use crate::placements::{KeeperCall, RoomOrder};
use latchwheel_core::dispatch::{select_trackers, tracker_of, Coverage};
use latchwheel_core::identity::NodeId;
use latchwheel_core::permits::{Coordinator, PermitCall};
use latchwheel_events::{emit, Event};
use latchwheel_protocol::v1;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

impl<D: Dialect> PeerExchange<D> {
    /// Whether this node may have to sum up what all tell.
    pub(super) fn is_candidate(&self) -> bool {
        self.candidates.iter().any(|candidate| candidate.address.is_none())
    }

    /// Whether this node keeps servers: it hears all others directly then.
    pub(super) fn keeps_servers(&self) -> bool {
        self.keepers.contains(&self.own)
    }

    /// All nodes that may keep tenants' limits.
    pub(super) fn homes(&self) -> Vec<Coordinator> {
        self.candidates.iter().map(|candidate| candidate.home).collect()
    }

    pub(super) fn candidate_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.candidates.iter().find(|candidate| candidate.home.node == node)?.address
    }

    /// Asks the homes of tenants for permits that requests wait for. A call that
    /// is lost is made again.
    pub(super) fn ask_for_permits(&mut self, peers: &Peers) {
        let homes = self.homes();
        let table = self.shared.table();
        let calls = self.shared.permits.calls(self.own, &homes, peers.count(), &table.tenants);
        for (home, requests) in by_home(&calls) {
            let Some(address) = self.candidate_address(home) else { continue };
            for requests in requests.chunks(SHARE_LIMIT) {
                let permit_requests = requests.to_vec();
                self.send(&v1::ServerShares { from: self.own.0, permit_requests, ..Default::default() }, address);
            }
        }
    }

    /// Measures the room of this machine; this task ran so much later than it was due.
    pub(super) fn look_at_room(&self, delay: Duration) {
        let now = self.shared.clock.now();
        let target = self.shared.table().shortest_target();
        self.shared.machine_room.note_delay(now, delay, target);
        self.shared.machine_room.look(now, self.keeps_servers());
    }

    /// Looks which nodes may sum up what all tell, and which keep servers now.
    pub(super) fn look_around(&mut self, peers: &Peers) {
        let duty = match (self.duties.aggregates, self.duties.sends_heartbeat) {
            (true, _) => OwnDuty::Aggregates,
            (false, true) => OwnDuty::Nothing,
            (false, false) => OwnDuty::MayStandIn,
        };
        let version = peers.version();
        if version.is_none() || version != self.candidates_version {
            self.candidates = peers.candidates(&self.name, duty);
            self.candidates_version = version;
        }
        if self.is_candidate() {
            self.shared.permits.tick_home(peers.count());
        }
        let hears_directly = self.is_candidate() || peers.count() <= DIRECT_LIMIT;
        let mut keepers = if hears_directly { self.look_at_keepers(peers) } else { self.keepers_by_sum() };
        keepers.sort_unstable();
        if keepers != self.keepers {
            let (own, deputies_needed) = (keepers.contains(&self.own), self.deputies_needed);
            emit("", &Event::KeepersChanged { keepers: keepers.len(), own, deputies_needed });
        }
        self.keepers = keepers;
        let mut dispatcher = self.shared.dispatcher();
        if self.is_candidate() {
            dispatcher.set_tracked(self.own, &self.keepers);
        }
        if self.keeps_servers() {
            dispatcher.forget_sum();
        }
        let rooms = dispatcher.free_slots_of_trackers(self.shared.clock.now(), &self.keepers);
        drop(dispatcher);
        self.shared.placements.set_keepers(self.own, rooms);
        if self.shared.placements.has_keepers() {
            self.shared.start.turns.finish(self.shared.clock.now());
        }
    }

    /// Keepers by what the candidates tell this node itself.
    fn look_at_keepers(&mut self, peers: &Peers) -> Vec<NodeId> {
        let now = self.shared.clock.now();
        let mut dispatcher = self.shared.dispatcher();
        let own = dispatcher.update_coverage(now, peers.count(), &peers.workers());
        let hearing = |candidate: &Candidate| match candidate.address {
            None => own,
            Some(_) => dispatcher.coverage_of(now, candidate.home.node),
        };
        let heard: Vec<(Coordinator, Coverage)> =
            self.candidates.iter().map(|candidate| (candidate.home, hearing(candidate))).collect();
        let enough = heard.iter().any(|(home, hearing)| !home.fallback && *hearing == Coverage::Enough);
        self.deputies_needed = !enough;
        select_trackers(&heard)
    }

    /// Keepers by the last sum; all that may be where there was none lately, so that
    /// they are asked rather than nobody.
    fn keepers_by_sum(&mut self) -> Vec<NodeId> {
        if self.sum_at.elapsed() <= AGGREGATOR_SILENCE {
            return self.told_keepers.clone();
        }
        self.deputies_needed = true;
        self.candidates.iter().map(|candidate| candidate.home.node).collect()
    }

    pub(super) fn call_keeper(&self, call: KeeperCall) {
        let Some(address) = self.candidate_address(call.keeper) else { return };
        let message =
            v1::ServerShares { from: self.own.0, placement_request: Some(call.request), ..Default::default() };
        self.send(&message, address);
    }

    pub(super) fn reserve_server(&self, asker: NodeId, request: v1::PlacementRequest, to: SocketAddr, peers: &Peers) {
        let answers = self.shared.keeper_claims.ask(&self.shared, asker, Some(to), request);
        self.answer_claims(answers, peers);
    }

    /// Gives slots that came free to claims that wait.
    pub(super) fn grant_claims(&self, peers: &Peers) {
        if self.shared.keeper_claims.has_claims() {
            self.answer_claims(self.shared.keeper_claims.grant(&self.shared), peers);
        }
    }

    /// Tells nodes which of their claims wait here, now and then.
    pub(super) fn renew_claims(&mut self, peers: &Peers) {
        self.claims_renewed_at = Instant::now();
        if !self.keeps_servers() {
            self.answer_claims(self.shared.keeper_claims.dissolve(), peers);
            return;
        }
        self.grant_claims(peers);
        for renewal in self.shared.keeper_claims.renewals(self.shared.clock.now()) {
            let Some(address) = renewal.address else {
                self.shared.placements.take_renewals(&renewal.numbers);
                continue;
            };
            for numbers in renewal.numbers.chunks(SHARE_LIMIT) {
                let queued_claims = numbers.to_vec();
                self.send(&v1::ServerShares { from: self.own.0, queued_claims, ..Default::default() }, address);
            }
        }
    }

    /// Time until claims are to be looked at without news; `None` while there are none.
    pub(super) fn claims_due(&self) -> Option<Duration> {
        let waits = self.shared.keeper_claims.has_claims();
        waits.then(|| RENEW_EVERY.saturating_sub(self.claims_renewed_at.elapsed()))
    }

    pub(super) fn answer_claims(&self, answers: Vec<ClaimAnswer>, peers: &Peers) {
        for answer in answers {
            self.answer_claim(answer, peers);
        }
    }

    /// Tells a node what became of its claim, and a worker to give way for it.
    pub(super) fn answer_claim(&self, answer: ClaimAnswer, peers: &Peers) {
        match answer.address {
            None => self.shared.placements.take_advice(answer.advice),
            Some(address) => {
                let placement_advice = Some(answer.advice);
                self.send(&v1::ServerShares { from: self.own.0, placement_advice, ..Default::default() }, address);
            }
        }
        if let Some(order) = answer.order {
            self.order_room(order, peers);
        }
    }

    /// A request does not wait at a keeper any more.
    pub(super) fn withdraw_claim(&self, withdrawal: Withdrawal) {
        let withdrawn_claims = vec![withdrawal.number];
        if withdrawal.keeper == self.own {
            self.shared.keeper_claims.withdraw(self.own, &withdrawn_claims);
            return;
        }
        let Some(address) = self.candidate_address(withdrawal.keeper) else { return };
        self.send(&v1::ServerShares { from: self.own.0, withdrawn_claims, ..Default::default() }, address);
    }

    /// Asks one worker to break off one run at a server.
    pub(super) fn order_room(&self, order: RoomOrder, peers: &Peers) {
        let Some(address) = peers.worker_address(order.worker) else { return };
        let message = v1::ServerShares { from: self.own.0, room_ordered: vec![order.server.0], ..Default::default() };
        self.send(&message, address);
    }

    /// Tells the keepers of servers what changed there.
    pub(super) fn tell_changes(&mut self) {
        let changed = self.shared.dispatcher().take_changes(self.shared.clock.now());
        let mut by_keeper: HashMap<NodeId, Vec<v1::ServerShare>> = HashMap::new();
        for share in changed {
            let keeper = tracker_of(share.server, &self.keepers).filter(|keeper| *keeper != self.own);
            if let Some(keeper) = keeper {
                by_keeper.entry(keeper).or_default().push(message_of(&share));
            }
        }
        for (keeper, shares) in by_keeper {
            let Some(address) = self.candidate_address(keeper) else { continue };
            for shares in shares.chunks(SHARE_LIMIT) {
                self.sequence += 1;
                let (sequence, shares) = (self.sequence, shares.to_vec());
                let report =
                    v1::ServerShares { from: self.own.0, sequence, shares, changes_only: true, ..Default::default() };
                self.send(&report, address);
            }
        }
    }

    pub(super) fn grant_permits(&self, requests: &[v1::PermitRequest], to: SocketAddr) {
        let table = self.shared.table();
        let grants = self.shared.permits.answer(self.own, &self.homes(), &table.tenants, requests);
        self.send(&v1::ServerShares { from: self.own.0, permit_grants: grants, ..Default::default() }, to);
    }
}

/// Calls for permits, put together for each home.
fn by_home(calls: &[PermitCall]) -> HashMap<NodeId, Vec<v1::PermitRequest>> {
    let mut homes: HashMap<NodeId, Vec<v1::PermitRequest>> = HashMap::new();
    for call in calls {
        homes.entry(call.coordinator).or_default().push(request_of(call));
    }
    homes
}
