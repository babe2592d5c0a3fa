//! `latchwheel node` as a process, beside a site in the process of the test.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use latchwheel_core::table::{Class, Limits, RetryPolicy, Row};
use latchwheel_emulator::site::{Site, SiteSettings};
use latchwheel_http::{full, Body, Client};
use latchwheel_node::Addresses;
use std::io::BufRead;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::sync::watch;

pub const SERVICE: &str = "service";
/// Time after which a test gives up.
pub const LIMIT: Duration = Duration::from_secs(120);
const CALL_TIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(100);
/// Time between looks whether the process has ended.
const LOOK: Duration = Duration::from_millis(5);

/// A site until it is dropped.
pub struct RunningSite {
    pub site: Site,
    _stop: watch::Sender<bool>,
}

impl RunningSite {
    pub async fn start(settings: &SiteSettings) -> Self {
        let (stop, stopped) = watch::channel(false);
        let site = Site::start(settings, &stopped).await.unwrap();
        Self { site, _stop: stop }
    }
}

/// A node's process.
pub struct NodeProcess {
    pub child: Child,
    pub addresses: Addresses,
    folder: tempfile::TempDir,
}

impl NodeProcess {
    /// Starts the process and waits until it serves. The settings are lines of the sections
    /// `node` and `callers`.
    pub async fn start(site: &Site, name: &str, node_settings: &str, caller_settings: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut child = spawn(site, &folder, name, node_settings, caller_settings);
        let mut line = String::new();
        std::io::BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let addresses: Addresses = serde_json::from_str(&line).unwrap();
        let node = Self { child, addresses, folder };
        node.put_rows().await;
        node.assert_serves().await;
        node
    }

    /// Sends a signal of this name.
    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Completes when the process has ended.
    pub async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// What the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log.txt")).unwrap()
    }

    /// Value of a metric of this name without labels.
    pub async fn metric(&self, name: &str) -> u64 {
        let get = Request::get(format!("http://{}/metrics", self.addresses.admin)).body(full("")).unwrap();
        let answer = Client::http1().send(get).await.unwrap().into_body().collect().await.unwrap().to_bytes();
        let text = String::from_utf8_lossy(&answer);
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("no metric {name}")).parse().unwrap()
    }

    async fn put_rows(&self) {
        for (name, class) in [("chat", Class::Online), ("lot", Class::Batch)] {
            let row = Row {
                name: name.into(),
                class,
                weight: 1.0,
                service: SERVICE.into(),
                model: String::new(),
                limits: Limits::default(),
                retry: RetryPolicy::default(),
                deadline_milliseconds: 0,
                retention_seconds: 0,
            };
            let client = Client::http1();
            let path = format!("/admin/v1/table/rows/{name}");
            let end = Instant::now() + LIMIT;
            while client
                .json::<serde_json::Value>(Method::PUT, &self.addresses.admin, &path, &row, CALL_TIME)
                .await
                .is_err()
            {
                assert!(Instant::now() < end, "the row can't be written");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Checks that an ordinary client is answered that comes back when it is refused.
    pub async fn assert_serves(&self) {
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
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a node's process with a site's stand-ins.
pub fn spawn(site: &Site, folder: &tempfile::TempDir, name: &str, node_settings: &str, caller_settings: &str) -> Child {
    let path = folder.path().join("node.toml");
    let data = folder.path().join("data");
    let text = format!(
        "[node]\nname = \"{name}\"\nregion = \"r\"\nzone = \"z\"\ndata_dir = \"{}\"\n{node_settings}[listen]\n\
         callers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n[platform]\n\
         key_value = \"{}\"\nmachines = \"{}\"\nweights = \"{}\"\n[store]\nreplicas = 1\n[callers]\n\
         keys = \"open\"\n{caller_settings}",
        data.display(),
        site.addresses.key_value,
        site.addresses.machines,
        site.addresses.weights
    );
    std::fs::write(&path, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_latchwheel"))
        .args(["node", "--settings", path.to_str().unwrap()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(std::fs::File::create(folder.path().join("log.txt")).unwrap())
        .spawn()
        .unwrap()
}

/// Sends a signal of this name to a process of the test.
pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args(["-s", name, &child.id().to_string()]).status().unwrap();
    assert!(sent.success());
}

pub fn request(address: &str, path: &str, body: Body) -> Request<Body> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(body)
        .unwrap()
}
