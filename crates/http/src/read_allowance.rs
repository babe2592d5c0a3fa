//! A bound on the bytes that are read of a connection before an answer begins.

use std::io::{Error, ErrorKind, Result};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// No bound.
const UNLIMITED: usize = usize::MAX;

/// Bytes that may still be read of a stream. Clones share the count.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl ReadAllowance {
    /// Lets this many further bytes be read.
    pub fn limit(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Lifts the bound.
    pub fn lift(&self) {
        self.limit(UNLIMITED);
    }

    /// Whether more was read than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// If these are more than allowed.
    pub(crate) fn take(&self, bytes: usize) -> Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        if bytes >= left {
            return Err(Error::new(ErrorKind::InvalidData, "too many bytes before the answer"));
        }
        Ok(())
    }
}
