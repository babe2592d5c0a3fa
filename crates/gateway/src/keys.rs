//! Tenants' keys, kept as hashes.

use sha2::{Digest, Sha256};

const KEY_PREFIX: &str = "lw-";

/// The hash under which a key is kept, in hexadecimal digits. Keys are random
/// and long, so that a plain hash can't be searched.
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A new random key of 128 bits.
pub fn new_key() -> String {
    format!("{KEY_PREFIX}{:032x}", rand::random::<u128>())
}
