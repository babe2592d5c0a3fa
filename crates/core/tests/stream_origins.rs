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

#[test]
fn a_recorded_stream_needs_one_replica() {
    let replicas: Vec<NodeId> = nodes(2).collect();
    let nothing = OriginReply { software: None, seen: VersionsSeen::Several };
    let mut search = OriginSearch::new(Quorum::AllReplicas, nothing, replicas.clone());
    assert_eq!(search.origin(), Origin::Pending);
    search.note_reply(replicas[1], OriginReply { software: Some(software("1")), ..nothing });
    assert_eq!(search.origin(), Origin::Recorded(software("1")));
    assert_eq!(search.waiting(), &replicas[..1]);
}

#[test]
fn a_stream_without_a_record_continues_only_where_one_version_served() {
    let replicas: Vec<NodeId> = nodes(2).collect();
    let saw = |seen| OriginReply { software: None, seen };
    let one = VersionsSeen::One(software("1"));
    let cases = [
        (one, one, one, Origin::OnlyVersion(software("1"))),
        (VersionsSeen::Unknown, one, VersionsSeen::Unknown, Origin::OnlyVersion(software("1"))),
        (VersionsSeen::Unknown, VersionsSeen::Unknown, VersionsSeen::Unknown, Origin::Unknown),
        (one, VersionsSeen::Several, one, Origin::Unknown),
        (one, VersionsSeen::One(software("2")), one, Origin::Unknown),
    ];
    for (own, first, second, origin) in cases {
        let mut search = OriginSearch::new(Quorum::AllReplicas, saw(own), replicas.clone());
        search.note_reply(replicas[0], saw(first));
        assert_eq!(search.origin(), Origin::Pending, "a silent replica may have the record");
        search.note_reply(replicas[1], saw(second));
        assert_eq!(search.origin(), origin, "{own:?} {first:?} {second:?}");
    }
}

/// A node that is cut off may see fewer versions than there are.
#[test]
fn a_client_that_names_no_stream_needs_one_reply() {
    let replicas: Vec<NodeId> = nodes(2).collect();
    let saw = |seen| OriginReply { software: None, seen };
    let one = VersionsSeen::One(software("1"));
    let mut search = OriginSearch::new(Quorum::AnyReplica, saw(one), replicas.clone());
    assert_eq!(search.origin(), Origin::Pending);
    search.note_reply(replicas[0], saw(one));
    assert_eq!(search.origin(), Origin::OnlyVersion(software("1")));
    let mut search = OriginSearch::new(Quorum::AnyReplica, saw(one), replicas.clone());
    search.note_reply(replicas[0], saw(VersionsSeen::Several));
    assert_eq!(search.origin(), Origin::Pending);
    search.note_reply(replicas[1], saw(one));
    assert_eq!(search.origin(), Origin::Unknown);
    let alone = OriginSearch::new(Quorum::AnyReplica, saw(one), Vec::new());
    assert_eq!(alone.origin(), Origin::OnlyVersion(software("1")));
}

#[test]
fn a_version_that_left_counts_for_the_window() {
    let service = stable_hash(b"service");
    let mut history = SoftwareHistory::default();
    assert_eq!(history.seen(at(0), &[service], WINDOW), VersionsSeen::Unknown);
    history.observe(at(0), &[(service, software("1"))]);
    assert_eq!(history.seen(at(9), &[service], WINDOW), VersionsSeen::Unknown, "too short");
    assert_eq!(history.seen(at(10), &[service], WINDOW), VersionsSeen::One(software("1")));
    history.observe(at(20), &[(service, software("1")), (service, software("2"))]);
    assert_eq!(history.seen(at(20), &[service], WINDOW), VersionsSeen::Several);
    history.observe(at(30), &[(service, software("2"))]);
    assert_eq!(history.seen(at(40), &[service], WINDOW), VersionsSeen::Several);
    assert_eq!(history.seen(at(41), &[service], WINDOW), VersionsSeen::One(software("2")));
    history.observe(at(50), &[]);
    assert_eq!(history.seen(at(70), &[service], WINDOW), VersionsSeen::Unknown);
}

#[test]
fn all_services_of_a_route_count() {
    let (first, second) = (stable_hash(b"first"), stable_hash(b"second"));
    let mut history = SoftwareHistory::default();
    let versions = [(first, SoftwareKey::of("first", "1")), (second, SoftwareKey::of("second", "1"))];
    history.observe(at(0), &versions);
    assert_eq!(history.seen(at(20), &[first], WINDOW), VersionsSeen::One(versions[0].1));
    assert_eq!(history.seen(at(20), &[first, second], WINDOW), VersionsSeen::Several);
}
