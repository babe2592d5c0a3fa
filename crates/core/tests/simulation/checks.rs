//! Invariants checked at the end of every schedule.

use super::world::World;
use latchwheel_core::jobs::{Job, JobState};
use latchwheel_core::leasing::LEASE_LENGTH;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after an acknowledged cancellation in which items may still start: an
/// unreachable holder keeps its lease, and a partitioned leader may still grant.
const CANCEL_GRACE: Duration = Duration::from_millis(LEASE_LENGTH.as_millis() as u64 + 1000);

/// Checks the final state of a schedule.
pub fn check(world: &World) {
    check_logs(world);
    let state = final_state(world);
    for client in &world.clients {
        assert!(client.created_at.is_some(), "{} was never acknowledged", client.plan.job);
        let job = state.job(&client.plan.job).unwrap_or_else(|| panic!("{} is lost", client.plan.job));
        check_job(world, client.plan.items, job);
        if let Some(at) = client.cancel_acknowledged {
            check_cancelled(world, job, at);
        } else if client.step >= 4 && !client.ended_before_cancel && client.plan.cancel_at.is_none() {
            assert!(!job.record.cancelled, "{} is cancelled without a request", client.plan.job);
        }
    }
}

/// Checks that no two replicas applied different entries at an index.
fn check_logs(world: &World) {
    let mut terms: BTreeMap<u64, u64> = BTreeMap::new();
    for running in world.machines.iter().filter_map(|machine| machine.running.as_ref()) {
        for (index, term) in &running.applied {
            if *term != 0 {
                let present = terms.entry(*index).or_insert(*term);
                assert_eq!(present, term, "replicas differ at index {index}");
            }
        }
    }
}

fn final_state(world: &World) -> &JobState {
    let running = world.machines.iter().filter_map(|machine| machine.running.as_ref());
    let latest = running.max_by_key(|running| running.core.applied_index()).expect("a machine runs");
    &latest.state
}

fn check_job(world: &World, items: u64, job: &Job) {
    let record = &job.record;
    assert_eq!(record.items, items);
    let ended = record.completed + record.failed;
    if record.cancelled {
        assert!(ended <= items);
    } else {
        assert_eq!(ended, items, "{} did not end: {record:?}\n{}", record.job, describe(world));
    }
    if record.repeatable {
        assert_eq!(record.failed, 0, "{} failed repeatable items", record.job);
        return;
    }
    for position in 0..items {
        let runs = world.runs.get(&(record.job.clone(), position)).map_or(0, Vec::len);
        assert!(runs <= 1, "item {position} of {} ran {runs} times", record.job);
    }
    let ran = (0..items).filter(|position| world.runs.contains_key(&(record.job.clone(), *position))).count();
    assert!(record.completed <= ran as u64, "{} has results of items that never ran", record.job);
}

fn check_cancelled(world: &World, job: &Job, at: latchwheel_core::time::Instant) {
    assert!(job.record.cancelled, "the cancellation of {} is lost", job.record.job);
    let late = world
        .runs
        .iter()
        .filter(|((name, _), _)| *name == job.record.job)
        .flat_map(|(_, runs)| runs)
        .find(|run| run.at > at + CANCEL_GRACE);
    assert!(late.is_none(), "{} started an item long after its cancellation: {late:?}", job.record.job);
}

/// Describes the machines, for the message of a failed check.
fn describe(world: &World) -> String {
    let mut text = String::new();
    for (number, machine) in world.machines.iter().enumerate() {
        let Some(running) = machine.running.as_ref() else {
            text += &format!("machine {number}: down\n");
            continue;
        };
        let core = &running.core;
        let members: Vec<String> = core
            .members()
            .replicas
            .iter()
            .map(|member| format!("{:?}{}", world.machine_of(member.replica), if member.voter { "" } else { "?" }))
            .collect();
        let leasing = running.leasing.as_ref();
        text += &format!(
            "machine {number}: {:?} term {} leader {:?} commit {} applied {} blocked {} members {members:?} held {:?} holder {:?}\n",
            core.role(),
            core.term(),
            world.machine_of(core.leader()),
            core.commit_index(),
            core.applied_index(),
            running.blocked,
            leasing.map(latchwheel_core::leasing::Leasing::held_items),
            world.holders[number].items,
        );
    }
    text
}
