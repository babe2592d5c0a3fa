//! `latchwheel node` beside a machine list with entries that name no machine to use.

mod support;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use latchwheel_emulator::site::SiteSettings;
use latchwheel_http::{full, json, serve, Body, Version};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::node_process::{NodeProcess, RunningSite, LIMIT, SERVICE};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time after which the list answers that nothing has changed.
const WAIT: Duration = Duration::from_millis(100);
const SLOTS: u32 = 4;

async fn start_http<H, F>(stop: &watch::Sender<bool>, handler: H) -> String
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve(listener, Version::Http1, stop.subscribe(), handler));
    address
}

/// A machine list with these entries, as they stand in its answers.
#[derive(Clone, Default)]
struct MachineList(Arc<Mutex<(u64, Vec<String>)>>);

impl MachineList {
    fn put(&self, entries: Vec<String>) {
        let mut list = self.0.lock().unwrap();
        *list = (list.0 + 1, entries);
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (version, entries) = self.0.lock().unwrap().clone();
        if request.uri().query().is_some_and(|query| query.contains(&format!("known={version}"))) {
            tokio::time::sleep(WAIT).await;
            return json(304, &serde_json::json!({}));
        }
        let text = format!("{{\"version\":{version},\"zones\":[\"z\"],\"machines\":[{}]}}", entries.join(","));
        Response::new(full(text))
    }
}

/// An engine that counts its requests.
struct Engine {
    address: String,
    requests: Arc<AtomicUsize>,
}

impl Engine {
    async fn start(stop: &watch::Sender<bool>, slots: u32) -> Self {
        let requests = Arc::new(AtomicUsize::new(0));
        let count = requests.clone();
        let answer = move |request: Request<Incoming>| {
            let count = count.clone();
            async move {
                if request.uri().path() == "/v1/load" {
                    return json(
                        200,
                        &serde_json::json!({ "running": 0, "waiting": 0, "tokens": 0, "slots": slots,
                        "token_capacity": u64::MAX, "models": [SERVICE], "role": "mixed", "draining": false }),
                    );
                }
                count.fetch_add(1, Ordering::SeqCst);
                let _ = request.into_body().collect().await;
                json(200, &serde_json::json!({}))
            }
        };
        Self { address: start_http(stop, answer).await, requests }
    }

    fn entry(&self, name: &str) -> String {
        entry(name, &[("address", &format!("\"{}\"", self.address))])
    }
}

/// An entry as the platform writes it, with these fields in place of its own or beside them.
fn entry(name: &str, fields: &[(&str, &str)]) -> String {
    let mut text = vec![
        ("name", format!("\"{name}\"")),
        ("kind", "\"engine\"".into()),
        ("address", "\"127.0.0.1:1\"".into()),
        ("zone", "\"z\"".into()),
        ("region", "\"r\"".into()),
        ("service", format!("\"{SERVICE}\"")),
        ("state", "\"live\"".into()),
    ];
    for (field, value) in fields {
        text.retain(|(name, _)| name != field);
        text.push((field, (*value).to_owned()));
    }
    let text: Vec<String> = text.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", text.join(","))
}

fn odd_entries() -> Vec<String> {
    let mut entries: Vec<String> =
        ["0", "null", "\"text\"", "[]", "{}", "1e400", "99999999999999999999"].map(String::from).to_vec();
    for depth in [200, 100_000] {
        for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
            let value = open.repeat(depth) + "0" + &close.repeat(depth);
            entries.push(entry("nested", &[("address", &value)]));
            entries.push(entry("nested", &[("another", &value)]));
            entries.push(value);
        }
    }
    for kind in ["\"node\"", "\"engine\"", "\"printer\""] {
        for address in ["127.0.0.1:65536", "127.0.0.1:999999999999", "127.0.0.1:-1", "127.0.0.1", "", "a b:80"] {
            entries.push(entry(address, &[("kind", kind), ("address", &format!("\"{address}\""))]));
        }
    }
    for (field, value) in [("state", "\"resting\""), ("zone", "1e400"), ("service", "[]"), ("slots", "1")] {
        entries.push(entry("odd", &[(field, value)]));
    }
    entries
}

async fn start(list: &MachineList, stop: &watch::Sender<bool>) -> (RunningSite, NodeProcess) {
    let mut site = RunningSite::start(&SiteSettings {
        region: "r".into(),
        zones: vec!["z".into()],
        services: Vec::new(),
        key_value: Default::default(),
        weights: Default::default(),
        machine_list_lag_milliseconds: 0,
    })
    .await;
    let list = list.clone();
    site.site.addresses.machines = start_http(stop, move |request| list.clone().answer(request)).await;
    let node = NodeProcess::start(&site.site, "node", "", "").await;
    (site, node)
}

/// Sends requests until one reaches the engine.
async fn assert_uses(node: &mut NodeProcess, engine: &Engine) {
    let end = Instant::now() + LIMIT;
    while engine.requests.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < end, "no request reaches the engine");
        node.assert_serves().await;
    }
    assert!(node.child.try_wait().unwrap().is_none(), "the process has ended");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_follows_the_list_beside_odd_entries() {
    let (stop, list) = (watch::Sender::new(false), MachineList::default());
    let (first, second) = (Engine::start(&stop, SLOTS).await, Engine::start(&stop, SLOTS).await);
    list.put([odd_entries(), vec![first.entry("first")]].concat());
    let (_site, mut node) = start(&list, &stop).await;
    assert_uses(&mut node, &first).await;
    list.put([vec![second.entry("second")], odd_entries()].concat());
    assert_uses(&mut node, &second).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_goes_on_after_odd_entries() {
    let (stop, list) = (watch::Sender::new(false), MachineList::default());
    let (first, second) = (Engine::start(&stop, SLOTS).await, Engine::start(&stop, SLOTS).await);
    list.put(vec![first.entry("first")]);
    let (_site, mut node) = start(&list, &stop).await;
    for odd in odd_entries() {
        list.put(vec![first.entry("first"), odd]);
        node.assert_serves().await;
    }
    list.put([odd_entries(), vec![second.entry("second")]].concat());
    assert_uses(&mut node, &second).await;
}

/// Guards against an overflow of the sum of the engines' slots.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_goes_on_before_engines_with_extreme_numbers() {
    let (stop, list) = (watch::Sender::new(false), MachineList::default());
    let (first, second) = (Engine::start(&stop, u32::MAX).await, Engine::start(&stop, u32::MAX).await);
    list.put(vec![first.entry("first"), second.entry("second")]);
    let (_site, mut node) = start(&list, &stop).await;
    assert_uses(&mut node, &first).await;
    assert_uses(&mut node, &second).await;
}
