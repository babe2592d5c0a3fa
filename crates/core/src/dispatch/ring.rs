//! The servers of a service in the order of their hashes, and which few of them a
//! decision looks at.
//!
//! A decision that looks at all servers costs servers times requests: playing 231,396
//! requests before a keeper of 3,300 servers (test `many_servers`) took 120 s with all
//! looked at and 8 s so, and served as many of them at once. Here it looks at
//! [`SAMPLE_LIMIT`] at most: those that follow the prompt's key, where its prefixes are kept and requests
//! with the same prefix meet again, and others that differ from request to request. Of
//! these, one has a free slot unless nearly all are taken: where one server in fifty has
//! one, 192 drawn at random miss it in 2 of 100 cases, and then another keeper is asked.
//! Up to so many servers all are looked at.

use crate::identity::{stable_hash, stable_pair_hash};
use std::sync::Arc;

/// Most servers that one decision looks at.
const SAMPLE_LIMIT: usize = 256;
/// Of these, those that follow a prompt's key.
const NEAR_KEY: usize = 64;

/// Servers of one service.
#[derive(Debug, Default)]
pub(super) struct ServerRing {
    /// Hash of the identity, and the identity; ordered.
    servers: Vec<(u64, Arc<str>)>,
}

impl ServerRing {
    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn insert(&mut self, hash: u64, id: &Arc<str>) {
        if let Err(position) = self.position_of(hash, id) {
            self.servers.insert(position, (hash, id.clone()));
        }
    }

    pub(super) fn remove(&mut self, hash: u64, id: &str) {
        if let Ok(position) = self.position_of(hash, id) {
            self.servers.remove(position);
        }
    }

    fn position_of(&self, hash: u64, id: &str) -> Result<usize, usize> {
        self.servers.binary_search_by(|(present, name)| (*present, &**name).cmp(&(hash, id)))
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<str>> {
        self.servers.iter().map(|(_, id)| id)
    }

    /// The server where prompts with this key are kept: the first one by rendezvous
    /// hashing of those that follow the key.
    pub(super) fn affinity_server(&self, key: u64) -> Option<&Arc<str>> {
        let near = self.window(key, NEAR_KEY);
        near.max_by_key(|(hash, _)| stable_pair_hash(*hash, key)).map(|(_, id)| id)
    }

    /// The servers to look at for a request with this prompt key, if it has one;
    /// `spread` differs from request to request. One may come twice.
    pub(super) fn sampled_servers(&self, key: Option<u64>, spread: u64) -> impl Iterator<Item = &Arc<str>> {
        let takes_all = self.servers.len() <= SAMPLE_LIMIT;
        let near = if takes_all || key.is_none() { 0 } else { NEAR_KEY };
        let near_key = self.window(key.unwrap_or(0), near);
        let others = self.window(stable_hash(&spread.to_le_bytes()), SAMPLE_LIMIT - near);
        near_key.chain(others).map(|(_, id)| id)
    }

    /// So many servers that follow a hash, around the end to the start.
    fn window(&self, from: u64, limit: usize) -> impl Iterator<Item = &(u64, Arc<str>)> {
        let start = self.servers.partition_point(|(hash, _)| *hash < from);
        self.servers[start..].iter().chain(&self.servers[..start]).take(limit)
    }
}
