//! Rate limits across nodes, retry budgets, fences, ownership and routing.

use latchwheel_core::identity::{NodeId, ServerId};
use latchwheel_core::limits::{Bucket, ShareHolder, ShareIssuer, SHARE_VALIDITY};
use latchwheel_core::ownership::{assign, OwnedServer, OwnerCandidate};
use latchwheel_core::placement::{Fence, LoadPacer, OrderLease};
use latchwheel_core::prefix::{block_hashes, CacheEvent, PrefixIndex};
use latchwheel_core::retry::{exponential_backoff, RetryBudgets};
use latchwheel_core::routing::{choose_owner, Affinity, OwnerLoad};
use latchwheel_core::table::RetryPolicy;
use latchwheel_core::time::Instant;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::Duration;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(1_000_000 + milliseconds * 1000)
}

#[test]
fn a_bucket_gives_its_rate_and_the_time_to_retry() {
    let mut bucket = Bucket::new(at(0), 10.0);
    let taken = (0..100).filter(|step| bucket.take(at(step * 20)).is_ok()).count();
    assert!((29..=30).contains(&taken), "a burst of ten, then ten per second: {taken}");
    let wait = bucket.take(at(1980)).unwrap_err();
    assert!(wait <= Duration::from_millis(100));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn valid_shares_never_exceed_the_rate(demands in proptest::collection::vec((0u64..8, 0.1f64..500.0, 0u64..3000), 1..100)) {
        let mut issuer = ShareIssuer::default();
        let mut now = at(0);
        let mut granted: BTreeMap<u64, (f64, Instant)> = BTreeMap::new();
        for (node, demand, pause) in demands {
            now = now + Duration::from_millis(pause);
            let rate = issuer.grant(now, "row", 100.0, NodeId(node), demand);
            granted.insert(node, (rate, now + SHARE_VALIDITY));
            let sum: f64 = granted.values().filter(|(_, until)| *until > now).map(|(rate, _)| rate).sum();
            prop_assert!(sum <= 50.0 + 1e-6, "{sum}");
        }
    }

    #[test]
    fn ownership_is_bounded_and_stable(nodes in 1usize..12, servers in 0usize..80) {
        let candidate = |number: usize| OwnerCandidate {
            node: NodeId::of_name(&format!("node-{number}")), zone: "z".into(), region: "r".into(),
        };
        let server = |number: usize| OwnedServer {
            server: ServerId::of_name(&format!("server-{number}")), zone: "z".into(), region: "r".into(),
        };
        let candidates: Vec<_> = (0..nodes).map(candidate).collect();
        let servers: Vec<_> = (0..servers).map(server).collect();
        let owners = assign(&candidates, &servers);
        prop_assert_eq!(owners.len(), servers.len());
        let mut shares: BTreeMap<NodeId, usize> = BTreeMap::new();
        owners.values().for_each(|owner| *shares.entry(*owner).or_default() += 1);
        let bound = (servers.len() as f64 / nodes as f64 * 1.25).ceil() as usize;
        prop_assert!(shares.values().all(|share| *share <= bound));
        let mut shuffled = candidates.clone();
        shuffled.reverse();
        prop_assert_eq!(assign(&shuffled, &servers), owners);
    }
}

#[test]
fn a_zone_without_a_node_is_served_by_its_region() {
    let node = OwnerCandidate { node: NodeId(1), zone: "a".into(), region: "r".into() };
    let near = OwnedServer { server: ServerId(1), zone: "b".into(), region: "r".into() };
    let far = OwnedServer { server: ServerId(2), zone: "b".into(), region: "other".into() };
    let owners = assign(&[node], &[near, far]);
    assert_eq!(owners.get(&ServerId(1)), Some(&NodeId(1)));
    assert_eq!(owners.get(&ServerId(2)), None);
}

#[test]
fn a_holder_without_its_issuer_falls_back_to_its_even_part() {
    let mut holder = ShareHolder::default();
    holder.admit(at(0), "row", 100.0, 10).unwrap();
    holder.apply_grant(at(0), at(0), "row", 45.0);
    let taken = |holder: &mut ShareHolder, from: u64| {
        (0..1000).filter(|step| holder.admit(at(from + step), "row", 100.0, 10).is_ok()).count()
    };
    let with_lease = taken(&mut holder, 1000);
    assert!((48..=101).contains(&with_lease), "50 per second and a burst: {with_lease}");
    let after_lapse = taken(&mut holder, 20_000);
    assert!(after_lapse <= 12, "five per second and a burst: {after_lapse}");
}

#[test]
fn a_node_within_its_even_part_sends_no_demand() {
    let mut holder = ShareHolder::default();
    for second in 0..20 {
        holder.admit(at(second * 1000), "row", 100.0, 10).unwrap();
        assert!(holder.demands(at(second * 1000 + 900)).is_empty());
    }
}

