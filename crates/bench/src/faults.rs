//! Carries the faults of a scenario out.

use crate::processes::Processes;
use crate::scenario::{Fault, FaultKind, Scenario};
use bytes::Bytes;
use hyper::Method;
use latchwheel_emulator::engine::EngineFaults;
use latchwheel_emulator::platform::KeyValueFaults;
use latchwheel_http::Client;
use latchwheel_site::{Machine, MachineKind, MachineListClient, MachineState};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use tokio::sync::watch;

const CALL_TIME: Duration = Duration::from_secs(5);

/// What a fault led to, as far as the driver sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultOutcome {
    /// Kind.
    pub kind: String,
    /// When it began, in seconds.
    pub at_seconds: f64,
    /// Edits that were taken, for operator races.
    pub edits_taken: u32,
    /// Edits that met another and were refused.
    pub edits_refused: u32,
    /// Edits of which it is not known.
    pub edits_unknown: u32,
}

enum Step {
    Begin(Fault),
    End(Fault),
}

/// Runs all faults at their times; `nodes` hears which nodes can be called.
pub async fn run(
    scenario: &Scenario,
    processes: &mut Processes,
    nodes: &watch::Sender<Vec<String>>,
) -> Vec<FaultOutcome> {
    let mut steps: Vec<(f64, Step)> = Vec::new();
    for fault in &scenario.faults {
        steps.push((fault.at_seconds, Step::Begin(fault.clone())));
        if fault.seconds > 0.0 {
            steps.push((fault.at_seconds + fault.seconds, Step::End(fault.clone())));
        }
    }
    steps.sort_by(|first, second| first.0.total_cmp(&second.0));
    let begun = Instant::now();
    let mut outcomes = Vec::new();
    for (at, step) in steps {
        tokio::time::sleep_until((begun + Duration::from_secs_f64(at)).into()).await;
        match step {
            Step::Begin(fault) => outcomes.push(begin(scenario, processes, nodes, &fault).await),
            Step::End(fault) => end(scenario, processes, nodes, &fault).await,
        }
        nodes.send_replace(processes.callers());
    }
    outcomes
}

async fn begin(
    scenario: &Scenario,
    processes: &mut Processes,
    nodes: &watch::Sender<Vec<String>>,
    fault: &Fault,
) -> FaultOutcome {
    let mut outcome = FaultOutcome {
        kind: format!("{:?}", fault.kind),
        at_seconds: fault.at_seconds,
        edits_taken: 0,
        edits_refused: 0,
        edits_unknown: 0,
    };
    let number = fault.target % processes.nodes.len().max(1);
    match fault.kind {
        FaultKind::KillNode | FaultKind::LoseDisk => {
            processes.kill_node(number).await;
            if let (FaultKind::LoseDisk, Some(data)) = (fault.kind, &processes.nodes[number].data) {
                let _ = std::fs::remove_dir_all(data);
            }
        }
        FaultKind::StopNode => {
            // A planned stop is announced to callers, too: they send elsewhere.
            let leaving = processes.nodes[number].addresses.callers.clone();
            nodes.send_modify(|nodes| nodes.retain(|node| *node != leaving));
            processes.signal_node(number, libc::SIGTERM);
            processes.wait_node(number).await;
        }
        FaultKind::PauseNode => processes.signal_node(number, libc::SIGSTOP),
        FaultKind::KeyValueAway => key_value(processes, KeyValueFaults { refuse: true, ..Default::default() }).await,
        FaultKind::KeyValueHangs => key_value(processes, KeyValueFaults { hang: true, ..Default::default() }).await,
        FaultKind::KeyValueLosesAnswers => {
            key_value(processes, KeyValueFaults { lose_answers: fault.count, ..Default::default() }).await;
        }
        FaultKind::EngineLeaves => set_engine(scenario, processes, fault.target, MachineState::Leaving).await,
        FaultKind::EngineRefuses => {
            engine(processes, fault.target, EngineFaults { refuse: true, ..Default::default() }).await;
        }
        FaultKind::CutZone => cut(processes, fault.target, true),
        FaultKind::CutZoneOutward => cut(processes, fault.target, false),
        FaultKind::OperatorRace => race(scenario, processes, fault, &mut outcome).await,
    }
    outcome
}

