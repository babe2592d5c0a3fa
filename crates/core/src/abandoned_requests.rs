//! Lease requests that a holder abandoned without an answer.
//!
//! A leader may have granted items to such a request and committed their start. The
//! holder reports it with its next requests for a limited time, so that the items are
//! granted again, also by the next leader or if the request arrives late.

use crate::leasing::ABANDONED_REPORT_TIME;
use crate::time::Instant;
use std::collections::BTreeMap;

/// Abandoned requests of one holder.
#[derive(Debug, Default)]
pub struct AbandonedRequests {
    report_until: BTreeMap<u64, Instant>,
}

impl AbandonedRequests {
    /// Records abandoned requests; repeated ones keep their first time.
    pub fn note(&mut self, now: Instant, requests: &[u64]) {
        for request in requests {
            self.report_until.entry(*request).or_insert(now + ABANDONED_REPORT_TIME);
        }
    }

    /// Requests to report to the leader.
    pub fn to_report(&mut self, now: Instant) -> Vec<u64> {
        self.report_until.retain(|_, report_until| *report_until > now);
        self.report_until.keys().copied().collect()
    }
}
