//! Identities of nodes, servers and work, and the stable hashes that derive them.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identity of a node; derived from its name and the identity of its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// Identity of a model server; derived from its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// Identity of an online request or a batch item within one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

impl NodeId {
    /// Derives the identity from a name.
    pub fn of_name(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

impl ServerId {
    /// Derives the identity from a name.
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

/// Hasher for keys that already are hashes; uses them as they are.
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

/// Map whose keys already are hashes.
pub type HashKeyMap<K, V> = std::collections::HashMap<K, V, std::hash::BuildHasherDefault<PrehashedKeyHasher>>;
