//! A node: every role that its settings allow, wired from the other crates.

mod backend;
mod batch;
mod client_ports;
mod completions;
mod configuration;
mod forward;
mod limits;
mod members;
mod metrics;
mod node;
mod online;
mod owner;
mod peers;
mod planned_stop;
mod register;
mod servers;
mod store_calls;
mod stores;
mod stream;

pub mod logging;
pub mod settings;

pub use node::{Addresses, Node};
