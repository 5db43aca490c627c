use std::net::SocketAddr;

/// A configuration request that an edge is to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigRequest {
    /// Address of the registry to ask.
    pub registry: SocketAddr,
    /// Whether the registry has to send the copy itself instead of referring the edge to another
    /// edge.
    pub direct: bool,
}
