//! Servers crash one after the other and start again under their identities: what was
//! accepted must still be done.

use crate::job_check::is_done;
use crate::server::Pace;
use crate::site::Site;
use crate::{Outcome, Run};
use std::time::Duration;

const PACE: Pace = Pace { events: 12, first_events: 12, gap: Duration::from_millis(60), ends_with_connection: false };
const FIRST_JOB: &str = "11aa22bb33cc44dd";
const JOB: &str = "7c41e09b52d6a3f8";
/// A server that crashed is back after this time: more than three heartbeats, so that its
/// entry is gone.
const AWAY_TIME: Duration = Duration::from_secs(5);
/// Time until the next server crashes.
const NEXT_TIME: Duration = Duration::from_secs(4);
/// Time that a job has after its hand-in: `due-ms`, then `finish-s` (18 s).
const JOB_TIME: Duration = Duration::from_secs(40);

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
    if !is_done(run, site, FIRST_JOB, Duration::from_secs(20)).await {
        return Outcome::NotRun("the first job is not done".to_owned());
    }
    if run.trouble {
        for server in &site.servers {
            server.crash();
            tokio::time::sleep(AWAY_TIME).await;
            if let Err(fault) = server.start_again().await {
                return fault.into();
            }
            tokio::time::sleep(NEXT_TIME).await;
        }
    }
    if is_done(run, site, JOB, JOB_TIME).await {
        return Outcome::Held;
    }
    let running: usize = site.servers.iter().map(|server| server.running()).sum();
    record.line(format!("LOST: all servers are up with {running} requests, and items have no result"));
    Outcome::Broken
}
