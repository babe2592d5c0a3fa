//! Jobs, and ends of jobs, on their way to a disk, and whether one is left there.
//!
//! A look at the disk may begin before a file is there and end after it. The disk
//! counts as empty only by a look that began after the last arrival ended.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{watch, Notify};

/// The arrivals at one disk.
#[derive(Debug)]
pub(crate) struct DiskArrivals {
    under_way: watch::Sender<usize>,
    ended: AtomicU64,
    /// Arrivals that had ended when the last look began that found nothing.
    empty_after: watch::Sender<Option<u64>>,
    news: Notify,
}

impl Default for DiskArrivals {
    fn default() -> Self {
        Self {
            under_way: watch::channel(0).0,
            ended: AtomicU64::default(),
            empty_after: watch::channel(None).0,
            news: Notify::default(),
        }
    }
}

impl DiskArrivals {
    /// Something arrives until what is given back is dropped.
    pub(crate) fn begin(&self) -> Arrival<'_> {
        self.under_way.send_modify(|under_way| *under_way += 1);
        Arrival(self)
    }

    /// Arrivals that have ended.
    pub(crate) fn ended(&self) -> u64 {
        self.ended.load(Ordering::SeqCst)
    }

    /// A look that began after so many arrivals found nothing.
    pub(crate) fn note_empty(&self, ended: u64) {
        self.empty_after.send_replace(Some(ended));
    }

    /// Completes when an arrival has ended since the last time.
    pub(crate) async fn next(&self) {
        self.news.notified().await;
    }

    /// Completes when nothing arrives.
    pub(crate) async fn all_ended(&self) {
        let mut under_way = self.under_way.subscribe();
        // The sender is this one's own, so that it can't be gone.
        let _ = under_way.wait_for(|under_way| *under_way == 0).await;
    }

    /// Completes when nothing is left of what arrived.
    pub(crate) async fn none_left(&self) {
        let mut empty_after = self.empty_after.subscribe();
        let _ = empty_after.wait_for(|ended| *ended == Some(self.ended())).await;
    }
}

/// Something that arrives.
#[derive(Debug)]
pub(crate) struct Arrival<'a>(&'a DiskArrivals);

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::SeqCst);
        self.0.news.notify_one();
        self.0.under_way.send_modify(|under_way| *under_way -= 1);
    }
}
