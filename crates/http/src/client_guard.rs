//! Holds the memory and the connections that clients make the process keep, within one budget.
//!
//! [`latchwheel_core::client_budget`] decides; here its decisions are carried out: evicted
//! bodies lose their buffer at once, evicted connections are closed by their tasks.

use bytes::Bytes;
use latchwheel_core::client_budget::{BudgetLimits, ClientBudget, HolderId, NoRoom, PROGRESS_BYTES};
use latchwheel_core::time::Instant as CoreInstant;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;

/// Memory of a header in a request's head, beside its bytes: the entry of a map, in the head
/// and in the copies that are sent to servers.
const HEADER_BYTES: usize = 256;
/// Copies of the bytes of a head: as received, and as sent.
const HEAD_COPIES: usize = 2;

/// What was refused or closed because of the budget, since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardCounts {
    /// Connections that were closed when they were accepted.
    pub refused_connections: u64,
    /// Connections that were closed for others.
    pub closed_connections: u64,
    /// Bodies that were dropped before they were whole, for others.
    pub dropped_bodies: u64,
    /// Requests that were refused for want of memory.
    pub refused_requests: u64,
    /// Heads that were over the limit.
    pub oversized_heads: u64,
    /// Connections that were closed since a head did not end in time.
    pub slow_heads: u64,
}

impl GuardCounts {
    /// Whether nothing was refused or closed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The budget of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct ClientGuard(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    origin: Instant,
    state: Mutex<State>,
    refused_connections: AtomicU64,
    closed_connections: AtomicU64,
    dropped_bodies: AtomicU64,
    refused_requests: AtomicU64,
    oversized_heads: AtomicU64,
    slow_heads: AtomicU64,
}

#[derive(Debug)]
struct State {
    budget: ClientBudget,
    evictable: HashMap<HolderId, Arc<Evictable>>,
}

/// The part of a holder that an eviction reaches.
#[derive(Debug, Default)]
struct Evictable {
    evicted: AtomicBool,
    noticed: Notify,
    /// What arrived of a body.
    buffer: Mutex<Vec<u8>>,
    is_body: bool,
}

impl Evictable {
    fn evict(&self) {
        self.evicted.store(true, Ordering::Release);
        *lock(&self.buffer) = Vec::new();
        self.noticed.notify_one();
    }

    fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Acquire)
    }

    async fn evicted(&self) {
        while !self.is_evicted() {
            self.noticed.notified().await;
        }
    }
}

impl ClientGuard {
    /// A guard with these limits.
    pub fn new(limits: BudgetLimits) -> Self {
        let state = State { budget: ClientBudget::new(limits), evictable: HashMap::new() };
        Self(Arc::new(Inner {
            origin: Instant::now(),
            state: Mutex::new(state),
            refused_connections: AtomicU64::default(),
            closed_connections: AtomicU64::default(),
            dropped_bodies: AtomicU64::default(),
            refused_requests: AtomicU64::default(),
            oversized_heads: AtomicU64::default(),
            slow_heads: AtomicU64::default(),
        }))
    }

    /// Bytes that clients make the process keep, as far as they are counted.
    pub fn used_bytes(&self) -> usize {
        self.lock().budget.used_bytes()
    }

    /// Open connections of clients.
    pub fn connections(&self) -> usize {
        self.lock().budget.connections()
    }

    /// Most bytes that one request may hold: one that needs more is never served.
    pub fn most_request_bytes(&self) -> usize {
        self.lock().budget.most_request_bytes()
    }

    /// The limits.
    pub fn limits(&self) -> BudgetLimits {
        self.lock().budget.limits()
    }

    /// What was refused and closed since the last call.
    pub fn take_counts(&self) -> GuardCounts {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        GuardCounts {
            refused_connections: take(&self.0.refused_connections),
            closed_connections: take(&self.0.closed_connections),
            dropped_bodies: take(&self.0.dropped_bodies),
            refused_requests: take(&self.0.refused_requests),
            oversized_heads: take(&self.0.oversized_heads),
            slow_heads: take(&self.0.slow_heads),
        }
    }

