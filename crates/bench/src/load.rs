//! Open-loop online load: requests are sent when they are due, whatever has
//! become of earlier ones, and times count from when a request was due.

use crate::recorder::{Answer, AnswerKind, Recorder};
use crate::scenario::{OnlineLoad, Scenario};
use bytes::Bytes;
use eyre::{bail, Result, WrapErr};
use hyper::{Method, Request};
use latchwheel_core::identity::stable_hash;
use latchwheel_engine::{AnswerStream, StreamEvent};
use latchwheel_http::{full, read_bounded, CallFault, Client};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const REQUEST_TIME: Duration = Duration::from_secs(60);
const ANSWER_LIMIT: usize = 16 << 20;

/// A request of the plan; a recorded trace has one as JSON a line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlannedRequest {
    /// When it is due, from the start.
    pub at: Duration,
    /// Number of its load in the scenario.
    pub load: usize,
    /// Identity, unique in the run.
    pub identity: String,
    /// Prompt.
    pub prompt: String,
}

/// Writes a plan as a trace.
///
/// # Errors
/// If the file can't be written.
pub fn record(requests: &[PlannedRequest], path: &Path) -> Result<()> {
    let mut text = String::new();
    for request in requests {
        text.push_str(&serde_json::to_string(request)?);
        text.push('\n');
    }
    std::fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))
}

/// Reads a trace.
///
/// # Errors
/// With the line that is wrong, also where it names a load that the scenario
/// does not have.
pub fn read_trace(path: &Path, loads: usize) -> Result<Vec<PlannedRequest>> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let mut requests = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let at = || format!("{} line {}", path.display(), number + 1);
        let request: PlannedRequest = serde_json::from_str(line).wrap_err_with(at)?;
        if request.load >= loads {
            bail!("{}: load {} is not in the scenario; allowed: 0 to {}", at(), request.load, loads.saturating_sub(1));
        }
        requests.push(request);
    }
    requests.sort_by_key(|request| request.at);
    Ok(requests)
}

