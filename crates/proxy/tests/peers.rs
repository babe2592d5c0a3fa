//! Nodes that tell each other of their requests by datagrams.

use latchwheel_core::dispatch::{Choice, Placement, PlacementQuery, Prompt, ServerKey};
use latchwheel_core::headroom::{MachineCapacity, PeerHeadroomCounts};
use latchwheel_core::routes::RequestKind;
use latchwheel_proxy::{exchange_shares, Exchange, InFlight, Outgoing, Peer, PeerDuties, Peers, Shared};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, TestDialect, TestServer};
use tokio::net::UdpSocket;

mod support;

struct Node {
    shared: Arc<Shared<TestDialect>>,
    task: tokio::task::JoinHandle<()>,
}

/// Nodes that know each other, the first ones aggregators, and as many more
/// peers that say nothing.
async fn start(server: &TestServer, names: &[&str], aggregators: usize, silent: usize) -> Vec<Node> {
    let mut sockets = Vec::new();
    let peers = Peers::default();
    for (number, name) in names.iter().enumerate() {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        peers.put(
            name,
            Peer { address: socket.local_addr().unwrap(), aggregates: number < aggregators, defers: *name == "worker" },
        );
        sockets.push(socket);
    }
    for number in 0..silent {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1 + number as u16));
        peers.put(&format!("silent-{number}"), Peer { address, aggregates: false, defers: false });
    }
    let mut nodes = Vec::new();
    for (number, (name, socket)) in names.iter().zip(sockets).enumerate() {
        let shared = node(route(RequestKind::Idempotent, 2), &[server]);
        let others = Peers::default();
        peers.copy_to(&others, name);
        let duties = PeerDuties { sends_heartbeat: false, aggregates: number < aggregators, sum_bytes_per_second: 1e6 };
        let (telling, name) = (shared.clone(), (*name).to_owned());
        let task = tokio::spawn(async move { exchange_shares(telling, socket, &name, duties, others).await });
        nodes.push(Node { shared, task });
    }
    nodes
}

/// The node sends so many requests to the server.
fn send(node: &Node, server: &TestServer, count: usize) {
    let prompt = Prompt::default();
    let ask = PlacementQuery {
        software: None,
        service: &server.record().service,
        prompt: &prompt,
        avoid: &[],
        wait_limit: Duration::from_secs(60),
        reserve: 0.0,
        spread: 0,
        deferrable: false,
    };
    let now = node.shared.clock.now();
    for _ in 0..count {
        let Choice::Send(placement) = node.shared.dispatcher().choose(now, &ask) else { panic!("no server") };
        node.shared.dispatcher().note_sent(now, &placement, &prompt);
    }
}

/// Free slots that a node sees at the server.
fn free(node: &Node, server: &TestServer) -> f64 {
    node.shared.dispatcher().free_slots(node.shared.clock.now(), &server.record().id, 0.0).unwrap()
}

async fn until(holds: impl Fn() -> bool, what: &str) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_few_nodes_tell_each_other_directly() {
    let server = TestServer::start("server", Vec::new()).await;
    let nodes = start(&server, &["a", "b"], 0, 0).await;
    let before = free(&nodes[1], &server);
    send(&nodes[0], &server, 2);
    until(|| free(&nodes[1], &server) == before - 2.0, "the other hears of both").await;
}

/// With many nodes an aggregator tells each what all others do, once; when it
/// dies the next one does.
#[tokio::test]
async fn many_nodes_are_told_by_aggregators() {
    let server = TestServer::start("server", Vec::new()).await;
    let nodes = start(&server, &["first", "second", "a", "b", "c"], 2, 30).await;
    let before = free(&nodes[2], &server);
    for (number, node) in nodes.iter().enumerate() {
        send(node, &server, number + 1);
    }
    for node in &nodes {
        until(|| free(node, &server) == before - 15.0, "every node knows all requests").await;
    }
    nodes[0].task.abort();
    send(&nodes[3], &server, 5);
    // What the dead aggregator did lapses with its last report.
    for node in &nodes[1..] {
        until(|| free(node, &server) == before - 19.0, "the other aggregator goes on").await;
    }
}

/// A request that takes a slot which deferrable work holds asks the node that
/// runs that work, without waiting for the next report.
#[tokio::test]
async fn a_node_asks_another_for_room() {
    let server = TestServer::start("server", Vec::new()).await;
    let nodes = start(&server, &["worker", "front"], 0, 0).await;
    let mut wanted = nodes[0].shared.take_room_wanted().unwrap();
    let prompt = Prompt::default();
    let ask = PlacementQuery {
        software: None,
        service: &server.record().service,
        prompt: &prompt,
        avoid: &[],
        wait_limit: Duration::from_secs(60),
        reserve: 0.0,
        spread: 0,
        deferrable: false,
    };
    let choice = nodes[1].shared.dispatcher().choose(nodes[1].shared.clock.now(), &ask);
    let Choice::Send(placement) = choice else { panic!("no server") };
    let outgoing = Outgoing {
        method: hyper::Method::POST,
        uri: "/path/x".parse().unwrap(),
        headers: hyper::HeaderMap::new(),
        body: bytes::Bytes::new(),
        id: hyper::header::HeaderValue::from_static("id"),
        prompt: Prompt::default(),
        in_flight: InFlight::default(),
    };
    let calm = Exchange::reserve(&nodes[1].shared, placement.clone(), &outgoing);
    let pressing = Exchange::reserve(&nodes[1].shared, Placement { preempts: true, ..placement }, &outgoing);
    let key = tokio::time::timeout(Duration::from_secs(20), wanted.recv()).await.unwrap();
    assert_eq!(key, Some(ServerKey::of(&server.record().id)));
    assert!(wanted.try_recv().is_err(), "only one of the two asks");
    drop((calm, pressing));
}

/// Each node hears how many of the others are busy: directly where they are few, by a sum
/// where they are many. A machine without known limits tells nothing.
#[tokio::test]
async fn nodes_tell_the_room_of_their_machines() {
    let server = TestServer::start("server", Vec::new()).await;
    for silent in [0, 30] {
        let nodes = start(&server, &["first", "second", "a", "b", "c"], 2, silent).await;
        let roomy = MachineCapacity { descriptors: 1_000_000, ..MachineCapacity::default() };
        // A process has more descriptors open than this.
        let full = MachineCapacity { descriptors: 1, ..MachineCapacity::default() };
        nodes[1].shared.machine_room.set_capacity(roomy);
        nodes[2].shared.machine_room.set_capacity(full);
        nodes[3].shared.machine_room.set_capacity(full);
        let others = |node: &Node| node.shared.machine_room.others(node.shared.clock.now());
        until(|| others(&nodes[0]) == PeerHeadroomCounts { nodes: 3, busy: 2 }, "a node that tells nothing").await;
        until(|| others(&nodes[1]) == PeerHeadroomCounts { nodes: 2, busy: 2 }, "a node with room").await;
        until(|| others(&nodes[2]) == PeerHeadroomCounts { nodes: 2, busy: 1 }, "a busy node").await;
        until(|| others(&nodes[4]) == PeerHeadroomCounts { nodes: 3, busy: 2 }, "another node").await;
        nodes[2].task.abort();
        until(|| others(&nodes[4]) == PeerHeadroomCounts { nodes: 2, busy: 1 }, "a dead node is none").await;
    }
}
