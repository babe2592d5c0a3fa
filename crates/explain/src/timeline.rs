//! The way of one request or job through all nodes.

use crate::cause::cause;
use crate::line::LogLine;
use std::fmt::Write;

/// A readable timeline of a request, job or item, ending in its cause as far
/// as the lines show it; `None` if no line is about it.
pub fn explain(lines: &[LogLine], subject: &str) -> Option<String> {
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.concerns(subject)).collect();
    let first = own.first()?;
    let mut text = String::new();
    for line in &own {
        let after = line.time - first.time;
        let _ = writeln!(text, "{after:>8} ms  {:<20} {:<18} {}", line.node, line.name, line.own_fields());
    }
    let _ = writeln!(text, "cause: {}", cause(lines, &own));
    Some(text)
}
