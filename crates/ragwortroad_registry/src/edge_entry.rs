use std::net::SocketAddr;

use ragwortroad_link::prelude::*;

/// A connected edge.
#[derive(Debug)]
pub(crate) struct EdgeEntry {
    pub(crate) node: String,
    /// Address at which clients reach the edge.
    pub(crate) address: SocketAddr,
    /// Address at which other edges request the configuration.
    pub(crate) inner: SocketAddr,
    pub(crate) stage: EdgeStage,
}
