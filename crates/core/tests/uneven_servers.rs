//! Servers with lasting and momentary differences in speed, simulated without a network.

use latchwheel_core::directory::ServerRecord;
use latchwheel_core::dispatch::{
    Dispatcher, Prompt, PromptPart, ServerKey, ServerShare, Slowdown, SpeedUpdate, TrackerQuery, TrackerReply,
};
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::time::Instant;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;

const SERVICE: &str = "service";
const TRACKER: NodeId = NodeId(1);
const FRONT: NodeId = NodeId(2);
const SERVERS: usize = 16;
const SLOTS: u32 = 8;
/// Time between two pieces at the usual speed.
const STEP: Duration = Duration::from_millis(4);
const PIECES: u32 = 40;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1000)
}

fn tracker() -> Dispatcher {
    let record = |number: usize| ServerRecord {
        id: format!("server-{number}").into(),
        name: format!("server-{number}").into(),
        started_ms: 0,
        service: SERVICE.into(),
        address: "127.0.0.1:1".into(),
        zone: "zone".into(),
        version: "1".into(),
        slots: SLOTS,
        draining: false,
        sequence: 1,
    };
    let records: Vec<ServerRecord> = (0..SERVERS).map(record).collect();
    let mut tracker = Dispatcher::default();
    tracker.set_ready(records.iter());
    tracker.set_tracked(TRACKER, &[TRACKER]);
    tracker
}

fn key(number: usize) -> ServerKey {
    ServerKey::of(&format!("server-{number}"))
}

/// Time that work takes at a server relative to the usual: one in four servers runs at 0.55 of
/// the usual speed, the others at 1.2 of it.
fn lasting(number: usize) -> f64 {
    if number.is_multiple_of(4) {
        1.0 / 0.55
    } else {
        1.0 / 1.2
    }
}

/// Momentary slowdown: every 600 ms about one server in seven is slow for half a second.
fn momentary(number: usize, millis: u64, seed: u64) -> f64 {
    let (round, within) = (millis / 600, millis % 600);
    let chance = stable_hash(format!("{number} {round} {seed}").as_bytes()) % 100;
    if chance < 15 && within < 500 {
        2.5
    } else {
        1.0
    }
}

/// Result of a simulation.
struct Played {
    /// Mean time from the query to the last piece, in seconds.
    mean: f64,
    /// 99th percentile of the same time.
    p99: f64,
    /// Requests by server.
    sent: Vec<u32>,
}

/// Sends requests at a rate (per second) for 20 s. The tracker receives an update at each end
/// of a request, with the observed speed if `reports_speed`.
fn play(rate: f64, seed: u64, reports_speed: bool) -> Played {
    let mut tracker = tracker();
    let mut random = SmallRng::seed_from_u64(seed);
    let prompt = Prompt { parts: vec![PromptPart { key: 1, tokens: 450 }], output_tokens: PIECES };
    let mut running: HashMap<usize, Vec<(u64, u64, f64)>> = HashMap::new();
    let (mut sequence, mut times) = (0, Vec::new());
    let mut sent = vec![0; SERVERS];
    tracker.note_peer(at(0), FRONT, 1, Default::default());
    for millis in 0..20_000_u64 {
        for number in 0..SERVERS {
            let runs = running.entry(number).or_default();
            let speed = 1.0 / (lasting(number) * momentary(number, millis, seed));
            runs.iter_mut().take(SLOTS as usize).for_each(|run| run.2 -= speed);
            let before = runs.len();
            let ended: Vec<(u64, u64, f64)> = runs.iter().copied().filter(|run| run.2 <= 0.0).collect();
            runs.retain(|run| run.2 > 0.0);
            if runs.len() == before && !millis.is_multiple_of(150) {
                continue;
            }
            sequence += 1;
            let mut share = ServerShare { server: key(number), requests: runs.len() as u32, ..ServerShare::default() };
            if reports_speed && !ended.is_empty() {
                let percent = (momentary(number, millis, seed) * 100.0) as u32;
                let step = STEP.mul_f64(lasting(number) * momentary(number, millis, seed));
                let age = Duration::from_millis(2);
                share.speed = SpeedUpdate { slowdown: Some(Slowdown { percent, age }), step: Some(step) };
            }
            tracker.note_peer_changes(at(millis), FRONT, sequence + 1, vec![share]);
            times.extend(ended.iter().map(|run| (millis - run.0) as f64 / 1000.0));
        }
        if !random.random_bool(rate / 1000.0) {
            continue;
        }
        let query = TrackerQuery {
            software: None,
            from: FRONT,
            service: stable_hash(SERVICE.as_bytes()),
            prompt: &prompt,
            avoid: &[],
            wait_limit: Duration::from_secs(5),
            deferrable: false,
            reserve: 0.0,
            may_preempt: false,
            spread: random.random(),
        };
        let TrackerReply::Send { server, .. } = tracker.reserve_server(at(millis), &query) else {
            panic!("no server reserved")
        };
        let number = (0..SERVERS).find(|number| key(*number) == server).expect("a server");
        let work = STEP.as_secs_f64() * 1000.0 * f64::from(PIECES);
        running.entry(number).or_default().push((millis, millis, work));
        sent[number] += 1;
    }
    times.sort_by(f64::total_cmp);
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    Played { mean, p99: times[times.len() * 99 / 100], sent }
}

