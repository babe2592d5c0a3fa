//! HTTP server, client and bodies with limits, on top of hyper.
//!
//! Callers, engines, the platform and operators are connected over HTTP/1.1; the processes
//! of the system use HTTP/2 with prior knowledge among themselves.

mod body;
mod client;
mod read_allowance;
mod reset_stream;
mod server;

pub use body::{
    boxed, channel, empty, full, json, read_bounded, read_with_timeouts, Body, BodyFault, BodySender, BoxError,
};
pub use client::{AnswerTimeouts, CallFault, Client};
pub use read_allowance::ReadAllowance;
pub use reset_stream::{ResetFlag, ResetStream};
pub use server::{serve, serve_with_idle_timeout, Version};
