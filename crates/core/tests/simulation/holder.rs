//! The lease holder of a machine: it leases batch items, runs them at its
//! engines, and submits the results until they are committed.

use super::world::{Destination, EngineRun, LeaseQuery, MachineNumber, Message, SimEvent, World};
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

/// Phase of a leased item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    Waiting,
    Runs,
    Done,
}

/// Results submitted to the leader and not yet committed.
#[derive(Clone, Debug)]
pub struct SubmittedResults {
    pub request: u64,
    pub sent: Instant,
    pub items: Vec<(String, u64)>,
}

/// State of one machine's lease holder.
#[derive(Default)]
pub struct Holder {
    pub items: BTreeMap<(String, u64), (u64, ItemPhase)>,
    pub leader: Option<MachineNumber>,
    pub term: u64,
    pub valid_until: Instant,
    pub send_positions: bool,
    pub lease_request: Option<(u64, Instant)>,
    pub complete_request: Option<SubmittedResults>,
    pub requests: u64,
    pub abandoned: AbandonedRequests,
}

impl Holder {
    /// Creates the holder of a machine, with request numbers that no other uses.
    pub fn for_machine(machine: MachineNumber) -> Self {
        Self { requests: (machine as u64) << 32, ..Self::default() }
    }

    pub fn reset(&mut self) {
        // Request numbers continue, so that a late answer to the former process
        // matches no request of the new one.
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
        let after = self.random_milliseconds(TICK.0, TICK.1);
        self.schedule(after, SimEvent::HolderTick(number, boot));
        if self.machines[number].paused {
            return;
        }
        self.start_items(number);
        self.request_lease(number);
        self.submit_results(number);
    }

    /// Starts waiting items while the lease is valid.
    fn start_items(&mut self, number: MachineNumber) {
        if self.now >= self.holders[number].valid_until {
            return;
        }
        let holder = &self.holders[number];
        let running = holder.items.values().filter(|(_, phase)| *phase == ItemPhase::Runs).count();
        let next: Vec<(String, u64)> = holder
            .items
            .iter()
            .filter(|(_, (_, phase))| *phase == ItemPhase::Waiting)
            .map(|(item, _)| item.clone())
            .take(ENGINE_SLOTS.saturating_sub(running))
            .collect();
        for (job, position) in next {
            if let Some(entry) = self.holders[number].items.get_mut(&(job.clone(), position)) {
                entry.1 = ItemPhase::Runs;
            }
            let run = EngineRun { at: self.now, holder: number };
            self.runs.entry((job.clone(), position)).or_default().push(run);
            let time = self.random_milliseconds(20, 700);
            let boot = self.machines[number].boot;
            self.schedule(time, SimEvent::EngineDone { holder: number, boot, job, position });
        }
    }

    pub fn engine_done(&mut self, number: MachineNumber, boot: u64, job: String, position: u64) {
        if self.machines[number].boot != boot || !self.is_alive(number) {
            return;
        }
        if let Some(entry) = self.holders[number].items.get_mut(&(job, position)) {
            entry.1 = ItemPhase::Done;
        }
    }

    fn leader_or_random(&mut self, number: MachineNumber) -> MachineNumber {
        let random = self.random.random_range(0..self.machines.len());
        self.holders[number].leader.unwrap_or(random)
    }

    fn request_lease(&mut self, number: MachineNumber) {
        let now = self.now;
        let leader = self.leader_or_random(number);
        let holder = &mut self.holders[number];
        match holder.lease_request {
            Some((_, sent)) if now.since(sent) < REQUEST_TIMEOUT => return,
            Some((request, _)) => {
                holder.abandoned.note(now, &[request]);
                holder.leader = None;
            }
            None => {}
        }
        let waiting = holder.items.values().filter(|(_, phase)| *phase == ItemPhase::Waiting).count();
        holder.requests += 1;
        holder.lease_request = Some((holder.requests, now));
        let query = LeaseQuery {
            request: holder.requests,
            free_slots: (2 * ENGINE_SLOTS).saturating_sub(waiting),
            held: holder.chunks(holder.send_positions),
            term: holder.term,
            abandoned: holder.abandoned.to_report(now),
        };
        let message = Message::Lease { holder: number, query };
        self.send(Some(number), Destination::Machine(leader), message);
    }

    fn submit_results(&mut self, number: MachineNumber) {
        let now = self.now;
        let leader = self.leader_or_random(number);
        let return_items = self.random.random_bool(0.05);
        let holder = &mut self.holders[number];
        match &holder.complete_request {
            Some(submitted) if now.since(submitted.sent) < REQUEST_TIMEOUT => return,
            _ => {}
        }
        let of_state = |holder: &Holder, state: &ItemPhase| -> Vec<(String, u64)> {
            holder.items.iter().filter(|(_, (_, phase))| phase == state).map(|(item, _)| item.clone()).collect()
        };
        let done = of_state(holder, &ItemPhase::Done);
        let waiting = if return_items { of_state(holder, &ItemPhase::Waiting) } else { Vec::new() };
        if done.is_empty() && waiting.is_empty() {
            return;
        }
        // Returned items are removed before the message is sent.
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
        holder.complete_request = Some(SubmittedResults { request, sent: now, items: done });
        let body = CompleteRequest { completions, returned, ..CompleteRequest::default() };
        let message = Message::Complete { holder: number, request, body };
        if return_items {
            // The runtime resends until it is answered, so a late duplicate may arrive.
            let later = self.random_milliseconds(100, 900);
            let doubled = SimEvent::Deliver(Destination::Machine(leader), message.clone());
            self.schedule(later, doubled);
        }
        self.send(Some(number), Destination::Machine(leader), message);
    }

    pub fn holder_receives(&mut self, number: MachineNumber, message: Message) {
        let now = self.now;
        let holder = &mut self.holders[number];
        match message {
            Message::Leased { request, term, items, ended, leader, accepted } => {
                let Some((expected, sent)) = holder.lease_request else { return };
                if expected != request {
                    return;
                }
                holder.lease_request = None;
                holder.leader = leader;
                holder.send_positions = !accepted && term != 0;
                if term != 0 {
                    holder.term = term;
                }
                if !accepted {
                    return;
                }
                // The lease starts at the time of the request, not of the answer.
                holder.valid_until = sent + LEASE_LENGTH;
                holder.items.retain(|(job, _), _| !ended.contains(job));
                for item in items {
                    let entry =
                        holder.items.entry((item.job, item.position)).or_insert((item.lease, ItemPhase::Waiting));
                    entry.0 = item.lease;
                }
                debug_assert!(now >= sent);
            }
            Message::Completed { request, committed, leader } => {
                let Some(submitted) = holder.complete_request.clone() else { return };
                if submitted.request != request {
                    return;
                }
                holder.complete_request = None;
                holder.leader = leader;
                if committed {
                    holder.items.retain(|item, _| !submitted.items.contains(item));
                }
            }
            _ => {}
        }
    }
}
