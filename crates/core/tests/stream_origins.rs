//! Records of the software that began a stream.

use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::software::{SoftwareHistory, SoftwareKey, VersionsSeen};
use latchwheel_core::stream_origins::{
    NodeRing, Origin, OriginReply, OriginSearch, Quorum, StreamKey, StreamOrigins, REPLICAS,
};
use latchwheel_core::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

const KEEP: Duration = Duration::from_secs(30);
const WINDOW: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(1000 + seconds)
}

fn software(version: &str) -> SoftwareKey {
    SoftwareKey::of("service", version)
}

fn nodes(count: usize) -> impl Iterator<Item = NodeId> {
    (0..count).map(|number| NodeId::of_name(&format!("node-{number}")))
}

fn streams(count: usize) -> impl Iterator<Item = StreamKey> {
    (0..count).map(|number| StreamKey::of(&format!("request-{number}")))
}

#[test]
fn services_and_versions_have_different_keys() {
    assert_ne!(SoftwareKey::of("a", "1"), SoftwareKey::of("a", "2"));
    assert_ne!(SoftwareKey::of("a", "1"), SoftwareKey::of("b", "1"));
    assert_eq!(SoftwareKey::from_number(software("1").number()), Some(software("1")));
    assert_eq!(SoftwareKey::from_number(0), None);
}

#[test]
fn a_record_is_kept_for_its_time() {
    let mut origins = StreamOrigins::default();
    let (stream, other) = (StreamKey::of("a"), StreamKey::of("b"));
    origins.record(at(0), stream, software("1"), KEEP);
    assert_eq!(origins.software(at(29), stream), Some(software("1")));
    assert_eq!(origins.software(at(29), other), None);
    assert_eq!(origins.software(at(31), stream), None);
    origins.record(at(40), other, software("2"), KEEP);
    assert_eq!(origins.len(), 1);
}

#[test]
fn a_renewed_record_is_kept_longer() {
    let mut origins = StreamOrigins::default();
    let stream = StreamKey::of("a");
    origins.record(at(0), stream, software("1"), KEEP);
    origins.record(at(20), stream, software("1"), KEEP);
    origins.record(at(35), StreamKey::of("b"), software("1"), KEEP);
    assert_eq!(origins.software(at(45), stream), Some(software("1")));
    origins.record(at(60), StreamKey::of("c"), software("1"), KEEP);
    assert_eq!((origins.software(at(51), stream), origins.len()), (None, 2));
}

#[test]
fn records_are_bounded_and_the_oldest_are_dropped() {
    let mut origins = StreamOrigins::default();
    for stream in streams(140_000) {
        origins.record(at(0), stream, software("1"), KEEP);
    }
    assert_eq!(origins.len(), 1 << 17);
    assert_eq!(origins.software(at(0), StreamKey::of("request-0")), None);
    assert_eq!(origins.software(at(0), StreamKey::of("request-139999")), Some(software("1")));
}

#[test]
fn replicas_share_the_streams() {
    for count in [REPLICAS, 7, 40, 400] {
        let ring = NodeRing::new(nodes(count));
        let mut kept: HashMap<NodeId, usize> = HashMap::new();
        for stream in streams(20_000) {
            let replicas = ring.replicas(stream);
            assert_eq!(replicas.len(), REPLICAS);
            replicas.into_iter().for_each(|replica| *kept.entry(replica).or_default() += 1);
        }
        let fair = 20_000 * REPLICAS / count;
        let most = kept.values().max().copied().unwrap_or_default();
        assert!(most <= 2 * fair, "{most} records at one of {count} nodes, {fair} on average");
    }
}

/// Nodes that know different members find a common replica as long as one is left.
#[test]
fn a_change_of_one_node_moves_one_replica() {
    let all: Vec<NodeId> = nodes(40).collect();
    let ring = NodeRing::new(all.iter().copied());
    for gone in &all {
        let without = NodeRing::new(all.iter().copied().filter(|node| node != gone));
        for stream in streams(200) {
            let (before, after) = (ring.replicas(stream), without.replicas(stream));
            let common = before.iter().filter(|replica| after.contains(replica)).count();
            assert!(common >= REPLICAS - 1, "{before:?} and {after:?}");
        }
    }
}

/// A reply without a record.
fn saw(seen: VersionsSeen) -> OriginReply {
    OriginReply { software: None, seen }
}

