//! Load, experiments and fault scenarios against separate processes on
//! loopback, and the scale run.

pub mod batches;
pub mod faults;
pub mod load;
pub mod plot;
pub mod processes;
pub mod recorder;
pub mod report;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod variant;
