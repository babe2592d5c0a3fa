//! Ownership of a record in a store that may execute a call long after its caller gave up.
//!
//! Each write and each removal is conditional on the revision at which this process knows the
//! record. A late call of an earlier process, or an earlier call of this one, fails once the
//! record was written again. So a process writes its record at its start even if an equal one
//! is there.

/// What a process knows of the record that it keeps at a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnRecord {
    /// Revision of the record at the key; zero if there is none.
    present: u64,
    /// Revision of the store as of which `present` is known.
    known_as_of: u64,
    /// Revision of the last acknowledged write of this process; zero if its record is gone.
    written: u64,
}

impl OwnRecord {
    /// Revision that a write is conditional on; zero if the record must be absent.
    pub fn expected(&self) -> u64 {
        self.present
    }

    /// Revision that a removal is conditional on; `None` if the record is not the one that this
    /// process wrote.
    pub fn removable(&self) -> Option<u64> {
        self.is_held().then_some(self.written)
    }

    /// Whether the record is the one that this process wrote.
    pub fn is_held(&self) -> bool {
        self.written != 0 && self.present == self.written
    }

    /// Whether the record that this process wrote was removed or replaced.
    pub fn is_lost(&self) -> bool {
        self.written != 0 && self.present != self.written
    }

    /// Records an acknowledged write of this process.
    pub fn note_written(&mut self, revision: u64) {
        self.written = revision;
        self.note_seen(revision, revision);
    }

    /// Records the answer to a write whose condition did not hold: the record has this
    /// revision, zero if it is absent.
    pub fn note_conflict(&mut self, present: u64) {
        self.present = present;
        self.known_as_of = self.known_as_of.max(present);
    }

    /// Records that the record leaves the store with its lease.
    pub fn note_lease_ended(&mut self) {
        self.present = 0;
        self.written = 0;
    }

    /// Records the revision that the record has as of a revision of the store, zero if it is
    /// absent. Older reports are ignored. Returns whether the record of this process was lost.
    pub fn note_seen(&mut self, as_of: u64, present: u64) -> bool {
        if as_of < self.known_as_of {
            return false;
        }
        let was_held = self.is_held();
        self.known_as_of = as_of;
        self.present = present;
        was_held && !self.is_held()
    }
}
