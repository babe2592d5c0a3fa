//! Client of the model engines: requests, resumed streams, load reports,
//! cache events and fenced orders.

mod client;
mod report;
mod stream;

pub use client::{EngineAnswer, EngineClient, EngineFault, EngineRequest};
pub use report::{CacheEventLine, CacheEvents, CachedBlocks, LoadReport};
pub use stream::{AnswerStream, StreamEvent};
