//! Performs the actions of a machine's replica.

use super::machine::{Disk, Running, Waiter};
use super::world::{Destination, MachineNumber, Message, SimEvent, World};
use latchwheel_core::code::ResultCode;
use latchwheel_core::jobs::JobState;
use latchwheel_core::leasing::Leasing;
use latchwheel_core::replication::{Action, Event};
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{Command, Entry, EntryKind, Outcome};
use latchwheel_protocol::Message as Decode;
use rand::Rng;

const COMPACT_ENTRIES: usize = 40;
const COMPACT_TAIL: u64 = 8;

impl World {
    pub(super) fn perform(&mut self, number: MachineNumber, actions: Vec<Action>) {
        let mut actions = actions.into_iter();
        for action in actions.by_ref() {
            if let Action::Persist(hard, truncate, entries) = action {
                let Some(running) = self.machines[number].running.as_mut() else { return };
                running.blocked = true;
                running.pending_hard = Some(hard);
                running.pending_writes.push((truncate, entries));
                break;
            }
            self.perform_one(number, action);
        }
        let blocked = self.machines[number].running.as_ref().is_some_and(|running| running.blocked);
        if !blocked {
            return;
        }
        // Later persists join this sync; all other actions wait for it.
        let Some(running) = self.machines[number].running.as_mut() else { return };
        for action in actions {
            match action {
                Action::Persist(hard, truncate, entries) => {
                    running.pending_hard = Some(hard);
                    running.pending_writes.push((truncate, entries));
                }
                other => running.deferred_actions.push(other),
            }
        }
        let boot = self.machines[number].boot;
        let slow = self.random.random_bool(0.02);
        let time = if slow { self.random_milliseconds(50, 400) } else { self.random_milliseconds(0, 3) };
        self.schedule(time, SimEvent::Synced(number, boot));
    }

    pub fn synced(&mut self, number: MachineNumber, boot: u64) {
        if self.machines[number].boot != boot {
            return;
        }
        let now = self.now;
        let machine = &mut self.machines[number];
        let Some(running) = machine.running.as_mut() else { return };
        let last = running.pending_writes.iter().rev().find_map(|(_, entries)| entries.last()).cloned();
        machine.disk.write(running);
        running.blocked = false;
        let deferred_actions = std::mem::take(&mut running.deferred_actions);
        let mut next = Vec::new();
        if let Some(entry) = last {
            next = running.core.handle(now, Event::Persisted(entry.term, entry.index));
        }
        for action in deferred_actions {
            self.perform_one(number, action);
        }
        self.perform(number, next);
        self.drain_inbox(number);
    }

    pub(super) fn drain_inbox(&mut self, number: MachineNumber) {
        loop {
            let Some(running) = self.machines[number].running.as_mut() else { return };
            if running.blocked {
                return;
            }
            let Some(message) = running.inbox.pop_front() else { return };
            self.machine_receives(number, message);
        }
    }

    pub(super) fn perform_one(&mut self, number: MachineNumber, action: Action) {
        let now = self.now;
        match action {
            Action::Persist(..) => unreachable!("perform handles persists"),
            Action::Send(message) => {
                if let Some(to) = self.machine_of(message.to) {
                    self.send(Some(number), Destination::Machine(to), Message::Replication(message));
                }
            }
            Action::Apply(entries) => self.apply(number, entries),
            Action::Proposed(identity, index, term) => {
                if let Some(running) = self.machines[number].running.as_mut() {
                    running.by_index.insert(index, (term, identity));
                }
            }
            Action::Rejected(identity) => {
                let waiter =
                    self.machines[number].running.as_mut().and_then(|running| running.proposals.remove(&identity));
                self.answer(number, waiter, Err(ResultCode::NotLeader));
            }
            Action::Acknowledged(index) => {
                let Some(running) = self.machines[number].running.as_mut() else { return };
                let later = running.unacknowledged.split_off(&(index + 1));
                let ready = std::mem::replace(&mut running.unacknowledged, later);
                for (waiter, outcome) in ready.into_values() {
                    self.answer(number, waiter, Ok(outcome));
                }
            }
            Action::ReadReady(..) | Action::ReadRejected(..) => {}
            Action::PullState(from) => {
                let source = self.machine_of(from);
                let boot = self.machines[number].boot;
                let after = self.random_milliseconds(5, 200);
                self.schedule(after, SimEvent::Pulled(number, boot, source));
            }
            Action::Elected(term) => {
                let replica = self.machines[number].replica;
                let earlier = self.leader_by_term.insert(term, replica);
                assert!(earlier.is_none_or(|earlier| earlier == replica), "two leaders in term {term}");
                if let Some(running) = self.machines[number].running.as_mut() {
                    running.leasing = Some(Leasing::new(now, term, &running.state));
                    running.lost_since.clear();
                }
            }
            Action::Deposed => {
                let Some(running) = self.machines[number].running.as_mut() else { return };
                running.leasing = None;
                running.by_index.clear();
                let proposed = std::mem::take(&mut running.proposals).into_values().map(Some);
                let applied = std::mem::take(&mut running.unacknowledged).into_values().map(|(waiter, _)| waiter);
                let waiters: Vec<Option<Waiter>> = proposed.chain(applied).collect();
                for waiter in waiters {
                    self.answer(number, waiter, Err(ResultCode::NoQuorum));
                }
            }
        }
    }

