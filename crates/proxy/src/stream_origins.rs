//! Records of the software that began a stream: kept here for other nodes, and searched for
//! at other nodes.
//!
//! [`latchwheel_core::stream_origins`] decides where records are kept and what replies mean.

use crate::dialect::Dialect;
use crate::handoff::Handoff;
use crate::shared::Shared;
use latchwheel_core::identity::NodeId;
use latchwheel_core::software::{SoftwareHistory, SoftwareKey, VersionsSeen};
use latchwheel_core::stream_origins::{
    NodeRing, Origin, OriginReply, OriginSearch, Quorum, StreamKey, StreamOrigins as Records,
};
use latchwheel_core::time::Instant as CoreInstant;
use latchwheel_protocol::v1;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time in which the origin of a stream must be found.
const SEARCH_TIME: Duration = Duration::from_millis(150);
/// Time after which nodes that did not reply are queried again.
const RESEND_AFTER: Duration = Duration::from_millis(25);
/// Pause between two checks for other nodes while none is known.
const MEMBERS_PAUSE: Duration = Duration::from_millis(10);

/// A record to be sent to the replicas of its stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewRecord {
    pub(crate) stream: StreamKey,
    pub(crate) software: SoftwareKey,
    pub(crate) keep: Duration,
}

impl NewRecord {
    pub(crate) fn message(&self) -> v1::StreamOrigin {
        v1::StreamOrigin {
            stream: self.stream.0,
            software: self.software.number(),
            keep_ms: u32::try_from(self.keep.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// A query to another node.
#[derive(Clone, Debug)]
pub(crate) struct NodeQuery {
    pub(crate) node: NodeId,
    pub(crate) query: v1::StreamOriginQuery,
}

/// What is searched for.
#[derive(Clone, Debug)]
pub(crate) struct OriginQuery {
    pub(crate) stream: StreamKey,
    pub(crate) quorum: Quorum,
    /// Hashes of the names of the services of the stream's route.
    pub(crate) services: Vec<u64>,
    /// Longest time since the stream can have begun.
    pub(crate) window: Duration,
}

#[derive(Debug, Default)]
struct State {
    records: Records,
    history: SoftwareHistory,
    own: NodeId,
    ring: NodeRing,
    /// Whether any other node is known.
    has_members: bool,
    searches: HashMap<u64, mpsc::UnboundedSender<(NodeId, OriginReply)>>,
    last_number: u64,
}

/// Origins of streams, at this node and at others.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    state: Mutex<State>,
    pub(crate) new_records: Handoff<NewRecord>,
    pub(crate) queries: Handoff<NodeQuery>,
}

impl StreamOrigins {
    /// Records the versions that accept requests now, each with the hash of its service.
    pub fn observe(&self, now: CoreInstant, present: &[(u64, SoftwareKey)]) {
        self.lock().history.observe(now, present);
    }

    /// All changes of the servers until this time have been recorded.
    pub fn note_complete(&self, as_of: CoreInstant) {
        self.lock().history.note_complete(as_of);
    }

    /// Sets the nodes that keep records, this one among them.
    pub(crate) fn set_nodes(&self, own: NodeId, others: &[NodeId]) {
        let mut state = self.lock();
        state.own = own;
        state.ring = NodeRing::new(others.iter().copied().chain([own]));
        state.has_members = !others.is_empty();
    }

    /// Replicas of a stream other than this node.
    pub(crate) fn other_replicas(&self, stream: StreamKey) -> Vec<NodeId> {
        let state = self.lock();
        state.ring.replicas(stream).into_iter().filter(|replica| *replica != state.own).collect()
    }

    /// Nodes other than this one and the replicas that may know which versions served.
    fn other_observers(&self, stream: StreamKey) -> Vec<NodeId> {
        let state = self.lock();
        state.ring.other_observers(stream).into_iter().filter(|node| *node != state.own).collect()
    }

    /// A stream began at this node, or continues here: it is recorded here and at its replicas.
    pub(crate) fn note_begun(&self, now: CoreInstant, record: NewRecord) {
        self.lock().records.record(now, record.stream, record.software, record.keep);
        self.new_records.put(record);
    }

    /// Keeps the records that another node sent.
    pub(crate) fn take_records(&self, now: CoreInstant, records: &[v1::StreamOrigin]) {
        let mut state = self.lock();
        for record in records {
            let Some(software) = SoftwareKey::from_number(record.software) else { continue };
            let keep = Duration::from_millis(u64::from(record.keep_ms));
            state.records.record(now, StreamKey(record.stream), software, keep);
        }
    }

    /// Replies to another node's query.
    pub(crate) fn reply(&self, now: CoreInstant, query: &v1::StreamOriginQuery) -> v1::StreamOriginReply {
        let window = Duration::from_millis(u64::from(query.window_ms));
        let known = self.lock().known(now, StreamKey(query.stream), &query.services, window);
        let only_software = match known.seen {
            VersionsSeen::One(software) => software.number(),
            VersionsSeen::Several | VersionsSeen::Unknown => 0,
        };
        v1::StreamOriginReply {
            number: query.number,
            software: known.software.map_or(0, SoftwareKey::number),
            only_software,
            several: known.seen == VersionsSeen::Several,
        }
    }

    /// Takes the reply of another node.
    pub(crate) fn take_reply(&self, from: NodeId, reply: &v1::StreamOriginReply) {
        let seen = match SoftwareKey::from_number(reply.only_software) {
            _ if reply.several => VersionsSeen::Several,
            Some(software) => VersionsSeen::One(software),
            None => VersionsSeen::Unknown,
        };
        let known = OriginReply { software: SoftwareKey::from_number(reply.software), seen };
        if let Some(search) = self.lock().searches.get(&reply.number) {
            // The search may just have ended.
            let _ = search.send((from, known));
        }
    }

    /// Searches for the software that began a stream, at this node, at the stream's replicas, and
    /// at other nodes where these don't know.
    pub(crate) async fn find<D: Dialect>(&self, shared: &Shared<D>, query: &OriginQuery) -> Origin {
        let deadline = Instant::now() + SEARCH_TIME;
        if let Some(software) = self.lock().records.software(shared.clock.now(), query.stream) {
            return Origin::Recorded(software);
        }
        self.await_members(deadline).await;
        let own = self.lock().known(shared.clock.now(), query.stream, &query.services, query.window);
        let (replicas, others) = (self.other_replicas(query.stream), self.other_observers(query.stream));
        let mut search = OriginSearch::new(query.quorum, own, replicas, others);
        let mut replies = Replies::new(self);
        while search.origin() == Origin::Pending && Instant::now() < deadline {
            self.query_nodes(query, replies.number, search.waiting());
            let resend_at = deadline.min(Instant::now() + RESEND_AFTER);
            let had_all_replicas = search.has_all_replicas();
            while search.origin() == Origin::Pending && search.has_all_replicas() == had_all_replicas {
                let Ok(Some((from, reply))) = tokio::time::timeout_at(resend_at, replies.received.recv()).await else {
                    break;
                };
                search.note_reply(from, reply);
            }
        }
        search.origin()
    }

    /// After a start the other nodes become known within a short time.
    async fn await_members(&self, deadline: Instant) {
        while !self.lock().has_members && Instant::now() < deadline {
            tokio::time::sleep(MEMBERS_PAUSE).await;
        }
    }

    fn query_nodes(&self, query: &OriginQuery, number: u64, nodes: &[NodeId]) {
        for node in nodes {
            let query = v1::StreamOriginQuery {
                number,
                stream: query.stream.0,
                services: query.services.clone(),
                window_ms: u32::try_from(query.window.as_millis()).unwrap_or(u32::MAX),
            };
            self.queries.put(NodeQuery { node: *node, query });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn known(&self, now: CoreInstant, stream: StreamKey, services: &[u64], window: Duration) -> OriginReply {
        OriginReply { software: self.records.software(now, stream), seen: self.history.seen(now, services, window) }
    }
}

/// Receives the replies to one search until it is dropped.
struct Replies<'a> {
    origins: &'a StreamOrigins,
    number: u64,
    received: mpsc::UnboundedReceiver<(NodeId, OriginReply)>,
}

impl<'a> Replies<'a> {
    fn new(origins: &'a StreamOrigins) -> Self {
        let (sender, received) = mpsc::unbounded_channel();
        let mut state = origins.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.searches.insert(number, sender);
        Self { origins, number, received }
    }
}

impl Drop for Replies<'_> {
    fn drop(&mut self) {
        self.origins.lock().searches.remove(&self.number);
    }
}
