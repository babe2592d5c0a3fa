//! Contracts of the stand-ins: what they do is what the platform is said to do.

use hyper::Method;
use latchwheel_emulator::engine::{Engine, EngineFaults, EngineSettings};
use latchwheel_emulator::platform::{KeyValue, KeyValueFaults, KeyValueSettings, WeightSettings, WeightStore};
use latchwheel_http::{CallFault, Client};
use latchwheel_site::{KeyValueClient, KeyValueFault, WeightClient, WriteOutcome};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

const TIME: Duration = Duration::from_secs(20);

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

async fn engine(settings: EngineSettings) -> (Engine, String, watch::Sender<bool>) {
    let (stop, stopped) = watch::channel(false);
    let (listener, address) = listener().await;
    let engine = Engine::new(settings);
    tokio::spawn(engine.clone().run(listener, stopped));
    (engine, address, stop)
}

fn fast() -> EngineSettings {
    EngineSettings { model: "m".into(), step_microseconds: 500, event_lag_milliseconds: 0, ..EngineSettings::default() }
}

/// Waits until something holds; the test's own time limit ends it otherwise.
async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn complete(address: &str, body: serde_json::Value) -> Result<serde_json::Value, CallFault> {
    Client::http1().json(Method::POST, address, "/v1/completions", &body, TIME).await
}

#[tokio::test]
async fn an_engine_answers_with_words_of_its_own_prompt() {
    let (_, address, _stop) = engine(fast()).await;
    let ask = |prompt: &str| serde_json::json!({ "model": "m", "prompt": prompt, "max_tokens": 2 });
    let first = complete(&address, ask("one")).await.unwrap();
    let second = complete(&address, ask("two")).await.unwrap();
    assert_ne!(first["choices"][0]["text"], second["choices"][0]["text"]);
}

#[tokio::test]
async fn an_engine_refuses_lower_epochs() {
    let (_, address, _stop) = engine(fast()).await;
    let order = |epoch: u64| {
        let body = serde_json::json!({ "epoch": epoch, "kind": "load", "value": "other" });
        let address = address.clone();
        async move {
            let answer: Result<serde_json::Value, CallFault> =
                Client::http1().json(Method::POST, &address, "/v1/orders", &body, TIME).await;
            answer.is_ok()
        }
    };
    assert!(order(5).await);
    assert!(!order(4).await);
    assert!(order(5).await);
}

#[tokio::test]
async fn a_paused_run_goes_on_where_it_was() {
    let settings = EngineSettings { step_microseconds: 5000, ..fast() };
    let (engine, address, _stop) = engine(settings).await;
    let body = serde_json::json!({ "model": "m", "prompt": "p", "max_tokens": 200, "on_disconnect": "pause" });
    let request = |path: &str| {
        hyper::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header("x-request-id", "run")
            .body(latchwheel_http::full(body.to_string()))
            .unwrap()
    };
    let client = Client::http1();
    // Broken off once the engine runs it; it has far more tokens to go than
    // it makes until then.
    tokio::select! {
        answer = client.send(request("/v1/completions")) => panic!("the run has ended: {answer:?}"),
        () = until(|| engine.runs_of("run") == 1) => {}
    }
    let response = client.send(request("/v1/streams/run/resume")).await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(engine.runs_of("run"), 1, "a resumed run is one run");
}

#[tokio::test]
async fn an_urgent_request_goes_before_batch_work() {
    let settings = EngineSettings { slots: 1, step_microseconds: 1000, ..fast() };
    let (engine, address, _stop) = engine(settings).await;
    let ask = |prompt: &str, priority: i32, tokens: u32| serde_json::json!({ "model": "m", "prompt": prompt, "priority": priority, "max_tokens": tokens });
    // Without end as far as this test goes, in the only slot.
    let batch = tokio::spawn({
        let address = address.clone();
        let body = ask("batch", 10, u32::MAX);
        async move { complete(&address, body).await }
    });
    until(|| engine.slot_time().batch_tokens > 0).await;
    complete(&address, ask("online", 0, 1)).await.unwrap();
    let before = engine.slot_time().batch_tokens;
    until(|| engine.slot_time().batch_tokens > before).await;
    assert!(!batch.is_finished(), "the batch run goes on after it made room");
    batch.abort();
}

