use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// What an endpoint says of itself in an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of this incarnation; a restart mostly draws a new one.
    pub name: String,
    /// The service that it answers for.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: EndpointStage,
    /// Start of this incarnation in Unix milliseconds; 0 where it was not told.
    pub started_ms: u64,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// Milliseconds for which it is still slow after its start.
    pub warming_ms: u32,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndpointStage {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
    /// It has left.
    Gone,
}

impl EndpointRecord {
    /// Order of what is said under one name: a later start, or a later announcement, is newer.
    pub fn freshness(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
