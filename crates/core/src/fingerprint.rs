//! What stays the same when a request comes again.
//!
//! Each attempt of a client has an identity of its own. Whether two of them are the
//! same request shows in their content alone: method, host, target, caller and body.
//! The content is kept as a digest, so that no log line, message or record shows a
//! caller's key or a body.

use crate::identity::stable_hash;
use sha2::{Digest, Sha256};
use std::fmt::{Debug, Display, Formatter};

/// Digest of a request's content: the first 128 bits of a SHA-256 sum, so that nobody
/// can make a request whose digest is that of another caller's.
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

/// A hash of what can be told of a request without reading its body. Requests of
/// different shapes are different; those of one shape may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestShape(pub u64);

/// A request by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Shape, by which most requests are known to be others without a digest.
    pub shape: RequestShape,
    /// Digest of the content.
    pub fingerprint: Fingerprint,
}

/// The content of a request.
#[derive(Clone, Copy)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a str,
    /// Host that it names.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Who sends it: a tenant's name or what the caller shows instead; may be empty.
    pub caller: &'a [u8],
    /// Whole body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Its shape; costs the same for any length of the body.
    pub fn shape(&self) -> RequestShape {
        let length = (self.body.len() as u64).to_le_bytes();
        let parts = [self.method.as_bytes(), self.host, self.target.as_bytes(), self.caller, &length];
        RequestShape(stable_hash(&parts.map(stable_hash).map(u64::to_le_bytes).concat()))
    }

    /// Its shape and digest; reads the whole body.
    pub fn key(&self) -> RequestKey {
        let mut digest = Sha256::new();
        for part in [self.method.as_bytes(), self.host, self.target.as_bytes(), self.caller, self.body] {
            // The length keeps apart contents whose parts are divided in another way.
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
