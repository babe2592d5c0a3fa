//! A worker is cut off, another one goes on with its job, and the worker comes back.

use crate::client::{read, results, submit};
use crate::server::{Behaviour, Server};
use crate::site::{batch_route, document, free_ports, Machine, Role, Site};
use crate::{all_ready, Case, Verdict};
use eyre::Result;
use latchwheel_soak::link::LinkState;
use latchwheel_stand_in::StoreStandIn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

const PREFIX: &str = "/pule252/";
const JOB: &str = "7c41e09b52d6a3f8";
/// The site cuts machines off for 12 s, and its store turns machines away for 9 s.
const CUT: Duration = Duration::from_millis(11_400);
const TURNED_AWAY: Duration = Duration::from_millis(8_900);
const CONTACT: Duration = Duration::from_millis(3000);
const SETTLE: Duration = Duration::from_millis(1000);
/// How long is watched once machines are in touch again.
const AFTER: Duration = Duration::from_secs(9);

/// What clients have read at positions, and when first.
#[derive(Default)]
struct Seen {
    positions: BTreeMap<usize, (String, String, Duration)>,
    broken: Vec<String>,
    /// From when on machines are in touch again.
    judged_from: Option<Duration>,
}

pub async fn run(case: &Case) -> Result<Verdict> {
    let store = StoreStandIn::start().await;
    store.write("op/config", &document(3, &["taalserver"], &[batch_route("lot", PREFIX, "taalserver")])).await;
    let (cut, cuts) = watch::channel(None);
    // Items whose ids begin with `a` run for 3 s, the others for 30 s.
    let events = |id: &str| if id.starts_with('a') { 30 } else { 300 };
    let behaviour = Behaviour { slots: 8, gap: Duration::from_millis(100), events: Arc::new(events), unframed: false };
    let mut servers = Vec::new();
    for (number, port) in free_ports::<3>().await?.into_iter().enumerate() {
        let address = SocketAddr::new(crate::site::ip(20 + number), port);
        let (store, record, cuts) = (store.clone(), case.record.clone(), cuts.clone());
        let id = format!("i-00{number}");
        servers.push(Server::start(&id, "taalserver", address, behaviour.clone(), store, record, cuts).await?);
    }
    let mut site = Site::start(store, 3, 3, &case.folder).await?;
    let verdict = watch_job(case, &mut site, &servers, &cut).await;
    site.end().await;
    verdict
}