    pub fn pulled(&mut self, number: MachineNumber, boot: u64, source: Option<MachineNumber>) {
        if self.machines[number].boot != boot {
            return;
        }
        let now = self.now;
        let pulled_state = source.and_then(|source| {
            let link = (self.machines[number].zone.clone(), self.machines[source].zone.clone());
            let running = self.machines[source].running.as_ref()?;
            let reachable = !self.cut.contains(&link) && !self.machines[source].paused;
            reachable.then(|| (running.core.base_at_applied(), running.state.clone()))
        });
        let machine = &mut self.machines[number];
        let Some(running) = machine.running.as_mut() else { return };
        let Some((base, state)) = pulled_state else { return running.core.state_pull_failed() };
        machine.disk.base = base.clone();
        machine.disk.base_state = state.clone();
        machine.disk.entries.clear();
        running.state = state;
        running.applied.push((base.index, 0));
        let actions = running.core.handle(now, Event::StateInstalled(base));
        self.perform(number, actions);
    }

    pub(super) fn apply(&mut self, number: MachineNumber, entries: Vec<Entry>) {
        let mut answers = Vec::new();
        {
            let Some(running) = self.machines[number].running.as_mut() else { return };
            for entry in entries {
                running.applied.push((entry.index, entry.term));
                let is_of_own_term = entry.term == running.core.term();
                if let Some(leasing) = running.leasing.as_mut().filter(|_| is_of_own_term) {
                    leasing.note_own_term_applied();
                }
                if entry.kind() != EntryKind::Command {
                    continue;
                }
                let command = Command::decode(entry.payload.clone()).expect("a committed command decodes");
                let applied = running.state.apply(command.clone());
                if let Some(leasing) = running.leasing.as_mut() {
                    update_leasing(leasing, &command, &running.state);
                }
                if let Some((term, identity)) = running.by_index.remove(&entry.index) {
                    let waiter = running.proposals.remove(&identity);
                    if term == entry.term {
                        running.unacknowledged.insert(entry.index, (waiter, applied.outcome));
                    } else {
                        answers.push((waiter, Err(ResultCode::NotLeader)));
                    }
                }
            }
        }
        for (waiter, result) in answers {
            self.answer(number, waiter, result);
        }
        self.compact(number);
    }

    pub(super) fn compact(&mut self, number: MachineNumber) {
        let now = self.now;
        let machine = &mut self.machines[number];
        let Some(running) = machine.running.as_mut() else { return };
        if running.core.log_size().0 < COMPACT_ENTRIES {
            return;
        }
        // The simulated disk stores the state only as of its base.
        let base = running.core.base_at_applied();
        machine.disk.base_state = running.state.clone();
        machine.disk.entries.retain(|index, _| *index > base.index);
        machine.disk.base = base.clone();
        let keep = base.index.saturating_sub(COMPACT_TAIL);
        let done = running.core.handle(now, Event::Compact(keep));
        assert!(done.is_empty());
    }

    pub(super) fn answer(
        &mut self,
        number: MachineNumber,
        waiter: Option<Waiter>,
        result: Result<Outcome, ResultCode>,
    ) {
        let leader = self.leader_seen_by(number);
        match waiter {
            Some(Waiter::Client { client, request }) => {
                let message = Message::Proposed { client, request, result, leader };
                self.send(Some(number), Destination::Client(client), message);
            }
            Some(Waiter::Grant { holder, request, items, ended }) => {
                if result.is_ok() {
                    let term = self.machines[number].running.as_ref().map_or(0, |running| running.core.term());
                    let message = Message::Leased { request, term, items, ended, leader, accepted: true };
                    self.send(Some(number), Destination::Machine(holder), message);
                }
            }
            Some(Waiter::Complete { holder, request }) => {
                let message = Message::Completed { request, committed: result.is_ok(), leader };
                self.send(Some(number), Destination::Machine(holder), message);
            }
            Some(Waiter::Nobody) | None => {}
        }
    }
}

impl Disk {
    /// Writes the pending hard state and entries.
    pub fn write(&mut self, running: &mut Running) {
        if let Some(hard) = running.pending_hard.take() {
            self.hard = hard;
        }
        for (truncate, entries) in running.pending_writes.drain(..) {
            if let Some(from) = truncate {
                self.entries.split_off(&from);
            }
            for entry in entries {
                if entry.index > self.base.index {
                    self.entries.insert(entry.index, entry);
                }
            }
        }
    }
}

fn update_leasing(leasing: &mut Leasing, command: &Command, state: &JobState) {
    match &command.body {
        Some(Body::CreateJob(created)) => {
            if let Some(job) = state.job(&created.job).filter(|job| !job.has_ended()) {
                leasing.open_job(job);
            }
        }
        Some(Body::CancelJob(cancelled)) => {
            if let Some(job) = state.job(&cancelled.job) {
                leasing.close_job(job);
            }
        }
        Some(Body::CompleteItems(completed)) => {
            let positions: Vec<u64> = completed.results.iter().map(|result| result.position).collect();
            leasing.note_completed(&completed.job, &positions);
            if let Some(job) = state.job(&completed.job).filter(|job| job.has_ended()) {
                leasing.close_job(job);
            }
        }
        Some(Body::Batch(batch)) => batch.commands.iter().for_each(|command| update_leasing(leasing, command, state)),
        _ => {}
    }
}
