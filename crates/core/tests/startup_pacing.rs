//! Pacing of requests after a start, before trackers are available.

use latchwheel_core::startup_pacing::{PacedRequest, PacingDecision, StartupPacer};
use latchwheel_core::time::Instant;
use std::collections::VecDeque;
use std::sync::Arc;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1000)
}

fn service() -> Arc<str> {
    "service".into()
}

fn request(received: u64, send_deadline: u64) -> PacedRequest {
    PacedRequest { received: at(received), send_deadline: at(send_deadline), until: at(received + 5000) }
}

fn waits(decision: PacingDecision) -> u64 {
    match decision {
        PacingDecision::Wait(number) => number,
        PacingDecision::Send => panic!("it goes at once"),
    }
}

#[test]
fn a_node_sends_its_share_of_what_is_free() {
    let mut pacing = StartupPacer::default();
    pacing.begin(at(0));
    pacing.set_nodes(4);
    // 8 slots, less those that this node already uses.
    let decisions: Vec<PacingDecision> =
        (0..5_u8).map(|sent| pacing.submit(at(0), &service(), 8.0 - f64::from(sent.min(2)), request(0, 300))).collect();
    assert_eq!(decisions.iter().filter(|decision| **decision == PacingDecision::Send).count(), 2);
    let first = waits(decisions[2]);
    assert_eq!(pacing.next(at(10), "service", 6.0), None);
    pacing.note_end("service");
    assert_eq!(pacing.next(at(10), "service", 7.0), Some(first));
    assert_eq!(pacing.next(at(10), "service", 6.0), None);
}

#[test]
fn one_request_goes_however_full_the_servers_are() {
    let mut pacing = StartupPacer::default();
    pacing.begin(at(0));
    pacing.set_nodes(100);
    assert_eq!(pacing.submit(at(0), &service(), 0.0, request(0, 300)), PacingDecision::Send);
    waits(pacing.submit(at(0), &service(), 0.0, request(0, 300)));
}

#[test]
fn timely_requests_go_first_and_expired_ones_are_skipped() {
    let mut pacing = StartupPacer::default();
    pacing.begin(at(1000));
    assert_eq!(pacing.submit(at(1000), &service(), 0.0, request(1000, 1300)), PacingDecision::Send);
    let late = waits(pacing.submit(at(1000), &service(), 0.0, request(0, 300)));
    let gone = waits(pacing.submit(at(1000), &service(), 0.0, request(900, 1200)));
    let later = waits(pacing.submit(at(1000), &service(), 0.0, request(990, 1290)));
    let sooner = waits(pacing.submit(at(1000), &service(), 0.0, request(950, 1250)));
    pacing.forget("service", gone);
    let mut order = Vec::new();
    while let Some(number) = pacing.next(at(1010), "service", 10.0) {
        order.push(number);
    }
    assert_eq!(order, [sooner, later, late]);
}

#[test]
fn all_waiting_requests_are_sent_when_pacing_ends() {
    let mut pacing = StartupPacer::default();
    pacing.begin(at(1000));
    assert_eq!(pacing.submit(at(1000), &service(), 0.0, request(1000, 1300)), PacingDecision::Send);
    let late = waits(pacing.submit(at(1000), &service(), 0.0, request(0, 300)));
    let timely = waits(pacing.submit(at(1000), &service(), 0.0, request(1000, 1300)));
    assert!(pacing.ends(at(1001)).is_some());
    assert_eq!(pacing.finish(at(1001)), [timely, late]);
    assert_eq!(pacing.ends(at(1001)), None);
    let mut by_itself = StartupPacer::default();
    by_itself.begin(at(1000));
    assert_eq!(by_itself.ends(at(3001)), None);
}

/// Servers that serve requests in order of arrival.
struct Servers {
    free: usize,
    /// End time and sending node of each running request.
    running: Vec<(u64, usize)>,
    queue: VecDeque<(u64, usize)>,
    served_in_time: usize,
    served: usize,
}

/// A node with its waiting requests (number and arrival) and its running requests.
#[derive(Default)]
struct Node {
    pacing: StartupPacer,
    waiting: Vec<(u64, u64)>,
    running: usize,
}

const NODES: usize = 50;
const SLOTS: usize = 600;
const WORK_MS: u64 = 300;
const TARGET_MS: u64 = 300;
const HELD_FOR_MS: u64 = 1000;
const END_MS: u64 = 4000;
/// Requests of a node until [`END_MS`].
const REQUESTS: u64 = 128;
/// Delay before a free slot is used again.
const STEP_MS: u64 = 1;
/// Rounds in which all slots are filled together from the start on.
const ROUNDS: u64 = (END_MS - HELD_FOR_MS).div_ceil(WORK_MS + STEP_MS);

