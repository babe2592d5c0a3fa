//! Trackers: the servers that they reserve, and their advantage at a load peak.

use latchwheel_core::directory::ServerRecord;
use latchwheel_core::dispatch::{
    select_trackers, Choice, Coverage, Dispatcher, Ending, NodeShares, Placement, PlacementQuery, Prompt, ServerKey,
    ServerShare, SharesSum, TrackerQuery, TrackerReply, REPORT_REPEAT_INTERVAL,
};
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::permits::Coordinator;
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

const SERVICE: &str = "service";
const TRACKER: NodeId = NodeId(1);
const FRONT: NodeId = NodeId(2);
const WORKER: NodeId = NodeId(3);
/// Longest time between two looks of a node whether its report is due.
const REPORT_PACE_MS: u64 = 150;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros((60_000 + milliseconds) * 1000)
}

fn record(number: usize, slots: u32) -> ServerRecord {
    let id = format!("server-{number}");
    ServerRecord {
        id: id.as_str().into(),
        name: id.as_str().into(),
        started_ms: 0,
        service: SERVICE.into(),
        address: "127.0.0.1:1".into(),
        zone: "zone".into(),
        version: "1".into(),
        slots,
        draining: false,
        sequence: 1,
    }
}

fn tracker(servers: usize, slots: u32) -> Dispatcher {
    let records: Vec<ServerRecord> = (0..servers).map(|number| record(number, slots)).collect();
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_ready(records.iter());
    dispatcher.set_tracked(TRACKER, &[TRACKER]);
    dispatcher
}

fn query(prompt: &Prompt) -> TrackerQuery<'_> {
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
        spread: 7,
    }
}

fn server_of(reply: &TrackerReply) -> ServerKey {
    match reply {
        TrackerReply::Send { server, .. } => *server,
        other => panic!("{other:?}"),
    }
}

fn share(server: ServerKey, requests: u32, deferrable: u32) -> ServerShare {
    ServerShare { server, requests, deferrable, ..ServerShare::default() }
}

#[test]
fn reservations_and_ended_requests_count_at_once() {
    let mut tracker = tracker(2, 2);
    let prompt = Prompt::default();
    let mut reserved: Vec<ServerKey> =
        (0..4).map(|_| server_of(&tracker.reserve_server(at(0), &query(&prompt)))).collect();
    reserved.sort_unstable();
    assert!(reserved[0] == reserved[1] && reserved[2] == reserved[3] && reserved[1] != reserved[2], "{reserved:?}");
    assert!(
        matches!(tracker.reserve_server(at(1), &query(&prompt)), TrackerReply::Full(wait) if wait > Duration::ZERO)
    );
    tracker.note_peer_changes(at(2), FRONT, 5, vec![share(reserved[0], 1, 0)]);
    assert_eq!(server_of(&tracker.reserve_server(at(2), &query(&prompt))), reserved[0]);
}

/// The tracked servers include a removed one until they are computed again.
#[test]
fn a_removed_server_does_not_block_the_others() {
    for removed in 0..3 {
        let mut tracker = tracker(3, 2);
        tracker.set_draining(&record(removed, 2).id);
        let reply = tracker.reserve_server(at(0), &query(&Prompt::default()));
        assert!(matches!(reply, TrackerReply::Send { .. }), "{removed}: {reply:?}");
    }
}

#[test]
fn a_report_replaces_the_reservations_of_its_node() {
    let mut tracker = tracker(1, 1);
    let prompt = Prompt::default();
    let server = server_of(&tracker.reserve_server(at(0), &query(&prompt)));
    // The request was not sent.
    tracker.note_peer(at(5), FRONT, 1, NodeShares::default());
    assert_eq!(server_of(&tracker.reserve_server(at(6), &query(&prompt))), server);
    // The reservations of a node that no longer reports expire.
    assert!(matches!(tracker.reserve_server(at(7), &query(&prompt)), TrackerReply::Full(_)));
    tracker.note_peer(at(3000), WORKER, 1, NodeShares::default());
    assert_eq!(server_of(&tracker.reserve_server(at(3000), &query(&prompt))), server);
}

