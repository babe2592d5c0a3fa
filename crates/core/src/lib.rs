//! The decision logic of latchwheel as state machines that do no I/O.
//!
//! Each state machine takes the current time and an event and returns actions, which the
//! runtime crates execute. Time is passed in as [`time::Instant`] and randomness as a seeded
//! generator, so that the same code runs in a node and in deterministic simulations.

pub mod abandoned_requests;
pub mod admission;
pub mod answer_end;
pub mod attempts;
pub mod byte_budget;
pub mod circuit_breaker;
pub mod client_budget;
pub mod code;
pub mod configuration;
pub mod directory;
pub mod dispatch;
pub mod event_stream;
pub mod fingerprint;
pub mod headroom;
pub mod holding;
pub mod identity;
pub mod item_progress;
pub mod item_trials;
pub mod item_urgency;
pub mod job_route;
pub mod jobs;
pub mod key_acceptance;
pub mod lapse_grace;
pub mod leasing;
pub mod limits;
pub mod listing_pause;
pub mod live_workers;
pub mod membership;
pub mod own_record;
pub mod ownership;
pub mod parsed_size;
pub mod pending_cancellations;
pub mod permits;
pub mod placement;
pub mod planned_stop;
pub mod preemption;
pub mod prefix;
pub mod quarantine;
pub mod queue_limit;
pub mod record_source;
pub mod replication;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod run_times;
pub mod scheduler;
pub mod second_attempt;
pub mod software;
pub mod start_lease;
pub mod startup_hold;
pub mod startup_pacing;
pub mod startup_snapshot;
pub mod stream_origins;
pub mod table;
pub mod tenants;
pub mod time;
