//! Typed log events: one JSON line each on standard output.
//!
//! Every decision about a request and every change of a process's state has an event.
//! The meaning of an event number never changes; `docs/LOG-EVENTS.md` lists them.
//!
//! The volume is bounded: beyond a budget of lines per second, routine events are written
//! only for a sample of the requests. If the reader of the log is slow, lines are dropped
//! instead of blocking the process. A separate event reports the number of dropped lines.
//! Metrics count every event, whether its line is written or not.

mod budget;
mod event;
mod metrics;
mod output;
mod tenant_metrics;

pub use budget::LineBudget;
pub use event::{Event, Importance, ItemOutcome};
pub use metrics::{
    count_claim, count_store_call, observe_records_age, set_clients_held, set_known_record_ages, set_machine_room,
    set_server_loads, set_server_time_factors, text as metrics_text,
};
pub use output::{emit, start};
pub use tenant_metrics::SlotOutcome;
