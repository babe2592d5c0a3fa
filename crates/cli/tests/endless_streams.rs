//! Streams of an engine that sends events without a pause and without end: each ends at its
//! deadline and at a planned stop of the node, with an event that tells why.

mod support;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::{NodeId, ServerId};
use latchwheel_core::ownership::{assign, OwnedServer, OwnerCandidate};
use latchwheel_emulator::site::SiteSettings;
use latchwheel_http::{boxed, full, json, serve, Body, BoxError, Client, Version};
use std::time::{Duration, Instant};
use support::node_process::{request, NodeProcess, RunningSite, LIMIT, SERVICE};
use tokio::net::TcpListener;
use tokio::sync::watch;

const REGION: &str = "r";
const ZONE: &str = "z";
const DRAIN_SETTINGS: &str = "drain_seconds = 3\n";
const DEADLINE_MILLISECONDS: &str = "2000";
/// Bytes of an event's data: more than a frame between two nodes has.
const EVENT_BYTES: usize = 40 << 10;
/// Time between two pieces that a slow client reads.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(1);
const NODES: [&str; 2] = ["node", "other"];

/// An engine whose streams never end.
async fn start_engine(stop: watch::Receiver<bool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve(listener, Version::Http1, stop, answer));
    address
}

async fn answer(request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == "/v1/load" {
        let report = serde_json::json!({ "running": 0, "waiting": 0, "tokens": 0, "slots": 4,
            "token_capacity": 1_000_000, "models": [SERVICE], "role": "mixed", "draining": false });
        return json(200, &report);
    }
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    if body["stream"] != true {
        return json(200, &serde_json::json!({}));
    }
    let event = Bytes::from(format!("data: \"{}\"\n\n", "x".repeat(EVENT_BYTES)));
    let events = futures::stream::repeat(event).map(|event| Ok::<_, BoxError>(Frame::data(event)));
    Response::new(boxed(StreamBody::new(events)))
}

/// Name of a server that this one of the two nodes owns.
fn server_of(owner: &str) -> String {
    let candidate =
        |name: &&str| OwnerCandidate { node: NodeId::of_name(name), zone: ZONE.into(), region: REGION.into() };
    let candidates: Vec<_> = NODES.iter().map(candidate).collect();
    let is_owned = |name: &String| {
        let server = ServerId::of_name(name);
        let owned = OwnedServer { server, zone: ZONE.into(), region: REGION.into() };
        assign(&candidates, &[owned]).get(&server) == Some(&NodeId::of_name(owner))
    };
    (0..).map(|number| format!("engine-{number}")).find(is_owned).unwrap()
}

/// Enters a machine into the machine list.
async fn enter(site: &RunningSite, name: &str, kind: &str, address: &str, service: &str) {
    let machine = serde_json::json!({ "name": name, "kind": kind, "address": address, "zone": ZONE,
        "region": REGION, "service": service, "state": "live" });
    let list = &site.site.addresses.machines;
    let added = Client::http1().json(Method::POST, list, "/admin/machines", &machine, LIMIT).await;
    let _: serde_json::Value = added.unwrap();
}

/// Nodes beside one endless engine.
struct Fleet {
    site: RunningSite,
    nodes: Vec<NodeProcess>,
    _stop: watch::Sender<bool>,
}

impl Fleet {
    /// The last of the nodes owns the engine, and the first one is asked.
    async fn start(nodes: usize) -> Self {
        let (stop, stopped) = watch::channel(false);
        let site = RunningSite::start(&SiteSettings {
            region: REGION.into(),
            zones: vec![ZONE.into()],
            services: Vec::new(),
            key_value: Default::default(),
            weights: Default::default(),
            machine_list_lag_milliseconds: 0,
        })
        .await;
        let engine = start_engine(stopped).await;
        enter(&site, &server_of(NODES[nodes - 1]), "engine", &engine, SERVICE).await;
        let mut fleet = Self { site, nodes: Vec::new(), _stop: stop };
        for name in NODES.iter().take(nodes) {
            let node = NodeProcess::start(&fleet.site.site, name, DRAIN_SETTINGS, "").await;
            enter(&fleet.site, name, "node", &node.addresses.peers, "").await;
            fleet.nodes.push(node);
        }
        if nodes > 1 {
            fleet.wait_until_requests_are_forwarded().await;
        }
        fleet
    }

