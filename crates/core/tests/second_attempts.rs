//! Start, budget and effect of second attempts, simulated without a network.

use latchwheel_core::directory::ServerRecord;
use latchwheel_core::dispatch::{
    Choice, Dispatcher, Ending, FirstPiece, Placement, PlacementQuery, Prompt, PromptPart, RouteKey, ServerKey,
    ServerLoad,
};
use latchwheel_core::identity::stable_hash;
use latchwheel_core::second_attempt::{AttemptTime, SecondAttempts, ANSWERS_PER_SECOND_ATTEMPT, MAX_SAVED_ATTEMPTS};
use latchwheel_core::time::Instant;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

const SERVICE: &str = "service";
const ROUTE: RouteKey = RouteKey(7);
const SERVERS: usize = 16;
const SLOTS: u32 = 8;
const EXPECTED: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1000)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(number: usize) -> String {
    format!("server-{number}")
}

fn dispatcher() -> Dispatcher {
    let record = |number: usize| ServerRecord {
        id: name(number).into(),
        name: name(number).into(),
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
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_ready(records.iter());
    dispatcher
}

fn note_answers(attempts: &mut SecondAttempts, answers: u32, time: impl Fn(u32) -> Duration) {
    (0..answers).for_each(|number| attempts.note_answered(ROUTE, EXPECTED, time(number)));
}

fn start(spent: u64) -> AttemptTime {
    AttemptTime { expected: EXPECTED, spent: millis(spent), latency_target: millis(100) }
}

/// Time after which an answer is overdue; a latency target of zero leaves no further wait.
fn overdue(attempts: &SecondAttempts, expected: Duration) -> Option<Duration> {
    attempts.due_after(ROUTE, &AttemptTime { expected, spent: Duration::ZERO, latency_target: Duration::ZERO })
}

#[test]
fn an_answer_is_overdue_beyond_the_95th_percentile() {
    let mut attempts = SecondAttempts::default();
    note_answers(&mut attempts, ANSWERS_PER_SECOND_ATTEMPT - 1, |_| EXPECTED);
    assert_eq!(overdue(&attempts, EXPECTED), None, "too few answers");
    let mut random = SmallRng::seed_from_u64(1);
    let times: Vec<f64> = (0..5000).map(|_| (random.random::<f64>() * 2.0).exp()).collect();
    note_answers(&mut attempts, 5000, |number| EXPECTED.mul_f64(times[number as usize]));
    let late = overdue(&attempts, EXPECTED).expect("enough answers").as_secs_f64() / EXPECTED.as_secs_f64();
    let later = times.iter().filter(|time| **time > late).count() as f64 / times.len() as f64;
    assert!((0.01..0.1).contains(&later), "about one in twenty is overdue: {later}");
    let twice = overdue(&attempts, EXPECTED * 2).expect("enough answers");
    assert!((twice.as_secs_f64() / EXPECTED.as_secs_f64() - late * 2.0).abs() < 1e-6);
    assert_eq!(attempts.due_after(RouteKey(8), &start(0)), None, "routes are independent");
}

/// An overtaken attempt has no measured time, but it took longer than the overdue time.
#[test]
fn overtaken_attempts_raise_the_overdue_time() {
    let mut attempts = SecondAttempts::default();
    note_answers(&mut attempts, 1000, |_| EXPECTED);
    let before = overdue(&attempts, EXPECTED).expect("enough answers");
    for _ in 0..20 {
        let waited = overdue(&attempts, EXPECTED).expect("enough answers") * 2;
        attempts.note_overtaken(ROUTE, EXPECTED, waited);
    }
    let after = overdue(&attempts, EXPECTED).expect("enough answers");
    assert!(after > before.mul_f64(1.5), "{before:?} {after:?}");
}

#[test]
fn answers_earn_the_budget_for_second_attempts() {
    let mut attempts = SecondAttempts::default();
    for number in 1..=3000_u32 {
        note_answers(&mut attempts, 1, |_| EXPECTED);
        let begun = u32::from(attempts.begin(ROUTE, &start(20)));
        assert_eq!(begun == 1, number.is_multiple_of(ANSWERS_PER_SECOND_ATTEMPT), "{number}");
    }
    note_answers(&mut attempts, 100_000, |_| EXPECTED);
    let begun = (0..100).filter(|_| attempts.begin(ROUTE, &start(20))).count();
    assert_eq!(begun, MAX_SAVED_ATTEMPTS as usize, "the saved budget is bounded");
}

#[test]
fn a_second_attempt_begins_at_the_last_useful_time() {
    let mut attempts = SecondAttempts::default();
    note_answers(&mut attempts, 1000, |_| EXPECTED * 2);
    let due = |spent| attempts.due_after(ROUTE, &start(spent)).expect("enough answers").as_millis();
    assert!((75..=80).contains(&due(0)), "in time if the second server takes as long: {}", due(0));
    assert!((45..=50).contains(&due(30)), "time spent before counts: {}", due(30));
    assert!((20..=25).contains(&due(90)), "not before the answer is overdue: {}", due(90));
}

#[test]
fn a_second_attempt_that_would_be_late_is_not_begun() {
    let mut attempts = SecondAttempts::default();
    note_answers(&mut attempts, 1000, |_| EXPECTED * 2);
    assert!(!attempts.begin(ROUTE, &start(95)));
    assert!(attempts.begin(ROUTE, &start(50)));
}

#[test]
fn the_expected_time_is_that_of_the_server() {
    let mut dispatcher = dispatcher();
    let placement = |dispatcher: &Dispatcher, number: usize, wait: Duration| {
        dispatcher.place_at(at(0), ServerKey::of(&name(number)), 1000, wait, false).expect("ready")
    };
    let first_piece = |dispatcher: &Dispatcher, placement: &Placement, piece| {
        dispatcher.expected_first_piece(at(0), placement, piece)
    };
    let first = placement(&dispatcher, 0, Duration::ZERO);
    assert_eq!(first_piece(&dispatcher, &first, FirstPiece::OfStream), None, "no server has reported its slowdown");
    for (number, pace) in [(0, 100), (1, 300)] {
        let load = ServerLoad { running: 0, waiting: 0, slots: SLOTS, slowdown: Some(pace) };
        dispatcher.note_load(at(0), &name(number), load);
    }
    let second = placement(&dispatcher, 1, Duration::ZERO);
    for piece in [FirstPiece::OfStream, FirstPiece::WholeAnswer] {
        let (usual, slow) = (
            first_piece(&dispatcher, &first, piece).expect("reported"),
            first_piece(&dispatcher, &second, piece).expect("reported"),
        );
        assert!(slow > usual * 2, "{piece:?}: {usual:?} {slow:?}");
    }
    let waits = placement(&dispatcher, 0, millis(50));
    let more = first_piece(&dispatcher, &waits, FirstPiece::OfStream).expect("reported")
        - first_piece(&dispatcher, &first, FirstPiece::OfStream).expect("reported");
    assert_eq!(more, millis(50));
}

/// Overtaken attempts are withdrawn before the timeout that would mark their server.
#[test]
fn an_unresponsive_server_is_avoided_after_two_overtaken_attempts() {
    let mut dispatcher = dispatcher();
    let avoided = |dispatcher: &Dispatcher, now| {
        let reports = dispatcher.reports(now);
        reports.iter().filter(|report| report.avoided).map(|report| report.id.to_string()).collect::<Vec<_>>()
    };
    dispatcher.note_contact(at(90), &name(0));
    dispatcher.note_overtaken(at(150), &name(0), at(100));
    assert!(avoided(&dispatcher, at(150)).is_empty(), "one may be a coincidence");
    dispatcher.note_contact(at(160), &name(0));
    dispatcher.note_overtaken(at(170), &name(0), at(155));
    dispatcher.note_overtaken(at(190), &name(0), at(165));
    assert!(avoided(&dispatcher, at(190)).is_empty(), "contact in between");
    dispatcher.note_overtaken(at(200), &name(0), at(170));
    assert_eq!(avoided(&dispatcher, at(200)), [name(0)]);
}

/// An attempt in the simulation.
#[derive(Clone)]
struct Run {
    request: usize,
    sent: u64,
    /// Milliseconds of work left until the first piece, at the usual speed.
    first_left: f64,
    /// Milliseconds of work left in total, at the usual speed.
    left: f64,
    first_piece: u64,
    expected: Duration,
    placement: Placement,
    is_second: bool,
}

#[derive(Clone, Copy)]
struct Request {
    received: u64,
    first_piece: Option<u64>,
    /// Number of tries to begin a second attempt.
    checks: u32,
    has_second: bool,
}

struct SimulationResult {
    /// 99th percentile of the time to the first piece, in milliseconds.
    p99: u64,
    /// Share of the requests with their first piece in time.
    in_time: f64,
    begun: usize,
    /// Number of first attempts that delivered their first piece.
    answered: usize,
}

/// Every fourth server has 0.55 of the usual speed, the others 1.2 times, each with temporary
/// slowdowns.
fn slowdown(number: usize, now: u64, seed: u64) -> f64 {
    let lasting = if number.is_multiple_of(4) { 1.0 / 0.55 } else { 1.0 / 1.2 };
    lasting * pace(number, now, seed)
}

/// In each period of 600 ms, about one server in seven is 2.5 times slower for 500 ms.
fn pace(number: usize, now: u64, seed: u64) -> f64 {
    let chance = stable_hash(format!("{number} {} {seed}", now / 600).as_bytes()) % 100;
    if chance < 15 && now % 600 < 500 {
        2.5
    } else {
        1.0
    }
}

/// In each second, three different servers are unresponsive for 800 ms.
fn is_unresponsive(number: usize, now: u64) -> bool {
    let first = (now / 1000 * 7) as usize;
    now % 1000 < 800 && [first, first + 5, first + 10].iter().any(|server| server % SERVERS == number)
}

const LENGTH: u64 = 20_000;
const TARGET: u64 = 150;
const FIRST_WORK: f64 = 20.0;
const WORK: f64 = 120.0;
const PIECES: u32 = 30;
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Simulation of a node and its servers.
struct Simulation {
    seed: u64,
    with_second: bool,
    node: Dispatcher,
    attempts: SecondAttempts,
    random: SmallRng,
    prompt: Prompt,
    running: Vec<Vec<Run>>,
    requests: Vec<Request>,
    begun: usize,
    answered: usize,
}

impl Simulation {
    fn new(seed: u64, with_second: bool) -> Self {
        Self {
            seed,
            with_second,
            node: dispatcher(),
            attempts: SecondAttempts::default(),
            random: SmallRng::seed_from_u64(seed),
            prompt: Prompt { parts: vec![PromptPart { key: 1, tokens: 450 }], output_tokens: PIECES },
            running: vec![Vec::new(); SERVERS],
            requests: Vec::new(),
            begun: 0,
            answered: 0,
        }
    }

    /// Runs 400 requests per second for 20 s.
    fn run(mut self) -> SimulationResult {
        for now in 0..LENGTH {
            for number in (0..SERVERS).filter(|number| !is_unresponsive(*number, now)) {
                self.work(now, number);
                self.end(now, number);
            }
            if self.with_second {
                self.begin_overdue(now);
            }
            if self.random.random_bool(0.4) {
                self.send_new(now);
            }
        }
        self.outcome()
    }

    /// Runs a server for one millisecond.
    fn work(&mut self, now: u64, number: usize) {
        let speed = 1.0 / slowdown(number, now, self.seed);
        let mut firsts = Vec::new();
        for run in self.running[number].iter_mut().take(SLOTS as usize) {
            let had_none = run.first_left > 0.0;
            (run.first_left, run.left) = (run.first_left - speed, run.left - speed);
            if had_none && run.first_left <= 0.0 {
                run.first_piece = now;
                firsts.push(run.clone());
            }
        }
        firsts.into_iter().for_each(|run| self.first_piece(now, number, &run));
    }

    fn first_piece(&mut self, now: u64, number: usize, run: &Run) {
        let load = ServerLoad {
            running: self.running[number].len() as u32,
            waiting: 0,
            slots: SLOTS,
            slowdown: Some((pace(number, now, self.seed) * 100.0) as u32),
        };
        self.node.note_load(at(now), &name(number), load);
        self.node.note_first_piece(at(now), &run.placement, millis(now - run.sent));
        self.requests[run.request].first_piece = Some(now);
        if !run.is_second {
            self.answered += 1;
            self.attempts.note_answered(ROUTE, run.expected, millis(now - run.sent));
        }
        for other in (0..SERVERS).filter(|other| *other != number) {
            let position = self.running[other].iter().position(|other| other.request == run.request);
            let Some(position) = position else { continue };
            let withdrawn = self.running[other].remove(position);
            self.withdraw(now, &withdrawn);
        }
    }

    fn withdraw(&mut self, now: u64, run: &Run) {
        if !run.is_second {
            self.node.note_overtaken(at(now), &run.placement.server, at(run.sent));
            self.attempts.note_overtaken(ROUTE, run.expected, millis(now - run.sent));
        }
        self.node.note_end(at(now), &run.placement, Ending::Withdrawn, false, millis(now - run.sent));
    }

    fn end(&mut self, now: u64, number: usize) {
        let ended: Vec<Run> = self.running[number].iter().filter(|run| run.left <= 0.0).cloned().collect();
        self.running[number].retain(|run| run.left > 0.0);
        for run in ended {
            self.node.note_pieces(at(now), &run.placement, PIECES, millis(now - run.first_piece));
            self.node.note_end(at(now), &run.placement, Ending::Answered, true, millis(now - run.sent));
        }
    }

    fn choose(&mut self, now: u64, avoid: &[Arc<str>], wait_limit: Duration) -> Option<(Placement, Duration)> {
        let query = PlacementQuery {
            software: None,
            service: SERVICE,
            prompt: &self.prompt,
            avoid,
            wait_limit,
            reserve: 0.0,
            spread: self.random.random(),
            deferrable: false,
        };
        let Choice::Send(placement) = self.node.choose(at(now), &query) else { return None };
        let expected = self.node.expected_first_piece(at(now), &placement, FirstPiece::OfStream);
        Some((placement, expected.unwrap_or(Duration::ZERO)))
    }

    fn send(&mut self, now: u64, request: usize, placement: Placement, expected: Duration, is_second: bool) {
        self.node.note_sent(at(now), &placement, &self.prompt);
        let number = (0..SERVERS).find(|number| *name(*number) == *placement.server).expect("a server");
        let (first_left, left) = (FIRST_WORK, WORK);
        let run = Run { request, sent: now, first_left, left, first_piece: 0, expected, placement, is_second };
        self.running[number].push(run);
    }

    fn send_new(&mut self, now: u64) {
        let (placement, expected) = self.choose(now, &[], Duration::from_secs(5)).expect("a place");
        self.requests.push(Request { received: now, first_piece: None, checks: 0, has_second: false });
        self.send(now, self.requests.len() - 1, placement, expected, false);
    }

    fn begin_overdue(&mut self, now: u64) {
        let waiting = self.running.iter().flatten().filter(|run| run.first_left > 0.0);
        let overdue = waiting.filter(|run| {
            let request = &self.requests[run.request];
            let (expected, latency_target) = (run.expected, millis(TARGET));
            let time = AttemptTime { expected, spent: millis(run.sent - request.received), latency_target };
            let due = self.attempts.due_after(ROUTE, &time).map(|due| due + CHECK_INTERVAL * request.checks);
            !request.has_second && due.is_some_and(|due| millis(now - run.sent) >= due)
        });
        let overdue: Vec<Run> = overdue.cloned().collect();
        overdue.iter().for_each(|run| self.begin_second(now, run));
    }

    fn begin_second(&mut self, now: u64, run: &Run) {
        self.requests[run.request].checks += 1;
        if !self.attempts.has_budget() {
            return;
        }
        let avoid = [run.placement.server.clone()];
        let Some((placement, expected)) = self.choose(now, &avoid, Duration::ZERO) else { return };
        let spent = millis(now - self.requests[run.request].received);
        if self.attempts.begin(ROUTE, &AttemptTime { expected, spent, latency_target: millis(TARGET) }) {
            self.begun += 1;
            self.requests[run.request].has_second = true;
            self.send(now, run.request, placement, expected, true);
        }
    }

    fn outcome(&self) -> SimulationResult {
        let counted = self.requests.iter().filter(|request| request.received + 2000 < LENGTH);
        let time = |request: &Request| request.first_piece.map_or(LENGTH, |first| first - request.received);
        let mut times: Vec<u64> = counted.map(time).collect();
        times.sort_unstable();
        let in_time = times.iter().filter(|time| **time <= TARGET).count() as f64 / times.len() as f64;
        SimulationResult { p99: times[times.len() * 99 / 100], in_time, begun: self.begun, answered: self.answered }
    }
}

#[test]
fn second_attempts_reduce_tail_latency_within_their_budget() {
    for seed in [1, 2, 3] {
        let (without, with) = (Simulation::new(seed, false).run(), Simulation::new(seed, true).run());
        eprintln!(
            "{seed}: p99 {} ms, {} ms; in time {:.4}, {:.4}; begun {} of {}",
            without.p99, with.p99, without.in_time, with.in_time, with.begun, with.answered
        );
        assert!(with.in_time >= 0.95, "{seed}: {}", with.in_time);
        assert!(with.in_time > without.in_time, "{seed}: {} {}", with.in_time, without.in_time);
        assert!(with.p99 < without.p99, "{seed}: {} {}", with.p99, without.p99);
        assert!(
            with.begun * ANSWERS_PER_SECOND_ATTEMPT as usize <= with.answered,
            "{seed}: {} {}",
            with.begun,
            with.answered
        );
    }
}
