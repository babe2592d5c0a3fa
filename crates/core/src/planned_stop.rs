//! Decides which requests a process still takes after it was told to stop.
//!
//! A request whose own time is over before the process ends is answered in any case. Any other
//! one is taken only while it is likely to be answered in time, by the longest recent answer of
//! its route. What can't be answered a second time is not taken on a likelihood alone once
//! clients are sent to other nodes.

use crate::dispatch::RouteKey;
use crate::routes::RequestKind;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time over which the longest answer of a route is kept, twice that at most.
const ANSWER_WINDOW: Duration = Duration::from_secs(10);
/// Factor by which an answer may take longer than the longest recent one of its route.
const ANSWER_TIME_FACTOR: f64 = 1.5;
/// Time that any answer may take beyond that.
const ANSWER_TIME_SLACK: Duration = Duration::from_millis(200);
/// Most routes with stored times.
const ROUTE_LIMIT: usize = 1024;

/// Longest answer time of a route, by window.
#[derive(Clone, Copy, Debug)]
struct Longest {
    window_start: Instant,
    current: Duration,
    previous: Duration,
}

/// Longest recent answer times of the routes of a node.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<RouteKey, Longest>,
}

impl AnswerTimes {
    /// Records the time from sending a request to the end of its complete answer.
    pub fn note(&mut self, now: Instant, route: RouteKey, time: Duration) {
        if self.routes.len() >= ROUTE_LIMIT && !self.routes.contains_key(&route) {
            self.routes.retain(|_, longest| now.since(longest.window_start) < 2 * ANSWER_WINDOW);
            if self.routes.len() >= ROUTE_LIMIT {
                return;
            }
        }
        let new = Longest { window_start: now, current: Duration::ZERO, previous: Duration::ZERO };
        let longest = self.routes.entry(route).or_insert(new);
        if now.since(longest.window_start) >= ANSWER_WINDOW {
            *longest = Longest { window_start: now, current: Duration::ZERO, previous: longest.current };
        }
        longest.current = longest.current.max(time);
    }

    /// Longest recent answer time; that of the last answers if there were none lately.
    pub fn longest(&self, route: RouteKey) -> Option<Duration> {
        self.routes.get(&route).map(|longest| longest.current.max(longest.previous))
    }
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopTimes {
    /// From this time on new clients are sent to other nodes.
    pub clients_leave: Instant,
    /// By this time every request in progress has to be answered.
    pub last_answer: Instant,
}

/// A request that may be sent to a server during a stop.
#[derive(Clone, Copy, Debug)]
pub struct StoppingRequest {
    /// Its kind.
    pub kind: RequestKind,
    /// End of the time that it has.
    pub until: Instant,
    /// Longest recent answer time of its route, if there were answers.
    pub longest_answer: Option<Duration>,
}

/// How late a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendLimit {
    /// For as long as it has time: it is answered before the process ends in any case.
    OwnTime,
    /// Until then.
    Until(Instant),
    /// It may not be sent.
    Never,
}

impl StopTimes {
    /// How late the request may be sent to a server.
    pub fn send_limit(&self, request: &StoppingRequest) -> SendLimit {
        if request.until <= self.last_answer {
            return SendLimit::OwnTime;
        }
        let Some(longest_answer) = request.longest_answer else { return SendLimit::Never };
        let likely = self.last_answer - (longest_answer.mul_f64(ANSWER_TIME_FACTOR) + ANSWER_TIME_SLACK);
        match request.kind {
            RequestKind::Idempotent => SendLimit::Until(likely),
            RequestKind::AtMostOnce | RequestKind::Stream { .. } | RequestKind::Batch => {
                SendLimit::Until(likely.min(self.clients_leave))
            }
        }
    }
}
