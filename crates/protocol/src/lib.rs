//! Messages between latchwheel processes, generated from
//! `proto/latchwheel.proto` by `cargo run -p xtask -- protocol`.
//!
//! The generated code is committed so that a build needs no generator.

/// Version 1 of the messages.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod v1 {
    include!("generated/latchwheel.v1.rs");
}

pub use prost::Message;
pub use v1::*;
