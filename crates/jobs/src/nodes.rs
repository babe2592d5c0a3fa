//! Membership: a node registers itself under a lease and follows the others.

use crate::layout::{node_key, node_of_key, NodeRecord, NodeRole, FLEET_PREFIX};
use crate::leaving_workers::LeavingWorkers;
use crate::quarantine_records::{remove_old_verdicts, take_verdicts, write_verdicts};
use latchwheel_core::identity::{stable_hash, stable_pair_hash, NodeId};
use latchwheel_events::{emit, Event};
use latchwheel_proxy::{exchange_shares, Dialect, Peer, PeerDuties, Peers, Shared};
use latchwheel_records::{Change, Contact, Followed, Record, RecordStore, Registrar, Registration, WatchCache};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Least time between two looks at the registrations.
const FOLLOW_PACE: Duration = Duration::from_millis(1500);

/// Lease of a node whose end others wait for, and the time between renewals:
/// readers are told that there is no result yet only by a worker that the store
/// answered within 1.2 s (`jobs::owned_jobs`).
const SHORT_LEASE: Duration = Duration::from_millis(4500);
const SHORT_RENEWAL: Duration = Duration::from_millis(700);
/// Time between renewals of a node by which others judge the store.
const UPSTREAM_RENEWAL: Duration = Duration::from_millis(400);
/// Lease of any other node, and the time between renewals.
const LONG_LEASE: Duration = Duration::from_secs(60);
const LONG_RENEWAL: Duration = Duration::from_secs(20);

/// What a node told of itself lately, if it was heard: the runs that wait there.
type Hears = Arc<dyn Fn(&str) -> Option<u32> + Send + Sync>;

/// The other nodes that are registered, with their addresses.
#[derive(Clone, Default)]
pub struct Nodes {
    known: Arc<Mutex<BTreeMap<String, (NodeRole, SocketAddr)>>>,
    leaving: Arc<Mutex<LeavingWorkers>>,
    hears: Option<Hears>,
}

impl std::fmt::Debug for Nodes {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Nodes").field("known", &*self.lock()).finish_non_exhaustive()
    }
}

impl Nodes {
    /// Nodes of which `hears` tells how many runs wait there, if they were
    /// heard of lately.
    pub fn new(hears: impl Fn(&str) -> Option<u32> + Send + Sync + 'static) -> Self {
        Self { hears: Some(Arc::new(hears)), ..Self::default() }
    }

    /// A node is registered; tells whether that is news.
    pub fn put(&self, node: &str, role: NodeRole, address: SocketAddr) -> bool {
        self.lock().insert(node.to_owned(), (role, address)) != Some((role, address))
    }

    /// Addresses of all workers in the order in which they are asked to keep a
    /// job: those that wind up last, those that were heard lately first, and different jobs
    /// at different ones.
    pub fn workers_to_keep(&self, job: &str) -> Vec<SocketAddr> {
        let job = stable_hash(job.as_bytes());
        let known = self.lock();
        let leaving = lock(&self.leaving);
        let workers = known.iter().filter(|(_, (role, _))| *role == NodeRole::Worker);
        let mut ordered: Vec<_> = workers
            .map(|(name, (_, address))| {
                let silent = self.waiting_at(name).is_none();
                let hash = stable_pair_hash(NodeId::of_name(name).0, job);
                (leaving.contains(name), silent, hash, *address)
            })
            .collect();
        ordered.sort_unstable();
        ordered.into_iter().map(|(_, _, _, address)| address).collect()
    }

