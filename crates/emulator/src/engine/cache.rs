//! The engine's prefix cache with eviction, and its events, which are
//! published late and with gaps.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Events that are kept for late readers.
const EVENT_LIMIT: usize = 4096;

#[derive(Clone, Debug)]
pub(super) struct PublishedEvent {
    pub(super) sequence: u64,
    pub(super) stored: Vec<u64>,
    pub(super) evicted: Vec<u64>,
    at: Instant,
}

#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    uses: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
    events: VecDeque<PublishedEvent>,
    next_event: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: HashMap::new(),
            order: VecDeque::new(),
            clock: 0,
            events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// Number of leading blocks that are cached.
    pub(super) fn matched(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.uses.contains_key(block)).count()
    }

    /// Stores a prompt's blocks, evicting the least recently used ones.
    pub(super) fn store(&mut self, blocks: &[u64], drop_event: bool) {
        let mut stored = Vec::new();
        for block in blocks {
            self.clock += 1;
            if self.uses.insert(*block, self.clock).is_none() {
                stored.push(*block);
            }
            self.order.push_back((*block, self.clock));
        }
        let evicted = self.evict();
        if stored.is_empty() && evicted.is_empty() {
            return;
        }
        let event = PublishedEvent { sequence: self.next_event, stored, evicted, at: Instant::now() };
        self.next_event += 1;
        if !drop_event {
            self.events.push_back(event);
        }
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.uses.len() > self.capacity {
            let Some((block, used)) = self.order.pop_front() else { break };
            if self.uses.get(&block) == Some(&used) {
                self.uses.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }

    /// Events from a sequence number on that are at least as old as the lag.
    pub(super) fn events_from(&self, sequence: u64, lag: Duration) -> Vec<PublishedEvent> {
        let visible = |event: &&PublishedEvent| event.sequence >= sequence && event.at.elapsed() >= lag;
        self.events.iter().filter(visible).cloned().collect()
    }

    /// All cached blocks, and the sequence number of the next event.
    pub(super) fn whole(&self) -> (Vec<u64>, u64) {
        (self.uses.keys().copied().collect(), self.next_event)
    }
}