/// Plans all requests of a scenario; the same seed gives the same plan.
pub fn plan(scenario: &Scenario) -> Vec<PlannedRequest> {
    let mut requests = Vec::new();
    for (number, load) in scenario.online.iter().enumerate() {
        let mut random = SmallRng::seed_from_u64(scenario.seed ^ (number as u64 + 1) << 32);
        let mut at = 0.0;
        loop {
            let rate = rate_at(load, at);
            // Exponential gaps; at no rate, look again shortly.
            at += if rate > 0.0 { -random.random::<f64>().max(1e-12).ln() / rate } else { 0.05 };
            if at >= scenario.seconds as f64 {
                break;
            }
            if rate > 0.0 {
                let part = random.random_range(0..load.shared_parts.max(1));
                let identity = format!("{}-{number}-{}", scenario.name, requests.len());
                let prompt = prompt(load, part, &identity);
                requests.push(PlannedRequest { at: Duration::from_secs_f64(at), load: number, identity, prompt });
            }
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn rate_at(load: &OnlineLoad, at: f64) -> f64 {
    let burst = load.bursts.iter().find(|burst| at >= burst.at_seconds && at < burst.at_seconds + burst.seconds);
    burst.map_or(load.requests_per_second, |burst| burst.requests_per_second)
}

/// A prompt: a part that many share, then the request's own part.
fn prompt(load: &OnlineLoad, part: usize, identity: &str) -> String {
    let mut text = filler(load.shared_bytes, &format!("{} part {part}", load.row));
    text.push_str(&filler(load.own_bytes.max(identity.len() + 1), identity));
    text
}

/// Text of a length that depends on a name only.
pub fn filler(length: usize, name: &str) -> String {
    let mut text = format!("{name} ");
    let mut state = stable_hash(name.as_bytes());
    while text.len() < length {
        state = stable_hash(&state.to_le_bytes());
        text.push_str(&format!("{state:016x} "));
    }
    text.truncate(length.max(name.len() + 1));
    text
}

/// Sends all requests of a plan when they are due.
pub async fn run(
    scenario: Arc<Scenario>,
    requests: Vec<PlannedRequest>,
    nodes: watch::Receiver<Vec<String>>,
    recorder: Arc<Recorder>,
) {
    let client = Client::http1();
    let begun = Instant::now();
    let mut running = Vec::new();
    for (number, request) in requests.into_iter().enumerate() {
        let due = begun + request.at;
        tokio::time::sleep_until(due.into()).await;
        let addresses = nodes.borrow().clone();
        let address = addresses[number % addresses.len()].clone();
        let (client, scenario, recorder) = (client.clone(), scenario.clone(), recorder.clone());
        running.push(tokio::spawn(async move {
            let answer = send(&client, &address, &scenario.online[request.load], &request, due).await;
            recorder.note(&scenario.online[request.load], &request, answer);
        }));
    }
    for task in running {
        let _ = task.await;
    }
}

async fn send(client: &Client, address: &str, load: &OnlineLoad, request: &PlannedRequest, due: Instant) -> Answer {
    let body = serde_json::json!({
        "model": load.model,
        "prompt": request.prompt,
        "max_tokens": load.tokens,
        "stream": load.streamed,
    });
    let mut message = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/completions"))
        .header("content-type", "application/json")
        .header("x-latchwheel-row", &load.row);
    if !load.repeatable {
        message = message.header("x-latchwheel-repeatable", "false").header("idempotency-key", &request.identity);
    }
    let Ok(message) = message.body(full(body.to_string())) else {
        return Answer::failed(AnswerKind::Unreachable, due);
    };
    let exchange = async {
        match client.send(message).await {
            Ok(response) if response.status() == 200 && load.streamed => {
                read_stream(AnswerStream::new(response.into_body()), load, request, due).await
            }
            Ok(response) => {
                let status = response.status().as_u16();
                let header = |name: &str| {
                    let value = response.headers().get(name).and_then(|value| value.to_str().ok());
                    value.map(str::to_owned)
                };
                let code = header("x-latchwheel-code").and_then(|text| text.parse().ok()).unwrap_or(0);
                let retry_after = header("retry-after-ms").is_some();
                let bytes = read_bounded(response.into_body(), ANSWER_LIMIT, REQUEST_TIME).await;
                match bytes {
                    Ok(bytes) if status == 200 => judge_whole(&bytes, load, request, due),
                    Ok(_) => Answer { retry_after, ..Answer::failed(AnswerKind::Refused(code), due) },
                    Err(_) => Answer::failed(AnswerKind::Cut, due),
                }
            }
            Err(CallFault::NotSent) => Answer::failed(AnswerKind::Unreachable, due),
            Err(_) => Answer::failed(AnswerKind::Cut, due),
        }
    };
    tokio::time::timeout(REQUEST_TIME, exchange).await.unwrap_or_else(|_| Answer::failed(AnswerKind::Timeout, due))
}

async fn read_stream(mut stream: AnswerStream, load: &OnlineLoad, request: &PlannedRequest, due: Instant) -> Answer {
    let mut answer = Answer::failed(AnswerKind::Cut, due);
    let mut last = None;
    let mut position = 0;
    loop {
        match stream.next().await {
            StreamEvent::Data(data) => {
                let now = Instant::now();
                let expected = expected_word(&request.prompt, position);
                if !data.contains(&expected) {
                    answer.kind = if data.contains("\"error\"") { AnswerKind::Cut } else { AnswerKind::Wrong };
                    return answer;
                }
                match last {
                    None => answer.first_token = Some(now.duration_since(due)),
                    Some(last) => answer.gaps.push(now.duration_since(last)),
                }
                last = Some(now);
                position += 1;
            }
            StreamEvent::End => {
                answer.kind = if position == load.tokens { AnswerKind::Whole } else { AnswerKind::Wrong };
                answer.total = due.elapsed();
                return answer;
            }
            StreamEvent::Interrupted => return answer,
        }
    }
}

fn judge_whole(bytes: &Bytes, load: &OnlineLoad, request: &PlannedRequest, due: Instant) -> Answer {
    let text = String::from_utf8_lossy(bytes);
    let whole = (0..load.tokens).all(|position| text.contains(&expected_word(&request.prompt, position)));
    let kind = if whole { AnswerKind::Whole } else { AnswerKind::Wrong };
    let total = due.elapsed();
    Answer { kind, first_token: Some(total), total, gaps: Vec::new(), retry_after: false }
}

/// The stand-in engine's word at a position of the answer to a prompt.
pub fn expected_word(prompt: &str, position: u32) -> String {
    format!("{:08x}-{position} ", stable_hash(prompt.as_bytes()) as u32)
}
