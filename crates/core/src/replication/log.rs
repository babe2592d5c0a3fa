//! The part of a replica's log that is held in memory.

use super::HardState;
use latchwheel_protocol::v1::{Entry, EntryKind, Members};
use latchwheel_protocol::Message;
use std::collections::VecDeque;

/// The entry just before the log in memory, with the members as of that entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogBase {
    /// Index of the entry.
    pub index: u64,
    /// Term of the entry.
    pub term: u64,
    /// Members as of the entry.
    pub members: Members,
}

/// State of a replica as read from its disk.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard: HardState,
    /// Entry before the first of the log.
    pub base: LogBase,
    /// Entries after the base.
    pub entries: Vec<Entry>,
    /// Index up to which entries were applied to the state.
    pub applied: u64,
}

#[derive(Debug)]
pub(super) struct Log {
    base: LogBase,
    entries: VecDeque<Entry>,
    payload_bytes: usize,
    members: Members,
    members_index: u64,
}

impl Log {
    pub(super) fn new(restored: Restored) -> Self {
        let members = restored.base.members.clone();
        let members_index = restored.base.index;
        let mut log = Self { base: restored.base, entries: VecDeque::new(), payload_bytes: 0, members, members_index };
        for entry in restored.entries {
            log.push(entry);
        }
        log
    }

    pub(super) fn base(&self) -> &LogBase {
        &self.base
    }

    pub(super) fn base_at(&self, index: u64) -> LogBase {
        LogBase { index, term: self.term_at(index).unwrap_or(0), members: self.members_at(index) }
    }

    pub(super) fn members(&self) -> &Members {
        &self.members
    }

    pub(super) fn members_index(&self) -> u64 {
        self.members_index
    }

    pub(super) fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.payload_bytes)
    }

    pub(super) fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.base.index, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.term, |entry| entry.term)
    }

    /// Term of the entry at an index, if it is the base or in the log.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if entry.kind() == EntryKind::Members {
            self.take_members(&entry);
        }
        self.payload_bytes += entry.payload.len();
        self.entries.push_back(entry);
    }

    fn take_members(&mut self, entry: &Entry) {
        // The leader encodes this payload, so decoding does not fail.
        if let Ok(members) = Members::decode(entry.payload.clone()) {
            self.members = members;
            self.members_index = entry.index;
        }
    }

    /// Entries from an index on, up to `bytes` of payload but at least one entry
    /// if there is any.
    pub(super) fn slice(&self, from: u64, bytes: usize) -> Vec<Entry> {
        let mut taken = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            taken += entry.payload.len();
            if taken > bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    pub(super) fn range(&self, from: u64, to: u64) -> Vec<Entry> {
        (from..=to).filter_map(|index| self.get(index).cloned()).collect()
    }

    /// Merges a leader's entries. Returns the index from which conflicting
    /// entries were removed, and the entries that were added.
    pub(super) fn merge(&mut self, entries: Vec<Entry>) -> (Option<u64>, Vec<Entry>) {
        let mut truncated = None;
        let mut added = Vec::new();
        for entry in entries {
            if entry.index <= self.base.index {
                continue;
            }
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    truncated = Some(entry.index);
                    self.truncate(entry.index);
                }
                None => {}
            }
            added.push(entry.clone());
            self.push(entry);
        }
        (truncated, added)
    }

    fn truncate(&mut self, from: u64) {
        while self.last_index() >= from {
            if let Some(entry) = self.entries.pop_back() {
                self.payload_bytes -= entry.payload.len();
            }
        }
        if self.members_index >= from {
            let last = self.last_index();
            self.members_index = self.last_members_index(last);
            self.members = self.members_at(last);
        }
    }

    fn last_members_index(&self, index: u64) -> u64 {
        let is_members = |entry: &&Entry| entry.index <= index && entry.kind() == EntryKind::Members;
        self.entries.iter().rev().find(is_members).map_or(self.base.index, |entry| entry.index)
    }

    /// Members by the last members entry up to an index.
    fn members_at(&self, index: u64) -> Members {
        let at = self.last_members_index(index);
        match self.get(at) {
            Some(entry) => Members::decode(entry.payload.clone()).unwrap_or_default(),
            None => self.base.members.clone(),
        }
    }

    pub(super) fn compact(&mut self, index: u64) {
        if index <= self.base.index || index > self.last_index() {
            return;
        }
        self.base = self.base_at(index);
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            if let Some(entry) = self.entries.pop_front() {
                self.payload_bytes -= entry.payload.len();
            }
        }
        self.members_index = self.members_index.max(self.base.index);
    }

    pub(super) fn reset(&mut self, base: LogBase) {
        self.entries.clear();
        self.payload_bytes = 0;
        self.members = base.members.clone();
        self.members_index = base.index;
        self.base = base;
    }
}
