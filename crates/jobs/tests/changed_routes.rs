//! Jobs whose route the operator removes or changes after they were accepted: every item
//! ends, and none before its client was promised.

use latchwheel_core::directory::ServerRecord;
use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::job_route::RESTORE_TIME;
use latchwheel_core::routes::{ClientLimits, RequestKind, Route, RoutingTable};
use latchwheel_core::tenants::Tenants;
use latchwheel_jobs::{ItemBody, JobBody, ListedResult, WorkerRules};
use latchwheel_proxy::{Clock, Shared};
use latchwheel_records::memory::MemoryStore;
use one_worker::{
    change_record, desk, events_of, hand_in, hand_in_on, item, start_worker, until, Worker, PATIENCE, SUBMISSION,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{node, route, Act, TestDialect, TestServer, SERVICE};
use tokio::sync::{Mutex, MutexGuard, Notify};

mod one_worker;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const JOB: &str = "job-1";
const ITEMS: usize = 3;
/// Tests that count log events of the process run one after the other.
static EVENTS: Mutex<()> = Mutex::const_new(());

fn batch_route() -> Route {
    route(RequestKind::Batch, 3)
}

fn put_in_force(shared: &Shared<TestDialect>, version: u64, routes: impl IntoIterator<Item = Route>) {
    let table = RoutingTable::new(version, ClientLimits::default(), HashMap::new(), Tenants::default(), routes);
    assert!(shared.put_in_force(table).is_some());
}

/// A node that knows a server, and only this table.
fn node_without_route(server: &TestServer, version: u64) -> Arc<Shared<TestDialect>> {
    let shared = Shared::new(TestDialect::default(), Clock::start());
    put_in_force(&shared, version, []);
    shared.dispatcher().set_ready([server.record()].iter());
    shared
}

/// The store confirms that the table holds for longer than an operator has to restore a route.
fn confirm_table(shared: &Shared<TestDialect>) {
    shared.note_table_confirmed(shared.clock.now() + RESTORE_TIME * 2);
}

async fn start(store: &MemoryStore, shared: &Arc<Shared<TestDialect>>) -> Worker<MemoryStore> {
    start_worker(Arc::new(store.clone()), shared, WorkerRules::default()).await
}

async fn results(store: &MemoryStore) -> Vec<Arc<ListedResult>> {
    let page = desk(store).read(JOB, None, 0, 1 << 20, Duration::from_millis(100)).await;
    page.map(|page| page.results).unwrap_or_default()
}

async fn until_all_listed(store: &MemoryStore) -> Vec<Arc<ListedResult>> {
    until("items are neither completed nor given up", async || results(store).await.len() == ITEMS).await;
    results(store).await
}

/// Runs a job that one route accepted while the table has another one; gives back the results.
async fn run_on_another_route(accepted: &Route, present: Route) -> Vec<Arc<ListedResult>> {
    let server = TestServer::start("server", vec![Act::StreamTo(1); ITEMS]).await;
    let store = MemoryStore::default();
    hand_in_on(&store, JOB, ITEMS, Some(accepted)).await;
    let shared = node(present, &[&server]);
    let _worker = start(&store, &shared).await;
    confirm_table(&shared);
    until_all_listed(&store).await
}

/// Tokens that a node reports as unfinished on a route.
fn queued(shared: &Shared<TestDialect>, route: &Route) -> u64 {
    let queues = shared.dispatcher().shares(shared.clock.now()).queues;
    queues.iter().filter(|queue| queue.route == RouteKey::of(&route.name)).map(|queue| queue.tokens).sum()
}

/// Waits until a worker has found the route missing, and keeps other tests from being counted.
async fn until_missing<'a>(guard: MutexGuard<'a, ()>, before: usize) -> MutexGuard<'a, ()> {
    until("no worker finds the route missing", async || events_of("JobRouteMissing") > before).await;
    guard
}

fn is_given_up(result: &ListedResult) -> bool {
    !result.completed && result.text.is_empty()
}

#[tokio::test]
async fn items_that_wait_are_given_up_and_the_one_that_runs_completes() {
    let _events = EVENTS.lock().await;
    let go_on = Arc::new(Notify::new());
    let server = TestServer::start("server", vec![Act::Await(go_on.clone(), Box::new(Act::StreamTo(2)))]).await;
    let store = MemoryStore::default();
    let shared = node(batch_route(), &[] as &[&TestServer]);
    shared.dispatcher().set_ready([ServerRecord { slots: 1, ..server.record() }].iter());
    let _worker = start(&store, &shared).await;
    hand_in(&store, JOB, ITEMS).await;
    until("no item runs", async || !server.seen().is_empty()).await;

    put_in_force(&shared, 2, []);
    confirm_table(&shared);
    go_on.notify_one();
    let results = until_all_listed(&store).await;
    assert_eq!(results.iter().filter(|result| result.completed).count(), 1);
    assert_eq!(results.iter().filter(|result| is_given_up(result)).count(), ITEMS - 1);
    assert_eq!(server.seen().len(), 1, "an item ran after its route was removed");
}

