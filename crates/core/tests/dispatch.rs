//! Selection of servers by nodes that all send to all servers.

use latchwheel_core::directory::{is_host_and_port, ServerRecord};
use latchwheel_core::dispatch::{
    preferred_workers, Choice, Dispatcher, Ending, NodeShares, Placement, PlacementQuery, Prompt, PromptPart,
    ServerKey, ServerLoad, ServerShare, REPORT_TTL,
};
use latchwheel_core::identity::NodeId;
use latchwheel_core::software::SoftwareKey;
use latchwheel_core::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const SLOTS: u32 = 4;

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(100) + Duration::from_millis(milliseconds)
}

fn dispatcher(names: &[&str]) -> Dispatcher {
    let records: Vec<ServerRecord> = names
        .iter()
        .map(|name| ServerRecord {
            id: (*name).into(),
            name: (*name).into(),
            started_ms: 0,
            service: "s".into(),
            address: format!("{name}:1").into(),
            zone: "z".into(),
            version: "1".into(),
            slots: SLOTS,
            draining: false,
            sequence: 1,
        })
        .collect();
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_ready(records.iter());
    dispatcher
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let parts = vec![PromptPart { key: shared, tokens: 10_000 }, PromptPart { key: own, tokens: 100 }];
    Prompt { parts, output_tokens: 100 }
}

fn report(servers: Vec<ServerShare>) -> NodeShares {
    NodeShares { servers, ..NodeShares::default() }
}

fn query<'a>(prompt: &'a Prompt, spread: u64) -> PlacementQuery<'a> {
    PlacementQuery {
        software: None,
        service: "s",
        prompt,
        avoid: &[],
        wait_limit: Duration::from_secs(1),
        reserve: 0.0,
        spread,
        deferrable: false,
    }
}

fn placed(choice: Choice) -> Placement {
    match choice {
        Choice::Send(placement) => placement,
        other => panic!("{other:?}"),
    }
}

#[test]
fn requests_spread_over_equal_servers() {
    let mut dispatcher = dispatcher(&["a", "b", "c"]);
    let empty = Prompt::default();
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for spread in 0..9 {
        let placement = placed(dispatcher.choose(at(0), &query(&empty, spread)));
        dispatcher.note_sent(at(0), &placement, &empty);
        *counts.entry(placement.server).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 3), "{counts:?}");
}

/// Nodes select the same affinity server for a prefix without exchanging messages.
#[test]
fn a_prefix_has_the_same_affinity_server_at_every_node() {
    let names = ["a", "b", "c", "d", "e"];
    for shared in 0..20 {
        let first = placed(dispatcher(&names).choose(at(0), &query(&prompt(shared, 1), 7)));
        let second = placed(dispatcher(&names).choose(at(5), &query(&prompt(shared, 2), 8)));
        assert_eq!(first.server, second.server);
        assert_eq!(first.uncached, 100);
    }
}

#[test]
fn a_busy_affinity_server_is_passed_over_for_an_emptier_one() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let affinity_server = placed(dispatcher.choose(at(0), &query(&prompt(1, 1), 0)));
    for _ in 0..40 {
        dispatcher.note_sent(at(0), &affinity_server, &prompt(1, 1));
    }
    let next = placed(dispatcher.choose(at(1), &query(&prompt(1, 2), 0)));
    assert_ne!(next.server, affinity_server.server);
}

#[test]
fn requests_of_other_nodes_count() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let share = |name: &str, requests| ServerShare { server: ServerKey::of(name), requests, ..ServerShare::default() };
    dispatcher.note_peer(at(0), NodeId(1), 1, report(vec![share("a", 3)]));
    dispatcher.note_peer(at(0), NodeId(2), 1, report(vec![share("a", 2)]));
    let empty = Prompt::default();
    for spread in 0..2 {
        assert_eq!(&*placed(dispatcher.choose(at(1), &query(&empty, spread))).server, "b");
    }
    assert_eq!(dispatcher.free_slots(at(1), "a", 0.0), Some(-1.0));
    // A later report replaces the previous one; an earlier report that arrives late is ignored.
    dispatcher.note_peer(at(2), NodeId(1), 5, report(vec![]));
    dispatcher.note_peer(at(3), NodeId(1), 4, report(vec![share("a", 3)]));
    assert_eq!(dispatcher.free_slots(at(4), "a", 0.0), Some(2.0));
}