    /// Addresses of all other fronts.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.of_role(NodeRole::Front)
    }

    /// Whether any worker was heard of lately; none is where this node is cut
    /// off from them.
    pub fn hears_any_worker(&self) -> bool {
        let Some(hears) = &self.hears else { return true };
        let known = self.lock();
        let mut workers = known.iter().filter(|(_, (role, _))| *role == NodeRole::Worker);
        workers.any(|(worker, _)| hears(worker).is_some())
    }

    /// Runs that wait at a node, if it was heard of lately.
    pub fn waiting_at(&self, node: &str) -> Option<u32> {
        self.hears.as_ref().and_then(|hears| hears(node))
    }

    /// Number of the other fronts.
    fn front_count(&self) -> usize {
        self.lock().values().filter(|(role, _)| *role == NodeRole::Front).count()
    }

    /// Number of the other nodes.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// Names of all workers.
    pub fn worker_names(&self) -> BTreeSet<String> {
        let known = self.lock();
        let workers = known.iter().filter(|(_, (role, _))| *role == NodeRole::Worker);
        workers.map(|(name, _)| name.clone()).collect()
    }

    /// Names of the workers that run new jobs: those that don't wind up, or all if all do.
    pub(crate) fn workers_for_new_jobs(&self) -> BTreeSet<String> {
        let workers = self.worker_names();
        let leaving = lock(&self.leaving);
        let staying: BTreeSet<String> = workers.iter().filter(|worker| !leaving.contains(worker)).cloned().collect();
        if staying.is_empty() {
            workers
        } else {
            staying
        }
    }

    /// Address of a node.
    pub fn address_of(&self, node: &str) -> Option<SocketAddr> {
        self.lock().get(node).map(|(_, address)| *address)
    }

    fn of_role(&self, role: NodeRole) -> Vec<SocketAddr> {
        self.lock().values().filter(|(own, _)| *own == role).map(|(_, address)| *address).collect()
    }

    fn remove(&self, node: &str) {
        self.lock().remove(node);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, (NodeRole, SocketAddr)>> {
        lock(&self.known)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// This node as it registers itself.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnNode {
    /// Name, unique among the nodes.
    pub name: String,
    /// What others are told.
    pub record: NodeRecord,
    /// Most bytes of sums of load that it sends in a second.
    pub sum_bytes_per_second: f64,
}

impl OwnNode {
    /// A worker's jobs fall to others once its lease ends, and an upstream's
    /// renewals show others that the store answers it. Of a front nothing
    /// depends on the lease: others notice its death by its datagrams, and an
    /// upstream that is cut off from the store alone goes on to sum up loads and
    /// to keep the limits of tenants.
    fn registration(&self) -> Registration {
        let (lease, renew_every) = match (self.record.is_upstream, self.record.role) {
            (true, NodeRole::Worker) => (SHORT_LEASE, UPSTREAM_RENEWAL),
            (true, NodeRole::Front) => (LONG_LEASE, UPSTREAM_RENEWAL),
            (false, NodeRole::Worker) => (SHORT_LEASE, SHORT_RENEWAL),
            (false, NodeRole::Front) => (LONG_LEASE, LONG_RENEWAL),
        };
        Registration { key: node_key(&self.name), value: self.record.write(), lease, renew_every }
    }
}

/// This process among the nodes.
#[derive(Debug)]
pub struct Membership<S> {
    registrar: Arc<Registrar<S>>,
    registration: JoinHandle<()>,
    /// The other nodes as they are known.
    pub nodes: Nodes,
}

impl<S: RecordStore> Membership<S> {
    /// Registers this node, follows the others, and exchanges with them what
    /// each does at the servers.
    pub fn join<D: Dialect>(
        store: Arc<S>,
        cache: &Arc<WatchCache<S>>,
        contact: Contact,
        shared: Arc<Shared<D>>,
        own: &OwnNode,
        socket: UdpSocket,
    ) -> Self {
        let peers = Peers::default();
        let hearing = shared.clone();
        let hears = move |node: &str| hearing.dispatcher().waiting_at(hearing.clock.now(), NodeId::of_name(node));
        let nodes = Nodes::new(hears);
        let registrar = Arc::new(Registrar::new(store.clone(), contact.clone(), own.registration()));
        let keeping = registrar.clone();
        let registration = tokio::spawn(async move { keeping.keep().await });
        let name = own.name.clone();
        let (sharing, own_id) = (shared.clone(), NodeId::of_name(&name));
        let runs_items = own.record.role == NodeRole::Worker;
        let workers_changed = move |workers: &BTreeSet<String>| {
            if runs_items {
                let workers = workers.iter().map(|worker| NodeId::of_name(worker)).collect();
                sharing.dispatcher().set_deferrable_nodes(own_id, workers);
            }
        };
        let follower = Follower {
            own: name.clone(),
            peers: peers.clone(),
            nodes: nodes.clone(),
            workers_changed: Box::new(workers_changed),
            contact: contact.clone(),
        };
        let (verdicts, senders) = (shared.clone(), shared.clone());
        let registered = registrar.clone();
        cache.follow(FLEET_PREFIX, FOLLOW_PACE, move |followed| {
            take_verdicts(&verdicts, &followed);
            note_own_record(&registered, &followed);
            follower.take(followed);
            senders.note_senders(follower.nodes.front_count() + 1);
        });
        tokio::spawn(write_verdicts(store.clone(), shared.clone()));
        tokio::spawn(remove_old_verdicts(store.clone(), shared.clone()));
        // Fronts judge by the workers that they hear whether they are cut off.
        let sends_heartbeat = own.record.role == NodeRole::Worker;
        let duties = PeerDuties {
            sends_heartbeat,
            aggregates: own.record.is_upstream,
            sum_bytes_per_second: own.sum_bytes_per_second,
        };
        let missing = shared.clone();
        tokio::spawn(async move {
            loop {
                missing.missed_a_table().await;
                contact.note_answered_elsewhere();
            }
        });
        tokio::spawn(async move { exchange_shares(shared, socket, &name, duties, peers).await });
        Self { registrar, registration, nodes }
    }

    /// Withdraws the registration.
    pub async fn leave(&self) {
        self.registration.abort();
        self.registrar.withdraw().await;
    }
}

/// The store may lose this node's registration while its lease lives: a call of an earlier
/// process of the node may be executed late.
fn note_own_record<S: RecordStore>(registrar: &Registrar<S>, followed: &Followed) {
    match followed {
        Followed::All(listing) => registrar.note_listing(listing),
        Followed::Changed(changes) => changes.changes.iter().for_each(|change| registrar.note_change(change)),
        Followed::Kept(_)
        | Followed::CompleteAsOf(_)
        | Followed::Lost(_)
        | Followed::StillLost
        | Followed::Regained(_) => {}
    }
}

/// Takes the names of the other workers.
type WorkersChanged = Box<dyn Fn(&BTreeSet<String>) + Send>;

struct Follower {
    own: String,
    peers: Peers,
    nodes: Nodes,
    workers_changed: WorkersChanged,
    /// Is told how many nodes there are.
    contact: Contact,
}

impl Follower {
    /// A node whose registration vanished is forgotten; one that vanished in
    /// an outage of the store registers itself anew.
    fn take(&self, followed: Followed) {
        let seen: Vec<(String, SocketAddr)> = match followed {
            Followed::All(listing) => {
                lock(&self.nodes.leaving).note_all(&listing.records);
                listing.records.iter().filter_map(|record| self.note(record)).collect()
            }
            Followed::Changed(changes) => {
                let mut leaving = lock(&self.nodes.leaving);
                changes.changes.iter().for_each(|change| leaving.note_change(change));
                drop(leaving);
                changes.changes.iter().filter_map(|change| self.take_change(change)).collect()
            }
            Followed::Kept(_)
            | Followed::CompleteAsOf(_)
            | Followed::Lost(_)
            | Followed::StillLost
            | Followed::Regained(_) => return,
        };
        // One line for all that came together: after a restart of every node
        // a line for each would be as many lines as nodes at each node.
        if let Some((peer, address)) = seen.first() {
            let (address, known) = (address.to_string(), self.nodes.count());
            emit("", &Event::NodesSeen { added: seen.len(), peer, address: &address, known });
        }
        (self.workers_changed)(&self.nodes.worker_names());
        self.contact.set_nodes(self.nodes.count() + 1);
    }

    /// Gives back a node that is news.
    fn take_change(&self, change: &Change) -> Option<(String, SocketAddr)> {
        match change {
            Change::Written(record) => self.note(record),
            Change::Removed { key, .. } => {
                let node = node_of_key(key)?;
                self.peers.remove(node);
                self.nodes.remove(node);
                emit("", &Event::NodeGone { peer: node });
                None
            }
        }
    }

    /// Gives back the node if it is news.
    fn note(&self, record: &Record) -> Option<(String, SocketAddr)> {
        let node = node_of_key(&record.key).filter(|node| *node != self.own)?;
        let present = NodeRecord::read(&record.value)?;
        let address = present.address.parse().ok()?;
        let defers = present.role == NodeRole::Worker;
        self.peers.put(node, Peer { address, aggregates: present.is_upstream, defers });
        let news = self.nodes.put(node, present.role, address);
        news.then(|| (node.to_owned(), address))
    }
}
