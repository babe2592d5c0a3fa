//! Headroom of machines under peaks and delays, and the reports of other nodes.

use latchwheel_core::headroom::{
    HeadroomChange, HeadroomGauge, MachineCapacity, PeerHeadroom, PeerHeadroomCounts, ProcessUsage,
};
use latchwheel_core::identity::NodeId;
use latchwheel_core::time::Instant;
use std::time::Duration;

const SMALL: MachineCapacity = MachineCapacity { processors: 0.1, memory_bytes: 100 << 20, descriptors: 3000 };
/// Average delay that leaves no headroom.
const MAX_DELAY: Duration = Duration::from_millis(40);

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1000)
}

/// A machine with simulated usage, advanced second by second.
struct Machine {
    gauge: HeadroomGauge,
    used: Duration,
    second: u64,
    changes: Vec<(u64, HeadroomChange)>,
}

impl Machine {
    fn new(capacity: MachineCapacity) -> Self {
        Self { gauge: HeadroomGauge::new(capacity), used: Duration::ZERO, second: 0, changes: Vec::new() }
    }

    /// Passes a second with this processor use, in processors, and this delay of tasks.
    fn pass(&mut self, processor: f64, delay: Duration) {
        self.pass_with(processor, delay, ProcessUsage::default());
    }

    fn pass_with(&mut self, processor: f64, delay: Duration, usage: ProcessUsage) {
        for sample in 0..10 {
            self.gauge.note_delay(at(self.second * 1000 + sample * 100), delay, MAX_DELAY);
        }
        self.second += 1;
        self.used += Duration::from_secs_f64(processor);
        let now = at(self.second * 1000);
        if !self.gauge.sample_is_due(now) {
            return;
        }
        let usage = ProcessUsage { processor_time: Some(self.used), ..usage };
        if let Some(change) = self.gauge.note_usage(now, &usage) {
            self.changes.push((self.second, change));
        }
    }
}

#[test]
fn headroom_counts_only_recent_processor_time() {
    let mut machine = Machine::new(SMALL);
    for _ in 0..10 {
        machine.pass(0.025, Duration::ZERO);
    }
    assert_eq!(machine.gauge.headroom().processor, 75);
    for _ in 0..4 {
        machine.pass(0.08, Duration::ZERO);
    }
    assert_eq!(machine.gauge.headroom().processor, 20, "usage before the window does not count");
    assert_eq!(machine.gauge.headroom().least(), 20);
}

#[test]
fn a_busy_machine_becomes_free_only_at_the_upper_bound() {
    let mut machine = Machine::new(SMALL);
    // Short peaks whose average stays between the bounds.
    for second in 0..30 {
        machine.pass(if second % 3 == 0 { 0.1 } else { 0.06 }, Duration::ZERO);
    }
    assert_eq!(machine.changes, [], "headroom between the bounds causes no change");
    for _ in 0..5 {
        machine.pass(0.1, Duration::ZERO);
    }
    assert!(matches!(machine.changes[..], [(_, HeadroomChange::Busy)]), "{:?}", machine.changes);
    for second in 0..30 {
        machine.pass(if second % 3 == 0 { 0.1 } else { 0.07 }, Duration::ZERO);
    }
    assert_eq!(machine.changes.len(), 1, "headroom below the upper bound leaves the machine busy");
    for _ in 0..5 {
        machine.pass(0.03, Duration::ZERO);
    }
    assert!(matches!(machine.changes[..], [_, (_, HeadroomChange::Free)]), "{:?}", machine.changes);
}

/// A machine slowed by other processes on its host uses little processor time itself.
#[test]
fn a_machine_that_runs_tasks_late_is_busy_at_low_processor_use() {
    let mut machine = Machine::new(SMALL);
    for _ in 0..5 {
        machine.pass(0.01, Duration::from_millis(1));
    }
    assert!(machine.gauge.headroom().least() > 80, "{:?}", machine.gauge.headroom());
    for _ in 0..12 {
        machine.pass(0.01, MAX_DELAY);
    }
    assert!(machine.gauge.is_busy(), "{:?}", machine.gauge.headroom());
    assert_eq!(machine.gauge.headroom().processor, 90);
}

