//! One replica's data on disk: hard state, log, and applied state.
//!
//! The log is synced to disk before anything is acknowledged. The applied
//! state is written without a sync: whatever a crash takes of it is applied
//! anew from the log. Log records carry a checksum of their own.

use bytes::Bytes;
use latchwheel_core::code::ResultCode;
use latchwheel_core::jobs::{Effect, JobState, StateTable};
use latchwheel_core::replication::{HardState, LogBase, Restored};
use latchwheel_protocol::v1::{Entry, SnapshotOffer, StateRecord};
use latchwheel_protocol::Message;
use redb::{Database, Durability, ReadTransaction, ReadableDatabase, TableDefinition, WriteTransaction};
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the database that are cached.
const CACHE_BYTES: usize = 8 << 20;
const CHECKSUM_BYTES: usize = 8;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<(u32, &[u8]), &[u8]> = TableDefinition::new("state");

const META_HARD: &str = "hard";
const META_BASE: &str = "base";
const META_APPLIED: &str = "applied";

/// What is wrong with the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// A read or write failed; the disk may be full.
    Io(String),
    /// A record is damaged.
    Damaged(String),
}

impl DiskFault {
    /// The result code that goes with the fault.
    pub fn code(&self) -> ResultCode {
        match self {
            DiskFault::Io(_) => ResultCode::DiskFault,
            DiskFault::Damaged(_) => ResultCode::Damaged,
        }
    }
}

impl std::fmt::Display for DiskFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let number = self.code().number();
        match self {
            DiskFault::Io(text) => write!(formatter, "{number}: the disk refused: {text}"),
            DiskFault::Damaged(text) => write!(formatter, "{number}: a record is damaged: {text}"),
        }
    }
}

impl std::error::Error for DiskFault {}

impl From<std::io::Error> for DiskFault {
    fn from(fault: std::io::Error) -> Self {
        DiskFault::Io(fault.to_string())
    }
}

macro_rules! from_storage_fault {
    ($($fault:ty),+) => {
        $(impl From<$fault> for DiskFault {
            fn from(fault: $fault) -> Self {
                let fault: redb::Error = fault.into();
                match fault {
                    redb::Error::Corrupted(text) => DiskFault::Damaged(text),
                    other => DiskFault::Io(other.to_string()),
                }
            }
        })+
    };
}

from_storage_fault!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError,
    redb::SetDurabilityError
);

/// One replica's database.
#[derive(Debug)]
pub struct GroupDisk {
    database: Database,
}

