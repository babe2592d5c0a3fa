//! Typed log events: one JSON line each on standard output.
//!
//! Every decision that touches a request or changes what a process believes
//! has an event. Its number never changes its meaning; `docs/LOG-EVENTS.md`
//! lists them. The volume is bounded: routine events beyond a budget of lines
//! a second are kept only for a sample of the requests, and a reader that
//! doesn't read loses lines instead of stopping the process. What was dropped
//! is told in a line of its own.

mod budget;
mod event;
mod output;

pub use budget::LineBudget;
pub use event::{Event, ItemEnd, Weight};
pub use output::{emit, start};