#[test]
fn a_single_late_task_does_not_make_a_machine_busy() {
    let mut machine = Machine::new(SMALL);
    for _ in 0..5 {
        machine.pass(0.01, Duration::ZERO);
    }
    let now = at((machine.second + 1) * 1000);
    machine.gauge.note_delay(now - Duration::from_millis(100), Duration::ZERO, MAX_DELAY);
    machine.gauge.note_delay(now, MAX_DELAY * 2, MAX_DELAY);
    assert_eq!(machine.gauge.note_usage(now, &ProcessUsage::default()), None);
    assert!(!machine.gauge.is_busy());
}

#[test]
fn the_scarcest_limit_decides() {
    let mut machine = Machine::new(SMALL);
    let usage = |memory: u64, descriptors: u64| ProcessUsage {
        memory_bytes: Some(memory << 20),
        descriptors: Some(descriptors),
        ..ProcessUsage::default()
    };
    machine.pass_with(0.01, Duration::ZERO, usage(40, 300));
    assert_eq!((machine.gauge.headroom().memory, machine.gauge.headroom().descriptors), (60, 90));
    assert_eq!(machine.gauge.headroom().least(), 60);
    machine.pass_with(0.01, Duration::ZERO, usage(40, 2900));
    assert!(machine.gauge.is_busy(), "few descriptors are left");
    machine.pass_with(0.01, Duration::ZERO, usage(140, 300));
    assert_eq!(machine.gauge.headroom().least(), 0, "usage above the limit leaves no headroom");
}

#[test]
fn missing_limits_and_usage_leave_full_headroom() {
    let mut unlimited = Machine::new(MachineCapacity::default());
    assert!(!unlimited.gauge.has_limits());
    unlimited.pass(5.0, Duration::ZERO);
    assert_eq!(unlimited.gauge.headroom().least(), 100);
    let mut unreadable = HeadroomGauge::new(SMALL);
    for second in 0..10 {
        assert_eq!(unreadable.note_usage(at(second * 1000), &ProcessUsage::default()), None);
    }
    assert_eq!(unreadable.headroom().least(), 100);
    unreadable.note_delay(at(10_000), Duration::from_secs(1), Duration::ZERO);
    assert_eq!(unreadable.headroom().delay, 100, "there is no maximum delay");
}

#[test]
fn reports_of_an_unresponsive_node_expire() {
    let mut peers = PeerHeadroom::default();
    peers.note(at(0), NodeId(1), 80, false);
    peers.note(at(1000), NodeId(2), 5, true);
    assert_eq!(peers.counts_from_reports(at(1000)), PeerHeadroomCounts { nodes: 2, busy: 1 });
    assert_eq!(
        peers.counts_from_reports(at(1600)),
        PeerHeadroomCounts { nodes: 1, busy: 1 },
        "the first report has expired"
    );
    assert_eq!((peers.percent_of(at(1600), NodeId(1)), peers.percent_of(at(1600), NodeId(2))), (None, Some(5)));
    assert_eq!(peers.counts_from_reports(at(10_000)), PeerHeadroomCounts::default());
}

#[test]
fn a_sum_takes_precedence_over_reports_until_it_expires() {
    let mut peers = PeerHeadroom::default();
    peers.note(at(0), NodeId(1), 80, false);
    peers.note_sum(at(100), PeerHeadroomCounts { nodes: 57, busy: 30 });
    assert_eq!(peers.all(at(200)), PeerHeadroomCounts { nodes: 57, busy: 30 });
    peers.note(at(3000), NodeId(1), 80, false);
    assert_eq!(peers.all(at(3000)), PeerHeadroomCounts { nodes: 1, busy: 0 }, "the sum has expired");
}

#[test]
fn a_percentage_above_100_counts_as_full_headroom() {
    let mut peers = PeerHeadroom::default();
    peers.note(at(0), NodeId(1), 250, false);
    assert_eq!(peers.percent_of(at(0), NodeId(1)), Some(100));
}
