//! Contract of the callers' and operators' interfaces: each file under
//! `tests/requests` holds requests in order and what each must come to.

use bytes::Bytes;
use hyper::{Method, Request};
use latchwheel_core::table::{Class, Limits, RetryPolicy, Row};
use latchwheel_emulator::engine::EngineSettings;
use latchwheel_emulator::site::{ServiceSettings, Site, SiteSettings};
use latchwheel_http::{full, read_bounded, Client};
use latchwheel_node::settings::Settings;
use latchwheel_node::Node;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;

const LIMIT: usize = 1 << 20;
const TIME: Duration = Duration::from_secs(30);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Contract {
    /// What the file is about.
    text: String,
    /// `open` or `required`.
    #[serde(default)]
    keys: String,
    steps: Vec<Step>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    name: String,
    /// `callers` or `admin`.
    #[serde(default)]
    to: String,
    method: String,
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    #[serde(default)]
    body: String,
    /// The body is sent so many times over.
    #[serde(default)]
    repeat_body: usize,
    status: u16,
    #[serde(default)]
    code: Option<u32>,
    #[serde(default)]
    ran: Option<String>,
    #[serde(default)]
    contains: Vec<String>,
    #[serde(default)]
    lacks: Vec<String>,
    /// Value of the answer that later steps use as `$NAME`.
    #[serde(default)]
    save: BTreeMap<String, String>,
    /// The step is sent again until it comes out as said.
    #[serde(default)]
    until: bool,
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let contract: Contract = toml::from_str(&std::fs::read_to_string(path)?)?;
    assert!(!contract.text.is_empty());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run_contract(contract));
    Ok(())
}

async fn run_contract(contract: Contract) {
    let (_stop, stopped) = watch::channel(false);
    let engine = EngineSettings { model: "m".into(), step_microseconds: 1000, ..EngineSettings::default() };
    let site = SiteSettings {
        region: "r".into(),
        zones: vec!["z".into()],
        services: vec![ServiceSettings { name: "pool".into(), servers: 2, engine }],
        key_value: Default::default(),
        weights: Default::default(),
        machine_list_lag_milliseconds: 0,
    };
    let site = Site::start(&site, &stopped).await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let keys = if contract.keys.is_empty() { "open" } else { &contract.keys };
    let settings = format!(
        "[node]\nname = \"n\"\nregion = \"r\"\nzone = \"z\"\ndata_dir = \"{}\"
[listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"
[platform]\nkey_value = \"{}\"\nmachines = \"{}\"
[store]\nreplicas = 1\nelection_timeout_milliseconds = 100
[callers]\nkeys = \"{keys}\"\nbody_limit_bytes = 65536\nbody_seconds = 2\n",
        folder.path().display(),
        site.addresses.key_value,
        site.addresses.machines,
    );
    let node = Node::start(Settings::parse(&settings).unwrap()).await.unwrap();
    prepare(&node).await;
    let mut saved = BTreeMap::new();
    for step in &contract.steps {
        run_step(&node, step, &mut saved).await;
    }
}

/// Writes the rows `chat` and `bulk`, and waits until both classes are served.
async fn prepare(node: &Node) {
    let client = Client::http1();
    for (name, class) in [("chat", Class::Online), ("bulk", Class::Batch)] {
        let row = Row {
            name: name.into(),
            class,
            weight: 1.0,
            service: "pool".into(),
            model: "m".into(),
            limits: Limits::default(),
            retry: RetryPolicy::default(),
            deadline_milliseconds: 0,
            retention_seconds: 0,
        };
        let path = format!("/admin/v1/table/rows/{name}");
        let _: serde_json::Value = client.json(Method::PUT, &node.addresses.admin, &path, &row, TIME).await.unwrap();
    }
    loop {
        let servers: Vec<serde_json::Value> =
            client.json(Method::GET, &node.addresses.admin, "/admin/v1/servers", &(), TIME).await.unwrap();
        let metrics = client.call(Method::GET, &node.addresses.admin, "/metrics", Bytes::new(), TIME).await.unwrap();
        let leads = String::from_utf8_lossy(&metrics).contains("latchwheel_store_groups_led 1");
        if servers.len() == 2 && leads && node.is_ready() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn run_step(node: &Node, step: &Step, saved: &mut BTreeMap<String, String>) {
    let begun = tokio::time::Instant::now();
    loop {
        match try_step(node, step, saved).await {
            Ok(()) => return,
            Err(_) if step.until && begun.elapsed() < TIME => tokio::time::sleep(Duration::from_millis(30)).await,
            Err(fault) => panic!("{}: {fault}", step.name),
        }
    }
}

async fn try_step(node: &Node, step: &Step, saved: &mut BTreeMap<String, String>) -> Result<(), String> {
    let fill =
        |text: &str| saved.iter().fold(text.to_owned(), |text, (name, value)| text.replace(&format!("${name}"), value));
    let address = if step.to == "admin" { &node.addresses.admin } else { &node.addresses.callers };
    let mut request = Request::builder()
        .method(step.method.parse::<Method>().unwrap())
        .uri(format!("http://{address}{}", fill(&step.path)));
    for (name, value) in &step.headers {
        request = request.header(name, fill(value));
    }
    let body = fill(&step.body).repeat(step.repeat_body.max(1));
    let response = Client::http1().send(request.body(full(body)).unwrap()).await.map_err(|fault| fault.to_string())?;
    let (head, body) = response.into_parts();
    let bytes = read_bounded(body, LIMIT, TIME).await.map_err(|fault| format!("{fault:?}"))?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if head.status.as_u16() != step.status {
        return Err(format!("status {} instead of {}: {text}", head.status, step.status));
    }
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    if let Some(code) = step.code {
        if header("x-latchwheel-code") != Some(code.to_string()) {
            return Err(format!("code {:?} instead of {code}: {text}", header("x-latchwheel-code")));
        }
    }
    if step.ran.is_some() && header("x-latchwheel-ran") != step.ran {
        return Err(format!("{:?} instead of {:?}", header("x-latchwheel-ran"), step.ran));
    }
    if let Some(missing) = step.contains.iter().map(|part| fill(part)).find(|part| !text.contains(part)) {
        return Err(format!("{missing:?} is not in {text}"));
    }
    if let Some(present) = step.lacks.iter().map(|part| fill(part)).find(|part| text.contains(part)) {
        return Err(format!("{present:?} is in {text}"));
    }
    let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    for (name, pointer) in &step.save {
        let part = value.pointer(pointer).ok_or_else(|| format!("{pointer} is not in {text}"))?;
        let part = part.as_str().map_or_else(|| part.to_string(), str::to_owned);
        saved.insert(name.clone(), part);
    }
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/requests", pattern = r"\.toml$" },
}