/// The place at the only server, as a tracker reserved it.
fn reserved_place(tracker: &Dispatcher, now: Instant) -> Placement {
    tracker.place_at(now, ServerKey::of("server-0"), 0, Duration::ZERO, false).unwrap()
}

/// The place at the only server by the node's own estimates.
fn estimated_place(tracker: &Dispatcher, now: Instant) -> Placement {
    let prompt = Prompt::default();
    let ask = PlacementQuery {
        service: SERVICE,
        software: None,
        prompt: &prompt,
        avoid: &[],
        wait_limit: Duration::from_secs(60),
        reserve: 0.0,
        spread: 0,
        deferrable: false,
    };
    let Choice::Send(placement) = tracker.choose(now, &ask) else { panic!("there is a server") };
    placement
}

/// No other node reports, so that nothing but the sending ends a reservation.
#[test]
fn requests_of_the_tracker_itself_count_once() {
    let mut tracker = tracker(1, 2);
    let prompt = Prompt::default();
    let placement = reserved_place(&tracker, at(0));
    let own = TrackerQuery { from: TRACKER, ..query(&prompt) };
    for time in 0..100 {
        for _ in 0..2 {
            let reply = tracker.reserve_server(at(time), &own);
            assert!(matches!(reply, TrackerReply::Send { .. }), "{time}: {reply:?}");
            tracker.note_sent(at(time), &placement, &prompt);
        }
        let third = tracker.reserve_server(at(time), &own);
        assert!(matches!(third, TrackerReply::Full(_)), "{time}: {third:?}");
        for _ in 0..2 {
            tracker.note_end(at(time), &placement, Ending::Answered, true, Duration::from_millis(1));
        }
    }
}

#[test]
fn reservations_of_the_tracker_itself_count_until_it_sends() {
    let mut tracker = tracker(1, 2);
    let prompt = Prompt::default();
    let own = TrackerQuery { from: TRACKER, ..query(&prompt) };
    for _ in 0..2 {
        assert!(matches!(tracker.reserve_server(at(0), &own), TrackerReply::Send { .. }));
    }
    assert!(matches!(tracker.reserve_server(at(1), &query(&prompt)), TrackerReply::Full(_)));
}

#[test]
fn a_request_placed_by_estimates_does_not_use_up_the_reservation_of_another_one() {
    let mut tracker = tracker(1, 2);
    let prompt = Prompt::default();
    let own = TrackerQuery { from: TRACKER, ..query(&prompt) };
    assert!(matches!(tracker.reserve_server(at(0), &own), TrackerReply::Send { .. }));
    let estimated = estimated_place(&tracker, at(0));
    tracker.note_sent(at(0), &estimated, &prompt);
    let third = tracker.reserve_server(at(1), &own);
    assert!(matches!(third, TrackerReply::Full(_)), "{third:?}");
}

/// A place that was given and never used, by the tracker itself or by a node that is gone, while
/// the tracker goes on with requests of its own and nobody else reports.
#[test]
fn unused_reservations_expire_without_any_report() {
    for from in [TRACKER, FRONT] {
        let mut tracker = tracker(1, 2);
        let prompt = Prompt::default();
        let placement = reserved_place(&tracker, at(0));
        let own = TrackerQuery { from: TRACKER, ..query(&prompt) };
        let unused = tracker.reserve_server(at(0), &TrackerQuery { from, ..query(&prompt) });
        assert!(matches!(unused, TrackerReply::Send { .. }));
        for time in (0..5000).step_by(10) {
            let reply = tracker.reserve_server(at(time), &own);
            assert!(matches!(reply, TrackerReply::Send { .. }), "{from:?}, {time}: {reply:?}");
            tracker.note_sent(at(time), &placement, &prompt);
            tracker.note_end(at(time), &placement, Ending::Answered, true, Duration::from_millis(1));
        }
        for _ in 0..2 {
            let reply = tracker.reserve_server(at(5000), &own);
            assert!(matches!(reply, TrackerReply::Send { .. }), "{from:?}: {reply:?}");
        }
    }
}

