//! Requests around a SIGTERM of `latchwheel node` as a process, from clients that go on until it
//! is gone: each one that the node took is answered before it ends, or is refused as not run,
//! and wasn't run.

mod support;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::Request;
use latchwheel_core::code::{Ran, ResultCode};
use latchwheel_core::identity::stable_hash;
use latchwheel_emulator::engine::EngineSettings;
use latchwheel_emulator::site::{ServiceSettings, SiteSettings};
use latchwheel_http::{boxed, full, Body, BoxError, Client};
use std::collections::HashMap;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::node_process::{request, signal, spawn, NodeProcess, RunningSite, SERVICE};

const CLIENTS: usize = 16;
/// Requests that an engine runs at once; the other clients' requests wait.
const SLOTS: u32 = 6;
/// Time of a token.
const STEP: Duration = Duration::from_millis(20);
/// Longest time of the stop.
const DRAIN_SETTINGS: &str = "drain_seconds = 4\n";
/// Time from the start of the clients to the stop.
const TIME_BEFORE_STOP: Duration = Duration::from_secs(2);
/// Every request of this number is sent on a connection of its own.
const NEW_CONNECTION_INTERVAL: usize = 4;
/// Pause of a client that was refused.
const PAUSE: Duration = Duration::from_millis(5);
/// A request that was held for longer was taken.
const UNREAD_TIME: Duration = Duration::from_millis(200);

/// How requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Repeatable,
    Once,
    Keyed,
    Stream,
}

/// What a client sees of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Seen {
    Whole,
    /// An error of the node's own: its code, and whether it tells when to come back.
    Refused(u32, bool),
    /// The connection ended without an answer, or within one that does not tell why.
    Cut,
}

#[derive(Clone, Debug)]
struct Sent {
    prompt: String,
    at: Instant,
    took: Duration,
    seen: Seen,
}

struct Play {
    requests: Vec<Sent>,
    stopped_at: Instant,
    runs: HashMap<u64, u32>,
}

fn site_settings(servers: u32) -> SiteSettings {
    let engine = EngineSettings {
        model: SERVICE.into(),
        slots: SLOTS,
        step_microseconds: STEP.as_micros() as u64,
        ..EngineSettings::default()
    };
    SiteSettings {
        region: "r".into(),
        zones: vec!["z".into()],
        services: vec![ServiceSettings { name: SERVICE.into(), servers, engine }],
        key_value: Default::default(),
        weights: Default::default(),
        machine_list_lag_milliseconds: 0,
    }
}