#[test]
fn slow_servers_get_less_work_but_some() {
    for seed in [1, 2, 3] {
        let (unreported, reported) = (play(500.0, seed, false), play(500.0, seed, true));
        eprintln!("{seed}: {:.3} {:.3}, {:.3} {:.3}", unreported.mean, unreported.p99, reported.mean, reported.p99);
        assert!(reported.mean < unreported.mean * 0.95, "{seed}: {} {}", reported.mean, unreported.mean);
        assert!(reported.p99 < unreported.p99 * 0.95, "{seed}: {} {}", reported.p99, unreported.p99);
        let slow: u32 = reported.sent.iter().step_by(4).sum();
        let fast: u32 = reported.sent.iter().sum::<u32>() - slow;
        assert!(slow > 0, "{seed}: slow servers get work too: {:?}", reported.sent);
        assert!(slow * 3 < fast, "{seed}: but less than their number: {:?}", reported.sent);
    }
}

#[test]
fn the_weight_of_a_reported_slowdown_falls_with_its_age() {
    let mut tracker = tracker();
    let report = |tracker: &mut Dispatcher, number: u64, millis: u64, percent: u32| {
        let speed = SpeedUpdate { slowdown: Some(Slowdown { percent, age: Duration::ZERO }), step: None };
        let share = ServerShare { server: key(0), speed, ..ServerShare::default() };
        tracker.note_peer_changes(at(millis), FRONT, number, vec![share]);
    };
    tracker.note_peer(at(0), FRONT, 1, Default::default());
    // Slow for half a second in every three seconds, reported every 20 ms.
    for number in 0..1500_u64 {
        let percent = if (number * 20) % 3000 < 500 { 250 } else { 100 };
        report(&mut tracker, number + 2, number * 20, percent);
    }
    report(&mut tracker, 2000, 30_000, 250);
    let factor = |millis| {
        let reports = tracker.reports(at(millis));
        reports
            .iter()
            .find(|report| &*report.id == "server-0")
            .and_then(|report| report.time_factor)
            .expect("a time factor")
    };
    let (fresh, later, old) = (factor(30_010), factor(30_300), factor(33_000));
    assert!(fresh > 2.0, "{fresh}");
    assert!(later < fresh, "{later} {fresh}");
    assert!(old < 1.5, "only the mean is left: {old}");
}

#[test]
fn step_times_are_ignored_without_reported_slowdowns() {
    let mut tracker = tracker();
    tracker.note_peer(at(0), FRONT, 1, Default::default());
    let speed = SpeedUpdate { slowdown: None, step: Some(STEP * 5) };
    let share = ServerShare { server: key(0), speed, ..ServerShare::default() };
    tracker.note_peer_changes(at(1), FRONT, 2, vec![share]);
    assert!(tracker.reports(at(2)).iter().all(|report| report.time_factor.is_none()));
}