#[test]
fn deferrable_runs_are_preempted_only_where_allowed() {
    let mut tracker = tracker(1, 2);
    let prompt = Prompt::default();
    let server = ServerKey::of("server-0");
    let report = NodeShares { servers: vec![share(server, 2, 2)], ..NodeShares::default() };
    tracker.note_peer(at(0), WORKER, 1, report);
    assert!(matches!(tracker.reserve_server(at(1), &query(&prompt)), TrackerReply::Full(_)));
    let preempting = TrackerQuery { may_preempt: true, ..query(&prompt) };
    let reply = tracker.reserve_server(at(1), &preempting);
    assert!(matches!(reply, TrackerReply::Send { preempts: Some(WORKER), wait: Duration::ZERO, .. }), "{reply:?}");
    // Each request preempts one run, and no more than there are.
    let second = tracker.reserve_server(at(1), &preempting);
    assert!(matches!(second, TrackerReply::Send { preempts: Some(WORKER), .. }), "{second:?}");
    assert!(matches!(tracker.reserve_server(at(1), &preempting), TrackerReply::Full(_)));
}

#[test]
fn deferrable_work_leaves_a_share_of_all_slots_free() {
    let mut tracker = tracker(5, 2);
    let prompt = Prompt::default();
    let deferrable = TrackerQuery { deferrable: true, reserve: 0.2, ..query(&prompt) };
    let placed =
        (0..10).filter(|_| matches!(tracker.reserve_server(at(0), &deferrable), TrackerReply::Send { .. })).count();
    assert_eq!(placed, 8);
}

#[test]
fn trackers_have_the_best_coverage_and_fallbacks_are_used_last() {
    let coordinator = |node, fallback| Coordinator { node: NodeId(node), fallback };
    let all = |first, second, fallback| {
        select_trackers(&[
            (coordinator(1, false), first),
            (coordinator(2, false), second),
            (coordinator(3, true), fallback),
        ])
    };
    assert_eq!(all(Coverage::Enough, Coverage::Enough, Coverage::Enough), [NodeId(1), NodeId(2)]);
    assert_eq!(all(Coverage::Enough, Coverage::Few, Coverage::Enough), [NodeId(1)]);
    assert_eq!(all(Coverage::Most, Coverage::Most, Coverage::Enough), [NodeId(3)]);
    assert_eq!(all(Coverage::Most, Coverage::Few, Coverage::Few), [NodeId(1)]);
    assert!(all(Coverage::Few, Coverage::Few, Coverage::Few).is_empty());
}

#[test]
fn a_reserved_server_that_is_avoided_or_unknown_is_not_used() {
    let mut front = tracker(1, 2);
    let key = ServerKey::of("server-0");
    let placement = front.place_at(at(0), key, 10, Duration::ZERO, false).unwrap();
    assert_eq!((&*placement.server, placement.uncached, placement.preempts), ("server-0", 10, false));
    front.note_sent(at(0), &placement, &Prompt::default());
    front.note_end(at(1), &placement, Ending::Broken, false, Duration::from_millis(1));
    assert_eq!(front.place_at(at(2), key, 0, Duration::ZERO, false), None, "the server has just failed");
    assert_eq!(front.place_at(at(2), ServerKey(99), 0, Duration::ZERO, false), None);
    front.set_ready([].iter());
    assert_eq!(front.place_at(at(9000), key, 0, Duration::ZERO, false), None, "the server is not ready");
}

