//! Workers are stopped and started in turn while the store loses answers and does what they
//! belong to seconds later: what is accepted afterwards must still be done.

use crate::job_check::is_done;
use crate::server::Pace;
use crate::site::Site;
use crate::{Outcome, Run};
use std::time::Duration;

const PACE: Pace = Pace { events: 12, first_events: 12, gap: Duration::from_millis(60), ends_with_connection: false };
const FIRST_JOB: &str = "11aa22bb33cc44dd";
const JOB: &str = "7c41e09b52d6a3f8";
/// The platform starts a process again after a short delay.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// A write whose answer is lost is done so long after it was sent: 1 to 6 s.
const LATE: Duration = Duration::from_millis(3000);
/// Time that a worker has to stop: `grace-s`.
const GRACE: Duration = Duration::from_secs(8);
/// Time from the start of a worker to the stop of the next one: more than `catch-up-s`, so
/// that one is lost at a time.
const NEXT_TIME: Duration = Duration::from_millis(5500);
/// Time from the last disruption to the job: `contact-ms` and more.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time that a job has after its hand-in: `due-ms`, then `finish-s` (18 s).
const JOB_TIME: Duration = Duration::from_secs(40);

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
    if !is_done(run, site, FIRST_JOB, Duration::from_secs(20)).await {
        return Outcome::NotRun("the first job is not done".to_owned());
    }
    if run.trouble {
        for number in 0..site.cluster.workers.len() {
            if let Err(outcome) = stop_and_start(run, site, number).await {
                return outcome;
            }
        }
        tokio::time::sleep(CALM_TIME).await;
    }
    if is_done(run, site, JOB, JOB_TIME).await {
        return Outcome::Held;
    }
    let running: usize = site.servers.iter().map(|server| server.running()).sum();
    record.line(format!("LOST: all workers and servers are up, {running} requests run, and items have no result"));
    Outcome::Broken
}

/// Stops a worker as planned work does, and starts it again. The last write of the old
/// process gets no answer, and is done late.
async fn stop_and_start(run: &Run, site: &mut Site, number: usize) -> Result<(), Outcome> {
    let worker = &mut site.cluster.workers[number];
    let link = &site.links[&worker.name];
    link.delay_write("\"remove\":[\"latchwheel/active/fleet/node/", LATE);
    worker.signal(libc::SIGTERM, "SIGTERM");
    if !worker.wait_for_end(GRACE).await {
        return Err(Outcome::NotRun("a worker does not stop".to_owned()));
    }
    run.record.line(format!("{} has stopped", worker.name));
    link.delay_none();
    tokio::time::sleep(DOWN_TIME).await;
    worker.start(&run.root)?;
    tokio::time::sleep(NEXT_TIME).await;
    Ok(())
}
