//! Which software began a stream, recorded where any node finds it.
//!
//! A client that takes a stream up again names the request that brought its first event, and
//! may reach any node. The node that begins a stream therefore sends a record to a few other
//! nodes, the *replicas* of the record. Rendezvous hashing of the stream's key selects them, so that every node
//! finds them without a directory, and each node keeps an equal share of the records.
//!
//! Records are soft state. A stream without one is continued only if two nodes observed, for
//! longer than any stream lasts, that a single version of the software served; otherwise it is
//! refused, because its events would be mixed with those of another version. Nodes that just
//! started have observed nothing: where most nodes lost their power at once, few can tell.

use crate::identity::{stable_hash, stable_pair_hash, HashKeyMap, NodeId};
use crate::software::{SoftwareKey, VersionsSeen};
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of replicas of a record, which survives the loss of all but one of them.
pub const REPLICAS: usize = 3;
/// Nodes that follow a stream's key in ring order, among which its replicas are selected.
const NEAR_KEY: usize = 16;
/// Nodes that must have observed the same single version. One may have been cut off from the
/// others without knowing it.
const OBSERVERS: usize = 2;
/// Maximum number of records that a node keeps.
const MAX_RECORDS: usize = 1 << 17;
/// Longest time for which a record is kept.
const MAX_KEEP: Duration = Duration::from_secs(600);

/// Key of a stream, from the identity of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Derives the key from the identity of a request.
    pub fn of(request: &str) -> Self {
        Self(stable_hash(request.as_bytes()))
    }
}

/// Records of streams at one node.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashKeyMap<u64, (SoftwareKey, Instant)>,
    /// Keys in the order in which they were recorded or renewed, each with the end of the record.
    order: VecDeque<(Instant, u64)>,
}

impl StreamOrigins {
    /// Records which software began a stream, for this time.
    pub fn record(&mut self, now: Instant, stream: StreamKey, software: SoftwareKey, keep: Duration) {
        let until = now + keep.min(MAX_KEEP);
        self.records.insert(stream.0, (software, until));
        self.order.push_back((until, stream.0));
        self.drop_expired(now);
    }

    /// The software that began a stream, if that is recorded.
    pub fn software(&self, now: Instant, stream: StreamKey) -> Option<SoftwareKey> {
        self.records.get(&stream.0).filter(|(_, until)| now <= *until).map(|(software, _)| *software)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((until, key)) = self.order.front().copied() {
            if until >= now && self.order.len() <= MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            // A record that was renewed has a later entry.
            if self.records.get(&key).is_some_and(|(_, end)| *end == until) {
                self.records.remove(&key);
            }
        }
    }
}

/// Nodes in the order of the hashes of their identities.
#[derive(Clone, Debug, Default)]
pub struct NodeRing {
    nodes: Vec<(u64, NodeId)>,
}

impl NodeRing {
    /// Creates a ring of these nodes.
    pub fn new(nodes: impl IntoIterator<Item = NodeId>) -> Self {
        let hashed = nodes.into_iter().map(|node| (stable_hash(&node.0.to_le_bytes()), node));
        let mut nodes: Vec<(u64, NodeId)> = hashed.collect();
        nodes.sort_unstable();
        nodes.dedup();
        Self { nodes }
    }

    /// The replicas of a stream's record. What it costs doesn't grow with the nodes.
    pub fn replicas(&self, stream: StreamKey) -> Vec<NodeId> {
        let mut near = self.near(stream);
        near.truncate(REPLICAS);
        near
    }

    /// The other nodes near the key, which may know what served where replicas just started.
    pub fn other_observers(&self, stream: StreamKey) -> Vec<NodeId> {
        self.near(stream).into_iter().skip(REPLICAS).collect()
    }