    async fn wait_until_requests_are_forwarded(&self) {
        let end = Instant::now() + LIMIT;
        while self.nodes[0].metric("latchwheel_forwards_total").await == 0 {
            assert!(Instant::now() < end, "no request is forwarded");
            self.nodes[0].assert_serves().await;
        }
    }

    fn node(&mut self) -> &mut NodeProcess {
        &mut self.nodes[0]
    }

    async fn begin_stream(&mut self, deadline_milliseconds: Option<&'static str>) -> Incoming {
        let body = serde_json::json!({ "model": SERVICE, "prompt": "a", "stream": true });
        let mut request = request(&self.node().addresses.callers, "/v1/completions", full(body.to_string()));
        if let Some(deadline) = deadline_milliseconds {
            request.headers_mut().insert("x-latchwheel-deadline-ms", HeaderValue::from_static(deadline));
        }
        let response = Client::http1().send(request).await.unwrap();
        assert_eq!(response.headers()["content-type"], "text/event-stream");
        response.into_body()
    }
}

/// How a stream ended for its client.
#[derive(Debug, PartialEq, Eq)]
struct End {
    /// Whether the body was complete.
    is_complete: bool,
    /// Code in the last event.
    code: Option<u64>,
    /// Events whose data was not whole.
    half_events: usize,
}

/// What a stream that is broken off has to look like.
fn broken_off() -> End {
    End { is_complete: false, code: Some(ResultCode::StreamCut.number().into()), half_events: 0 }
}

/// Events without end, of which only the last one is kept.
#[derive(Default)]
struct Reader {
    pending: Vec<u8>,
    last: String,
    half_events: usize,
}

impl Reader {
    fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event = String::from_utf8(self.pending.drain(..end + 2).collect()).unwrap();
            let Some(data) = event.trim().strip_prefix("data: ") else { continue };
            self.half_events += usize::from(serde_json::from_str::<serde_json::Value>(data).is_err());
            self.last = data.to_owned();
        }
    }

    fn end(self, is_complete: bool) -> End {
        let last: serde_json::Value = serde_json::from_str(&self.last).unwrap_or_default();
        End { is_complete, code: last["error"]["code"].as_u64(), half_events: self.half_events }
    }
}

/// Reads a stream to its end, slowly until `is_fast` becomes true.
async fn read(mut body: Incoming, is_fast: watch::Receiver<bool>) -> End {
    let mut reader = Reader::default();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => reader.push(frame.data_ref().unwrap_or(&Bytes::new())),
            Err(_) => return reader.end(false),
        }
        if !*is_fast.borrow() {
            tokio::time::sleep(SLOW_READ_INTERVAL).await;
        }
    }
    reader.end(true)
}

/// Stops the node beside a stream.
async fn end_at_stop(nodes: usize, is_fast: bool) -> End {
    let mut fleet = Fleet::start(nodes).await;
    let (fast, client_is_fast) = watch::channel(is_fast);
    let reading = tokio::spawn(read(fleet.begin_stream(None).await, client_is_fast));
    fleet.node().signal("TERM");
    assert!(fleet.node().ended().await.success());
    fast.send_replace(true);
    eprintln!("{}", fleet.node().log());
    tokio::time::timeout(LIMIT, reading).await.expect("the stream ends with the node").unwrap()
}

/// Reads a stream that has a deadline.
async fn end_at_deadline(nodes: usize) -> End {
    let mut fleet = Fleet::start(nodes).await;
    let (_fast, client_is_fast) = watch::channel(true);
    let reading = read(fleet.begin_stream(Some(DEADLINE_MILLISECONDS)).await, client_is_fast);
    tokio::time::timeout(LIMIT, reading).await.expect("the stream ends at its deadline")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_pause_ends_at_a_stop() {
    assert_eq!(end_at_stop(1, true).await, broken_off());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_faster_than_its_client_ends_at_a_stop() {
    assert_eq!(end_at_stop(1, false).await, broken_off());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_without_pause_ends_at_a_stop() {
    assert_eq!(end_at_stop(2, true).await, broken_off());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_faster_than_its_client_ends_at_a_stop() {
    assert_eq!(end_at_stop(2, false).await, broken_off());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_pause_ends_at_its_deadline() {
    assert_eq!(end_at_deadline(1).await, broken_off());
}
