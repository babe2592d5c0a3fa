//! A model engine: continuous batching, prefix cache, priorities, streams
//! that can be resumed and cancelled, late cache events, lagging load, and
//! fenced orders.

mod answer;
mod cache;
mod handler;
mod model;
mod report;
mod sequence;

pub use handler::Engine;
pub use model::{EngineFaults, EngineSettings, SlotTime};
