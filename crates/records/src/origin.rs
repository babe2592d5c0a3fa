//! Where the records under a prefix that a node uses came from.

/// Who told what is known of a prefix, last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The record store.
    Store,
    /// Another node's cache.
    Upstream,
    /// A snapshot that was kept on a disk before a start, this node's or another one's.
    Snapshot,
}

impl Origin {
    /// A word for the log and the metrics.
    pub fn word(self) -> &'static str {
        match self {
            Origin::Store => "store",
            Origin::Upstream => "upstream",
            Origin::Snapshot => "snapshot",
        }
    }
}