    /// Nodes near the key, those that keep the record first.
    fn near(&self, stream: StreamKey) -> Vec<NodeId> {
        let start = self.nodes.partition_point(|(hash, _)| *hash < stream.0);
        let following = self.nodes[start..].iter().chain(&self.nodes[..start]).take(NEAR_KEY);
        let mut near: Vec<NodeId> = following.map(|(_, node)| *node).collect();
        near.sort_unstable_by_key(|node| std::cmp::Reverse(stable_pair_hash(node.0, stream.0)));
        near
    }
}

/// What a replica replies about a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginReply {
    /// The software that began the stream, if the replica has a record.
    pub software: Option<SoftwareKey>,
    /// Versions that the replica saw in the services of the stream's route.
    pub seen: VersionsSeen,
}

/// State of the search for the software of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A replica has a record.
    Recorded(SoftwareKey),
    /// No replica has a record, and only this software can have begun the stream.
    OnlyVersion(SoftwareKey),
    /// Replicas have not replied yet.
    Pending,
    /// It can't be found out.
    Unknown,
}

/// Whose replies a search needs before it concludes that there is no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quorum {
    /// All replicas: the client names the stream, and a replica that is unreachable may have its
    /// record.
    AllReplicas,
    /// Any replica: the client names no stream, so that there is nothing to find but which
    /// versions other nodes saw.
    AnyReplica,
}

/// Search for the software of a stream: collects the replies of its replicas, and then, if these
/// have neither a record nor observed for long enough, of other nodes.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    quorum: Quorum,
    has_reply: bool,
    /// Replicas that have not replied.
    replicas: Vec<NodeId>,
    /// Other nodes that have not replied.
    others: Vec<NodeId>,
    recorded: Option<SoftwareKey>,
    seen: VersionsSeen,
    /// Nodes that observed a single version.
    observers: usize,
    required_observers: usize,
}

impl OriginSearch {
    /// Starts with what this node itself knows, the other replicas, and the nodes to query after
    /// them.
    pub fn new(quorum: Quorum, own: OriginReply, replicas: Vec<NodeId>, others: Vec<NodeId>) -> Self {
        let nodes = 1 + replicas.len() + others.len();
        let mut search = Self {
            quorum,
            has_reply: false,
            replicas,
            others,
            recorded: None,
            seen: VersionsSeen::Unknown,
            observers: 0,
            required_observers: OBSERVERS.min(nodes),
        };
        search.add(own);
        search
    }

    /// Records the reply of a node.
    pub fn note_reply(&mut self, from: NodeId, reply: OriginReply) {
        let waiting = self.replicas.len() + self.others.len();
        self.replicas.retain(|node| *node != from);
        self.others.retain(|node| *node != from);
        if self.replicas.len() + self.others.len() < waiting {
            self.has_reply = true;
            self.add(reply);
        }
    }

    fn add(&mut self, known: OriginReply) {
        self.recorded = self.recorded.or(known.software);
        self.seen = self.seen.and(known.seen);
        self.observers += usize::from(matches!(known.seen, VersionsSeen::One(_)));
    }

    /// Nodes to query that have not replied: the replicas first.
    pub fn waiting(&self) -> &[NodeId] {
        if self.replicas.is_empty() {
            &self.others
        } else {
            &self.replicas
        }
    }

    /// Whether all replicas have replied.
    pub fn has_all_replicas(&self) -> bool {
        self.replicas.is_empty()
    }

    /// The result so far.
    pub fn origin(&self) -> Origin {
        let has_quorum = self.has_all_replicas() || (self.quorum == Quorum::AnyReplica && self.has_reply);
        let is_observed = self.observers >= self.required_observers;
        match (self.recorded, self.seen) {
            (Some(software), _) => Origin::Recorded(software),
            (None, VersionsSeen::One(software)) if has_quorum && is_observed => Origin::OnlyVersion(software),
            (None, _) if !self.has_all_replicas() => Origin::Pending,
            (None, VersionsSeen::Several) => Origin::Unknown,
            (None, _) if !self.others.is_empty() => Origin::Pending,
            (None, _) => Origin::Unknown,
        }
    }
}
