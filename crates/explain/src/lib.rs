//! Reading typed log lines of all nodes: the way of one request or job to its
//! cause, and the summary of a day.

mod cause;
mod line;
mod summary;
mod timeline;

pub use line::{read_lines, LogLine};
pub use summary::summary;
pub use timeline::explain;
