//! Claims that wait at a keeper over real sockets: their order, and a keeper that is lost.

mod support;

use bytes::Bytes;
use hyper::{Method, Request};
use latchwheel_core::dispatch::{Ending, Placement, Prompt, ServerKey};
use latchwheel_core::routes::{ClientLimits, RequestKind, RoutingTable};
use latchwheel_core::tenants::{RateLimit, Tenant, TenantKey, Tenants};
use latchwheel_http::{full, Client};
use latchwheel_proxy::{exchange_shares, Peer, PeerDuties, Peers, Shared};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer, HOST};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_secs(20);
/// Rounds of the test's only thread, of 2 ms or more, in which a keeper gives away a slot
/// that came free. A time would not do: a second slot would come free where the thread
/// stood still in it.
const ROUNDS_TO_GRANT: u32 = 200;
const KIND: RequestKind = RequestKind::Idempotent;

/// A table with these tenants; a tenant's key is its name.
fn table(version: u64, tenants: &[(&str, u32)]) -> RoutingTable {
    let tenants = tenants.iter().map(|(name, precedence)| {
        let limit = RateLimit::default();
        let tenant = Tenant { name: (*name).into(), key: TenantKey::of(name), precedence: Some(*precedence), limit };
        (tenant, vec![(*name).to_owned()])
    });
    RoutingTable::new(version, ClientLimits::default(), HashMap::new(), Tenants::new(tenants), [route(KIND, 1)])
}

/// A front, and a keeper of one server whose slots are all taken.
struct Crowded {
    front: Arc<Shared<TestDialect>>,
    keeper: Arc<Shared<TestDialect>>,
    server: TestServer,
    callers: String,
    placement: Placement,
    keeping: JoinHandle<()>,
    hearing: JoinHandle<()>,
    /// Requests that [`Crowded::serve_one`] gave back.
    given_back: AtomicUsize,
    _stop: watch::Sender<bool>,
}

impl Drop for Crowded {
    fn drop(&mut self) {
        self.keeping.abort();
        self.hearing.abort();
    }
}

async fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

fn start(
    shared: &Arc<Shared<TestDialect>>,
    socket: UdpSocket,
    name: &'static str,
    other: (&str, SocketAddr, bool),
) -> JoinHandle<()> {
    let (other_name, address, aggregates) = other;
    let peers = Peers::default();
    peers.put(other_name, Peer { address, aggregates, defers: false });
    let duties = PeerDuties { sends_heartbeat: false, aggregates: !aggregates, sum_bytes_per_second: 1e6 };
    let shared = shared.clone();
    tokio::spawn(async move { exchange_shares(shared, socket, name, duties, peers).await })
}

impl Crowded {
    async fn start(tenants: &[(&str, u32)]) -> Self {
        let server = TestServer::start("one", vec![Act::Answer(200, "done".into()); 9]).await;
        let (front, keeper) = (node(route(KIND, 1), &[&server]), node(route(KIND, 1), &[&server]));
        for shared in [&front, &keeper] {
            assert!(shared.put_in_force(table(2, tenants)).is_some());
        }
        let (front_socket, front_address) = socket().await;
        let (keeper_socket, keeper_address) = socket().await;
        start(&front, front_socket, "front", ("keeper", keeper_address, true));
        let keeping = start(&keeper, keeper_socket, "keeper", ("front", front_address, false));
        let now = keeper.clock.now();
        let placement = keeper.dispatcher().place_at(now, ServerKey::of("one"), 0, Duration::ZERO, false).unwrap();
        for _ in 0..server.record().slots * 2 {
            keeper.dispatcher().note_sent(now, &placement, &Prompt::default());
        }
        let hearing = tokio::spawn(hear(keeper.clone(), front.clone()));
        let (callers, stop) = support::serve_node(&front).await;
        let crowded = Self {
            front,
            keeper,
            server,
            callers,
            placement,
            keeping,
            hearing,
            given_back: AtomicUsize::new(0),
            _stop: stop,
        };
        crowded.wait_for("a keeper other than the front", |state| state.contains("keepers: [(")).await;
        crowded
    }

