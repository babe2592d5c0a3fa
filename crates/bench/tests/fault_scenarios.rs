//! Runs each scenario under `tests/faults` with separate processes and checks
//! that nothing which was promised was broken. Where a recorded trace stands
//! beside a scenario, its online requests are replayed.

use latchwheel_bench::load::{plan, read_trace};
use latchwheel_bench::run::{run_requests, VariantReport};
use latchwheel_bench::scenario::{Allowed, Scenario};
use latchwheel_bench::variant::Variant;
use std::path::Path;

fn run(path: &Path) -> datatest_stable::Result<()> {
    let scenario = Scenario::read(path)?;
    let trace = path.with_extension("jsonl");
    let requests = if trace.exists() { read_trace(&trace, scenario.online.len())? } else { plan(&scenario) };
    let sent = requests.len() as u64;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_requests(&scenario, Variant::Latchwheel, requests))?;
    assert_eq!(report.online.sent, sent, "every request was sent");
    check(&report, &scenario.allowed);
    Ok(())
}

fn check(report: &VariantReport, allowed: &Allowed) {
    let (online, batch) = (&report.online, &report.batch);
    assert_eq!(online.wrong, 0, "an answer was not the whole answer to its request: {report:#?}");
    assert_eq!(online.timeout, 0, "a request got no answer: {report:#?}");
    assert_eq!(batch.lost, 0, "an accepted item has no result: {report:#?}");
    assert_eq!(batch.unreadable, 0, "the results of an accepted job can't be read: {report:#?}");
    assert_eq!(batch.doubled, 0, "an item has two results: {report:#?}");
    assert_eq!(batch.wrong, 0, "a result belongs to another item: {report:#?}");
    assert_eq!(batch.completed + batch.failed, batch.items, "a job did not end: {report:#?}");
    assert_eq!(report.double_runs, 0, "work that must not run twice did: {report:#?}");
    assert_eq!(report.wrong_not_run, 0, "a request that was said not to have run had run: {report:#?}");
    assert_eq!(online.refused_without_time, 0, "a refusal did not say when to come back: {report:#?}");
    let refused: u64 = online.refused.values().sum();
    assert!(online.cut <= allowed.cut, "answers were cut off: {report:#?}");
    assert!(online.unreachable <= allowed.unreachable, "nodes were not found: {report:#?}");
    assert!(refused <= allowed.refused, "requests were refused: {report:#?}");
    assert!(batch.failed <= allowed.failed_items, "items failed: {report:#?}");
    let same = report.revisions.windows(2).all(|pair| pair[0] == pair[1]);
    assert!(same && report.revisions[0] > 0, "nodes differ in their table: {report:#?}");
}

datatest_stable::harness! {
    { test = run, root = "tests/faults", pattern = r"\.toml$" },
}