/// All requests, by arrival time and node.
fn arrivals() -> Vec<(u64, usize)> {
    let of_node = |node: usize| (0..REQUESTS).map(move |number| (number * END_MS / REQUESTS + node as u64 % 40, node));
    (0..NODES).flat_map(of_node).collect()
}

/// Requests that can be in time: not yet late when the servers become available, and early
/// enough for the last round.
fn can_be_in_time() -> usize {
    let last_round = HELD_FOR_MS + (ROUNDS - 1) * (WORK_MS + STEP_MS);
    let in_time = (HELD_FOR_MS - TARGET_MS)..=last_round;
    arrivals().iter().filter(|(received, _)| in_time.contains(received)).count()
}

impl Servers {
    fn step(&mut self, now: u64) -> Vec<usize> {
        let (ended, running): (Vec<_>, Vec<_>) = self.running.iter().partition(|(end, _)| *end <= now);
        self.running = running;
        self.free += ended.len();
        while self.free > 0 {
            let Some((received, node)) = self.queue.pop_front() else { break };
            self.free -= 1;
            self.served += 1;
            self.served_in_time += usize::from(now <= received + TARGET_MS);
            self.running.push((now + WORK_MS, node));
        }
        ended.into_iter().map(|(_, node)| node).collect()
    }
}

/// Each of 50 nodes has held the 32 requests of one second and receives 32 more per second, at
/// 80 % of the servers' capacity. Returns the requests served in time and all served.
fn play(paced: bool) -> (usize, usize) {
    let mut servers =
        Servers { free: SLOTS, running: Vec::new(), queue: VecDeque::new(), served_in_time: 0, served: 0 };
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::default()).collect();
    let mut arrivals = arrivals();
    for Node { pacing, .. } in &mut nodes {
        pacing.begin(at(HELD_FOR_MS));
        pacing.set_nodes(NODES);
    }
    for now in HELD_FOR_MS..END_MS {
        let (due, rest): (Vec<_>, Vec<_>) = arrivals.iter().partition(|(received, _)| *received <= now);
        arrivals = rest;
        // Each node counts all slots as free except those that it uses itself.
        for (received, node) in due {
            let Node { pacing, waiting, running } = &mut nodes[node];
            let free = (SLOTS - *running) as f64;
            let paced_request = request(received, received + TARGET_MS);
            match paced.then(|| pacing.submit(at(now), &service(), free, paced_request)) {
                Some(PacingDecision::Wait(number)) => waiting.push((number, received)),
                Some(PacingDecision::Send) | None => {
                    *running += 1;
                    servers.queue.push_back((received, node));
                }
            }
        }
        for node in servers.step(now) {
            let Node { pacing, waiting, running } = &mut nodes[node];
            *running -= 1;
            pacing.note_end("service");
            while let Some(number) = pacing.next(at(now), "service", (SLOTS - *running) as f64) {
                let place = waiting.iter().position(|(waiting, _)| *waiting == number).unwrap();
                *running += 1;
                servers.queue.push_back((waiting.swap_remove(place).1, node));
            }
        }
    }
    (servers.served_in_time, servers.served)
}

/// Paced nodes leave no slot empty and serve every request that can be in time, except for one
/// per round and node that arrives as the slots are filled.
#[test]
fn pacing_serves_every_request_that_can_be_in_time() {
    let at_the_edge = NODES * ROUNDS as usize;
    let can_be = can_be_in_time();
    let (in_time, served) = play(true);
    assert!(in_time + at_the_edge >= can_be, "{in_time} of {can_be} in time, {served} served");
    assert!(served >= SLOTS * ROUNDS as usize, "{served} served in {ROUNDS} rounds of {SLOTS} slots");
    // Without pacing the same load breaks the first bound.
    let (in_time, _) = play(false);
    assert!(in_time + at_the_edge < can_be, "{in_time} of {can_be} in time at once");
}

/// Slots can become free without the end of a request, if servers are added or nodes leave.
#[test]
fn a_waiting_request_goes_before_a_later_one() {
    let mut pacing = StartupPacer::default();
    pacing.begin(at(0));
    assert_eq!(pacing.submit(at(0), &service(), 0.0, request(0, 300)), PacingDecision::Send);
    let first = waits(pacing.submit(at(1), &service(), 0.0, request(1, 301)));
    let second = waits(pacing.submit(at(2), &service(), 3.0, request(2, 302)));
    assert_eq!(pacing.next(at(2), "service", 3.0), Some(first));
    assert_eq!(pacing.next(at(2), "service", 2.0), Some(second));
}
