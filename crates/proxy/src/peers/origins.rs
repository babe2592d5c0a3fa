//! Messages about the software that began a stream.

use super::{PeerExchange, Peers, SHARE_LIMIT};
use crate::dialect::Dialect;
use crate::stream_origins::{NewRecord, NodeQuery};
use latchwheel_core::identity::NodeId;
use latchwheel_protocol::v1;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

impl<D: Dialect> PeerExchange<D> {
    /// Takes over which nodes there are, if that changed.
    pub(super) fn update_members(&mut self, peers: &Peers) {
        let version = Some(peers.changes());
        if self.members_version == version {
            return;
        }
        self.members_version = version;
        self.members = peers.addresses();
        let others: Vec<NodeId> = self.members.keys().copied().collect();
        self.shared.stream_origins.set_nodes(self.own, &others);
    }

    /// Sends a new record, and those that wait behind it, to the replicas of their streams.
    pub(super) fn send_new_records(
        &mut self,
        first: NewRecord,
        waiting: Option<&mut mpsc::Receiver<NewRecord>>,
        peers: &Peers,
    ) {
        self.update_members(peers);
        let mut records = vec![first];
        if let Some(waiting) = waiting {
            records.extend(std::iter::from_fn(|| waiting.try_recv().ok()).take(SHARE_LIMIT));
        }
        let mut by_replica: HashMap<SocketAddr, Vec<v1::StreamOrigin>> = HashMap::new();
        for record in records {
            let replicas = self.shared.stream_origins.other_replicas(record.stream);
            for address in replicas.iter().filter_map(|replica| self.members.get(replica)) {
                by_replica.entry(*address).or_default().push(record.message());
            }
        }
        for (address, stream_origins) in by_replica {
            self.send(&v1::ServerShares { from: self.own.0, stream_origins, ..Default::default() }, address);
        }
    }

    pub(super) fn send_origin_query(&mut self, query: NodeQuery, peers: &Peers) {
        self.update_members(peers);
        let Some(address) = self.members.get(&query.node) else { return };
        let stream_origin_query = Some(query.query);
        self.send(&v1::ServerShares { from: self.own.0, stream_origin_query, ..Default::default() }, *address);
    }

    pub(super) fn reply_origin(&self, query: &v1::StreamOriginQuery, to: SocketAddr) {
        let stream_origin_reply = Some(self.shared.stream_origins.reply(self.shared.clock.now(), query));
        self.send(&v1::ServerShares { from: self.own.0, stream_origin_reply, ..Default::default() }, to);
    }
}
