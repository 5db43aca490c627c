use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::VersionTag;

/// Identifies a stream by its customer and by the attempt that brought its first event.
///
/// The customer is part of it, so that nobody can take up a stream of another customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt of a customer began.
    pub fn of(customer: Option<&str>, attempt: &str) -> Self {
        let mut hasher = Xxh3::new();
        let customer = customer.map_or(&b""[..], str::as_bytes);
        hasher.update(&(customer.len() as u64).to_le_bytes());
        hasher.update(customer);
        hasher.update(attempt.as_bytes());
        Self(hasher.digest())
    }
}

/// The software version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version; `None` if one client used the same id for streams of several versions.
    pub version: Option<VersionTag>,
}
