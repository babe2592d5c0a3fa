//! Limit on the batch work that waits on a route, over all nodes.

use latchwheel_core::dispatch::{Dispatcher, NodeShares, RouteKey, RouteQueue};
use latchwheel_core::identity::NodeId;
use latchwheel_core::queue_limit::{PendingJobs, QueueLimit, HANDOVER_TIME};
use latchwheel_core::time::Instant;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_secs(60) + Duration::from_millis(ms)
}

fn route() -> RouteKey {
    RouteKey::of("lot")
}

/// Report of a node with this many queued tokens.
fn report(tokens: u64) -> NodeShares {
    NodeShares { queues: vec![RouteQueue { route: route(), tokens }], ..NodeShares::default() }
}

#[test]
fn a_job_fits_up_to_half_of_the_permitted_excess() {
    let limit = QueueLimit { tokens: 1000, excess: 0.1 };
    assert!(limit.fits(0, 1050));
    assert!(limit.fits(1000, 50));
    assert!(!limit.fits(1000, 51));
    assert!(!limit.fits(u64::MAX, 1));
}

#[test]
fn the_queues_of_all_other_nodes_count_together() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.note_peer(at(0), NodeId(1), 1, report(300));
    dispatcher.note_peer(at(0), NodeId(2), 1, report(400));
    assert_eq!(dispatcher.queued_tokens_elsewhere(at(10), route()), 700);
    assert_eq!(dispatcher.queued_tokens_elsewhere(at(10), RouteKey::of("other")), 0);
    dispatcher.note_peer(at(20), NodeId(1), 2, report(0));
    assert_eq!(dispatcher.queued_tokens_elsewhere(at(30), route()), 400);
}

/// Until another node takes over the jobs of a failed node, no node reports them.
#[test]
fn the_queue_of_a_failed_node_counts_for_some_seconds() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.note_peer(at(0), NodeId(1), 1, report(300));
    // The node restarts and reports no jobs yet.
    dispatcher.note_peer(at(1_000), NodeId(1), 2, NodeShares::default());
    assert_eq!(dispatcher.queued_tokens_elsewhere(at(6_000), route()), 300);
    assert_eq!(dispatcher.queued_tokens_elsewhere(at(9_000), route()), 0);
}

#[test]
fn the_aggregated_sum_counts_without_the_local_queue() {
    let mut aggregator = Dispatcher::default();
    aggregator.note_peer(at(0), NodeId(1), 1, report(300));
    aggregator.note_peer(at(0), NodeId(2), 1, report(400));
    aggregator.set_queued_tokens(at(0), route(), 50);
    let mut receiver = Dispatcher::default();
    receiver.set_queued_tokens(at(0), route(), 400);
    for part in aggregator.shares_of_all(at(10)).into_parts(60) {
        receiver.note_sum(at(20), part, &report(400));
    }
    assert_eq!(receiver.queued_tokens_elsewhere(at(30), route()), 350);
    // The sum includes the report of this node already.
    receiver.note_peer(at(30), NodeId(1), 1, report(300));
    assert_eq!(receiver.queued_tokens_elsewhere(at(40), route()), 350);
}

#[test]
fn an_accepted_job_counts_until_it_is_handed_over() {
    let mut pending = PendingJobs::default();
    pending.note(at(0), route(), "job", 500);
    pending.note(at(10), route(), "job", 500);
    assert_eq!(pending.tokens(route()), 500, "a repeated job must count once");
    pending.tick(at(10) + HANDOVER_TIME, false);
    assert!(pending.is_empty());
}

#[test]
fn jobs_keep_counting_while_the_store_is_unreachable() {
    let mut pending = PendingJobs::default();
    pending.note(at(0), route(), "job", 500);
    pending.tick(at(1_900), true);
    pending.tick(at(3_800), true);
    assert_eq!(pending.tokens(route()), 500);
    pending.tick(at(3_800) + HANDOVER_TIME, false);
    assert!(pending.is_empty());
}

#[test]
fn a_job_that_was_not_accepted_does_not_count() {
    let mut pending = PendingJobs::default();
    pending.note(at(0), route(), "job", 500);
    assert!(pending.holds("job"));
    pending.forget("job");
    assert_eq!(pending.tokens(route()), 0);
}

/// No node can run a spooled job before the store returns.
#[test]
fn a_spooled_job_counts_for_longer() {
    let mut pending = PendingJobs::default();
    pending.note(at(0), route(), "job", 500);
    pending.note_spooled(at(100), "job");
    pending.note_spooled(at(100), "unknown");
    pending.tick(at(9_000), false);
    assert_eq!(pending.tokens(route()), 500);
    pending.tick(at(10_100), false);
    assert!(pending.is_empty());
}
