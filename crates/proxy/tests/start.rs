//! Requests that arrive while a process starts.

mod support;

use latchwheel_clock::Clock;
use latchwheel_proxy::Shared;
use std::time::Duration;
use support::TestDialect;
use tokio::time::{advance, timeout};

/// They wait for the servers to be known, and go on at once when they are.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_the_first_list_of_servers() {
    let shared = Shared::new(TestDialect::default(), Clock::start());
    let waiting = tokio::spawn({
        let shared = shared.clone();
        async move { shared.wait_for_start().await }
    });
    advance(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished());
    shared.note_servers_known();
    waiting.await.unwrap();
    assert!(timeout(Duration::ZERO, shared.wait_for_start()).await.is_ok(), "later ones don't wait");
}

/// Where the list doesn't come they get their answer soon, and long after the
/// start at once.
#[tokio::test(start_paused = true)]
async fn requests_do_not_wait_for_long() {
    let shared = Shared::new(TestDialect::default(), Clock::start());
    let bound = Duration::from_millis(900);
    assert!(timeout(bound, shared.wait_for_start()).await.is_ok());
    advance(Duration::from_secs(2)).await;
    assert!(timeout(Duration::ZERO, shared.wait_for_start()).await.is_ok());
}
