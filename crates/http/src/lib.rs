//! Shared helpers over hyper: serving, calling, bounded bodies.
//!
//! Towards callers, engines, platform and operators the program speaks
//! HTTP/1.1, between its own processes HTTP/2 with prior knowledge.

mod body;
mod client;
mod server;

pub use body::{boxed, channel, empty, full, json, read_bounded, read_with_timeouts, Body, BodyFault, BodySender};
pub use client::{AnswerTimeouts, CallFault, Client};
pub use server::{serve, serve_with_idle_timeout, Version};
