use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies one run of an endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct IncarnationKey(pub u64);

impl IncarnationKey {
    /// Returns the key of the process that an endpoint started at `started_ms`, in Unix
    /// milliseconds; 0 if the start is unknown.
    pub fn new(endpoint: &str, started_ms: u64) -> Self {
        Self(xxh3_64_with_seed(endpoint.as_bytes(), started_ms))
    }
}
