//! Shared helpers over hyper: serving, calling, bounded bodies.
//!
//! Towards callers, engines, platform and operators the program speaks
//! HTTP/1.1, between its own processes HTTP/2 with prior knowledge.

mod body;
mod client;
mod server;

pub use body::{channel, empty, full, json, pass, read_bounded, read_moving, Body, BodyFault, BodySender};
pub use client::{AnswerTimes, CallFault, Client};
pub use server::{serve, serve_resting, Version};
