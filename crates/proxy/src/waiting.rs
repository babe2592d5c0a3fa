//! Waiting for a time that may not come.

use std::time::Duration;

/// Completes after that time; never, if there is none.
pub async fn sleep_or_never(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => std::future::pending().await,
    }
}
