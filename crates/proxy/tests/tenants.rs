//! Keys of callers, tenants that servers are told, and limits of tenants.

mod support;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use latchwheel_core::routes::{ClientLimits, RequestKind, Route, RoutingTable};
use latchwheel_core::startup_snapshot::MAX_SNAPSHOT_AGE;
use latchwheel_core::tenants::{RateLimit, Tenant, TenantKey, Tenants};
use latchwheel_http::{full, Client};
use latchwheel_proxy::{bearer_key, exchange_shares, PeerDuties, Peers, Shared};
use std::collections::HashMap;
use std::sync::Arc;
use support::{node, route, Act, TestDialect, TestServer, HOST};
use tokio::net::UdpSocket;
use tokio::sync::watch;

const KIND: RequestKind = RequestKind::Idempotent;

fn tenant(name: &str, per_second: f64, keys: &[&str]) -> (Tenant, Vec<String>) {
    let limit = RateLimit { per_second, burst: 0.0 };
    let tenant = Tenant { name: name.into(), key: TenantKey::of(name), precedence: None, limit };
    (tenant, keys.iter().map(|key| (*key).to_owned()).collect())
}

fn table(version: u64, route: Route, tenants: Vec<(Tenant, Vec<String>)>) -> RoutingTable {
    RoutingTable::new(version, ClientLimits::default(), HashMap::new(), Tenants::new(tenants), [route])
}

async fn start(server: &TestServer, tenants: Vec<(Tenant, Vec<String>)>, public: bool) -> Serving {
    let shared = node(route(KIND, 1), &[server]);
    let route = Route { public, ..route(KIND, 1) };
    assert!(shared.put_in_force(table(2, route, tenants)).is_some());
    let (address, stop) = support::serve_node(&shared).await;
    Serving { address, shared, _stop: stop }
}

struct Serving {
    address: String,
    shared: Arc<Shared<TestDialect>>,
    _stop: watch::Sender<bool>,
}

impl Serving {
    /// Status and come-back time of a request that shows this.
    async fn ask(&self, authorization: Option<&str>) -> (u16, Option<f64>) {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/path/x", self.address))
            .header("host", HOST)
            .header("t-id", "id-1")
            .header("t-deadline", 5000)
            .header("t-tenant", "what the caller says");
        if let Some(value) = authorization {
            request = request.header("authorization", value);
        }
        let response = Client::http1().send(request.body(full(Bytes::from_static(b"x"))).unwrap()).await.unwrap();
        let retry_after = response.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
        (response.status().as_u16(), retry_after)
    }
}

fn answers(count: usize) -> Vec<Act> {
    vec![Act::Answer(200, "done".into()); count]
}

#[tokio::test]
async fn servers_are_told_the_tenant_and_never_the_key() {
    let server = TestServer::start("one", answers(2)).await;
    let node =
        start(&server, vec![tenant("red", 0.0, &["key-1", "key-2"]), tenant("blue", 0.0, &["key-3"])], false).await;
    assert_eq!(node.ask(Some("Bearer key-2")).await.0, 200);
    assert_eq!(node.ask(Some("bearer key-3")).await.0, 200);
    let seen = server.seen();
    assert_eq!(
        seen.iter().map(|seen| seen.header("t-tenant")).collect::<Vec<_>>(),
        [Some("red".into()), Some("blue".into())]
    );
    assert!(seen.iter().all(|seen| !seen.head.contains("key-") && seen.header("authorization").is_none()));
}

/// A key may have been taken away since the store confirmed a table that was kept on a disk.
/// Nobody is told that a key is wrong by such a table, and what needs none is served.
#[tokio::test]
async fn keys_of_a_table_that_was_confirmed_too_long_ago_are_not_accepted() {
    let server = TestServer::start("one", answers(3)).await;
    let node = start(&server, vec![tenant("red", 0.0, &["key-1"])], false).await;
    node.shared.note_keys_kept(MAX_SNAPSHOT_AGE / 2);
    assert_eq!(node.ask(Some("Bearer key-1")).await.0, 200);
    node.shared.note_keys_kept(MAX_SNAPSHOT_AGE);
    assert_eq!(node.ask(Some("Bearer key-1")).await.0, 503);
    assert_eq!(node.ask(Some("Bearer key-9")).await.0, 503);
    let public = Route { public: true, ..route(KIND, 1) };
    assert!(node.shared.put_in_force(table(3, public, vec![tenant("red", 0.0, &["key-1"])])).is_some());
    assert_eq!(node.ask(Some("Bearer key-1")).await.0, 200);
    assert_eq!(server.seen().last().unwrap().header("t-tenant"), None, "the key counts for nobody");
    node.shared.note_keys_told();
    assert_eq!(node.ask(Some("Bearer key-1")).await.0, 200);
    assert_eq!(server.seen().last().unwrap().header("t-tenant"), Some("red".into()));
}

