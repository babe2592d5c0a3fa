//! Runs the membership: its UDP socket, its clock, and a view for the rest
//! of the node.

use latchwheel_clock::Clock;
use latchwheel_core::identity::NodeId;
use latchwheel_core::membership::{is_live, Action, Event, Membership, Settings};
use latchwheel_protocol::v1::{Datagram, MemberRecord, MemberStatus, Summary};
use latchwheel_protocol::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

const TICK: Duration = Duration::from_millis(25);
const DATAGRAM_LIMIT: usize = 64 << 10;

/// A peer that was heard to be at a table revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerRevision {
    pub(crate) node: NodeId,
    pub(crate) revision: u64,
}

/// The members at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberView {
    pub(crate) me: MemberRecord,
    pub(crate) others: BTreeMap<NodeId, MemberRecord>,
}

impl MemberView {
    /// Other nodes that are alive or only suspected.
    pub(crate) fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.others.values().filter(|record| is_live(record.status()))
    }

    /// Live nodes of the own region, this one included unless it leaves.
    pub(crate) fn live_in_region(&self) -> impl Iterator<Item = &MemberRecord> {
        let me = Some(&self.me).filter(|me| me.status() == MemberStatus::Alive);
        self.live().filter(|record| record.region == self.me.region).chain(me)
    }

    pub(crate) fn address_of(&self, node: NodeId) -> Option<String> {
        self.others.get(&node).map(|record| record.address.clone())
    }

    /// Record of the node that holds a replica.
    pub(crate) fn with_replica(&self, replica: u64) -> Option<&MemberRecord> {
        self.others.values().filter(|record| record.replica == replica).max_by_key(|record| is_live(record.status()))
    }

    /// Whether a node is this one, or is not held for dead.
    pub(crate) fn is_present(&self, node: u64) -> bool {
        node == self.me.node
            || self.others.get(&NodeId(node)).is_some_and(|record| record.status() != MemberStatus::Dead)
    }
}

/// The running membership.
#[derive(Debug)]
pub(crate) struct Members {
    core: Mutex<Membership>,
    clock: Clock,
    socket: UdpSocket,
    view: watch::Sender<Arc<MemberView>>,
    revisions: mpsc::UnboundedSender<PeerRevision>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Members {
    pub(crate) fn new(
        settings: Settings,
        me: MemberRecord,
        clock: Clock,
        socket: UdpSocket,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<PeerRevision>) {
        let (revisions, heard) = mpsc::unbounded_channel();
        let view = MemberView { me: me.clone(), others: BTreeMap::new() };
        let core = Membership::new(settings, me, clock.now(), rand::random());
        let members = Self {
            core: Mutex::new(core),
            clock,
            socket,
            view: watch::Sender::new(Arc::new(view)),
            revisions,
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
        };
        (Arc::new(members), heard)
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The members as of now.
    pub(crate) fn view(&self) -> Arc<MemberView> {
        self.view.borrow().clone()
    }

    /// Follows the members.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<MemberView>> {
        self.view.subscribe()
    }

    /// The last known load of other nodes.
    pub(crate) fn summaries(&self) -> Vec<Summary> {
        self.lock().summaries().cloned().collect()
    }

    /// Bytes sent and received so far.
    pub(crate) fn traffic(&self) -> (u64, u64) {
        (self.sent_bytes.load(Ordering::Relaxed), self.received_bytes.load(Ordering::Relaxed))
    }

    /// Takes an event.
    pub(crate) fn handle(&self, event: Event) {
        let (actions, view) = {
            let mut core = self.lock();
            let actions = core.handle(self.clock.now(), event);
            let me_changed = core.me() != &self.view.borrow().me;
            let changed = me_changed || actions.iter().any(|action| matches!(action, Action::Changed(_)));
            let view = changed.then(|| MemberView {
                me: core.me().clone(),
                others: core.records().map(|record| (NodeId(record.node), record.clone())).collect(),
            });
            (actions, view)
        };
        if let Some(view) = view {
            self.view.send_replace(Arc::new(view));
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send(address, datagram) => {
                let Ok(address) = address.parse::<SocketAddr>() else { return };
                let bytes = datagram.encode_to_vec();
                self.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                // A full socket loses the datagram, as the network may.
                let _ = self.socket.try_send_to(&bytes, address);
            }
            Action::Changed(record) => {
                log::info!(target: "E4000", "member {} at {} is {:?}", record.name, record.address, record.status());
            }
            Action::PeerRevision(node, revision) => {
                let _ = self.revisions.send(PeerRevision { node, revision });
            }
        }
    }

    /// Receives and ticks for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received {
                        self.received_bytes.fetch_add(length as u64, Ordering::Relaxed);
                        if let Ok(datagram) = Datagram::decode(&buffer[..length]) {
                            self.handle(Event::Received(datagram));
                        }
                    }
                }
                _ = tick.tick() => self.handle(Event::Tick),
            }
        }
    }
}
