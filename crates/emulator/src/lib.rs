//! Stand-ins for what latchwheel meets outside: model engines, key-value
//! service, machine list, weight store, and the network between processes.
//!
//! Each speaks the published protocol of what it stands for and has an
//! administration call that switches faults. None is meant for production.

pub mod crowd;
pub mod engine;
pub mod platform;
pub mod relay;
pub mod request;
pub mod site;