impl GroupDisk {
    /// Opens the database, or makes it.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn open(path: &Path) -> Result<Self, DiskFault> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).create(path)?;
        let disk = Self { database };
        let transaction = disk.database.begin_write()?;
        transaction.open_table(META)?;
        transaction.open_table(LOG)?;
        transaction.open_table(STATE)?;
        transaction.commit()?;
        Ok(disk)
    }

    /// Whether nothing was ever written.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn is_new(&self) -> Result<bool, DiskFault> {
        let transaction = self.database.begin_read()?;
        Ok(read_meta(&transaction, META_BASE)?.is_none())
    }

    /// Writes the base that the log begins with.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn write_base(&self, hard: HardState, base: &LogBase) -> Result<(), DiskFault> {
        let transaction = self.database.begin_write()?;
        write_meta(&transaction, META_HARD, &encode_hard(hard))?;
        write_meta(&transaction, META_BASE, &encode_base(base))?;
        write_meta(&transaction, META_APPLIED, &encode_base(base))?;
        transaction.commit()?;
        Ok(())
    }

    /// Reads what a replica starts from.
    ///
    /// # Errors
    /// [`DiskFault::Damaged`] where a log record fails its checksum or is
    /// missing.
    pub fn restore(&self) -> Result<Restored, DiskFault> {
        let transaction = self.database.begin_read()?;
        let base = decode_base(read_meta(&transaction, META_BASE)?)?;
        let applied = decode_base(read_meta(&transaction, META_APPLIED)?)?;
        let hard = decode_hard(read_meta(&transaction, META_HARD)?)?;
        let mut entries = Vec::new();
        let table = transaction.open_table(LOG)?;
        for record in table.range(base.index + 1..)? {
            let (index, value) = record?;
            let entry = decode_entry(index.value(), value.value())?;
            if entry.index != base.index + 1 + entries.len() as u64 {
                return Err(DiskFault::Damaged(format!("log record {} is missing", entry.index - 1)));
            }
            entries.push(entry);
        }
        Ok(Restored { hard, base, entries, applied: applied.index })
    }

    /// Loads the applied state.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn load_state(&self) -> Result<JobState, DiskFault> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(STATE)?;
        let mut state = JobState::default();
        for kind in StateTable::ALL {
            if kind == StateTable::Item {
                continue;
            }
            for record in table.range(table_range(kind))? {
                let (key, value) = record?;
                state.load(kind, key.value().1, value.value());
            }
        }
        Ok(state)
    }

    /// Puts hard state and log changes on stable storage.
    ///
    /// # Errors
    /// [`DiskFault`]; then nothing of it may be acknowledged.
    pub fn persist(&self, hard: HardState, changes: &[LogChange]) -> Result<(), DiskFault> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        write_meta(&transaction, META_HARD, &encode_hard(hard))?;
        {
            let mut log = transaction.open_table(LOG)?;
            for change in changes {
                if let Some(from) = change.truncate_from {
                    log.retain_in(from.., |_, _| false)?;
                }
                for entry in &change.entries {
                    log.insert(entry.index, encode_entry(entry).as_slice())?;
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Writes the effects of applied entries together with the applied base.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn apply(&self, applied: &LogBase, effects: &[Effect]) -> Result<(), DiskFault> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::None)?;
        {
            let mut state = transaction.open_table(STATE)?;
            for effect in effects {
                match effect {
                    Effect::Put(table, key, value) => {
                        state.insert((*table as u32, key.as_slice()), value.as_ref())?;
                    }
                    Effect::Delete(table, key) => {
                        state.remove((*table as u32, key.as_slice()))?;
                    }
                    Effect::DeletePrefix(table, prefix) => {
                        let end = prefix_end(prefix);
                        let range = (*table as u32, prefix.as_slice())..(*table as u32, end.as_slice());
                        state.retain_in(range, |_, _| false)?;
                    }
                }
            }
        }
        write_meta(&transaction, META_APPLIED, &encode_base(applied))?;
        transaction.commit()?;
        Ok(())
    }

    /// Drops the log up to a base.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn compact(&self, base: &LogBase) -> Result<(), DiskFault> {
        // The applied state behind the base must be on stable storage before
        // the entries that made it are dropped; the commit syncs both.
        let transaction = self.database.begin_write()?;
        transaction.open_table(LOG)?.retain_in(..=base.index, |_, _| false)?;
        write_meta(&transaction, META_BASE, &encode_base(base))?;
        transaction.commit()?;
        Ok(())
    }

    /// A consistent view of the state as of now.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn view(&self) -> Result<StateView, DiskFault> {
        Ok(StateView { transaction: self.database.begin_read()? })
    }

    /// Writes records of another replica's state.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn write_records(&self, records: &[StateRecord]) -> Result<(), DiskFault> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::None)?;
        {
            let mut state = transaction.open_table(STATE)?;
            for record in records {
                state.insert((record.table, record.key.as_ref()), record.value.as_ref())?;
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

/// One change of the log.
#[derive(Clone, Debug, Default)]
pub struct LogChange {
    /// Entries from this index on are dropped first.
    pub truncate_from: Option<u64>,
    /// Entries to add.
    pub entries: Vec<Entry>,
}

/// A consistent view of a replica's applied state.
#[derive(Debug)]
pub struct StateView {
    transaction: ReadTransaction,
}

impl StateView {
    /// The last applied entry and the members as of then.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn base(&self) -> Result<LogBase, DiskFault> {
        decode_base(read_meta(&self.transaction, META_APPLIED)?)
    }

    /// One value.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn value(&self, table: StateTable, key: &[u8]) -> Result<Option<Bytes>, DiskFault> {
        let state = self.transaction.open_table(STATE)?;
        let value = state.get((table as u32, key))?;
        Ok(value.map(|value| Bytes::copy_from_slice(value.value())))
    }

    /// Up to `most` values whose keys begin with `prefix`, from a key on.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn values(
        &self,
        table: StateTable,
        prefix: &[u8],
        from: &[u8],
        most: usize,
    ) -> Result<Vec<(Vec<u8>, Bytes)>, DiskFault> {
        let state = self.transaction.open_table(STATE)?;
        let end = prefix_end(prefix);
        let range = (table as u32, from)..(table as u32, end.as_slice());
        let mut values = Vec::new();
        for record in state.range(range)?.take(most) {
            let (key, value) = record?;
            values.push((key.value().1.to_vec(), Bytes::copy_from_slice(value.value())));
        }
        Ok(values)
    }

    /// Records behind a key, of all tables, up to so many bytes.
    ///
    /// # Errors
    /// [`DiskFault`].
    pub fn page(&self, after: Option<(u32, &[u8])>, bytes: usize) -> Result<Vec<StateRecord>, DiskFault> {
        use std::ops::Bound;
        let state = self.transaction.open_table(STATE)?;
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut records = Vec::new();
        let mut taken = 0;
        for record in state.range::<(u32, &[u8])>((start, Bound::Unbounded))? {
            let (key, value) = record?;
            let (table, key) = key.value();
            taken += key.len() + value.value().len();
            let key = Bytes::copy_from_slice(key);
            records.push(StateRecord { table, key, value: Bytes::copy_from_slice(value.value()) });
            if taken >= bytes {
                break;
            }
        }
        Ok(records)
    }
}

