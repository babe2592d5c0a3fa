//! Batch load: heaps of jobs, resent until they are acknowledged, and read
//! back in the end.

use crate::load::{expected_word, filler};
use crate::scenario::{BatchLoad, Scenario};
use bytes::Bytes;
use hyper::{Method, Request};
use latchwheel_http::{full, read_bounded, CallFault, Client};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

const CALL_TIME: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(300);

const OUTPUT_LIMIT: usize = 1 << 30;
const BOUNDARY: &str = "latchwheel-bench-part";

/// A job that was acknowledged.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    /// Identity.
    pub job: String,
    /// Number of its load in the scenario.
    pub load: usize,
    /// Name from which its prompts are made.
    pub name: String,
}

/// What became of the batch work.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BatchReport {
    /// Jobs that were acknowledged.
    pub jobs: u64,
    /// Items in them.
    pub items: u64,
    /// Items completed when the online load ended.
    pub completed_in_time: u64,
    /// Items a second until then.
    pub items_per_second: f64,
    /// Items completed in the end.
    pub completed: u64,
    /// Items that failed, with a code.
    pub failed: u64,
    /// Items without any result line, of the jobs that could be read.
    pub lost: u64,
    /// Items of jobs whose results no node let be read in the end.
    #[serde(default)]
    pub unreadable: u64,
    /// Items with more than one result line.
    pub doubled: u64,
    /// Result lines that answer another item.
    pub wrong: u64,
    /// Time from the end of the online load until all jobs had ended.
    pub drain_seconds: f64,
    /// Median time to acknowledge a job, its upload included, in milliseconds.
    pub acknowledge_milliseconds: f64,
}

/// Submits heaps and keeps account of them.
#[derive(Debug)]
pub struct BatchDriver {
    client: Client,
    scenario: Arc<Scenario>,
    nodes: watch::Receiver<Vec<String>>,
    accepted: Mutex<Vec<AcceptedJob>>,
    times: Mutex<Vec<Duration>>,
}

impl BatchDriver {
    /// A driver over nodes that may change.
    pub fn new(scenario: Arc<Scenario>, nodes: watch::Receiver<Vec<String>>) -> Arc<Self> {
        Arc::new(Self { client: Client::http1(), scenario, nodes, accepted: Mutex::default(), times: Mutex::default() })
    }

    /// Jobs acknowledged so far.
    pub fn accepted(&self) -> Vec<AcceptedJob> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn node(&self, number: usize) -> String {
        let nodes = self.nodes.borrow();
        nodes[number % nodes.len()].clone()
    }

    /// Submits all heaps of one load when they are due.
    pub async fn run(self: Arc<Self>, number: usize) {
        let load = self.scenario.batch[number].clone();
        let begun = Instant::now();
        let mut heap = 0;
        loop {
            let at = Duration::from_secs_f64(heap as f64 * load.every_seconds);
            if at.as_secs_f64() >= self.scenario.seconds as f64 {
                return;
            }
            tokio::time::sleep_until((begun + at).into()).await;
            let submissions = (0..load.jobs).map(|job| {
                let name = format!("{}-{number}-{heap}-{job}", self.scenario.name);
                self.clone().submit(number, name, heap + job)
            });
            futures::future::join_all(submissions).await;
            heap += 1;
        }
    }

