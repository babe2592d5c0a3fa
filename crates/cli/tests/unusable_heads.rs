//! `latchwheel node` before an engine whose answers have heads that can't be used.

#[path = "../../proxy/tests/support/heads.rs"]
mod heads;
mod support;

use heads::Heads;
use http_body_util::BodyExt;
use hyper::Method;
use latchwheel_emulator::site::SiteSettings;
use latchwheel_http::{full, Client};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use support::node_process::{request, NodeProcess, RunningSite, LIMIT, SERVICE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WHOLE: &str = "{\"text\":\"spoilt\"}";
const STREAM: &str = "data: \"spoilt\"\n\ndata: [DONE]\n\n";
const SPOILT_PROMPT: &str = "spoil";

/// One in so many heads is played: the engine is avoided for a while after each. The tests of the
/// engine's client play all of them.
const HEAD_INTERVAL: usize = 11;

/// An engine that answers requests with this prompt with the bytes that are set, and all others
/// soundly.
#[derive(Clone, Default)]
struct Engine {
    spoilt: Arc<Mutex<String>>,
    /// How often they were written.
    written: Arc<AtomicUsize>,
}

impl Engine {
    async fn start(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let engine = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(engine.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = request_end(&bytes) {
                    break end;
                }
                if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                    return;
                }
            };
            let request = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..end);
            if stream.write_all(self.answer(&request).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &str) -> String {
        let report = serde_json::json!({ "running": 0, "waiting": 0, "tokens": 0, "slots": 4,
            "token_capacity": 1_000_000, "models": [SERVICE], "role": "mixed", "draining": false });
        if request.contains(SPOILT_PROMPT) {
            self.written.fetch_add(1, Ordering::SeqCst);
            return self.spoilt.lock().unwrap().clone();
        }
        let body = if request.contains("/v1/load") { report.to_string() } else { "{}".to_owned() };
        Heads { lines: "", body }.with_length("200 OK")
    }
}

/// Length of the first request, if it is whole.
fn request_end(bytes: &[u8]) -> Option<usize> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    let end = head_end + length.unwrap_or(0);
    (bytes.len() >= end).then_some(end)
}

async fn start(engine: &Engine) -> (RunningSite, NodeProcess) {
    let site = RunningSite::start(&SiteSettings {
        region: "r".into(),
        zones: vec!["z".into()],
        services: Vec::new(),
        key_value: Default::default(),
        weights: Default::default(),
        machine_list_lag_milliseconds: 0,
    })
    .await;
    let machine = serde_json::json!({ "name": "engine", "kind": "engine", "address": engine.start().await,
        "zone": "z", "region": "r", "service": SERVICE, "state": "live" });
    let list = &site.site.addresses.machines;
    let added = Client::http1().json(Method::POST, list, "/admin/machines", &machine, LIMIT).await;
    let _: serde_json::Value = added.unwrap();
    let node = NodeProcess::start(&site.site, "node", "", "").await;
    (site, node)
}

/// What a caller gets of an answer that the engine wrote.
async fn ask_engine(node: &NodeProcess, engine: &Engine, answer: &str, streamed: bool) -> (u16, Option<String>) {
    *engine.spoilt.lock().unwrap() = answer.to_owned();
    let before = engine.written.load(Ordering::SeqCst);
    loop {
        let received = ask(node, streamed).await;
        if engine.written.load(Ordering::SeqCst) > before {
            return received;
        }
        // The engine is avoided for a time after an answer before.
        node.assert_serves().await;
    }
}

/// What a caller gets: the status, and the body if it is complete.
async fn ask(node: &NodeProcess, streamed: bool) -> (u16, Option<String>) {
    let body = serde_json::json!({ "model": SERVICE, "prompt": SPOILT_PROMPT, "stream": streamed });
    let request = request(&node.addresses.callers, "/v1/completions", full(body.to_string()));
    let answer = tokio::time::timeout(LIMIT, Client::http1().send(request)).await.expect("an answer").unwrap();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok();
    (status, body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_head_cannot_be_used_reaches_no_caller() {
    let engine = Engine::default();
    let (_site, node) = start(&engine).await;
    let mut taken = Vec::new();
    for (streamed, body) in [(false, WHOLE), (true, STREAM)] {
        let heads = Heads { lines: "", body: body.into() };
        let (status, body) = ask_engine(&node, &engine, &heads.with_length("200 OK"), streamed).await;
        assert_eq!((status, body.is_some_and(|body| body.contains("spoilt"))), (200, true), "a sound head");
        for (case, bytes) in heads.unusable().into_iter().step_by(HEAD_INTERVAL) {
            let (status, body) = ask_engine(&node, &engine, &bytes, streamed).await;
            let is_refused = matches!(status, 502 | 503) && body.as_ref().is_some_and(|body| !body.contains("spoilt"));
            if !is_refused {
                taken.push(format!("{case}, streamed: {streamed}: {status} {body:?}"));
            }
        }
    }
    assert!(taken.is_empty(), "{} cases:\n{}", taken.len(), taken.join("\n"));
}
