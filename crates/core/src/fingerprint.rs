//! Identification of retried requests by their content.
//!
//! Each attempt of a client has its own identity, so a retry is recognised by its content:
//! method, host, target, caller and body. Only a digest of the content is stored, so that no
//! log line, message or record contains a caller's key or a body.

use crate::dispatch::PromptPart;
use crate::identity::{stable_hash, stable_pair_hash};
use sha2::{Digest, Sha256};
use std::fmt::{Debug, Display, Formatter};

/// Digest of a request's content: the first 128 bits of its SHA-256 sum, so that no caller
/// can construct a request with the digest of another caller's request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Debug for Fingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        Display::fmt(self, formatter)
    }
}

impl Display for Fingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Hash of a request's properties other than the bytes of its body. Requests with different
/// shapes have different content; requests with equal shapes may differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestShape(pub u64);

/// Identifies a request by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Shape, a cheap test that rules out most other requests.
    pub shape: RequestShape,
    /// Digest of the content.
    pub fingerprint: Fingerprint,
}

/// High half of the fingerprint of a prompt part; a digest of a content practically never
/// begins so.
const PART_MARK: u64 = u64::MAX;

impl RequestKey {
    /// Key of all requests whose prompts share a part. Parts are named by their clients, so
    /// that a digest of the name would protect no better than the name's hash.
    pub fn of_part(part: u64) -> Self {
        let fingerprint = Fingerprint(u128::from(PART_MARK) << 64 | u128::from(part));
        Self { shape: RequestShape(stable_pair_hash(part, PART_MARK)), fingerprint }
    }
}

impl Fingerprint {
    /// The prompt part that this identifies; `None` for a content.
    pub fn part(self) -> Option<u64> {
        let is_part = (self.0 >> 64) as u64 == PART_MARK;
        is_part.then_some(self.0 as u64)
    }

    /// What this identifies, for logs.
    pub fn kind(self) -> &'static str {
        match self.part() {
            Some(_) => "part",
            None => "content",
        }
    }
}

/// Content of a request.
#[derive(Clone, Copy)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Requested host.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Name of the tenant, or other credentials of the caller; may be empty.
    pub caller: &'a [u8],
    /// Complete body.
    pub body: &'a [u8],
    /// Parts of the prompt that other requests may share. They don't belong to the content.
    pub shared_parts: &'a [PromptPart],
}

/// Number of shared parts of a request that are considered.
pub const MAX_SHARED_PARTS: usize = 16;

impl RequestContent<'_> {
    /// Computes the shape in time independent of the length of the body.
    pub fn shape(&self) -> RequestShape {
        let length = (self.body.len() as u64).to_le_bytes();
        let parts = [self.method.as_bytes(), self.host, self.target.as_bytes(), self.caller, &length];
        RequestShape(stable_hash(&parts.map(stable_hash).map(u64::to_le_bytes).concat()))
    }

    /// Keys of the shared parts, in their order.
    pub fn part_keys(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.shared_parts.iter().take(MAX_SHARED_PARTS).map(|part| RequestKey::of_part(part.key))
    }

    /// Computes the shape and the digest; reads the complete body.
    pub fn key(&self) -> RequestKey {
        let mut digest = Sha256::new();
        for part in [self.method.as_bytes(), self.host, self.target.as_bytes(), self.caller, self.body] {
            // The length distinguishes contents whose parts are divided differently.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let sum: [u8; 32] = digest.finalize().into();
        let mut first = [0; 16];
        first.copy_from_slice(&sum[..16]);
        RequestKey { shape: self.shape(), fingerprint: Fingerprint(u128::from_le_bytes(first)) }
    }
}

impl Debug for RequestContent<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.debug_tuple("RequestContent").field(&self.shape()).finish()
    }
}
