//! Start order of batch items while peaks of online requests take their slots.

use latchwheel_core::item_urgency::{can_meet_due_time, plan_starts, RemainingTime, StartPlan};
use latchwheel_core::run_times::RunTimes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const EVENTS: u64 = 144;

fn remaining_time(time_until_due: Duration) -> RemainingTime {
    RemainingTime { time_until_due, listing: Duration::from_millis(100) }
}

/// Estimates of items that run for 4 s and complete 6 s after their first start.
fn sample_times() -> RunTimes {
    let mut times = RunTimes::default();
    times.note_completed(EVENTS, EVENTS, Duration::from_secs(4));
    times.note_elapsed(EVENTS, Duration::from_secs(6));
    times
}

#[test]
fn an_item_without_events_needs_time_for_the_waits_of_other_items() {
    let times = sample_times();
    assert!(!can_meet_due_time(&times, 0, remaining_time(Duration::from_secs(5))));
    assert!(can_meet_due_time(&times, 0, remaining_time(Duration::from_secs(7))));
}

#[test]
fn an_item_with_events_needs_time_for_its_remaining_run_only() {
    let times = sample_times();
    assert!(can_meet_due_time(&times, EVENTS / 2, remaining_time(Duration::from_millis(2200))));
    assert!(!can_meet_due_time(&times, EVENTS / 2, remaining_time(Duration::from_millis(1900))));
    assert!(!can_meet_due_time(&times, EVENTS, remaining_time(Duration::ZERO)));
}

#[test]
fn without_estimates_only_the_due_time_decides() {
    let times = RunTimes::default();
    assert!(can_meet_due_time(&times, 0, remaining_time(Duration::from_secs(1))));
    assert!(!can_meet_due_time(&times, 0, remaining_time(Duration::from_millis(50))));
}

#[test]
fn items_with_the_most_events_start_first() {
    let times = sample_times();
    let waiting = vec![(0, 0), (1, 100), (2, 0), (3, 40)];
    let in_time = plan_starts(&times, waiting.clone(), remaining_time(Duration::from_secs(9)));
    assert_eq!(in_time, StartPlan { positions: vec![1, 3, 0, 2], overdue: false });
    let only_with_events = plan_starts(&times, waiting.clone(), remaining_time(Duration::from_secs(4)));
    assert_eq!(only_with_events, StartPlan { positions: vec![1, 3], overdue: false });
    let none = plan_starts(&times, waiting, remaining_time(Duration::ZERO));
    assert_eq!(none, StartPlan { positions: vec![1, 3, 0, 2], overdue: true });
}

const STEP: f64 = 0.05;
const SLOTS: usize = 44;
/// Slots for batch items during a peak.
const SLOTS_AT_PEAK: usize = 7;
const CALM_SECONDS: f64 = 3.0;
const PERIOD_SECONDS: f64 = 5.2;
const RUN_SECONDS: f64 = 4.0;
const DUE_SECONDS: f64 = 18.0;
/// Time during which jobs arrive, with about 1.5 times the work that the slots can run.
const LOAD_SECONDS: f64 = 60.0;
const JOBS_PER_SECOND: f64 = 1.0;
const ITEMS: usize = 10;

#[derive(Clone, Copy, Debug, PartialEq)]
enum ItemState {
    Waiting,
    Running { since: f64, events_before: u64 },
    Completed { at: f64 },
}

#[derive(Clone, Debug)]
struct Item {
    arrived_at: f64,
    run_seconds: f64,
    done_seconds: f64,
    first_start: Option<f64>,
    state: ItemState,
}

impl Item {
    fn events(&self) -> u64 {
        (self.done_seconds / RUN_SECONDS * EVENTS as f64) as u64
    }
}

/// Rule for the order of starts.
type Rule = fn(&RunTimes, Vec<(usize, u64)>, RemainingTime) -> StartPlan;

/// Baseline: items start while a run without interruption meets the due time.
fn by_due_time_order(times: &RunTimes, waiting: Vec<(usize, u64)>, remaining_time: RemainingTime) -> StartPlan {
    let in_time = |item: &&(usize, u64)| times.remaining(item.1) <= remaining_time.time_until_due;
    let in_time_items: Vec<usize> = waiting.iter().filter(in_time).map(|item| item.0).collect();
    let overdue = in_time_items.is_empty() || remaining_time.time_until_due.is_zero();
    let positions = if overdue { waiting.into_iter().map(|item| item.0).collect() } else { in_time_items };
    StartPlan { positions, overdue }
}

struct Load {
    now: f64,
    times: RunTimes,
    jobs: Vec<Vec<Item>>,
}

impl Load {
    fn slots(&self) -> usize {
        if self.now % PERIOD_SECONDS < CALM_SECONDS {
            SLOTS
        } else {
            SLOTS_AT_PEAK
        }
    }

