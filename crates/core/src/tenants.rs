//! Tenants: their API keys, precedence and rate limits.
//!
//! Keys are stored only as digests, so that no table, log or dump contains one. The
//! time of a lookup by digest doesn't depend on how much of a wrong key matches.

use crate::identity::stable_hash;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::sync::Arc;

/// Identifies a tenant between nodes: a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of the tenant with this name.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

/// Rate limit of a tenant over all nodes: a token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second; zero is no limit.
    pub per_second: f64,
    /// Burst in requests.
    pub burst: f64,
}

impl RateLimit {
    /// Whether there is any limit.
    pub fn is_limited(&self) -> bool {
        self.per_second > 0.0
    }
}

/// A tenant of the routing table.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique in the table; sent to servers.
    pub name: Arc<str>,
    /// Identifies it between nodes.
    pub key: TenantKey,
    /// Precedence of its requests, in place of that of the route; zero goes first.
    pub precedence: Option<u32>,
    /// Rate limit of its requests.
    pub limit: RateLimit,
}

/// SHA-256 digest of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// The key is missing, or no tenant has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// All tenants of one version of the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    by_digest: HashMap<KeyDigest, Arc<Tenant>>,
    by_key: HashMap<TenantKey, Arc<Tenant>>,
}

impl Tenants {
    /// Creates the set from tenants with their callers' keys.
    pub fn new(tenants: impl IntoIterator<Item = (Tenant, Vec<String>)>) -> Self {
        let mut result = Self::default();
        for (tenant, keys) in tenants {
            let tenant = Arc::new(tenant);
            result.by_key.insert(tenant.key, tenant.clone());
            let digests = keys.iter().map(|key| KeyDigest::of(key));
            result.by_digest.extend(digests.map(|digest| (digest, tenant.clone())));
        }
        result
    }

    /// Whether there are no tenants: callers need no key then.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Number of tenants.
    pub fn count(&self) -> usize {
        self.by_key.len()
    }

    /// The tenant that a caller's key belongs to.
    pub fn of_caller(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_digest.get(&KeyDigest::of(key))
    }

    /// The tenant with this key.
    pub fn get(&self, key: TenantKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(&key)
    }
}
