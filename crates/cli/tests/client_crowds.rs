//! Crowds of clients that keep to no limits, against `latchwheel node` as a process: it lives,
//! its memory and its descriptors stay bounded, and an ordinary request is answered.

mod support;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use latchwheel_emulator::crowd::{Crowd, Form, Target};
use latchwheel_emulator::engine::EngineSettings;
use latchwheel_emulator::site::{ServiceSettings, SiteSettings};
use latchwheel_http::{boxed, Body, BoxError, Client};
use std::time::Duration;
use support::node_process::{request, NodeProcess, RunningSite, SERVICE};
use tokio::sync::Mutex;

/// Memory that the process may take.
const MEMORY_BYTES: usize = 128 << 20;
/// Descriptors that the process may have.
const DESCRIPTORS: usize = 384;
const BODY_BYTES: usize = 1 << 20;
const HEAD_BYTES: usize = 16 << 10;
const ENDLESS_HEAD_BYTES: usize = 25 * HEAD_BYTES;
const HEAD_CLIENTS: usize = 2 * MEMORY_BYTES / ENDLESS_HEAD_BYTES;
const BODY_CLIENTS: usize = 2 * MEMORY_BYTES / BODY_BYTES;
/// Limits of clients in the settings: a part of the memory, and of the descriptors.
const CLIENT_SETTINGS: &str = "memory_bytes = 25165824\nconnections = 128\n";

/// Time after which what was sent counts as read.
const SETTLE_TIME: Duration = Duration::from_secs(3);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A node's process with a site.
struct CrowdedNode {
    process: NodeProcess,
    _site: RunningSite,
}

impl CrowdedNode {
    async fn start() -> Self {
        let site = RunningSite::start(&site_settings()).await;
        let limits = format!("body_limit_bytes = {BODY_BYTES}\n{CLIENT_SETTINGS}");
        let process = NodeProcess::start(&site.site, "node", "drain_seconds = 5\n", &limits).await;
        Self { process, _site: site }
    }

    fn assert_within_limits(&self, when: &str) {
        let process = format!("/proc/{}", self.process.child.id());
        let status = std::fs::read_to_string(format!("{process}/status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let line = line.unwrap_or_else(|| panic!("{when}: the process has ended"));
        let memory = line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10;
        let descriptors = std::fs::read_dir(format!("{process}/fd")).unwrap().count();
        eprintln!("{when}: {} KiB at the peak, {descriptors} descriptors", memory >> 10);
        assert!(memory <= MEMORY_BYTES, "{when}: {memory} bytes of memory, at most {MEMORY_BYTES} are allowed");
        assert!(descriptors <= DESCRIPTORS, "{when}: {descriptors} descriptors, at most {DESCRIPTORS} are allowed");
    }

    fn target(&self, address: &str, method: &'static str, path: &str, bytes: usize) -> Target {
        Target {
            address: address.parse().unwrap(),
            host: "host".into(),
            method,
            path: path.into(),
            id_header: "x-id".into(),
            bytes,
        }
    }
}

fn site_settings() -> SiteSettings {
    SiteSettings {
        region: "r".into(),
        zones: vec!["z".into()],
        services: vec![ServiceSettings {
            name: SERVICE.into(),
            servers: 1,
            engine: EngineSettings { model: SERVICE.into(), ..EngineSettings::default() },
        }],
        key_value: Default::default(),
        weights: Default::default(),
        machine_list_lag_milliseconds: 0,
    }
}

enum Port {
    Callers,
    Operators,
}

async fn check(port: Port, path: &str, clients: usize, bytes: usize, form: Form) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start().await;
    let (address, method) = match port {
        Port::Callers => (&node.process.addresses.callers, "POST"),
        Port::Operators => (&node.process.addresses.admin, "PUT"),
    };
    let crowd = Crowd::open(&node.target(address, method, path, bytes), clients, form).await;
    tokio::time::sleep(SETTLE_TIME).await;
    node.assert_within_limits("the crowd is open");
    node.process.assert_serves().await;
    node.assert_within_limits("an ordinary request was served beside the crowd");
    drop(crowd);
    node.process.assert_serves().await;
    node.assert_within_limits("the crowd is gone");
}

#[tokio::test]
async fn crowd_of_callers_heads() {
    check(Port::Callers, "/v1/completions", HEAD_CLIENTS, ENDLESS_HEAD_BYTES, Form::LongHeader).await;
}

#[tokio::test]
async fn crowd_of_callers_empty_lines() {
    check(Port::Callers, "/v1/completions", HEAD_CLIENTS, ENDLESS_HEAD_BYTES, Form::EmptyLines).await;
}

#[tokio::test]
async fn crowd_of_callers_bodies() {
    let form = Form::StatedLength { write: BODY_BYTES };
    check(Port::Callers, "/v1/completions", BODY_CLIENTS, BODY_BYTES, form).await;
}

#[tokio::test]
async fn crowd_of_callers_chunks() {
    check(Port::Callers, "/v1/completions", BODY_CLIENTS, BODY_BYTES, Form::Chunks { chunk: 32 }).await;
}

#[tokio::test]
async fn crowd_of_silent_callers() {
    check(Port::Callers, "/", 2 * DESCRIPTORS, 0, Form::Silent).await;
}

#[tokio::test]
async fn crowd_of_operators_bodies() {
    let form = Form::StatedLength { write: BODY_BYTES };
    check(Port::Operators, "/admin/v1/table/rows/x", BODY_CLIENTS, BODY_BYTES, form).await;
}

#[tokio::test]
async fn crowd_of_operators_heads() {
    check(Port::Operators, "/admin/v1/table", HEAD_CLIENTS, ENDLESS_HEAD_BYTES, Form::LongHeader).await;
}

#[tokio::test]
async fn crowd_of_uploads_with_endless_parts() {
    check(Port::Callers, "/v1/files", BODY_CLIENTS, BODY_BYTES, Form::FormPart).await;
}

#[tokio::test]
async fn crowd_of_uploads_with_endless_lines() {
    check(Port::Callers, "/v1/files", BODY_CLIENTS, BODY_BYTES, Form::FormLine).await;
}

/// Many streams on few HTTP/2 connections, whose bodies stop short of their end.
#[tokio::test]
async fn crowd_of_http2_streams() {
    const CONNECTIONS: usize = 8;
    let _alone = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start().await;
    let mut streams = tokio::task::JoinSet::new();
    for connection in 0..CONNECTIONS {
        let client = Client::http2(None);
        for _ in connection..connection + BODY_CLIENTS / CONNECTIONS {
            let (client, peers) = (client.clone(), node.process.addresses.peers.clone());
            streams.spawn(async move { client.send(request(&peers, "/peer/forward", endless_body())).await.is_ok() });
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    node.assert_within_limits("the streams are open");
    node.process.assert_serves().await;
    drop(streams);
    node.process.assert_serves().await;
    node.assert_within_limits("the streams are gone");
}

/// A body of one MiB after which nothing follows.
fn endless_body() -> Body {
    let pieces = (0..BODY_BYTES / HEAD_BYTES).map(|_| Ok(Frame::data(Bytes::from(vec![b'x'; HEAD_BYTES]))));
    let pieces = futures::stream::iter(pieces.map(|frame: Result<_, BoxError>| frame));
    boxed(StreamBody::new(pieces.chain(futures::stream::pending())))
}
