//! Store groups: the replicated log and the state of batch jobs on disk.
//!
//! [`disk`] holds one replica's data in an embedded database, [`group`] runs
//! one replica on a thread of its own: it feeds the state machines of
//! `latchwheel-core` and carries their actions out in order, so that nothing
//! is told before it is on stable storage.

pub mod disk;
pub mod folder;
pub mod group;
pub mod keep_alive;
mod lease_desk;
mod proposals;
mod session;