#[test]
fn the_report_of_a_dead_node_expires() {
    let mut dispatcher = dispatcher(&["a"]);
    let share = ServerShare { server: ServerKey::of("a"), requests: 4, ..ServerShare::default() };
    dispatcher.note_peer(at(0), NodeId(1), 1, report(vec![share]));
    assert_eq!(dispatcher.free_slots(at(1), "a", 0.0), Some(0.0));
    assert_eq!(dispatcher.free_slots(at(0) + REPORT_TTL, "a", 0.0), Some(4.0));
}

#[test]
fn a_reported_load_expires() {
    let mut dispatcher = dispatcher(&["a"]);
    dispatcher.note_load(at(0), "a", ServerLoad { running: 4, waiting: 2, slots: 4, slowdown: None });
    assert_eq!(dispatcher.free_slots(at(0), "a", 0.0), Some(-2.0));
    assert_eq!(dispatcher.free_slots(at(5_000), "a", 0.0), Some(4.0));
}

#[test]
fn a_refusal_has_a_retry_time() {
    let mut dispatcher = dispatcher(&["a"]);
    let empty = Prompt::default();
    for _ in 0..400 {
        let placement = Placement {
            server: "a".into(),
            name: "a".into(),
            address: "a:1".into(),
            version: "1".into(),
            software: SoftwareKey::of("s", "1"),
            expected_wait: Duration::ZERO,
            uncached: 0,
            load: 0.0,
            deferrable: false,
            preempts: false,
            by_tracker: false,
        };
        dispatcher.note_sent(at(0), &placement, &empty);
    }
    match dispatcher.choose(at(0), &query(&empty, 0)) {
        Choice::Full(time) => assert!(time > Duration::ZERO),
        other => panic!("{other:?}"),
    }
    let none = PlacementQuery { service: "unknown", ..query(&empty, 0) };
    assert_eq!(dispatcher.choose(at(0), &none), Choice::NoServer);
}

#[test]
fn batch_work_leaves_a_reserve() {
    let mut dispatcher = dispatcher(&["a"]);
    let empty = Prompt::default();
    let batch = PlacementQuery { wait_limit: Duration::ZERO, reserve: 0.5, ..query(&empty, 0) };
    for _ in 0..2 {
        let placement = placed(dispatcher.choose(at(0), &batch));
        dispatcher.note_sent(at(0), &placement, &empty);
    }
    assert!(matches!(dispatcher.choose(at(0), &batch), Choice::Full(_)));
    assert!(matches!(dispatcher.choose(at(0), &query(&empty, 0)), Choice::Send(_)));
}

#[test]
fn an_unresponsive_server_is_avoided_by_the_waiting_node_and_by_others() {
    let names = ["a", "b"];
    let mut first = dispatcher(&names);
    let empty = Prompt::default();
    let placement = placed(first.choose(at(0), &query(&empty, 0)));
    first.note_sent(at(0), &placement, &empty);
    let later = at(500);
    for spread in 0..8 {
        assert_ne!(placed(first.choose(later, &query(&empty, spread))).server, placement.server);
    }
    let shares = first.shares(later);
    assert!(shares.servers.iter().any(|share| share.suspect));
    let mut second = dispatcher(&names);
    second.note_peer(later, NodeId(1), 1, shares);
    for spread in 0..8 {
        assert_ne!(placed(second.choose(later, &query(&empty, spread))).server, placement.server);
    }
    // A contact after the report clears the suspicion: the server is selected again while the
    // other one is busier.
    let other = if &*placement.server == "a" { "b" } else { "a" };
    for _ in 0..3 {
        second.note_sent(at(500), &Placement { server: other.into(), ..placement.clone() }, &empty);
    }
    assert_eq!(&*placed(second.choose(at(500), &query(&empty, 0))).server, other);
    second.note_contact(at(501), &placement.server);
    assert_eq!(placed(second.choose(at(502), &query(&empty, 0))).server, placement.server);
}

