//! Real node processes as members of a system of hollow nodes, in real time:
//! the hollow ones share this process, and all talk UDP and HTTP/2 on
//! loopback.

use super::place::Plan;
use crate::process_figures::{processor_seconds, resident_megabytes};
use crate::processes::spawn_node;
use eyre::{Result, WrapErr};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use latchwheel_core::configuration::{ConfigurationLog, Event as ConfigurationEvent, Record};
use latchwheel_core::identity::NodeId;
use latchwheel_core::membership::{Action, Event, Membership, Settings};
use latchwheel_core::table::Table;
use latchwheel_core::time::Instant;
use latchwheel_emulator::engine::{Engine, EngineSettings};
use latchwheel_emulator::platform::{KeyValue, KeyValueSettings, MachineList};
use latchwheel_http::{full, read_bounded, serve, Body, Client, Version};
use latchwheel_protocol::v1::{Datagram, MemberRecord, RevisionAnswer, RevisionPull, RevisionRecord, Summary};
use latchwheel_protocol::Message;
use latchwheel_site::{KeyValueClient, Machine, MachineKind, MachineState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::process::Child;
use tokio::sync::watch;

const REAL_NODES: usize = 3;
const WARM_UP: Duration = Duration::from_secs(20);
const EDIT_INTERVAL: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(25);
const CALL_TIME: Duration = Duration::from_secs(10);
const PULL_BYTES: usize = 1024;
const POLL: Duration = Duration::from_millis(10);

/// What the real processes were measured to spend.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RealReport {
    /// Hollow nodes beside them.
    pub hollow_nodes: usize,
    /// Length of the measured part, in seconds.
    pub seconds: f64,
    /// Percent of a core of each.
    pub core_percent: Vec<f64>,
    /// Resident megabytes of each.
    pub resident_megabytes: Vec<f64>,
    /// Membership bytes sent a second by each.
    pub sent_bytes: Vec<f64>,
    /// Membership bytes received a second by each.
    pub received_bytes: Vec<f64>,
    /// Live members that each knew in the end.
    pub members: Vec<f64>,
    /// Servers that each owned in the end.
    pub servers: Vec<usize>,
    /// Milliseconds until each edit was in force at all real nodes.
    pub in_force_milliseconds: Vec<f64>,
    /// Rows of the table.
    pub rows: usize,
}

impl RealReport {
    /// The report as text.
    pub fn text(&self) -> String {
        format!(
            "real nodes beside {} hollow ones, {} rows, {:.0} s: core % {:.2?}, MB {:.1?}, membership bytes/s sent {:.0?} received {:.0?}, members {:?}, servers {:?}, in force ms {:.0?}\n",
            self.hollow_nodes,
            self.rows,
            self.seconds,
            self.core_percent,
            self.resident_megabytes,
            self.sent_bytes,
            self.received_bytes,
            self.members,
            self.servers,
            self.in_force_milliseconds,
        )
    }
}

struct HollowState {
    membership: Membership,
    configuration: ConfigurationLog,
}

/// A hollow node with sockets.
struct Hollow {
    state: Mutex<HollowState>,
    socket: UdpSocket,
    origin: std::time::Instant,
    client: Client,
    pulling: tokio::sync::Semaphore,
}

impl Hollow {
    fn now(&self) -> Instant {
        Instant::from_micros(1_000_000 + self.origin.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, HollowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(self: &Arc<Self>, event: Event) {
        let actions = self.lock().membership.handle(self.now(), event);
        for action in actions {
            match action {
                Action::Send(address, datagram) => {
                    if let Ok(address) = address.parse::<SocketAddr>() {
                        let _ = self.socket.try_send_to(&datagram.encode_to_vec(), address);
                    }
                }
                Action::PeerAt(node, revision) => {
                    if revision > self.lock().configuration.table().revision {
                        tokio::spawn(self.clone().pull(node));
                    }
                }
                Action::Changed(_) => {}
            }
        }
    }

    /// Pulls what a peer has and tells it on, as a node does.
    async fn pull(self: Arc<Self>, node: NodeId) {
        let Ok(_permit) = self.pulling.try_acquire() else { return };
        let (address, after) = {
            let state = self.lock();
            let record = state.membership.records().find(|record| record.node == node.0);
            (record.map(|record| record.address.clone()), state.configuration.table().revision)
        };
        let Some(address) = address else { return };
        let pull = RevisionPull { after }.encode_to_vec().into();
        let answer = self.client.call(Method::POST, &address, "/peer/revisions", pull, CALL_TIME).await;
        let Some(answer) = answer.ok().and_then(|bytes| RevisionAnswer::decode(bytes).ok()) else { return };
        let summary = self.take(&answer);
        self.handle(Event::OwnSummary(summary));
    }

    fn take(&self, answer: &RevisionAnswer) -> Summary {
        let mut state = self.lock();
        if let Ok(table) = serde_json::from_slice::<Table>(&answer.snapshot) {
            state.configuration.handle(ConfigurationEvent::Snapshot(table));
        }
        let record = |record: &RevisionRecord| {
            Some(Record { revision: record.revision, edit: serde_json::from_slice(&record.edit).ok()? })
        };
        let records = answer.records.iter().filter_map(record).collect();
        state.configuration.handle(ConfigurationEvent::Records(records));
        let revision = state.configuration.table().revision;
        Summary { node: state.membership.me().node, revision, ..Summary::default() }
    }

    async fn run(self: Arc<Self>) {
        let mut buffer = vec![0; 64 << 10];
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok(datagram) = received.map_err(drop).and_then(|(n, _)| Datagram::decode(&buffer[..n]).map_err(drop)) {
                        self.handle(Event::Received(datagram));
                    }
                }
                _ = tick.tick() => self.handle(Event::Tick),
            }
        }
    }

    /// Answers pulls as a node does.
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_bounded(request.into_body(), PULL_BYTES, CALL_TIME).await.unwrap_or_default();
        let after = RevisionPull::decode(body).map_or(0, |pull| pull.after);
        let state = self.lock();
        let answer = match state.configuration.records_after(after) {
            Some(records) => RevisionAnswer {
                records: records
                    .iter()
                    .map(|record| RevisionRecord {
                        revision: record.revision,
                        edit: serde_json::to_vec(&record.edit).unwrap_or_default().into(),
                    })
                    .collect(),
                ..RevisionAnswer::default()
            },
            None => {
                let table = state.configuration.table();
                RevisionAnswer {
                    snapshot_revision: table.revision,
                    snapshot: serde_json::to_vec(table.as_ref()).unwrap_or_default().into(),
                    ..RevisionAnswer::default()
                }
            }
        };
        Response::new(full(answer.encode_to_vec()))
    }
}

