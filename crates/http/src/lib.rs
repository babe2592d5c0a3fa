//! HTTP server, client and bodies with limits, on top of hyper.
//!
//! Callers, engines, the platform and operators are connected over HTTP/1.1; the processes
//! of the system use HTTP/2 with prior knowledge among themselves.

mod answer_budget;
mod answer_head;
mod body;
mod client;
mod client_guard;
mod client_port;
mod client_stream;
mod read_allowance;
mod reset_stream;
mod server;

pub use answer_budget::{AnswerBudget, AnswerShare};
pub use answer_head::{check_head, HeadFault, InterimHeads};
pub use body::{
    boxed, channel, empty, full, json, read_bounded, read_client_body, read_with_timeouts, Body, BodyFault, BodySender,
    BoxError,
};
pub use client::{AnswerTimeouts, CallFault, Client};
pub use client_guard::{ArrivingBody, ClientGuard, GuardCounts, RequestHold, Reservation};
pub use client_port::{serve_clients, ClientPort};
pub use read_allowance::ReadAllowance;
pub use reset_stream::{ResetFlag, ResetStream};
pub use server::{serve, Version};
