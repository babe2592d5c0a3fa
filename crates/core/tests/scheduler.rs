//! Priority, preemption, fair sharing, refusals and limits of the scheduler.

use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::{ServerId, WorkId};
use latchwheel_core::scheduler::{Action, BatchPolicy, Event, RowShare, Scheduler, ServerProfile, Work};
use latchwheel_core::table::Class;
use latchwheel_core::time::Instant;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const SLOTS: u32 = 4;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(1_000_000 + milliseconds * 1000)
}

fn profile(name: &str) -> ServerProfile {
    ServerProfile {
        name: name.into(),
        service: "pool".into(),
        models: Vec::new(),
        slots: SLOTS,
        token_capacity: 1_000_000,
    }
}

fn work(id: u64, class: Class, row: &str, cost: u32) -> Work {
    Work {
        id: WorkId(id),
        row: row.into(),
        class,
        service: "pool".into(),
        model: "".into(),
        cost,
        blocks: Arc::from([]),
        deadline: None,
        first_token_limit: None,
        preemptible: true,
        avoid: None,
    }
}

fn scheduler(servers: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new(BatchPolicy::Yield, true);
    for name in servers {
        scheduler.handle(at(0), Event::ServerUp(ServerId::of_name(name), profile(name)));
    }
    scheduler
}

