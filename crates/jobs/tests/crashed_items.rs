//! Items under which servers crashed: they are owed, and start again.

use base64::prelude::{Engine, BASE64_STANDARD};
use latchwheel_core::directory::ServerRecord;
use latchwheel_core::fingerprint::RequestKey;
use latchwheel_core::identity::stable_hash;
use latchwheel_core::item_trials::{LOST_RUNS_BEFORE_TRIAL, TRIAL_PAUSE};
use latchwheel_core::quarantine::QuarantineEntry;
use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::{ItemBody, JobBody, WorkerRules};
use latchwheel_proxy::{Shared, VerdictSource};
use latchwheel_records::memory::MemoryStore;
use one_worker::{desk, start_worker, until, Worker, PATIENCE, SUBMISSION};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::fleet::{long_body, MortalServer, POISON, POISON_PART};
use support::{node, route, TestDialect, TestServer};

mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

/// More crashes than it takes to quarantine a content or a prompt part of online requests.
const CRASHES: usize = 4;
/// Longer than the time after which a crash is evaluated.
const BETWEEN_CRASHES: Duration = Duration::from_millis(600);
const SERVERS: usize = 12;
const ITEMS: usize = 24;
/// More servers than runs of crashing items in one test, so that they are never used up.
const MANY_SERVERS: usize = 60;
const SHARED_PART: &str = "shared";
const JOB: &str = "job-1";

/// A worker with a job, and the servers of the job's route.
struct Site {
    store: MemoryStore,
    shared: Arc<Shared<TestDialect>>,
    servers: Vec<MortalServer>,
    _worker: Worker<MemoryStore>,
}

impl Site {
    /// A site at which no job was handed in.
    async fn start(servers: usize) -> Self {
        let mut started = Vec::new();
        for number in 0..servers {
            started.push(MortalServer::start(format!("server-{number}")).await);
        }
        let shared = node(route(RequestKind::Batch, 3), &[] as &[&TestServer]);
        let records: Vec<ServerRecord> = started.iter().map(MortalServer::record).collect();
        shared.dispatcher().set_ready(records.iter());
        let store = MemoryStore::default();
        let worker = start_worker(Arc::new(store.clone()), &shared, WorkerRules::default()).await;
        Self { store, shared, servers: started, _worker: worker }
    }

    async fn hand_in(&self, items: Vec<ItemBody>) {
        let body = JobBody { items };
        desk(&self.store).take(JOB, &SUBMISSION, body, Instant::now() + PATIENCE).await.unwrap();
    }

    /// Crashes one server after the other while it runs an item. No item is the cause.
    async fn crash_servers_at_work(&self, crashes: usize) {
        for _ in 0..crashes {
            let at_work = || self.servers.iter().find(|server| !server.has_ended() && server.running() > 0);
            until("no item runs", async || at_work().is_some()).await;
            at_work().unwrap().end();
            tokio::time::sleep(BETWEEN_CRASHES).await;
        }
        self.assert_nothing_is_quarantined();
    }

    fn assert_nothing_is_quarantined(&self) {
        assert_eq!(self.shared.crashes.quarantined(), [], "a sound item counts as the cause of crashes");
    }

    fn crashed(&self) -> usize {
        self.servers.iter().filter(|server| server.has_ended()).count()
    }

    fn release(&self) {
        self.servers.iter().for_each(MortalServer::release);
    }

    /// Items with a complete output.
    async fn completed(&self) -> usize {
        let page = desk(&self.store).read(JOB, None, 0, 1 << 20, Duration::from_millis(100)).await;
        page.map_or(0, |page| page.results.iter().filter(|result| result.completed).count())
    }

    async fn assert_completes(&self, items: usize) {
        until("items are not completed", async || self.completed().await == items).await;
        self.assert_nothing_is_quarantined();
    }
}

