//! Runs a check over many seeds in parallel and prints a failing one.

use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};

/// Environment variable that overrides the seeds: `START..END`.
const SEEDS_VARIABLE: &str = "LATCHWHEEL_SEEDS";

/// Runs `check` with each seed. A failing seed is printed; replay it with
/// `LATCHWHEEL_SEEDS=N..N+1`.
pub fn for_each_seed(first: u64, count: u64, check: impl Fn(u64) + Sync) {
    let (first, end) = seed_range(first, count);
    let next = AtomicU64::new(first);
    let threads = std::thread::available_parallelism().map_or(2, |cores| cores.get().min(8));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return;
                }
                if let Err(fault) = std::panic::catch_unwind(AssertUnwindSafe(|| check(seed))) {
                    eprintln!("seed {seed} failed; replay with {SEEDS_VARIABLE}={seed}..{}", seed + 1);
                    std::panic::resume_unwind(fault);
                }
            });
        }
    });
}

fn seed_range(first: u64, count: u64) -> (u64, u64) {
    let variable = std::env::var(SEEDS_VARIABLE).ok();
    let range = variable.as_deref().and_then(|text| text.split_once(".."));
    match range.map(|(start, end)| (start.parse(), end.parse())) {
        Some((Ok(start), Ok(end))) => (start, end),
        _ => (first, first + count),
    }
}
