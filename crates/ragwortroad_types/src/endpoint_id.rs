use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Identity of an endpoint: the hash of the name under which it announces itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// Returns the identity of the endpoint that announces itself as `name`.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
