//! A worker stands still while a server crashes and starts again.

use crate::client::{read, results, submit, text_at};
use crate::server::{whole_text, Behaviour, Server};
use crate::site::{batch_route, document, free_ports, Role, Site};
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
const ITEMS: usize = 10;
const EVENTS: u64 = 60;
const CONTACT: Duration = Duration::from_millis(3000);
/// From the start of the freeze to the crash, from there to the server's next start, and
/// from there to the end of the freeze. A store machine of the site stands still for 3.2 s.
const TO_CRASH: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(2100);
const TO_END: Duration = Duration::from_millis(400);

pub async fn run(case: &Case) -> Result<Verdict> {
    let store = StoreStandIn::start().await;
    store.write("op/config", &document(3, &["taalserver"], &[batch_route("lot", PREFIX, "taalserver")])).await;
    let (_cut, cuts) = watch::channel(None);
    let behaviour =
        Behaviour { slots: 8, gap: Duration::from_millis(100), events: Arc::new(|_| EVENTS), unframed: true };
    let mut servers = Vec::new();
    for (number, port) in free_ports::<5>().await?.into_iter().enumerate() {
        let address = SocketAddr::new(crate::site::ip(20 + number), port);
        let (store, record, cuts) = (store.clone(), case.record.clone(), cuts.clone());
        let id = format!("i-00{number}");
        servers.push(Server::start(&id, "taalserver", address, behaviour.clone(), store, record, cuts).await?);
    }
    let mut site = Site::start(store, 3, 3, &case.folder).await?;
    let verdict = watch_job(case, &mut site, &mut servers).await;
    site.end().await;
    verdict
}

async fn watch_job(case: &Case, site: &mut Site, servers: &mut [Server]) -> Result<Verdict> {
    if !all_ready(site).await {
        return Ok(Verdict::CouldNotRun);
    }
    tokio::time::sleep(CONTACT).await;
    let fronts = site.fronts();
    let items: Vec<String> = (0..ITEMS).map(|number| format!("a00{number}57c14da6f38")).collect();
    let status = submit(fronts[0], JOB, PREFIX, &items).await;
    case.record.tell(&format!("client: job {JOB} handed in: {status:?}"));
    if status != Some(202) {
        return Ok(Verdict::CouldNotRun);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    if case.trouble && !disturb(case, site, servers).await? {
        return Ok(Verdict::CouldNotRun);
    }
    let mut listed: BTreeMap<usize, (String, String, String)> = BTreeMap::new();
    let end = case.record.now() + Duration::from_secs(30);
    while listed.len() < items.len() && case.record.now() < end {
        let from = listed.len();
        if let Some((status, page)) = read(fronts[0], JOB, from, 1000).await {
            case.record.note(&format!("client: from {from}: {status}, {} results", results(&page).len()));
            for (number, (id, state)) in results(&page).into_iter().enumerate() {
                listed.insert(from + number, (id, state, text_at(&page, number)));
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let mut broken = 0;
    for (position, (id, state, text)) in &listed {
        let pieces = text.lines().count();
        case.record.note(&format!("client: position {position}: {id} {state}, {pieces} of {EVENTS} pieces"));
        if state == "completed" && *text != whole_text(id, EVENTS) {
            case.record.tell(&format!("MIXED: {id} is completed with {pieces} of {EVENTS} pieces"));
            broken += 1;
        }
    }
    case.record.tell(&format!("{} of {ITEMS} items are listed, {broken} break the rule", listed.len()));
    Ok(match (broken, listed.len()) {
        (0, ITEMS) => Verdict::Held,
        (0, _) => Verdict::CouldNotRun,
        _ => Verdict::Broken,
    })
}

/// `false` if there is nothing to disturb.
async fn disturb(case: &Case, site: &mut Site, servers: &mut [Server]) -> Result<bool> {
    let record = site.read(&format!("latchwheel/active/job/{JOB}")).await.unwrap_or_default();
    let worker = record["assigned"].as_str().unwrap_or_default().to_owned();
    let Some(worker) = site.machine(&worker).filter(|machine| machine.role == Role::Worker) else {
        return Ok(false);
    };
    let Some(server) = servers.iter_mut().max_by_key(|server| server.running()) else { return Ok(false) };
    let freezes = std::env::var("FREEZE").map_or(true, |freezes| freezes != "0");
    if freezes {
        worker.signal(libc::SIGSTOP);
        case.record.tell(&format!("{} stands still", worker.name));
    }
    tokio::time::sleep(TO_CRASH).await;
    case.record.tell(&format!("server {} crashes with {} items", server.id(), server.running()));
    server.crash().await;
    server.lapse_later();
    tokio::time::sleep(DOWN).await;
    server.start_again().await?;
    case.record.tell(&format!("server {} is back", server.id()));
    tokio::time::sleep(TO_END).await;
    if freezes {
        worker.signal(libc::SIGCONT);
        case.record.tell(&format!("{} goes on", worker.name));
    }
    Ok(true)
}
