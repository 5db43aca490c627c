use std::net::SocketAddr;

use ragwortroad_link::prelude::*;

/// An edge that is connected.
#[derive(Debug)]
pub(crate) struct EdgeEntry {
    pub(crate) node: String,
    /// Where callers reach it.
    pub(crate) address: SocketAddr,
    /// Where other edges ask it for the configuration.
    pub(crate) inner: SocketAddr,
    pub(crate) stage: EdgeStage,
}
