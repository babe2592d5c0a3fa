//! Which worker runs a job.

use latchwheel_core::identity::{stable_hash, stable_pair_hash};
use std::collections::BTreeSet;

/// The worker that rendezvous hashing names for a job.
pub(crate) fn rendezvous<'a>(job: &str, workers: &'a BTreeSet<String>) -> Option<&'a str> {
    let key = stable_hash(job.as_bytes());
    let weight = |worker: &&String| stable_pair_hash(stable_hash(worker.as_bytes()), key);
    workers.iter().max_by_key(weight).map(String::as_str)
}

/// The worker that runs a job: the one that it was assigned to when it was
/// accepted, so that a worker that joins takes no job from another; if that
/// one is gone, the one that rendezvous hashing names.
pub(crate) fn owner_of<'a>(job: &str, assigned: &str, workers: &'a BTreeSet<String>) -> Option<&'a str> {
    let assigned = workers.get(assigned).map(String::as_str);
    assigned.or_else(|| rendezvous(job, workers))
}
