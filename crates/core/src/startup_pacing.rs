//! How fast a node sends after a start, until it knows keepers of servers.
//!
//! The load: all nodes start together, each has held the requests of a second, and each
//! believes every server empty. Sent at once they meet at the servers, and nearly all
//! are late; those that come afterwards wait behind them. So a node sends as many of a
//! service as its share of the slots that are free by what servers tell, those first
//! that can be in time, and those that are late already when no other one waits.
//!
//! Keepers place requests by what really runs at the servers, so that this ends when they
//! are known. It ends by itself too: loads are told in the servers' answers by then.

use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which requests are sent as they come although no keeper is known: nodes that
/// hear each other know keepers within half a second, and a node that hears nobody is
/// better served by the loads that servers tell.
const MAX_PACING: Duration = Duration::from_secs(2);

/// A request that wants to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacedRequest {
    /// When it was received.
    pub received: Instant,
    /// Until when it has to be sent to be in time.
    pub send_deadline: Instant,
    /// Until when its caller waits.
    pub until: Instant,
}

impl PacedRequest {
    /// Requests go in the order of this: those that can be in time first, and of these,
    /// as of the others, those that came first.
    fn order(&self, now: Instant) -> (bool, Instant) {
        (self.send_deadline < now, self.received)
    }
}

/// What a request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacingDecision {
    /// It is sent now.
    Send,
    /// It waits for its turn under this number.
    Wait(u64),
}

#[derive(Debug, Default)]
struct Service {
    running: usize,
    waiting: Vec<(u64, PacedRequest)>,
}

impl Service {
    /// The request that goes first.
    fn first(&self, now: Instant) -> Option<u64> {
        let stay = self.waiting.iter().filter(|(_, request)| now < request.until);
        let first = stay.min_by_key(|(number, request)| (request.order(now), *number))?;
        Some(first.0)
    }

    fn remove(&mut self, number: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != number);
    }
}

/// The requests of a node after its start.
#[derive(Debug)]
pub struct StartupPacer {
    /// Until when requests are paced; none are before something is known.
    ends: Option<Instant>,
    /// Nodes that send requests, this one among them.
    nodes: usize,
    services: HashMap<Arc<str>, Service>,
    last_number: u64,
}

impl Default for StartupPacer {
    fn default() -> Self {
        Self { ends: None, nodes: 1, services: HashMap::new(), last_number: 0 }
    }
}

impl StartupPacer {
    /// The node knows enough to serve from now on.
    pub fn begin(&mut self, now: Instant) {
        self.ends = Some(now + MAX_PACING);
    }

    /// So many nodes send requests, this one among them.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Until when requests are paced; `None` where they are not.
    pub fn ends(&self, now: Instant) -> Option<Instant> {
        self.ends.filter(|end| now < *end)
    }

    /// A request wants to be sent to a service, of which all nodes together may use so
    /// many free slots.
    pub fn submit(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        free_slots: f64,
        request: PacedRequest,
    ) -> PacingDecision {
        let nodes = self.nodes;
        let entry = self.services.entry(service.clone()).or_default();
        self.last_number += 1;
        let number = self.last_number;
        entry.waiting.push((number, request));
        let has_room = entry.running < share(free_slots, entry.running, nodes);
        // Where another one goes first, it is given its turn by `next`.
        if has_room && entry.first(now) == Some(number) {
            entry.remove(number);
            entry.running += 1;
            return PacingDecision::Send;
        }
        PacingDecision::Wait(number)
    }

    /// The waiting request of a service that is sent now, if there is room for one.
    pub fn next(&mut self, now: Instant, service: &str, free_slots: f64) -> Option<u64> {
        let nodes = self.nodes;
        let entry = self.services.get_mut(service)?;
        if entry.running >= share(free_slots, entry.running, nodes) {
            return None;
        }
        let number = entry.first(now)?;
        entry.remove(number);
        entry.running += 1;
        Some(number)
    }

    /// A request that was sent has ended.
    pub fn note_end(&mut self, service: &str) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// A waiting request has left.
    pub fn forget(&mut self, service: &str, number: u64) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.remove(number);
        }
    }

    /// Keepers are known, or the time is over: gives back all that wait, in the order in
    /// which they go.
    pub fn finish(&mut self, now: Instant) -> Vec<u64> {
        self.ends = None;
        let waiting = self.services.values_mut().flat_map(|service| std::mem::take(&mut service.waiting));
        let mut waiting: Vec<(u64, PacedRequest)> = waiting.collect();
        waiting.sort_unstable_by_key(|(number, request)| (request.order(now), *number));
        waiting.into_iter().map(|(number, _)| number).collect()
    }
}

/// Requests that a node may have running: its part of what it and the others can use, and
/// one at least.
fn share(free_slots: f64, running: usize, nodes: usize) -> usize {
    let usable = free_slots.max(0.0) + running as f64;
    ((usable / nodes as f64) as usize).max(1)
}
