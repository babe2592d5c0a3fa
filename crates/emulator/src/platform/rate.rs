//! A rate limit for the stand-ins.

use latchwheel_core::limits::Bucket;
use latchwheel_core::time::Instant;
use std::sync::{Mutex, PoisonError};
use tokio::time::Instant as TokioInstant;

#[derive(Debug)]
pub(super) struct RateLimit {
    origin: TokioInstant,
    bucket: Mutex<Bucket>,
}

impl RateLimit {
    pub(super) fn new(per_second: f64) -> Self {
        Self { origin: TokioInstant::now(), bucket: Mutex::new(Bucket::new(Instant::default(), per_second)) }
    }

    pub(super) fn admit(&self) -> bool {
        let now = Instant::from_micros(self.origin.elapsed().as_micros() as u64);
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner).take(now).is_ok()
    }
}