async fn watch_job(
    case: &Case,
    site: &mut Site,
    servers: &[Server],
    cut: &watch::Sender<Option<u32>>,
) -> Result<Verdict> {
    if !all_ready(site).await {
        return Ok(Verdict::CouldNotRun);
    }
    tokio::time::sleep(CONTACT).await;
    let fronts = site.fronts();
    let items: Vec<String> =
        ["a001", "a002", "a003", "b001", "b002"].iter().map(|id| format!("{id}57c14da6f38")).collect();
    let status = submit(fronts[0], JOB, PREFIX, &items).await;
    case.record.tell(&format!("client: job {JOB} handed in at {}: {status:?}", fronts[0]));
    if status != Some(202) {
        return Ok(Verdict::CouldNotRun);
    }
    for _ in 0..60 {
        if servers.iter().map(Server::running).sum::<usize>() == items.len() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if servers.iter().map(Server::running).sum::<usize>() != items.len() {
        return Ok(Verdict::CouldNotRun);
    }
    let record = site.read(&format!("latchwheel/active/job/{JOB}")).await.unwrap_or_default();
    let worker = record["assigned"].as_str().unwrap_or_default().to_owned();
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (stop, stopped) = watch::channel(false);
    let mut clients = Vec::new();
    // The job's client reads at its own front; others look at the job later, at any front.
    clients.push(tokio::spawn(follow(case.record.clone(), fronts[0], seen.clone(), stopped.clone())));
    if case.trouble {
        let Some(machine) = site.machine(&worker).filter(|machine| machine.role == Role::Worker) else {
            return Ok(Verdict::CouldNotRun);
        };
        cut_off(case, machine, cut).await;
    } else {
        tokio::time::sleep(CUT).await;
    }
    tokio::time::sleep(CONTACT).await;
    lock(&seen).judged_from = Some(case.record.now());
    for front in &fronts {
        clients.push(tokio::spawn(inspect(case.record.clone(), *front, seen.clone(), stopped.clone())));
    }
    tokio::time::sleep(AFTER).await;
    stop.send_replace(true);
    for client in clients {
        let _ = client.await;
    }
    if std::env::var("KEEP").is_ok() {
        if let Some(machine) = site.machine(&worker) {
            println!("cut off: {}", machine.name);
        }
    }
    let seen = lock(&seen);
    case.record.tell(&format!("{} positions were read", seen.positions.len()));
    if seen.positions.is_empty() {
        return Ok(Verdict::CouldNotRun);
    }
    case.record.tell(&format!("{} reads broke the rule", seen.broken.len()));
    Ok(if seen.broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Nothing passes between a worker and the store, the nodes that it asks, and the servers.
async fn cut_off(case: &Case, machine: &Machine, cut: &watch::Sender<Option<u32>>) {
    case.record.tell(&format!("{} is cut off", machine.name));
    machine.set_links(LinkState::Cut);
    cut.send_replace(machine.pid());
    tokio::time::sleep(TURNED_AWAY).await;
    if let Some(to_store) = machine.links.first() {
        to_store.set(LinkState::Sound);
    }
    case.record.tell(&format!("the store answers {} again", machine.name));
    tokio::time::sleep(CUT - TURNED_AWAY).await;
    cut.send_replace(None);
    machine.set_links(LinkState::Sound);
    case.record.tell(&format!("{} is no longer cut off", machine.name));
}

/// A client that reads on from the last position that it has.
async fn follow(
    record: crate::record::Record,
    front: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    stopped: watch::Receiver<bool>,
) {
    let mut next = 0;
    while !*stopped.borrow() {
        let answer = read(front, JOB, next, 1000).await;
        let Some((status, page)) = answer else { continue };
        let listed = results(&page);
        record.note(&format!("client: {front} from {next}, waiting: {status}, {} results", listed.len()));
        note_seen(&record, &seen, front, next, &listed);
        next += listed.len();
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// A client that looks at earlier positions.
async fn inspect(
    record: crate::record::Record,
    front: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    stopped: watch::Receiver<bool>,
) {
    while !*stopped.borrow() {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let sent = record.now();
        let due = |at: &Duration| sent > *at + SETTLE;
        let known = lock(&seen).positions.iter().filter(|(_, (_, _, at))| due(at)).map(|(at, _)| *at).next_back();
        let Some(from) = known else { continue };
        let Some((status, page)) = read(front, JOB, from, 0).await else { continue };
        let listed = results(&page);
        record.note(&format!("client: {front} from {from}: {status}, {} results", listed.len()));
        note_seen(&record, &seen, front, from, &listed);
        let is_missing = matches!(status, 404 | 410) || status == 200 && listed.is_empty();
        if is_missing {
            let judged = lock(&seen).judged_from.is_some_and(|from| sent >= from);
            let text = format!("{front} has nothing at position {from}, which was read before (status {status})");
            if judged {
                record.tell(&format!("LOST: {text}"));
                lock(&seen).broken.push(text);
            } else {
                record.note(&format!("not judged: {text}"));
            }
        }
    }
}

fn note_seen(
    record: &crate::record::Record,
    seen: &Mutex<Seen>,
    front: SocketAddr,
    from: usize,
    listed: &[(String, String)],
) {
    let mut seen = lock(seen);
    for (number, (id, state)) in listed.iter().enumerate() {
        let position = from + number;
        let now = record.now();
        let (known, known_state, _) =
            seen.positions.entry(position).or_insert_with(|| (id.clone(), state.clone(), now)).clone();
        if (&known, &known_state) != (id, state) {
            let text = format!("{front} has {id} {state} at position {position}, where {known} {known_state} was read");
            record.tell(&format!("TWICE: {text}"));
            seen.broken.push(text);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
