use serde::{
    Deserialize,
    Serialize, //
};

/// The load that an endpoint reports of itself; always slightly out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests being processed.
    pub running: u32,
    /// Number of requests queued at the endpoint.
    pub queued: u32,
    /// Age of the figures when they were sent, in milliseconds.
    pub age_ms: u32,
}
