//! The engine's HTTP interface and its batch loop.

use super::answer::{AnswerHead, Form};
use super::model::{EngineFaults, EngineSettings, Model, SlotTime, BYTES_PER_TOKEN};
use super::sequence::{fingerprint, OnDisconnect, Progress, Sequence};
use crate::request::{query, read_json, refuse, Response};
use hyper::body::Incoming;
use hyper::{Method, Request};
use latchwheel_core::identity::stable_hash;
use latchwheel_core::prefix::block_hashes;
use latchwheel_http::{channel, json, serve, Version};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

const DEFAULT_TOKENS: u32 = 16;
const STREAM_PIECES: usize = 1024;

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    on_disconnect: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Order {
    epoch: u64,
    kind: String,
    value: String,
}

#[derive(Debug, Serialize)]
struct CacheEventLine {
    sequence: u64,
    stored: Vec<u64>,
    evicted: Vec<u64>,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    model: Arc<Mutex<Model>>,
    wake: Arc<Notify>,
    connections: Arc<AtomicU64>,
}

impl Engine {
    /// An engine that does not serve yet.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            model: Arc::new(Mutex::new(Model::new(settings))),
            wake: Arc::new(Notify::new()),
            connections: Arc::default(),
        }
    }

    /// Serves on a listener until `stop`.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let steps = tokio::spawn(self.clone().run_steps());
        let engine = self.clone();
        serve(listener, Version::Http1, stop, move |request| engine.clone().answer(request)).await;
        steps.abort();
    }

    /// Slot time so far.
    pub fn slot_time(&self) -> SlotTime {
        self.lock().slot_time()
    }

    /// Runs of a request identity so far.
    pub fn runs_of(&self, identity: &str) -> u32 {
        self.lock().runs().get(identity).copied().unwrap_or(0)
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_steps(self) {
        let mut deadline = Instant::now();
        loop {
            let step = self.lock().begin_step();
            match step {
                None => {
                    self.wake.notified().await;
                    deadline = Instant::now();
                }
                Some(time) => {
                    deadline = deadline.max(Instant::now() - Duration::from_millis(2)) + time;
                    if time.is_zero() {
                        tokio::task::yield_now().await;
                    } else {
                        tokio::time::sleep_until(deadline).await;
                    }
                    self.lock().end_step();
                }
            }
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Response {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method().clone(), parts.as_slice()) {
            (Method::POST, ["v1", "completions"]) => self.complete(request, Form::Completion).await,
            (Method::POST, ["v1", "chat", "completions"]) => self.complete(request, Form::Chat).await,
            (Method::POST, ["v1", "streams", id, "resume"]) => self.resume(id, request).await,
            (Method::POST, ["v1", "streams", id, "cancel"]) => {
                let known = self.lock().cancel(id);
                json(200, &serde_json::json!({ "cancelled": known }))
            }
            (Method::GET, ["v1", "models"]) => self.list_models(),
            (Method::GET, ["v1", "load"]) => self.load(),
            (Method::GET, ["v1", "cache", "events"]) => self.cache_events(query(&request, "from").unwrap_or(0)),
            (Method::GET, ["v1", "cache", "blocks"]) => {
                let (blocks, next) = self.lock().cache.whole();
                json(200, &serde_json::json!({ "blocks": blocks, "next": next }))
            }
            (Method::POST, ["v1", "kv", "import"]) => self.import(request).await,
            (Method::POST, ["v1", "kv", "export"]) => self.export(request).await,
            (Method::POST, ["v1", "orders"]) => self.order(request).await,
            (Method::POST, ["admin", "faults"]) => match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json(200, &serde_json::json!({}))
                }
                Err(refusal) => refusal,
            },
            (Method::GET, ["admin", "runs"]) => json(200, self.lock().runs()),
            (Method::GET, ["admin", "prompt-runs"]) => json(200, self.lock().prompt_runs()),
            (Method::GET, ["admin", "slot-time"]) => json(200, &self.slot_time()),
            _ => refuse(404, "no such path"),
        }
    }

    async fn complete(self, request: Request<Incoming>, form: Form) -> Response {
        let faults = self.lock().faults.clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.refuse || self.lock().draining {
            return refuse(503, "the engine takes no new requests");
        }
        let header = request.headers().get("x-request-id").and_then(|value| value.to_str().ok());
        let id: Arc<str> = match header {
            Some(id) => id.into(),
            None => format!("engine-{:016x}", rand::random::<u64>()).into(),
        };
        let body: CompletionBody = match read_json(request).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        if !self.lock().models.contains(&body.model) {
            return refuse(404, "the model is not loaded");
        }
        let prompt = match form {
            Form::Completion => body.prompt.unwrap_or_default(),
            Form::Chat => chat_prompt(&body.messages),
        };
        if prompt.is_empty() {
            return refuse(400, "the prompt is empty");
        }
        let head = AnswerHead {
            id: id.to_string(),
            model: body.model,
            form,
            fingerprint: fingerprint(&prompt),
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
        };
        let (sink, progress) = mpsc::unbounded_channel();
        let pause = body.on_disconnect.as_deref() == Some("pause");
        let wanted = body.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        let sequence = Sequence {
            id: id.clone(),
            priority: body.priority,
            arrival: 0,
            prompt_tokens: head.prompt_tokens,
            prefilled: 0,
            generated: 0,
            wanted,
            blocks: block_hashes(prompt.as_bytes()),
            streamed: body.stream,
            on_disconnect: if pause { OnDisconnect::Pause } else { OnDisconnect::Cancel },
            connection,
            sink,
        };
        self.lock().submit(sequence, stable_hash(prompt.as_bytes()));
        self.wake.notify_one();
        self.deliver(id, connection, head, body.stream, wanted, progress).await
    }

    /// Takes a paused sequence up again. The body repeats the request, so
    /// that the answer has the same form.
    async fn resume(self, id: &str, request: Request<Incoming>) -> Response {
        let id: Arc<str> = id.into();
        let body: CompletionBody = match read_json(request).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let form = if body.prompt.is_some() { Form::Completion } else { Form::Chat };
        let prompt = body.prompt.unwrap_or_else(|| chat_prompt(&body.messages));
        let (sink, progress) = mpsc::unbounded_channel();
        let mut head = None;
        let mut wanted = 0;
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        let known = self.lock().resume(&id, |sequence| {
            if sequence.streamed {
                (0..sequence.generated).for_each(|position| drop(sink.send(Progress::Token(position))));
            }
            sequence.sink = sink;
            sequence.connection = connection;
            wanted = sequence.wanted;
            head = Some(AnswerHead {
                id: id.to_string(),
                model: body.model,
                form,
                fingerprint: fingerprint(&prompt),
                prompt_tokens: sequence.prompt_tokens,
            });
        });
        self.wake.notify_one();
        match head {
            Some(head) if known => self.deliver(id, connection, head, body.stream, wanted, progress).await,
            _ => refuse(410, "the sequence is not kept"),
        }
    }

    async fn deliver(
        self,
        id: Arc<str>,
        connection: u64,
        head: AnswerHead,
        streamed: bool,
        wanted: u32,
        mut progress: mpsc::UnboundedReceiver<Progress>,
    ) -> Response {
        let mut guard = DisconnectGuard { engine: self, id, connection, armed: true };
        if !streamed {
            return match progress.recv().await {
                Some(Progress::Done(tokens)) => {
                    guard.disarm();
                    json(200, &head.whole(tokens))
                }
                _ => refuse(500, "the sequence was broken off"),
            };
        }
        let (sender, body) = channel(STREAM_PIECES);
        tokio::spawn(async move {
            loop {
                let next = tokio::select! {
                    next = progress.recv() => next,
                    () = sender.closed() => return,
                };
                match next {
                    Some(Progress::Token(position)) => {
                        if !sender.send(head.event(position, position + 1 >= wanted)).await {
                            return;
                        }
                    }
                    Some(Progress::Done(_)) => {
                        guard.disarm();
                        sender.send("data: [DONE]\n\n").await;
                        return;
                    }
                    Some(Progress::Cut) | None => {
                        guard.disarm();
                        sender.abort().await;
                        return;
                    }
                }
            }
        });
        let mut response = hyper::Response::new(body);
        let value = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
        response
    }

    fn list_models(&self) -> Response {
        let model = self.lock();
        let data: Vec<serde_json::Value> =
            model.models.iter().map(|id| serde_json::json!({ "id": id, "object": "model" })).collect();
        json(200, &serde_json::json!({ "object": "list", "data": data }))
    }

    fn load(&self) -> Response {
        let model = self.lock();
        let lag = Duration::from_millis(model.settings.load_lag_milliseconds);
        let sample = model.reports.lagged(lag);
        let profile = serde_json::json!({
            "running": sample.running,
            "waiting": sample.waiting,
            "tokens": sample.tokens,
            "slots": model.settings.slots,
            "token_capacity": model.settings.token_capacity,
            "models": model.models,
            "role": model.role,
            "draining": model.draining,
        });
        json(200, &profile)
    }

    fn cache_events(&self, from: u64) -> Response {
        let model = self.lock();
        let lag = Duration::from_millis(model.settings.event_lag_milliseconds);
        let events: Vec<CacheEventLine> = model
            .cache
            .events_from(from, lag)
            .into_iter()
            .map(|event| CacheEventLine { sequence: event.sequence, stored: event.stored, evicted: event.evicted })
            .collect();
        json(200, &serde_json::json!({ "events": events }))
    }

    async fn export(&self, request: Request<Incoming>) -> Response {
        let blocks: Vec<u64> = match read_json(request).await {
            Ok(blocks) => blocks,
            Err(refusal) => return refusal,
        };
        let held = self.lock().cache.matched(&blocks);
        json(200, &serde_json::json!({ "blocks": &blocks[..held] }))
    }

    async fn import(&self, request: Request<Incoming>) -> Response {
        let blocks: Vec<u64> = match read_json(request).await {
            Ok(blocks) => blocks,
            Err(refusal) => return refusal,
        };
        self.lock().cache.store(&blocks, false);
        json(200, &serde_json::json!({ "imported": blocks.len() }))
    }

    async fn order(&self, request: Request<Incoming>) -> Response {
        let order: Order = match read_json(request).await {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let mut model = self.lock();
        if !model.fence.admit(order.epoch) {
            return refuse(409, "an order with a higher epoch was seen");
        }
        match order.kind.as_str() {
            "load" if !model.models.contains(&order.value) => model.models.push(order.value),
            "load" => {}
            "unload" => model.models.retain(|name| *name != order.value),
            "role" => model.role = order.value,
            "drain" => model.draining = order.value == "on",
            _ => return refuse(400, "no such order"),
        }
        json(200, &serde_json::json!({ "epoch": order.epoch }))
    }
}

/// Tells the model when the connection of a sequence goes away.
struct DisconnectGuard {
    engine: Engine,
    id: Arc<str>,
    connection: u64,
    armed: bool,
}

impl DisconnectGuard {
    fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            self.engine.lock().disconnect(&self.id, self.connection);
        }
    }
}

/// The text of a chat as the model sees it.
fn chat_prompt(messages: &[serde_json::Value]) -> String {
    let text = |message: &serde_json::Value| {
        let part = |name: &str| message.get(name).and_then(|value| value.as_str()).unwrap_or_default().to_owned();
        format!("{}: {}\n", part("role"), part("content"))
    };
    messages.iter().map(text).collect()
}