    /// Accounts for an accepted connection; `None` if there is no room for it.
    pub(crate) fn open_connection(&self) -> Option<ConnectionHold> {
        let mut state = self.lock();
        let Ok((id, evicted)) = state.budget.open_connection(self.now()) else {
            self.0.refused_connections.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        let evictable = Arc::new(Evictable::default());
        state.evictable.insert(id, evictable.clone());
        self.evict(&mut state, &evicted);
        Some(ConnectionHold {
            guard: self.clone(),
            id,
            evictable,
            requests: AtomicUsize::new(0),
            begun: AtomicUsize::new(0),
        })
    }

    /// Holds memory for a request until the reservation is dropped.
    ///
    /// # Errors
    /// [`NoRoom`] if there is too little left.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, NoRoom> {
        let mut state = self.lock();
        let reserved = state.budget.reserve(bytes, self.now());
        let (id, evicted) = reserved.inspect_err(|_| {
            self.0.refused_requests.fetch_add(1, Ordering::Relaxed);
        })?;
        self.evict(&mut state, &evicted);
        Ok(Reservation { guard: self.clone(), id })
    }

    /// Holds memory for an answer that is there already.
    pub(crate) fn reserve_for_answer(&self, bytes: usize) -> Reservation {
        let mut state = self.lock();
        let (id, evicted) = state.budget.reserve_for_answer(bytes, self.now());
        self.evict(&mut state, &evicted);
        Reservation { guard: self.clone(), id }
    }

    pub(crate) fn note_oversized_head(&self) {
        self.0.oversized_heads.fetch_add(1, Ordering::Relaxed);
    }

    /// Has the buffer of a body grow.
    fn grow(&self, body: HolderId, bytes: usize) -> Result<(), NoRoom> {
        let mut state = self.lock();
        let grown = state.budget.grow(body, bytes, self.now());
        let evicted = grown.inspect_err(|_| {
            self.0.refused_requests.fetch_add(1, Ordering::Relaxed);
        })?;
        self.evict(&mut state, &evicted);
        Ok(())
    }

    pub(crate) fn note_slow_head(&self) {
        self.0.slow_heads.fetch_add(1, Ordering::Relaxed);
    }

    fn evict(&self, state: &mut State, evicted: &[HolderId]) {
        for evictable in evicted.iter().filter_map(|id| state.evictable.remove(id)) {
            let count = if evictable.is_body { &self.0.dropped_bodies } else { &self.0.closed_connections };
            count.fetch_add(1, Ordering::Relaxed);
            evictable.evict();
        }
    }

    fn release(&self, id: HolderId) {
        let mut state = self.lock();
        state.budget.release(id);
        state.evictable.remove(&id);
    }

    fn now(&self) -> CoreInstant {
        CoreInstant::from_micros(self.0.origin.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.0.state)
    }
}

/// Memory that is held for a request or an answer; given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    guard: ClientGuard,
    id: HolderId,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.guard.release(self.id);
    }
}

/// What is held for an open connection.
#[derive(Debug)]
pub(crate) struct ConnectionHold {
    guard: ClientGuard,
    id: HolderId,
    evictable: Arc<Evictable>,
    /// Requests in progress.
    requests: AtomicUsize,
    /// Requests so far.
    begun: AtomicUsize,
}

impl ConnectionHold {
    /// Requests that have begun on the connection.
    pub(crate) fn begun(&self) -> usize {
        self.begun.load(Ordering::Acquire)
    }

    /// Whether the connection has no request in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Acquire) == 0
    }

    /// Completes when the connection is to be closed for another one.
    pub(crate) async fn evicted(&self) {
        self.evictable.evicted().await;
    }

    /// A request with this head begins.
    ///
    /// # Errors
    /// [`NoRoom`] if the connection is to be closed, or if there is no room for the head.
    pub(crate) fn begin_request(self: &Arc<Self>, head: HeadSize) -> Result<Arc<RequestHold>, NoRoom> {
        if !self.guard.lock().budget.begin_request(self.id) {
            return Err(NoRoom);
        }
        self.begun.fetch_add(1, Ordering::AcqRel);
        self.requests.fetch_add(1, Ordering::AcqRel);
        // From here on its end is noted by the drop.
        let mut request = RequestHold { connection: self.clone(), _head: None };
        request._head = Some(self.guard.reserve(HEAD_COPIES * head.bytes + HEADER_BYTES * head.headers)?);
        Ok(Arc::new(request))
    }

    pub(crate) fn guard(&self) -> &ClientGuard {
        &self.guard
    }
}

impl Drop for ConnectionHold {
    fn drop(&mut self) {
        self.guard.release(self.id);
    }
}

/// Size of a request's head.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadSize {
    /// Bytes as sent, without the ends of lines.
    pub(crate) bytes: usize,
    /// Number of headers.
    pub(crate) headers: usize,
}

/// What is held for a request from its head to the end of its answer. Handlers find it among
/// the request's extensions.
#[derive(Debug)]
pub struct RequestHold {
    connection: Arc<ConnectionHold>,
    _head: Option<Reservation>,
}