impl Play {
    /// Has clients send requests of this kind, whose answers have so many tokens, until the
    /// node is gone. With another node, half of the clients use that one.
    async fn run(kind: Kind, tokens: u32, nodes: u32) -> Self {
        let site = RunningSite::start(&site_settings(nodes)).await;
        let mut node = NodeProcess::start(&site.site, "node", DRAIN_SETTINGS, "").await;
        let other = match nodes {
            1 => None,
            _ => Some(NodeProcess::start(&site.site, "other", DRAIN_SETTINGS, "").await),
        };
        let (requests, ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let addresses = [&node, other.as_ref().unwrap_or(&node)].map(|node| node.addresses.callers.clone());
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let address = addresses[number % addresses.len()].clone();
                let client = Caller { kind, tokens, address, number };
                tokio::spawn(client.send_until(ended.clone(), requests.clone()))
            })
            .collect();
        tokio::time::sleep(TIME_BEFORE_STOP).await;
        let stopped_at = Instant::now();
        node.signal("TERM");
        let status = node.ended().await;
        eprintln!("the process ended after {:?}: {status}\n{}", stopped_at.elapsed(), node.log());
        ended.store(true, Ordering::Relaxed);
        for client in clients {
            client.await.unwrap();
        }
        assert!(status.success(), "{status}");
        let requests = std::mem::take(&mut *requests.lock().unwrap());
        Self { requests, stopped_at, runs: prompt_runs(&site).await }
    }

    fn runs_of(&self, sent: &Sent) -> u32 {
        self.runs.get(&stable_hash(sent.prompt.as_bytes())).copied().unwrap_or(0)
    }

    fn rows(&self, of: impl Fn(&Sent) -> bool) -> Vec<String> {
        let row = |sent: &Sent| {
            let before = self.stopped_at.saturating_duration_since(sent.at);
            let after = sent.at.saturating_duration_since(self.stopped_at);
            let runs = self.runs_of(sent);
            format!(
                "{}: {:?}, sent {after:?} after, {before:?} before, took {:?}, {runs} runs",
                sent.prompt, sent.seen, sent.took
            )
        };
        self.requests.iter().filter(|sent| of(sent)).map(row).collect()
    }

    /// Checks that nothing was cut, and that requests in progress at the stop ended like this.
    fn assert_nothing_was_cut(&self, end: End) {
        let in_progress = |sent: &&Sent| sent.at < self.stopped_at && sent.at + sent.took >= self.stopped_at;
        let ends: Vec<_> = self.requests.iter().filter(in_progress).map(|sent| sent.seen).collect();
        assert!(ends.iter().any(|seen| end.is(*seen)), "none in progress at the stop ended as {end:?}: {ends:?}");
        let mut counts: HashMap<Seen, usize> = HashMap::new();
        let ended_after = |sent: &&Sent| sent.at + sent.took >= self.stopped_at;
        self.requests.iter().filter(ended_after).for_each(|sent| *counts.entry(sent.seen).or_default() += 1);
        eprintln!("requests that ended after the stop began: {counts:?}");
        let cut = self.rows(|sent| sent.seen == Seen::Cut && (self.runs_of(sent) > 0 || sent.took > UNREAD_TIME));
        assert!(cut.is_empty(), "{} cut without an answer: {cut:#?}", cut.len());
        let run = self.rows(|sent| is_refused_as_not_run(sent) && self.runs_of(sent) > 0);
        assert!(run.is_empty(), "refused as not run, but run: {run:#?}");
        let untold = self.rows(|sent| matches!(sent.seen, Seen::Refused(_, false)));
        assert!(untold.is_empty(), "refused without a time to come back: {untold:#?}");
        let served = self.requests.iter().filter(|sent| sent.seen == Seen::Whole).count();
        eprintln!("{served} of {} were answered whole", self.requests.len());
    }
}

/// How requests end that are in progress at the stop.
#[derive(Clone, Copy, Debug)]
enum End {
    Whole,
    Unknown,
}

impl End {
    fn is(self, seen: Seen) -> bool {
        match (self, seen) {
            (End::Whole, Seen::Whole) => true,
            (End::Unknown, Seen::Refused(code, _)) => {
                ResultCode::from_number(code).is_some_and(|code| code.ran() != Ran::NotRun)
            }
            _ => false,
        }
    }
}

fn is_refused_as_not_run(sent: &Sent) -> bool {
    let Seen::Refused(code, _) = sent.seen else { return false };
    ResultCode::from_number(code).is_none_or(|code| code.ran() == Ran::NotRun)
}

async fn prompt_runs(site: &RunningSite) -> HashMap<u64, u32> {
    let mut all: HashMap<u64, u32> = HashMap::new();
    for engine in &site.site.addresses.engines {
        let get = Request::get(format!("http://{}/admin/prompt-runs", engine.address)).body(full("")).unwrap();
        let answer = Client::http1().send(get).await.unwrap().into_body().collect().await.unwrap().to_bytes();
        let runs: HashMap<u64, u32> = serde_json::from_slice(&answer).unwrap();
        runs.into_iter().for_each(|(prompt, runs)| *all.entry(prompt).or_default() += runs);
    }
    all
}

/// A client that sends one request after the other.
#[derive(Clone, Debug)]
struct Caller {
    kind: Kind,
    tokens: u32,
    address: String,
    number: usize,
}

