//! Deterministic simulation of store groups: replicas with disks, lease holders
//! with engines, clients that resend, and a network that loses, delays, reorders
//! and duplicates messages. The same seed gives the same run.

#![allow(dead_code)]

mod actions;
mod checks;
mod client;
mod holder;
mod machine;
mod schedule;
mod seeds;
mod upkeep;
mod world;

pub use schedule::{run_schedule, FaultKind, ScheduleSettings};
pub use seeds::for_each_seed;