fn item(id: &str, body: &str, parts: &str) -> ItemBody {
    ItemBody {
        id: id.into(),
        path: "/path/item".into(),
        headers: [("parts".to_owned(), parts.to_owned())].into_iter().collect(),
        body: BASE64_STANDARD.encode(body),
        ..ItemBody::default()
    }
}

#[tokio::test]
async fn a_sound_item_completes_after_several_servers_crashed_under_it() {
    let site = Site::start(SERVERS).await;
    site.hand_in(vec![item("item", &long_body(0), "")]).await;
    site.crash_servers_at_work(CRASHES).await;
    site.release();
    site.assert_completes(1).await;
}

#[tokio::test]
async fn sound_items_with_a_common_part_complete_after_servers_crashed_under_them() {
    let site = Site::start(SERVERS).await;
    let with_part = |number| item(&format!("item-{number}"), &long_body(number), &format!("{SHARED_PART},{number}"));
    site.hand_in((0..ITEMS).map(with_part).collect()).await;
    site.crash_servers_at_work(CRASHES).await;
    site.release();
    site.assert_completes(ITEMS).await;
}

#[tokio::test]
async fn an_item_with_a_quarantined_part_runs_and_its_success_lifts_the_quarantine() {
    let site = Site::start(1).await;
    let now = site.shared.clock.wall_time();
    let verdict = QuarantineEntry {
        request: RequestKey::of_part(stable_hash(SHARED_PART.as_bytes())),
        changed_at: now,
        until: now + Duration::from_secs(600),
        offences: 1,
        lifted: false,
        servers: Vec::new(),
    };
    site.shared.crashes.take_verdict(verdict, VerdictSource::Node);
    site.hand_in(vec![item("item", "sound", &format!("{SHARED_PART},own"))]).await;
    site.assert_completes(1).await;
}

/// Runs a job of sound items and some that crash each server; the sound ones complete, and after
/// the first runs of the others servers crash no faster than one in each pause after a trial.
async fn assert_crashing_items_run_on_trial(items: Vec<ItemBody>, sound: usize) {
    let crashing = items.len() - sound;
    let site = Site::start(MANY_SERVERS).await;
    site.hand_in(items).await;
    let before_trials = crashing * LOST_RUNS_BEFORE_TRIAL as usize;
    until("a crashing item is not owed any more", async || site.crashed() > before_trials).await;
    let (first_trial, crashed) = (Instant::now(), site.crashed());
    until("the sound items are not completed", async || site.completed().await == sound).await;
    until("no trial follows", async || site.crashed() > crashed + 1).await;
    let pauses = first_trial.elapsed().as_secs_f64() / TRIAL_PAUSE.as_secs_f64();
    assert!(site.crashed() <= crashed + 1 + pauses as usize, "{} servers in {pauses} pauses", site.crashed() - crashed);
    let page = desk(&site.store).read(JOB, None, 0, 1 << 20, Duration::from_millis(100)).await.unwrap();
    assert!(page.results.iter().all(|result| result.completed), "given up without a reason");
    site.assert_nothing_is_quarantined();
}

#[tokio::test]
async fn an_item_that_crashes_its_servers_runs_on_trial_and_others_complete() {
    let mut items: Vec<ItemBody> = (0..6).map(|number| item(&format!("item-{number}"), "harmless", "")).collect();
    items.insert(2, item("crashes-servers", POISON, ""));
    assert_crashing_items_run_on_trial(items, 6).await;
}

#[tokio::test]
async fn items_with_a_part_that_crashes_servers_run_on_trial_and_others_complete() {
    let with_part = |id: String, part: &str| item(&id, &id, &format!("first,{part},own-{id}"));
    let sound = (0..6).map(|number| with_part(format!("sound-{number}"), "second"));
    let crashing = (0..3).map(|number| with_part(format!("crashing-{number}"), POISON_PART));
    assert_crashing_items_run_on_trial(sound.chain(crashing).collect(), 6).await;
}
