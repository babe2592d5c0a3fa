//! Several nodes that hear each other, and servers that one request ends.

use super::{node, route, serve_node, TestDialect, TestServer, HOST};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use latchwheel_core::directory::ServerRecord;
use latchwheel_core::fingerprint::{Fingerprint, RequestKey};
use latchwheel_core::routes::RequestKind;
use latchwheel_http::{full, Client};
use latchwheel_protocol::{v1, Message};
use latchwheel_proxy::{exchange_shares, Peer, PeerDuties, Peers, Shared};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_secs(20);

/// Body of the request that ends its server; bodies that begin so do the same.
pub const POISON: &str = "poison";
/// A part of the prompt that ends each server that begins to answer a request with it.
pub const POISON_PART: &str = "poison-part";
/// Body of a request whose connection is reset by a server that lives on.
pub const RESET: &str = "reset";
/// Body of a request that takes as long as its server lives or until it is released.
const LONG: &str = "long";

/// Body of every answer: one event.
const ANSWER: &str = "data: done\n\n";

/// The body of a long request of that number.
pub fn long_body(number: usize) -> String {
    format!("{LONG}-{number}")
}

/// A server that a request may end.
#[derive(Debug)]
pub struct MortalServer {
    pub name: String,
    pub address: String,
    end: watch::Sender<bool>,
    release: Arc<watch::Sender<bool>>,
    /// Bodies of the requests that ended it.
    poisons: Arc<Mutex<Vec<String>>>,
    long: Arc<AtomicUsize>,
}

impl MortalServer {
    pub async fn start(name: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (end, ended) = watch::channel(false);
        let release = Arc::new(watch::channel(false).0);
        let poisons = Arc::new(Mutex::new(Vec::new()));
        let long = Arc::new(AtomicUsize::new(0));
        let server = Self {
            name,
            address,
            end: end.clone(),
            release: release.clone(),
            poisons: poisons.clone(),
            long: long.clone(),
        };
        tokio::spawn(async move {
            let mut stop = ended.clone();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        let work = Work { end: end.clone(), release: release.subscribe(), poisons: poisons.clone(), long: long.clone() };
                        let mut stop = ended.clone();
                        tokio::spawn(async move {
                            tokio::select! {
                                () = work.serve(stream) => {}
                                _ = stop.wait_for(|ended| *ended) => {}
                            }
                        });
                    }
                    _ = stop.wait_for(|ended| *ended) => return,
                }
            }
        });
        server
    }

    pub fn has_ended(&self) -> bool {
        *self.end.borrow()
    }

    /// Ends it as its machine would, without any request's doing.
    pub fn end(&self) {
        self.end.send_replace(true);
    }

    /// Long requests that it works on.
    pub fn running(&self) -> usize {
        self.long.load(Ordering::SeqCst)
    }

    /// Lets the long requests that it works on complete.
    pub fn release(&self) {
        self.release.send_replace(true);
    }

    /// Long requests last again.
    pub fn hold(&self) {
        self.release.send_replace(false);
    }

    pub fn record(&self) -> ServerRecord {
        super::server_record(&self.name, &self.address)
    }
}

struct Work {
    end: watch::Sender<bool>,
    release: watch::Receiver<bool>,
    poisons: Arc<Mutex<Vec<String>>>,
    long: Arc<AtomicUsize>,
}

/// Counts a long request while it runs.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn count(running: &Arc<AtomicUsize>) -> Self {
        running.fetch_add(1, Ordering::SeqCst);
        Self(running.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Work {
    async fn serve(mut self, mut stream: TcpStream) {
        while let Some(seen) = super::read_request(&mut stream).await {
            let id = seen.header("t-id").unwrap_or_default();
            let head =
                format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\nt-stamp: stamp\r\ncontent-length: {}\r\n\r\n", ANSWER.len());
            let parts = seen.header("parts").unwrap_or_default();
            match seen.body.as_str() {
                body if body.starts_with(POISON) || parts.split(',').any(|part| part == POISON_PART) => {
                    self.poisons.lock().unwrap().push(body.to_owned());
                    let _ = stream.write_all(head.as_bytes()).await;
                    self.end.send_replace(true);
                    return;
                }
                RESET => return,
                body if body.starts_with(LONG) => {
                    let _running = Running::count(&self.long);
                    let _ = stream.write_all(head.as_bytes()).await;
                    let mut rest = [0; 16];
                    tokio::select! {
                        _ = self.release.wait_for(|released| *released) => {}
                        _ = stream.read(&mut rest) => return,
                    }
                    let _ = stream.write_all(ANSWER.as_bytes()).await;
                }
                _ => {
                    let _ = stream.write_all((head + ANSWER).as_bytes()).await;
                }
            }
        }
    }
}

/// A node of the fleet.
pub struct FleetNode {
    pub name: String,
    pub shared: Arc<Shared<TestDialect>>,
    pub callers: String,
    pub peers: Peers,
    socket_address: SocketAddr,
    exchange: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.exchange.abort();
    }
}

