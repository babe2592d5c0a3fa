//! Starts a node, and stops it without cutting off a request.

use crate::backend::NodeBackend;
use crate::batch::BatchRunner;
use crate::client_ports::ClientPorts;
use crate::configuration::Configuration;
use crate::forward::Router;
use crate::limits::Limits;
use crate::members::{Members, PeerRevision};
use crate::metrics::Metrics;
use crate::online::OnlineServer;
use crate::owner::Owner;
use crate::peers::{answer, PeerCall, PeerClient};
use crate::planned_stop::{answer_by_end, stop_time, stop_times, HAND_OVER_TIME, LAST_ANSWER_TIME, LEAVE_NOTICE};
use crate::register::Registrar;
use crate::servers::Servers;
use crate::settings::Settings;
use crate::store_calls::StoreCalls;
use crate::stores::{StoreSettings, Stores};
use eyre::{Result, WrapErr};
use hyper::body::Incoming;
use hyper::{Request, Response};
use latchwheel_clock::planned_stop::PlannedStop;
use latchwheel_clock::Clock;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::NodeId;
use latchwheel_core::membership::Event as MembershipEvent;
use latchwheel_core::table::Table;
use latchwheel_engine::EngineClient;
use latchwheel_gateway::{refuse, Backend, Gateway};
use latchwheel_http::{full, read_client_body, serve_clients, Body, BodyFault, Version};
use latchwheel_protocol::v1::{
    ForwardRequest, LimitRequest, MemberRecord, ReplicationMessages, RevisionPull, StatePull,
};
use latchwheel_protocol::Message;
use latchwheel_site::{KeyValueClient, Machine, MachineKind, MachineListClient, MachineState};
use latchwheel_store::folder::DataFolder;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

const PEER_BODY_LIMIT: usize = 64 << 20;
const PEER_BODY_TIME: Duration = Duration::from_secs(30);
const SUMMARY_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_CHECK: Duration = Duration::from_millis(20);
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(500);
/// Tries for a port that is free for both TCP and UDP.
const PORT_TRIES: usize = 20;

/// Where a node listens.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct Addresses {
    /// For callers.
    pub callers: String,
    /// For operators.
    pub admin: String,
    /// For other nodes.
    pub peers: String,
}

/// A running node.
pub struct Node {
    /// Where it listens.
    pub addresses: Addresses,
    backend: NodeBackend,
    drain_time: Duration,
    stop_callers: watch::Sender<bool>,
    stop_peers: watch::Sender<bool>,
    callers: Vec<JoinHandle<()>>,
    peers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Node").field("addresses", &self.addresses).finish()
    }
}

struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// If an address can't be bound or the data folder can't be opened.
    pub async fn start(settings: Settings) -> Result<Node> {
        let listeners = bind(&settings).await?;
        let addresses = Addresses {
            callers: listeners.callers.local_addr()?.to_string(),
            admin: listeners.admin.local_addr()?.to_string(),
            peers: listeners.peers.local_addr()?.to_string(),
        };
        let folder = match &settings.data_dir {
            Some(path) => Some(DataFolder::open(path).wrap_err("the data folder can't be opened")?),
            None => None,
        };
        let me = own_record(&settings, &addresses, folder.as_ref());
        log::info!(target: "E1000", "node {} starts: {addresses:?}", settings.name);
        let clock = Clock::start();
        let (members, heard) = Members::new(settings.membership, me, clock, listeners.datagrams);
        let mut tasks = vec![tokio::spawn(members.clone().run())];
        let backend = wire(&settings, clock, &members, folder);
        tasks.extend(start_tasks(&settings, &backend, heard));
        if settings.announce {
            tasks.push(tokio::spawn(announce(settings.clone(), addresses.clone())));
        }
        let gateway = Gateway::new(backend.clone(), settings.gateway.clone());
        let (stop_callers, callers_stop) = watch::channel(false);
        let (stop_peers, peers_stop) = watch::channel(false);
        let operators = gateway.clone();
        let (caller_stop, operator_stop) = (backend.stop.clone(), backend.stop.clone());
        let ports = ClientPorts::new(&settings);
        let (caller_port, operator_port) = (ports.callers.clone(), ports.callers);
        let callers = vec![
            tokio::spawn(serve_clients(
                listeners.callers,
                Version::Http1,
                callers_stop.clone(),
                caller_port,
                move |request| {
                    let version = request.version();
                    answer_by_end(caller_stop.clone(), version, gateway.clone().answer_caller(request))
                },
            )),
            tokio::spawn(serve_clients(listeners.admin, Version::Http1, callers_stop, operator_port, move |request| {
                let version = request.version();
                answer_by_end(operator_stop.clone(), version, operators.clone().answer_operator(request))
            })),
        ];
        let peer_backend = backend.clone();
        let peers =
            tokio::spawn(serve_clients(listeners.peers, Version::Http2, peers_stop, ports.peers, move |request| {
                let version = request.version();
                answer_by_end(peer_backend.stop.clone(), version, answer_peer(peer_backend.clone(), request))
            }));
        let drain_time = settings.drain_time;
        Ok(Node { addresses, backend, drain_time, stop_callers, stop_peers, callers, peers, tasks })
    }

    /// Stops as planned: announces it, hands over, takes no new work, and
    /// finishes what is in progress. What can't be finished before the process
    /// ends is answered as such.
    pub async fn stop(self) {
        log::info!(target: "E1001", "a planned stop begins");
        let begun = Instant::now();
        let now = self.backend.router.online.owner.now();
        let times = stop_times(now, self.drain_time);
        let (last_answer, end) = (begun + times.last_answer.since(now), begun + stop_time(self.drain_time));
        self.backend.stop.begin(times);
        for runner in self.backend.batches.iter() {
            runner.leave();
        }
        self.backend.members.handle(MembershipEvent::Leave);
        self.backend.router.online.owner.drain_batch();
        self.backend.stores.hand_over();
        tokio::time::sleep(LEAVE_NOTICE).await;
        self.stop_callers.send_replace(true);
        while Instant::now() < last_answer && !self.is_drained() {
            tokio::time::sleep(DRAIN_CHECK).await;
        }
        for task in self.callers {
            let _ = tokio::time::timeout_at(last_answer + LAST_ANSWER_TIME, task).await;
        }
        self.backend.stores.hand_over();
        tokio::time::sleep(HAND_OVER_TIME).await;
        self.stop_peers.send_replace(true);
        let _ = tokio::time::timeout_at(end, self.peers).await;
        self.backend.stores.stop();
        for task in self.tasks {
            task.abort();
        }
        log::info!(target: "E1002", "the planned stop ends after {} ms", begun.elapsed().as_millis());
    }

    fn is_drained(&self) -> bool {
        self.backend.router.online.owner.online_in_progress() == 0
            && self.backend.registrar.in_progress() == 0
            && self.backend.batches.iter().all(|runner| runner.is_done())
    }

    /// Whether the node has a configuration and serves.
    pub fn is_ready(&self) -> bool {
        self.backend.is_ready()
    }
}

async fn bind(settings: &Settings) -> Result<Listeners> {
    let listen = |address: String| async move {
        TcpListener::bind(&address).await.wrap_err_with(|| format!("cannot listen on {address}"))
    };
    let callers = listen(settings.callers.clone()).await?;
    let admin = listen(settings.admin.clone()).await?;
    for _ in 0..PORT_TRIES {
        let peers = listen(settings.peers.clone()).await?;
        // A port that the system chose for TCP may be taken for UDP.
        if let Ok(datagrams) = UdpSocket::bind(peers.local_addr()?).await {
            return Ok(Listeners { callers, admin, peers, datagrams });
        }
    }
    eyre::bail!("cannot listen on {} with UDP", settings.peers)
}