    fn running(&self) -> Vec<(usize, usize)> {
        let is_running = |item: &Item| matches!(item.state, ItemState::Running { .. });
        let of_job = |(number, job): (usize, &Vec<Item>)| {
            let positions: Vec<usize> = (0..job.len()).filter(|position| is_running(&job[*position])).collect();
            positions.into_iter().map(move |position| (number, position))
        };
        self.jobs.iter().enumerate().flat_map(of_job).collect()
    }

    fn arrive(&mut self, random: &mut SmallRng) {
        if self.now < LOAD_SECONDS && random.random_bool(JOBS_PER_SECOND * STEP) {
            let item = |random: &mut SmallRng| Item {
                arrived_at: self.now,
                run_seconds: RUN_SECONDS * random.random_range(0.6..1.4),
                done_seconds: 0.0,
                first_start: None,
                state: ItemState::Waiting,
            };
            let items = (0..ITEMS).map(|_| item(random)).collect();
            self.jobs.push(items);
        }
    }

    /// Advances running items; preempts those of the latest jobs if slots are missing.
    fn run(&mut self) {
        let mut running = self.running();
        for (job, position) in &running {
            let item = &mut self.jobs[*job][*position];
            item.done_seconds += STEP;
            let ItemState::Running { since, events_before } = item.state else { continue };
            if item.done_seconds < item.run_seconds {
                continue;
            }
            item.state = ItemState::Completed { at: self.now };
            let last_run_events = item.events().saturating_sub(events_before);
            self.times.note_completed(item.events(), last_run_events, Duration::from_secs_f64(self.now - since));
            let elapsed = self.now - item.first_start.unwrap_or(since);
            self.times.note_elapsed(item.events(), Duration::from_secs_f64(elapsed));
        }
        running.retain(|(job, position)| !matches!(self.jobs[*job][*position].state, ItemState::Completed { .. }));
        let excess = running.len().saturating_sub(self.slots());
        for (job, position) in running.into_iter().rev().take(excess) {
            self.jobs[job][position].state = ItemState::Waiting;
        }
    }

    fn start(&mut self, rule: Rule) {
        let mut order: Vec<(bool, usize, Vec<usize>)> = Vec::new();
        for (number, job) in self.jobs.iter().enumerate() {
            let is_waiting = |position: &usize| job[*position].state == ItemState::Waiting;
            let waiting = (0..job.len()).filter(is_waiting).map(|position| (position, job[position].events()));
            let time_until_due = (job[0].arrived_at + DUE_SECONDS - self.now).max(0.0);
            let plan = rule(&self.times, waiting.collect(), remaining_time(Duration::from_secs_f64(time_until_due)));
            order.push((plan.overdue, number, plan.positions));
        }
        order.sort();
        let free = self.slots().saturating_sub(self.running().len());
        let items = order.into_iter().flat_map(|(_, job, items)| items.into_iter().map(move |item| (job, item)));
        for (job, position) in items.take(free) {
            let item = &mut self.jobs[job][position];
            item.state = ItemState::Running { since: self.now, events_before: item.events() };
            item.first_start.get_or_insert(self.now);
        }
    }

    /// Simulates the load; returns the number of items in time and of all items.
    fn simulate(seed: u64, rule: Rule) -> (usize, usize) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut load = Self { now: 0.0, times: RunTimes::default(), jobs: Vec::new() };
        while load.now < LOAD_SECONDS + DUE_SECONDS {
            load.arrive(&mut random);
            load.run();
            load.start(rule);
            load.now += STEP;
        }
        let items: Vec<&Item> = load.jobs.iter().flatten().collect();
        let in_time =
            |item: &&&Item| matches!(item.state, ItemState::Completed { at } if at <= item.arrived_at + DUE_SECONDS);
        (items.iter().filter(in_time).count(), items.len())
    }
}

#[test]
fn more_items_meet_their_due_time_under_peaks_than_by_due_time_order() {
    let (mut total_by_due_time, mut total_in_time, mut total_items) = (0, 0, 0);
    for seed in 0..5 {
        let (in_time, items) = Load::simulate(seed, plan_starts);
        let by_due_time = Load::simulate(seed, by_due_time_order).0;
        assert!(
            in_time > by_due_time,
            "seed {seed}, in time of {items}: {by_due_time} by due time order, {in_time} with waits"
        );
        total_in_time += in_time;
        total_items += items;
        total_by_due_time += by_due_time;
    }
    println!("in time of {total_items}: {total_by_due_time} by due time order, {total_in_time} with time for waits");
    // On average at least one more item in every second job must be in time.
    assert!(
        total_in_time - total_by_due_time >= total_items / ITEMS / 2,
        "in time of {total_items}: {total_by_due_time} by due time order, {total_in_time} with waits"
    );
}