    /// Uploads and creates a job, resending until it is acknowledged; the
    /// idempotency key makes resends find the first one.
    async fn submit(self: Arc<Self>, load: usize, name: String, mut node: usize) {
        let begun = Instant::now();
        let plan = &self.scenario.batch[load];
        loop {
            if let Some(job) = self.try_submit(plan, &name, &self.node(node)).await {
                let accepted = AcceptedJob { job, load, name };
                self.accepted.lock().unwrap_or_else(PoisonError::into_inner).push(accepted);
                self.times.lock().unwrap_or_else(PoisonError::into_inner).push(begun.elapsed());
                return;
            }
            node += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn try_submit(&self, plan: &BatchLoad, name: &str, address: &str) -> Option<String> {
        let lines: String = (0..plan.items).map(|item| item_line(plan, name, item)).collect();
        let form = format!(
            "--{BOUNDARY}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--{BOUNDARY}\r\ncontent-disposition: form-data; name=\"file\"; filename=\"{name}.jsonl\"\r\n\r\n{lines}\r\n--{BOUNDARY}--\r\n"
        );
        let content = format!("multipart/form-data; boundary={BOUNDARY}");
        let headers = [("content-type", content.as_str()), ("idempotency-key", name)];
        let file = self.post(address, "/v1/files", &headers, form.into()).await?;
        let body = serde_json::json!({
            "input_file_id": file.get("id")?,
            "endpoint": "/v1/completions",
            "completion_window": "24h",
        });
        let repeatable = plan.repeatable.to_string();
        let headers = [
            ("content-type", "application/json"),
            ("idempotency-key", name),
            ("x-latchwheel-row", &plan.row),
            ("x-latchwheel-repeatable", &repeatable),
        ];
        let job = self.post(address, "/v1/batches", &headers, body.to_string().into()).await?;
        Some(job.get("id")?.as_str()?.to_owned())
    }

    async fn post(&self, address: &str, path: &str, headers: &[(&str, &str)], body: Bytes) -> Option<Value> {
        let mut message = Request::builder().method(Method::POST).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            message = message.header(*name, *value);
        }
        let message = message.body(full(body)).ok()?;
        let exchange = async {
            let response = self.client.send(message).await.ok()?;
            let status = response.status();
            let bytes = read_bounded(response.into_body(), OUTPUT_LIMIT, CALL_TIME).await.ok()?;
            let value: Value = serde_json::from_slice(&bytes).ok()?;
            status.is_success().then_some(value)
        };
        tokio::time::timeout(CALL_TIME, exchange).await.ok()?
    }

    /// Completed, failed and all items of the accepted jobs, as of now.
    pub async fn counts(&self) -> (u64, u64, u64) {
        let mut sums = (0, 0, 0);
        for (number, job) in self.accepted().iter().enumerate() {
            let mut tries = 0;
            let value = loop {
                if let Some(value) = self.get_json(&format!("/v1/batches/{}", job.job), number + tries).await {
                    break value;
                }
                tries += 1;
                if tries > 60 {
                    break Value::Null;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            };
            let count = |name: &str| {
                value.get("request_counts").and_then(|counts| counts.get(name)).and_then(Value::as_u64).unwrap_or(0)
            };
            sums.0 += count("completed");
            sums.1 += count("failed");
            sums.2 += count("total");
        }
        sums
    }

    async fn get_json(&self, path: &str, node: usize) -> Option<Value> {
        let bytes = self.client.call(Method::GET, &self.node(node), path, Bytes::new(), CALL_TIME).await.ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Waits until all jobs have ended, reads their results, and checks that
    /// every item has exactly one, its own.
    pub async fn finish(&self, completed_in_time: u64, limit: Duration) -> BatchReport {
        let begun = Instant::now();
        let mut counts = self.counts().await;
        while counts.0 + counts.1 < counts.2 && begun.elapsed() < limit {
            tokio::time::sleep(RETRY_PAUSE).await;
            counts = self.counts().await;
        }
        let accepted = self.accepted();
        let mut report = BatchReport {
            jobs: accepted.len() as u64,
            items: counts.2,
            completed_in_time,
            items_per_second: completed_in_time as f64 / self.scenario.seconds as f64,
            completed: counts.0,
            failed: counts.1,
            drain_seconds: begun.elapsed().as_secs_f64(),
            acknowledge_milliseconds: self.median_time(),
            ..BatchReport::default()
        };
        for (number, job) in accepted.iter().enumerate() {
            self.check_job(number, job, &mut report).await;
        }
        report
    }

    fn median_time(&self) -> f64 {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner).clone();
        times.sort_unstable();
        times.get(times.len() / 2).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    }

    /// Reads a file at one node after the other, each once and without a pause;
    /// one that there is not is empty. `None` if no node lets it be read.
    async fn read_file(&self, file: &str, node: usize) -> Option<Bytes> {
        let path = format!("/v1/files/{file}/content");
        let nodes = self.nodes.borrow().len();
        for tries in 0..nodes {
            match self.client.call(Method::GET, &self.node(node + tries), &path, Bytes::new(), CALL_TIME).await {
                Ok(bytes) => return Some(bytes),
                Err(CallFault::BadAnswer(404, _)) => return Some(Bytes::new()),
                Err(_) => {}
            }
        }
        None
    }

    async fn check_job(&self, number: usize, job: &AcceptedJob, report: &mut BatchReport) {
        let plan = &self.scenario.batch[job.load];
        let mut seen: BTreeMap<String, u32> = BTreeMap::new();
        for file in [format!("output-{}", job.job), format!("errors-{}", job.job)] {
            let Some(bytes) = self.read_file(&file, number).await else {
                report.unreadable += plan.items as u64;
                return;
            };
            for line in bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
                let Ok(value) = serde_json::from_slice::<Value>(line) else { continue };
                let custom_id = value.get("custom_id").and_then(Value::as_str).unwrap_or_default().to_owned();
                if value.get("error").is_some_and(Value::is_null) && !is_own(plan, job, &custom_id, line) {
                    report.wrong += 1;
                }
                *seen.entry(custom_id).or_default() += 1;
            }
        }
        report.doubled += seen.values().filter(|count| **count > 1).count() as u64;
        report.lost += (0..plan.items).filter(|item| !seen.contains_key(&item.to_string())).count() as u64;
    }
}

fn item_prompt(plan: &BatchLoad, name: &str, item: usize) -> String {
    filler(plan.prompt_bytes, &format!("{name} item {item}"))
}

fn item_line(plan: &BatchLoad, name: &str, item: usize) -> String {
    let line = serde_json::json!({
        "custom_id": item.to_string(),
        "method": "POST",
        "url": "/v1/completions",
        "body": { "model": plan.model, "prompt": item_prompt(plan, name, item), "max_tokens": plan.tokens },
    });
    format!("{line}\n")
}

fn is_own(plan: &BatchLoad, job: &AcceptedJob, custom_id: &str, line: &[u8]) -> bool {
    let Ok(item) = custom_id.parse() else { return false };
    let prompt = item_prompt(plan, &job.name, item);
    let text = String::from_utf8_lossy(line);
    text.contains(&expected_word(&prompt, 0)) && text.contains(&expected_word(&prompt, plan.tokens - 1))
}