async fn end(scenario: &Scenario, processes: &mut Processes, nodes: &watch::Sender<Vec<String>>, fault: &Fault) {
    let number = fault.target % processes.nodes.len().max(1);
    match fault.kind {
        FaultKind::KillNode | FaultKind::LoseDisk | FaultKind::StopNode => {
            match processes.start_node(number).await {
                // Until then it refuses what it gets: it knows no table yet.
                Ok(()) => processes.announce_when_ready(number, nodes.clone()),
                Err(fault) => eprintln!("a node was not started again: {fault:#}"),
            }
        }
        FaultKind::PauseNode => processes.signal_node(number, libc::SIGCONT),
        FaultKind::KeyValueAway | FaultKind::KeyValueHangs | FaultKind::KeyValueLosesAnswers => {
            key_value(processes, KeyValueFaults::default()).await;
        }
        FaultKind::EngineLeaves => set_engine(scenario, processes, fault.target, MachineState::Live).await,
        FaultKind::EngineRefuses => engine(processes, fault.target, EngineFaults::default()).await,
        FaultKind::CutZone | FaultKind::CutZoneOutward => {
            for zone in processes.zones() {
                processes.set_links(zone, &[]);
            }
        }
        FaultKind::OperatorRace => {}
    }
}

fn cut(processes: &Processes, zone: usize, both_ways: bool) {
    let zones = processes.zones();
    let zone = zones[zone % zones.len()];
    let others: Vec<usize> = zones.into_iter().filter(|other| *other != zone).collect();
    for other in &others {
        processes.set_links(*other, &[zone]);
    }
    if both_ways {
        processes.set_links(zone, &others);
    }
}

async fn key_value(processes: &Processes, faults: KeyValueFaults) {
    let client = Client::http1();
    let _: Result<serde_json::Value, _> =
        client.json(Method::POST, &processes.site.key_value, "/admin/faults", &faults, CALL_TIME).await;
}

async fn engine(processes: &Processes, target: usize, faults: EngineFaults) {
    let address = &processes.site.engines[target % processes.site.engines.len()].address;
    let _: Result<serde_json::Value, _> =
        Client::http1().json(Method::POST, address, "/admin/faults", &faults, CALL_TIME).await;
}

async fn set_engine(scenario: &Scenario, processes: &Processes, target: usize, state: MachineState) {
    let engine = &processes.site.engines[target % processes.site.engines.len()];
    let machine = Machine {
        name: engine.name.clone(),
        kind: MachineKind::Engine,
        address: engine.address.clone(),
        zone: engine.zone.clone(),
        region: scenario.site.region.clone(),
        service: engine.service.clone(),
        state,
    };
    let _ = MachineListClient::new(processes.site.machines.clone()).register(&machine).await;
}

/// Two operators edit the first row at two nodes at once.
async fn race(scenario: &Scenario, processes: &Processes, fault: &Fault, outcome: &mut FaultOutcome) {
    let Some(row) = scenario.rows.first() else { return };
    let path = format!("/admin/v1/table/rows/{}", row.name);
    let client = Client::http1();
    let body = Bytes::from(serde_json::to_vec(row).unwrap_or_default());
    let running: Vec<usize> =
        (0..processes.nodes.len()).filter(|number| !processes.admin(*number).is_empty()).take(2).collect();
    for _ in 0..fault.count {
        let edits = running.iter().map(|number| {
            let (client, path, body) = (client.clone(), path.clone(), body.clone());
            let address = processes.admin(*number).to_owned();
            async move { client.call(Method::PUT, &address, &path, body, 3 * CALL_TIME).await }
        });
        for edit in futures::future::join_all(edits).await {
            match edit {
                Ok(_) => outcome.edits_taken += 1,
                Err(latchwheel_http::CallFault::BadAnswer(412, _)) => outcome.edits_refused += 1,
                Err(_) => outcome.edits_unknown += 1,
            }
        }
    }
}
