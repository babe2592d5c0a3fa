//! What a node adds to a request: first token through a node against the
//! engine asked directly, own servers and forwarded, and requests a second.

use crate::process_figures::{processor_seconds, resident_megabytes};
use crate::recorder::Percentiles;
use bytes::Bytes;
use eyre::{eyre, Result};
use hdrhistogram::Histogram;
use hyper::{Method, Request};
use latchwheel_emulator::engine::EngineSettings;
use latchwheel_emulator::site::{ServiceSettings, Site, SiteSettings};
use latchwheel_engine::{AnswerStream, StreamEvent};
use latchwheel_http::{full, read_bounded, Client};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const CALL_TIME: Duration = Duration::from_secs(10);
const ANSWER_LIMIT: usize = 1 << 20;
const WARM_UP: usize = 200;
const FEW_TOKENS: u32 = 4;
const SETTLE: Duration = Duration::from_secs(3);

/// What a node adds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LatencyReport {
    /// First token of the engine asked directly, in milliseconds.
    pub direct: Percentiles,
    /// First token through the node that owns the engine.
    pub owned: Percentiles,
    /// First token through a node that forwards to the owner.
    pub forwarded: Percentiles,
    /// Whole requests a second through one node, from concurrent callers.
    pub requests_per_second: f64,
    /// Cores that the node used meanwhile.
    pub node_cores: f64,
    /// Streamed tokens a second through one node, from concurrent callers.
    pub tokens_per_second: f64,
    /// Cores that the node used meanwhile.
    pub token_cores: f64,
    /// Resident megabytes of the node, idle.
    pub idle_megabytes: f64,
    /// Resident megabytes in the end.
    pub loaded_megabytes: f64,
}

/// Measures with an engine whose steps take no time, so that only the way
/// counts.
///
/// # Errors
/// If a process can't be started.
pub async fn run(requests: usize, seconds: u64) -> Result<LatencyReport> {
    let (_stop, stopped) = watch::channel(false);
    let engine = EngineSettings {
        model: "m".into(),
        slots: 512,
        token_capacity: 10_000_000,
        step_microseconds: 0,
        sequence_nanoseconds: 0,
        prefill_nanoseconds: 0,
        prefill_chunk: 1_000_000,
        ..EngineSettings::default()
    };
    let site = SiteSettings {
        region: "r".into(),
        zones: vec!["a".into()],
        services: vec![ServiceSettings { name: "pool".into(), servers: 1, engine }],
        key_value: Default::default(),
        weights: Default::default(),
        machine_list_lag_milliseconds: 0,
    };
    let site = Site::start(&site, &stopped).await?;
    let folder = tempfile::tempdir()?;
    let owner = start_node(folder.path(), &site, "owner", "a").await?;
    let other = start_node(folder.path(), &site, "other", "b").await?;
    put_row(&owner.1.admin).await?;
    tokio::time::sleep(SETTLE).await;
    let idle_megabytes = resident_megabytes(owner.0.id());
    let direct = first_tokens(&site.addresses.engines[0].address, requests).await?;
    let owned = first_tokens(&owner.1.callers, requests).await?;
    let forwarded = first_tokens(&other.1.callers, requests).await?;
    let before = processor_seconds(owner.0.id());
    let begun = Instant::now();
    let done = throughput(&owner.1.callers, seconds).await;
    let passed = begun.elapsed().as_secs_f64();
    let node_cores = (processor_seconds(owner.0.id()) - before) / passed;
    let before = processor_seconds(owner.0.id());
    let begun = Instant::now();
    let tokens = token_throughput(&owner.1.callers, seconds).await;
    let token_seconds = begun.elapsed().as_secs_f64();
    let token_cores = (processor_seconds(owner.0.id()) - before) / token_seconds;
    Ok(LatencyReport {
        direct,
        owned,
        forwarded,
        requests_per_second: done as f64 / passed,
        node_cores,
        tokens_per_second: tokens as f64 / token_seconds,
        token_cores,
        idle_megabytes,
        loaded_megabytes: resident_megabytes(owner.0.id()),
    })
}

