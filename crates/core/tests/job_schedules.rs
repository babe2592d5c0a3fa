//! Batch jobs on a replicated log under seeded schedules of message loss, delay,
//! duplication and reordering, crashes, pauses, network partitions and disk loss.

mod simulation;

use latchwheel_core::replication::AckRule;
use simulation::{for_each_seed, run_schedule, FaultKind, ScheduleSettings};

const ALL_FAULTS: [FaultKind; 5] =
    [FaultKind::Crash, FaultKind::Pause, FaultKind::CutOneWay, FaultKind::CutBothWays, FaultKind::LoseDisk];

fn three_replicas(faults: &[FaultKind]) -> ScheduleSettings {
    ScheduleSettings {
        machines: 4,
        replicas: 3,
        zones: 3,
        ack_rule: AckRule::Quorum,
        faults: faults.to_vec(),
        loss: 0.03,
        jobs: 4,
    }
}

#[test]
fn jobs_end_exactly_once_without_faults() {
    let settings = ScheduleSettings { loss: 0.0, ..three_replicas(&[]) };
    for_each_seed(1, 200, |seed| run_schedule(seed, &settings));
}

#[test]
fn jobs_end_exactly_once_under_crashes() {
    for_each_seed(10_000, 1500, |seed| run_schedule(seed, &three_replicas(&[FaultKind::Crash])));
}

#[test]
fn jobs_end_exactly_once_under_pauses() {
    for_each_seed(20_000, 1500, |seed| run_schedule(seed, &three_replicas(&[FaultKind::Pause])));
}

#[test]
fn jobs_end_exactly_once_under_network_partitions() {
    let settings = three_replicas(&[FaultKind::CutOneWay, FaultKind::CutBothWays]);
    for_each_seed(30_000, 1500, |seed| run_schedule(seed, &settings));
}

#[test]
fn jobs_end_exactly_once_when_disks_are_lost() {
    for_each_seed(40_000, 1500, |seed| run_schedule(seed, &three_replicas(&[FaultKind::LoseDisk])));
}

#[test]
fn jobs_end_exactly_once_under_all_faults_together() {
    for_each_seed(50_000, 3000, |seed| run_schedule(seed, &three_replicas(&ALL_FAULTS)));
}

#[test]
fn jobs_end_exactly_once_with_five_replicas() {
    let settings = ScheduleSettings { machines: 6, replicas: 5, ..three_replicas(&ALL_FAULTS) };
    for_each_seed(60_000, 1000, |seed| run_schedule(seed, &settings));
}

#[test]
fn jobs_end_exactly_once_when_all_reachable_replicas_acknowledge() {
    let settings = ScheduleSettings { ack_rule: AckRule::Reachable, ..three_replicas(&ALL_FAULTS) };
    for_each_seed(70_000, 1000, |seed| run_schedule(seed, &settings));
}
