use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// What one registry knows of the edges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EdgeView {
    /// Where callers reach those that take callers.
    pub ready: Vec<SocketAddr>,
    /// Edges that are connected, those that start or drain among them.
    pub edges: u32,
}
