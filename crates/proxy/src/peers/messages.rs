//! Reports between nodes as messages.

use latchwheel_core::dispatch::{Coverage, RouteKey, RouteQueue, ServerKey, ServerShare, Slowdown, SpeedUpdate};
use latchwheel_protocol::v1;
use std::time::Duration;

pub(super) fn share_of(message: &v1::ServerShare) -> ServerShare {
    ServerShare {
        server: ServerKey(message.server),
        requests: message.requests,
        deferrable: message.deferrable,
        prompt_tokens: message.prompt_tokens,
        suspect: message.suspect,
        failing: message.failing,
        speed: speed_of(message),
    }
}

fn speed_of(message: &v1::ServerShare) -> SpeedUpdate {
    let age = Duration::from_millis(message.pace_age_ms.into());
    let slowdown = (message.pace_percent > 0).then_some(Slowdown { percent: message.pace_percent, age });
    let step = Duration::from_micros(message.step_us.into());
    SpeedUpdate { slowdown, step: (!step.is_zero()).then_some(step) }
}

pub(super) fn queue_of(message: &v1::RouteQueue) -> RouteQueue {
    RouteQueue { route: RouteKey(message.route), tokens: message.tokens }
}

pub(super) fn queue_message_of(queue: &RouteQueue) -> v1::RouteQueue {
    v1::RouteQueue { route: queue.route.0, tokens: queue.tokens }
}

pub(super) fn message_of(share: &ServerShare) -> v1::ServerShare {
    v1::ServerShare {
        server: share.server.0,
        requests: share.requests,
        deferrable: share.deferrable,
        prompt_tokens: share.prompt_tokens,
        suspect: share.suspect,
        failing: share.failing,
        pace_percent: share.speed.slowdown.map_or(0, |slowdown| slowdown.percent),
        pace_age_ms: share.speed.slowdown.map_or(0, |slowdown| bounded(slowdown.age.as_millis())),
        step_us: share.speed.step.map_or(0, |step| bounded(step.as_micros())),
    }
}

fn bounded(number: u128) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// How well a node hears others, as a number of a message.
pub(super) fn hearing_number(hearing: Coverage) -> u32 {
    match hearing {
        Coverage::Few => 0,
        Coverage::Most => 1,
        Coverage::Enough => 2,
    }
}

/// The same back; of a number that is not known nothing good is believed.
pub(super) fn coverage_of(number: u32) -> Coverage {
    match number {
        1 => Coverage::Most,
        2 => Coverage::Enough,
        _ => Coverage::Few,
    }
}
