//! Since when the record store is known to answer, by calls that are late, lost
//! and repeated.

use latchwheel_core::circuit_breaker::ProbePolicy;
use latchwheel_records::Contact;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::{sleep, Instant};

const SEEDS: u64 = 200;
const ROUNDS: usize = 40;

fn since(contact: &Contact) -> Option<Instant> {
    contact.answering_for().map(|time| Instant::now() - time)
}

/// Calls that were cut for a moment are no outage.
#[tokio::test(start_paused = true)]
async fn a_short_failure_changes_nothing() {
    let contact = Contact::default();
    let start = Instant::now();
    contact.note_answer(start);
    sleep(Duration::from_millis(500)).await;
    contact.note_failure(Instant::now());
    assert_eq!(contact.answering_for(), None, "while calls fail");
    sleep(Duration::from_millis(100)).await;
    contact.note_answer(Instant::now());
    assert_eq!(since(&contact), Some(start));
}

/// An outage may pass unnoticed by a node that makes few calls.
#[tokio::test(start_paused = true)]
async fn time_without_a_call_proves_nothing() {
    let contact = Contact::default();
    contact.note_answer(Instant::now());
    sleep(Duration::from_secs(5)).await;
    let later = Instant::now();
    contact.note_answer(later);
    assert_eq!(since(&contact), Some(later));
    // A call that the store held shows that it was there.
    sleep(Duration::from_secs(4)).await;
    contact.note_held(later);
    assert_eq!(since(&contact), Some(later));
}

/// What an upstream tells counts for a while, and the longer of both times.
#[tokio::test(start_paused = true)]
async fn an_upstream_tells_of_an_earlier_return() {
    let contact = Contact::default();
    contact.note_told(Duration::from_secs(30));
    assert_eq!(contact.answering_for(), Some(Duration::from_secs(30)));
    contact.note_answer(Instant::now());
    assert_eq!(contact.answering_for(), Some(Duration::from_secs(30)));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(contact.answering_for(), Some(Duration::from_secs(3)));
}

/// However late a node notices, the time counts from the sending of the first
/// call that was answered, so that its pauses add nothing: never before the
/// store's return, and at most one pause and one hanging call after it.
#[tokio::test(start_paused = true)]
async fn the_time_counts_from_the_first_call_that_was_answered() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let contact = Contact::default();
        contact.note_answer(Instant::now());
        for _ in 0..ROUNDS {
            let outage = Duration::from_millis(random.random_range(400..4_000));
            let returned = Instant::now() + outage;
            let (mut first, mut pause) = (None, Duration::from_millis(50));
            while first.is_none() {
                let sent_at = Instant::now();
                let hangs = Duration::from_millis(random.random_range(0..1_500));
                sleep(hangs).await;
                if sent_at >= returned {
                    contact.note_answer(sent_at);
                    first = Some(sent_at);
                } else {
                    contact.note_failure(sent_at);
                    sleep(pause).await;
                    pause = (pause * 2).min(Duration::from_millis(1_600));
                }
            }
            let present = since(&contact).expect("it answers");
            assert!(present >= returned, "seed {seed}: counted before the return");
            // A first call that hangs may be the first to show the outage.
            let latest = first.expect("it was answered");
            assert!(present <= latest, "seed {seed}: {:?} after the first answered call", present - latest);
            // Late answers of calls that were sent meanwhile change nothing.
            for _ in 0..3 {
                let sent_at = Instant::now();
                sleep(Duration::from_millis(random.random_range(0..900))).await;
                contact.note_answer(sent_at);
                assert_eq!(since(&contact), Some(present), "seed {seed}");
            }
        }
    }
}

/// Upstreams that are cut off from the store don't keep a node from it that is
/// answered.
#[tokio::test(start_paused = true)]
async fn the_word_of_upstreams_counts_less_than_own_answers() {
    let contact = Contact::new(ProbePolicy { calls_per_second: 1.0, nodes: 300, relied_on: false });
    contact.note_answer(Instant::now());
    sleep(Duration::from_millis(700)).await;
    contact.note_upstream_unreachable(Duration::from_secs(1));
    assert!(contact.may_call() && contact.may_call(), "it was answered since");
    contact.note_upstream_unreachable(Duration::from_millis(500));
    let mut allowed = 0;
    for _ in 0..100 {
        allowed += u32::from(contact.may_call());
    }
    assert!(allowed <= 1, "{allowed} calls at one moment while the store is away");
    contact.note_answer(Instant::now());
    assert!(contact.may_call() && contact.may_call());
}

/// The answers to some calls are lost while others come: nothing is held back.
#[tokio::test(start_paused = true)]
async fn lost_answers_alone_hold_nothing_back() {
    let contact = Contact::new(ProbePolicy { calls_per_second: 1.0, nodes: 300, relied_on: false });
    for _ in 0..20 {
        let sent_at = Instant::now();
        for _ in 0..10 {
            sleep(Duration::from_millis(150)).await;
            contact.note_answer(Instant::now());
        }
        contact.note_failure(sent_at);
        contact.note_failure(sent_at);
        assert!(contact.may_call() && contact.may_call());
        contact.note_answer(Instant::now());
    }
}

/// Upstreams that are cut off tell that the store is away; a node that has news shows
/// that it is not.
#[tokio::test(start_paused = true)]
async fn news_at_another_node_lets_the_next_call_through() {
    let policy = ProbePolicy { calls_per_second: 1.0, nodes: 60, relied_on: false };
    let contact = Contact::new(policy);
    contact.note_upstream_unreachable(Duration::from_secs(2));
    let held_back = (0..50).all(|_| !contact.may_call());
    // A probe may fall due at once by chance; the next one is seconds away.
    assert!(held_back || !contact.may_call());
    contact.note_answered_elsewhere();
    assert!(contact.may_call());
    assert!(!contact.may_call(), "one call finds out");
    contact.note_answer(Instant::now());
    assert!(contact.may_call());
}
