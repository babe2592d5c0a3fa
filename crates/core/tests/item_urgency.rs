//! Which items of batch jobs start, where peaks of online requests take their slots.

use latchwheel_core::item_urgency::{can_meet_due_time, start_list, RemainingTime, StartPlan};
use latchwheel_core::run_times::RunTimes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const EVENTS: u64 = 144;

fn left(time_until_due: Duration) -> RemainingTime {
    RemainingTime { time_until_due, listing: Duration::from_millis(100) }
}

/// Items run for 4 s, and are whole 6 s after their first start.
fn measured() -> RunTimes {
    let mut times = RunTimes::default();
    times.note_whole(EVENTS, EVENTS, Duration::from_secs(4));
    times.note_elapsed(EVENTS, Duration::from_secs(6));
    times
}

#[test]
fn an_item_starts_only_with_time_for_the_waits_that_others_had() {
    let times = measured();
    assert!(!can_meet_due_time(&times, 0, left(Duration::from_secs(5))));
    assert!(can_meet_due_time(&times, 0, left(Duration::from_secs(7))));
}

#[test]
fn what_was_begun_is_given_up_only_where_its_run_alone_would_end_too_late() {
    let times = measured();
    assert!(can_meet_due_time(&times, EVENTS / 2, left(Duration::from_millis(2200))));
    assert!(!can_meet_due_time(&times, EVENTS / 2, left(Duration::from_millis(1900))));
    assert!(!can_meet_due_time(&times, EVENTS, left(Duration::ZERO)));
}

#[test]
fn without_a_measurement_only_the_due_time_decides() {
    let times = RunTimes::default();
    assert!(can_meet_due_time(&times, 0, left(Duration::from_secs(1))));
    assert!(!can_meet_due_time(&times, 0, left(Duration::from_millis(50))));
}

#[test]
fn what_needs_least_goes_first_and_overdue_items_last() {
    let times = measured();
    let waiting = vec![(0, 0), (1, 100), (2, 0), (3, 40)];
    let in_time = start_list(&times, waiting.clone(), left(Duration::from_secs(9)));
    assert_eq!(in_time, StartPlan { positions: vec![1, 3, 0, 2], overdue: false });
    let only_begun = start_list(&times, waiting.clone(), left(Duration::from_secs(4)));
    assert_eq!(only_begun, StartPlan { positions: vec![1, 3], overdue: false });
    let none = start_list(&times, waiting, left(Duration::ZERO));
    assert_eq!(none, StartPlan { positions: vec![1, 3, 0, 2], overdue: true });
}

const STEP: f64 = 0.05;
const SLOTS: usize = 44;
/// Slots that are left to items in a peak.
const SLOTS_AT_PEAK: usize = 7;
const CALM_SECONDS: f64 = 3.0;
const PERIOD_SECONDS: f64 = 5.2;
const RUN_SECONDS: f64 = 4.0;
const DUE_SECONDS: f64 = 18.0;
/// Jobs come for so long, and their work is half as much again as there is room for.
const LOAD_SECONDS: f64 = 60.0;
const JOBS_PER_SECOND: f64 = 1.0;
const ITEMS: usize = 10;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    Waits,
    Runs { since: f64, events_before: u64 },
    Whole { at: f64 },
}

#[derive(Clone, Debug)]
struct Item {
    job_at: f64,
    length: f64,
    done: f64,
    first_start: Option<f64>,
    standing: Standing,
}

impl Item {
    fn events(&self) -> u64 {
        (self.done / RUN_SECONDS * EVENTS as f64) as u64
    }
}

/// A rule by which items start.
type Rule = fn(&RunTimes, Vec<(usize, u64)>, RemainingTime) -> StartPlan;

