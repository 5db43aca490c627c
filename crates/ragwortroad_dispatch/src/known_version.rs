use serde::{
    Deserialize,
    Serialize, //
};

use crate::VersionTag;

/// A software version as one registry tells another of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownVersion {
    /// The version.
    pub version: VersionTag,
    /// Milliseconds since an endpoint of it was last known to run.
    ///
    /// Clocks of processes are not comparable, and registries that told each other of a version
    /// without its age would keep it alive for ever.
    pub age_ms: u32,
}
