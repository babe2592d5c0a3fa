//! Simulates tenants and precedences that compete for too few slots.

use latchwheel_core::admission::{Admission, Claim, ClaimId, ClaimQueue, PASSED_OVER_LIMIT};
use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::identity::NodeId;
use latchwheel_core::tenants::TenantKey;
use latchwheel_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;

const SLOTS: usize = 384;
const SERVICE_TIME: Duration = Duration::from_millis(700);
const TIMELY_WAIT: Duration = Duration::from_millis(180);
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);
const SIMULATED_MS: u64 = 6000;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros((60_000 + milliseconds) * 1000)
}

/// A tenant that sends requests at a constant mean rate.
#[derive(Clone, Copy)]
struct Source {
    tenant: u64,
    precedence: u32,
    per_second: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    all: usize,
    in_time: usize,
    served: usize,
    queued: usize,
    /// Requests refused at the end of their caller's timeout.
    expired: usize,
}

impl Served {
    fn in_time(&self) -> f64 {
        self.in_time as f64 / self.all.max(1) as f64
    }

    fn served_share(&self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

/// Order in which waiting requests get free slots.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    /// Random, as if each request polled for a slot by itself.
    Random,
    Queue,
}

struct Simulation {
    random: SmallRng,
    order: Order,
    queue: ClaimQueue,
    unordered: Vec<Claim>,
    slot_ends: Vec<Instant>,
    arrivals: HashMap<u64, (u64, Instant)>,
    served: HashMap<u64, Served>,
    numbers: u64,
}

impl Simulation {
    fn new(seed: u64, order: Order) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            order,
            queue: ClaimQueue::default(),
            unordered: Vec::new(),
            slot_ends: Vec::new(),
            arrivals: HashMap::new(),
            served: HashMap::new(),
            numbers: 0,
        }
    }

    fn run(mut self, sources: &[Source]) -> HashMap<u64, Served> {
        for millisecond in 0..SIMULATED_MS {
            let now = at(millisecond);
            for source in sources {
                if self.random.random_bool(source.per_second / 1000.0) {
                    self.arrive(now, source);
                }
            }
            self.slot_ends.retain(|end| *end > now);
            self.grant(now);
        }
        self.served
    }

    fn arrive(&mut self, now: Instant, source: &Source) {
        self.numbers += 1;
        self.served.entry(source.tenant).or_default().all += 1;
        self.arrivals.insert(self.numbers, (source.tenant, now));
        let claim = Claim {
            id: ClaimId { node: NodeId(1), number: self.numbers },
            precedence: source.precedence,
            tenant: TenantKey(source.tenant),
            table_version: 1,
            route: RouteKey::of("route"),
            work: 650,
            timely_until: now + TIMELY_WAIT,
            waits_until: now + CALLER_TIMEOUT,
        };
        match self.order {
            Order::Random => self.unordered.push(claim),
            Order::Queue => {
                let (entry, evicted) = self.queue.add(now, claim);
                assert_eq!(evicted, None);
                let queued = matches!(entry, Admission::Queued(_));
                self.served.entry(source.tenant).or_default().queued += usize::from(queued);
            }
        }
    }

    fn grant(&mut self, now: Instant) {
        let mut free = SLOTS - self.slot_ends.len();
        let granted: Vec<Claim> = match self.order {
            Order::Random => {
                self.unordered.retain(|claim| claim.waits_until > now);
                let count = free.min(self.unordered.len());
                (0..count)
                    .map(|_| self.unordered.swap_remove(self.random.random_range(0..self.unordered.len())))
                    .collect()
            }
            Order::Queue => {
                let refused = self.queue.expire(now);
                for refused in refused.iter().filter(|refused| refused.claim.waits_until <= now) {
                    self.served.entry(refused.claim.tenant.0).or_default().expired += 1;
                }
                let place = |_: &Claim| {
                    free = free.checked_sub(1)?;
                    Some(())
                };
                self.queue.grant(now, place).into_iter().map(|granted| granted.claim).collect()
            }
        };
        for claim in granted {
            self.slot_ends.push(now + SERVICE_TIME.mul_f64(self.random.random_range(0.6..1.4)));
            let (tenant, arrived_at) = self.arrivals[&claim.id.number];
            let served = self.served.entry(tenant).or_default();
            served.served += 1;
            served.in_time += usize::from(now.since(arrived_at) <= TIMELY_WAIT);
        }
    }
}

/// Results of the chosen tenants, summed over all seeds.
fn sum(order: Order, sources: &[Source], chosen: impl Fn(u64) -> bool) -> Served {
    let mut sum = Served::default();
    for seed in 0..3 {
        let served = Simulation::new(seed, order).run(sources);
        for (_, one) in served.iter().filter(|(tenant, _)| chosen(**tenant)) {
            sum.all += one.all;
            sum.in_time += one.in_time;
            sum.served += one.served;
            sum.queued += one.queued;
            sum.expired += one.expired;
        }
    }
    sum
}

/// Shares of requests served in time, and served at all.
fn shares(order: Order, sources: &[Source], chosen: impl Fn(u64) -> bool) -> (f64, f64) {
    let sum = sum(order, sources, chosen);
    (sum.in_time(), sum.served_share())
}

/// Slots that come free per second.
fn slots_per_second() -> f64 {
    SLOTS as f64 / SERVICE_TIME.as_secs_f64()
}

/// Part of all requests that can be served at `load` times the capacity, including the slots
/// that are free at the start.
fn servable(load: f64) -> f64 {
    let seconds = SIMULATED_MS as f64 / 1000.0;
    (slots_per_second() * seconds + SLOTS as f64) / (slots_per_second() * seconds * load)
}

