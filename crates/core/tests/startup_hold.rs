//! Requests that arrive before a node can serve.

use latchwheel_core::code::ResultCode;
use latchwheel_core::startup_hold::{Arrival, StartupHold, StartupState, TableState};
use std::time::Duration;

const STARTING: StartupState = StartupState { table: TableState::Unknown, servers: false, leaving: false };
const READY: StartupState = StartupState { table: TableState::InForce, servers: true, leaving: false };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Results of a series of requests.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcomes {
    served: usize,
    /// Requests whose callers had already left.
    served_too_late: usize,
    refused: usize,
    /// Longest hold time of a request.
    longest_held: Duration,
    most_held: usize,
}

/// A starting node that becomes ready at a given time, or never.
struct Start {
    pause: Duration,
    arrivals: u32,
    left: Option<Duration>,
    ready_at: Option<Duration>,
}

impl Start {
    fn startup_state(&self, now: Duration) -> StartupState {
        if self.ready_at.is_some_and(|ready_at| ready_at <= now) {
            READY
        } else {
            STARTING
        }
    }

    /// Simulates the start in steps of 1 ms; held requests proceed when their hold time ends or
    /// the node is ready.
    fn play(&self) -> Outcomes {
        let mut holding = StartupHold::default();
        let mut outcomes = Outcomes::default();
        let mut held: Vec<(Duration, Duration)> = Vec::new();
        let mut arrivals = (0..self.arrivals).map(|number| self.pause * number).peekable();
        let mut now = Duration::ZERO;
        while arrivals.peek().is_some() || !held.is_empty() {
            let startup_state = self.startup_state(now);
            let goes_on = |(_, end): &(Duration, Duration)| !startup_state.waits() || *end <= now;
            for (arrival, _) in held.extract_if(.., |request| goes_on(request)) {
                holding.leave();
                outcomes.note(self, &startup_state, Some(now - arrival));
            }
            while arrivals.next_if(|arrival| *arrival <= now).is_some() {
                match holding.arrive(&startup_state, self.left) {
                    Arrival::Proceed => outcomes.note(self, &startup_state, None),
                    Arrival::Hold(time) => held.push((now, now + time)),
                }
                assert_eq!(holding.held(), held.len());
                outcomes.most_held = outcomes.most_held.max(held.len());
            }
            now += ms(1);
        }
        outcomes
    }
}

impl Outcomes {
    fn note(&mut self, start: &Start, startup_state: &StartupState, was_held: Option<Duration>) {
        let held_for = was_held.unwrap_or_default();
        self.longest_held = self.longest_held.max(held_for);
        let is_served = startup_state.refusal(was_held.is_some()).is_none();
        let is_late = is_served && start.left.is_some_and(|left| held_for >= left);
        self.served += usize::from(is_served && !is_late);
        self.served_too_late += usize::from(is_late);
        self.refused += usize::from(!is_served);
    }
}

/// All requests are served if the node is ready before the first of them has a tenth of its
/// time left.
#[test]
fn requests_are_served_if_the_node_is_ready_in_time() {
    for left in [1000, 2000, 5000, 20_000] {
        for ready_at in [1, left / 4, left / 2, left * 9 / 10 - 1] {
            let start =
                Start { pause: ms(left) / 40, arrivals: 40, left: Some(ms(left)), ready_at: Some(ms(ready_at)) };
            let outcomes = start.play();
            assert_eq!((outcomes.served, outcomes.refused), (40, 0), "{left} {ready_at}: {outcomes:?}");
            assert_eq!(outcomes.served_too_late, 0, "{left} {ready_at}");
        }
    }
}

/// If the node never becomes ready, each request is refused before its caller leaves, after
/// most of the caller's time.
#[test]
fn requests_are_held_for_as_long_as_their_callers_stay() {
    for left in [1000, 2000, 5000, 20_000] {
        let start = Start { pause: ms(20), arrivals: 100, left: Some(ms(left)), ready_at: None };
        let outcomes = start.play();
        assert_eq!((outcomes.served, outcomes.refused), (0, 100), "{left}");
        assert!(outcomes.longest_held < ms(left) && outcomes.longest_held > ms(left) / 2, "{left}: {outcomes:?}");
    }
}

/// Hold time: 90 % of the caller's time, 0.8 s without a deadline, at most 30 s.
#[test]
fn hold_time_is_bounded() {
    let held_for = |left| StartupHold::default().arrive(&STARTING, left);
    assert_eq!(held_for(Some(ms(5000))), Arrival::Hold(ms(4500)));
    assert_eq!(held_for(Some(Duration::ZERO)), Arrival::Hold(Duration::ZERO));
    assert_eq!(held_for(None), Arrival::Hold(ms(800)));
    let long_wait = Start { pause: ms(20), arrivals: 1, left: Some(Duration::from_secs(86_400)), ready_at: None };
    assert!(long_wait.play().longest_held <= Duration::from_secs(30));
}

/// With ten times the capacity, the surplus is refused at once, and capacity returns when held
/// requests proceed.
#[test]
fn memory_is_bounded() {
    let requests = 10 * StartupHold::LIMIT;
    let together =
        Start { pause: Duration::ZERO, arrivals: requests as u32, left: Some(ms(1000)), ready_at: Some(ms(500)) };
    let outcomes = together.play();
    assert_eq!(outcomes.most_held, StartupHold::LIMIT);
    assert_eq!((outcomes.served, outcomes.refused), (StartupHold::LIMIT, requests - StartupHold::LIMIT));
    let mut holding = StartupHold::default();
    while holding.arrive(&STARTING, None) != Arrival::Proceed {}
    holding.leave();
    assert_ne!(holding.arrive(&STARTING, None), Arrival::Proceed);
}

/// Requests are not held for a table that the store does not have.
#[test]
fn requests_are_not_held_for_an_absent_table() {
    let mut state = STARTING;
    assert!(state.waits());
    state.note_table_received();
    assert_eq!(state.table, TableState::Absent);
    assert_eq!(StartupHold::default().arrive(&state, Some(ms(5000))), Arrival::Proceed);
    assert_eq!(state.refusal(false), Some(ResultCode::NotReady));
    state.table = TableState::InForce;
    assert!(state.waits(), "the servers are not received yet");
    // Receiving all records again changes nothing.
    state.note_table_received();
    assert_eq!(state.table, TableState::InForce);
    state.servers = true;
    assert_eq!((state.waits(), state.refusal(true)), (false, None));
}

#[test]
fn requests_are_not_held_at_a_draining_node() {
    for table in [TableState::Unknown, TableState::Absent, TableState::InForce] {
        let state = StartupState { table, servers: false, leaving: true };
        assert_eq!(StartupHold::default().arrive(&state, Some(ms(5000))), Arrival::Proceed);
        assert_eq!(state.refusal(true), Some(ResultCode::Leaving));
    }
    let serves = StartupState { leaving: true, ..READY };
    assert_eq!(serves.refusal(true), None, "a node serves until it has left");
}
