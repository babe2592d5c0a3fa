//! One budget for the memory that answers of servers make the process keep.
//!
//! What must be kept of an answer before it can be passed on is held here beyond its first
//! bytes. Where there is no room, the answer is passed on as it comes, or given up: a server
//! that sends without end to many requests does not fill the memory of the machine.

use bytes::Bytes;
use latchwheel_core::client_budget::NoRoom;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Part of the machine's memory that answers may make the process keep: one in so many.
const MEMORY_PART: usize = 6;
/// Limit where the machine's memory is not told.
const DEFAULT_LIMIT_BYTES: usize = 20 << 20;
/// Bytes of an answer that are not counted, so that short answers are kept in any case.
const FREE_BYTES: usize = 16 << 10;

/// The budget of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct AnswerBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    limit: AtomicUsize,
    used: AtomicUsize,
}

impl Default for AnswerBudget {
    fn default() -> Self {
        Self(Arc::new(Inner { limit: AtomicUsize::new(DEFAULT_LIMIT_BYTES), used: AtomicUsize::new(0) }))
    }
}

impl AnswerBudget {
    /// Sets the limit for a machine with so many bytes of memory.
    pub fn limit_to_machine(&self, memory_bytes: usize) {
        self.0.limit.store(memory_bytes / MEMORY_PART, Ordering::Relaxed);
    }

    /// Bytes that are held.
    pub fn used_bytes(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// The share of one answer, of which nothing is held yet.
    pub fn share(&self) -> AnswerShare {
        AnswerShare { budget: self.clone(), held: 0 }
    }

    fn take(&self, bytes: usize) -> Result<(), NoRoom> {
        let limit = self.0.limit.load(Ordering::Relaxed);
        let grown = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let taken = self.0.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        taken.map(|_| ()).map_err(|_| NoRoom)
    }

    fn give_back(&self, bytes: usize) {
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// What is held of the budget for one answer; given back when it is dropped.
#[derive(Debug)]
pub struct AnswerShare {
    budget: AnswerBudget,
    held: usize,
}

impl AnswerShare {
    /// Holds memory for so many bytes of the answer in all, fewer or more than before.
    ///
    /// # Errors
    /// [`NoRoom`]; what was held stays held.
    pub fn hold(&mut self, answer_bytes: usize) -> Result<(), NoRoom> {
        let counted = answer_bytes.saturating_sub(FREE_BYTES);
        if counted > self.held {
            self.budget.take(counted - self.held)?;
        } else {
            self.budget.give_back(self.held - counted);
        }
        self.held = counted;
        Ok(())
    }

    /// Bytes of the answer, for which this is held until their last copy is dropped.
    pub fn into_bytes(self, bytes: Bytes) -> Bytes {
        if self.held == 0 {
            return bytes;
        }
        Bytes::from_owner(SharedBytes { bytes, _share: self })
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.budget.give_back(self.held);
    }
}

/// Bytes with what is held for them.
struct SharedBytes {
    bytes: Bytes,
    _share: AnswerShare,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
