//! All servers of a service refuse a request within a moment, and some send a refusal a second
//! time, late: a request that is not idempotent must not be refused although it has run.
//!
//! No case of its own (`review/REPORT.md`).

use crate::client::{call, HOST};
use crate::cluster::{Cluster, Layout};
use crate::http::read_message;
use crate::record::Record;
use crate::server::{write_whole, HEARTBEAT};
use crate::{Outcome, Run};
use hyper::Method;
use latchwheel_stand_in::StoreStandIn;
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const SERVICE: &str = "bureau-app";
const SERVERS: usize = 3;
/// Requests that are sent, of which each fourth meets full servers.
const REQUESTS: usize = 20;
const WORK: Duration = Duration::from_millis(30);
const START_TIME: Duration = Duration::from_secs(15);
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after an answer in which its request may still begin to run.
const LATER: Duration = Duration::from_millis(200);

/// What the servers share.
#[derive(Debug)]
struct Servers {
    record: Record,
    /// No slot is free until a request was refused by as many as there are.
    full: AtomicBool,
    /// A refusal is sent again in place of the next answer on its connection.
    repeats: bool,
    ran: Mutex<HashSet<String>>,
    refusals: Mutex<HashMap<String, usize>>,
}

impl Servers {
    fn refuses(&self, id: &str) -> bool {
        if !self.full.load(Ordering::SeqCst) {
            return false;
        }
        let mut refusals = lock(&self.refusals);
        let count = refusals.entry(id.to_owned()).or_default();
        *count += 1;
        *count <= SERVERS
    }

    async fn serve(self: Arc<Self>, server: String, mut stream: TcpStream) {
        let (mut buffer, mut surplus): (_, Option<String>) = (Vec::new(), None);
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            let id = request.header("x-request-id").to_owned();
            if let Some(headers) = surplus.take() {
                self.record.line(format!("server {server} sends its refusal again, in place of an answer to {id}"));
                if write_whole(&mut stream, 503, &headers, b"").await.is_none() {
                    return;
                }
            }
            let headers = format!("X-Request-Id: {id}\r\nX-Weight-Versions: 1\r\n");
            let written = if request.header("x-expect-instance") != server {
                write_whole(&mut stream, 421, &headers, b"").await
            } else if self.refuses(&id) {
                self.record.line(format!("server {server} refuses {id}: full"));
                let headers = format!("{headers}X-Not-Executed: 1\r\n");
                let written = write_whole(&mut stream, 503, &headers, b"").await;
                surplus = self.repeats.then_some(headers);
                written
            } else {
                self.record.line(format!("server {server} runs {id}"));
                lock(&self.ran).insert(id.clone());
                tokio::time::sleep(WORK).await;
                let headers = format!("{headers}X-Response-Stamp: stamp-{id}\r\n");
                write_whole(&mut stream, 200, &headers, format!("answer to {id}").as_bytes()).await
            };
            if written.is_none() {
                return;
            }
        }
    }

    async fn start(self: Arc<Self>, id: String, store: StoreStandIn) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let server = id.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(self.clone().serve(server.clone(), stream));
            }
        });
        tokio::spawn(async move {
            for seq in 1_u64.. {
                let entry = json!({ "service": SERVICE, "address": address, "zone": "hall-a", "version": "v1",
                    "slots": 6, "state": "ready", "cold-left-ms": 0, "seq": seq });
                store.write(&format!("servers/{id}"), &entry).await;
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        Ok(())
    }
}

pub async fn run(run: &Run) -> Outcome {
    let store = StoreStandIn::start().await;
    store.write("op/config", &configuration()).await;
    let servers = Arc::new(Servers {
        record: run.record.clone(),
        full: AtomicBool::new(false),
        repeats: run.trouble,
        ran: Mutex::default(),
        refusals: Mutex::default(),
    });
    for number in 0..SERVERS {
        let id = format!("i-{:08x}", 0x51aa_0000 + number);
        if let Err(fault) = servers.clone().start(id, store.clone()).await {
            return fault.into();
        }
    }
    let layout = Layout { root: &run.root, folder: &run.folder, fronts: 3, workers: 3 };
    let cluster = match Cluster::start(layout, &run.record, |_| store.address.clone()) {
        Ok(cluster) => cluster,
        Err(fault) => return fault.into(),
    };
    let outcome = if cluster.wait_until_ready(START_TIME).await {
        tokio::time::sleep(SETTLE_TIME).await;
        play(run, &cluster, &servers).await
    } else {
        Outcome::NotRun("the fronts do not become ready".to_owned())
    };
    cluster.end().await;
    outcome
}

async fn play(run: &Run, cluster: &Cluster, servers: &Servers) -> Outcome {
    let mut broken = 0;
    for number in 0..REQUESTS {
        let id = format!("9c41d07be2a3{number:04x}");
        servers.full.store(number % 4 == 3, Ordering::SeqCst);
        let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "4000")];
        let target = format!("/card/{number}");
        let answer = call(Method::POST, &cluster.fronts[0].front, &target, &headers, "body".into()).await;
        let status = answer.map(|(status, _)| status);
        tokio::time::sleep(LATER).await;
        let has_run = lock(&servers.ran).contains(&id);
        run.record.line(format!("client sent {id}: {status:?}, has run: {has_run}"));
        if has_run && matches!(status, Some(408 | 421 | 429 | 503)) {
            broken += 1;
            run.record.line(format!("REFUSED: {id} has run and was answered {status:?}"));
        }
    }
    if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{ "name": "r-card", "host": HOST, "path-prefix": "/card/", "kind": "non_idempotent",
            "service": SERVICE, "timeout-ms": 4000, "target-latency-ms": 300, "priority": 2, "max-attempts": 1 }],
        "services": [{ "name": SERVICE, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false }],
        "limits": { "max-header-bytes": 16384, "max-body-bytes": 4_194_304, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000 }
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
