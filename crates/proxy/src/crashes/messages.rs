//! News of requests that end servers, as messages between nodes.

use latchwheel_core::dispatch::ServerKey;
use latchwheel_core::fingerprint::{Fingerprint, RequestContent, RequestKey, RequestShape, MAX_SHARED_PARTS};
use latchwheel_core::quarantine::QuarantineEntry;
use latchwheel_core::time::WallTime;
use latchwheel_protocol::v1;

pub(super) fn request_message(key: &RequestKey) -> v1::RequestKey {
    let Fingerprint(fingerprint) = key.fingerprint;
    v1::RequestKey { high: (fingerprint >> 64) as u64, low: fingerprint as u64, shape: key.shape.0 }
}

pub(super) fn request_of(message: &v1::RequestKey) -> RequestKey {
    let fingerprint = u128::from(message.high) << 64 | u128::from(message.low);
    RequestKey { shape: RequestShape(message.shape), fingerprint: Fingerprint(fingerprint) }
}

/// A request that was running at a server when its connection was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RunningRequest {
    pub(super) key: RequestKey,
    /// Keys of the parts of its prompt that other requests may share.
    pub(super) parts: Vec<RequestKey>,
}

impl RunningRequest {
    pub(super) fn of(content: &RequestContent<'_>) -> Self {
        Self { key: content.key(), parts: content.part_keys().collect() }
    }
}

pub(super) fn crash_message(server: ServerKey, requests: &[RunningRequest]) -> v1::ServerCrash {
    let parts_of = |request: &RunningRequest| v1::SharedParts {
        parts: request.parts.iter().filter_map(|part| part.fingerprint.part()).collect(),
    };
    v1::ServerCrash {
        server: server.0,
        requests: requests.iter().map(|request| request_message(&request.key)).collect(),
        parts: requests.iter().map(parts_of).collect(),
    }
}

pub(super) fn running_requests_of(crash: &v1::ServerCrash) -> Vec<RunningRequest> {
    let parts_of = |number: usize| {
        let parts = crash.parts.get(number).map(|shared| shared.parts.as_slice()).unwrap_or_default();
        parts.iter().take(MAX_SHARED_PARTS).copied().map(RequestKey::of_part).collect()
    };
    let requests = crash.requests.iter().enumerate();
    requests.map(|(number, key)| RunningRequest { key: request_of(key), parts: parts_of(number) }).collect()
}

pub(super) fn verdict_message(verdict: &QuarantineEntry) -> v1::QuarantineVerdict {
    v1::QuarantineVerdict {
        request: Some(request_message(&verdict.request)),
        changed_at_ms: verdict.changed_at.0,
        until_ms: verdict.until.0,
        offences: verdict.offences,
        lifted: verdict.lifted,
        servers: verdict.servers.iter().map(|server| server.0).collect(),
    }
}

/// `None` if the message names no request.
pub(super) fn verdict_of(message: &v1::QuarantineVerdict) -> Option<QuarantineEntry> {
    Some(QuarantineEntry {
        request: request_of(message.request.as_ref()?),
        changed_at: WallTime(message.changed_at_ms),
        until: WallTime(message.until_ms),
        offences: message.offences,
        lifted: message.lifted,
        servers: message.servers.iter().copied().map(ServerKey).collect(),
    })
}
