//! Thousands of servers: incremental changes have the same result as a new list, and a tracker
//! that examines a sample for each request serves a peak as well as one that examines all.

use latchwheel_core::directory::ServerRecord;
use latchwheel_core::dispatch::{
    is_preferred_worker, preferred_workers, Dispatcher, Prompt, PromptPart, ServerKey, ServerShare, TrackerQuery,
    TrackerReply,
};
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

const SERVICE: &str = "service";
const TRACKER: NodeId = NodeId(1);
const FRONT: NodeId = NodeId(2);
const SLOTS: u32 = 8;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros((60_000 + milliseconds) * 1000)
}

fn record(number: usize) -> ServerRecord {
    ServerRecord {
        id: format!("server-{number}").into(),
        name: format!("server-{number}").into(),
        started_ms: 0,
        service: SERVICE.into(),
        address: format!("10.0.0.1:{number}").into(),
        zone: "zone".into(),
        version: "1".into(),
        slots: SLOTS,
        draining: false,
        sequence: 1,
    }
}

fn ready_of(dispatcher: &Dispatcher) -> Vec<String> {
    let mut ready: Vec<String> = dispatcher.ready_of(SERVICE).into_iter().map(|(id, _)| id.to_string()).collect();
    ready.sort();
    ready
}

/// One node adds and removes single servers; another replaces the whole list.
#[test]
fn incremental_changes_match_a_new_list() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut by_changes, mut by_lists) = (Dispatcher::default(), Dispatcher::default());
        let mut present: BTreeMap<usize, ServerRecord> = BTreeMap::new();
        for _ in 0..100 {
            let number = random.random_range(0..40);
            if present.remove(&number).is_some() {
                by_changes.set_draining(&record(number).id);
            } else {
                by_changes.set_one_ready(&record(number));
                present.insert(number, record(number));
            }
            by_lists.set_ready(present.values());
            assert_eq!(ready_of(&by_changes), ready_of(&by_lists), "seed {seed}");
            assert_eq!(by_changes.ready_count(SERVICE), present.len(), "seed {seed}");
            assert_eq!(by_changes.slots_of(SERVICE), f64::from(SLOTS) * present.len() as f64, "seed {seed}");
        }
    }
}

/// Outcome of the requests at a peak.
#[derive(Debug, Default)]
struct Played {
    sent: usize,
    at_once: usize,
    refused: usize,
    /// Requests sent to a server that has their shared prefix cached.
    cached: usize,
}

/// Plays alternating low load and peaks at 97% of all slots against one tracker. A request
/// takes 60 ms; each prompt has one of 2,000 shared prefixes.
fn play(servers: usize) -> Played {
    let records: Vec<ServerRecord> = (0..servers).map(record).collect();
    let mut tracker = Dispatcher::default();
    tracker.set_ready(records.iter());
    tracker.set_tracked(TRACKER, &[TRACKER]);
    let mut random = SmallRng::seed_from_u64(servers as u64);
    let mut running: HashMap<ServerKey, u32> = HashMap::new();
    let mut ends: VecDeque<(u64, ServerKey)> = VecDeque::new();
    let mut prefilled: HashMap<(ServerKey, u64), ()> = HashMap::new();
    let (mut played, mut sequence, mut due) = (Played::default(), 0, 0.0);
    let peak = 0.97 * f64::from(SLOTS) * servers as f64 / 60.0;
    for now in 0..900 {
        while ends.front().is_some_and(|(end, _)| *end <= now) {
            let (_, server) = ends.pop_front().unwrap();
            *running.get_mut(&server).unwrap() -= 1;
            sequence += 1;
            report(&mut tracker, now, sequence, server, running[&server]);
        }
        due += if (now / 150) % 2 == 0 { peak * 0.383 / 1.87 } else { peak };
        while due >= 1.0 {
            due -= 1.0;
            let shared = random.random_range(0..2000);
            let parts = vec![PromptPart { key: shared, tokens: 200 }, PromptPart { key: random.random(), tokens: 50 }];
            let prompt = Prompt { parts, output_tokens: 10 };
            played.sent += 1;
            match tracker.reserve_server(at(now), &free_slot(&prompt, random.random())) {
                TrackerReply::Send { server, wait, .. } => {
                    let running = running.entry(server).or_default();
                    *running += 1;
                    assert!(*running <= SLOTS, "a request was sent to a full server");
                    let requests = *running;
                    sequence += 1;
                    report(&mut tracker, now, sequence, server, requests);
                    played.at_once += usize::from(wait.is_zero());
                    played.cached += usize::from(prefilled.insert((server, shared), ()).is_some());
                    ends.push_back((now + 60, server));
                }
                TrackerReply::Full(_) => played.refused += 1,
                TrackerReply::TracksNone => panic!("the tracker tracks all servers"),
            }
        }
    }
    played
}

/// The front reports its requests at a server.
fn report(tracker: &mut Dispatcher, now: u64, sequence: u64, server: ServerKey, requests: u32) {
    let share = ServerShare { server, requests, ..ServerShare::default() };
    tracker.note_peer_changes(at(now), FRONT, sequence, vec![share]);
}

fn free_slot(prompt: &Prompt, spread: u64) -> TrackerQuery<'_> {
    TrackerQuery {
        software: None,
        from: FRONT,
        service: stable_hash(SERVICE.as_bytes()),
        prompt,
        avoid: &[],
        wait_limit: Duration::ZERO,
        deferrable: false,
        reserve: 0.0,
        may_preempt: false,
        spread,
    }
}

/// With 800 and 3,300 servers only a sample is examined per request. As with 200, free slots
/// are found and half of the requests find their prefix cached.
#[test]
fn a_sample_of_many_servers_is_enough_at_a_peak() {
    for servers in [200, 800, 3300] {
        let played = play(servers);
        assert_eq!(played.sent, played.at_once + played.refused);
        assert!(played.refused * 1000 <= played.sent, "{servers} servers: {played:?}");
        assert!(played.cached * 2 >= played.sent, "{servers} servers: {played:?}");
    }
}

/// `is_preferred_worker` agrees with `preferred_workers` at every node.
#[test]
fn every_node_agrees_on_the_preferred_workers() {
    let nodes: Vec<NodeId> = (0..150).map(|number| NodeId::of_name(&format!("worker-{number}"))).collect();
    for number in 0..60 {
        let server = ServerKey::of(&record(number).id);
        let preferred = preferred_workers(server, nodes.iter().copied());
        let found: Vec<NodeId> =
            nodes.iter().copied().filter(|node| is_preferred_worker(server, *node, nodes.iter().copied())).collect();
        assert_eq!(found.len(), 3);
        assert!(found.iter().all(|node| preferred.contains(node)));
    }
}
