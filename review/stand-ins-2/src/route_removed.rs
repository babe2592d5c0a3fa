//! The operator removes a route whose batch jobs are open.

use crate::client::{read, results, submit};
use crate::server::{Behaviour, Server};
use crate::site::{batch_route, document, free_ports, stream_route, Site};
use crate::{all_ready, Case, Verdict};
use eyre::Result;
use latchwheel_stand_in::StoreStandIn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const PREFIX: &str = "/pule252/";
const JOB: &str = "7c41e09b52d6a3f8";
/// Retention of the route.
const RETENTION: Duration = Duration::from_secs(60);
const FINISH: Duration = Duration::from_secs(18);
const CALM: Duration = Duration::from_secs(5);

pub async fn run(case: &Case) -> Result<Verdict> {
    let store = StoreStandIn::start().await;
    let routes = [batch_route("lot", PREFIX, "taalserver"), stream_route("chat", "/lohu930/", "taalserver")];
    store.write("op/config", &document(3, &["taalserver"], &routes)).await;
    let (_cut, cuts) = watch::channel(None);
    let behaviour = Behaviour { slots: 2, gap: Duration::from_millis(50), events: Arc::new(|_| 60), unframed: false };
    let [port] = free_ports().await?;
    let address = SocketAddr::new(crate::site::ip(20), port);
    let server =
        Server::start("i-000", "taalserver", address, behaviour, store.clone(), case.record.clone(), cuts).await?;
    let mut site = Site::start(store, 3, 3, &case.folder).await?;
    let verdict = watch_job(case, &site, &server).await;
    site.end().await;
    verdict
}

async fn watch_job(case: &Case, site: &Site, server: &Server) -> Result<Verdict> {
    if !all_ready(site).await {
        return Ok(Verdict::CouldNotRun);
    }
    let fronts = site.fronts();
    let items: Vec<String> = (0..6).map(|number| format!("a00{number}57c14da6f38")).collect();
    let status = submit(fronts[0], JOB, PREFIX, &items).await;
    let accepted = case.record.now();
    case.record.tell(&format!("client: job {JOB} handed in: {status:?}"));
    if status != Some(202) {
        return Ok(Verdict::CouldNotRun);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    if case.trouble {
        let routes = [stream_route("chat", "/lohu930/", "taalserver")];
        site.store.write("op/config", &document(5, &["taalserver"], &routes)).await;
        case.record.tell("operator: version 5 is acknowledged, without the route of the job");
    }
    let mut listed: BTreeMap<usize, (String, String)> = BTreeMap::new();
    let mut last_busy = case.record.now();
    let mut last_news = case.record.now();
    let end = accepted + RETENTION + FINISH + Duration::from_secs(2);
    while case.record.now() < end && listed.len() < items.len() {
        for front in &fronts {
            let Some((status, page)) = read(*front, JOB, listed.len(), 0).await else { continue };
            let news = results(&page);
            case.record.note(&format!("client: {front} from {}: {status}, {} results", listed.len(), news.len()));
            for result in news {
                case.record.tell(&format!("listed: {} {}", result.0, result.1));
                listed.insert(listed.len(), result);
                last_news = case.record.now();
            }
        }
        if server.running() > 0 {
            last_busy = case.record.now();
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let missing = items.iter().filter(|id| !listed.values().any(|(listed, _)| listed == *id)).count();
    let now = case.record.now();
    case.record.tell(&format!(
        "{missing} of {} items are neither completed nor given up {:.1} s after the hand-in; servers empty for {:.1} s",
        items.len(),
        (now - accepted).as_secs_f64(),
        (now - last_busy).as_secs_f64()
    ));
    let is_calm = now - last_busy > CALM && now - last_news > CALM;
    Ok(match missing {
        0 => Verdict::Held,
        _ if is_calm => Verdict::Broken,
        _ => Verdict::CouldNotRun,
    })
}
