//! A worker is killed while the store has its write of results but has not answered it; the
//! write is done seconds later. Who has read a result must find it from then on.
//!
//! No case of its own (`review/REPORT.md`).

use crate::client::read;
use crate::server::Pace;
use crate::site::{hand_in, Site};
use crate::{Outcome, Run};
use std::time::Duration;
use tokio::time::Instant;

/// An item takes 12 s, the first one of a job 24 s: the job stays open.
const PACE: Pace =
    Pace { events: 120, first_events: 240, gap: Duration::from_millis(100), ends_with_connection: false };
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 6;
/// Time in which results are written.
const CATCH_TIME: Duration = Duration::from_secs(25);
/// The write is done so long after it was sent: 1 to 6 s (`platform_lost`, late).
const LATE: Duration = Duration::from_millis(5500);
/// From the write to the kill of the worker, and to its start.
const KILL_AFTER: Duration = Duration::from_millis(200);
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time after the last disruption: `contact-ms`.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after a read from which on the result must be there: `settle-ms`.
const SETTLE: Duration = Duration::from_secs(1);
/// Time for which the result is looked for afterwards.
const LOOK_TIME: Duration = Duration::from_millis(2500);

pub async fn run(run: &Run) -> Outcome {
    let mut site = match Site::start(run, 3, PACE).await {
        Ok(site) => site,
        Err(outcome) => return outcome,
    };
    let outcome = play(run, &mut site).await;
    site.cluster.end().await;
    outcome
}

async fn play(run: &Run, site: &mut Site) -> Outcome {
    let record = &run.record;
    let key = format!("latchwheel/result/{JOB}/000000");
    if run.trouble {
        site.links.values().for_each(|link| link.delay_write(&format!("\"{key}\""), LATE));
    }
    if !hand_in(record, site, JOB, ITEMS).await {
        return Outcome::NotRun("the job is not taken".to_owned());
    }
    let frozen = if run.trouble {
        match disturb(run, site).await {
            Ok(worker) => Some(worker),
            Err(outcome) => return outcome,
        }
    } else {
        None
    };
    // One client reads until the first result is there.
    let end = Instant::now() + CATCH_TIME;
    let mut read_at = None;
    while read_at.is_none() && Instant::now() < end {
        match read(record, site.front(0), JOB, 0).await {
            Ok(page) if !page.results.is_empty() => read_at = Some(Instant::now()),
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    if let Some(worker) = frozen {
        site.cluster.workers[worker].signal(libc::SIGCONT, "SIGCONT");
    }
    let Some(read_at) = read_at else { return Outcome::NotRun("no result is read".to_owned()) };
    record.line("a client has read position 0");
    // All is calm since then; another client looks for the same position.
    tokio::time::sleep_until(read_at + CONTACT.max(SETTLE) + Duration::from_millis(300)).await;
    let end = Instant::now() + LOOK_TIME;
    let mut missing = 0;
    while Instant::now() < end {
        for front in [1, 2] {
            if let Ok(page) = read(record, site.front(front), JOB, 0).await {
                if page.results.is_empty() {
                    missing += 1;
                    let after = read_at.elapsed().as_secs_f64();
                    record.line(format!("LOST: nothing at position 0, {after:.1} s after it was read"));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    if missing > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// The write is caught, its worker killed and started again; once the write is done, the
/// worker stands still. Gives back which one it is.
async fn disturb(run: &Run, site: &mut Site) -> Result<usize, Outcome> {
    let names: Vec<String> = site.cluster.workers.iter().map(|worker| worker.name.clone()).collect();
    let links: Vec<_> = names.iter().map(|name| site.links[name].clone()).collect();
    let caught = tokio::time::timeout(CATCH_TIME, async {
        tokio::select! {
            () = links[0].caught.notified() => 0,
            () = links[1].caught.notified() => 1,
            () = links[2].caught.notified() => 2,
        }
    });
    let Ok(number) = caught.await else { return Err(Outcome::NotRun("no results are written".to_owned())) };
    // The writes of the other workers are answered.
    links.iter().for_each(|link| link.delay_none());
    tokio::time::sleep(KILL_AFTER).await;
    let worker = &mut site.cluster.workers[number];
    worker.kill().await;
    tokio::time::sleep(DOWN_TIME).await;
    worker.start(&run.root)?;
    links[number].done.notified().await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let worker = &site.cluster.workers[number];
    worker.signal(libc::SIGSTOP, "SIGSTOP");
    Ok(number)
}
