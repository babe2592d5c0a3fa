//! Tables and keys of the stored state.

/// Table of the stored state. The numbers are stored on disk and must not be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u32)]
pub enum StateTable {
    /// File records.
    File = 0,
    /// Items by file and position.
    Item = 1,
    /// Job records.
    Job = 2,
    /// Results by job and position.
    Result = 3,
    /// Starts of items that must not run twice, by job and position.
    Start = 4,
    /// Requests that may run only once, by key.
    Request = 5,
}

impl StateTable {
    /// All tables, in the order in which a replica loads them.
    pub const ALL: [StateTable; 6] = [
        StateTable::File,
        StateTable::Item,
        StateTable::Job,
        StateTable::Result,
        StateTable::Start,
        StateTable::Request,
    ];

    /// Table with this number, if any.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|table| *table as u32 == number)
    }
}

/// Constructs the keys of the stored state.
pub struct StateKey;

impl StateKey {
    /// Key of an item, its result or its start: name of the file or job, zero byte, position.
    pub fn item(name: &str, position: u64) -> Vec<u8> {
        let mut key = Self::item_prefix(name);
        key.extend_from_slice(&position.to_be_bytes());
        key
    }

    /// Common prefix of the item keys of a file or job.
    pub fn item_prefix(name: &str) -> Vec<u8> {
        let mut key = Vec::with_capacity(name.len() + 9);
        key.extend_from_slice(name.as_bytes());
        key.push(0);
        key
    }
}

/// Position that an item's key ends with.
pub fn position_of_key(key: &[u8]) -> Option<u64> {
    let start = key.len().checked_sub(8)?;
    Some(u64::from_be_bytes(key[start..].try_into().ok()?))
}

pub(super) fn split_item_key(key: &[u8]) -> Option<(&str, u64)> {
    let position = position_of_key(key)?;
    let name = key.get(..key.len().checked_sub(9)?)?;
    Some((std::str::from_utf8(name).ok()?, position))
}
