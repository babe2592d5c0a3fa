//! Keys of the stored state.

/// Table of the stored state. Numbers are on disk and are never used again.
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
    /// Registered requests.
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

    /// The table with this number.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|table| *table as u32 == number)
    }
}

/// Makes keys.
pub struct StateKey;

impl StateKey {
    /// Key of an item or of what belongs to it: name, zero byte, position.
    pub fn item(name: &str, position: u64) -> Vec<u8> {
        let mut key = Self::item_prefix(name);
        key.extend_from_slice(&position.to_be_bytes());
        key
    }

    /// What the keys of all items of a name begin with.
    pub fn item_prefix(name: &str) -> Vec<u8> {
        let mut key = Vec::with_capacity(name.len() + 9);
        key.extend_from_slice(name.as_bytes());
        key.push(0);
        key
    }
}

/// Position in an item's key.
pub fn position_of_key(key: &[u8]) -> Option<u64> {
    let start = key.len().checked_sub(8)?;
    Some(u64::from_be_bytes(key[start..].try_into().ok()?))
}

pub(super) fn split_item_key(key: &[u8]) -> Option<(&str, u64)> {
    let position = position_of_key(key)?;
    let name = key.get(..key.len().checked_sub(9)?)?;
    Some((std::str::from_utf8(name).ok()?, position))
}
