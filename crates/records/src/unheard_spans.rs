//! Spans of revisions of whose changes one by one a node has not heard.
//!
//! A list tells what is there at one revision, and changes that another node tells leave
//! out what that node has not heard of. A record that came and went in between is named
//! by neither. Whoever knows a prefix as of a revision within such a span may know that
//! record, and is told all records: changes would never take it away.

use std::collections::VecDeque;

/// Spans that are remembered. Each is an outage of the source, or a change of it; whoever
/// is further behind is told all records.
const LIMIT: usize = 16;

/// The span between two revisions, without these themselves.
#[derive(Clone, Copy, Debug)]
struct Span {
    after: u64,
    before: u64,
}

/// The spans that are remembered, the oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnheardSpans(VecDeque<Span>);

impl UnheardSpans {
    /// What happened between two revisions was not heard of one by one. Gives back the
    /// revision before which nothing is remembered any more, if there is one.
    pub(crate) fn note(&mut self, after: u64, before: u64) -> Option<u64> {
        if before <= after.saturating_add(1) {
            return None;
        }
        self.0.push_back(Span { after, before });
        if self.0.len() <= LIMIT {
            return None;
        }
        self.0.pop_front().map(|span| span.before)
    }

    /// Whether somebody who knows everything up to a revision, and records up to another
    /// one, may know a record of which nothing was heard.
    pub(crate) fn may_hide_from(&self, revision: u64, newest_record: u64) -> bool {
        let newest = newest_record.max(revision);
        self.0.iter().any(|span| revision < span.before && newest > span.after)
    }
}
