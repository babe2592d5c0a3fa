//! The cause of a failure as far as the lines show it.

use crate::line::LogLine;
use latchwheel_core::code::ResultCode;
use serde_json::Value;

/// A dependency that was lost this long before still counts as a circumstance
/// if nothing says that it was regained, in milliseconds.
const CIRCUMSTANCE_TIME: u64 = 30_000;

/// Says what became of a request or job and why. `own` are its lines, in
/// order of time; `lines` are those of all nodes.
pub(crate) fn cause(lines: &[LogLine], own: &[&LogLine]) -> String {
    let Some(decisive) = own.iter().rev().find_map(|line| verdict(line, own).map(|verdict| (line, verdict))) else {
        return "the lines show no end: it goes on, or its lines were sampled out (see LinesDropped)".into();
    };
    let (line, verdict) = decisive;
    let circumstances = circumstances(lines, line);
    if circumstances.is_empty() {
        return verdict;
    }
    format!("{verdict}; at that time {}", circumstances.join(", "))
}

fn verdict(line: &LogLine, own: &[&LogLine]) -> Option<String> {
    let after = line.number("after_ms");
    match line.name.as_str() {
        "RequestAnswered" => Some(format!(
            "answered with status {} after {} ms in {} attempts{}",
            line.number("status"),
            line.number("total_ms"),
            line.number("attempts"),
            turn(own)
        )),
        "RequestRefused" => Some(refusal(line, own)),
        "AnswerCut" => Some(format!(
            "the answer was broken off after {after} ms: {} at server {}",
            words(line.text("reason")),
            line.text("server")
        )),
        "ClientGone" => Some(format!("the client left after {after} ms, before its answer was whole")),
        "RequestUnfinished" => Some(format!(
            "no complete answer: the process ended {after} ms after the request was read{}",
            match line.text("server") {
                "" => ", before it was sent to a server".to_owned(),
                server => format!(", {} ms after it was sent to server {server}", line.number("sent_ms")),
            }
        )),
        "JobRefused" => Some(format!("the job was not kept: {}", words(line.text("reason")))),
        "ItemEnded" if line.text("end") == "given_up" => Some(given_up(line, own)),
        "ItemEnded" => Some(format!("completed {after} ms after its job was taken{}", interruptions(own))),
        "JobLeft" => Some(format!("the worker left the job: {}{}", words(line.text("reason")), interruptions(own))),
        _ => None,
    }
}

fn refusal(line: &LogLine, own: &[&LogLine]) -> String {
    let code = u32::try_from(line.number("code")).ok().and_then(ResultCode::from_number);
    let meaning = code.map_or("an unknown code", ResultCode::text);
    let mut text = format!(
        "refused with {} ({}) after {} ms: {meaning}",
        line.number("status"),
        line.number("code"),
        line.number("after_ms")
    );
    if let Some(failed) = own.iter().rev().find(|line| line.name == "AttemptFailed") {
        let (reason, server) = (words(failed.text("reason")), failed.text("server"));
        text.push_str(&format!("; its last attempt failed: {reason} at server {server}"));
    }
    text.push_str(&turn(own));
    text
}

/// How a request stood among those that waited for slots, if it had to wait.
fn turn(own: &[&LogLine]) -> String {
    let claim = own.iter().rev().find(|line| line.name == "ClaimGranted" || line.name == "ClaimRefused");
    let Some(claim) = claim else { return String::new() };
    let waited = claim.number("waited_ms");
    let how = match claim.name.as_str() {
        "ClaimRefused" => format!("it got no slot in {waited} ms"),
        _ if claim.fields.get("late") == Some(&Value::Bool(true)) => {
            format!("it waited {waited} ms for its turn, too long to be in time")
        }
        _ => format!("it waited {waited} ms for its turn"),
    };
    let tenant = match claim.text("tenant") {
        "" => String::new(),
        tenant => format!(" of tenant {tenant}"),
    };
    format!(
        "; {how}: precedence {}{tenant}, share 1 of {} tenants in it, {} claims of {} went before it, {} waited of its own tenant",
        claim.number("precedence"),
        claim.number("tenants"),
        claim.number("ahead"),
        claim.number("waiting"),
        claim.number("tenant_waiting"),
    )
}

fn given_up(line: &LogLine, own: &[&LogLine]) -> String {
    let item = line.text("item");
    let runs = own.iter().filter(|line| line.name == "ItemAttemptFailed" && line.text("item") == item);
    let reasons: Vec<String> = runs.map(|line| words(line.text("reason"))).collect();
    let reason = match line.text("reason") {
        "" => String::new(),
        reason => format!(" ({})", words(reason)),
    };
    format!("item {item} was given up{reason} after {} failures: {}", line.number("failures"), reasons.join(", "))
}

fn interruptions(own: &[&LogLine]) -> String {
    let count = own.iter().filter(|line| line.name == "ItemAttemptFailed").count();
    let gave_way = own.iter().filter(|line| line.text("reason") == "gave_way").count();
    match count {
        0 => String::new(),
        _ => format!("; {count} runs were broken off, {gave_way} of them to let online work go first"),
    }
}

/// What else the node believed then: dependencies away, a server on its way
/// out, the process leaving.
fn circumstances(lines: &[LogLine], decisive: &LogLine) -> Vec<String> {
    let from = decisive.time.saturating_sub(CIRCUMSTANCE_TIME);
    let before = lines.iter().filter(|line| line.time >= from && line.time <= decisive.time);
    let mut found: Vec<(String, String)> = Vec::new();
    for line in before.filter(|line| line.node == decisive.node) {
        match line.name.as_str() {
            "DependencyLost" => {
                let dependency = line.text("dependency").to_owned();
                found.retain(|(key, _)| *key != dependency);
                let text = format!("{dependency} did not answer ({})", words(line.text("reason")));
                found.push((dependency, text));
            }
            "DependencyRegained" => found.retain(|(key, _)| key != line.text("dependency")),
            "Stopping" => found.push(("stopping".into(), "the node was stopping".into())),
            "ServerDraining" | "ServerGone" if line.text("server") == decisive.text("server") => {
                found.push(("server".into(), "its server was leaving".into()));
            }
            _ => {}
        }
    }
    found.into_iter().map(|(_, text)| text).collect()
}

fn words(name: &str) -> String {
    name.replace('_', " ")
}
