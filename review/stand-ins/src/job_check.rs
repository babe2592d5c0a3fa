//! Whether a job that is handed in now is done in time.

use crate::client::read;
use crate::site::{hand_in, Site};
use crate::Run;
use std::time::Duration;
use tokio::time::Instant;

const ITEMS: usize = 10;
/// Pause between two reads: clients read about twice a second.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Hands a job in and waits until all its items have results.
pub async fn is_done(run: &Run, site: &Site, job: &str, time: Duration) -> bool {
    let record = &run.record;
    if !hand_in(record, site, job, ITEMS).await {
        record.line(format!("job {job} is not taken"));
        return false;
    }
    let end = Instant::now() + time;
    let (mut listed, mut front) = (0, 0);
    while listed < ITEMS && Instant::now() < end {
        if let Ok(page) = read(record, site.front(front), job, listed).await {
            listed += page.results.len();
        }
        front += 1;
        tokio::time::sleep(READ_PAUSE).await;
    }
    record.line(format!("job {job}: {listed} of {ITEMS} items have results"));
    listed == ITEMS
}