/// Runs the real processes beside hollow ones.
///
/// # Errors
/// If a process or a stand-in can't be started.
pub async fn run(plan: &Plan, seconds: u64) -> Result<RealReport> {
    let (_stop, stopped) = watch::channel(false);
    let key_value = KeyValue::new(&KeyValueSettings { calls_per_second: 5_000.0 });
    let key_value_address = listen(|listener| tokio::spawn(key_value.clone().run(listener, stopped.clone()))).await?;
    let list = MachineList::new(Duration::ZERO);
    let list_address = listen(|listener| tokio::spawn(list.clone().run(listener, stopped.clone()))).await?;
    let engine = Engine::new(EngineSettings::default());
    let engine_address = listen(|listener| tokio::spawn(engine.clone().run(listener, stopped.clone()))).await?;
    let table = plan.table();
    let service = KeyValueClient::new(key_value_address.clone());
    let snapshot = serde_json::to_string(&table)?;
    service.write("table/snapshot", &snapshot, 0).await.map_err(|fault| eyre::eyre!("{fault:?}"))?;
    enter_servers(plan, &list, &engine_address);
    let hollow = start_hollow(plan, &list, &table, &stopped).await?;
    let folder = tempfile::tempdir()?;
    let mut children = Vec::new();
    for number in 0..REAL_NODES {
        let place = plan.place(number * plan.regions);
        let settings = format!(
            "[node]\nname = \"real-{number}\"\nregion = \"{}\"\nzone = \"{}\"
[listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"
[platform]\nkey_value = \"{key_value_address}\"\nmachines = \"{list_address}\"\nannounce = true
[log]\nlevel = \"error\"\n",
            place.region_name(),
            place.zone_name(),
        );
        let path = folder.path().join(format!("real-{number}.toml"));
        std::fs::write(&path, settings)?;
        children.push(spawn_node(&path).await?);
    }
    tokio::time::sleep(WARM_UP).await;
    let report = measure(plan, seconds, &children, hollow.len(), table.rows.len()).await;
    for (mut child, _) in children {
        let _ = child.kill().await;
    }
    for task in hollow {
        task.abort();
    }
    report
}

async fn listen<T>(run: impl FnOnce(TcpListener) -> T) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    run(listener);
    Ok(address)
}

fn enter_servers(plan: &Plan, list: &MachineList, engine_address: &str) {
    let machines = (0..plan.servers).map(|number| {
        let place = plan.place(number);
        Machine {
            name: format!("server-{number}"),
            kind: MachineKind::Engine,
            address: engine_address.to_owned(),
            zone: place.zone_name(),
            region: place.region_name(),
            service: "service".into(),
            state: MachineState::Live,
        }
    });
    list.put_all(machines.collect());
}

