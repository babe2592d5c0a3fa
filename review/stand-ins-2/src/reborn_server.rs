//! A server is cut off from the store and from one front, crashes behind the cut and starts again
//! there.

use crate::client::{read, results, stream, submit, text_at};
use crate::server::{whole_text, Behaviour, Server};
use crate::site::{batch_route, document, free_ports, stream_route, Machine, Site};
use crate::{all_ready, Case, Verdict};
use eyre::Result;
use latchwheel_stand_in::StoreStandIn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const PREFIX: &str = "/pule252/";
const STREAM_PREFIX: &str = "/lohu930/";
const JOB: &str = "7c41e09b52d6a3f8";
const SERVERS: usize = 5;
const ITEMS: usize = 10;
const STREAMS: usize = 10;
const EVENTS: u64 = 60;
const CONTACT: Duration = Duration::from_millis(3000);
/// From the start of the cut to the crash, from there to the server's next start, and from
/// there to the end of the cut.
const TO_CRASH: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(2000);
const TO_END: Duration = Duration::from_millis(300);

pub async fn run(case: &Case) -> Result<Verdict> {
    let store = StoreStandIn::start().await;
    let routes = [batch_route("lot", PREFIX, "taalserver"), stream_route("chat", STREAM_PREFIX, "taalserver")];
    store.write("op/config", &document(3, &["taalserver"], &routes)).await;
    let (_cut, cuts) = watch::channel(None);
    let behaviour =
        Behaviour { slots: 8, gap: Duration::from_millis(100), events: Arc::new(|_| EVENTS), unframed: true };
    let mut servers = Vec::new();
    for (number, port) in free_ports::<SERVERS>().await?.into_iter().enumerate() {
        let address = SocketAddr::new(crate::site::ip(20 + number), port);
        let (store, record, cuts) = (store.clone(), case.record.clone(), cuts.clone());
        let id = format!("i-00{number}");
        servers.push(Server::start(&id, "taalserver", address, behaviour.clone(), store, record, cuts).await?);
    }
    let mut site = Site::start(store, 3, 3, &case.folder).await?;
    let verdict = watch_work(case, &site, &mut servers).await;
    site.end().await;
    verdict
}

async fn watch_work(case: &Case, site: &Site, servers: &mut [Server]) -> Result<Verdict> {
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
    let id = |number: usize| format!("c{number:03}d07be2a35f68");
    let streams: Vec<_> =
        (0..STREAMS).map(|number| tokio::spawn(stream(fronts[0], STREAM_PREFIX, id(number)))).collect();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    if case.trouble {
        disturb(case, site, servers).await?;
    }
    let listed = read_all(case, fronts[0]).await;
    let mut broken = 0;
    for (position, (id, state, text)) in &listed {
        let pieces = text.lines().count();
        case.record.note(&format!("client: position {position}: {id} {state}, {pieces} of {EVENTS} pieces"));
        if state == "completed" && *text != whole_text(id, EVENTS) {
            case.record.tell(&format!("MIXED: {id} is completed with {pieces} of {EVENTS} pieces"));
            broken += 1;
        }
    }
    for stream in streams {
        let (id, answer) = stream.await?;
        let text = answer.as_ref().map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let events = text.map(|text| text.matches("\n\n").count() as u64);
        case.record.note(&format!("client: stream {id}: {events:?} of {EVENTS} events; none if it was broken off"));
        if answer.is_some_and(|answer| answer.status == 200) && events.is_some_and(|events| events < EVENTS) {
            let events = events.unwrap_or_default();
            case.record.tell(&format!("ORDER: stream {id} is ended as complete after {events} of {EVENTS} events"));
            broken += 1;
        }
    }
    case.record.tell(&format!("{} of {ITEMS} items are listed; {broken} answers break the rule", listed.len()));
    Ok(match (broken, listed.len()) {
        (0, ITEMS) => Verdict::Held,
        (0, _) => Verdict::CouldNotRun,
        _ => Verdict::Broken,
    })
}

/// Id, state and text of the results, by their positions.
async fn read_all(case: &Case, front: SocketAddr) -> BTreeMap<usize, (String, String, String)> {
    let mut listed = BTreeMap::new();
    let end = case.record.now() + Duration::from_secs(30);
    while listed.len() < ITEMS && case.record.now() < end {
        let from = listed.len();
        if let Some((status, page)) = read(front, JOB, from, 1000).await {
            case.record.note(&format!("client: from {from}: {status}, {} results", results(&page).len()));
            for (number, (id, state)) in results(&page).into_iter().enumerate() {
                listed.insert(from + number, (id, state, text_at(&page, number)));
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    listed
}

async fn disturb(case: &Case, site: &Site, servers: &mut [Server]) -> Result<()> {
    let Some(server) = servers.iter_mut().max_by_key(|server| server.running()) else { return Ok(()) };
    let Some(front) = site.machines.first().and_then(Machine::pid) else { return Ok(()) };
    server.cut_off(front);
    case.record.tell(&format!("server {} is cut off with {} requests", server.id(), server.running()));
    tokio::time::sleep(TO_CRASH).await;
    // For comparison, the cut alone.
    let crashes = std::env::var("CRASH").map_or(true, |crashes| crashes != "0");
    if crashes {
        server.crash().await;
    }
    tokio::time::sleep(DOWN).await;
    if crashes {
        server.start_again().await?;
    }
    tokio::time::sleep(TO_END).await;
    // What the partition held up arrives now, as TCP sends it again.
    server.end_cut();
    case.record.tell(&format!("server {} is no longer cut off", server.id()));
    Ok(())
}