impl Caller {
    async fn send_until(self, ended: Arc<AtomicBool>, requests: Arc<Mutex<Vec<Sent>>>) {
        let kept = Client::http1();
        for number in 0.. {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let connection = if number % NEW_CONNECTION_INTERVAL == 0 { Client::http1() } else { kept.clone() };
            let prompt = format!("prompt {} {number}", self.number);
            let at = Instant::now();
            let seen = self.send(&connection, &prompt).await;
            requests.lock().unwrap().push(Sent { prompt, at, took: at.elapsed(), seen });
            if seen != Seen::Whole {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn send(&self, client: &Client, prompt: &str) -> Seen {
        let body = serde_json::json!({ "model": SERVICE, "prompt": prompt, "max_tokens": self.tokens,
            "stream": self.kind == Kind::Stream });
        see(client, self.request(prompt, full(body.to_string()))).await
    }

    fn request(&self, prompt: &str, body: Body) -> Request<Body> {
        let mut request = request(&self.address, "/v1/completions", body);
        let headers = request.headers_mut();
        if matches!(self.kind, Kind::Once | Kind::Keyed) {
            headers.insert("x-latchwheel-repeatable", "false".parse().unwrap());
        }
        if self.kind == Kind::Keyed {
            headers.insert("idempotency-key", prompt.replace(' ', "-").parse().unwrap());
        }
        request
    }
}

/// Sends a request and reads what there is of an answer.
async fn see(client: &Client, request: Request<Body>) -> Seen {
    let Ok(response) = client.send(request).await else { return Seen::Cut };
    let (head, mut body) = response.into_parts();
    let mut text = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) => text.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => whole = false,
        }
    }
    let text = String::from_utf8_lossy(&text);
    let is_stream = head.headers.get("content-type").is_some_and(|kind| kind == "text/event-stream");
    if is_stream {
        return see_stream(&text);
    }
    match head.headers.get("x-latchwheel-code") {
        _ if !whole => Seen::Cut,
        None if head.status.is_success() => Seen::Whole,
        None => Seen::Cut,
        Some(code) => {
            let told = head.headers.contains_key("retry-after") && head.headers.contains_key("x-latchwheel-ran");
            Seen::Refused(code.to_str().unwrap().parse().unwrap(), told)
        }
    }
}

/// A stream that breaks off tells why in its last event.
fn see_stream(text: &str) -> Seen {
    let last = text.trim_end().rsplit("data: ").next().unwrap_or_default();
    if last == "[DONE]" {
        return Seen::Whole;
    }
    let event = serde_json::from_str::<serde_json::Value>(last).unwrap_or_default();
    event["error"]["code"].as_u64().map_or(Seen::Cut, |code| Seen::Refused(code as u32, true))
}

macro_rules! planned_stop {
    ($name:ident, $kind:ident, $tokens:literal, $nodes:literal, $end:ident) => {
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            Play::run(Kind::$kind, $tokens, $nodes).await.assert_nothing_was_cut(End::$end);
        }
    };
}

planned_stop!(repeatable_requests_of_20_ms_are_not_cut, Repeatable, 1, 1, Whole);
planned_stop!(repeatable_requests_of_1000_ms_are_not_cut, Repeatable, 50, 1, Whole);
planned_stop!(repeatable_requests_of_2500_ms_are_not_cut, Repeatable, 125, 1, Whole);
planned_stop!(repeatable_requests_longer_than_the_stop_are_not_cut, Repeatable, 500, 1, Unknown);
planned_stop!(unrepeatable_requests_of_20_ms_are_not_cut, Once, 1, 1, Whole);
planned_stop!(unrepeatable_requests_of_2500_ms_are_not_cut, Once, 125, 1, Whole);
planned_stop!(unrepeatable_requests_longer_than_the_stop_are_not_cut, Once, 500, 1, Unknown);
planned_stop!(keyed_requests_of_20_ms_are_not_cut, Keyed, 1, 1, Whole);
planned_stop!(keyed_requests_of_2500_ms_are_not_cut, Keyed, 125, 1, Whole);
planned_stop!(keyed_requests_longer_than_the_stop_are_not_cut, Keyed, 500, 1, Unknown);
planned_stop!(streams_of_1000_ms_are_not_cut, Stream, 50, 1, Whole);
planned_stop!(streams_of_2500_ms_are_not_cut, Stream, 125, 1, Whole);
planned_stop!(streams_longer_than_the_stop_are_not_cut, Stream, 500, 1, Unknown);
planned_stop!(requests_of_20_ms_at_two_nodes_are_not_cut, Repeatable, 1, 2, Whole);
planned_stop!(requests_of_2500_ms_at_two_nodes_are_not_cut, Repeatable, 125, 2, Whole);
planned_stop!(requests_longer_than_the_stop_at_two_nodes_are_not_cut, Repeatable, 500, 2, Unknown);
planned_stop!(unrepeatable_requests_longer_than_the_stop_at_two_nodes_are_not_cut, Once, 500, 2, Unknown);
planned_stop!(streams_longer_than_the_stop_at_two_nodes_are_not_cut, Stream, 500, 2, Unknown);

