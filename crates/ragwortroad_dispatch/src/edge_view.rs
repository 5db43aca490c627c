use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// The edges that one registry knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EdgeView {
    /// Addresses on which the ready edges accept clients.
    pub ready: Vec<SocketAddr>,
    /// Number of connected edges, including those that are starting or draining.
    pub edges: u32,
}
