//! Paces the requests that a node sends after startup, until it has contact with trackers.
//!
//! After a restart of all nodes, each has held requests and assumes that every server is
//! empty. If all were sent at once they would queue at the servers and nearly all be late.
//! So each node sends only its share of the free slots that servers report: first the
//! requests that can still be in time, then late ones.
//!
//! Pacing ends once trackers are available, which place requests by the actual load, or
//! after [`MAX_PACING`].

use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum duration of pacing if no tracker becomes available. Nodes in contact know trackers
/// within half a second; a node without contact is better served by the loads that servers
/// report.
const MAX_PACING: Duration = Duration::from_secs(2);

/// A request that is ready to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacedRequest {
    /// When it was received.
    pub received: Instant,
    /// Latest time to send the request so that it is in time.
    pub send_deadline: Instant,
    /// Time at which its caller stops waiting.
    pub until: Instant,
}

impl PacedRequest {
    /// Sort key: requests that can be in time first, then by arrival.
    fn order(&self, now: Instant) -> (bool, Instant) {
        (self.send_deadline < now, self.received)
    }
}

/// Whether a request is sent now or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacingDecision {
    /// The request is sent now.
    Send,
    /// The request waits under this number.
    Wait(u64),
}

#[derive(Debug, Default)]
struct Service {
    running: usize,
    waiting: Vec<(u64, PacedRequest)>,
}

impl Service {
    /// Returns the next request to send whose caller still waits.
    fn first(&self, now: Instant) -> Option<u64> {
        let stay = self.waiting.iter().filter(|(_, request)| now < request.until);
        let first = stay.min_by_key(|(number, request)| (request.order(now), *number))?;
        Some(first.0)
    }

    fn remove(&mut self, number: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != number);
    }
}

/// Paces the requests of a node after startup.
#[derive(Debug)]
pub struct StartupPacer {
    /// End of pacing; `None` before it begins and after it ends.
    ends: Option<Instant>,
    /// Nodes that send requests, including this one.
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
    /// Begins pacing: the node can serve from now on.
    pub fn begin(&mut self, now: Instant) {
        self.ends = Some(now + MAX_PACING);
    }

    /// Sets the number of nodes that send requests, including this one.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// End of pacing; `None` if requests are not paced.
    pub fn ends(&self, now: Instant) -> Option<Instant> {
        self.ends.filter(|end| now < *end)
    }

    /// Submits a request to a service with `free_slots` slots free for all nodes together.
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
        // If another request goes first, `next` returns that one.
        if has_room && entry.first(now) == Some(number) {
            entry.remove(number);
            entry.running += 1;
            return PacingDecision::Send;
        }
        PacingDecision::Wait(number)
    }

    /// Returns the waiting request that is sent now, if the node's share has a free slot.
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

    /// Records the end of a request that was sent.
    pub fn note_end(&mut self, service: &str) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Removes a waiting request.
    pub fn forget(&mut self, service: &str, number: u64) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.remove(number);
        }
    }

    /// Ends pacing and returns all waiting requests in sending order.
    pub fn finish(&mut self, now: Instant) -> Vec<u64> {
        self.ends = None;
        let waiting = self.services.values_mut().flat_map(|service| std::mem::take(&mut service.waiting));
        let mut waiting: Vec<(u64, PacedRequest)> = waiting.collect();
        waiting.sort_unstable_by_key(|(number, request)| (request.order(now), *number));
        waiting.into_iter().map(|(number, _)| number).collect()
    }
}

/// Requests that a node may have running: its share of the usable slots, at least one.
fn share(free_slots: f64, running: usize, nodes: usize) -> usize {
    let usable = free_slots.max(0.0) + running as f64;
    ((usable / nodes as f64) as usize).max(1)
}
