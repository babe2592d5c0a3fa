//! Calls of many nodes to an unreachable record store.

use latchwheel_core::circuit_breaker::{CircuitBreaker, ProbePolicy, FAILURE_TIME, MAX_SHARED_PROBE_INTERVAL};
use latchwheel_core::time::Instant;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const START: Instant = Instant::from_micros(60_000_000);
/// Interval at which each node attempts calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
const CALLS_PER_SECOND: f64 = 32.0;

fn policy(nodes: usize) -> ProbePolicy {
    ProbePolicy { calls_per_second: CALLS_PER_SECOND, nodes, relied_on: false }
}

/// Calls that `nodes` nodes make in an outage of `seconds` reported by an upstream.
fn calls_in_outage(seed: u64, nodes: usize, seconds: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let mut breakers: Vec<CircuitBreaker> = (0..nodes).map(|_| CircuitBreaker::new(policy(nodes))).collect();
    for breaker in &mut breakers {
        breaker.note_upstream_unreachable(START, random.random());
    }
    let mut calls = 0;
    let mut now = START;
    while now.since(START) < Duration::from_secs(seconds) {
        for breaker in &mut breakers {
            if breaker.may_call(now, random.random()) {
                breaker.note_failure(now, now, random.random());
                calls += 1;
            }
        }
        now = now + CALL_INTERVAL;
    }
    calls
}

#[test]
fn the_calls_of_all_nodes_stay_within_the_budget() {
    for seed in 0..20 {
        let bound = (CALLS_PER_SECOND * 10.0 * 1.3) as usize;
        for nodes in [30, 90] {
            let calls = calls_in_outage(seed, nodes, 10);
            assert!(calls <= bound, "{calls} calls of {nodes} nodes, seed {seed}");
        }
        // With more nodes, each still probes within its own bound.
        let calls = calls_in_outage(seed, 300, 10);
        let each = 10.0 / MAX_SHARED_PROBE_INTERVAL.as_secs_f64() * 1.3 + 1.0;
        assert!(calls as f64 <= 300.0 * each, "{calls} calls of 300 nodes, seed {seed}");
    }
}

/// Every node probes at least once per maximum interval plus jitter.
#[test]
fn every_node_probes_within_its_bound() {
    let mut random = StdRng::seed_from_u64(7);
    for _ in 0..200 {
        let mut breaker = CircuitBreaker::new(policy(12_000));
        breaker.note_upstream_unreachable(START, random.random());
        let mut last = START;
        let mut now = START;
        while now.since(START) < Duration::from_secs(20) {
            if breaker.may_call(now, random.random()) {
                last = now;
            }
            assert!(now.since(last) <= MAX_SHARED_PROBE_INTERVAL.mul_f64(1.25) + CALL_INTERVAL);
            now = now + CALL_INTERVAL;
        }
    }
}

#[test]
fn failures_in_a_row_open_it_and_an_answer_closes_it() {
    let mut breaker = CircuitBreaker::new(policy(10));
    breaker.note_failure(START, START, 0.5);
    assert!(breaker.may_call(START, 0.5), "one failure may be an interrupted long poll");
    breaker.note_answer();
    let later = START + FAILURE_TIME;
    breaker.note_failure(later, later, 0.5);
    assert!(!breaker.is_open(), "the failures before the answer don't count");
    breaker.note_failure(later + FAILURE_TIME, later + FAILURE_TIME, 0.5);
    assert!(breaker.is_open());
    assert!(!breaker.may_call(later + FAILURE_TIME, 0.5));
    breaker.note_answer();
    assert!(breaker.may_call(later + FAILURE_TIME, 0.5));
}

/// A single answer may be lost; two calls without an answer indicate an outage.
#[test]
fn calls_that_hung_open_it() {
    let mut breaker = CircuitBreaker::new(policy(10));
    breaker.note_failure(START + Duration::from_millis(1_500), START, 0.5);
    assert!(!breaker.is_open());
    breaker.note_failure(START + Duration::from_millis(1_500), START, 0.5);
    assert!(breaker.is_open());
}

/// A node that gets no answers while others do backs off, and probes at once after a new
/// report that others get answers.
#[test]
fn a_refused_node_keeps_probing() {
    let mut breaker = CircuitBreaker::new(policy(300));
    breaker.note_upstream_unreachable(START, 0.9);
    assert!(!breaker.may_call(START, 0.5));
    breaker.note_upstream_answering(START);
    assert!(breaker.may_call(START, 0.5), "a new report is followed by a call");
    let mut now = START;
    let mut calls = 0;
    while now.since(START) < Duration::from_secs(10) {
        breaker.note_upstream_answering(now);
        if breaker.may_call(now, 0.5) {
            breaker.note_failure(now, now, 0.5);
            calls += 1;
        }
        now = now + CALL_INTERVAL;
    }
    assert!((6..=12).contains(&calls), "{calls} calls in ten seconds");
}