#[tokio::test]
async fn a_cut_stream_has_no_end_marker() {
    let (engine, address, _stop) = engine(fast()).await;
    engine.set_faults(EngineFaults { cut_after_tokens: 2, ..EngineFaults::default() });
    let body = serde_json::json!({ "model": "m", "prompt": "p", "max_tokens": 9, "stream": true });
    let body = serde_json::to_vec(&body).unwrap().into();
    let answer = Client::http1().call(Method::POST, &address, "/v1/completions", body, TIME).await;
    assert_eq!(answer, Err(CallFault::MaybeSent));
}

async fn key_value() -> (KeyValue, KeyValueClient, watch::Sender<bool>) {
    let (stop, stopped) = watch::channel(false);
    let (listener, address) = listener().await;
    let service = KeyValue::new(&KeyValueSettings { calls_per_second: 10_000.0 });
    tokio::spawn(service.clone().run(listener, stopped));
    (service, KeyValueClient::new(address), stop)
}

#[tokio::test]
async fn a_key_is_created_once() {
    let (_, client, _stop) = key_value().await;
    let first = client.write("k", "a", 0).await.unwrap();
    assert!(matches!(first, WriteOutcome::Written(_)));
    let second = client.write("k", "b", 0).await.unwrap();
    assert!(matches!(second, WriteOutcome::VersionMismatch(stored) if stored.value == "a"));
}

#[tokio::test]
async fn a_write_with_an_older_version_is_refused() {
    let (_, client, _stop) = key_value().await;
    let WriteOutcome::Written(first) = client.write("k", "a", 0).await.unwrap() else { panic!() };
    let WriteOutcome::Written(second) = client.write("k", "b", first.version).await.unwrap() else { panic!() };
    assert!(matches!(client.write("k", "c", first.version).await.unwrap(), WriteOutcome::VersionMismatch(_)));
    assert!(matches!(client.write("k", "c", second.version).await.unwrap(), WriteOutcome::Written(_)));
}

#[tokio::test]
async fn a_lost_answer_took_effect() {
    let (service, client, _stop) = key_value().await;
    service.set_faults(KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() });
    assert_eq!(client.write("k", "a", 0).await, Err(KeyValueFault::OutcomeUnknown));
    assert_eq!(client.read("k").await.unwrap().unwrap().value, "a");
}

#[tokio::test]
async fn an_outage_has_no_effect() {
    let (service, client, _stop) = key_value().await;
    service.set_faults(KeyValueFaults { refuse: true, ..KeyValueFaults::default() });
    assert_eq!(client.write("k", "a", 0).await, Err(KeyValueFault::Unavailable));
    service.set_faults(KeyValueFaults::default());
    assert_eq!(client.read("k").await, Ok(None));
}

#[tokio::test]
async fn a_lapsed_lease_goes_to_another_with_a_higher_epoch() {
    let (_, client, _stop) = key_value().await;
    let first = client.lease("l", "a", Duration::from_millis(1)).await.unwrap().unwrap();
    let second = loop {
        if let Some(epoch) = client.lease("l", "b", Duration::from_secs(60)).await.unwrap() {
            break epoch;
        }
    };
    assert!(second > first);
    assert_eq!(client.lease("l", "a", Duration::from_secs(1)).await.unwrap(), None);
}

#[tokio::test]
async fn the_weight_store_limits_its_rate() {
    let (_stop, stopped) = watch::channel(false);
    let (listener, address) = listener().await;
    let settings = WeightSettings { loads_per_second: 0.001, sizes: [("m".to_owned(), 7)].into() };
    tokio::spawn(WeightStore::new(settings).run(listener, stopped));
    let client = WeightClient::new(address);
    assert_eq!(client.begin_load("m").await, Ok(7));
    assert!(matches!(client.begin_load("m").await, Err(CallFault::BadAnswer(429, _))));
}
