//! Crowds of clients that keep to no limits, against `latchwheel node` as a process: it lives,
//! its memory and its descriptors stay bounded, and an ordinary request is answered.

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Method, Request};
use latchwheel_core::table::{Class, Limits, RetryPolicy, Row};
use latchwheel_emulator::crowd::{Crowd, Form, Target};
use latchwheel_emulator::engine::EngineSettings;
use latchwheel_emulator::site::{ServiceSettings, Site, SiteSettings};
use latchwheel_http::{boxed, full, Body, BoxError, Client};
use latchwheel_node::Addresses;
use std::io::BufRead;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Mutex};

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

const SERVICE: &str = "service";
const LIMIT: Duration = Duration::from_secs(120);
const CALL_TIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(100);
/// Time after which what was sent counts as read.
const SETTLE_TIME: Duration = Duration::from_secs(3);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A node's process with a site in this one.
struct NodeProcess {
    child: Child,
    addresses: Addresses,
    _stop: watch::Sender<bool>,
    _folder: tempfile::TempDir,
}

impl NodeProcess {
    async fn start() -> Self {
        let (stop, stopped) = watch::channel(false);
        let site = Site::start(&site_settings(), &stopped).await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("node.toml");
        let data = folder.path().join("data");
        let text = format!(
            "[node]\nname = \"node\"\nregion = \"r\"\nzone = \"z\"\ndata_dir = \"{}\"\ndrain_seconds = 5\n[listen]\n\
             callers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n[platform]\n\
             key_value = \"{}\"\nmachines = \"{}\"\nweights = \"{}\"\n[store]\nreplicas = 1\n[callers]\n\
             keys = \"open\"\nbody_limit_bytes = {BODY_BYTES}\n{CLIENT_SETTINGS}",
            data.display(),
            site.addresses.key_value,
            site.addresses.machines,
            site.addresses.weights
        );
        std::fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_latchwheel"))
            .args(["node", "--settings", path.to_str().unwrap()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(std::fs::File::create(folder.path().join("log.txt")).unwrap())
            .spawn()
            .unwrap();
        let mut line = String::new();
        std::io::BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let addresses: Addresses = serde_json::from_str(&line).unwrap();
        let node = Self { child, addresses, _stop: stop, _folder: folder };
        node.put_row().await;
        node.assert_serves().await;
        node
    }

    async fn put_row(&self) {
        let row = Row {
            name: "chat".into(),
            class: Class::Online,
            weight: 1.0,
            service: SERVICE.into(),
            model: String::new(),
            limits: Limits::default(),
            retry: RetryPolicy::default(),
            deadline_milliseconds: 0,
            retention_seconds: 0,
        };
        let client = Client::http1();
        let end = Instant::now() + LIMIT;
        while client
            .json::<serde_json::Value>(Method::PUT, &self.addresses.admin, "/admin/v1/table/rows/chat", &row, CALL_TIME)
            .await
            .is_err()
        {
            assert!(Instant::now() < end, "the row can't be written");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Checks that an ordinary client is answered that comes back when it is refused.
    async fn assert_serves(&self) {
        let end = Instant::now() + LIMIT;
        loop {
            let body = format!("{{\"model\":\"{SERVICE}\",\"prompt\":\"Hello\",\"max_tokens\":2}}");
            let request = request(&self.addresses.callers, "/v1/completions", full(Bytes::from(body)));
            let status = match tokio::time::timeout(LIMIT, Client::http1().send(request)).await {
                Ok(Ok(response)) => {
                    let status = response.status().as_u16();
                    response.into_body().collect().await.map_or(0, |_| status)
                }
                _ => 0,
            };
            if status == 200 {
                return;
            }
            assert!(Instant::now() < end, "the last answer had status {status}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn assert_within_limits(&self, when: &str) {
        let process = format!("/proc/{}", self.child.id());
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

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
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

fn request(address: &str, path: &str, body: Body) -> Request<Body> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(body)
        .unwrap()
}

enum Port {
    Callers,
    Operators,
}

async fn check(port: Port, path: &str, clients: usize, bytes: usize, form: Form) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let node = NodeProcess::start().await;
    let (address, method) = match port {
        Port::Callers => (&node.addresses.callers, "POST"),
        Port::Operators => (&node.addresses.admin, "PUT"),
    };
    let crowd = Crowd::open(&node.target(address, method, path, bytes), clients, form).await;
    tokio::time::sleep(SETTLE_TIME).await;
    node.assert_within_limits("the crowd is open");
    node.assert_serves().await;
    node.assert_within_limits("an ordinary request was served beside the crowd");
    drop(crowd);
    node.assert_serves().await;
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
    let node = NodeProcess::start().await;
    let mut streams = tokio::task::JoinSet::new();
    for connection in 0..CONNECTIONS {
        let client = Client::http2(None);
        for _ in connection..connection + BODY_CLIENTS / CONNECTIONS {
            let (client, peers) = (client.clone(), node.addresses.peers.clone());
            streams.spawn(async move { client.send(request(&peers, "/peer/forward", endless_body())).await.is_ok() });
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    node.assert_within_limits("the streams are open");
    node.assert_serves().await;
    drop(streams);
    node.assert_serves().await;
    node.assert_within_limits("the streams are gone");
}

/// A body of one MiB after which nothing follows.
fn endless_body() -> Body {
    let pieces = (0..BODY_BYTES / HEAD_BYTES).map(|_| Ok(Frame::data(Bytes::from(vec![b'x'; HEAD_BYTES]))));
    let pieces = futures::stream::iter(pieces.map(|frame: Result<_, BoxError>| frame));
    boxed(StreamBody::new(pieces.chain(futures::stream::pending())))
}
