//! One budget for the memory and the connections that clients make a process keep.
//!
//! Each connection, and each request body while it arrives and while it is used, holds a part
//! of the budget. Where the next part doesn't fit, holders are evicted that nothing was run for:
//! bodies and connections whose clients send nothing, and, for a small request, large bodies
//! that are not whole yet. So a crowd that keeps connections open does not keep others out.

use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// A client that sends less than [`PROGRESS_BYTES`] for this time is evicted before others.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes of a body that count as progress.
pub const PROGRESS_BYTES: usize = 4 << 10;
/// Size up to which a request is small: it may use the whole budget, and goes before larger
/// requests that are not whole yet.
pub const SMALL_REQUEST_BYTES: usize = 64 << 10;
/// Part of the budget that is kept for small requests: one in so many.
const SMALL_REQUEST_RESERVE: usize = 4;
/// Memory of a connection without a request: buffers of both directions and its task.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Part of the machine's memory that clients may make the process keep: one in so many.
const MEMORY_PART: usize = 3;
/// Part of the descriptors that connections of clients may take: one in so many.
const DESCRIPTOR_PART: usize = 2;

/// Identifies a holder of a part of the budget.
pub type HolderId = u64;

/// What clients may make a process keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes of memory.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl BudgetLimits {
    /// The limits on a machine with so many bytes of memory and so many descriptors.
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Self {
        let bytes = memory_bytes / MEMORY_PART;
        let connections = (descriptors / DESCRIPTOR_PART).min(bytes / CONNECTION_BYTES).max(1);
        Self { bytes, connections }
    }
}

/// Why a part of the budget was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// What a part of the budget is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// An open connection; `served` once it had a request.
    Connection { served: bool, requests: usize },
    /// A body that is not whole yet.
    ArrivingBody { connection: HolderId },
    /// Memory of a request that may run, or of an answer: it can't be taken away.
    Committed,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    used_for: Use,
    /// Last progress of a body, or the last end of a request on a connection.
    progress_at: Instant,
}

/// Accounts for what clients hold, and chooses whom to evict.
#[derive(Debug)]
pub struct ClientBudget {
    limits: BudgetLimits,
    used_bytes: usize,
    connections: usize,
    next: HolderId,
    holders: BTreeMap<HolderId, Holder>,
}