#[test]
fn idle_rows_send_no_demand() {
    let mut holder = ShareHolder::default();
    for _ in 0..200 {
        let _ = holder.admit(at(0), "row", 100.0, 1);
    }
    assert_eq!(holder.demands(at(1000)).len(), 1);
    assert!(holder.demands(at(60_000)).is_empty());
}

#[test]
fn retries_stay_within_the_budget() {
    let mut budgets = RetryBudgets::default();
    let policy = RetryPolicy { attempts: 3, budget_percent: 10 };
    for _ in 0..1000 {
        budgets.deposit("row", &policy);
    }
    let retries = (0..1000).filter(|_| budgets.withdraw("row", &policy, 2)).count();
    assert!(retries <= 110, "{retries} retries of 1000 requests");
    assert!(!budgets.withdraw("row", &policy, 4), "no more attempts than the row allows");
}

#[test]
fn a_lapsed_lease_gives_no_epoch() {
    let lease = OrderLease::new(3, at(0), Duration::from_secs(5));
    assert_eq!(lease.epoch_at(at(4499)), Some(3));
    assert_eq!(lease.epoch_at(at(4500)), None, "the lease ends early by the safety margin");
}

#[test]
fn a_fence_rejects_an_older_epoch() {
    let mut fence = Fence::default();
    assert!(fence.admit(3));
    assert!(fence.admit(4));
    assert!(!fence.admit(3), "an order with an older epoch is refused");
    assert!(fence.admit(4));
}

#[test]
fn loads_keep_to_the_store_s_rate() {
    let mut pacer = LoadPacer::new(100.0);
    assert_eq!(pacer.reserve(at(0), 200), at(0));
    assert_eq!(pacer.reserve(at(0), 100), at(2000));
    assert_eq!(pacer.reserve(at(9000), 100), at(9000));
}

#[test]
fn a_gap_in_the_events_makes_the_index_stale_until_a_resync() {
    let mut index = PrefixIndex::default();
    let server = ServerId(1);
    let stored = |sequence, blocks: &[u64]| CacheEvent { sequence, stored: blocks.to_vec(), evicted: Vec::new() };
    assert!(!index.note_event(server, &stored(0, &[1, 2])));
    assert_eq!(index.matched(server, &[1, 2, 3]), 2);
    assert!(index.note_event(server, &stored(2, &[3])));
    assert_eq!(index.matched(server, &[1, 2, 3]), 0);
    index.resync(server, 3, &[1]);
    assert_eq!(index.matched(server, &[1, 2, 3]), 1);
    let evicted = CacheEvent { sequence: 3, stored: Vec::new(), evicted: vec![1] };
    assert!(!index.note_event(server, &evicted));
    assert_eq!(index.matched(server, &[1]), 0);
}

#[test]
fn equal_prefixes_have_equal_blocks() {
    let shared = "s".repeat(200);
    let first = block_hashes(format!("{shared}{}", "a".repeat(200)).as_bytes());
    let second = block_hashes(format!("{shared}{}", "b".repeat(200)).as_bytes());
    assert_eq!(first[..3], second[..3]);
    assert_ne!(first[3..], second[3..]);
}

#[test]
fn the_owner_of_the_prefix_is_chosen_unless_it_is_busy() {
    let mut random = SmallRng::seed_from_u64(1);
    let owner_load = |node, free, queued| OwnerLoad { node: NodeId(node), free, queued };
    let own = Some(owner_load(1, 8, 0));
    let others = [owner_load(2, 8, 0), owner_load(3, 8, 0)];
    assert_eq!(choose_owner(own, &others, None, &mut random), Some(NodeId(1)), "the local owner is preferred");
    let cached = Some((NodeId(3), 32));
    assert_eq!(choose_owner(own, &others, cached, &mut random), Some(NodeId(3)));
    let busy = [owner_load(2, 8, 0), owner_load(3, 0, 40)];
    assert_ne!(choose_owner(own, &busy, cached, &mut random), Some(NodeId(3)));
    assert_eq!(choose_owner(None, &[], None, &mut random), None);
}

#[test]
fn the_longest_matching_prefix_determines_the_owner() {
    let mut affinity = Affinity::default();
    affinity.note(&[1, 2], NodeId(5));
    affinity.note(&[1, 2, 3, 4], NodeId(6));
    assert_eq!(affinity.longest(&[1, 2, 3, 9]), Some((NodeId(6), 3)));
    assert_eq!(affinity.longest(&[8]), None);
}

#[test]
fn backoff_doubles_up_to_its_maximum() {
    let (first, longest) = (Duration::from_millis(50), Duration::from_millis(800));
    let backoffs: Vec<u128> =
        (0..7).map(|failures| exponential_backoff(first, longest, failures).as_millis()).collect();
    assert_eq!(backoffs, [50, 100, 200, 400, 800, 800, 800]);
    assert_eq!(exponential_backoff(first, longest, u32::MAX), longest);
}
