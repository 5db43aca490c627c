use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a service: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Returns the tag of a service's name.
    pub fn of(service: &str) -> Self {
        Self(xxh3_64(service.as_bytes()) as u32)
    }
}

/// Identifies a software version of the endpoints of one service.
///
/// What endpoints of two versions write does not fit together, so a stream goes on only at the
/// version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VersionTag {
    /// The service whose endpoints run the version.
    pub service: ServiceTag,
    /// Hash of the version's name.
    pub version: u32,
}

impl VersionTag {
    /// Returns the tag of a version; `None` if the endpoint announces none, since nothing is known
    /// then about what fits together.
    pub fn of(service: &str, version: &str) -> Option<Self> {
        (!version.is_empty()).then(|| Self {
            service: ServiceTag::of(service),
            version: xxh3_64(version.as_bytes()) as u32,
        })
    }
}
