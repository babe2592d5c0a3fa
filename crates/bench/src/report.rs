//! Reports as text and JSON.

use crate::run::VariantReport;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// The whole report of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Length of the measured part, in seconds.
    pub seconds: u64,
    /// Variants, in the order in which they were run.
    pub variants: Vec<VariantReport>,
}

impl Report {
    /// The report as a table.
    pub fn text(&self) -> String {
        let mut text = format!("scenario {} seed {} length {} s\n", self.scenario, self.seed, self.seconds);
        // Writing into a string can't fail.
        let _ = writeln!(
            text,
            "{:<12}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>11}{:>9}",
            "variant",
            "ttft p50",
            "p95",
            "p99",
            "gap p50",
            "gap p95",
            "gap p99",
            "service",
            "items/s",
            "idle used",
            "MB"
        );
        for variant in &self.variants {
            let (first, gap) = (&variant.online.first_token, &variant.online.token_gap);
            let _ = writeln!(
                text,
                "{:<12}{:>9.1}{:>9.1}{:>9.1}{:>9.2}{:>9.2}{:>9.2}{:>9.4}{:>9.0}{:>11.3}{:>9.1}",
                variant.variant.name(),
                first.p50,
                first.p95,
                first.p99,
                gap.p50,
                gap.p95,
                gap.p99,
                variant.online.service,
                variant.batch.items_per_second,
                variant.idle_filled,
                variant.node_megabytes,
            );
        }
        for variant in &self.variants {
            text.push_str(&details(variant));
        }
        text
    }
}

/// Two reports side by side, variant by variant, with the ratio of the
/// second to the first.
pub fn compare(first: &Report, second: &Report) -> String {
    let mut text = format!("{} against {}\n", first.scenario, second.scenario);
    for before in &first.variants {
        let Some(after) = second.variants.iter().find(|other| other.variant == before.variant) else { continue };
        let rows = [
            ("first token p50 ms", before.online.first_token.p50, after.online.first_token.p50),
            ("first token p99 ms", before.online.first_token.p99, after.online.first_token.p99),
            ("token gap p95 ms", before.online.token_gap.p95, after.online.token_gap.p95),
            ("service", before.online.service, after.online.service),
            ("items a second", before.batch.items_per_second, after.batch.items_per_second),
            ("idle slots filled", before.idle_filled, after.idle_filled),
        ];
        for (name, before_value, after_value) in rows {
            let ratio = after_value / before_value;
            let variant = before.variant.name();
            let _ = writeln!(text, "{variant:<12}{name:<20}{before_value:>12.3}{after_value:>12.3}{ratio:>9.3}");
        }
    }
    text
}

fn details(variant: &VariantReport) -> String {
    let (online, batch) = (&variant.online, &variant.batch);
    let mut text = format!(
        "{}: online sent {} whole {} wrong {} cut {} unreachable {} timeout {} refused {:?} (without time {}, slowest {:.1} ms)\n",
        variant.variant.name(),
        online.sent,
        online.whole,
        online.wrong,
        online.cut,
        online.unreachable,
        online.timeout,
        online.refused,
        online.refused_without_time,
        online.slowest_refusal,
    );
    let _ = writeln!(
        text,
        "  batch jobs {} items {} in time {} completed {} failed {} lost {} doubled {} wrong {} drain {:.1} s, acknowledged in {:.1} ms; double runs {} wrong not-run {}; revisions {:?}",
        batch.jobs,
        batch.items,
        batch.completed_in_time,
        batch.completed,
        batch.failed,
        batch.lost,
        batch.doubled,
        batch.wrong,
        batch.drain_seconds,
        batch.acknowledge_milliseconds,
        variant.double_runs,
        variant.wrong_not_run,
        variant.revisions,
    );
    for fault in &variant.faults {
        let _ = writeln!(
            text,
            "  fault {} at {} s: edits taken {} refused {} unknown {}",
            fault.kind, fault.at_seconds, fault.edits_taken, fault.edits_refused, fault.edits_unknown
        );
    }
    text
}