#[tokio::test]
async fn unknown_and_malformed_keys_are_refused_at_once() {
    let server = TestServer::start("one", answers(1)).await;
    let node = start(&server, vec![tenant("red", 0.0, &["key-1"])], false).await;
    for authorization in
        [None, Some("Bearer key-9"), Some("key-1"), Some("Basic key-1"), Some("Bearer"), Some("Bearer key-1 x")]
    {
        assert_eq!(node.ask(authorization).await.0, 401, "{authorization:?}");
    }
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn a_key_that_is_taken_away_is_refused_from_then_on() {
    let server = TestServer::start("one", answers(2)).await;
    let node = start(&server, vec![tenant("red", 0.0, &["key-1"])], false).await;
    assert_eq!(node.ask(Some("Bearer key-1")).await.0, 200);
    node.shared.put_in_force(table(3, route(KIND, 1), vec![tenant("red", 0.0, &["key-2"])]));
    assert_eq!(node.ask(Some("Bearer key-1")).await.0, 401);
    assert_eq!(node.ask(Some("Bearer key-2")).await.0, 200);
}

#[tokio::test]
async fn public_routes_need_no_key() {
    let server = TestServer::start("one", answers(2)).await;
    let node = start(&server, vec![tenant("red", 0.0, &["key-1"])], true).await;
    assert_eq!(node.ask(None).await.0, 200);
    assert_eq!(node.ask(Some("Bearer key-9")).await.0, 200);
    assert!(server
        .seen()
        .iter()
        .all(|seen| seen.header("t-tenant").is_none() && seen.header("authorization").is_none()));
}

#[tokio::test]
async fn a_node_without_a_table_is_not_ready_rather_than_sure() {
    let shared = Shared::new(TestDialect::default(), latchwheel_proxy::Clock::start());
    let (address, stop) = support::serve_node(&shared).await;
    let node = Serving { address, shared, _stop: stop };
    assert_eq!(node.ask(Some("Bearer key-1")).await.0, 503);
}

#[tokio::test]
async fn what_is_beyond_a_tenants_limit_is_told_when_to_come_back() {
    let server = TestServer::start("one", answers(400)).await;
    let node = start(&server, vec![tenant("red", 4.0, &["key-1"]), tenant("blue", 0.0, &["key-2"])], false).await;
    // A home by itself: no other node is to be heard.
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let duties = PeerDuties { sends_heartbeat: false, aggregates: true, sum_bytes_per_second: 1e6 };
    let shared = node.shared.clone();
    tokio::spawn(async move { exchange_shares(shared, socket, "home", duties, Peers::default()).await });
    let (mut ran, mut refused) = (0, 0);
    while ran == 0 || refused == 0 {
        match node.ask(Some("Bearer key-1")).await {
            (200, _) => ran += 1,
            (429, Some(retry_after)) => {
                assert!(retry_after > 0.0, "{retry_after}");
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(node.ask(Some("Bearer key-2")).await.0, 200);
    assert_eq!(server.seen().len(), ran + 1);
}

#[test]
fn keys_in_headers() {
    let headers = |values: &[&[u8]]| {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append("authorization", hyper::header::HeaderValue::from_bytes(value).unwrap());
        }
        headers
    };
    assert_eq!(bearer_key(&headers(&[b"Bearer abc"])), Some("abc"));
    assert_eq!(bearer_key(&headers(&[b"  BEARER   abc "])), Some("abc"));
    assert_eq!(bearer_key(&headers(&[b"Bearer abc", b"Bearer def"])), None);
    assert_eq!(bearer_key(&headers(&[b"Bearer \xff\xfe"])), None);
    assert_eq!(bearer_key(&headers(&[&[b'x'; 60_000]])), None);
    assert_eq!(bearer_key(&headers(&[])), None);
}