fn table_range(table: StateTable) -> std::ops::Range<(u32, &'static [u8])> {
    (table as u32, &[])..(table as u32 + 1, &[])
}

/// The first key behind all keys that begin with the prefix. Prefixes end
/// with a zero byte, so that adding one never overflows.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

fn read_meta(transaction: &ReadTransaction, key: &str) -> Result<Option<Vec<u8>>, DiskFault> {
    let table = transaction.open_table(META)?;
    let value = table.get(key)?;
    Ok(value.map(|value| value.value().to_vec()))
}

fn write_meta(transaction: &WriteTransaction, key: &str, value: &[u8]) -> Result<(), DiskFault> {
    transaction.open_table(META)?.insert(key, value)?;
    Ok(())
}

fn encode_hard(hard: HardState) -> Vec<u8> {
    [hard.term.to_le_bytes(), hard.voted_for.to_le_bytes()].concat()
}

fn decode_hard(bytes: Option<Vec<u8>>) -> Result<HardState, DiskFault> {
    let Some(bytes) = bytes else { return Ok(HardState::default()) };
    let words: Vec<u64> =
        bytes.chunks_exact(8).filter_map(|word| word.try_into().ok()).map(u64::from_le_bytes).collect();
    match words.as_slice() {
        [term, voted_for] => Ok(HardState { term: *term, voted_for: *voted_for }),
        _ => Err(DiskFault::Damaged("the hard state".into())),
    }
}

/// The base as a message.
pub(crate) fn base_message(base: &LogBase) -> SnapshotOffer {
    SnapshotOffer { index: base.index, entry_term: base.term, members: Some(base.members.clone()) }
}

/// The base of a message.
pub(crate) fn base_of_message(message: SnapshotOffer) -> LogBase {
    LogBase { index: message.index, term: message.entry_term, members: message.members.unwrap_or_default() }
}

fn encode_base(base: &LogBase) -> Vec<u8> {
    base_message(base).encode_to_vec()
}

fn decode_base(bytes: Option<Vec<u8>>) -> Result<LogBase, DiskFault> {
    let Some(bytes) = bytes else { return Ok(LogBase::default()) };
    SnapshotOffer::decode(bytes.as_slice())
        .map(base_of_message)
        .map_err(|_| DiskFault::Damaged("the base of the log".into()))
}

fn encode_entry(entry: &Entry) -> Vec<u8> {
    let body = entry.encode_to_vec();
    let mut record = Vec::with_capacity(CHECKSUM_BYTES + body.len());
    record.extend_from_slice(&xxh3_64(&body).to_le_bytes());
    record.extend_from_slice(&body);
    record
}

fn decode_entry(index: u64, record: &[u8]) -> Result<Entry, DiskFault> {
    let damaged = || DiskFault::Damaged(format!("log record {index}"));
    let (checksum, body) = record.split_at_checked(CHECKSUM_BYTES).ok_or_else(damaged)?;
    if checksum != xxh3_64(body).to_le_bytes() {
        return Err(damaged());
    }
    Entry::decode(body).map_err(|_| damaged())
}
