//! Which requests a stopping process still takes.

use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::planned_stop::{AnswerTimes, SendLimit, StopTimes, StoppingRequest};
use latchwheel_core::routes::RequestKind;
use latchwheel_core::time::Instant;
use std::time::Duration;

const KINDS: [RequestKind; 5] = [
    RequestKind::Idempotent,
    RequestKind::AtMostOnce,
    RequestKind::Stream { resumable: false },
    RequestKind::Stream { resumable: true },
    RequestKind::Batch,
];
const ROUTE: RouteKey = RouteKey(1);

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1000)
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn stop() -> StopTimes {
    StopTimes { clients_leave: at(2000), last_answer: at(7000) }
}

fn limit(kind: RequestKind, until: Instant, longest_answer: Option<Duration>) -> SendLimit {
    stop().send_limit(&StoppingRequest { kind, until, longest_answer })
}

#[test]
fn a_request_whose_time_is_over_before_the_process_ends_is_taken() {
    for kind in KINDS {
        assert_eq!(limit(kind, at(7000), None), SendLimit::OwnTime);
        assert_eq!(limit(kind, at(7000), Some(ms(60_000))), SendLimit::OwnTime);
    }
}

#[test]
fn a_longer_request_of_a_route_without_answers_is_not_taken() {
    for kind in KINDS {
        assert_eq!(limit(kind, at(7001), None), SendLimit::Never);
    }
}

/// Whatever an answer takes, up to half more than the longest recent one, it is there in time.
#[test]
fn a_likely_answer_is_there_before_the_process_ends() {
    for kind in KINDS {
        for longest in (0..8000).step_by(20).map(ms) {
            let SendLimit::Until(latest) = limit(kind, at(60_000), Some(longest)) else { panic!("there were answers") };
            let time = longest.mul_f64(1.5);
            assert!(latest == at(0) || latest + time <= stop().last_answer, "{longest:?}: {latest:?}");
        }
    }
}

#[test]
fn what_can_not_be_answered_again_is_taken_no_longer_than_clients_come() {
    for kind in KINDS.into_iter().filter(|kind| *kind != RequestKind::Idempotent) {
        assert_eq!(limit(kind, at(60_000), Some(ms(10))), SendLimit::Until(at(2000)));
    }
    let SendLimit::Until(latest) = limit(RequestKind::Idempotent, at(60_000), Some(ms(10))) else { panic!() };
    assert!(latest > at(6000));
}

#[test]
fn the_longest_answer_of_a_route_is_forgotten_after_a_while_of_answers() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest(ROUTE), None);
    times.note(at(0), ROUTE, ms(900));
    times.note(at(9_000), ROUTE, ms(10));
    assert_eq!(times.longest(ROUTE), Some(ms(900)));
    times.note(at(11_000), ROUTE, ms(10));
    assert_eq!(times.longest(ROUTE), Some(ms(900)), "for one window at least");
    times.note(at(22_000), ROUTE, ms(20));
    assert_eq!(times.longest(ROUTE), Some(ms(20)));
    assert_eq!(times.longest(RouteKey(2)), None);
}

#[test]
fn times_of_a_route_without_answers_are_kept() {
    let mut times = AnswerTimes::default();
    times.note(at(0), ROUTE, ms(900));
    times.note(at(3_600_000), RouteKey(2), ms(10));
    assert_eq!(times.longest(ROUTE), Some(ms(900)));
}

#[test]
fn the_number_of_routes_with_times_is_bounded() {
    let mut times = AnswerTimes::default();
    for route in 0..100_000 {
        times.note(at(route), RouteKey(route), ms(10));
    }
    let known = (0..100_000).filter(|route| times.longest(RouteKey(*route)).is_some()).count();
    assert!(known <= 1024, "{known}");
    assert!(known > 0);
}
