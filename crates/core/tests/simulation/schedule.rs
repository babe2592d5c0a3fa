//! One schedule: a group runs jobs under random faults, then recovers and is checked.

use super::checks;
use super::client::{Client, JobPlan};
use super::holder::Holder;
use super::world::{SimEvent, World};
use latchwheel_core::replication::replacement::first_members;
use latchwheel_core::replication::{AckRule, Settings};
use latchwheel_protocol::v1::Replica;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::time::Duration;

/// A kind of injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Crash,
    Pause,
    CutOneWay,
    CutBothWays,
    LoseDisk,
}

/// Settings of a schedule.
#[derive(Clone, Debug)]
pub struct ScheduleSettings {
    pub machines: usize,
    pub replicas: usize,
    pub zones: usize,
    pub ack_rule: AckRule,
    pub faults: Vec<FaultKind>,
    pub loss: f64,
    pub jobs: usize,
}

const FAULT_TIME: Duration = Duration::from_secs(8);
const QUIET_TIME: Duration = Duration::from_secs(25);

/// Runs one schedule and checks it.
pub fn run_schedule(seed: u64, settings: &ScheduleSettings) {
    let mut world = World::new(seed);
    world.loss = settings.loss;
    let replication = Settings {
        election_timeout: Duration::from_millis(300),
        heartbeat: Duration::from_millis(60),
        ack_rule: settings.ack_rule,
    };
    for number in 0..settings.machines {
        let zone = format!("zone-{}", number % settings.zones);
        let replica = world.random.random::<u64>() | 1;
        world.add_machine(&zone, replica, replication, settings.replicas);
        world.holders.push(Holder::for_machine(world.holders.len()));
    }
    let live: Vec<Replica> = world
        .machines
        .iter()
        .enumerate()
        .map(|(number, machine)| Replica {
            replica: machine.replica,
            node: number as u64 + 1,
            zone: machine.zone.clone(),
            voter: false,
        })
        .collect();
    world.bootstrap(&first_members(&live, settings.replicas));
    for number in 0..settings.jobs {
        let cancel = world.random.random_bool(0.25);
        let cancel_at = cancel.then(|| world.now + world.random_milliseconds(500, 7000));
        let plan = JobPlan {
            job: format!("job-{number}"),
            file: format!("file-{number}"),
            items: world.random.random_range(1..25),
            repeatable: world.random.random_bool(0.6),
            cancel_at,
        };
        world.clients.push(Client::new(plan));
        let after = world.random_milliseconds(0, 4000);
        world.schedule(after, SimEvent::ClientTick(number));
    }
    world.fault_kinds = settings.faults.clone();
    world.faults_end = world.now + FAULT_TIME;
    let first = world.random_milliseconds(300, 1500);
    if !settings.faults.is_empty() {
        world.schedule(first, SimEvent::Fault);
    }
    world.run_until(world.faults_end);
    world.loss = 0.0;
    world.cut.clear();
    for number in 0..world.machines.len() {
        world.resume(number);
        world.restart(number);
    }
    let end = world.now + QUIET_TIME;
    world.run_until(end);
    checks::check(&world);
}

impl World {
    pub fn random_fault(&mut self) {
        if self.now >= self.faults_end {
            return;
        }
        let after = self.random_milliseconds(200, 1800);
        self.schedule(after, SimEvent::Fault);
        let kinds = self.fault_kinds.clone();
        let Some(kind) = kinds.choose(&mut self.random) else { return };
        let machine = self.random.random_range(0..self.machines.len());
        let time = self.random_milliseconds(50, 2500);
        match kind {
            FaultKind::Crash => {
                self.crash(machine);
                self.schedule(time, SimEvent::Restart(machine));
            }
            FaultKind::Pause => {
                self.machines[machine].paused = true;
                self.schedule(time, SimEvent::Resume(machine));
            }
            FaultKind::CutOneWay | FaultKind::CutBothWays => {
                let zones: Vec<String> = self.machines.iter().map(|machine| machine.zone.clone()).collect();
                let (Some(from), Some(to)) = (zones.choose(&mut self.random), zones.choose(&mut self.random)) else {
                    return;
                };
                if from != to {
                    self.cut.insert((from.clone(), to.clone()));
                    if *kind == FaultKind::CutBothWays {
                        self.cut.insert((to.clone(), from.clone()));
                    }
                    self.schedule(time, SimEvent::Heal);
                }
            }
            FaultKind::LoseDisk => {
                // The group survives one lost disk at a time: the next is lost
                // only after this one has been replaced.
                if self.may_lose_disk() {
                    self.lose_disk(machine);
                    self.schedule(time, SimEvent::Restart(machine));
                }
            }
        }
    }

    /// Whether the group is complete: all members are voters and agree on the
    /// members.
    fn may_lose_disk(&self) -> bool {
        let latest_leader = self.machines.iter().filter_map(|machine| machine.running.as_ref()).max_by_key(|running| {
            let leads = running.core.role() == latchwheel_core::replication::Role::Leader;
            (leads, running.core.term())
        });
        let Some(leader) = latest_leader else { return false };
        let members = leader.core.members();
        let agrees = |replica: u64| {
            let machine = self.machine_of(replica).map(|number| &self.machines[number]);
            let running = machine.and_then(|machine| machine.running.as_ref());
            running.is_some_and(|running| running.core.members() == members)
        };
        leader.core.commit_index() > 0 && members.replicas.iter().all(|member| member.voter && agrees(member.replica))
    }
}
