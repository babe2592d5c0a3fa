//! A bounded queue between two parts of a process, of which the receiving one
//! may start later or never.

use std::sync::{Mutex, PoisonError};
use tokio::sync::mpsc;

/// What waits at most; more is dropped.
const CAPACITY: usize = 256;

/// A bounded queue whose receiver is taken once.
#[derive(Debug)]
pub(crate) struct Handoff<T> {
    sender: mpsc::Sender<T>,
    receiver: Mutex<Option<mpsc::Receiver<T>>>,
}

impl<T> Default for Handoff<T> {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        Self { sender, receiver: Mutex::new(Some(receiver)) }
    }
}

impl<T> Handoff<T> {
    /// Puts something in; it is dropped where the queue is full.
    pub(crate) fn put(&self, value: T) {
        let _ = self.sender.try_send(value);
    }

    /// The receiving end; `None` if it was taken before.
    pub(crate) fn take_receiver(&self) -> Option<mpsc::Receiver<T>> {
        self.receiver.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
