//! The records under one prefix as a node knows them, for its own use and for
//! other nodes that ask what is newer than what they know.
//!
//! Invariants: the records are complete as of `revision`. Every removal after
//! `floor` is remembered, so that whoever knows everything up to a revision of
//! at least `floor` can be told the changes only.

use crate::follow::Told;
use crate::{Change, Changes, Listing, Record};
use latchwheel_protocol::v1;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Removals that are remembered.
const REMOVED_LIMIT: usize = 4096;

/// The records under a prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedPrefix {
    records: BTreeMap<String, Record>,
    removed: VecDeque<(String, u64)>,
    floor: u64,
    revision: u64,
    known: bool,
}

impl CachedPrefix {
    /// Whether anything is known.
    pub(crate) fn is_known(&self) -> bool {
        self.known
    }

    /// Revision as of which the records are complete; zero if nothing is known.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes all records at one moment.
    pub(crate) fn take_listing(&mut self, listing: &Listing) {
        let present: BTreeSet<&str> = listing.records.iter().map(|record| record.key.as_str()).collect();
        let missing: Vec<String> = self.records.keys().filter(|key| !present.contains(key.as_str())).cloned().collect();
        for key in missing {
            self.remove(key, listing.revision);
        }
        self.records = listing.records.iter().map(|record| (record.key.clone(), record.clone())).collect();
        if !self.known {
            self.floor = listing.revision;
        }
        self.known = true;
        self.revision = self.revision.max(listing.revision);
    }

    /// Takes changes that follow what is known.
    pub(crate) fn take_changes(&mut self, changes: &Changes) {
        for change in &changes.changes {
            match change {
                Change::Written(record) => {
                    self.records.insert(record.key.clone(), record.clone());
                }
                Change::Removed { key, revision } => self.remove(key.clone(), *revision),
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    fn remove(&mut self, key: String, revision: u64) {
        self.records.remove(&key);
        self.removed.push_back((key, revision));
        while self.removed.len() > REMOVED_LIMIT {
            if let Some((_, revision)) = self.removed.pop_front() {
                self.floor = self.floor.max(revision);
            }
        }
    }

    /// Whether there is news for somebody who knows everything up to a revision.
    pub(crate) fn has_news(&self, after: u64) -> bool {
        if !self.known {
            return false;
        }
        let written = || self.records.values().any(|record| record.revision > after);
        let removed = || self.removed.iter().rev().any(|(_, revision)| *revision > after);
        after < self.floor || written() || removed()
    }

    /// What is told to somebody who knows everything up to a revision.
    pub(crate) fn news(&self, prefix: &str, after: u64) -> v1::PrefixRecords {
        let all = after < self.floor;
        let newer = |revision: u64| all || revision > after;
        let written = self.records.values().filter(|record| newer(record.revision)).map(message_of).collect();
        let removed = self.removed.iter().filter(|(_, revision)| !all && newer(*revision));
        let removed = removed.map(|(key, revision)| v1::RemovedRecord { key: key.clone(), revision: *revision });
        v1::PrefixRecords {
            prefix: prefix.to_owned(),
            revision: self.revision,
            all,
            written,
            removed: removed.collect(),
        }
    }
}

fn message_of(record: &Record) -> v1::CachedRecord {
    v1::CachedRecord { key: record.key.clone(), value: record.value.clone(), revision: record.revision }
}

fn record_of(message: v1::CachedRecord) -> Record {
    Record { key: message.key, value: message.value, revision: message.revision }
}

/// Reads what another node told.
pub(crate) fn read_news(told: v1::PrefixRecords) -> Told {
    let written = told.written.into_iter().map(record_of);
    if told.all {
        return Told::Listing(Listing { records: written.collect(), revision: told.revision });
    }
    let removed = told.removed.into_iter();
    let removed = removed.map(|removed| Change::Removed { key: removed.key, revision: removed.revision });
    let mut changes: Vec<Change> = written.map(Change::Written).chain(removed).collect();
    changes.sort_by_key(Change::revision);
    Told::Changes(Changes { changes, revision: told.revision })
}
