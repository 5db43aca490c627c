use std::net::SocketAddr;

use ragwortroad_dispatch::prelude::*;
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
    /// Failure domain of the edge.
    pub(crate) zone: String,
    pub(crate) relay_key: RelayKey,
    /// Whether the edge has lost contact with endpoints.
    pub(crate) is_cut_off: bool,
}

impl EdgeEntry {
    /// The edge as a candidate to take requests of others.
    pub(crate) fn relay_candidate(&self) -> RelayCandidate {
        RelayCandidate {
            peer: RelayPeer {
                address: self.address,
                key: self.relay_key,
            },
            zone: self.zone.clone(),
            is_cut_off: self.is_cut_off,
        }
    }
}
