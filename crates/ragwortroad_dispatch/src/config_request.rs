use std::net::SocketAddr;

/// Whom an edge asks for a configuration, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigRequest {
    /// The registry.
    pub registry: SocketAddr,
    /// Whether the registry is to give a copy of its own, and not refer the edge to another edge.
    pub direct: bool,
}
