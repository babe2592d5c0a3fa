//! A day in figures.

use crate::line::LogLine;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Outcomes, refusals by reason, failed attempts, jobs, and dependencies that
/// were away, from the lines of all nodes. Routine lines may be sampled, so
/// that counts of answers are lower bounds; failures are told whole.
pub fn summary(lines: &[LogLine]) -> String {
    let mut text = String::new();
    let (Some(first), Some(last)) = (lines.first(), lines.last()) else { return "no lines\n".into() };
    let _ = writeln!(text, "{} lines over {:.1} s", lines.len(), (last.time - first.time) as f64 / 1000.0);
    section(&mut text, "answers by route and status", lines, "RequestAnswered", &["route", "status"]);
    section(&mut text, "refusals by code", lines, "RequestRefused", &["code", "status"]);
    section(&mut text, "answers broken off", lines, "AnswerCut", &["reason"]);
    section(&mut text, "failed attempts", lines, "AttemptFailed", &["reason"]);
    section(&mut text, "failed runs of items", lines, "ItemAttemptFailed", &["reason"]);
    section(&mut text, "ends of items", lines, "ItemEnded", &["end"]);
    section(&mut text, "jobs kept, by disks", lines, "JobAccepted", &["disks"]);
    section(&mut text, "jobs not kept", lines, "JobRefused", &["reason"]);
    section(&mut text, "dependencies lost, by node", lines, "DependencyLost", &["dependency", "node"]);
    section(&mut text, "starts", lines, "Started", &["node"]);
    let dropped: u64 = lines
        .iter()
        .filter(|line| line.name == "LinesDropped")
        .map(|line| line.number("over_budget") + line.number("not_taken"))
        .sum();
    let _ = writeln!(text, "lines dropped: {dropped}");
    text
}

fn section(text: &mut String, title: &str, lines: &[LogLine], name: &str, fields: &[&str]) {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.name == name) {
        let key: Vec<String> = fields.iter().map(|field| field_text(line, field)).collect();
        *counts.entry(key.join(" ")).or_default() += 1;
    }
    if counts.is_empty() {
        return;
    }
    let _ = writeln!(text, "{title}:");
    for (key, count) in counts {
        let _ = writeln!(text, "{count:>8}  {key}");
    }
}

fn field_text(line: &LogLine, field: &str) -> String {
    match line.fields.get(field) {
        Some(serde_json::Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}
