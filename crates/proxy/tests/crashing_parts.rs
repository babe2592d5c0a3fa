//! Requests that share one part of their prompts, and nothing else, crash every server that
//! runs them. They are kept from servers, and requests that share the other parts are served.

mod support;

use std::time::{Duration, Instant};
use support::fleet::{Fleet, POISON_PART};

const NODES: usize = 4;
/// More servers than crash in one test.
const SERVERS: usize = 80;
/// Number of crashes after which, and time from which on, the part may reach only a few more
/// servers.
const CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_millis(3000);
const MAX_LATE_RUNS: usize = 3;
/// Time for which such requests are sent after that, and the pause between two.
const LATE_TIME: Duration = Duration::from_millis(1500);
const PAUSE: Duration = Duration::from_millis(60);
const LIMIT: Duration = Duration::from_secs(60);
/// Sound requests for each one that crashes its server.
const SOUND_REQUESTS: usize = 3;

/// What came of the sound requests.
#[derive(Debug, Default)]
struct Sound {
    served: usize,
    refused: usize,
    cut: usize,
}

impl Sound {
    fn note(&mut self, answer: Option<hyper::Response<bytes::Bytes>>) {
        match answer.map(|answer| answer.status().as_u16()) {
            Some(200) => self.served += 1,
            Some(503) => self.refused += 1,
            _ => self.cut += 1,
        }
    }
}

/// Sends requests with the part in prompts of `parts_of`, sound ones of `sound_parts` beside
/// them, and asserts that the part is stopped in time. Returns what came of the sound ones after that.
async fn assert_is_stopped(
    fleet: &Fleet,
    parts_of: impl Fn(usize) -> String,
    sound_parts: impl Fn(usize) -> String,
) -> Sound {
    let start = Instant::now();
    let mut fifth_at: Option<Instant> = None;
    let (mut late, mut sound) = (0, Sound::default());
    for number in 0.. {
        assert!(start.elapsed() < LIMIT, "{} servers crashed", fleet.ended());
        if fleet.poisons() >= CRASHES {
            fifth_at.get_or_insert_with(Instant::now);
        }
        let is_quarantined = !fleet.nodes[0].shared.crashes.quarantined().is_empty();
        let is_late = fifth_at.is_some_and(|at| at.elapsed() > CONTACT_TIME);
        let is_over = fifth_at.is_some_and(|at| at.elapsed() > CONTACT_TIME + LATE_TIME);
        // With fewer crashes the part was stopped before it had to be.
        if is_over || (fifth_at.is_none() && is_quarantined && start.elapsed() > CONTACT_TIME + LATE_TIME) {
            break;
        }
        let before = fleet.poisons();
        fleet.send_parts(number % NODES, &format!("crashing-{number}"), &parts_of(number)).await;
        fleet.unlist_ended();
        late += if is_late { fleet.poisons() - before } else { 0 };
        assert!(late <= MAX_LATE_RUNS, "{late} requests reached servers late");
        for place in 0..SOUND_REQUESTS {
            let id = format!("sound-{number}-{place}");
            let outcome = fleet.send_parts((number + place) % NODES, &id, &sound_parts(number + place)).await;
            if is_quarantined {
                sound.note(outcome);
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    sound
}

#[tokio::test]
async fn a_part_that_crashes_servers_is_kept_from_them_at_all_nodes() {
    let fleet = Fleet::start(NODES, SERVERS).await;
    let parts = |number| format!("first,{POISON_PART},own-{number}");
    let sound = assert_is_stopped(&fleet, parts, |number| format!("first,other,own-{number}")).await;
    assert_eq!((sound.refused, sound.cut), (0, 0), "{sound:?}");
    for node in 0..NODES {
        let before = fleet.poisons();
        let answer = fleet.send_parts(node, &format!("new-{node}"), &parts(node)).await.expect("an answer");
        assert_eq!((answer.status().as_u16(), fleet.poisons()), (503, before), "node {node}");
        assert!(answer.headers().contains_key("retry-after"));
    }
}

#[tokio::test]
async fn a_part_is_kept_from_servers_wherever_it_stands_and_whatever_stands_beside_it() {
    let fleet = Fleet::start(NODES, SERVERS).await;
    let parts = |number: usize| match number % 3 {
        0 => format!("{POISON_PART},own-{number}"),
        1 => format!("first,second,{POISON_PART},own-{number}"),
        _ => format!("first,{POISON_PART},other-{number},own-{number}"),
    };
    let sound = assert_is_stopped(&fleet, parts, |number| format!("first,second,own-{number}")).await;
    assert_eq!((sound.refused, sound.cut), (0, 0), "{sound:?}");
}

/// The sound requests share all parts but one, at a rate of few a second.
#[tokio::test]
async fn requests_that_share_all_other_parts_are_served() {
    let fleet = Fleet::start(NODES, SERVERS).await;
    let parts = |number| format!("first,second,{POISON_PART},own-{number}");
    let sound = assert_is_stopped(&fleet, parts, |number| format!("first,second,own-{number}")).await;
    assert!(sound.served > 0);
    assert_eq!((sound.refused, sound.cut), (0, 0), "{sound:?}");
}

#[tokio::test]
async fn the_last_part_of_a_prompt_is_never_held_against_other_requests() {
    let fleet = Fleet::start(NODES, SERVERS).await;
    for number in 0..CRASHES {
        fleet.send_parts(number % NODES, &format!("crashing-{number}"), &format!("first-{number},{POISON_PART}")).await;
        fleet.unlist_ended();
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(fleet.poisons(), CRASHES);
    assert!(fleet.nodes.iter().all(|node| node.shared.crashes.quarantined().is_empty()));
}
