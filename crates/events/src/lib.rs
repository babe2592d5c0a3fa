//! Typed log events: one JSON line each on standard output.
//!
//! Every decision that touches a request or changes what a process believes
//! has an event. Its number never changes its meaning; `docs/LOG-EVENTS.md`
//! lists them. The volume is bounded: routine events beyond a budget of lines
//! a second are kept only for a sample of the requests, and a reader that
//! doesn't read loses lines instead of stopping the process. What was dropped
//! is told in a line of its own. Every event also counts in the metrics,
//! whether its line is written or not.

mod budget;
mod event;
mod metrics;
mod output;
mod tenant_metrics;

pub use budget::LineBudget;
pub use event::{Event, Importance, ItemOutcome};
pub use metrics::{
    count_claim, count_store_call, observe_records_age, set_known_records_ages, set_machine_room, set_server_loads,
    set_server_time_factors, text as metrics_text,
};
pub use output::{emit, start};
pub use tenant_metrics::SlotOutcome;