fn one() -> VersionsSeen {
    VersionsSeen::One(software("1"))
}

#[test]
fn a_recorded_stream_needs_one_replica() {
    let replicas: Vec<NodeId> = nodes(2).collect();
    let nothing = saw(VersionsSeen::Several);
    let mut search = OriginSearch::new(Quorum::AllReplicas, nothing, replicas.clone(), Vec::new());
    assert_eq!(search.origin(), Origin::Pending);
    search.note_reply(replicas[1], OriginReply { software: Some(software("1")), ..nothing });
    assert_eq!(search.origin(), Origin::Recorded(software("1")));
    assert_eq!(search.waiting(), &replicas[..1]);
}

/// Nodes that just started know nothing of the versions before, which is no agreement.
#[test]
fn a_stream_without_a_record_continues_only_where_two_nodes_saw_one_version() {
    let replicas: Vec<NodeId> = nodes(2).collect();
    let (one, unknown) = (one(), VersionsSeen::Unknown);
    let cases = [
        (one, one, one, Origin::OnlyVersion(software("1"))),
        (unknown, one, one, Origin::OnlyVersion(software("1"))),
        (one, unknown, one, Origin::OnlyVersion(software("1"))),
        (unknown, one, unknown, Origin::Unknown),
        (one, unknown, unknown, Origin::Unknown),
        (unknown, unknown, unknown, Origin::Unknown),
        (one, VersionsSeen::Several, one, Origin::Unknown),
        (one, VersionsSeen::One(software("2")), one, Origin::Unknown),
    ];
    for (own, first, second, origin) in cases {
        let mut search = OriginSearch::new(Quorum::AllReplicas, saw(own), replicas.clone(), Vec::new());
        search.note_reply(replicas[0], saw(first));
        assert_eq!(search.origin(), Origin::Pending, "a silent replica may have the record");
        search.note_reply(replicas[1], saw(second));
        assert_eq!(search.origin(), origin, "{own:?} {first:?} {second:?}");
    }
}

#[test]
fn nodes_beside_the_replicas_tell_which_versions_served() {
    let nodes: Vec<NodeId> = nodes(4).collect();
    let (replicas, others) = (nodes[..2].to_vec(), nodes[2..].to_vec());
    let unknown = saw(VersionsSeen::Unknown);
    let seen_elsewhere = [
        ([one(), one()], Origin::OnlyVersion(software("1"))),
        ([one(), VersionsSeen::Unknown], Origin::Unknown),
        ([one(), VersionsSeen::Several], Origin::Unknown),
    ];
    for (seen, origin) in seen_elsewhere {
        let mut search = OriginSearch::new(Quorum::AllReplicas, unknown, replicas.clone(), others.clone());
        assert_eq!(search.waiting(), replicas);
        replicas.iter().for_each(|replica| search.note_reply(*replica, unknown));
        assert_eq!((search.origin(), search.waiting()), (Origin::Pending, &others[..]));
        others.iter().zip(seen).for_each(|(other, seen)| search.note_reply(*other, saw(seen)));
        assert_eq!(search.origin(), origin, "{seen:?}");
    }
}

#[test]
fn a_node_that_replies_twice_counts_once() {
    let replicas: Vec<NodeId> = nodes(2).collect();
    let unknown = saw(VersionsSeen::Unknown);
    let mut search = OriginSearch::new(Quorum::AllReplicas, unknown, replicas.clone(), Vec::new());
    search.note_reply(replicas[0], saw(one()));
    search.note_reply(replicas[0], saw(one()));
    search.note_reply(replicas[1], unknown);
    assert_eq!(search.origin(), Origin::Unknown);
}

/// A node that is cut off may see fewer versions than there are.
#[test]
fn a_client_that_names_no_stream_needs_one_reply() {
    let replicas: Vec<NodeId> = nodes(2).collect();
    let mut search = OriginSearch::new(Quorum::AnyReplica, saw(one()), replicas.clone(), Vec::new());
    assert_eq!(search.origin(), Origin::Pending);
    search.note_reply(replicas[0], saw(one()));
    assert_eq!(search.origin(), Origin::OnlyVersion(software("1")));
    let mut search = OriginSearch::new(Quorum::AnyReplica, saw(one()), replicas.clone(), Vec::new());
    search.note_reply(replicas[0], saw(VersionsSeen::Several));
    assert_eq!(search.origin(), Origin::Pending);
    search.note_reply(replicas[1], saw(one()));
    assert_eq!(search.origin(), Origin::Unknown);
    let alone = OriginSearch::new(Quorum::AnyReplica, saw(one()), Vec::new(), Vec::new());
    assert_eq!(alone.origin(), Origin::OnlyVersion(software("1")));
}

