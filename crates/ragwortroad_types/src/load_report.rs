use serde::{
    Deserialize,
    Serialize, //
};

/// The load an endpoint reports of itself, always somewhat late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting at the endpoint.
    pub queued: u32,
    /// How old the figures were when they were sent, in milliseconds.
    pub age_ms: u32,
}