/// A server that fails only some requests still gets fewer of them.
#[test]
fn failures_are_remembered_between_answers() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let empty = Prompt::default();
    let placement = Placement {
        server: "a".into(),
        name: "a".into(),
        address: "a:1".into(),
        version: "1".into(),
        software: SoftwareKey::of("s", "1"),
        expected_wait: Duration::ZERO,
        uncached: 0,
        load: 0.0,
        deferrable: false,
        preempts: false,
        by_tracker: false,
    };
    for ending in [Ending::Broken, Ending::Answered, Ending::Broken, Ending::Answered] {
        dispatcher.note_sent(at(0), &placement, &empty);
        dispatcher.note_end(at(1), &placement, ending, true, Duration::from_millis(1));
    }
    for spread in 0..8 {
        assert_eq!(&*placed(dispatcher.choose(at(1_500), &query(&empty, spread))).server, "b");
    }
    let much_later: Vec<_> =
        (0..16).map(|spread| placed(dispatcher.choose(at(60_000), &query(&empty, spread))).server).collect();
    assert!(much_later.iter().any(|server| &**server == "a"), "the server is tried again");
}

#[test]
fn a_server_that_is_not_ready_gets_nothing_new() {
    let mut dispatcher = dispatcher(&["a"]);
    let empty = Prompt::default();
    let placement = placed(dispatcher.choose(at(0), &query(&empty, 0)));
    dispatcher.note_sent(at(0), &placement, &empty);
    dispatcher.set_ready([].into_iter());
    assert_eq!(dispatcher.choose(at(1), &query(&empty, 0)), Choice::NoServer);
    dispatcher.note_end(at(2), &placement, Ending::Answered, true, Duration::from_millis(1));
    assert!(dispatcher.reports(at(2)).is_empty());
}

/// Sending a request is not a contact and must not clear a suspicion.
#[test]
fn sending_does_not_clear_a_suspicion() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let empty = Prompt::default();
    let share = ServerShare { server: ServerKey::of("a"), suspect: true, ..ServerShare::default() };
    dispatcher.note_peer(at(0), NodeId(1), 1, report(vec![share]));
    let placement = Placement {
        server: "a".into(),
        name: "a".into(),
        address: "a:1".into(),
        version: "1".into(),
        software: SoftwareKey::of("s", "1"),
        expected_wait: Duration::ZERO,
        uncached: 0,
        load: 0.0,
        deferrable: false,
        preempts: false,
        by_tracker: false,
    };
    dispatcher.note_sent(at(1), &placement, &empty);
    // The other server has the higher load.
    for _ in 0..3 {
        dispatcher.note_sent(at(1), &Placement { server: "b".into(), ..placement.clone() }, &empty);
    }
    for spread in 0..8 {
        assert_eq!(&*placed(dispatcher.choose(at(2), &query(&empty, spread))).server, "b");
    }
}

/// A refusal of online requests has to reach the nodes that run batch work.
#[test]
fn a_refusal_marks_a_service_overloaded_at_all_nodes_for_a_while() {
    let mut front = dispatcher(&["a"]);
    let mut worker = dispatcher(&["a"]);
    assert!(!worker.is_overloaded(at(0), "s"));
    front.note_refused(at(0), &"s".into());
    worker.note_peer(at(100), NodeId(1), 1, front.shares(at(100)));
    assert!(worker.is_overloaded(at(200), "s") && front.is_overloaded(at(200), "s"));
    assert!(!worker.is_overloaded(at(200), "t"));
    worker.note_peer(at(1_100), NodeId(1), 2, front.shares(at(1_100)));
    assert!(!worker.is_overloaded(at(1_200), "s") && !front.is_overloaded(at(1_200), "s"));
}

