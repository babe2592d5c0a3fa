//! What latchwheel needs of a record store that its nodes share.
//!
//! The store keeps small records under keys. One counter of revisions rises
//! with each change; several records can be changed together on condition
//! that others have not changed. An adapter implements [`RecordStore`] for
//! the store of a platform; [`memory::MemoryStore`] is the one for tests.

mod cached_prefix;
mod contact;
mod entry;
mod follow;
mod guarded_store;
mod kept;
pub mod memory;
mod origin;
mod owned_key;
mod prefix_ages;
mod registration;
mod snapshot_folder;
mod told_news;
mod unheard_spans;
mod watch_cache;

pub use contact::{Contact, RegistrationEpoch};
pub use follow::Followed;
pub use guarded_store::GuardedStore;
pub use kept::KeptPrefix;
pub use origin::Origin;
pub use owned_key::OwnedKey;
pub use registration::{Registrar, Registration};
pub use snapshot_folder::{SnapshotFiles, SnapshotFolder, UnusableFile};
pub use watch_cache::{WatchCache, CACHE_PATH};

use bytes::Bytes;
use std::future::Future;
use std::time::Duration;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A record as it was written.
    Written(Record),
    /// A record was removed at this revision.
    Removed {
        /// Key.
        key: String,
        /// Revision of its removal.
        revision: u64,
    },
}

impl Change {
    /// Key of the record.
    pub fn key(&self) -> &str {
        match self {
            Change::Written(record) => &record.key,
            Change::Removed { key, .. } => key,
        }
    }

    /// Revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Change::Written(record) => record.revision,
            Change::Removed { revision, .. } => *revision,
        }
    }
}

/// Records under a prefix, complete as of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The records, ordered by key.
    pub records: Vec<Record>,
    /// Revision of the store from which a watch goes on.
    pub revision: u64,
}

/// Changes, and the revision from which to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// In the order of their revisions.
    pub changes: Vec<Change>,
    /// Revision from which the watch goes on.
    pub revision: u64,
}

/// Lease of records that stay until they are removed.
pub const NO_LEASE: u64 = 0;

/// A record to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Lease with which it ends, or [`NO_LEASE`].
    pub lease: u64,
}

/// Changes that are made together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revision that they must have; zero means absent.
    pub expected: Vec<(String, u64)>,
    /// Records to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// What a transaction came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// All was done, at this revision.
    Done(u64),
    /// Nothing was done: the expected keys are as follows.
    Differs(Vec<Record>),
    /// Nothing was done: there is no such lease.
    NoLease,
}

/// Why a call brought no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordsFault {
    /// The store did not do it, and won't: it answers, and has no room for the call.
    Refused,
    /// Nothing was done: the store can't be reached, or says that it can't serve anybody.
    Unavailable,
    /// The store answers, but it does not take such a call; nothing was done.
    Rejected,
    /// It can't be told; a change may yet be made if its condition holds.
    Unknown,
    /// The history that a watch asked for is gone.
    HistoryLost,
    /// The answer is not understood.
    BadAnswer,
}

impl RecordsFault {
    /// A word for the log.
    pub fn word(self) -> &'static str {
        match self {
            RecordsFault::Refused => "refused",
            RecordsFault::Unavailable => "unavailable",
            RecordsFault::Rejected => "rejected",
            RecordsFault::Unknown => "no_answer",
            RecordsFault::HistoryLost => "history_lost",
            RecordsFault::BadAnswer => "bad_answer",
        }
    }

    /// Whether it may be that the store answers nobody.
    pub fn may_be_outage(self) -> bool {
        matches!(self, RecordsFault::Unavailable | RecordsFault::Unknown)
    }

    /// Whether the store is there nevertheless.
    pub fn shows_contact(self) -> bool {
        matches!(self, RecordsFault::Rejected | RecordsFault::HistoryLost)
    }
}

/// A record store. Reads are linearizable.
pub trait RecordStore: Send + Sync + 'static {
    /// Reads one record.
    ///
    /// # Errors
    /// [`RecordsFault`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Record>, RecordsFault>> + Send;

    /// Reads a record that is written once and never changed. A store that can
    /// answer from a copy that is behind may do so: what is found there is right,
    /// and what is not is looked for again.
    ///
    /// # Errors
    /// [`RecordsFault`].
    fn get_unchanging(&self, key: &str) -> impl Future<Output = Result<Option<Record>, RecordsFault>> + Send {
        self.get(key)
    }

    /// Reads the records under a prefix whose keys follow `after`, all of
    /// them where it is empty.
    ///
    /// # Errors
    /// [`RecordsFault`].
    fn list_after(&self, prefix: &str, after: &str) -> impl Future<Output = Result<Listing, RecordsFault>> + Send;

    /// Reads all records under a prefix.
    ///
    /// # Errors
    /// [`RecordsFault`].
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, RecordsFault>> + Send {
        self.list_after(prefix, "")
    }

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    /// [`RecordsFault`]; after `HistoryLost` the prefix has to be listed anew.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, RecordsFault>> + Send;

    /// Makes changes together.
    ///
    /// # Errors
    /// [`RecordsFault`].
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = Result<Committed, RecordsFault>> + Send;

    /// Takes a lease of that length; its records end with it.
    ///
    /// # Errors
    /// [`RecordsFault`].
    fn grant(&self, length: Duration) -> impl Future<Output = Result<u64, RecordsFault>> + Send;

    /// Renews a lease; `false` means that it has ended.
    ///
    /// # Errors
    /// [`RecordsFault`].
    fn renew(&self, lease: u64) -> impl Future<Output = Result<bool, RecordsFault>> + Send;

    /// Largest value of a record in bytes.
    fn value_limit(&self) -> usize;
}
