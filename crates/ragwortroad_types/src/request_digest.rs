use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// Identifies what a request asks for: equal for all repeats of one request, whatever their ids.
///
/// The first eight bytes of a SHA-256, so that no customer can construct a request with the digest
/// of another customer's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of a request with these parts, such as the customer, the path and the
    /// body.
    pub fn from_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
