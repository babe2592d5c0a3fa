//! Lease requests whose answer a holder takes no more.
//!
//! A leader may have granted items to such a request and committed their start. The
//! holder tells it with its next requests for a time, so that the items are granted
//! again: to this leader, to the next one, and once more where the request arrives late.

use crate::leasing::ABANDONED_REPORT_TIME;
use crate::time::Instant;
use std::collections::BTreeMap;

/// The requests of one holder that it has given up.
#[derive(Debug, Default)]
pub struct AbandonedRequests {
    until: BTreeMap<u64, Instant>,
}

impl AbandonedRequests {
    /// These requests were given up now or before.
    pub fn note(&mut self, now: Instant, requests: &[u64]) {
        for request in requests {
            self.until.entry(*request).or_insert(now + ABANDONED_REPORT_TIME);
        }
    }

    /// The requests to tell.
    pub fn to_report(&mut self, now: Instant) -> Vec<u64> {
        self.until.retain(|_, until| *until > now);
        self.until.keys().copied().collect()
    }
}