type Node = (tokio::process::Child, latchwheel_node::Addresses);

async fn start_node(folder: &Path, site: &Site, name: &str, zone: &str) -> Result<Node> {
    let text = format!(
        "[node]\nname = \"{name}\"\nregion = \"r\"\nzone = \"{zone}\"
[listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"
[platform]\nkey_value = \"{}\"\nmachines = \"{}\"\nannounce = true
[callers]\nkeys = \"open\"\n[log]\nlevel = \"error\"\n",
        site.addresses.key_value, site.addresses.machines,
    );
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, text)?;
    crate::processes::spawn_node(&path).await
}

/// Streamed tokens from concurrent callers for some seconds.
async fn token_throughput(address: &str, seconds: u64) -> u64 {
    const CALLERS: usize = 32;
    const TOKENS: u32 = 256;
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers = (0..CALLERS).map(|_| {
        let address = address.to_owned();
        tokio::spawn(async move {
            let client = Client::http1();
            let mut tokens = 0;
            while Instant::now() < end {
                let Ok(request) = request(&address, true, TOKENS) else { break };
                let Ok(response) = client.send(request).await else { continue };
                let mut stream = AnswerStream::new(response.into_body());
                while matches!(stream.next().await, StreamEvent::Data(_)) {
                    tokens += 1;
                }
            }
            tokens
        })
    });
    futures::future::join_all(callers).await.into_iter().filter_map(Result::ok).sum()
}

async fn put_row(admin: &str) -> Result<()> {
    let row = serde_json::json!({ "class": "online", "service": "pool", "model": "m" });
    let _: serde_json::Value =
        Client::http1().json(Method::PUT, admin, "/admin/v1/table/rows/row", &row, CALL_TIME).await?;
    Ok(())
}

fn request(address: &str, stream: bool, tokens: u32) -> Result<Request<latchwheel_http::Body>> {
    let body = format!("{{\"model\":\"m\",\"prompt\":\"Hello there\",\"max_tokens\":{tokens},\"stream\":{stream}}}");
    Ok(Request::builder().method(Method::POST).uri(format!("http://{address}/v1/completions")).body(full(body))?)
}

/// First-token times of requests one after the other.
async fn first_tokens(address: &str, count: usize) -> Result<Percentiles> {
    let client = Client::http1();
    let mut histogram = Histogram::<u64>::new(3)?;
    for number in 0..count + WARM_UP {
        let begun = Instant::now();
        let response = client.send(request(address, true, FEW_TOKENS)?).await?;
        if response.status() != 200 {
            return Err(eyre!("{address} answered {}", response.status()));
        }
        let mut stream = AnswerStream::new(response.into_body());
        let first = stream.next().await;
        if number >= WARM_UP && matches!(first, StreamEvent::Data(_)) {
            histogram.record(begun.elapsed().as_micros() as u64)?;
        }
        while matches!(stream.next().await, StreamEvent::Data(_)) {}
    }
    Ok(Percentiles::of(&histogram))
}

/// Whole requests from concurrent callers for some seconds.
async fn throughput(address: &str, seconds: u64) -> u64 {
    const CALLERS: usize = 32;
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers = (0..CALLERS).map(|_| {
        let address = address.to_owned();
        tokio::spawn(async move {
            let client = Client::http1();
            let mut done = 0;
            while Instant::now() < end {
                let Ok(request) = request(&address, false, FEW_TOKENS) else { break };
                let Ok(response) = client.send(request).await else { continue };
                let status = response.status();
                let body: Result<Bytes, _> = read_bounded(response.into_body(), ANSWER_LIMIT, CALL_TIME).await;
                done += u64::from(status == 200 && body.is_ok());
            }
            done
        })
    });
    futures::future::join_all(callers).await.into_iter().filter_map(Result::ok).sum()
}
