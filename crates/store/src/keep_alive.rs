//! What a replica goes on telling the others while its own thread waits for the disk.
//!
//! The thread of a replica writes to its disk itself, so that nothing is told before it is on
//! stable storage. A disk that is shared may hold a sync up for a second, and a leader that is
//! not heard for that long is deposed: then callers wait for an election too, and that needs
//! syncs of its own. So a second thread repeats messages that were sent before, or that tell
//! nothing new, until the write is done.

use latchwheel_protocol::v1::ReplicationMessage;
use std::io;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Where messages to the other replicas go.
pub trait Outlet: Send + Sync + 'static {
    /// Sends a message to the replica that it names; it may be lost.
    fn send(&self, message: ReplicationMessage);
}

/// How often messages are repeated, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct KeepAliveRules {
    /// Time between two repetitions.
    pub pause: Duration,
    /// Time from the beginning of a write after which nothing is repeated any more.
    pub limit: Duration,
}

/// A write that is under way.
#[derive(Debug)]
struct Write {
    begun: Instant,
    messages: Vec<ReplicationMessage>,
}

/// Repeats messages while a write is under way. Its thread ends with it.
#[derive(Debug)]
pub struct KeepAlive {
    write: Arc<Mutex<Option<Write>>>,
    /// Dropped with this, which ends the thread.
    _ends: Sender<()>,
}

impl KeepAlive {
    /// Starts the thread.
    ///
    /// # Errors
    /// If the system starts no further thread.
    pub fn start(name: &str, outlet: Arc<dyn Outlet>, rules: KeepAliveRules) -> io::Result<Self> {
        let write = Arc::new(Mutex::new(None));
        let (ends, ended) = channel();
        let watched = write.clone();
        let repeat = move || repeat_messages(&watched, &*outlet, rules, &ended);
        std::thread::Builder::new().name(format!("{name}-keep-alive")).spawn(repeat)?;
        Ok(Self { write, _ends: ends })
    }

    /// Does a write; if it takes long, these messages are repeated until it is done.
    pub fn during<T>(&self, messages: Vec<ReplicationMessage>, write: impl FnOnce() -> T) -> T {
        *lock(&self.write) = Some(Write { begun: Instant::now(), messages });
        let done = write();
        *lock(&self.write) = None;
        done
    }
}

fn repeat_messages(write: &Mutex<Option<Write>>, outlet: &dyn Outlet, rules: KeepAliveRules, ended: &Receiver<()>) {
    while ended.recv_timeout(rules.pause) == Err(RecvTimeoutError::Timeout) {
        let messages = due_messages(&lock(write), rules);
        messages.into_iter().for_each(|message| outlet.send(message));
    }
}

/// What is to be repeated: nothing in the first pause of a write, since the replica's thread
/// has told as much a moment before.
fn due_messages(write: &Option<Write>, rules: KeepAliveRules) -> Vec<ReplicationMessage> {
    let Some(write) = write else { return Vec::new() };
    let lasts = write.begun.elapsed();
    if lasts < rules.pause || lasts > rules.limit {
        return Vec::new();
    }
    write.messages.clone()
}

fn lock(write: &Mutex<Option<Write>>) -> MutexGuard<'_, Option<Write>> {
    write.lock().unwrap_or_else(PoisonError::into_inner)
}