/// The sum over all nodes includes this node's requests, which must not count twice; direct
/// reports and expired sums must not be added.
#[test]
fn a_sum_over_all_nodes_counts_each_request_once() {
    let mut dispatcher = dispatcher(&["a"]);
    let empty = Prompt::default();
    let share = |requests| ServerShare { server: ServerKey::of("a"), requests, ..ServerShare::default() };
    let placement = placed(dispatcher.choose(at(0), &query(&empty, 0)));
    dispatcher.note_sent(at(0), &placement, &empty);
    let own = dispatcher.shares(at(0));
    dispatcher.note_peer(at(10), NodeId(7), 1, report(vec![share(2)]));
    assert_eq!(dispatcher.free_slots(at(10), "a", 0.0), Some(1.0));
    // The aggregator received one request of this node and three of others.
    let sum = report(vec![share(4)]).into_parts(10).remove(0);
    dispatcher.note_sum(at(20), sum, &own);
    assert_eq!(dispatcher.free_slots(at(20), "a", 0.0), Some(0.0));
    let late = at(20) + REPORT_TTL;
    assert_eq!(dispatcher.free_slots(late, "a", 0.0), Some(3.0), "only this node's request is left");
}

#[test]
fn parts_of_a_sum_hold_every_server_once() {
    let servers =
        (0..150).map(|number| ServerShare { server: ServerKey(number * 977), requests: 1, ..ServerShare::default() });
    let parts = NodeShares { servers: servers.collect(), overloaded: vec![5], waiting: 3, ..NodeShares::default() }
        .into_parts(60);
    assert_eq!(parts.len(), 3);
    assert_eq!(parts.iter().map(|part| part.shares.servers.len()).sum::<usize>(), 150);
    assert!(parts.iter().all(|part| part.shares.overloaded == [5] && part.shares.servers.len() < 75));
}

