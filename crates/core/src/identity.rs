//! Identities of nodes, servers and pieces of work.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A node; derived from its name and the identity of its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// A model server; derived from its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A piece of work inside one node: an online request or a batch item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

impl NodeId {
    /// The identity that goes with a name.
    pub fn of_name(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

impl ServerId {
    /// The identity that goes with a name.
    pub fn of_name(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

/// A hash that is the same in every process and version.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// A stable hash of two values, for rendezvous hashing.
pub fn stable_pair_hash(first: u64, second: u64) -> u64 {
    xxh3_64_with_seed(&first.to_le_bytes(), second)
}

/// Hasher for keys that are hashes already.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrehashedKeyHasher(u64);

impl std::hash::Hasher for PrehashedKeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = stable_pair_hash(stable_hash(bytes), self.0);
    }

    fn write_u64(&mut self, key: u64) {
        self.0 ^= key;
    }
}

/// Map whose keys are hashes already.
pub type HashKeyMap<K, V> = std::collections::HashMap<K, V, std::hash::BuildHasherDefault<PrehashedKeyHasher>>;
