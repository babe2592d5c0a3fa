//! Servers of a service in the order of their hashes, and the sample of them that one decision
//! examines.
//!
//! A decision that examined all servers would cost time in proportion to their number. In a
//! large service it examines at most [`SAMPLE_LIMIT`]: those that follow the prompt's key,
//! where requests with the same prefix meet and find it cached, and others that differ from
//! request to request. The sample contains a free slot unless nearly all are taken; another
//! tracker is queried if it doesn't.

use crate::identity::{stable_hash, stable_pair_hash};
use std::sync::Arc;

/// Maximum number of servers that one decision examines.
const SAMPLE_LIMIT: usize = 256;
/// Number of servers in the sample that follow a prompt's key.
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

    /// Affinity server of a prompt key: the first one by rendezvous hashing among the servers
    /// that follow the key.
    pub(super) fn affinity_server(&self, key: u64) -> Option<&Arc<str>> {
        let near = self.window(key, NEAR_KEY);
        near.max_by_key(|(hash, _)| stable_pair_hash(*hash, key)).map(|(_, id)| id)
    }

    /// Servers to examine for a request with this prompt key, if it has one; `spread` differs
    /// from request to request. A server may occur twice.
    pub(super) fn sampled_servers(&self, key: Option<u64>, spread: u64) -> impl Iterator<Item = &Arc<str>> {
        let takes_all = self.servers.len() <= SAMPLE_LIMIT;
        let near = if takes_all || key.is_none() { 0 } else { NEAR_KEY };
        let near_key = self.window(key.unwrap_or(0), near);
        let others = self.window(stable_hash(&spread.to_le_bytes()), SAMPLE_LIMIT - near);
        near_key.chain(others).map(|(_, id)| id)
    }

    /// At most `limit` servers that follow a hash in ring order.
    fn window(&self, from: u64, limit: usize) -> impl Iterator<Item = &(u64, Arc<str>)> {
        let start = self.servers.partition_point(|(hash, _)| *hash < from);
        self.servers[start..].iter().chain(&self.servers[..start]).take(limit)
    }
}