/// A body whose rest does not come.
fn endless_body(start: &str) -> Body {
    let start = Bytes::copy_from_slice(start.as_bytes());
    let first = futures::stream::iter([Ok::<_, BoxError>(Frame::data(start))]);
    boxed(StreamBody::new(first.chain(futures::stream::pending())))
}

/// Sends a request that is not answered before the stop, and stops the node.
async fn stop_beside(path: &str, content_type: &str, body: Body) -> Seen {
    let site = RunningSite::start(&site_settings(1)).await;
    let mut node = NodeProcess::start(&site.site, "node", DRAIN_SETTINGS, "").await;
    let mut request = request(&node.addresses.callers, path, body);
    request.headers_mut().insert("content-type", content_type.parse().unwrap());
    let sending = tokio::spawn(async move { see(&Client::http1(), request).await });
    tokio::time::sleep(TIME_BEFORE_STOP).await;
    node.signal("TERM");
    assert!(node.ended().await.success());
    sending.await.unwrap()
}

fn leaving() -> Seen {
    Seen::Refused(ResultCode::Leaving.number(), true)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_does_not_come_is_refused() {
    let body = endless_body("{\"model\":\"service\",");
    assert_eq!(stop_beside("/v1/completions", "application/json", body).await, leaving());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_body_does_not_come_is_refused() {
    let body = endless_body("{\"input_file_id\":");
    assert_eq!(stop_beside("/v1/batches", "application/json", body).await, leaving());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upload_whose_rest_does_not_come_is_refused() {
    let line = "{\"custom_id\":\"a\",\"body\":{\"prompt\":\"a\"}}\n";
    let form = format!("--b\r\ncontent-disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n{line}");
    assert_eq!(stop_beside("/v1/files", "multipart/form-data; boundary=b", endless_body(&form)).await, leaving());
}

/// A signal that comes again, or another one, doesn't end the process before its time.
#[tokio::test(flavor = "multi_thread")]
async fn further_signals_do_not_cut_requests() {
    let site = RunningSite::start(&site_settings(1)).await;
    let mut node = NodeProcess::start(&site.site, "node", DRAIN_SETTINGS, "").await;
    let caller = Caller { kind: Kind::Once, tokens: 100, address: node.addresses.callers.clone(), number: 0 };
    let sending = tokio::spawn(async move { caller.send(&Client::http1(), "a").await });
    tokio::time::sleep(UNREAD_TIME).await;
    node.signal("TERM");
    for name in ["HUP", "TERM", "INT", "HUP"] {
        node.signal(name);
        tokio::time::sleep(UNREAD_TIME).await;
    }
    assert_eq!(sending.await.unwrap(), Seen::Whole);
    assert!(node.ended().await.success());
}

/// Whenever a process that starts is told to stop, it ends as planned or before it serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_is_cut_short_ends_as_planned() {
    let site = RunningSite::start(&site_settings(1)).await;
    let folder = tempfile::tempdir().unwrap();
    let mut child = spawn(&site.site, &folder, "node", DRAIN_SETTINGS, "");
    let log = folder.path().join("log.txt");
    while !std::fs::read_to_string(&log).unwrap().contains("E1000") {
        tokio::task::yield_now().await;
    }
    signal(&child, "TERM");
    let status: ExitStatus = tokio::task::spawn_blocking(move || child.wait().unwrap()).await.unwrap();
    assert_eq!((status.code(), status.signal()), (Some(0), None));
}
