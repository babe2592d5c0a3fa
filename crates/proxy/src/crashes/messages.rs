//! News of requests that end servers, as messages between nodes.

use latchwheel_core::dispatch::ServerKey;
use latchwheel_core::fingerprint::{Fingerprint, RequestKey, RequestShape};
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
