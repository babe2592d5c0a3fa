//! Load and cache reports of an engine.

use serde::Deserialize;

/// Load and capacity of an engine at an earlier moment.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Tokens in its cache memory.
    pub tokens: u64,
    /// Requests that can run at once.
    pub slots: u32,
    /// Capacity of its cache memory, in tokens.
    pub token_capacity: u64,
    /// Loaded models and adapters.
    pub models: Vec<String>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine takes no new requests.
    pub draining: bool,
}

/// One cache event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEventLine {
    /// Sequence number; gaps are possible.
    pub sequence: u64,
    /// Stored blocks.
    pub stored: Vec<u64>,
    /// Evicted blocks.
    pub evicted: Vec<u64>,
}

/// Cache events, oldest first.
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
    /// Sequence number of the next event.
    pub next: u64,
}