impl FleetNode {
    /// Waits until the node knows of a request that is kept back.
    pub async fn learns(&self) {
        let end = Instant::now() + LIMIT;
        while self.shared.crashes.quarantined().is_empty() {
            assert!(Instant::now() < end, "{} learns nothing", self.name);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Nodes and servers.
pub struct Fleet {
    pub nodes: Vec<FleetNode>,
    pub servers: Vec<MortalServer>,
    client: Client,
}

impl Fleet {
    /// Nodes that hear each other, the first of which sum up what all tell.
    pub async fn start(nodes: usize, servers: usize) -> Self {
        let mut fleet = Self { nodes: Vec::new(), servers: Vec::new(), client: Client::http1() };
        for number in 0..servers {
            fleet.servers.push(MortalServer::start(format!("server-{number}")).await);
        }
        for number in 0..nodes {
            let node = fleet.start_node(&format!("node-{number}")).await;
            fleet.nodes.push(node);
        }
        fleet
    }

    /// A node that starts now and hears all others, as they hear it.
    pub async fn start_node(&self, name: &str) -> FleetNode {
        let shared = node(route(RequestKind::AtMostOnce, 1), &[] as &[&TestServer]);
        let records: Vec<ServerRecord> = self.servers.iter().map(MortalServer::record).collect();
        shared.dispatcher().set_ready(records.iter());
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let socket_address = socket.local_addr().unwrap();
        let peers = Peers::default();
        let (callers, stop) = serve_node(&shared).await;
        let duties = PeerDuties { sends_heartbeat: false, aggregates: aggregates(name), sum_bytes_per_second: 1e6 };
        let (sharing, own, known) = (shared.clone(), name.to_owned(), peers.clone());
        let exchange = tokio::spawn(async move { exchange_shares(sharing, socket, &own, duties, known).await });
        let node = FleetNode { name: name.into(), shared, callers, peers, socket_address, exchange, _stop: stop };
        self.connect(&node);
        node
    }

    /// Sends long requests of different bodies at all nodes, and waits until each runs
    /// or has its answer.
    pub async fn run_long(&self, id: &str, count: usize) -> Vec<JoinHandle<Option<Response<Bytes>>>> {
        self.servers.iter().for_each(|server| server.hold());
        let sent: Vec<_> = (0..count)
            .map(|number| self.spawn_send(number % self.nodes.len(), &format!("{id}-{number}"), &long_body(number)))
            .collect();
        let end = Instant::now() + LIMIT;
        while self.long_running() + sent.iter().filter(|request| request.is_finished()).count() < count {
            assert!(Instant::now() < end, "{} of {count} run", self.long_running());
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        sent
    }

    /// Lets the long requests complete.
    pub fn release(&self) {
        self.servers.iter().for_each(|server| server.release());
    }

    /// All nodes send to this server alone.
    pub fn list_only(&self, server: usize) {
        let record = self.servers[server].record();
        self.nodes.iter().for_each(|node| node.shared.dispatcher().set_ready([&record].into_iter()));
    }

    /// Sends a long request of that number at a node, and waits until it runs.
    pub async fn run_long_at(&self, node: usize, id: &str, number: usize) -> JoinHandle<Option<Response<Bytes>>> {
        self.servers.iter().for_each(|server| server.hold());
        let before = self.long_running();
        let sent = self.spawn_send(node, id, &long_body(number));
        let end = Instant::now() + LIMIT;
        while self.long_running() == before {
            assert!(Instant::now() < end && !sent.is_finished(), "it does not run");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        sent
    }

    fn long_running(&self) -> usize {
        self.servers.iter().map(|server| server.long.load(Ordering::SeqCst)).sum()
    }

    /// The registrations of servers that ended lapse.
    pub fn unlist_ended(&self) {
        let alive = self.servers.iter().filter(|server| !server.has_ended());
        let records: Vec<ServerRecord> = alive.map(MortalServer::record).collect();
        self.nodes.iter().for_each(|node| node.shared.dispatcher().set_ready(records.iter()));
    }

    /// Tells the first node, as another node would, that a request ran to its end.
    pub async fn tell_success(&self, request: &RequestKey) {
        let Fingerprint(fingerprint) = request.fingerprint;
        let key = v1::RequestKey { high: (fingerprint >> 64) as u64, low: fingerprint as u64, shape: request.shape.0 };
        let news = v1::QuarantineNews { succeeded: vec![key], ..v1::QuarantineNews::default() };
        let message = v1::ServerShares { from: 1, quarantine: Some(news), ..v1::ServerShares::default() };
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.send_to(&message.encode_to_vec(), self.nodes[0].socket_address).await.unwrap();
    }

    /// No node hears this one any more, nor does it hear any.
    pub fn disconnect(&self, node: &FleetNode) {
        for other in self.nodes.iter().filter(|other| other.name != node.name) {
            node.peers.remove(&other.name);
            other.peers.remove(&node.name);
        }
    }

    /// All nodes forget one that is gone.
    pub fn forget(&self, gone: &FleetNode) {
        self.nodes.iter().for_each(|node| node.peers.remove(&gone.name));
    }

    /// Lets a node and all others hear each other.
    pub fn connect(&self, node: &FleetNode) {
        for other in self.nodes.iter().filter(|other| other.name != node.name) {
            other.peers.put(&node.name, peer(node));
            node.peers.put(&other.name, peer(other));
        }
    }

    /// Servers that have ended.
    pub fn ended(&self) -> usize {
        self.servers.iter().filter(|server| server.has_ended()).count()
    }

    /// Times that the poison began to run.
    pub fn poisons(&self) -> usize {
        self.servers.iter().map(|server| server.poisons.lock().unwrap().len()).sum()
    }

    /// Times that the poison of this body began to run.
    pub fn runs_of(&self, body: &str) -> usize {
        let runs = |server: &MortalServer| server.poisons.lock().unwrap().iter().filter(|run| *run == body).count();
        self.servers.iter().map(runs).sum()
    }

    /// Sends a request of that body at a node; `None` if there was no whole answer.
    pub async fn send(&self, node: usize, id: &str, body: &str) -> Option<Response<Bytes>> {
        send(&self.client, &self.nodes[node].callers, id, body).await
    }

    /// Sends a request with a content of its own for a prompt of these parts.
    pub async fn send_parts(&self, node: usize, id: &str, parts: &str) -> Option<Response<Bytes>> {
        send_with_parts(&self.client, &self.nodes[node].callers, id, id, parts).await
    }

    /// The same as a task.
    pub fn spawn_send(&self, node: usize, id: &str, body: &str) -> JoinHandle<Option<Response<Bytes>>> {
        let (callers, id, body) = (self.nodes[node].callers.clone(), id.to_owned(), body.to_owned());
        tokio::spawn(async move { send(&Client::http1(), &callers, &id, &body).await })
    }
}

/// Sends a request of that body to a node's address; `None` if there was no whole answer.
pub async fn send(client: &Client, callers: &str, id: &str, body: &str) -> Option<Response<Bytes>> {
    send_with_parts(client, callers, id, body, "").await
}

/// The same for a prompt of these parts.
pub async fn send_with_parts(
    client: &Client,
    callers: &str,
    id: &str,
    body: &str,
    parts: &str,
) -> Option<Response<Bytes>> {
    let request = Request::post(format!("http://{callers}/path/x"))
        .header("host", HOST)
        .header("t-id", id)
        .header("parts", parts)
        .body(full(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap();
    let response: Response<Incoming> = client.send(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = latchwheel_http::read_bounded(body, 1 << 16, Duration::from_secs(20)).await.ok()?;
    Some(Response::from_parts(head, body))
}

fn aggregates(name: &str) -> bool {
    name == "node-0" || name == "node-1"
}

fn peer(node: &FleetNode) -> Peer {
    Peer { address: node.socket_address, aggregates: aggregates(&node.name), defers: false }
}