/// Observes these versions of one service, in a list that is complete at that time.
fn observe(history: &mut SoftwareHistory, now: Instant, versions: &[&str]) {
    let service = stable_hash(b"service");
    let present: Vec<_> = versions.iter().map(|version| (service, software(version))).collect();
    history.observe(now, &present);
    history.note_complete(now);
}

/// Confirms at short intervals that nothing changed.
fn confirm(history: &mut SoftwareHistory, seconds: std::ops::RangeInclusive<u64>) {
    seconds.for_each(|second| history.note_complete(at(second)));
}

#[test]
fn a_node_that_was_cut_off_knows_no_versions_of_that_time() {
    let service = stable_hash(b"service");
    let mut history = SoftwareHistory::default();
    observe(&mut history, at(0), &["1"]);
    confirm(&mut history, 1..=20);
    assert_eq!(history.seen(at(20), &[service], WINDOW), VersionsSeen::One(software("1")));
    assert_eq!(history.seen(at(30), &[service], WINDOW), VersionsSeen::Unknown, "not confirmed");
    confirm(&mut history, 31..=40);
    assert_eq!(history.seen(at(40), &[service], WINDOW), VersionsSeen::Unknown, "another may have come and left");
    confirm(&mut history, 41..=41);
    assert_eq!(history.seen(at(41), &[service], WINDOW), VersionsSeen::One(software("1")));
}

/// What a node kept before its start shows nothing of the time until the list is confirmed.
#[test]
fn observation_begins_with_a_complete_list() {
    let service = stable_hash(b"service");
    let mut history = SoftwareHistory::default();
    history.observe(at(0), &[(service, software("1"))]);
    assert_eq!(history.seen(at(20), &[service], WINDOW), VersionsSeen::Unknown);
    confirm(&mut history, 20..=29);
    assert_eq!(history.seen(at(29), &[service], WINDOW), VersionsSeen::Unknown);
    confirm(&mut history, 30..=30);
    assert_eq!(history.seen(at(30), &[service], WINDOW), VersionsSeen::One(software("1")));
}

#[test]
fn a_version_that_left_counts_for_the_window() {
    let service = stable_hash(b"service");
    let mut history = SoftwareHistory::default();
    assert_eq!(history.seen(at(0), &[service], WINDOW), VersionsSeen::Unknown);
    observe(&mut history, at(0), &["1"]);
    confirm(&mut history, 1..=10);
    assert_eq!(history.seen(at(9), &[service], WINDOW), VersionsSeen::Unknown, "too short");
    assert_eq!(history.seen(at(10), &[service], WINDOW), VersionsSeen::One(software("1")));
    confirm(&mut history, 11..=19);
    observe(&mut history, at(20), &["1", "2"]);
    assert_eq!(history.seen(at(20), &[service], WINDOW), VersionsSeen::Several);
    confirm(&mut history, 21..=29);
    observe(&mut history, at(30), &["2"]);
    confirm(&mut history, 31..=41);
    assert_eq!(history.seen(at(40), &[service], WINDOW), VersionsSeen::Several);
    assert_eq!(history.seen(at(41), &[service], WINDOW), VersionsSeen::One(software("2")));
    confirm(&mut history, 42..=49);
    observe(&mut history, at(50), &[]);
    confirm(&mut history, 51..=70);
    assert_eq!(history.seen(at(70), &[service], WINDOW), VersionsSeen::Unknown);
}

#[test]
fn all_services_of_a_route_count() {
    let (first, second) = (stable_hash(b"first"), stable_hash(b"second"));
    let mut history = SoftwareHistory::default();
    let versions = [(first, SoftwareKey::of("first", "1")), (second, SoftwareKey::of("second", "1"))];
    history.observe(at(0), &versions);
    confirm(&mut history, 0..=20);
    assert_eq!(history.seen(at(20), &[first], WINDOW), VersionsSeen::One(versions[0].1));
    assert_eq!(history.seen(at(20), &[first, second], WINDOW), VersionsSeen::Several);
}
