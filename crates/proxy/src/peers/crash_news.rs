//! News of requests that end servers, among nodes.

use super::{PeerExchange, Peers, AGGREGATOR_SILENCE};
use crate::crashes::{Audience, DecidingRank};
use crate::dialect::Dialect;
use latchwheel_protocol::v1;
use std::net::SocketAddr;

impl<D: Dialect> PeerExchange<D> {
    /// Sends what is to be sent to other nodes.
    pub(super) fn tell_crash_news(&self, peers: &Peers) {
        self.tell_deciding_rank();
        for message in self.shared.crashes.take_messages() {
            let addresses: Vec<SocketAddr> = match message.audience {
                Audience::Deciding => self.candidates.iter().filter_map(|candidate| candidate.address).collect(),
                Audience::All => peers.all().iter().map(|peer| peer.address).collect(),
            };
            let report =
                v1::ServerShares { from: self.own.0, quarantine: Some(message.news), ..v1::ServerShares::default() };
            for address in addresses {
                self.send(&report, address);
            }
        }
    }

    /// Another node reported the digest of the verdicts that it knows.
    pub(super) fn compare_verdicts(&self, digest: u64, from: SocketAddr) {
        for news in self.shared.crashes.table_for(digest) {
            let report = v1::ServerShares { from: self.own.0, quarantine: Some(news), ..v1::ServerShares::default() };
            self.send(&report, from);
        }
    }

    /// Whether this node decides on requests that end servers may have changed.
    pub(super) fn tell_deciding_rank(&self) {
        self.shared.crashes.set_rank(self.deciding_rank());
    }

    /// Candidates hear of all servers that end.
    fn deciding_rank(&self) -> DecidingRank {
        let own = self.candidates.iter().position(|candidate| candidate.address.is_none());
        DecidingRank {
            place: own.unwrap_or(self.candidates.len()),
            hears_all: own.is_some(),
            hears_others: self.candidate_heard_at.is_some_and(|at| at.elapsed() <= AGGREGATOR_SILENCE),
        }
    }
}
