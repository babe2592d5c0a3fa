//! A server that is leaving crashes while it writes outputs whose ends only its connections
//! mark: no result may be listed as completed with a part of its output.

use crate::client::{item_ids, read};
use crate::server::{whole_output, Pace};
use crate::site::{hand_in, wait_for, Site};
use crate::{Outcome, Run};
use std::time::Duration;
use tokio::time::Instant;

const EVENTS: u64 = 30;
const PACE: Pace =
    Pace { events: EVENTS, first_events: EVENTS, gap: Duration::from_millis(150), ends_with_connection: true };
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 24;
/// Runs at a server before it is told to leave, and the time until it crashes: within the
/// time for which it goes on serving (`drain-ms`).
const RUNS: usize = 3;
const DRAINING_TIME: Duration = Duration::from_millis(1200);
/// Time in which the job must be done.
const JOB_TIME: Duration = Duration::from_secs(45);

pub async fn run(run: &Run) -> Outcome {
    let site = match Site::start(run, 3, PACE).await {
        Ok(site) => site,
        Err(outcome) => return outcome,
    };
    let outcome = play(run, &site).await;
    site.cluster.end().await;
    outcome
}

async fn play(run: &Run, site: &Site) -> Outcome {
    let record = &run.record;
    if !hand_in(record, site, JOB, ITEMS).await {
        return Outcome::NotRun("the job is not taken".to_owned());
    }
    if run.trouble {
        let leaving = &site.servers[0];
        if !wait_for(Duration::from_secs(10), || leaving.running() >= RUNS).await {
            return Outcome::NotRun("no items run at the server".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
        leaving.drain().await;
        tokio::time::sleep(DRAINING_TIME).await;
        leaving.crash();
    }
    let (mut results, mut front) = (Vec::new(), 0);
    let end = Instant::now() + JOB_TIME;
    while results.len() < ITEMS && Instant::now() < end {
        if let Ok(page) = read(record, site.front(front), JOB, results.len()).await {
            results.extend(page.results);
        }
        front += 1;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let mut cut = 0;
    for result in results.iter().filter(|result| result.state == "completed") {
        if result.message != whole_output(&result.item, EVENTS) {
            cut += 1;
            let events = result.message.lines().count();
            record.line(format!("MIXED: {} is completed with {events} of {EVENTS} events", result.item));
        }
    }
    let known = item_ids(JOB, ITEMS);
    if results.iter().any(|result| !known.contains(&result.item)) {
        record.line("a result names another item");
    }
    record.line(format!("{} of {ITEMS} items are listed, {cut} completed with a part of their output", results.len()));
    match (cut, results.len()) {
        (0, ITEMS) => Outcome::Held,
        (0, _) => Outcome::NotRun("the job is not done".to_owned()),
        _ => Outcome::Broken,
    }
}
