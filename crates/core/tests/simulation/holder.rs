//! The part of a machine that runs batch items: it leases them, runs them at
//! its engines, and hands the results in until they are committed.

use super::world::{Destination, EngineRun, Happening, LeaseAsk, MachineNumber, Message, World};
use latchwheel_core::abandoned_requests::AbandonedRequests;
use latchwheel_core::code::ResultCode;
use latchwheel_core::leasing::LEASE_LENGTH;
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::{CompleteItems, CompleteRequest, HeldChunk, ItemResult};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

const TICK: (u64, u64) = (60, 140);
const ENGINE_SLOTS: usize = 3;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// State of a held item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Held {
    Waiting,
    Runs,
    Done,
}

/// Results on their way to the leader.
#[derive(Clone, Debug)]
pub struct HandedIn {
    pub request: u64,
    pub sent: Instant,
    pub items: Vec<(String, u64)>,
}

/// The holder of one machine.
#[derive(Default)]
pub struct Holder {
    pub items: BTreeMap<(String, u64), (u64, Held)>,
    pub leader: Option<MachineNumber>,
    pub term: u64,
    pub valid_until: Instant,
    pub send_positions: bool,
    pub lease_request: Option<(u64, Instant)>,
    pub complete_request: Option<HandedIn>,
    pub requests: u64,
    pub unanswered: AbandonedRequests,
}

impl Holder {
    /// The holder of a machine; no two use one request number.
    pub fn of(machine: MachineNumber) -> Self {
        Self { requests: (machine as u64) << 32, ..Self::default() }
    }

    pub fn reset(&mut self) {
        // Request numbers go on, so that a late answer to an earlier start
        // is not taken for one to this start.
        *self = Holder { requests: self.requests, ..Holder::default() };
    }

    fn chunks(&self, with_positions: bool) -> Vec<HeldChunk> {
        let mut chunks: BTreeMap<(u64, String), Vec<u64>> = BTreeMap::new();
        for ((job, position), (lease, _)) in &self.items {
            chunks.entry((*lease, job.clone())).or_default().push(*position);
        }
        let chunk = |((lease, job), positions): ((u64, String), Vec<u64>)| HeldChunk {
            lease,
            job,
            positions: if with_positions { positions } else { Vec::new() },
        };
        chunks.into_iter().map(chunk).collect()
    }
}

impl World {
    pub fn holder_tick(&mut self, number: MachineNumber, boot: u64) {
        if self.machines[number].boot != boot || !self.is_alive(number) {
            return;
        }
        let after = self.milliseconds(TICK.0, TICK.1);
        self.schedule(after, Happening::HolderTick(number, boot));
        if self.machines[number].paused {
            return;
        }
        self.start_items(number);
        self.ask_for_items(number);
        self.hand_in(number);
    }

    /// Starts waiting items; a lease is checked at the moment of use.
    fn start_items(&mut self, number: MachineNumber) {
        if self.now >= self.holders[number].valid_until {
            return;
        }
        let holder = &self.holders[number];
        let running = holder.items.values().filter(|(_, held)| *held == Held::Runs).count();
        let next: Vec<(String, u64)> = holder
            .items
            .iter()
            .filter(|(_, (_, held))| *held == Held::Waiting)
            .map(|(item, _)| item.clone())
            .take(ENGINE_SLOTS.saturating_sub(running))
            .collect();
        for (job, position) in next {
            if let Some(entry) = self.holders[number].items.get_mut(&(job.clone(), position)) {
                entry.1 = Held::Runs;
            }
            let run = EngineRun { at: self.now, holder: number };
            self.runs.entry((job.clone(), position)).or_default().push(run);
            let time = self.milliseconds(20, 700);
            let boot = self.machines[number].boot;
            self.schedule(time, Happening::EngineDone { holder: number, boot, job, position });
        }
    }

    pub fn engine_done(&mut self, number: MachineNumber, boot: u64, job: String, position: u64) {
        if self.machines[number].boot != boot || !self.is_alive(number) {
            return;
        }
        if let Some(entry) = self.holders[number].items.get_mut(&(job, position)) {
            entry.1 = Held::Done;
        }
    }

    fn guess_leader(&mut self, number: MachineNumber) -> MachineNumber {
        let random = self.random.random_range(0..self.machines.len());
        self.holders[number].leader.unwrap_or(random)
    }