/// Load peak of 2.4 s with as many requests as the servers can just handle.
struct Peak {
    random: SmallRng,
    servers: Vec<VecDeque<Instant>>,
    fronts: Vec<Dispatcher>,
    tracker: Dispatcher,
    sequence: u64,
    ends: Vec<(Instant, usize, Placement)>,
    in_time: usize,
    all: usize,
}

const FRONTS: usize = 30;
const SERVERS: usize = 89;
const SLOTS: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(700);
const PER_SECOND: f64 = 750.0;
const TARGET: Duration = Duration::from_millis(300);
/// Interval and delay in milliseconds of reports between nodes when no tracker is used.
const REPORT_INTERVAL_MS: u64 = 150;

impl Peak {
    fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            servers: vec![VecDeque::new(); SERVERS],
            fronts: (0..FRONTS).map(|_| tracker(SERVERS, SLOTS as u32)).collect(),
            tracker: tracker(SERVERS, SLOTS as u32),
            sequence: 0,
            ends: Vec::new(),
            in_time: 0,
            all: 0,
        }
    }

    /// Returns the share of requests that got a slot within the target time.
    fn play(&mut self, by_tracker: bool) -> f64 {
        for millisecond in 0..2400 {
            let now = at(millisecond);
            self.end(now, by_tracker);
            if millisecond % REPORT_INTERVAL_MS == 0 {
                self.receive_pieces(now);
            }
            if millisecond % REPORT_INTERVAL_MS == 0 && !by_tracker {
                self.exchange_reports(now);
            }
            if self.random.random_bool(PER_SECOND / 1000.0) {
                self.arrive(now, by_tracker);
            }
        }
        self.in_time as f64 / self.all as f64
    }

    /// Every server sends pieces of its answers.
    fn receive_pieces(&mut self, now: Instant) {
        for (_, front, placement) in &self.ends {
            self.fronts[*front].note_contact(now, &placement.server);
        }
    }

    fn exchange_reports(&mut self, now: Instant) {
        let mut all = Dispatcher::default();
        self.sequence += 1;
        for (number, front) in self.fronts.iter().enumerate() {
            all.note_peer(now, NodeId(100 + number as u64), self.sequence, front.shares(now));
        }
        let sum = all.shares_of_all(now);
        for front in &mut self.fronts {
            let own = front.shares(now);
            front.note_sum(now, SharesSum { parts: 1, part: 0, shares: sum.clone() }, &own);
        }
    }

    fn arrive(&mut self, now: Instant, by_tracker: bool) {
        let front = self.random.random_range(0..FRONTS);
        let spread = self.random.random();
        let prompt = Prompt::default();
        let placement = if by_tracker {
            let sender = NodeId(100 + front as u64);
            let query = TrackerQuery { from: sender, wait_limit: TARGET, spread, ..query(&prompt) };
            let server = server_of(&self.tracker.reserve_server(now, &query));
            self.fronts[front].place_at(now, server, 0, Duration::ZERO, false).unwrap()
        } else {
            let query = PlacementQuery {
                software: None,
                service: SERVICE,
                prompt: &prompt,
                avoid: &[],
                wait_limit: Duration::from_secs(5),
                reserve: 0.0,
                spread,
                deferrable: false,
            };
            match self.fronts[front].choose(now, &query) {
                Choice::Send(placement) => placement,
                other => panic!("{other:?}"),
            }
        };
        self.fronts[front].note_sent(now, &placement, &prompt);
        self.run(now, front, placement);
    }

    /// The server runs the request once a slot is free, in order of arrival.
    fn run(&mut self, now: Instant, front: usize, placement: Placement) {
        let number: usize = placement.server.strip_prefix("server-").unwrap().parse().unwrap();
        let ends = &mut self.servers[number];
        let starts = if ends.len() < SLOTS { now } else { ends[ends.len() - SLOTS].max(now) };
        let length = SERVICE_TIME.mul_f64(self.random.random_range(0.6..1.4));
        let end = starts + length;
        let place = ends.iter().position(|other| *other > end).unwrap_or(ends.len());
        ends.insert(place, end);
        self.all += 1;
        self.in_time += usize::from(starts.since(now) <= TARGET);
        self.ends.push((end, front, placement));
    }

    fn end(&mut self, now: Instant, by_tracker: bool) {
        for ends in &mut self.servers {
            while ends.front().is_some_and(|end| *end <= now) {
                ends.pop_front();
            }
        }
        let (ended, going): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(end, _, _)| *end <= now);
        self.ends = going;
        for (_, front, placement) in ended {
            self.fronts[front].note_end(now, &placement, Ending::Answered, true, SERVICE_TIME);
            if by_tracker {
                self.sequence += 1;
                let changed = self.fronts[front].take_changes(now);
                self.tracker.note_peer_changes(now, NodeId(100 + front as u64), self.sequence, changed);
            }
        }
    }
}

