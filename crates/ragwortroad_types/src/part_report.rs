use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    IncarnationKey,
    RequestDigest, //
};

/// Identifies a part of prompts for one model of one service.
///
/// A part that crashes the endpoints of one service or model may be sound for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PartKey(pub u64);

impl PartKey {
    /// Returns the key of the part with an id.
    pub fn new(service: &str, model: &str, part: u64) -> Self {
        let mut hasher = Xxh3::new();
        for name in [service, model] {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        hasher.update(&part.to_le_bytes());
        Self(hasher.digest())
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Something that requests have in common and that may crash the endpoints which run them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub key: PartKey,
    /// Position in the prompt; later parts are more specific.
    pub depth: u8,
}

impl SuspectPart {
    /// Returns the suspect that stands for a whole request, the most specific one.
    pub fn whole(digest: RequestDigest) -> Self {
        Self {
            key: PartKey(digest.0),
            depth: u8::MAX,
        }
    }
}

/// One run of an endpoint's process that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashedEndpoint {
    /// Name of the endpoint, for operators.
    pub name: String,
    /// The run of its process.
    pub incarnation: IncarnationKey,
}

/// What became of a run of a request with a part.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PartEnd {
    /// The endpoint crashed before the run had written for long.
    Crashed {
        /// The endpoint.
        endpoint: CrashedEndpoint,
        /// Whether the run had begun to respond.
        has_begun: bool,
    },
    /// The endpoint began to write, and went on.
    Wrote,
}

/// What one process of the fleet observed of a part under which endpoints have crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: SuspectPart,
    /// What became of the run.
    pub end: PartEnd,
    /// Time from the crash, or from the first output, to the sending of this report in milliseconds.
    pub age_ms: u32,
}
