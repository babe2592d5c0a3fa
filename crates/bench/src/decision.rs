//! Slopes of single decisions: routing, scheduling, and the prefix index.

use latchwheel_core::identity::{NodeId, ServerId, WorkId};
use latchwheel_core::prefix::block_hashes;
use latchwheel_core::routing::{choose_owner, Affinity, OwnerLoad};
use latchwheel_core::scheduler::{BatchPolicy, Event, Scheduler, ServerProfile, Work};
use latchwheel_core::table::Class;
use latchwheel_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Decisions that are timed; fewer where each takes long.
const DECISIONS: u64 = 20_000;
const SERVERS_TIMES_DECISIONS: u64 = 4_000_000;
const SLOTS: u32 = 32;
const PROMPT_BYTES: usize = 2048;

/// Time of decisions at one number of servers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct DecisionReport {
    /// Servers that one owner has.
    pub servers: usize,
    /// Other owners that the gateway knows.
    pub owners: usize,
    /// Microseconds to choose the owner, prompt hashing included.
    pub route_microseconds: f64,
    /// Microseconds to admit a request and choose its server.
    pub start_microseconds: f64,
    /// Microseconds to end a request.
    pub finish_microseconds: f64,
}

/// Measures decisions with so many servers at one owner.
pub fn run(servers: usize) -> DecisionReport {
    let owners = servers.div_ceil(31);
    let (start, finish) = schedule(servers);
    DecisionReport {
        servers,
        owners,
        route_microseconds: route(owners),
        start_microseconds: start,
        finish_microseconds: finish,
    }
}

fn route(owners: usize) -> f64 {
    let mut random = SmallRng::seed_from_u64(1);
    let rooms: Vec<OwnerLoad> =
        (0..owners).map(|owner| OwnerLoad { node: NodeId(owner as u64 + 2), free: 16, queued: 0 }).collect();
    let own = Some(OwnerLoad { node: NodeId(1), free: 16, queued: 0 });
    let mut affinity = Affinity::default();
    let prompts: Vec<Vec<u8>> =
        (0..64).map(|number: u8| (0..PROMPT_BYTES).map(|byte| (byte as u8).wrapping_mul(number)).collect()).collect();
    let begun = std::time::Instant::now();
    for number in 0..DECISIONS {
        let blocks = block_hashes(&prompts[number as usize % prompts.len()]);
        let known = affinity.longest(&blocks);
        if let Some(owner) = choose_owner(own, &rooms, known, &mut random) {
            affinity.note(&blocks, owner);
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn schedule(servers: usize) -> (f64, f64) {
    let mut scheduler = Scheduler::new(BatchPolicy::Yield, true);
    let mut random = SmallRng::seed_from_u64(2);
    let mut now = Instant::from_micros(1_000_000);
    for number in 0..servers {
        let name = format!("server-{number}");
        let profile = ServerProfile {
            name: name.as_str().into(),
            service: "service".into(),
            models: vec!["model".into()],
            slots: SLOTS,
            token_capacity: 1_000_000,
        };
        scheduler.handle(now, Event::ServerUp(ServerId::of_name(&name), profile));
    }
    let blocks: Vec<Arc<[u64]>> =
        (0..64u64).map(|prompt| (0..32).map(|block| prompt * 100 + block).collect()).collect();
    let (mut starting, mut finishing) = (Duration::ZERO, Duration::ZERO);
    let mut running = Vec::new();
    let decisions = DECISIONS.min(SERVERS_TIMES_DECISIONS / servers as u64);
    let mut finished = 0;
    for number in 0..decisions {
        now = now + Duration::from_micros(50);
        let work = Work {
            id: WorkId(number),
            row: "row".into(),
            class: Class::Online,
            service: "service".into(),
            model: "model".into(),
            cost: 500,
            blocks: blocks[random.random_range(0..blocks.len())].clone(),
            deadline: None,
            first_token_limit: None,
            preemptible: false,
            avoid: None,
        };
        let begun = std::time::Instant::now();
        scheduler.handle(now, Event::Arrive(work));
        starting += begun.elapsed();
        running.push(WorkId(number));
        if running.len() > servers * SLOTS as usize / 2 {
            let ended = running.swap_remove(random.random_range(0..running.len()));
            let begun = std::time::Instant::now();
            scheduler.handle(now, Event::Finished(ended));
            finishing += begun.elapsed();
            finished += 1;
        }
    }
    let each = |time: Duration, count: u64| time.as_secs_f64() * 1e6 / count.max(1) as f64;
    (each(starting, decisions), each(finishing, finished))
}