impl ClientBudget {
    /// A budget of which nothing is held.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, used_bytes: 0, connections: 0, next: 0, holders: BTreeMap::new() }
    }

    /// The limits.
    pub fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Most bytes that one request may hold.
    pub fn most_request_bytes(&self) -> usize {
        self.limit_for(usize::MAX)
    }

    /// Bytes that are held.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Opens a connection. The second value lists the holders that were evicted for it.
    ///
    /// # Errors
    /// [`NoRoom`] if there are too many connections, or too little memory, that can't be
    /// taken away.
    pub fn open_connection(&mut self, now: Instant) -> Result<(HolderId, Vec<HolderId>), NoRoom> {
        let mut evicted = Vec::new();
        if self.connections >= self.limits.connections {
            evicted = self.stalled_connection(now).ok_or(NoRoom)?;
            evicted.iter().for_each(|holder| self.release(*holder));
        }
        evicted.extend(self.make_room(now, CONNECTION_BYTES, CONNECTION_BYTES, None)?);
        self.connections += 1;
        let used_for = Use::Connection { served: false, requests: 0 };
        Ok((self.hold(CONNECTION_BYTES, used_for, now), evicted))
    }

    /// A request begins on a connection; `false` if the connection was evicted.
    pub fn begin_request(&mut self, connection: HolderId) -> bool {
        let Some(holder) = self.holders.get_mut(&connection) else { return false };
        if let Use::Connection { served, requests } = &mut holder.used_for {
            *served = true;
            *requests += 1;
        }
        true
    }

    /// A request on a connection has ended.
    pub fn end_request(&mut self, connection: HolderId, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&connection) {
            holder.progress_at = now;
            if let Use::Connection { requests, .. } = &mut holder.used_for {
                *requests = requests.saturating_sub(1);
            }
        }
    }

    /// A body begins to arrive on a connection.
    pub fn begin_body(&mut self, connection: HolderId, now: Instant) -> HolderId {
        self.hold(0, Use::ArrivingBody { connection }, now)
    }

    /// [`PROGRESS_BYTES`] of a body have arrived since its last progress.
    pub fn note_progress(&mut self, body: HolderId, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&body) {
            holder.progress_at = now;
        }
    }

    /// Grows what is held for a body; gives back the holders that were evicted for it.
    ///
    /// # Errors
    /// [`NoRoom`]; what the body holds stays as it was.
    pub fn grow(&mut self, body: HolderId, bytes: usize, now: Instant) -> Result<Vec<HolderId>, NoRoom> {
        let held = self.holders.get(&body).ok_or(NoRoom)?.bytes;
        let evicted = self.make_room(now, bytes, held + bytes, Some(body))?;
        let holder = self.holders.get_mut(&body).ok_or(NoRoom)?;
        holder.bytes += bytes;
        self.used_bytes += bytes;
        Ok(evicted)
    }

    /// A body is whole: from now on its request may run, and it is not evicted any more.
    pub fn complete(&mut self, body: HolderId) {
        if let Some(Holder { used_for: used_for @ Use::ArrivingBody { .. }, .. }) = self.holders.get_mut(&body) {
            *used_for = Use::Committed;
        }
    }

    /// Holds memory for a request that may run.
    ///
    /// # Errors
    /// [`NoRoom`] if there is too little memory that can be taken away.
    pub fn reserve(&mut self, bytes: usize, now: Instant) -> Result<(HolderId, Vec<HolderId>), NoRoom> {
        let evicted = self.make_room(now, bytes, bytes, None)?;
        Ok((self.hold(bytes, Use::Committed, now), evicted))
    }

    /// Holds memory for an answer that is there already, also where there is no room.
    pub fn reserve_for_answer(&mut self, bytes: usize, now: Instant) -> (HolderId, Vec<HolderId>) {
        let evicted = self.make_room(now, bytes, 0, None).unwrap_or_default();
        (self.hold(bytes, Use::Committed, now), evicted)
    }

    /// Gives back what is held; does nothing for a holder that was evicted.
    pub fn release(&mut self, holder: HolderId) {
        let Some(removed) = self.holders.remove(&holder) else { return };
        self.used_bytes -= removed.bytes;
        if matches!(removed.used_for, Use::Connection { .. }) {
            self.connections -= 1;
        }
    }

    fn hold(&mut self, bytes: usize, used_for: Use, now: Instant) -> HolderId {
        self.next += 1;
        self.used_bytes += bytes;
        self.holders.insert(self.next, Holder { bytes, used_for, progress_at: now });
        self.next
    }

    /// Bytes that a request of this size may bring the budget to.
    fn limit_for(&self, request_bytes: usize) -> usize {
        if request_bytes <= SMALL_REQUEST_BYTES {
            return self.limits.bytes;
        }
        self.limits.bytes - self.limits.bytes / SMALL_REQUEST_RESERVE
    }

    /// Evicts holders until `bytes` more fit, if enough can be evicted. The requester is never
    /// evicted; `request_bytes` is what it would hold then.
    fn make_room(
        &mut self,
        now: Instant,
        bytes: usize,
        request_bytes: usize,
        requester: Option<HolderId>,
    ) -> Result<Vec<HolderId>, NoRoom> {
        let missing = (self.used_bytes + bytes).saturating_sub(self.limit_for(request_bytes));
        if missing == 0 {
            return Ok(Vec::new());
        }
        let mut candidates: Vec<(u8, std::cmp::Reverse<usize>, Instant, HolderId)> = self
            .holders
            .iter()
            .filter(|(id, holder)| Some(**id) != requester && holder.bytes > 0)
            .filter_map(|(id, holder)| {
                let rank = eviction_rank(holder, now, request_bytes)?;
                Some((rank, std::cmp::Reverse(holder.bytes), holder.progress_at, *id))
            })
            .collect();
        candidates.sort_unstable();
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (_, std::cmp::Reverse(held), _, id) in candidates {
            if freed >= missing {
                break;
            }
            freed += held;
            chosen.push(id);
        }
        if freed < missing {
            return Err(NoRoom);
        }
        chosen.iter().for_each(|id| self.release(*id));
        Ok(chosen)
    }

    /// The connection to close for another one, and the body that arrives on it: first those
    /// that never had a request, then those between requests, then those whose body has
    /// stalled; of these the one that has waited longest.
    fn stalled_connection(&self, now: Instant) -> Option<Vec<HolderId>> {
        let stalled = self.holders.iter().filter(|(_, holder)| now.since(holder.progress_at) >= STALL_TIME);
        let ranked = stalled.filter_map(|(id, holder)| match holder.used_for {
            Use::Connection { served, requests: 0 } => Some((u8::from(served), holder.progress_at, *id, None)),
            Use::ArrivingBody { connection, .. } if self.has_one_request(connection) => {
                Some((2, holder.progress_at, *id, Some(connection)))
            }
            _ => None,
        });
        ranked.min().map(|(_, _, id, connection)| std::iter::once(id).chain(connection).collect())
    }

    fn has_one_request(&self, connection: HolderId) -> bool {
        let holder = self.holders.get(&connection);
        holder.is_some_and(|holder| matches!(holder.used_for, Use::Connection { requests: 1, .. }))
    }
}

/// Order in which holders are evicted, lowest first; `None` for those that are not evicted.
fn eviction_rank(holder: &Holder, now: Instant, request_bytes: usize) -> Option<u8> {
    let stalled = now.since(holder.progress_at) >= STALL_TIME;
    match holder.used_for {
        Use::ArrivingBody { .. } if stalled => Some(0),
        Use::Connection { served: false, requests: 0 } if stalled => Some(1),
        Use::ArrivingBody { .. } if request_bytes <= SMALL_REQUEST_BYTES && holder.bytes > SMALL_REQUEST_BYTES => {
            Some(2)
        }
        Use::Connection { requests: 0, .. } if stalled => Some(3),
        _ => None,
    }
}