#[tokio::test]
async fn a_route_that_is_removed_before_a_worker_takes_the_job() {
    let _events = EVENTS.lock().await;
    let server = TestServer::start("server", Vec::new()).await;
    let store = MemoryStore::default();
    hand_in(&store, JOB, ITEMS).await;
    // This worker's table never had the route.
    let shared = node_without_route(&server, 2);
    let _worker = start(&store, &shared).await;
    confirm_table(&shared);
    assert!(until_all_listed(&store).await.iter().all(|result| is_given_up(result)));
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn a_job_that_is_taken_over_after_its_route_was_removed() {
    let events = EVENTS.lock().await;
    let server = TestServer::start("server", vec![Act::Silence; ITEMS]).await;
    let store = MemoryStore::default();
    let shared = node(batch_route(), &[&server]);
    let first = start(&store, &shared).await;
    hand_in(&store, JOB, ITEMS).await;
    until("no item runs", async || !server.seen().is_empty()).await;
    put_in_force(&shared, 2, []);
    first.handle.leave(Duration::ZERO).await;

    let shared = node_without_route(&server, 2);
    let before = events_of("JobRouteMissing");
    let _second = start(&store, &shared).await;
    let _events = until_missing(events, before).await;
    confirm_table(&shared);
    assert!(until_all_listed(&store).await.iter().all(|result| is_given_up(result)));
}

/// An operator who restores the route in time loses no accepted work.
#[tokio::test]
async fn a_route_that_is_restored_in_time() {
    let events = EVENTS.lock().await;
    let server = TestServer::start("server", vec![Act::StreamTo(1); ITEMS]).await;
    let store = MemoryStore::default();
    let shared = node_without_route(&server, 2);
    let before = events_of("JobRouteMissing");
    hand_in(&store, JOB, ITEMS).await;
    let _worker = start(&store, &shared).await;
    let _events = until_missing(events, before).await;
    shared.note_table_confirmed(shared.clock.now() + RESTORE_TIME / 2);
    put_in_force(&shared, 3, [batch_route()]);
    assert!(until_all_listed(&store).await.iter().all(|result| result.completed));
}

/// The run breaks before the worker has looked at the table that restores the route.
#[tokio::test]
async fn a_run_that_breaks_right_after_its_route_was_restored() {
    let events = EVENTS.lock().await;
    let break_off = Arc::new(Notify::new());
    let mut acts = vec![Act::Await(break_off.clone(), Box::new(Act::Close))];
    acts.extend(vec![Act::StreamTo(1); ITEMS]);
    let server = TestServer::start("server", acts).await;
    let store = MemoryStore::default();
    let shared = node(batch_route(), &[] as &[&TestServer]);
    shared.dispatcher().set_ready([ServerRecord { slots: 1, ..server.record() }].iter());
    let _worker = start(&store, &shared).await;
    hand_in(&store, JOB, ITEMS).await;
    until("no item runs", async || !server.seen().is_empty()).await;
    let before = events_of("JobRouteMissing");
    put_in_force(&shared, 2, []);
    let _events = until_missing(events, before).await;

    put_in_force(&shared, 3, [batch_route()]);
    confirm_table(&shared);
    break_off.notify_one();
    assert!(until_all_listed(&store).await.iter().all(|result| result.completed));
}

/// The table of a node that starts without the store may lack a route that was added since.
#[tokio::test]
async fn a_route_that_is_missing_from_a_table_that_the_store_has_not_confirmed() {
    let events = EVENTS.lock().await;
    let server = TestServer::start("server", vec![Act::StreamTo(1); ITEMS]).await;
    let store = MemoryStore::default();
    let shared = node_without_route(&server, 2);
    let before = (events_of("JobRouteMissing"), events_of("ItemEnded"));
    hand_in(&store, JOB, ITEMS).await;
    let _worker = start(&store, &shared).await;
    let _events = until_missing(events, before.0).await;
    // The route is put back on a table that holds for long, so that nothing but the absence
    // of a confirmation has kept the items.
    put_in_force(&shared, 3, [batch_route()]);
    confirm_table(&shared);
    assert!(until_all_listed(&store).await.iter().all(|result| result.completed));
    assert_eq!(events_of("ItemEnded") - before.1, ITEMS);
}

/// Its record has nothing but what the earlier release wrote.
#[tokio::test]
async fn a_job_that_an_earlier_release_accepted() {
    let _events = EVENTS.lock().await;
    let server = TestServer::start("server", Vec::new()).await;
    let store = MemoryStore::default();
    hand_in(&store, JOB, ITEMS).await;
    change_record(&store, JOB, "terms", serde_json::Value::Null).await;
    let shared = node_without_route(&server, 2);
    let _worker = start(&store, &shared).await;
    confirm_table(&shared);
    assert!(until_all_listed(&store).await.iter().all(|result| is_given_up(result)));
}

/// A removal counts as one of the route, not of its servers.
#[tokio::test]
async fn a_route_that_moves_to_a_service_without_servers_keeps_its_items() {
    let _events = EVENTS.lock().await;
    let server = TestServer::start("server", vec![Act::StreamTo(1); ITEMS]).await;
    let store = MemoryStore::default();
    let mut moved = batch_route();
    moved.targets[0].service = "another".into();
    let shared = node(moved, &[&server]);
    let before = events_of("JobTaken");
    hand_in(&store, JOB, ITEMS).await;
    let _worker = start(&store, &shared).await;
    confirm_table(&shared);
    until("no worker takes the job", async || events_of("JobTaken") > before).await;
    let mut back = batch_route();
    back.targets[0].service = SERVICE.into();
    put_in_force(&shared, 2, [back]);
    assert!(until_all_listed(&store).await.iter().all(|result| result.completed));
}

/// The servers of an online route that covers the path of a removed batch route get no items.
#[tokio::test]
async fn a_removed_route_whose_path_another_route_covers() {
    let _events = EVENTS.lock().await;
    let online = TestServer::start("online", vec![Act::StreamTo(1); ITEMS]).await;
    let store = MemoryStore::default();
    hand_in(&store, JOB, ITEMS).await;
    let cover = Route { name: "cover".into(), prefix: "/".into(), ..route(RequestKind::Idempotent, 3) };
    let shared = node(cover, &[&online]);
    let _worker = start(&store, &shared).await;
    confirm_table(&shared);
    assert!(until_all_listed(&store).await.iter().all(|result| is_given_up(result)));
    assert!(online.seen().is_empty(), "an item ran at a service that never was its own");
}

#[tokio::test]
async fn a_shorter_retention_does_not_end_items_that_were_promised_a_longer_one() {
    let _events = EVENTS.lock().await;
    let shortened = Route { retention: Duration::ZERO, ..batch_route() };
    let results = run_on_another_route(&batch_route(), shortened).await;
    assert!(results.iter().all(|result| result.completed), "{results:?}");
}

#[tokio::test]
async fn a_longer_retention_holds_for_jobs_that_were_accepted_before() {
    let _events = EVENTS.lock().await;
    let accepted = Route { retention: Duration::ZERO, ..batch_route() };
    let results = run_on_another_route(&accepted, batch_route()).await;
    assert!(results.iter().all(|result| result.completed), "{results:?}");
}

/// A route of another kind states no retention of its own for jobs.
#[tokio::test]
async fn a_route_that_takes_no_further_jobs_runs_those_that_it_accepted() {
    let _events = EVENTS.lock().await;
    let online = Route { retention: Duration::ZERO, ..route(RequestKind::Idempotent, 3) };
    let results = run_on_another_route(&batch_route(), online).await;
    assert!(results.iter().all(|result| result.completed), "{results:?}");
}

/// The promised retention ends, and with it the wait for servers.
#[tokio::test]
async fn items_of_a_route_of_another_kind_end_with_the_promised_retention() {
    let _events = EVENTS.lock().await;
    let store = MemoryStore::default();
    let accepted = Route { retention: Duration::from_secs(1), ..batch_route() };
    hand_in_on(&store, JOB, ITEMS, Some(&accepted)).await;
    let online = Route { retention: Duration::from_secs(600), ..route(RequestKind::Idempotent, 3) };
    let _worker = start(&store, &node(online, &[] as &[&TestServer])).await;
    assert!(until_all_listed(&store).await.iter().all(|result| is_given_up(result)));
}

/// What a former route counts would refuse jobs once it is back under its name.
#[tokio::test]
async fn a_job_counts_on_the_route_that_it_has_now_and_on_no_other() {
    let _events = EVENTS.lock().await;
    let store = MemoryStore::default();
    let limited = Route { queued_token_limit: 1000, ..batch_route() };
    let renamed = Route { name: "renamed".into(), ..limited.clone() };
    let unlimited = Route { queued_token_limit: 0, ..limited.clone() };
    let body = JobBody { items: vec![ItemBody { tokens: 100, ..item() }] };
    desk(&store).take(JOB, &SUBMISSION, body, Instant::now() + PATIENCE).await.unwrap();
    let shared = node(limited.clone(), &[] as &[&TestServer]);
    let _worker = start(&store, &shared).await;
    let counts = async |on_limited, on_renamed| {
        let counted = || (queued(&shared, &limited), queued(&shared, &renamed));
        until("the counts differ", async || counted() == (on_limited, on_renamed)).await;
    };
    counts(100, 0).await;
    put_in_force(&shared, 2, [renamed.clone()]);
    counts(0, 100).await;
    put_in_force(&shared, 3, []);
    counts(0, 0).await;
    put_in_force(&shared, 4, [limited.clone()]);
    counts(100, 0).await;
    put_in_force(&shared, 5, [unlimited]);
    counts(0, 0).await;
}
