//! Reports of an engine.

use serde::Deserialize;

/// Load and profile of an engine, as of some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Tokens in its cache memory.
    pub tokens: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that fit into its cache memory.
    pub token_capacity: u64,
    /// Models and adapters that are loaded.
    pub models: Vec<String>,
    /// Role.
    pub role: String,
    /// Whether it takes no new requests.
    pub draining: bool,
}

/// One cache event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEventLine {
    /// Sequence number; events can be missing.
    pub sequence: u64,
    /// Blocks that were stored.
    pub stored: Vec<u64>,
    /// Blocks that were evicted.
    pub evicted: Vec<u64>,
}

/// Cache events, the oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// The events.
    pub events: Vec<CacheEventLine>,
}

/// All cached blocks.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CachedBlocks {
    /// The blocks.
    pub blocks: Vec<u64>,
    /// Sequence number of the event that comes next.
    pub next: u64,
}