    fn ask_for_items(&mut self, number: MachineNumber) {
        let now = self.now;
        let leader = self.guess_leader(number);
        let holder = &mut self.holders[number];
        match holder.lease_request {
            Some((_, sent)) if now.since(sent) < REQUEST_TIMEOUT => return,
            Some((request, _)) => {
                holder.unanswered.note(now, &[request]);
                holder.leader = None;
            }
            None => {}
        }
        let waiting = holder.items.values().filter(|(_, held)| *held == Held::Waiting).count();
        holder.requests += 1;
        holder.lease_request = Some((holder.requests, now));
        let ask = LeaseAsk {
            request: holder.requests,
            room: (2 * ENGINE_SLOTS).saturating_sub(waiting),
            held: holder.chunks(holder.send_positions),
            term: holder.term,
            unanswered: holder.unanswered.to_report(now),
        };
        let message = Message::Lease { holder: number, ask };
        self.send(Some(number), Destination::Machine(leader), message);
    }

    fn hand_in(&mut self, number: MachineNumber) {
        let now = self.now;
        let leader = self.guess_leader(number);
        let give_back = self.random.random_bool(0.05);
        let holder = &mut self.holders[number];
        match &holder.complete_request {
            Some(handed_in) if now.since(handed_in.sent) < REQUEST_TIMEOUT => return,
            _ => {}
        }
        let of_state = |holder: &Holder, state: &Held| -> Vec<(String, u64)> {
            holder.items.iter().filter(|(_, (_, held))| held == state).map(|(item, _)| item.clone()).collect()
        };
        let done = of_state(holder, &Held::Done);
        let waiting = if give_back { of_state(holder, &Held::Waiting) } else { Vec::new() };
        if done.is_empty() && waiting.is_empty() {
            return;
        }
        // An item that is given back is forgotten before it is told.
        let mut chunks: BTreeMap<(u64, String), Vec<u64>> = BTreeMap::new();
        for item in waiting {
            if let Some((lease, _)) = holder.items.remove(&item) {
                chunks.entry((lease, item.0)).or_default().push(item.1);
            }
        }
        let returned =
            chunks.into_iter().map(|((lease, job), positions)| HeldChunk { lease, job, positions }).collect();
        let mut by_job: BTreeMap<String, Vec<ItemResult>> = BTreeMap::new();
        for (job, position) in &done {
            let result = ItemResult { position: *position, code: ResultCode::Done.number(), ..ItemResult::default() };
            by_job.entry(job.clone()).or_default().push(result);
        }
        let completions =
            by_job.into_iter().map(|(job, results)| CompleteItems { job, results, at_seconds: 1 }).collect();
        holder.requests += 1;
        let request = holder.requests;
        holder.complete_request = Some(HandedIn { request, sent: now, items: done });
        let body = CompleteRequest { completions, returned, ..CompleteRequest::default() };
        let message = Message::Complete { holder: number, request, body };
        if give_back {
            // The runtime sends until it is answered: a late double arrives.
            let later = self.milliseconds(100, 900);
            let doubled = Happening::Deliver(Destination::Machine(leader), message.clone());
            self.schedule(later, doubled);
        }
        self.send(Some(number), Destination::Machine(leader), message);
    }

    pub fn holder_receives(&mut self, number: MachineNumber, message: Message) {
        let now = self.now;
        let holder = &mut self.holders[number];
        match message {
            Message::Leased { request, term, items, ended, leader, taken } => {
                let Some((expected, sent)) = holder.lease_request else { return };
                if expected != request {
                    return;
                }
                holder.lease_request = None;
                holder.leader = leader;
                holder.send_positions = !taken && term != 0;
                if term != 0 {
                    holder.term = term;
                }
                if !taken {
                    return;
                }
                // A lease counts from before it was asked for.
                holder.valid_until = sent + LEASE_LENGTH;
                holder.items.retain(|(job, _), _| !ended.contains(job));
                for item in items {
                    let entry = holder.items.entry((item.job, item.position)).or_insert((item.lease, Held::Waiting));
                    entry.0 = item.lease;
                }
                debug_assert!(now >= sent);
            }
            Message::Completed { request, committed, leader } => {
                let Some(handed_in) = holder.complete_request.clone() else { return };
                if handed_in.request != request {
                    return;
                }
                holder.complete_request = None;
                holder.leader = leader;
                if committed {
                    holder.items.retain(|item, _| !handed_in.items.contains(item));
                }
            }
            _ => {}
        }
    }
}
