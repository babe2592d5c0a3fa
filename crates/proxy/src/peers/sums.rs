//! Sums over all nodes: making and sending them as an aggregator, and taking them over.

use super::{PeerExchange, SHARE_LIMIT};
use crate::dialect::Dialect;
use latchwheel_core::dispatch::{NodeShares, SharesSum};
use latchwheel_core::headroom::PeerHeadroomCounts;
use latchwheel_core::identity::NodeId;
use latchwheel_protocol::{v1, Message};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A sum is sent to all that ask within this time: 330 nodes ask an aggregator 2,200
/// times a second, and making a sum looks at the reports of all nodes. A node's own
/// part of it is that much older than what the node tells.
const SUM_LIFE: Duration = Duration::from_millis(10);
/// The sum over all nodes, ready to be sent.
#[derive(Debug, Default)]
pub(super) struct PreparedSum {
    made_at: Option<Instant>,
    datagrams: Vec<Vec<u8>>,
}

impl<D: Dialect> PeerExchange<D> {
    /// Sends the sum over all nodes to one that asked for it, if the budget
    /// allows.
    pub(super) fn send_sum(&mut self, to: SocketAddr) {
        if !self.sum_budget.allows(self.shared.clock.now()) {
            return;
        }
        if self.sum.made_at.is_none_or(|at| at.elapsed() >= SUM_LIFE) {
            self.sum = PreparedSum { made_at: Some(Instant::now()), datagrams: self.make_sum() };
        }
        for datagram in &self.sum.datagrams {
            self.sum_budget.spend(self.send_bytes(datagram, to));
        }
    }

    /// The sum over all nodes as datagrams.
    fn make_sum(&mut self) -> Vec<Vec<u8>> {
        let sum = self.shared.dispatcher().shares_of_all(self.shared.clock.now());
        let rooms = self.shared.machine_room.sum(self.shared.clock.now());
        self.sequence += 1;
        let datagram = |part: SharesSum| {
            let report = v1::ServerShares {
                sum_parts: part.parts as u32,
                sum_part: part.part as u32,
                keepers: self.keepers.iter().map(|keeper| keeper.0).collect(),
                deputies_needed: self.deputies_needed,
                rooms_told: rooms.nodes,
                busy_nodes: rooms.busy,
                ..self.report(&part.shares)
            };
            report.encode_to_vec()
        };
        sum.into_parts(SHARE_LIMIT).into_iter().map(datagram).collect()
    }

    /// What a sum tells of the rooms of all nodes, this one among them.
    fn note_rooms(&self, report: &v1::ServerShares) {
        let own = self.shared.machine_room.message();
        let own_busy = own.is_some_and(|room| room.busy);
        let others = PeerHeadroomCounts {
            nodes: report.rooms_told.saturating_sub(u32::from(own.is_some())),
            busy: report.busy_nodes.saturating_sub(u32::from(own_busy)),
        };
        self.shared.machine_room.note_sum(self.shared.clock.now(), others);
    }

    /// A keeper of servers hears all nodes itself.
    pub(super) fn take_sum(&mut self, report: &v1::ServerShares, shares: NodeShares) {
        if self.keeps_servers() {
            return;
        }
        self.sum_at = Instant::now();
        self.told_keepers = report.keepers.iter().map(|keeper| NodeId(*keeper)).collect();
        self.deputies_needed = report.deputies_needed;
        self.note_rooms(report);
        let sum = SharesSum { parts: report.sum_parts as usize, part: report.sum_part as usize, shares };
        self.shared.dispatcher().note_sum(self.shared.clock.now(), sum, &self.told);
    }
}
