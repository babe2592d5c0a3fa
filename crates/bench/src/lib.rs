//! Load, experiments and fault scenarios against separate processes on
//! loopback.

pub mod added_latency;
pub mod batches;
pub mod decision;
pub mod faults;
pub mod load;
pub mod plot;
pub mod process_figures;
pub mod processes;
pub mod recorder;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod store_slope;
pub mod variant;
