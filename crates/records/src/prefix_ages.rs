//! How old the records are that another node told, in the time of this one.
//!
//! The answer was made no earlier than the request was sent plus the time for which it
//! was held there: how long it was on its way is not known, and must not make the
//! records seem newer.

use latchwheel_protocol::v1;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Until when all changes under each prefix of an answer are told.
pub(crate) struct PrefixAges(BTreeMap<String, Instant>);

impl PrefixAges {
    /// Reads the ages out of the answer to a request that was sent at this time.
    pub(crate) fn read(answer: &mut v1::RecordsAnswer, asked_at: Instant) -> Self {
        let made_at = asked_at + Duration::from_millis(u64::from(answer.held_ms));
        // An answer that claims to be from the future counts as made now.
        let made_at = made_at.min(Instant::now());
        let ages = std::mem::take(&mut answer.prefix_ages).into_iter();
        let complete = ages.filter_map(|told| {
            let age = Duration::from_millis(u64::from(told.age_ms));
            made_at.checked_sub(age).map(|at| (told.prefix, at))
        });
        Self(complete.collect())
    }

    /// Until when all changes under a prefix are told, where that is known.
    pub(crate) fn complete_as_of(&self, prefix: &str) -> Option<Instant> {
        self.0.get(prefix).copied()
    }
}