/// 86 small tenants that use 0.9 of the slots together, and one that sends as much alone.
fn flood() -> Vec<Source> {
    let capacity = slots_per_second();
    let modest = (1..=86).map(|tenant| Source { tenant, precedence: 0, per_second: capacity * 0.9 / 86.0 });
    modest.chain([Source { tenant: 0, precedence: 0, per_second: capacity * 0.9 }]).collect()
}

#[test]
fn modest_tenants_are_in_time_beside_one_that_floods() {
    let (before, _) = shares(Order::Random, &flood(), |tenant| tenant > 0);
    let (after, _) = shares(Order::Queue, &flood(), |tenant| tenant > 0);
    let (_, flooding) = shares(Order::Queue, &flood(), |tenant| tenant == 0);
    println!(
        "modest tenants in time: {before:.3} in random order, {after:.3} by the queue; flooding served {flooding:.3}"
    );
    assert!(before < servable(1.8), "random order gives all the same share: {before}");
    assert!(after > 0.98, "{after}");
    assert!(flooding > 0.1 / 0.9, "it gets the slots that the others leave: {flooding}");
}

#[test]
fn a_higher_precedence_is_in_time_and_a_lower_one_is_not_starved() {
    let capacity = slots_per_second();
    let source = |tenant, precedence, part| Source { tenant, precedence, per_second: capacity * part };
    let sources = [source(1, 0, 0.8), source(2, 1, 0.7)];
    let (urgent, _) = shares(Order::Queue, &sources, |tenant| tenant == 1);
    let (_, lower) = shares(Order::Queue, &sources, |tenant| tenant == 2);
    let (before, _) = shares(Order::Random, &sources, |tenant| tenant == 1);
    println!("urgent in time: {before:.3} in random order, {urgent:.3} by the queue; lower served {lower:.3}");
    assert!(urgent > 0.98 && before < servable(1.5), "{urgent} {before}");
    assert!(lower > 0.2 / 0.7, "it gets the slots that the higher one leaves: {lower}");
    // The same with a higher precedence that exceeds the capacity alone.
    let (_, starved) = shares(Order::Queue, &[source(1, 0, 1.5), source(2, 1, 0.3)], |tenant| tenant == 2);
    let one_in = f64::from(PASSED_OVER_LIMIT + 1);
    assert!(starved > 1.0 / one_in / 0.3 * MIN_SERVED_SHARE, "{starved}");
}

/// Least share of queued requests that get a slot; not all, since later arrivals may go first.
const MIN_SERVED_SHARE: f64 = 0.95;

#[test]
fn those_that_wait_are_served() {
    let capacity = slots_per_second();
    let source = |tenant, precedence, part| Source { tenant, precedence, per_second: capacity * part };
    let loads = [flood(), vec![source(1, 0, 0.8), source(2, 1, 0.7)], vec![source(1, 0, 1.5), source(2, 1, 0.3)]];
    for sources in loads {
        for precedence in 0..2 {
            let of_precedence = |tenant| sources.iter().any(|one| (one.tenant, one.precedence) == (tenant, precedence));
            let Served { queued, expired, .. } = sum(Order::Queue, &sources, of_precedence);
            println!(
                "precedence {precedence} of {} tenants: {expired} of {queued} queued claims expired",
                sources.len()
            );
            assert!(expired as f64 <= queued as f64 * (1.0 - MIN_SERVED_SHARE), "{expired} of {queued}");
        }
    }
}

#[test]
fn a_tenant_alone_uses_all_there_is() {
    let capacity = slots_per_second();
    let alone = [Source { tenant: 1, precedence: 3, per_second: capacity * 0.95 }];
    let (in_time, served_share) = shares(Order::Queue, &alone, |_| true);
    assert!(in_time > 0.98 && served_share > 0.98, "{in_time} {served_share}");
}

#[test]
fn at_twice_the_room_most_are_told_at_once_that_they_will_not_be_served() {
    let capacity = slots_per_second();
    let mut queue = ClaimQueue::default();
    let mut random = SmallRng::seed_from_u64(5);
    let mut slot_ends: Vec<Instant> = Vec::new();
    let (mut refused_later, mut queued) = (0_usize, 0_usize);
    for millisecond in 0..SIMULATED_MS {
        let now = at(millisecond);
        for _ in 0..2 {
            if random.random_bool(capacity / 1000.0) {
                let number = millisecond * 2 + u64::from(random.random::<u8>() > 127) + 1_000_000 * queued as u64;
                let claim = Claim {
                    id: ClaimId { node: NodeId(1), number },
                    precedence: 0,
                    tenant: TenantKey(number % 20),
                    table_version: 1,
                    route: RouteKey::of("route"),
                    work: 650,
                    // Callers that retry have no time left to be in time.
                    timely_until: now,
                    waits_until: now + CALLER_TIMEOUT,
                };
                queued += usize::from(matches!(queue.add(now, claim).0, Admission::Queued(_)));
            }
        }
        slot_ends.retain(|end| *end > now);
        refused_later += queue.expire(now).iter().filter(|refused| refused.claim.waits_until <= now).count();
        let mut free = SLOTS - slot_ends.len();
        let place = |_: &Claim| {
            free = free.checked_sub(1)?;
            Some(())
        };
        for _ in queue.grant(now, place) {
            slot_ends.push(now + SERVICE_TIME.mul_f64(random.random_range(0.6..1.4)));
        }
    }
    println!("{refused_later} of {queued} that were queued were refused later");
    assert!(refused_later as f64 <= queued as f64 * (1.0 - MIN_SERVED_SHARE), "{refused_later} of {queued}");
}