async fn start_hollow(
    plan: &Plan,
    list: &MachineList,
    table: &Table,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<tokio::task::JoinHandle<()>>> {
    let mut nodes = Vec::new();
    let mut records = Vec::new();
    for number in 0..plan.nodes {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let socket = UdpSocket::bind(address).await.wrap_err("a UDP port is taken")?;
        let place = plan.place(number);
        let record = MemberRecord {
            node: NodeId::of_name(&format!("node-{number}")).0,
            incarnation: 1,
            address: address.to_string(),
            zone: place.zone_name(),
            region: place.region_name(),
            name: format!("node-{number}"),
            ..MemberRecord::default()
        };
        let now = Instant::from_micros(1_000_000);
        let mut configuration = ConfigurationLog::new();
        configuration.handle(ConfigurationEvent::Snapshot(table.clone()));
        let membership = Membership::new(Settings::default(), record.clone(), now, number as u64);
        let state = Mutex::new(HollowState { membership, configuration });
        let hollow = Hollow {
            state,
            socket,
            origin: std::time::Instant::now(),
            client: Client::http2(None),
            pulling: tokio::sync::Semaphore::new(1),
        };
        nodes.push((Arc::new(hollow), listener));
        records.push(record);
    }
    list.put_all(records.iter().map(machine_of).collect());
    let mut tasks = Vec::new();
    for (node, listener) in nodes {
        let summary = {
            let state = node.lock();
            Summary { node: state.membership.me().node, revision: table.revision, ..Summary::default() }
        };
        let region = node.lock().membership.me().region.clone();
        let seeds = records.iter().enumerate().filter(|(number, record)| record.region == region || number % 17 == 0);
        node.handle(Event::Seeds(seeds.map(|(_, record)| record.clone()).collect()));
        node.handle(Event::OwnSummary(summary));
        tasks.push(tokio::spawn(node.clone().run()));
        let answering = node.clone();
        let answer = move |request: Request<Incoming>| {
            let node = answering.clone();
            async move { node.answer(request).await }
        };
        tasks.push(tokio::spawn(serve(listener, Version::Http2, stopped.clone(), answer)));
    }
    Ok(tasks)
}

fn machine_of(record: &MemberRecord) -> Machine {
    Machine {
        name: record.name.clone(),
        kind: MachineKind::Node,
        address: record.address.clone(),
        zone: record.zone.clone(),
        region: record.region.clone(),
        service: String::new(),
        state: MachineState::Live,
    }
}

struct Reading {
    processor_seconds: f64,
    sent: f64,
    received: f64,
}

type RealNode = (Child, latchwheel_node::Addresses);

async fn measure(
    plan: &Plan,
    seconds: u64,
    nodes: &[RealNode],
    hollow_tasks: usize,
    rows: usize,
) -> Result<RealReport> {
    let mut before = Vec::new();
    for node in nodes {
        before.push(read(node).await);
    }
    let begun = std::time::Instant::now();
    let mut report = RealReport { hollow_nodes: hollow_tasks / 2, rows, ..RealReport::default() };
    let mut number = 0;
    while begun.elapsed() < Duration::from_secs(seconds) {
        number += 1;
        if let Some(time) = edit_and_wait(plan, nodes, number).await {
            report.in_force_milliseconds.push(time.as_secs_f64() * 1000.0);
        }
        tokio::time::sleep(EDIT_INTERVAL).await;
    }
    report.seconds = begun.elapsed().as_secs_f64();
    for (node, before) in nodes.iter().zip(before) {
        let after = read(node).await;
        report.core_percent.push((after.processor_seconds - before.processor_seconds) / report.seconds * 100.0);
        report.sent_bytes.push((after.sent - before.sent) / report.seconds);
        report.received_bytes.push((after.received - before.received) / report.seconds);
        report.resident_megabytes.push(resident_megabytes(node.0.id()));
        report.members.push(metric(&metrics(node).await, "latchwheel_members"));
        let servers: Result<Vec<serde_json::Value>, _> =
            Client::http1().json(Method::GET, &node.1.admin, "/admin/v1/servers", &(), CALL_TIME).await;
        report.servers.push(servers.map_or(0, |servers| servers.len()));
    }
    Ok(report)
}

/// Makes an edit at the first real node and waits until all have it.
async fn edit_and_wait(plan: &Plan, nodes: &[RealNode], number: usize) -> Option<Duration> {
    let client = Client::http1();
    let row = super::place::tenant_row(number % plan.tenants.max(1), number as f64);
    let path = format!("/admin/v1/table/rows/{}", row.name);
    let begun = std::time::Instant::now();
    let answer: serde_json::Value = client.json(Method::PUT, &nodes[0].1.admin, &path, &row, CALL_TIME).await.ok()?;
    let revision = answer.get("revision")?.as_u64()?;
    for node in nodes {
        while metric(&metrics(node).await, "latchwheel_table_revision") < revision as f64 {
            if begun.elapsed() > CALL_TIME {
                return None;
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Some(begun.elapsed())
}

async fn metrics(node: &RealNode) -> String {
    let bytes = Client::http1().call(Method::GET, &node.1.admin, "/metrics", bytes::Bytes::new(), CALL_TIME).await;
    bytes.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).unwrap_or_default()
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.split_whitespace().next() == Some(name));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

async fn read(node: &RealNode) -> Reading {
    let text = metrics(node).await;
    Reading {
        processor_seconds: processor_seconds(node.0.id()),
        sent: metric(&text, "latchwheel_membership_sent_bytes"),
        received: metric(&text, "latchwheel_membership_received_bytes"),
    }
}