fn own_record(settings: &Settings, addresses: &Addresses, folder: Option<&DataFolder>) -> MemberRecord {
    let address = if settings.advertise.is_empty() { addresses.peers.clone() } else { settings.advertise.clone() };
    // A later start has a higher incarnation, so that it supersedes what is
    // told of the earlier one.
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_millis() as u64);
    MemberRecord {
        node: NodeId::of_name(&settings.name).0,
        incarnation,
        address,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        name: settings.name.clone(),
        replica: folder.map_or(0, DataFolder::replica),
        ..MemberRecord::default()
    }
}

fn wire(settings: &Settings, clock: Clock, members: &Arc<Members>, folder: Option<DataFolder>) -> NodeBackend {
    let service = KeyValueClient::new(settings.key_value.clone());
    let local = settings.peers.parse::<SocketAddr>().ok().map(|address| address.ip());
    let peers = PeerClient::new(local.filter(|address| !address.is_unspecified()));
    let metrics = Arc::new(Metrics::new());
    let engines = EngineClient::default();
    let owner = Owner::new(settings.batch_policy, settings.cache_aware, clock);
    let stop = PlannedStop::new(clock);
    let configuration = Configuration::new(service.clone(), members.clone(), peers.clone());
    let store_settings =
        StoreSettings { groups: settings.groups, replicas: settings.replicas, replication: settings.replication };
    let stores =
        Stores::new(folder, store_settings, service.clone(), members.clone(), configuration.clone(), peers.clone());
    let store = StoreCalls::new(stores.clone(), members.clone(), peers.clone());
    let online = OnlineServer {
        owner: owner.clone(),
        engines: engines.clone(),
        retries: Arc::default(),
        metrics: metrics.clone(),
        stop: stop.clone(),
    };
    let router = Router {
        online,
        members: members.clone(),
        peers: peers.clone(),
        policy: settings.routing,
        affinity: Arc::default(),
        turn: Arc::default(),
        metrics: metrics.clone(),
    };
    let registrar =
        Registrar { router: router.clone(), store: store.clone(), members: members.clone(), running: Arc::default() };
    let node = members.view().me.node;
    let batches = (0..settings.groups)
        .map(|group| {
            BatchRunner::new(
                group,
                node,
                owner.clone(),
                engines.clone(),
                store.clone(),
                configuration.clone(),
                metrics.clone(),
            )
        })
        .collect();
    NodeBackend {
        members: members.clone(),
        limits: Limits::new(clock, members.clone(), configuration.clone(), peers),
        configuration,
        router,
        registrar,
        store,
        stores,
        batches: Arc::new(batches),
        metrics,
        stop,
    }
}

fn start_tasks(
    settings: &Settings,
    backend: &NodeBackend,
    heard: mpsc::UnboundedReceiver<PeerRevision>,
) -> Vec<JoinHandle<()>> {
    let list = MachineListClient::new(settings.machines.clone());
    let owner = backend.router.online.owner.clone();
    let engines = backend.router.online.engines.clone();
    let servers = Servers::new(list, engines, backend.members.clone(), owner.clone(), settings.cache_aware);
    let mut tasks = vec![
        tokio::spawn(servers.run()),
        tokio::spawn(owner.run()),
        tokio::spawn(backend.configuration.clone().run_service()),
        tokio::spawn(backend.configuration.clone().run_peers(heard)),
        tokio::spawn(backend.limits.clone().run()),
        tokio::spawn(backend.stores.clone().run()),
        tokio::spawn(follow_table(backend.clone())),
        tokio::spawn(tell_summary(backend.clone())),
    ];
    if settings.batch_enabled {
        tasks.extend(backend.batches.iter().map(|runner| tokio::spawn(runner.clone().run())));
    }
    tasks
}

