//! Asking keepers of servers over real sockets, and news of tables among nodes.

mod support;

use latchwheel_core::dispatch::{Choice, Prompt};
use latchwheel_core::routes::{ClientLimits, RequestKind, RoutingTable};
use latchwheel_core::tenants::Tenants;
use latchwheel_proxy::{exchange_shares, Peer, PeerDuties, Peers, PlaceAsk, Shared};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer, SERVICE};
use tokio::net::UdpSocket;

const LIMIT: Duration = Duration::from_secs(20);

async fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

fn start(shared: &Arc<Shared<TestDialect>>, socket: UdpSocket, name: &'static str, aggregates: bool, peers: Peers) {
    let duties = PeerDuties { sends_heartbeat: false, aggregates, sum_bytes_per_second: 1e6 };
    let shared = shared.clone();
    tokio::spawn(async move { exchange_shares(shared, socket, name, duties, peers).await });
}

fn peers(others: &[(&str, SocketAddr, bool)]) -> Peers {
    let peers = Peers::default();
    for (name, address, aggregates) in others {
        peers.put(name, Peer { address: *address, aggregates: *aggregates, defers: false });
    }
    peers
}

fn ask(prompt: &Prompt) -> PlaceAsk<'_> {
    let wait_limit = Duration::from_millis(100);
    PlaceAsk { software: None, service: SERVICE, prompt, avoid: &[], wait_limit, deferrable: false, reserve: 0.0 }
}

