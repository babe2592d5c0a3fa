//! Index of cached prompt prefixes by hashes of token blocks.
//!
//! Each block's hash covers all blocks before it, so equal hashes mean equal
//! prefixes. An owner fills the index from what it sent and corrects it by
//! the engines' events, which come late and with gaps.

use crate::identity::{stable_hash, stable_pair_hash, HashKeyMap, ServerId};
use std::collections::VecDeque;

/// Bytes of prompt text per block: 16 tokens at about 4 bytes each.
pub const BLOCK_BYTES: usize = 64;
/// Most blocks of one prompt that are hashed.
pub const MAX_PROMPT_BLOCKS: usize = 128;
/// Most blocks remembered per server; older ones are dropped first.
const MAX_BLOCKS_PER_SERVER: usize = 4096;

/// Chained hashes of the prompt's whole blocks.
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

/// What is known of the caches of an owner's servers.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    servers: HashKeyMap<ServerId, ServerBlocks>,
}

/// A cache event of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number.
    pub sequence: u64,
    /// Blocks that are cached now.
    pub stored: Vec<u64>,
    /// Blocks that were evicted to make room.
    pub evicted: Vec<u64>,
}

impl PrefixIndex {
    /// Notes that a prompt with these blocks was sent to a server.
    pub fn note_sent(&mut self, server: ServerId, blocks: &[u64]) {
        self.servers.entry(server).or_default().insert(blocks);
    }

    /// Takes an event. A gap in the sequence numbers marks the index of the
    /// server stale until [`PrefixIndex::resync`]; returns whether it is.
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

    /// Replaces what is known of a server by a whole list from the engine.
    pub fn resync(&mut self, server: ServerId, next_event: u64, blocks: &[u64]) {
        let entry = self.servers.entry(server).or_default();
        entry.clear();
        entry.insert(blocks);
        entry.next_event = next_event;
        entry.stale = false;
    }

    /// Forgets a server.
    pub fn forget(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Number of leading blocks that the server holds; a stale index counts
    /// for nothing. A block's hash covers those before it, so that the end of
    /// the known prefix is found by halving.
    pub fn matched(&self, server: ServerId, blocks: &[u64]) -> usize {
        match self.servers.get(&server) {
            Some(entry) if !entry.stale => blocks.partition_point(|block| entry.cached.contains_key(block)),
            _ => 0,
        }
    }
}

impl ServerBlocks {
    /// Remembers blocks, the oldest ones of the server giving way. The order
    /// is that of the first sight: what the engine still holds of older ones
    /// its events tell.
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
