//! Admitting jobs within the limit of their route.

use latchwheel_core::routes::{RequestKind, Route};
use latchwheel_jobs::QueueGate;
use latchwheel_records::Contact;
use std::time::{Duration, Instant};
use support::{node, route};

#[path = "../../proxy/tests/support/mod.rs"]
mod support;

/// More than the later ones that are handed over at any time.
const JOBS: usize = 200;

fn limited() -> Route {
    Route { queued_token_limit: 1000, ..route(RequestKind::Batch, 3) }
}

/// A gate, and what tells it that the store answers.
fn gate() -> (QueueGate<support::TestDialect>, Contact) {
    let contact = Contact::default();
    contact.note_answer(tokio::time::Instant::now());
    (QueueGate::new(node(limited(), &[]), contact.clone(), 0.1), contact)
}

#[tokio::test]
async fn a_job_is_admitted_while_it_fits_and_again_when_it_comes_again() {
    let ((gate, _contact), route) = (gate(), limited());
    assert!(gate.admit(&route, None, "first", 1000).fits);
    let verdict = gate.admit(&route, None, "second", 100);
    assert!(!verdict.fits);
    assert_eq!(verdict.queued, 1000);
    assert!(gate.admit(&route, None, "first", 1000).fits);
    gate.withdraw(&route, None, "first");
    assert!(gate.admit(&route, None, "second", 100).fits);
    let unlimited = Route { queued_token_limit: 0, ..route };
    assert!(gate.admit(&unlimited, None, "third", u64::MAX).fits);
}

/// Jobs come all the time; what was started for one of them ends with it.
#[tokio::test]
async fn a_job_that_is_handed_over_leaves_nothing_behind() {
    let ((gate, contact), route) = (gate(), limited());
    let alive = || tokio::runtime::Handle::current().metrics().num_alive_tasks();
    let before = alive();
    for number in 0..JOBS {
        assert!(gate.admit(&route, None, &format!("job-{number}"), 1).fits);
    }
    let end = Instant::now() + Duration::from_secs(20);
    let mut later = 0;
    while alive() >= before + JOBS {
        assert!(Instant::now() < end, "{} tasks", alive() - before);
        contact.note_answer(tokio::time::Instant::now());
        later += 1;
        gate.admit(&route, None, &format!("later-{}", later / 10), 1);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