/// Asks until the outcome is one that was waited for.
async fn until(shared: &Arc<Shared<TestDialect>>, expected: impl Fn(&Option<Choice>) -> bool) {
    let end = Instant::now() + LIMIT;
    loop {
        let choice = shared.placements.ask(shared, &ask(&Prompt::default())).await;
        if expected(&choice) {
            return;
        }
        assert!(Instant::now() < end, "{choice:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_front_is_placed_by_a_keeper_and_by_itself_once_that_is_gone() {
    let server = TestServer::start("one", vec![Act::Silence]).await;
    let route = route(RequestKind::Idempotent, 1);
    let (front, keeper) = (node(route.clone(), &[&server]), node(route, &[&server]));
    let (front_socket, front_address) = socket().await;
    let (keeper_socket, keeper_address) = socket().await;
    start(&front, front_socket, "front", false, peers(&[("keeper", keeper_address, true)]));
    let others = peers(&[("front", front_address, false)]);
    let duties = PeerDuties { sends_heartbeat: false, aggregates: true, sum_bytes_per_second: 1e6 };
    let keeping = keeper.clone();
    let task = tokio::spawn(async move { exchange_shares(keeping, keeper_socket, "keeper", duties, others).await });
    until(&front, |choice| matches!(choice, Some(Choice::Send(_)))).await;
    // What was advised and not sent counts until the front tells of itself; once all
    // slots are taken by advice alone the keeper says so.
    let slots = server.record().slots;
    let mut full = false;
    for _ in 0..slots * 4 {
        full |= matches!(front.placements.ask(&front, &ask(&Prompt::default())).await, Some(Choice::Full(_)));
    }
    assert!(full, "nothing was counted");
    task.abort();
    until(&front, Option::is_none).await;
}

#[tokio::test]
async fn a_node_hears_that_others_have_a_newer_table() {
    let server = TestServer::start("one", vec![]).await;
    let route = route(RequestKind::Idempotent, 1);
    let (knows, between, misses) =
        (node(route.clone(), &[&server]), node(route.clone(), &[&server]), node(route.clone(), &[&server]));
    let newer = RoutingTable::new(5, ClientLimits::default(), HashMap::new(), Tenants::default(), [route]);
    assert!(knows.put_in_force(newer).is_some());
    let (first, first_address) = socket().await;
    let (second, second_address) = socket().await;
    let (third, third_address) = socket().await;
    // The one in the middle has no newer table either, and passes the news on.
    start(&knows, first, "knows", false, peers(&[("between", second_address, true)]));
    let both = [("knows", first_address, false), ("misses", third_address, false)];
    start(&between, second, "between", true, peers(&both));
    start(&misses, third, "misses", false, peers(&[("between", second_address, true)]));
    tokio::time::timeout(LIMIT, misses.missed_a_table()).await.unwrap();
}

/// A server works as long as it is told to: the time for which a request was held is
/// over.
#[tokio::test]
async fn a_request_that_was_held_has_less_time_left() {
    const DEADLINE: Duration = Duration::from_secs(20);
    let server = TestServer::start("one", vec![Act::Answer(200, "done".into())]).await;
    let shared = node(route(RequestKind::Idempotent, 1), &[&server]);
    // A keeper of its own, and all slots of the server are taken.
    let (own_socket, _) = socket().await;
    start(&shared, own_socket, "keeper", true, Peers::default());
    until(&shared, Option::is_some).await;
    let placement = shared.dispatcher().place_at(
        shared.clock.now(),
        latchwheel_core::dispatch::ServerKey::of("one"),
        0,
        Duration::ZERO,
        false,
    );
    let placement = placement.unwrap();
    let slots = server.record().slots * 2;
    (0..slots).for_each(|_| shared.dispatcher().note_sent(shared.clock.now(), &placement, &Prompt::default()));
    until(&shared, |choice| matches!(choice, Some(Choice::Full(_)))).await;

    let (address, _stop) = support::serve_node(&shared).await;
    let request = hyper::Request::builder()
        .uri(format!("http://{address}/path/x"))
        .header("host", support::HOST)
        .header("t-id", "id-1")
        .header("t-deadline", DEADLINE.as_millis() as u64)
        .body(latchwheel_http::full(bytes::Bytes::new()))
        .unwrap();
    let answer = tokio::spawn(async move { latchwheel_http::Client::http1().send(request).await.unwrap() });
    while shared.in_progress() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let held_since = Instant::now();
    // Servers that say something are not silent.
    while held_since.elapsed() < Duration::from_millis(1200) {
        shared.dispatcher().note_contact(shared.clock.now(), "one");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let held = held_since.elapsed();
    for _ in 0..slots {
        let (now, time) = (shared.clock.now(), Duration::from_millis(1));
        let ending = latchwheel_core::dispatch::Ending::Answered;
        shared.dispatcher().note_end(now, &placement, ending, true, time);
    }
    assert_eq!(answer.await.unwrap().status().as_u16(), 200);
    let told: u64 = server.seen()[0].header("t-deadline").unwrap().parse().unwrap();
    let left = (DEADLINE - held).as_millis() as u64;
    assert!(told <= left, "{told} ms told, {left} ms at most were left");
}

#[tokio::test]
async fn a_request_whose_caller_leaves_waits_for_no_advice() {
    let server = TestServer::start("one", vec![]).await;
    let route = route(RequestKind::Idempotent, 1);
    let (front, keeper) = (node(route.clone(), &[&server]), node(route, &[&server]));
    let (front_socket, front_address) = socket().await;
    let (keeper_socket, keeper_address) = socket().await;
    start(&front, front_socket, "front", false, peers(&[("keeper", keeper_address, true)]));
    start(&keeper, keeper_socket, "keeper", true, peers(&[("front", front_address, false)]));
    let prompt = Prompt::default();
    let place_ask = ask(&prompt);
    let end = Instant::now() + LIMIT;
    // At first the front answers itself, as a deputy.
    let asking = loop {
        let mut asking = Box::pin(front.placements.ask(&front, &place_ask));
        if futures::poll!(&mut asking).is_pending() {
            break asking;
        }
        assert!(Instant::now() < end, "no other node is asked");
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert!(!format!("{:?}", front.placements).contains("waiting: {}"), "{:?}", front.placements);
    drop(asking);
    assert!(format!("{:?}", front.placements).contains("waiting: {}"), "{:?}", front.placements);
}