/// Items start as long as an undisturbed run is in time.
fn by_due_time_alone(times: &RunTimes, waiting: Vec<(usize, u64)>, left: RemainingTime) -> StartPlan {
    let in_time = |item: &&(usize, u64)| times.remaining(item.1) <= left.time_until_due;
    let timely: Vec<usize> = waiting.iter().filter(in_time).map(|item| item.0).collect();
    let overdue = timely.is_empty() || left.time_until_due.is_zero();
    let positions = if overdue { waiting.into_iter().map(|item| item.0).collect() } else { timely };
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
        let runs = |item: &Item| matches!(item.standing, Standing::Runs { .. });
        let of_job = |(number, job): (usize, &Vec<Item>)| {
            let positions: Vec<usize> = (0..job.len()).filter(|position| runs(&job[*position])).collect();
            positions.into_iter().map(move |position| (number, position))
        };
        self.jobs.iter().enumerate().flat_map(of_job).collect()
    }

    fn arrive(&mut self, random: &mut SmallRng) {
        if self.now < LOAD_SECONDS && random.random_bool(JOBS_PER_SECOND * STEP) {
            let item = |random: &mut SmallRng| Item {
                job_at: self.now,
                length: RUN_SECONDS * random.random_range(0.6..1.4),
                done: 0.0,
                first_start: None,
                standing: Standing::Waits,
            };
            let items = (0..ITEMS).map(|_| item(random)).collect();
            self.jobs.push(items);
        }
    }

    /// Running items go on; those of the latest jobs give way.
    fn run(&mut self) {
        let mut running = self.running();
        for (job, position) in &running {
            let item = &mut self.jobs[*job][*position];
            item.done += STEP;
            let Standing::Runs { since, events_before } = item.standing else { continue };
            if item.done < item.length {
                continue;
            }
            item.standing = Standing::Whole { at: self.now };
            let of_run = item.events().saturating_sub(events_before);
            self.times.note_whole(item.events(), of_run, Duration::from_secs_f64(self.now - since));
            let elapsed = self.now - item.first_start.unwrap_or(since);
            self.times.note_elapsed(item.events(), Duration::from_secs_f64(elapsed));
        }
        running.retain(|(job, position)| !matches!(self.jobs[*job][*position].standing, Standing::Whole { .. }));
        let excess = running.len().saturating_sub(self.slots());
        for (job, position) in running.into_iter().rev().take(excess) {
            self.jobs[job][position].standing = Standing::Waits;
        }
    }

    fn start(&mut self, rule: Rule) {
        let mut order: Vec<(bool, usize, Vec<usize>)> = Vec::new();
        for (number, job) in self.jobs.iter().enumerate() {
            let waits = |position: &usize| job[*position].standing == Standing::Waits;
            let waiting = (0..job.len()).filter(waits).map(|position| (position, job[position].events()));
            let time_until_due = (job[0].job_at + DUE_SECONDS - self.now).max(0.0);
            let list = rule(&self.times, waiting.collect(), left(Duration::from_secs_f64(time_until_due)));
            order.push((list.overdue, number, list.positions));
        }
        order.sort();
        let free = self.slots().saturating_sub(self.running().len());
        let items = order.into_iter().flat_map(|(_, job, items)| items.into_iter().map(move |item| (job, item)));
        for (job, position) in items.take(free) {
            let item = &mut self.jobs[job][position];
            item.standing = Standing::Runs { since: self.now, events_before: item.events() };
            item.first_start.get_or_insert(self.now);
        }
    }

    /// Items in time, and all.
    fn play(seed: u64, rule: Rule) -> (usize, usize) {
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
            |item: &&&Item| matches!(item.standing, Standing::Whole { at } if at <= item.job_at + DUE_SECONDS);
        (items.iter().filter(in_time).count(), items.len())
    }
}

#[test]
fn where_peaks_take_the_slots_more_items_are_in_time_than_by_due_times_alone() {
    let (mut before, mut after, mut all) = (0, 0, 0);
    for seed in 0..5 {
        let (in_time, items) = Load::play(seed, start_list);
        let by_due_time = Load::play(seed, by_due_time_alone).0;
        assert!(in_time > by_due_time, "seed {seed}: {by_due_time} {in_time} of {items}");
        after += in_time;
        all += items;
        before += by_due_time;
    }
    println!("in time of {all}: {before} by due times alone, {after} with time for waits");
    // In every second job one item more is in time.
    assert!(after - before >= all / ITEMS / 2, "{before} {after} of {all}");
}