fn started(actions: &[Action]) -> Vec<WorkId> {
    let start = |action: &Action| match action {
        Action::Start(work, _) => Some(*work),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Tracks the state that results from the actions and checks the invariants.
#[derive(Default)]
struct StateTracker {
    online_waiting: BTreeSet<WorkId>,
    batch_waiting: BTreeSet<WorkId>,
    running: BTreeMap<WorkId, (ServerId, Class)>,
    classes: BTreeMap<WorkId, Class>,
}

impl StateTracker {
    fn arrive(&mut self, id: WorkId, class: Class) {
        self.classes.insert(id, class);
        match class {
            Class::Online => self.online_waiting.insert(id),
            Class::Batch => self.batch_waiting.insert(id),
        };
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start(id, server) => {
                    let class = self.classes[id];
                    let waited = self.online_waiting.remove(id) || self.batch_waiting.remove(id);
                    assert!(waited, "{id:?} was started but did not wait");
                    assert!(self.running.insert(*id, (*server, class)).is_none());
                }
                Action::Preempt(id) => {
                    let (_, class) = self.running.remove(id).expect("preempted work must be running");
                    assert_eq!(class, Class::Batch, "online work was preempted");
                    self.batch_waiting.insert(*id);
                }
                Action::Refuse(id, ..) => {
                    assert!(self.online_waiting.remove(id), "only waiting online work may be refused");
                }
            }
        }
        self.check(actions);
    }

    fn check(&self, actions: &[Action]) {
        let mut load: BTreeMap<ServerId, u32> = BTreeMap::new();
        for (server, _) in self.running.values() {
            *load.entry(*server).or_default() += 1;
        }
        assert!(load.values().all(|running| *running <= SLOTS), "a server runs more work than it has slots");
        if !self.online_waiting.is_empty() {
            let batch_running = self.running.values().any(|(_, class)| *class == Class::Batch);
            assert!(!batch_running, "online work waits while batch work runs");
            let batch_started = started(actions).iter().any(|id| self.classes[id] == Class::Batch);
            assert!(!batch_started, "batch work was started before online work");
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Online(u32),
    Batch(u32),
    Finish(usize),
    Withdraw(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1u32..500).prop_map(Step::Online),
        3 => (1u32..500).prop_map(Step::Batch),
        4 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Withdraw),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn online_work_never_waits_behind_batch_work(steps in steps()) {
        let mut scheduler = scheduler(&["a", "b", "c"]);
        let mut observer = StateTracker::default();
        for (number, step) in steps.into_iter().enumerate() {
            let now = at(number as u64);
            let id = WorkId(number as u64);
            let event = match step {
                Step::Online(cost) => {
                    observer.arrive(id, Class::Online);
                    Event::Arrive(work(id.0, Class::Online, "online", cost))
                }
                Step::Batch(cost) => {
                    observer.arrive(id, Class::Batch);
                    Event::Arrive(work(id.0, Class::Batch, "batch", cost))
                }
                Step::Finish(choice) if !observer.running.is_empty() => {
                    let id = *observer.running.keys().nth(choice % observer.running.len()).unwrap();
                    observer.running.remove(&id);
                    Event::Finished(id)
                }
                Step::Withdraw(choice) if !observer.classes.is_empty() => {
                    let id = *observer.classes.keys().nth(choice % observer.classes.len()).unwrap();
                    observer.running.remove(&id);
                    observer.online_waiting.remove(&id);
                    observer.batch_waiting.remove(&id);
                    Event::Withdraw(id)
                }
                Step::Finish(_) | Step::Withdraw(_) => Event::Tick,
            };
            let actions = scheduler.handle(now, event);
            observer.apply(&actions);
        }
    }

    #[test]
    fn no_slot_is_idle_while_work_waits(steps in steps()) {
        let mut scheduler = scheduler(&["a", "b"]);
        let mut observer = StateTracker::default();
        for (number, step) in steps.into_iter().enumerate() {
            let id = WorkId(number as u64);
            let event = match step {
                Step::Online(cost) | Step::Batch(cost) => {
                    observer.arrive(id, Class::Batch);
                    Event::Arrive(work(id.0, Class::Batch, "batch", cost))
                }
                Step::Finish(choice) | Step::Withdraw(choice) if !observer.running.is_empty() => {
                    let id = *observer.running.keys().nth(choice % observer.running.len()).unwrap();
                    observer.running.remove(&id);
                    Event::Finished(id)
                }
                _ => Event::Tick,
            };
            let actions = scheduler.handle(at(number as u64), event);
            observer.apply(&actions);
            let full = observer.running.len() as u32 == 2 * SLOTS;
            prop_assert!(full || observer.batch_waiting.is_empty());
        }
    }
}

#[test]
fn an_online_arrival_preempts_the_latest_batch_item_at_once() {
    let mut scheduler = scheduler(&["a"]);
    for id in 0..u64::from(SLOTS) {
        scheduler.handle(at(id), Event::Arrive(work(id, Class::Batch, "batch", 10)));
    }
    let actions = scheduler.handle(at(10), Event::Arrive(work(100, Class::Online, "online", 10)));
    let server = ServerId::of_name("a");
    let latest = WorkId(u64::from(SLOTS) - 1);
    assert_eq!(actions, vec![Action::Preempt(latest), Action::Start(WorkId(100), server)]);
    let actions = scheduler.handle(at(20), Event::Finished(WorkId(100)));
    assert_eq!(actions, vec![Action::Start(latest, server)], "the preempted item must resume first");
}

#[test]
fn work_that_must_not_run_twice_is_not_preempted() {
    let mut scheduler = scheduler(&["a"]);
    for id in 0..u64::from(SLOTS) {
        let item = Work { preemptible: false, ..work(id, Class::Batch, "batch", 10) };
        scheduler.handle(at(id), Event::Arrive(item));
    }
    let actions = scheduler.handle(at(10), Event::Arrive(work(100, Class::Online, "online", 10)));
    // All slots are taken; the engine preempts and resumes the batch sequence itself.
    assert_eq!(actions, vec![Action::Start(WorkId(100), ServerId::of_name("a"))]);
}

#[test]
fn rows_share_by_weight() {
    let mut scheduler = scheduler(&["a"]);
    let share = |weight| RowShare { weight, ..RowShare::default() };
    scheduler.handle(at(0), Event::RowShare("heavy".into(), share(3.0)));
    scheduler.handle(at(0), Event::RowShare("light".into(), share(1.0)));
    for id in 0..400 {
        let row = if id % 2 == 0 { "heavy" } else { "light" };
        scheduler.handle(at(0), Event::Arrive(work(id, Class::Batch, row, 10)));
    }
    let mut running: Vec<WorkId> = (0..u64::from(SLOTS)).map(WorkId).collect();
    let mut heavy = 0;
    for step in 0..200 {
        let id = running.remove(0);
        let next = started(&scheduler.handle(at(step), Event::Finished(id)));
        heavy += next.iter().filter(|id| id.0 % 2 == 0).count();
        running.extend(next);
    }
    assert!((145..=155).contains(&heavy), "row heavy got {heavy} of 200 starts");
}

#[test]
fn a_changed_concurrency_limit_applies_to_queued_work() {
    let mut scheduler = scheduler(&["a"]);
    for id in 0..40 {
        scheduler.handle(at(0), Event::Arrive(work(id, Class::Batch, "batch", 10)));
    }
    let limit = RowShare { concurrency: 1, ..RowShare::default() };
    scheduler.handle(at(1), Event::RowShare("batch".into(), limit));
    for id in 0..3 {
        let next = started(&scheduler.handle(at(2), Event::Finished(WorkId(id))));
        assert!(next.is_empty(), "the row still runs more items than the limit of one");
    }
    let next = started(&scheduler.handle(at(3), Event::Finished(WorkId(3))));
    assert_eq!(next.len(), 1);
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    let mut scheduler = scheduler(&["a"]);
    scheduler.handle(at(0), Event::Arrive(work(1, Class::Online, "online", 10)));
    scheduler.handle(at(1), Event::ServerLeaving(ServerId::of_name("a")));
    let actions = scheduler.handle(at(2), Event::Arrive(work(2, Class::Online, "online", 10)));
    let refused = matches!(actions.as_slice(), [Action::Refuse(WorkId(2), ResultCode::NoServer, _)]);
    assert!(refused, "{actions:?}");
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once_with_a_retry_time() {
    let mut scheduler = scheduler(&["a"]);
    // Sets the estimated service time to one second.
    for id in 0..u64::from(SLOTS) {
        scheduler.handle(at(0), Event::Arrive(work(id, Class::Online, "online", 10)));
    }
    for id in 0..u64::from(SLOTS) {
        scheduler.handle(at(1000), Event::Finished(WorkId(id)));
    }
    let limited =
        |id| Work { first_token_limit: Some(Duration::from_millis(600)), ..work(id, Class::Online, "online", 10) };
    let mut refused = None;
    for id in 100..120 {
        let actions = scheduler.handle(at(1001), Event::Arrive(limited(id)));
        refused = actions.into_iter().find_map(|action| match action {
            Action::Refuse(_, code, after) => Some((id, code, after)),
            _ => None,
        });
        if refused.is_some() {
            break;
        }
    }
    let (id, code, after) = refused.expect("no request was refused");
    assert_eq!(code, ResultCode::WaitTooLong);
    // Four run and two wait for 0.25 s and 0.5 s; the next would wait for 0.75 s.
    assert_eq!(id, 106);
    assert!(after >= Duration::from_millis(150), "{after:?}");
}

#[test]
fn a_request_is_refused_when_its_deadline_passes_in_the_queue() {
    let mut scheduler = scheduler(&["a"]);
    for id in 0..u64::from(SLOTS) {
        scheduler.handle(at(0), Event::Arrive(work(id, Class::Online, "online", 10)));
    }
    let late = Work { deadline: Some(at(50)), ..work(100, Class::Online, "online", 10) };
    scheduler.handle(at(0), Event::Arrive(late));
    assert!(scheduler.handle(at(49), Event::Tick).is_empty());
    let actions = scheduler.handle(at(50), Event::Tick);
    assert!(matches!(actions.as_slice(), [Action::Refuse(WorkId(100), ResultCode::DeadlinePassed, _)]));
}

#[test]
fn a_server_with_the_cached_prefix_is_chosen() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let blocks: Arc<[u64]> = (1..=16).collect();
    let request = |id| Work { blocks: blocks.clone(), ..work(id, Class::Online, "online", 10) };
    let first = scheduler.handle(at(0), Event::Arrive(request(1)));
    let second = scheduler.handle(at(1), Event::Arrive(request(2)));
    let server = |actions: &[Action]| match actions {
        [Action::Start(_, server)] => *server,
        other => panic!("{other:?}"),
    };
    assert_eq!(server(&first), server(&second));
}

#[test]
fn the_batch_limit_shrinks_when_batch_work_slows_online_tokens() {
    let mut scheduler = scheduler(&["a"]);
    scheduler.handle(at(0), Event::Arrive(work(1, Class::Online, "online", 10)));
    for step in 0..10 {
        scheduler.handle(at(300 * step), Event::TokenGap(WorkId(1), Duration::from_millis(8)));
    }
    for id in 10..20 {
        scheduler.handle(at(3000), Event::Arrive(work(id, Class::Batch, "batch", 10)));
    }
    let before = scheduler.views()[0].1.batch_limit;
    for step in 0..20 {
        scheduler.handle(at(4000 + 300 * step), Event::TokenGap(WorkId(1), Duration::from_millis(12)));
    }
    let after = scheduler.views()[0].1.batch_limit;
    assert!(after < before, "the limit was {before} and is {after}");
}
