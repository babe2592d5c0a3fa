//! Index of the prompt prefixes cached at each server.
//!
//! The hash of a block covers all blocks before it, so equal hashes mean equal prefixes.
//! An owner adds the prompts that it sends and corrects the index from the cache events
//! of the engines, which may be delayed or lost.

use crate::identity::{stable_hash, stable_pair_hash, HashKeyMap, ServerId};
use std::collections::VecDeque;

/// Bytes of prompt text per block: about 16 tokens.
pub const BLOCK_BYTES: usize = 64;
/// Maximum number of blocks hashed per prompt.
pub const MAX_PROMPT_BLOCKS: usize = 128;
/// Maximum number of blocks stored per server; the oldest are dropped first.
const MAX_BLOCKS_PER_SERVER: usize = 4096;

/// Chained hashes of the complete blocks of a prompt.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut previous = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PROMPT_BLOCKS)
        .map(|block| {
            previous = stable_pair_hash(stable_hash(block), previous);
            previous
        })
        .collect()
}

#[derive(Debug, Default)]
struct ServerBlocks {
    cached: HashKeyMap<u64, ()>,
    order: VecDeque<u64>,
    next_event: u64,
    stale: bool,
}

/// Estimated cache contents of an owner's servers.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    servers: HashKeyMap<ServerId, ServerBlocks>,
}

/// Cache changes reported by an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number; rises by one with each event.
    pub sequence: u64,
    /// Blocks added to the cache.
    pub stored: Vec<u64>,
    /// Blocks evicted from the cache.
    pub evicted: Vec<u64>,
}

impl PrefixIndex {
    /// Records that a prompt with these blocks was sent to a server.
    pub fn note_sent(&mut self, server: ServerId, blocks: &[u64]) {
        self.servers.entry(server).or_default().insert(blocks);
    }

    /// Applies a cache event and returns whether the index of the server is stale. A gap
    /// in the sequence numbers makes the index stale until [`PrefixIndex::resync`].
    pub fn note_event(&mut self, server: ServerId, event: &CacheEvent) -> bool {
        let entry = self.servers.entry(server).or_default();
        if event.sequence < entry.next_event {
            return entry.stale;
        }
        if event.sequence > entry.next_event {
            entry.stale = true;
        }
        entry.next_event = event.sequence + 1;
        entry.insert(&event.stored);
        entry.remove(&event.evicted);
        entry.stale
    }

    /// Replaces the blocks of a server by a full list from the engine.
    pub fn resync(&mut self, server: ServerId, next_event: u64, blocks: &[u64]) {
        let entry = self.servers.entry(server).or_default();
        entry.clear();
        entry.insert(blocks);
        entry.next_event = next_event;
        entry.stale = false;
    }

    /// Removes a server.
    pub fn forget(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Number of leading blocks cached at the server; zero if its index is stale. Binary
    /// search finds the end of the prefix, as the hash of a block covers all before it.
    pub fn matched(&self, server: ServerId, blocks: &[u64]) -> usize {
        match self.servers.get(&server) {
            Some(entry) if !entry.stale => blocks.partition_point(|block| entry.cached.contains_key(block)),
            _ => 0,
        }
    }
}

impl ServerBlocks {
    /// Adds blocks and drops the oldest above the limit, in the order of first insertion.
    fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.cached.insert(*block, ()).is_none() {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > MAX_BLOCKS_PER_SERVER {
            if let Some(oldest) = self.order.pop_front() {
                self.cached.remove(&oldest);
            }
        }
    }

    fn remove(&mut self, blocks: &[u64]) {
        let mut removed = false;
        for block in blocks {
            removed |= self.cached.remove(block).is_some();
        }
        if removed {
            let cached = &self.cached;
            self.order.retain(|block| cached.contains_key(block));
        }
    }

    fn clear(&mut self) {
        self.cached.clear();
        self.order.clear();
    }
}