/// Nodes with the same reports must not all select the server that is emptiest at that moment.
#[test]
fn nodes_with_the_same_reports_choose_different_servers() {
    let names: Vec<String> = (0..30).map(|number| format!("server-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let slots = 8;
    let mut chosen: HashMap<Arc<str>, u32> = HashMap::new();
    for own in 0..30_u64 {
        let mut dispatcher = dispatcher(&names);
        let busy = |(number, name): (usize, &&str)| ServerShare {
            server: ServerKey::of(name),
            // One server is empty, the others have one request each.
            requests: (number as u32).min(1),
            ..ServerShare::default()
        };
        for name in &names {
            dispatcher.note_load(at(0), name, ServerLoad { running: 0, waiting: 0, slots, slowdown: None });
        }
        dispatcher.note_peer(at(0), NodeId(77), 1, report(names.iter().enumerate().map(busy).collect()));
        let placement = placed(dispatcher.choose(at(1), &query(&Prompt::default(), own)));
        *chosen.entry(placement.server).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(most <= 5, "{chosen:?}");
}

/// A server that fails requests fast looks idle. The node that sees the failures and those that
/// receive its report avoid the server for a while.
#[test]
fn a_server_that_fails_requests_is_avoided_by_all_nodes() {
    let names = ["a", "b", "c", "d"];
    let empty = Prompt::default();
    let mut first = dispatcher(&names);
    let end_at = |dispatcher: &mut Dispatcher, time: u64, server: &str, ending| {
        let placement = Placement { server: server.into(), ..placed(dispatcher.choose(at(time), &query(&empty, 0))) };
        dispatcher.note_sent(at(time), &placement, &empty);
        dispatcher.note_end(at(time), &placement, ending, true, Duration::from_millis(5));
    };
    // A single failure among answers has no effect, since some requests fail at any server.
    end_at(&mut first, 0, "a", Ending::Failed);
    (1..4).for_each(|time| end_at(&mut first, time, "a", Ending::Answered));
    assert!(first.shares(at(5)).servers.is_empty());
    (10..13).for_each(|time| end_at(&mut first, time, "a", Ending::Failed));
    let mut second = dispatcher(&names);
    second.note_peer(at(20), NodeId(1), 1, first.shares(at(20)));
    for dispatcher in [&first, &second] {
        let chosen = |time: u64| {
            let choose = |spread| placed(dispatcher.choose(at(time), &query(&empty, spread))).server;
            (0..200).map(choose).filter(|server| **server == *"a").count()
        };
        assert_eq!(chosen(21), 0);
        assert!(chosen(40_000) > 20, "the server is tried again later");
    }
}

/// An online request may be placed at a server full of deferrable runs; the placement states
/// whether one has to be preempted.
#[test]
fn urgent_requests_can_preempt_deferrable_runs() {
    let share = |server: &str, requests, deferrable| ServerShare {
        server: ServerKey::of(server),
        requests,
        deferrable,
        ..ServerShare::default()
    };
    let empty = Prompt::default();
    let mut full = dispatcher(&["a", "b"]);
    full.note_peer(at(0), NodeId(1), 1, report(vec![share("a", 4, 4), share("b", 4, 0)]));
    let placement = placed(full.choose(at(1), &query(&empty, 0)));
    assert_eq!((&*placement.server, placement.preempts), ("a", true));
    assert_eq!(placement.expected_wait, Duration::ZERO);
    let deferrable = PlacementQuery { wait_limit: Duration::ZERO, deferrable: true, ..query(&empty, 0) };
    assert!(
        matches!(full.choose(at(1), &deferrable), Choice::Full(_)),
        "deferrable work does not preempt deferrable work"
    );

    let mut ample = dispatcher(&["a"]);
    ample.note_peer(at(0), NodeId(1), 1, report(vec![share("a", 1, 1)]));
    assert!(!placed(ample.choose(at(1), &query(&empty, 0))).preempts);
}

/// Preemption requests of all nodes go to the same few nodes, which run deferrable work at the
/// server first.
#[test]
fn the_preferred_workers_of_a_server_are_the_same_at_every_node() {
    let nodes: Vec<NodeId> = (1..=10).map(NodeId).collect();
    let mut work: HashMap<NodeId, u32> = HashMap::new();
    for server in 0..300 {
        let key = ServerKey::of(&format!("server-{server}"));
        let preferred = preferred_workers(key, nodes.iter().copied());
        assert_eq!(preferred, preferred_workers(key, nodes.iter().rev().copied()));
        assert_eq!(preferred.len(), 3);
        preferred.into_iter().for_each(|node| *work.entry(node).or_default() += 1);
    }
    assert!(work.len() == 10 && work.values().all(|servers| (45..=135).contains(servers)), "{work:?}");
    assert_eq!(preferred_workers(ServerKey::of("a"), [NodeId(7)].into_iter()), [NodeId(7)]);
}

#[test]
fn a_request_that_continues_goes_only_to_servers_of_its_software() {
    let mut dispatcher = dispatcher(&["a", "b", "c", "d"]);
    let second = ServerRecord {
        id: "other".into(),
        name: "other".into(),
        started_ms: 0,
        service: "s".into(),
        address: "other:1".into(),
        zone: "z".into(),
        version: "2".into(),
        slots: SLOTS,
        draining: false,
        sequence: 1,
    };
    dispatcher.set_one_ready(&second);
    let empty = Prompt::default();
    let avoid: Vec<Arc<str>> = vec!["a".into(), "other".into()];
    for spread in 0..32 {
        let of = |version| PlacementQuery {
            software: Some(SoftwareKey::of("s", version)),
            avoid: &avoid,
            ..query(&empty, spread)
        };
        let first = placed(dispatcher.choose(at(0), &of("1")));
        assert!(!avoid.contains(&first.server) && &*first.version == "1", "{first:?}");
        // The only server of a version is used again.
        assert_eq!(&*placed(dispatcher.choose(at(0), &of("2"))).server, "other");
        assert_eq!(dispatcher.choose(at(0), &of("3")), Choice::NoServer);
    }
    let service = |version| dispatcher.service_of(SoftwareKey::of("s", version));
    assert_eq!((service("2").as_deref(), service("3")), (Some("s"), None));
}

#[test]
fn a_server_that_registers_another_version_leaves_the_former_one() {
    let mut dispatcher = dispatcher(&["a"]);
    let empty = Prompt::default();
    let running = placed(dispatcher.choose(at(0), &query(&empty, 0)));
    dispatcher.note_sent(at(0), &running, &empty);
    let record = ServerRecord {
        id: "a".into(),
        name: "a".into(),
        started_ms: 0,
        service: "s".into(),
        address: "a:1".into(),
        zone: "z".into(),
        version: "2".into(),
        slots: SLOTS,
        draining: false,
        sequence: 2,
    };
    dispatcher.set_one_ready(&record);
    let of = |version| PlacementQuery { software: Some(SoftwareKey::of("s", version)), ..query(&empty, 0) };
    assert_eq!(dispatcher.choose(at(1), &of("1")), Choice::NoServer);
    assert_eq!(&*placed(dispatcher.choose(at(1), &of("2"))).version, "2");
}

/// A start of the server `a`.
fn start_of_a(started_ms: u64) -> ServerRecord {
    ServerRecord {
        id: ServerRecord::identity("a", started_ms),
        name: "a".into(),
        started_ms,
        service: "s".into(),
        address: "a:1".into(),
        zone: "z".into(),
        version: "1".into(),
        slots: SLOTS,
        draining: false,
        sequence: 1,
    }
}

/// Guards against servers that are passed over, after they started again under their name, for
/// the load and the failures of their earlier start.
#[test]
fn a_later_start_of_a_server_inherits_nothing() {
    let (first, second) = (start_of_a(1), start_of_a(2));
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_one_ready(&first);
    let empty = Prompt::default();
    for spread in 0..u64::from(SLOTS) {
        let placement = placed(dispatcher.choose(at(0), &query(&empty, spread)));
        dispatcher.note_sent(at(0), &placement, &empty);
        if spread > 0 {
            dispatcher.note_end(at(1), &placement, Ending::Broken, false, Duration::from_millis(1));
        }
    }
    let of_first = ServerShare { server: ServerKey::of(&first.id), requests: SLOTS, ..ServerShare::default() };
    dispatcher.note_peer(at(1), NodeId(1), 1, report(vec![of_first]));
    let former = dispatcher.reports(at(2));
    assert!(former.iter().any(|report| *report.id == *first.id && report.avoided && report.load > 0.0), "{former:?}");

    dispatcher.set_draining(&first.id);
    dispatcher.set_one_ready(&second);
    let placement = placed(dispatcher.choose(at(2), &query(&empty, 0)));
    assert_eq!((&*placement.server, &*placement.name), ("a@2", "a"));
    assert_eq!((placement.load, placement.expected_wait), (0.0, Duration::ZERO));
    // What other nodes still report of the earlier start counts for that.
    dispatcher.note_peer(at(3), NodeId(1), 2, report(vec![of_first]));
    assert_eq!(placed(dispatcher.choose(at(3), &query(&empty, 0))).load, 0.0);
}

/// Guards against an overflow of numbers that a server or another writer states.
#[test]
fn extreme_numbers_of_slots_and_load_are_taken() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let load = ServerLoad { running: u32::MAX, waiting: u32::MAX, slots: u32::MAX, slowdown: Some(u32::MAX) };
    dispatcher.note_load(at(0), "a", load);
    dispatcher.note_load(at(0), "b", ServerLoad { running: 0, waiting: 0, slots: u32::MAX, slowdown: None });
    assert_eq!(dispatcher.slots_of("s"), 2.0 * f64::from(u32::MAX));
    assert_eq!(&*placed(dispatcher.choose(at(0), &query(&Prompt::default(), 0))).server, "b");
}

#[test]
fn an_address_has_a_host_and_a_port() {
    for address in ["10.0.0.1:80", "host.example:65535", "[::1]:8144", "a:1"] {
        assert!(is_host_and_port(address), "{address}");
    }
    for address in [
        "10.0.0.1:65536",
        "10.0.0.1:0",
        "10.0.0.1:+1",
        "10.0.0.1:-1",
        "10.0.0.1:",
        "10.0.0.1",
        ":80",
        "",
        "a b:80",
        "a/b:80",
        "user@a:80",
        "a:80/b",
        "a\n:80",
        "99999",
    ] {
        assert!(!is_host_and_port(address), "{address:?}");
    }
}
