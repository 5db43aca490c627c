use serde::{
    Deserialize,
    Serialize, //
};

/// Response to an announcement of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnnounceResponse {
    /// `IP:port` of the nodes to announce to from now on, the home node first.
    pub announce_to: Vec<String>,
    /// Milliseconds until the next announcement is due.
    pub every_ms: u64,
}
