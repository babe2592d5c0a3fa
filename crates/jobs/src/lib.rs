//! Batch jobs on a shared record store.
//!
//! A node that takes a job writes it to the store before it says so. Workers
//! divide the open jobs among themselves, run the items and append results to
//! the job's list; any node reads the list from the store. Nothing of a job
//! lives only in a process, so that any of them may be lost at any time.
//!
//! - [`desk`]: taking, ending and reading jobs, at any node.
//! - [`worker`]: running them.
//! - [`nodes`]: which nodes there are.
//! - `leaving_workers`: which of the workers wind up.
//! - `quarantine_records`: verdicts on requests that end servers.
//! - [`spool`]: keeping new jobs while the store is away.
//! - [`queue_gate`]: keeping what waits within its limit.
//! - [`relay`]: handing a new job to another front.
//! - [`layout`]: the records.
//!
//! An end counts from its acknowledgement, wherever the job is: `ending` ends it in the
//! store, `early_end` is the end of a job that isn't there yet, `job_entry` brings jobs
//! in and heeds that, `asked_ends` goes on with ends that the store hasn't taken yet,
//! `spooled_ends` keeps those on disks.
//!
//! A worker shows the jobs that it runs to the other nodes (`owned_jobs`), so
//! that readers need the store only where the worker can't tell.

mod asked_ends;
mod assignment;
pub mod desk;
mod disk_arrivals;
mod drain_turns;
mod early_end;
mod ending;
mod expiry;
mod handed;
mod item_failures;
mod item_run;
mod item_starts;
mod item_trial;
mod job_confirmation;
mod job_entry;
mod job_listing;
mod job_retake;
mod job_route;
mod job_run;
pub mod layout;
mod leaving_runs;
mod leaving_workers;
mod making_room;
pub mod nodes;
mod owned_jobs;
mod quarantine_records;
pub mod queue_gate;
mod recent;
pub mod relay;
mod results;
mod run_registry;
pub mod spool;
mod spooled_ends;
mod stalled_items;
mod start_order;
mod start_permission;
mod unfinished;
pub mod worker;
mod worker_calls;
mod worker_context;

pub use desk::{DeskFault, JobDesk, ResultPage};
pub use handed::Submission;
pub use item_run::outgoing_of;
pub use layout::{ItemBody, JobBody, ListedResult, NodeRecord, NodeRole, FLEET_PREFIX};
pub use nodes::{Membership, Nodes, OwnNode};
pub use owned_jobs::OwnedJobs;
pub use queue_gate::{QueueGate, QueueVerdict};
pub use relay::serve_relay;
pub use spool::Spool;
pub use start_order::{StartOrder, StartRank};
pub use worker::{run_worker, WorkerHandle, WorkerRules};
pub use worker_calls::{ITEM_BODY_PATH, RESULTS_PATH};
