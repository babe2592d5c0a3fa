//! Which worker runs a job.

use latchwheel_core::identity::{stable_hash, stable_pair_hash};
use std::collections::BTreeSet;

/// The worker that rendezvous hashing names for a job.
pub(crate) fn rendezvous<'a>(job: &str, workers: &'a BTreeSet<String>) -> Option<&'a str> {
    let key = stable_hash(job.as_bytes());
    let weight = |worker: &&String| stable_pair_hash(stable_hash(worker.as_bytes()), key);
    workers.iter().max_by_key(weight).map(String::as_str)
}

/// The worker that a new job is assigned to: of the two that rendezvous
/// hashing names first, the one where less work waits. Readers ask the first
/// one, which knows the other.
pub(crate) fn assign(job: &str, workers: &BTreeSet<String>, waiting: impl Fn(&str) -> Option<u32>) -> Option<String> {
    let first = rendezvous(job, workers)?;
    let others: BTreeSet<String> = workers.iter().filter(|worker| *worker != first).cloned().collect();
    let second = rendezvous(job, &others);
    let less = second.filter(|second| matches!((waiting(first), waiting(second)), (Some(a), Some(b)) if b < a));
    Some(less.unwrap_or(first).to_owned())
}

/// The worker that runs a job: the one that it was assigned to when it was
/// accepted, so that a worker that joins takes no job from another; if that
/// one is gone, the one that rendezvous hashing names.
pub(crate) fn owner_of<'a>(job: &str, assigned: &str, workers: &'a BTreeSet<String>) -> Option<&'a str> {
    let assigned = workers.get(assigned).map(String::as_str);
    assigned.or_else(|| rendezvous(job, workers))
}