/// Brings a new table to the scheduler, also for work already queued.
async fn follow_table(backend: NodeBackend) {
    let mut tables = backend.configuration.subscribe();
    let mut members = backend.members.subscribe();
    let owner = backend.router.online.owner.clone();
    let (mut told, mut told_sharers) = (Arc::<Table>::default(), 0);
    loop {
        let table = tables.borrow_and_update().clone();
        let sharers = members.borrow_and_update().live_in_region().count() as u32;
        if sharers == told_sharers {
            owner.set_rows(table.rows_changed_since(&told).iter(), sharers);
        } else {
            owner.set_rows(table.rows.values(), sharers);
        }
        (told, told_sharers) = (table, sharers);
        tell(&backend);
        tokio::select! {
            changed = tables.changed() => if changed.is_err() { return },
            changed = members.changed() => if changed.is_err() { return },
        }
    }
}

async fn tell_summary(backend: NodeBackend) {
    loop {
        tell(&backend);
        tokio::time::sleep(SUMMARY_INTERVAL).await;
    }
}

fn tell(backend: &NodeBackend) {
    let revision = backend.configuration.table().revision;
    let summary = backend.router.own_summary(revision);
    backend.members.handle(MembershipEvent::OwnSummary(summary));
}

/// Enters the node into a stand-in's machine list.
async fn announce(settings: Settings, addresses: Addresses) {
    let list = MachineListClient::new(settings.machines.clone());
    let machine = Machine {
        name: settings.name.clone(),
        kind: MachineKind::Node,
        address: if settings.advertise.is_empty() { addresses.peers } else { settings.advertise },
        zone: settings.zone,
        region: settings.region,
        service: String::new(),
        state: MachineState::Live,
    };
    while list.register(&machine).await.is_err() {
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}

async fn answer_peer(backend: NodeBackend, request: Request<Incoming>) -> Response<Body> {
    let Some(call) = PeerCall::of_path(request.uri().path()) else {
        return refuse(ResultCode::NotFound, request.uri().path());
    };
    let (head, body) = request.into_parts();
    let body = match read_client_body(&head.extensions, body, PEER_BODY_LIMIT, PEER_BODY_TIME).await {
        Ok(body) => body,
        Err(BodyFault::NoRoom) => return refuse(ResultCode::NoMemory, ""),
        Err(_) => return refuse(ResultCode::BadRequest, "the message did not arrive"),
    };
    let answered = match call {
        PeerCall::Forward => match ForwardRequest::decode(body) {
            Ok(message) => Some(serve_forwarded(&backend, message).await),
            Err(_) => None,
        },
        PeerCall::Replication => ReplicationMessages::decode(body).ok().map(|messages| {
            backend.stores.receive(messages);
            answer(&ReplicationMessages::default())
        }),
        PeerCall::Pull => match StatePull::decode(body) {
            Ok(pull) => match backend.stores.group(pull.group) {
                Some(group) => Some(answer(&group.pull(pull).await)),
                None => Some(refuse(ResultCode::NotFound, "no such store group here")),
            },
            Err(_) => None,
        },
        PeerCall::Revisions => {
            RevisionPull::decode(body).ok().map(|pull| answer(&backend.configuration.answer_pull(&pull)))
        }
        PeerCall::Limit => LimitRequest::decode(body).ok().map(|message| answer(&backend.limits.grant(&message))),
        PeerCall::Propose | PeerCall::Read | PeerCall::Lease | PeerCall::Complete => {
            match backend.store.serve(call, body).await {
                Some(bytes) => Some(Response::new(full(bytes))),
                None => Some(refuse(ResultCode::NotLeader, "no such store group here")),
            }
        }
    };
    answered.unwrap_or_else(|| refuse(ResultCode::BadRequest, "the message can't be read"))
}

async fn serve_forwarded(backend: &NodeBackend, message: ForwardRequest) -> Response<Body> {
    if backend.is_leaving() {
        return refuse(ResultCode::Leaving, "");
    }
    if !backend.is_ready() {
        return refuse(ResultCode::NotReady, "");
    }
    let table = backend.configuration.table();
    backend.router.serve_forwarded(message, &table).await
}
