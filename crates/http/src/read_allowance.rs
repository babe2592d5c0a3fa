//! A bound on the bytes that are read of a connection before an answer begins.

use crate::answer_budget::AnswerShare;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that may still be read of a stream. Clones share the count.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// `None` where there is no bound.
    left: Option<usize>,
    /// Bytes that were read under the present bound.
    read: usize,
    /// What is held for them.
    share: AnswerShare,
}

impl ReadAllowance {
    /// No bound yet. What is read under a bound is held in this share.
    pub fn new(share: AnswerShare) -> Self {
        Self(Arc::new(Mutex::new(State { left: None, read: 0, share })))
    }

    /// Lets this many further bytes be read, if the budget has room for them.
    pub fn limit(&self, bytes: usize) {
        let mut state = self.lock();
        state.release();
        state.left = Some(bytes);
    }

    /// Lifts the bound. What was read stays held.
    pub fn lift(&self) {
        self.lock().left = None;
    }

    /// Gives back what is held.
    pub fn release(&self) {
        self.lock().release();
    }

    /// Whether more was read than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.lock().left == Some(0)
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// If these are more than allowed, or if there is no room for them.
    pub(crate) fn take(&self, bytes: usize) -> Result<()> {
        let mut state = self.lock();
        let Some(left) = state.left else { return Ok(()) };
        state.read += bytes;
        let read = state.read;
        if bytes >= left || state.share.hold(read).is_err() {
            state.left = Some(0);
            return Err(Error::new(ErrorKind::InvalidData, "too many bytes before the answer"));
        }
        state.left = Some(left - bytes);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn release(&mut self) {
        self.read = 0;
        // Holding nothing always succeeds.
        let _ = self.share.hold(0);
    }
}