impl RequestHold {
    /// The budget of the process.
    pub fn guard(&self) -> &ClientGuard {
        &self.connection.guard
    }

    /// Holds memory for a body that its handler reads part by part. The handler ends the request
    /// when this is evicted.
    ///
    /// # Errors
    /// [`NoRoom`] if there is too little left.
    pub fn hold_arriving(&self, bytes: usize) -> Result<ArrivingBody, NoRoom> {
        let arriving = self.begin_body(bytes);
        arriving.guard.grow(arriving.id, bytes)?;
        Ok(arriving)
    }

    /// A body begins to arrive that has at most so many bytes.
    pub(crate) fn begin_body(&self, most_bytes: usize) -> ArrivingBody {
        let guard = self.guard().clone();
        let evictable = Arc::new(Evictable { is_body: true, ..Evictable::default() });
        let mut state = guard.lock();
        let id = state.budget.begin_body(self.connection.id, guard.now());
        state.evictable.insert(id, evictable.clone());
        drop(state);
        ArrivingBody { guard, id, evictable, most_bytes, unmarked_bytes: AtomicUsize::new(0) }
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        let guard = &self.connection.guard;
        guard.lock().budget.end_request(self.connection.id, guard.now());
        self.connection.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A body that is not whole yet. Its buffer is freed at once when it is evicted.
#[derive(Debug)]
pub struct ArrivingBody {
    guard: ClientGuard,
    id: HolderId,
    evictable: Arc<Evictable>,
    most_bytes: usize,
    /// Bytes since its last progress.
    unmarked_bytes: AtomicUsize,
}

impl ArrivingBody {
    /// Completes when the body was evicted.
    pub async fn evicted(&self) {
        self.evictable.evicted().await;
    }

    /// Appends bytes that arrived.
    ///
    /// # Errors
    /// [`NoRoom`] if the body was evicted, or if there is no room for more of it.
    pub(crate) fn push(&self, bytes: &[u8]) -> Result<(), NoRoom> {
        self.note_received(bytes.len());
        let capacity = {
            let mut buffer = self.buffer()?;
            if buffer.len() + bytes.len() <= buffer.capacity() {
                buffer.extend_from_slice(bytes);
                return Ok(());
            }
            (buffer.len() + bytes.len()).max((2 * buffer.capacity()).min(self.most_bytes))
        };
        let growth = capacity - self.buffer()?.capacity();
        // Must not be called with the buffer locked: an eviction locks buffers under the budget's lock.
        self.guard.grow(self.id, growth)?;
        let mut buffer = self.buffer()?;
        let missing = capacity - buffer.len();
        buffer.reserve_exact(missing);
        buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Counts bytes that arrived; the budget is told of them in larger parts.
    pub fn note_received(&self, bytes: usize) {
        let unmarked = self.unmarked_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if unmarked >= PROGRESS_BYTES {
            self.unmarked_bytes.store(0, Ordering::Relaxed);
            let mut state = self.guard.lock();
            state.budget.note_progress(self.id, self.guard.now());
        }
    }

    /// The buffer, unless it was evicted.
    fn buffer(&self) -> Result<MutexGuard<'_, Vec<u8>>, NoRoom> {
        let buffer = lock(&self.evictable.buffer);
        if self.evictable.is_evicted() {
            return Err(NoRoom);
        }
        Ok(buffer)
    }

    /// The whole body; what it holds is given back when its last copy is dropped.
    ///
    /// # Errors
    /// [`NoRoom`] if it was evicted.
    pub(crate) fn complete(self) -> Result<Bytes, NoRoom> {
        {
            let mut state = self.guard.lock();
            state.evictable.remove(&self.id).ok_or(NoRoom)?;
            state.budget.complete(self.id);
        }
        let bytes = std::mem::take(&mut *lock(&self.evictable.buffer));
        Ok(Bytes::from_owner(HeldBytes { bytes, _hold: self }))
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.guard.release(self.id);
    }
}

/// Bytes with what is held for them.
struct HeldBytes<T, H> {
    bytes: T,
    _hold: H,
}

impl<T: AsRef<[u8]>, H> AsRef<[u8]> for HeldBytes<T, H> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Has the bytes of an answer held until they are written.
pub(crate) fn held_answer(guard: &ClientGuard, bytes: Bytes) -> Bytes {
    let hold = guard.reserve_for_answer(bytes.len());
    Bytes::from_owner(HeldBytes { bytes, _hold: hold })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