#[test]
fn at_a_peak_trackers_serve_more_in_time_than_reports() {
    let share = |by_tracker| (0..3).map(|seed| Peak::new(seed).play(by_tracker)).sum::<f64>() / 3.0;
    let (by_reports, by_tracker) = (share(false), share(true));
    println!("in time: {by_reports:.3} by reports, {by_tracker:.3} by a tracker");
    assert!(by_tracker > 0.99, "{by_tracker}");
    assert!(by_reports < by_tracker - 0.02, "{by_reports}");
}

#[test]
fn a_query_for_a_software_gets_its_servers_only() {
    let records: Vec<ServerRecord> = (0..6)
        .map(|number| ServerRecord { version: if number == 4 { "2".into() } else { "1".into() }, ..record(number, 2) })
        .collect();
    let mut tracker = Dispatcher::default();
    tracker.set_ready(records.iter());
    tracker.set_tracked(TRACKER, &[TRACKER]);
    let (prompt, second) = (Prompt::default(), ServerKey::of("server-4"));
    let of = |version| Some(SoftwareKey::of(SERVICE, version));
    for _ in 0..2 {
        let reply = tracker.reserve_server(at(0), &TrackerQuery { software: of("2"), ..query(&prompt) });
        assert_eq!(server_of(&reply), second);
    }
    let full = tracker.reserve_server(at(0), &TrackerQuery { software: of("2"), ..query(&prompt) });
    assert!(matches!(full, TrackerReply::Full(_)), "{full:?}");
    let other = tracker.reserve_server(at(0), &TrackerQuery { software: of("1"), ..query(&prompt) });
    assert_ne!(server_of(&other), second);
    let none = tracker.reserve_server(at(0), &TrackerQuery { software: of("3"), ..query(&prompt) });
    assert_eq!(none, TrackerReply::TracksNone);
}

#[test]
fn a_software_whose_servers_left_is_tracked_no_more() {
    let mut tracker = tracker(2, 2);
    tracker.set_draining("server-0");
    tracker.set_draining("server-1");
    tracker.set_tracked(TRACKER, &[TRACKER]);
    let prompt = Prompt::default();
    let software = Some(SoftwareKey::of(SERVICE, "1"));
    let reply = tracker.reserve_server(at(0), &TrackerQuery { software, ..query(&prompt) });
    assert_eq!(reply, TrackerReply::TracksNone);
    assert_eq!(tracker.service_of(SoftwareKey::of(SERVICE, "1")), None);
}

/// Reports that do not change were due again just as their node stopped to count.
#[test]
fn nodes_that_repeat_their_reports_stay_covered() {
    let mut node = tracker(1, 1);
    let latest = REPORT_REPEAT_INTERVAL.as_millis() as u64 + REPORT_PACE_MS;
    for number in 0..20 {
        let reported = at(number * latest);
        node.note_peer(reported, FRONT, number + 1, NodeShares { coverage: Coverage::Enough, ..NodeShares::default() });
        let next = at((number + 1) * latest - 1);
        assert_eq!(node.coverage_of(next, FRONT), Coverage::Enough);
    }
}