    /// Waits until the front's calls to keepers look so.
    async fn wait_for(&self, what: &str, expected: impl Fn(&str) -> bool) {
        let end = Instant::now() + LIMIT;
        let keeper = latchwheel_core::identity::NodeId::of_name("keeper");
        loop {
            let state = format!("{:?}", self.front.placements);
            if expected(&state) && state.contains(&format!("{keeper:?}")) {
                return;
            }
            assert!(Instant::now() < end, "{what}: {state}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a request of a tenant, and waits until its claim waits at the keeper beside
    /// the others.
    async fn claim(&self, id: &str, tenant: &str, waiting: usize) -> JoinHandle<u16> {
        let sent = send(&self.callers, id, tenant);
        self.wait_until_waiting(waiting).await;
        sent
    }

    async fn wait_until_waiting(&self, waiting: usize) {
        let end = Instant::now() + LIMIT;
        while self.keeper.keeper_claims.waiting() != waiting {
            assert!(Instant::now() < end, "{} of {waiting} wait", self.keeper.keeper_claims.waiting());
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Slots come free until the server sees one request more than were given back here; it
    /// follows. Several may have come since: the slot of one that ends is given away too.
    async fn serve_one(&self) -> String {
        let before = self.given_back.fetch_add(1, Ordering::Relaxed);
        let waiting = self.keeper.keeper_claims.waiting();
        let mut rounds_left = 0;
        let end = Instant::now() + LIMIT;
        while self.server.seen().len() <= before {
            assert!(Instant::now() < end, "nobody is served");
            let is_granted = self.keeper.keeper_claims.waiting() < waiting;
            if rounds_left == 0 && !is_granted {
                rounds_left = ROUNDS_TO_GRANT;
                self.free_slot();
            }
            rounds_left = rounds_left.saturating_sub(1);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        self.server.seen()[before].header("t-id").unwrap()
    }

    fn free_slot(&self) {
        let now = self.keeper.clock.now();
        let time = Duration::from_millis(1);
        self.keeper.dispatcher().note_end(now, &self.placement, Ending::Answered, true, time);
    }
}

/// Sends a request of a tenant; its status follows.
fn send(callers: &str, id: &str, tenant: &str) -> JoinHandle<u16> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{callers}/path/x"))
        .header("host", HOST)
        .header("t-id", id)
        .header("t-deadline", 15_000)
        .header("authorization", format!("Bearer {tenant}"))
        .body(full(Bytes::from_static(b"x")))
        .unwrap();
    tokio::spawn(async move { Client::http1().send(request).await.unwrap().status().as_u16() })
}

/// The server is heard by the keeper all the while, and the front by having news.
async fn hear(keeper: Arc<Shared<TestDialect>>, front: Arc<Shared<TestDialect>>) {
    for news in 1.. {
        front.dispatcher().set_waiting(news);
        keeper.dispatcher().note_contact(keeper.clock.now(), "one");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn the_higher_precedence_of_tenants_is_served_first() {
    let crowded = Crowded::start(&[("low", 1), ("high", 0)]).await;
    let low = crowded.claim("low-1", "low", 1).await;
    let high = crowded.claim("high-1", "high", 2).await;
    assert_eq!(crowded.serve_one().await, "high-1");
    assert_eq!(crowded.serve_one().await, "low-1");
    assert_eq!((low.await.unwrap(), high.await.unwrap()), (200, 200));
}

#[tokio::test]
async fn a_tenant_with_one_request_waits_behind_one_of_a_flooding_tenant_at_most() {
    let crowded = Crowded::start(&[("flood", 0), ("modest", 0)]).await;
    for number in 1..=4 {
        crowded.claim(&format!("flood-{number}"), "flood", number).await;
    }
    crowded.claim("modest-1", "modest", 5).await;
    let served = [crowded.serve_one().await, crowded.serve_one().await];
    assert!(served.contains(&"modest-1".to_owned()), "{served:?}");
}

#[tokio::test]
async fn a_precedence_that_changes_holds_for_claims_that_wait() {
    let crowded = Crowded::start(&[("first", 0), ("second", 1)]).await;
    crowded.claim("first-1", "first", 1).await;
    crowded.claim("second-1", "second", 2).await;
    assert!(crowded.keeper.put_in_force(table(3, &[("first", 2), ("second", 1)])).is_some());
    assert_eq!(crowded.serve_one().await, "second-1");
}

#[tokio::test]
async fn a_claim_whose_caller_leaves_is_dropped() {
    let crowded = Crowded::start(&[("one", 0)]).await;
    let gone = crowded.claim("gone", "one", 1).await;
    gone.abort();
    crowded.wait_until_waiting(0).await;
    crowded.claim("stays", "one", 1).await;
    assert_eq!(crowded.serve_one().await, "stays");
}

#[tokio::test]
async fn a_claim_at_a_keeper_that_dies_is_served_without_it() {
    let crowded = Crowded::start(&[("one", 0)]).await;
    let waiting = crowded.claim("id-1", "one", 1).await;
    crowded.keeping.abort();
    assert_eq!(tokio::time::timeout(Duration::from_secs(5), waiting).await.unwrap().unwrap(), 200);
}

/// Longer than the time after which a node that is not heard loses its claims.
const LONG_WAIT: Duration = Duration::from_secs(2);

#[tokio::test]
async fn a_keeper_keeps_the_claims_of_its_own_requests() {
    let crowded = Crowded::start(&[("one", 0)]).await;
    let (callers, _stop) = support::serve_node(&crowded.keeper).await;
    let waiting = send(&callers, "own-1", "one");
    crowded.wait_until_waiting(1).await;
    let end = Instant::now() + LONG_WAIT;
    while Instant::now() < end {
        assert_eq!(crowded.keeper.keeper_claims.waiting(), 1);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(crowded.serve_one().await, "own-1");
    assert_eq!(waiting.await.unwrap(), 200);
}

#[tokio::test]
async fn a_claim_is_renewed_for_longer_than_a_keeper_may_be_silent() {
    let crowded = Crowded::start(&[("one", 0)]).await;
    let waiting = crowded.claim("id-1", "one", 1).await;
    // Far longer than the time after which a keeper is taken to have lost a claim.
    let end = Instant::now() + Duration::from_millis(1200);
    while Instant::now() < end {
        assert_eq!(crowded.keeper.keeper_claims.waiting(), 1);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(crowded.serve_one().await, "id-1");
    assert_eq!(waiting.await.unwrap(), 200);
}

#[tokio::test]
async fn a_node_without_a_keeper_orders_its_own_requests() {
    let server = TestServer::start("one", vec![Act::Answer(200, "done".into()); 2]).await;
    let shared = node(route(KIND, 1), &[&server]);
    assert!(shared.put_in_force(table(2, &[("low", 1), ("high", 0)])).is_some());
    let now = shared.clock.now();
    let placement = shared.dispatcher().place_at(now, ServerKey::of("one"), 0, Duration::ZERO, false).unwrap();
    let taken = server.record().slots * 4;
    (0..taken).for_each(|_| shared.dispatcher().note_sent(now, &placement, &Prompt::default()));
    let (callers, _stop) = support::serve_node(&shared).await;
    let low = send(&callers, "low-1", "low");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let high = send(&callers, "high-1", "high");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(server.seen().is_empty() && !low.is_finished() && !high.is_finished(), "nobody waits");
    for _ in 0..taken {
        let time = Duration::from_millis(100);
        shared.dispatcher().note_end(shared.clock.now(), &placement, Ending::Answered, true, time);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((low.await.unwrap(), high.await.unwrap()), (200, 200));
    let order: Vec<String> = server.seen().iter().filter_map(|seen| seen.header("t-id")).collect();
    assert_eq!(order, ["high-1", "low-1"]);
}
